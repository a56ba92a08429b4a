#include "parsleylead/entry/dispatcher.hpp"

#include <doctest/doctest.h>

#include "../test_support.hpp"
#include "parsleylead/entry/request_digest.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// Records the calls that the dispatcher makes to its gateways.
struct mock_gateways : agent_gateway, claim_gateway, peer_gateway {
  bool dispatch(const task_dispatch& request) override {
    if (refuse_dispatches) {
      return false;
    }
    dispatches.push_back(request);
    return true;
  }
  void cancel(const std::string& agent, const uuid& /*submission*/) override {
    cancelled.push_back(agent);
  }
  void request_credits(const std::string& /*agent*/, const demand& /*waiting*/) override {}
  void return_credits(const std::string& /*agent*/, std::uint32_t credits) override {
    returned_credits += credits;
  }
  std::optional<claim_decision> request_claim(const uuid& key, const uuid& submission,
                                              std::uint64_t digest, monotonic_time /*deadline*/,
                                              monotonic_time /*now*/) override {
    claim_requests.push_back({key, submission, "", "", digest});
    return std::nullopt;
  }
  void release(const uuid& /*key*/, const uuid& submission) override {
    released.push_back(submission);
  }
  void abandon(const uuid& /*key*/, const uuid& submission) override {
    abandoned.push_back(submission);
  }
  void record_outcome(const uuid& /*key*/, const uuid& /*submission*/, std::string state,
                      std::optional<std::string> /*answer*/, monotonic_time /*now*/) override {
    outcomes.push_back(std::move(state));
  }
  void fetch_job(const claim_holder& holder, milliseconds wait,
                 std::function<void(std::optional<job_reply>)> done) override {
    fetched_submissions.push_back(holder.submission);
    fetch_wait = wait;
    done(peer_reply);
  }

  bool refuse_dispatches = false;
  std::vector<task_dispatch> dispatches;
  std::vector<std::string> cancelled;
  std::uint32_t returned_credits = 0;
  std::vector<claim_item> claim_requests;
  std::vector<uuid> released;
  std::vector<uuid> abandoned;
  std::vector<std::string> outcomes;
  std::vector<uuid> fetched_submissions;
  milliseconds fetch_wait{0};
  std::optional<job_reply> peer_reply;
};

// A dispatcher with the kinds "check" (idempotent) and "draft" (not idempotent, needs a key).
struct dispatcher_fixture {
  dispatcher_fixture() {
    job_dispatcher.mark_catalogue_loaded();
    set_kinds(1);
  }

  void set_kinds(std::uint64_t revision, std::uint32_t in_flight = 10) {
    const kind_limits limits{in_flight, 8, 1'000'000, 6, milliseconds(1000)};
    job_dispatcher.set_kind("check", {"desk", kind_class::urgent, true, {}, limits}, revision, now);
    job_dispatcher.set_kind("draft", {"desk", kind_class::urgent, false, {}, limits}, revision,
                            now);
    now += milliseconds(10);
  }
  static agent_description describe(const std::string& name, std::uint32_t slots) {
    return {name, "zone", {"check", "draft"}, slots, 8, 4096};
  }
  void open_session(const std::string& name, std::uint32_t credits, std::uint64_t session = 1) {
    job_dispatcher.on_session_opened(describe(name, 4), session, credits, now);
  }
  // Returns the list to which the replies of this request are added.
  std::vector<job_reply>& submit(const std::string& kind, std::size_t tasks,
                                 std::optional<std::string> key = std::nullopt,
                                 std::optional<milliseconds> budget = std::nullopt) {
    caller_request request;
    request.kind = kind;
    request.key = std::move(key);
    request.budget = budget;
    request.tasks.assign(tasks, "payload");
    auto& target = replies.emplace_back();
    job_dispatcher.submit(std::move(request), now,
                          [&target](job_reply reply) { target.push_back(std::move(reply)); });
    return target;
  }
  std::vector<job_reply>& submit_draft() { return submit("draft", 1, test_id(1).to_string()); }
  void end_task(const task_dispatch& task, outcome_state state, reason cause = reason::none) {
    dispatch_outcome outcome{
        state, "answer", {cause, step::run, task.agent, ""}, milliseconds(5), 0};
    job_dispatcher.on_outcome(task.submission, task.task, std::move(outcome), now);
  }
  void decide_claim(claim_verdict verdict, std::optional<claim_holder> holder = std::nullopt,
                    reason cause = reason::none) {
    const auto& request = gateways.claim_requests.back();
    job_dispatcher.on_claim(
        {request.key, request.submission, verdict, std::move(holder), cause, ""}, now);
  }
  bool balances() const { return job_dispatcher.accounts().balances(); }

