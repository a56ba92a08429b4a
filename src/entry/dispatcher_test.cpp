#include "parsleylead/entry/dispatcher.hpp"

#include <doctest/doctest.h>

#include "../test_support.hpp"
#include "parsleylead/entry/request_digest.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// Records what the dispatcher sends.
struct mock_gateways : agent_gateway, claim_gateway, peer_gateway {
  bool dispatch(const task_dispatch& request) override {
    if (refuse_dispatches) {
      return false;
    }
    sent.push_back(request);
    return true;
  }
  void cancel(const std::string& agent, const uuid& /*submission*/) override {
    cancelled.push_back(agent);
  }
  void request_credits(const std::string& /*agent*/, const demand& /*waiting*/) override {}
  void return_credits(const std::string& /*agent*/, std::uint32_t credits) override {
    returned += credits;
  }
  std::optional<claim_decision> request_claim(const uuid& key, const uuid& submission,
                                              std::uint64_t digest, monotonic_time /*deadline*/,
                                              monotonic_time /*now*/) override {
    asked.push_back({key, submission, "", "", digest});
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
    fetched.push_back(holder.submission);
    fetch_wait = wait;
    done(peer_reply);
  }

  bool refuse_dispatches = false;
  std::vector<task_dispatch> sent;
  std::vector<std::string> cancelled;
  std::uint32_t returned = 0;
  std::vector<claim_item> asked;
  std::vector<uuid> released;
  std::vector<uuid> abandoned;
  std::vector<std::string> outcomes;
  std::vector<uuid> fetched;
  milliseconds fetch_wait{0};
  std::optional<job_reply> peer_reply;
};