  mock_gateways gateways;
  dispatcher job_dispatcher{dispatcher_options{}, selected_policy::make("credits", 1).value(),
                            gateways, gateways, gateways};
  monotonic_time now = at_ms(0);
  std::deque<std::vector<job_reply>> replies;
};

bool has_only_reply(const std::vector<job_reply>& replies, int status, const std::string& text) {
  const bool single = replies.size() == 1;
  const bool matches =
      single && replies[0].status == status && replies[0].body.find(text) != std::string::npos;
  if (!matches) {
    MESSAGE(replies.size() << " replies, first: " << (replies.empty() ? "" : replies[0].body));
  }
  return matches;
}

claim_holder other_holder(std::optional<claim_outcome> outcome) {
  return {test_id(77), "other", "127.0.0.1:9", std::move(outcome), std::nullopt};
}

TEST_CASE("a duplicate gets the holder's answer from the log") {
  // Guards against a second run of a request whose answer is known.
  dispatcher_fixture fixture;
  fixture.open_session("a", 4);
  auto& replies = fixture.submit_draft();
  fixture.decide_claim(claim_verdict::duplicate,
                       other_holder(claim_outcome{"complete", "logged answer"}),
                       reason::duplicate_key);
  CHECK(has_only_reply(replies, 200, "logged answer"));
  CHECK(fixture.gateways.dispatches.empty());
  CHECK(fixture.gateways.released.empty());
  CHECK(fixture.gateways.outcomes.empty());
  CHECK(fixture.balances());
}

TEST_CASE("a duplicate asks the holder's entry when the log holds no answer") {
  // Guards against a lost answer, and against reporting "not run" when this is not known.
  dispatcher_fixture fixture;
  fixture.open_session("a", 0);
  auto& expired = fixture.submit_draft();
  fixture.decide_claim(claim_verdict::duplicate,
                       other_holder(claim_outcome{"complete", std::nullopt}));
  CHECK(fixture.gateways.fetch_wait == milliseconds(0));
  CHECK(has_only_reply(expired, 410, "\"run\":\"may_have_run\""));
  fixture.gateways.peer_reply = job_reply{200, "held answer"};
  auto& held = fixture.submit_draft();
  fixture.decide_claim(claim_verdict::duplicate,
                       other_holder(claim_outcome{"complete", std::nullopt}));
  CHECK(has_only_reply(held, 200, "held answer"));
  auto& open = fixture.submit_draft();
  fixture.decide_claim(claim_verdict::duplicate, other_holder(std::nullopt));
  CHECK(fixture.gateways.fetch_wait == milliseconds(1000));
  CHECK(has_only_reply(open, 200, "held answer"));
  fixture.gateways.peer_reply.reset();
  auto& unreachable = fixture.submit_draft();
  fixture.decide_claim(claim_verdict::duplicate, other_holder(std::nullopt));
  CHECK(has_only_reply(unreachable, 409, "\"run\":\"may_have_run\""));
  CHECK(fixture.gateways.fetched_submissions.size() == 4);
  CHECK(fixture.job_dispatcher.open_jobs() == 0);
}

TEST_CASE("a duplicate of a submission at the same entry waits for its end") {
  // Guards against an entry that sends an RPC to itself, and against two replies to one caller.
  dispatcher_fixture fixture;
  fixture.open_session("a", 4);
  auto& first = fixture.submit_draft();
  fixture.decide_claim(claim_verdict::granted);
  REQUIRE(fixture.gateways.dispatches.size() == 1);
  const auto holder = fixture.gateways.dispatches[0].submission;
  auto& second = fixture.submit_draft();
  fixture.decide_claim(claim_verdict::duplicate,
                       claim_holder{holder, "me", "", std::nullopt, std::nullopt});
  CHECK(second.empty());
  fixture.end_task(fixture.gateways.dispatches[0], outcome_state::finished);
  CHECK(has_only_reply(first, 200, "answer"));
  CHECK(has_only_reply(second, 200, "answer"));
  CHECK(fixture.gateways.fetched_submissions.empty());
  CHECK(fixture.gateways.outcomes == std::vector<std::string>{"complete"});
}

TEST_CASE("a duplicate waits for its holder no longer than its own budget") {
  // Guards against a reply after the caller's time budget.
  dispatcher_fixture fixture;
  fixture.open_session("a", 4);
  fixture.submit_draft();
  fixture.decide_claim(claim_verdict::granted);
  const auto holder = fixture.gateways.dispatches.at(0).submission;
  auto& replies = fixture.submit("draft", 1, test_id(1).to_string(), milliseconds(100));
  fixture.decide_claim(claim_verdict::duplicate,
                       claim_holder{holder, "me", "", std::nullopt, std::nullopt});
  CHECK(fixture.job_dispatcher.next_event(fixture.now) == fixture.now + milliseconds(100));
  fixture.now += milliseconds(100);
  fixture.job_dispatcher.tick(fixture.now);
  CHECK(has_only_reply(replies, 409, "\"run\":\"may_have_run\""));
  fixture.end_task(fixture.gateways.dispatches[0], outcome_state::finished);
  CHECK(replies.size() == 1);
}

TEST_CASE("refusals name their reason and are not run") {
  // Guards against refusals without a reason code and against tasks that start after a refusal.
  dispatcher_fixture fixture;
  const auto check_refused = [&fixture](const std::vector<job_reply>& replies, int status,
                                        reason cause) {
    CHECK(has_only_reply(replies, status, "\"reason\":\"" + std::string(to_string(cause)) + "\""));
    CHECK(has_only_reply(replies, status, "\"run\":\"not_run\""));
    CHECK(fixture.gateways.dispatches.empty());
  };
  check_refused(fixture.submit("check", 1), 503, reason::no_capable_worker);
  fixture.open_session("a", 0);
  check_refused(fixture.submit("none", 1), 404, reason::unknown_kind);
  check_refused(fixture.submit("draft", 1), 400, reason::invalid_key);
  check_refused(fixture.submit("draft", 1, "no-uuid"), 400, reason::invalid_key);
  check_refused(fixture.submit("check", 7), 400, reason::job_too_large);
  CHECK(fixture.submit("check", 6).empty());
  check_refused(fixture.submit("check", 3), 429, reason::queue_full);
  fixture.job_dispatcher.remove_kind("check", 2);
  check_refused(fixture.submit("check", 1), 503, reason::kind_removed);
  auto& unclaimed = fixture.submit_draft();
  fixture.decide_claim(claim_verdict::refused, std::nullopt, reason::claim_unavailable);
  check_refused(unclaimed, 503, reason::claim_unavailable);
  auto& invalid = fixture.submit_draft();
  fixture.decide_claim(claim_verdict::refused, std::nullopt, reason::invalid_key);
  check_refused(invalid, 400, reason::invalid_key);
  CHECK(fixture.balances());
}

TEST_CASE("a claim carries the digest of kind and payloads") {
  // Guards against equal digests of different requests.
  dispatcher_fixture fixture;
  fixture.open_session("a", 1);
  fixture.submit_draft();
  const std::vector<std::string> payloads{"payload"};
  CHECK(fixture.gateways.claim_requests.at(0).digest == request_digest("draft", payloads));
  const std::vector<std::string> first{"ab", "c"};
  const std::vector<std::string> second{"a", "bc"};
  CHECK(request_digest("draft", first) != request_digest("draft", second));
  CHECK(request_digest("draft", first) != request_digest("drafta", first));
}

TEST_CASE("a deadline before the start is not run, after it may have run") {
  // Guards against reporting a started job as not run when its time budget ends.
  dispatcher_fixture fixture;
  fixture.open_session("a", 1);
  auto& started = fixture.submit("check", 1);
  auto& waiting = fixture.submit("check", 1);
  REQUIRE(fixture.gateways.dispatches.size() == 1);
  fixture.now += milliseconds(1001);
  fixture.job_dispatcher.tick(fixture.now);
  CHECK(has_only_reply(started, 504, "\"run\":\"may_have_run\""));
  CHECK(has_only_reply(waiting, 503, "\"run\":\"not_run\""));
  CHECK(fixture.gateways.cancelled == std::vector<std::string>{"a"});
  CHECK(fixture.job_dispatcher.tasks_in_flight() == 1);
  fixture.end_task(fixture.gateways.dispatches[0], outcome_state::finished);
  CHECK(fixture.job_dispatcher.tasks_in_flight() == 0);
  CHECK(started.size() == 1);
  CHECK(fixture.balances());
}