// One entry with the kinds "check" (idempotent) and "draft" (with keys).
struct bench {
  bench() {
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
  void open(const std::string& name, std::uint32_t credits, std::uint64_t session = 1) {
    job_dispatcher.on_session_opened(describe(name, 4), session, credits, now);
  }
  // The replies to this request, as they arrive.
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
  void end(const task_dispatch& task, outcome_state state, reason cause = reason::none) {
    dispatch_outcome outcome{
        state, "answer", {cause, step::run, task.agent, ""}, milliseconds(5), 0};
    job_dispatcher.on_outcome(task.submission, task.task, std::move(outcome), now);
  }
  void decide(claim_verdict verdict, std::optional<claim_holder> holder = std::nullopt,
              reason cause = reason::none) {
    const auto& asked = gateways.asked.back();
    job_dispatcher.on_claim({asked.key, asked.submission, verdict, std::move(holder), cause, ""},
                            now);
  }
  bool balances() const { return job_dispatcher.accounts().balances(); }

  mock_gateways gateways;
  dispatcher job_dispatcher{dispatcher_options{}, selected_policy::make("credits", 1).value(),
                            gateways, gateways, gateways};
  monotonic_time now = at_ms(0);
  std::deque<std::vector<job_reply>> replies;
};

bool says(const std::vector<job_reply>& replies, int status, const std::string& text) {
  const bool one = replies.size() == 1;
  const bool right =
      one && replies[0].status == status && replies[0].body.find(text) != std::string::npos;
  if (!right) {
    MESSAGE(replies.size() << " replies, first: " << (replies.empty() ? "" : replies[0].body));
  }
  return right;
}

claim_holder other_holder(std::optional<claim_outcome> outcome) {
  return {test_id(77), "other", "127.0.0.1:9", std::move(outcome), std::nullopt};
}

TEST_CASE("a duplicate gets the holder's answer from the log") {
  // Guards against a second run of a request whose answer is known.
  bench site;
  site.open("a", 4);
  auto& replies = site.submit_draft();
  site.decide(claim_verdict::duplicate, other_holder(claim_outcome{"complete", "logged answer"}),
              reason::duplicate_key);
  CHECK(says(replies, 200, "logged answer"));
  CHECK(site.gateways.sent.empty());
  CHECK(site.gateways.released.empty());
  CHECK(site.gateways.outcomes.empty());
  CHECK(site.balances());
}

TEST_CASE("a duplicate asks the holder's entry when the log holds no answer") {
  // Guards against a lost answer, and against a claim that nothing ran when it is only unknown.
  bench site;
  site.open("a", 0);
  auto& expired = site.submit_draft();
  site.decide(claim_verdict::duplicate, other_holder(claim_outcome{"complete", std::nullopt}));
  CHECK(site.gateways.fetch_wait == milliseconds(0));
  CHECK(says(expired, 410, "\"run\":\"may_have_run\""));
  site.gateways.peer_reply = job_reply{200, "held answer"};
  auto& held = site.submit_draft();
  site.decide(claim_verdict::duplicate, other_holder(claim_outcome{"complete", std::nullopt}));
  CHECK(says(held, 200, "held answer"));
  auto& open = site.submit_draft();
  site.decide(claim_verdict::duplicate, other_holder(std::nullopt));
  CHECK(site.gateways.fetch_wait == milliseconds(1000));
  CHECK(says(open, 200, "held answer"));
  site.gateways.peer_reply.reset();
  auto& unreachable = site.submit_draft();
  site.decide(claim_verdict::duplicate, other_holder(std::nullopt));
  CHECK(says(unreachable, 409, "\"run\":\"may_have_run\""));
  CHECK(site.gateways.fetched.size() == 4);
  CHECK(site.job_dispatcher.open_jobs() == 0);
}

TEST_CASE("a duplicate of a submission at the same entry waits for its end") {
  // Guards against a call to itself, and against two answers to one caller.
  bench site;
  site.open("a", 4);
  auto& first = site.submit_draft();
  site.decide(claim_verdict::granted);
  REQUIRE(site.gateways.sent.size() == 1);
  const auto holder = site.gateways.sent[0].submission;
  auto& second = site.submit_draft();
  site.decide(claim_verdict::duplicate, claim_holder{holder, "me", "", std::nullopt, std::nullopt});
  CHECK(second.empty());
  site.end(site.gateways.sent[0], outcome_state::finished);
  CHECK(says(first, 200, "answer"));
  CHECK(says(second, 200, "answer"));
  CHECK(site.gateways.fetched.empty());
  CHECK(site.gateways.outcomes == std::vector<std::string>{"complete"});
}

TEST_CASE("a duplicate waits for its holder no longer than its own budget") {
  // Guards against a caller that gets its answer after its time budget.
  bench site;
  site.open("a", 4);
  site.submit_draft();
  site.decide(claim_verdict::granted);
  const auto holder = site.gateways.sent.at(0).submission;
  auto& replies = site.submit("draft", 1, test_id(1).to_string(), milliseconds(100));
  site.decide(claim_verdict::duplicate, claim_holder{holder, "me", "", std::nullopt, std::nullopt});
  CHECK(site.job_dispatcher.next_event(site.now) == site.now + milliseconds(100));
  site.now += milliseconds(100);
  site.job_dispatcher.tick(site.now);
  CHECK(says(replies, 409, "\"run\":\"may_have_run\""));
  site.end(site.gateways.sent[0], outcome_state::finished);
  CHECK(replies.size() == 1);
}

TEST_CASE("refusals name their reason and are not run") {
  // Guards against refusals without a reason code and against hidden starts.
  bench site;
  const auto refused = [&site](const std::vector<job_reply>& replies, int status, reason cause) {
    CHECK(says(replies, status, "\"reason\":\"" + std::string(to_string(cause)) + "\""));
    CHECK(says(replies, status, "\"run\":\"not_run\""));
    CHECK(site.gateways.sent.empty());
  };
  refused(site.submit("check", 1), 503, reason::no_capable_worker);
  site.open("a", 0);
  refused(site.submit("none", 1), 404, reason::unknown_kind);
  refused(site.submit("draft", 1), 400, reason::invalid_key);
  refused(site.submit("draft", 1, "no-uuid"), 400, reason::invalid_key);
  refused(site.submit("check", 7), 400, reason::job_too_large);
  CHECK(site.submit("check", 6).empty());
  refused(site.submit("check", 3), 429, reason::queue_full);
  site.job_dispatcher.remove_kind("check", 2);
  refused(site.submit("check", 1), 503, reason::kind_removed);
  auto& unclaimed = site.submit_draft();
  site.decide(claim_verdict::refused, std::nullopt, reason::claim_unavailable);
  refused(unclaimed, 503, reason::claim_unavailable);
  auto& foreign = site.submit_draft();
  site.decide(claim_verdict::refused, std::nullopt, reason::invalid_key);
  refused(foreign, 400, reason::invalid_key);
  CHECK(site.balances());
}

TEST_CASE("a claim carries the digest of kind and payloads") {
  // Guards against a digest that mixes up requests.
  bench site;
  site.open("a", 1);
  site.submit_draft();
  const std::vector<std::string> payloads{"payload"};
  CHECK(site.gateways.asked.at(0).digest == request_digest("draft", payloads));
  const std::vector<std::string> first{"ab", "c"};
  const std::vector<std::string> second{"a", "bc"};
  CHECK(request_digest("draft", first) != request_digest("draft", second));
  CHECK(request_digest("draft", first) != request_digest("drafta", first));
}

TEST_CASE("a deadline before the start is not run, after it may have run") {
  // Guards against untrue refusals at the end of the time budget.
  bench site;
  site.open("a", 1);
  auto& started = site.submit("check", 1);
  auto& waiting = site.submit("check", 1);
  REQUIRE(site.gateways.sent.size() == 1);
  site.now += milliseconds(1001);
  site.job_dispatcher.tick(site.now);
  CHECK(says(started, 504, "\"run\":\"may_have_run\""));
  CHECK(says(waiting, 503, "\"run\":\"not_run\""));
  CHECK(site.gateways.cancelled == std::vector<std::string>{"a"});
  CHECK(site.job_dispatcher.tasks_in_flight() == 1);
  site.end(site.gateways.sent[0], outcome_state::finished);
  CHECK(site.job_dispatcher.tasks_in_flight() == 0);
  CHECK(started.size() == 1);
  CHECK(site.balances());
}

TEST_CASE("jobs that wait when their kind is removed run to their end") {
  // Guards against accepted work that a catalogue change strands.
  bench site;
  site.open("a", 1);
  auto& replies = site.submit("check", 2);
  site.job_dispatcher.remove_kind("check", 2);
  site.end(site.gateways.sent.at(0), outcome_state::finished);
  site.job_dispatcher.on_credits("a", 1, 1, credit_origin::grant, site.now);
  REQUIRE(site.gateways.sent.size() == 2);
  CHECK(site.gateways.sent[1].revision == 2);
  site.end(site.gateways.sent[1], outcome_state::finished);
  CHECK(says(replies, 200, "complete"));
  site.set_kinds(3);
  CHECK(site.submit("check", 1).empty());
}

TEST_CASE("a task that was not run is placed again at most three times") {
  // Guards against endless placement, and against a refusal that hides a start.
  bench site;
  site.open("a", 0);
  auto& replies = site.submit("check", 1);
  for (std::size_t i = 1; i <= 4; ++i) {
    site.job_dispatcher.on_credits("a", 1, 1, credit_origin::grant, site.now);
    REQUIRE(site.gateways.sent.size() == i);
    site.end(site.gateways.sent.back(), outcome_state::not_run, reason::no_free_slot);
  }
  CHECK(says(replies, 503, "retries_exhausted"));
  CHECK(site.job_dispatcher.waiting_tasks() == 0);
  // A late and a repeated outcome change nothing.
  site.end(site.gateways.sent.back(), outcome_state::finished);
  CHECK(replies.size() == 1);
  CHECK(site.balances());
}

TEST_CASE("a session that is being probed gets no task and keeps its credits") {
  // Guards against tasks that use up their placements at a session whose probe is unanswered.
  bench site;
  site.open("a", 1);
  site.job_dispatcher.on_session_paused("a");
  auto& replies = site.submit("check", 1);
  CHECK(site.gateways.sent.empty());
  CHECK(site.job_dispatcher.credits().unused("a") == 1);
  site.job_dispatcher.on_session_usable("a", site.now);
  REQUIRE(site.gateways.sent.size() == 1);
  site.end(site.gateways.sent[0], outcome_state::finished);
  CHECK(says(replies, 200, "complete"));
  CHECK(site.balances());
}

TEST_CASE("a worker whose upstream is gone is left alone for a while") {
  // Guards against one dead upstream that uses up the placements of every waiting task.
  bench site;
  site.open("a", 1);
  site.open("b", 0);
  auto& replies = site.submit("check", 1);
  site.end(site.gateways.sent.at(0), outcome_state::not_run, reason::connect_failed);
  site.job_dispatcher.on_credits("a", 1, 1, credit_origin::grant, site.now);
  CHECK(site.gateways.sent.size() == 1);
  site.job_dispatcher.on_credits("b", 1, 1, credit_origin::grant, site.now);
  REQUIRE(site.gateways.sent.size() == 2);
  CHECK(site.gateways.sent[1].agent == "b");
  site.end(site.gateways.sent[1], outcome_state::finished);
  CHECK(says(replies, 200, "complete"));
  site.now += refusal_backoff::min_backoff;
  site.submit("check", 1);
  REQUIRE(site.gateways.sent.size() == 3);
  CHECK(site.gateways.sent[2].agent == "a");
}

TEST_CASE("an ejected worker gets one trial and returns with its success") {
  // Guards against a failing worker that keeps taking tasks, and against one that never returns.
  bench site;
  site.set_kinds(2, 1000);
  for (const char* name : {"a", "b", "c", "d"}) {
    site.open(name, 0);
  }
  const auto run = [&site](const std::string& name, outcome_state state) {
    site.submit("check", 1);
    site.job_dispatcher.on_credits(name, 1, 1, credit_origin::grant, site.now);
    REQUIRE(site.gateways.sent.back().agent == name);
    site.end(site.gateways.sent.back(), state, reason::task_failed);
  };
  for (int i = 0; i < 10 && !site.job_dispatcher.is_ejected("a"); ++i) {
    for (const char* name : {"b", "c", "d"}) {
      run(name, outcome_state::finished);
    }
    run("a", outcome_state::failed);
  }
  REQUIRE(site.job_dispatcher.is_ejected("a"));
  const auto before = site.gateways.sent.size();
  site.job_dispatcher.on_credits("a", 1, 2, credit_origin::grant, site.now);
  site.submit("check", 2);
  CHECK(site.gateways.sent.size() == before);
  site.now += milliseconds(1000);
  site.set_kinds(3, 1000);
  site.submit("check", 2);
  site.job_dispatcher.tick(site.now);
  REQUIRE(site.gateways.sent.size() == before + 1);
  CHECK(site.gateways.sent.back().agent == "a");
  site.end(site.gateways.sent.back(), outcome_state::finished);
  CHECK_FALSE(site.job_dispatcher.is_ejected("a"));
}

TEST_CASE("a drain refuses new jobs and lets open ones end") {
  // Guards against a planned stop that interrupts requests, or that loses the truth about them.
  bench site;
  site.open("a", 1);
  auto& open = site.submit("check", 1);
  site.job_dispatcher.refuse_new_jobs(
      {reason::entry_leaving, step::drain, "", "the entry is stopping"});
  CHECK(says(site.submit("check", 1), 503, "entry_leaving"));
  site.end(site.gateways.sent.at(0), outcome_state::finished);
  CHECK(says(open, 200, "complete"));

  bench late;
  late.open("a", 1);
  auto& started = late.submit("check", 1);
  auto& waiting = late.submit("check", 1);
  auto& claiming = late.submit_draft();
  late.job_dispatcher.abandon_open_jobs({reason::entry_leaving, step::drain, "", "the drain limit"},
                                        late.now);
  CHECK(says(started, 502, "\"run\":\"may_have_run\""));
  CHECK(says(waiting, 503, "\"run\":\"not_run\""));
  CHECK(says(claiming, 503, "\"run\":\"not_run\""));
  CHECK(late.gateways.abandoned.size() == 1);
  CHECK(late.job_dispatcher.open_jobs() == 0);
  CHECK(late.balances());
}

TEST_CASE("a submission that is cancelled before its claim is decided never starts") {
  // Guards against a start after the caller was told "cancelled, not run", and a claim kept for it.
  bench site;
  site.open("a", 4);
  auto& replies = site.submit_draft();
  const auto id = site.gateways.asked.at(0).submission;
  CHECK(site.job_dispatcher.cancel(id, site.now, [](const job_reply&) {}));
  CHECK(says(replies, 499, "\"run\":\"not_run\""));
  CHECK(site.gateways.abandoned == std::vector<uuid>{id});
  site.decide(claim_verdict::granted);
  CHECK(site.gateways.sent.empty());
  CHECK(site.gateways.released == std::vector<uuid>{id});
  CHECK(site.balances());
}

TEST_CASE("a granted claim is released only if nothing started") {
  // Guards against a second run after a release, and against a key that nobody can use again.
  bench site;
  site.open("a", 0);
  site.submit_draft();
  site.decide(claim_verdict::granted);
  const auto id = site.gateways.asked.at(0).submission;
  site.job_dispatcher.cancel(id, site.now, [](const job_reply&) {});
  CHECK(site.gateways.released == std::vector<uuid>{id});
  site.submit_draft();
  site.decide(claim_verdict::granted);
  site.job_dispatcher.on_credits("a", 1, 1, credit_origin::grant, site.now);
  REQUIRE(site.gateways.sent.size() == 1);
  site.job_dispatcher.cancel(site.gateways.asked.at(1).submission, site.now,
                             [](const job_reply&) {});
  CHECK(site.gateways.released.size() == 1);
  CHECK(site.gateways.outcomes == std::vector<std::string>{"cancelled"});
}

} // namespace
} // namespace parsleylead