TEST_CASE("jobs that wait when their kind is removed run to their end") {
  // Guards against accepted jobs that never end after a catalogue change.
  dispatcher_fixture fixture;
  fixture.open_session("a", 1);
  auto& replies = fixture.submit("check", 2);
  fixture.job_dispatcher.remove_kind("check", 2);
  fixture.end_task(fixture.gateways.dispatches.at(0), outcome_state::finished);
  fixture.job_dispatcher.on_credits("a", 1, 1, credit_origin::grant, fixture.now);
  REQUIRE(fixture.gateways.dispatches.size() == 2);
  CHECK(fixture.gateways.dispatches[1].revision == 2);
  fixture.end_task(fixture.gateways.dispatches[1], outcome_state::finished);
  CHECK(has_only_reply(replies, 200, "complete"));
  fixture.set_kinds(3);
  CHECK(fixture.submit("check", 1).empty());
}

TEST_CASE("a task that was not run is placed again at most three times") {
  // Guards against endless placement, and against reporting a started job as not run.
  dispatcher_fixture fixture;
  fixture.open_session("a", 0);
  auto& replies = fixture.submit("check", 1);
  for (std::size_t i = 1; i <= 4; ++i) {
    fixture.job_dispatcher.on_credits("a", 1, 1, credit_origin::grant, fixture.now);
    REQUIRE(fixture.gateways.dispatches.size() == i);
    fixture.end_task(fixture.gateways.dispatches.back(), outcome_state::not_run,
                     reason::no_free_slot);
  }
  CHECK(has_only_reply(replies, 503, "retries_exhausted"));
  CHECK(fixture.job_dispatcher.waiting_tasks() == 0);
  // A late and a repeated outcome change nothing.
  fixture.end_task(fixture.gateways.dispatches.back(), outcome_state::finished);
  CHECK(replies.size() == 1);
  CHECK(fixture.balances());
}

TEST_CASE("a session that is being probed gets no task and keeps its credits") {
  // Guards against tasks that use up their placements on a session with an unanswered probe.
  dispatcher_fixture fixture;
  fixture.open_session("a", 1);
  fixture.job_dispatcher.on_session_paused("a");
  auto& replies = fixture.submit("check", 1);
  CHECK(fixture.gateways.dispatches.empty());
  CHECK(fixture.job_dispatcher.credits().unused("a") == 1);
  fixture.job_dispatcher.on_session_usable("a", fixture.now);
  REQUIRE(fixture.gateways.dispatches.size() == 1);
  fixture.end_task(fixture.gateways.dispatches[0], outcome_state::finished);
  CHECK(has_only_reply(replies, 200, "complete"));
  CHECK(fixture.balances());
}

TEST_CASE("a worker whose upstream is unavailable gets no tasks during its backoff") {
  // Guards against one unavailable upstream that uses up the placements of every waiting task.
  dispatcher_fixture fixture;
  fixture.open_session("a", 1);
  fixture.open_session("b", 0);
  auto& replies = fixture.submit("check", 1);
  fixture.end_task(fixture.gateways.dispatches.at(0), outcome_state::not_run,
                   reason::connect_failed);
  fixture.job_dispatcher.on_credits("a", 1, 1, credit_origin::grant, fixture.now);
  CHECK(fixture.gateways.dispatches.size() == 1);
  fixture.job_dispatcher.on_credits("b", 1, 1, credit_origin::grant, fixture.now);
  REQUIRE(fixture.gateways.dispatches.size() == 2);
  CHECK(fixture.gateways.dispatches[1].agent == "b");
  fixture.end_task(fixture.gateways.dispatches[1], outcome_state::finished);
  CHECK(has_only_reply(replies, 200, "complete"));
  fixture.now += refusal_backoff::min_backoff;
  fixture.submit("check", 1);
  REQUIRE(fixture.gateways.dispatches.size() == 3);
  CHECK(fixture.gateways.dispatches[2].agent == "a");
}

TEST_CASE("an ejected worker gets one trial and returns with its success") {
  // Guards against a failing worker that keeps taking tasks, and against one that never returns.
  dispatcher_fixture fixture;
  fixture.set_kinds(2, 1000);
  for (const char* name : {"a", "b", "c", "d"}) {
    fixture.open_session(name, 0);
  }
  const auto run = [&fixture](const std::string& name, outcome_state state) {
    fixture.submit("check", 1);
    fixture.job_dispatcher.on_credits(name, 1, 1, credit_origin::grant, fixture.now);
    REQUIRE(fixture.gateways.dispatches.back().agent == name);
    fixture.end_task(fixture.gateways.dispatches.back(), state, reason::task_failed);
  };
  for (int i = 0; i < 10 && !fixture.job_dispatcher.is_ejected("a"); ++i) {
    for (const char* name : {"b", "c", "d"}) {
      run(name, outcome_state::finished);
    }
    run("a", outcome_state::failed);
  }
  REQUIRE(fixture.job_dispatcher.is_ejected("a"));
  const auto dispatches_before = fixture.gateways.dispatches.size();
  fixture.job_dispatcher.on_credits("a", 1, 2, credit_origin::grant, fixture.now);
  fixture.submit("check", 2);
  CHECK(fixture.gateways.dispatches.size() == dispatches_before);
  fixture.now += milliseconds(1000);
  fixture.set_kinds(3, 1000);
  fixture.submit("check", 2);
  fixture.job_dispatcher.tick(fixture.now);
  REQUIRE(fixture.gateways.dispatches.size() == dispatches_before + 1);
  CHECK(fixture.gateways.dispatches.back().agent == "a");
  fixture.end_task(fixture.gateways.dispatches.back(), outcome_state::finished);
  CHECK_FALSE(fixture.job_dispatcher.is_ejected("a"));
}

TEST_CASE("a drain refuses new jobs and lets open ones end") {
  // Guards against a planned stop that interrupts requests or misreports whether they ran.
  dispatcher_fixture fixture;
  fixture.open_session("a", 1);
  auto& open = fixture.submit("check", 1);
  fixture.job_dispatcher.refuse_new_jobs(
      {reason::entry_leaving, step::drain, "", "the entry is stopping"});
  CHECK(has_only_reply(fixture.submit("check", 1), 503, "entry_leaving"));
  fixture.end_task(fixture.gateways.dispatches.at(0), outcome_state::finished);
  CHECK(has_only_reply(open, 200, "complete"));

  dispatcher_fixture stopping;
  stopping.open_session("a", 1);
  auto& started = stopping.submit("check", 1);
  auto& waiting = stopping.submit("check", 1);
  auto& claiming = stopping.submit_draft();
  stopping.job_dispatcher.abandon_open_jobs(
      {reason::entry_leaving, step::drain, "", "the drain limit"}, stopping.now);
  CHECK(has_only_reply(started, 502, "\"run\":\"may_have_run\""));
  CHECK(has_only_reply(waiting, 503, "\"run\":\"not_run\""));
  CHECK(has_only_reply(claiming, 503, "\"run\":\"not_run\""));
  CHECK(stopping.gateways.abandoned.size() == 1);
  CHECK(stopping.job_dispatcher.open_jobs() == 0);
  CHECK(stopping.balances());
}

TEST_CASE("a submission that is cancelled before its claim is decided never starts") {
  // Guards against a start after the reply "cancelled, not run", and against a claim that is never
  // released.
  dispatcher_fixture fixture;
  fixture.open_session("a", 4);
  auto& replies = fixture.submit_draft();
  const auto id = fixture.gateways.claim_requests.at(0).submission;
  CHECK(fixture.job_dispatcher.cancel(id, fixture.now, [](const job_reply&) {}));
  CHECK(has_only_reply(replies, 499, "\"run\":\"not_run\""));
  CHECK(fixture.gateways.abandoned == std::vector<uuid>{id});
  fixture.decide_claim(claim_verdict::granted);
  CHECK(fixture.gateways.dispatches.empty());
  CHECK(fixture.gateways.released == std::vector<uuid>{id});
  CHECK(fixture.balances());
}

TEST_CASE("a granted claim is released only if nothing started") {
  // Guards against a second run after a release, and against a key that stays blocked.
  dispatcher_fixture fixture;
  fixture.open_session("a", 0);
  fixture.submit_draft();
  fixture.decide_claim(claim_verdict::granted);
  const auto id = fixture.gateways.claim_requests.at(0).submission;
  fixture.job_dispatcher.cancel(id, fixture.now, [](const job_reply&) {});
  CHECK(fixture.gateways.released == std::vector<uuid>{id});
  fixture.submit_draft();
  fixture.decide_claim(claim_verdict::granted);
  fixture.job_dispatcher.on_credits("a", 1, 1, credit_origin::grant, fixture.now);
  REQUIRE(fixture.gateways.dispatches.size() == 1);
  fixture.job_dispatcher.cancel(fixture.gateways.claim_requests.at(1).submission, fixture.now,
                                [](const job_reply&) {});
  CHECK(fixture.gateways.released.size() == 1);
  CHECK(fixture.gateways.outcomes == std::vector<std::string>{"cancelled"});
}

} // namespace
} // namespace parsleylead
