// Tests owners of durable jobs with a simulated store, scheduler and clock.

#include "parsleylead/durable/durable_jobs.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>

#include "../test_support.hpp"
#include "fake_log.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t job_id = 0x77;

class fake_port : public durable_port {
public:
  void run_job(fleet_job job) override { running[job.id] = std::move(job); }
  void drop_job(std::uint64_t job) override {
    running.erase(job);
    dropped.push_back(job);
  }
  void suspend_job(std::uint64_t job) override { suspended.push_back(job); }
  void restart_task(const run_id& lost) override { restarted.push_back(lost); }
  void failure_counted(const run_id& failed) override { late_failures.push_back(failed); }
  void crash_counted(const run_id& crashed) override { late_crashes.push_back(crashed); }
  bool is_placed(std::uint64_t job) const override { return placed && running.contains(job); }
  bool has_begun(std::uint64_t) const override { return placed; }
  void announce_claims(const std::vector<partition_claim>& claims) override {
    announced.insert(announced.end(), claims.begin(), claims.end());
  }
  void acknowledge_end(worker_index, const end_ack& ack) override { acks.push_back(ack); }

  std::map<std::uint64_t, fleet_job> running;
  std::vector<std::uint64_t> dropped;
  std::vector<std::uint64_t> suspended;
  std::vector<partition_claim> announced;
  std::vector<end_ack> acks;
  std::vector<run_id> restarted;
  std::vector<run_id> late_failures;
  std::vector<run_id> late_crashes;
  bool placed = false;
};

fleet_job make_job(std::uint64_t id = job_id, std::uint32_t tasks = 2) {
  fleet_job job;
  job.id = id;
  job.terms = {"queue", "desk", milliseconds(60), 1.6, 3, 0};
  job.payload = "text";
  job.steps.resize(1);
  job.steps[0].count = tasks;
  return job;
}

run_end make_end(std::uint32_t index, std::uint32_t attempt,
                 run_outcome outcome = run_outcome::done) {
  return {{{job_id, 0, index}, attempt}, outcome, milliseconds(50), {}, true};
}

job_result make_result(job_verdict verdict = job_verdict::completed) {
  job_result result;
  result.id = job_id;
  result.verdict = verdict;
  return result;
}

/// The durable jobs of one entry, with a clock that the test advances.
struct owner {
  owner(fake_log& log, const std::string& name, std::int64_t start = 10'000)
      : log(log), now(start) {
    durable_settings settings;
    settings.member = name;
    settings.clock = [this] { return at_ms(now); };
    jobs.emplace(settings, log, port, events, metrics);
  }

  /// Advances the clock in steps of 20 ms and delivers the store's answers after each.
  void advance(std::int64_t span) {
    for (const auto until = now + span; now < until; now += 20) {
      jobs->tick(at_ms(now));
      log.deliver();
    }
    jobs->tick(at_ms(now));
    log.deliver();
  }

  std::optional<durable_answer> submit(fleet_job job = make_job()) {
    auto got = std::make_shared<std::optional<durable_answer>>();
    jobs->submit(std::move(job), at_ms(now), [got](durable_answer answer) { *got = answer; });
    answers.push_back(got);
    advance(100);
    return *got;
  }

  std::optional<durable_answer> cancel() {
    auto got = std::make_shared<std::optional<durable_answer>>();
    jobs->cancel(job_id, at_ms(now), [got](durable_answer answer) { *got = answer; });
    advance(100);
    return *got;
  }

  void end(const run_end& end, bool current = true) {
    jobs->run_ended(0, end, current, at_ms(now));
  }

  fake_log& log;
  fake_port port;
  event_log events{"test"};
  metrics_registry metrics;
  std::optional<durable_jobs> jobs;
  std::vector<std::shared_ptr<std::optional<durable_answer>>> answers;
  std::int64_t now;
};

/// The owner of the only partition, after its first claim.
struct first_owner {
  first_owner() { one.advance(100); }

  fake_log log;
  owner one{log, "one"};
};

TEST_CASE_FIXTURE(first_owner, "a job is accepted and run once it is stored") {
  REQUIRE(one.jobs->owns(job_id));
  std::optional<durable_answer> got;
  one.jobs->submit(make_job(), at_ms(one.now), [&](durable_answer answer) { got = answer; });
  CHECK_FALSE(got.has_value());
  CHECK(one.port.running.empty());
  log.deliver();
  CHECK(got == durable_answer::accepted);
  REQUIRE(one.port.running.contains(job_id));
  CHECK(one.port.running[job_id].ownership->epoch == 1);
  CHECK(one.port.running[job_id].ownership->prior_attempts == 0);
  CHECK(log.newest().contains(submission_key(job_id)));
  CHECK(one.jobs->query(job_id) == durable_answer::pending);
  CHECK(one.jobs->query(5) == durable_answer::no_such_job);
  // The same job again is one job.
  CHECK(one.submit() == durable_answer::accepted);
  CHECK(one.port.running.size() == 1);
}

TEST_CASE_FIXTURE(first_owner, "the tasks of open jobs are bounded") {
  // Guards against few jobs of very many tasks that exhaust the memory.
  constexpr std::uint32_t most_tasks = 10'000;
  CHECK(one.submit(make_job(job_id, most_tasks)) == durable_answer::accepted);
  CHECK(one.submit(make_job(job_id + 1, most_tasks)) == durable_answer::accepted);
  CHECK(one.submit(make_job(job_id + 2, 1)) == durable_answer::refused);
  CHECK(one.cancel() == durable_answer::cancelled);
  CHECK(one.submit(make_job(job_id + 2, 1)) == durable_answer::accepted);
}

TEST_CASE_FIXTURE(first_owner, "a job whose id is zero is stored like any other") {
  // Guards against an acceptance that was never stored, because the id stands for something else.
  CHECK(one.submit(make_job(0)) == durable_answer::accepted);
  CHECK(log.newest().contains(submission_key(0)));
}

TEST_CASE_FIXTURE(first_owner,
                  "a job that the store did not take is refused, and never stored later") {
  // Guards against running a job after its refusal.
  log.current_mode = fake_log::mode::busy;
  CHECK(one.submit() == durable_answer::refused);
  log.current_mode = fake_log::mode::normal;
  one.advance(500);
  CHECK_FALSE(log.newest().contains(submission_key(job_id)));
  CHECK(one.jobs->query(job_id) == durable_answer::no_such_job);
}

TEST_CASE_FIXTURE(first_owner,
                  "an append whose answer is lost is found by reading, and the job runs once") {
  log.current_mode = fake_log::mode::lost;
  one.submit();
  log.current_mode = fake_log::mode::normal;
  one.advance(200);
  CHECK(*one.answers.back() == durable_answer::accepted);
  CHECK(one.port.running.size() == 1);
  CHECK(std::count_if(log.records.begin(), log.records.end(),
                      [](const auto& each) { return each.key == submission_key(job_id); }) == 1);
}

TEST_CASE_FIXTURE(first_owner,
                  "a submission is answered as unknown while the store does not answer") {
  // Guards against refusing a job whose append may still take effect.
  log.current_mode = fake_log::mode::silent;
  one.submit();
  one.advance(2'500);
  CHECK(*one.answers.back() == durable_answer::unknown);
}

TEST_CASE_FIXTURE(first_owner,
                  "an end is acknowledged, and a result shown, only once it is stored") {
  // Guards against repeating a task whose end the worker has dropped before it was stored.
  one.submit();
  log.current_mode = fake_log::mode::busy;
  one.end(make_end(0, 1));
  one.advance(200);
  CHECK(one.port.acks.empty());
  log.current_mode = fake_log::mode::normal;
  one.advance(200);
  REQUIRE(one.port.acks.size() == 1);
  CHECK_FALSE(one.port.acks[0].superseded);
  log.current_mode = fake_log::mode::busy;
  one.end(make_end(1, 1));
  one.jobs->job_ended(make_result(), at_ms(one.now));
  one.advance(200);
  CHECK(one.jobs->query(job_id) == durable_answer::running);
  log.current_mode = fake_log::mode::normal;
  one.advance(200);
  CHECK(one.jobs->query(job_id) == durable_answer::completed);
  CHECK(one.port.acks.size() == 2);
  CHECK_FALSE(log.newest().contains(progress_key(job_id)));
}

TEST_CASE("the successor of a crashed owner waits until all runs have ended, and resumes the "
          "stored jobs") {
  // Guards against overlapping runs of a task and against reused attempt numbers.
  fake_log log;
  owner one(log, "one");
  one.advance(100);
  one.submit();
  one.end(make_end(0, 1));
  one.advance(200);
  log.holder = "two";
  owner two(log, "two", one.now);
  two.advance(100);
  REQUIRE(two.port.announced.size() == 1);
  CHECK(two.port.announced[0] == partition_claim{0, 2});
  two.advance(3'600);
  CHECK(two.port.running.empty());
  CHECK(two.jobs->query(job_id) == durable_answer::running);
  two.advance(200);
  REQUIRE(two.port.running.contains(job_id));
  const auto& ownership = *two.port.running[job_id].ownership;
  CHECK(ownership.epoch == 2);
  CHECK(ownership.prior_attempts == attempts_per_epoch);
  CHECK(ownership.progress[0][0].done);
  CHECK_FALSE(ownership.progress[0][1].done);
}

TEST_CASE_FIXTURE(first_owner,
                  "ends that agents held for a crashed owner count for its successor") {
  // Guards against repeating a task whose end the crashed owner had not stored.
  one.submit();
  log.holder = "two";
  owner two(log, "two", one.now);
  two.advance(500);
  two.end(make_end(0, 1), false);
  two.end(make_end(0, 1), false); // Reported again after a session broke.
  two.end(make_end(1, 1, run_outcome::failed), false);
  two.advance(4'000);
  CHECK(two.port.acks.size() == 3);
  REQUIRE(two.port.running.contains(job_id));
  const auto& ownership = *two.port.running[job_id].ownership;
  CHECK(ownership.progress[0][0].done);
  CHECK(ownership.progress[0][1].failed_attempts == std::vector<std::uint32_t>{1});
}

TEST_CASE_FIXTURE(first_owner, "failed runs count once each, in whatever order their ends arrive") {
  // Guards against a task that is started again after all of its attempts failed: a new owner
  // counted an end only if its attempt was above all others (review/5).
  one.submit();
  log.holder = "two";
  owner two(log, "two", one.now);
  two.advance(500);
  for (const auto attempt : {3U, 1U, 2U, 1U, 3U}) {
    two.end(make_end(0, attempt, run_outcome::failed), false);
  }
  two.advance(100);
  CHECK(two.port.acks.size() == 5);
  two.end(make_end(0, 2, run_outcome::failed), false); // Its acknowledgement was lost.
  two.advance(100);
  CHECK(std::none_of(two.port.acks.begin(), two.port.acks.end(),
                     [](const end_ack& ack) { return ack.superseded; }));
  log.holder = "three";
  owner three(log, "three", two.now);
  three.advance(5'000);
  REQUIRE(three.port.running.contains(job_id));
  const auto& progress = three.port.running[job_id].ownership->progress;
  CHECK(progress[0][0].failed_attempts == std::vector<std::uint32_t>{1, 2, 3});
  CHECK(progress[0][0].ended_attempt == 3);
}

TEST_CASE_FIXTURE(first_owner, "a failure that is known late counts, or its end is superseded") {
  // Guards against starts beyond a task's three attempts when an earlier end arrives after them.
  one.submit();
  one.end(make_end(0, 2, run_outcome::failed));
  one.end(make_end(0, 1, run_outcome::failed), false);
  one.advance(100);
  REQUIRE(one.port.acks.size() == 2);
  CHECK_FALSE(one.port.acks[1].superseded);
  CHECK(one.port.late_failures == std::vector<run_id>{{{job_id, 0, 0}, 1}});
  // With this one known, the current run would not have been started.
  one.end(make_end(0, 3, run_outcome::failed), false);
  REQUIRE(one.port.acks.size() == 3);
  CHECK(one.port.acks[2].superseded);
  CHECK(one.port.late_failures.size() == 1);
}

TEST_CASE_FIXTURE(first_owner,
                  "a late failure of a task that has been started again is superseded after the "
                  "job has ended, at the next owner too") {
  // Guards against an end that is acknowledged although a start followed it, unknown to the owner.
  one.submit();
  one.end(make_end(0, 1, run_outcome::failed));
  one.end(make_end(0, 3));
  one.end(make_end(1, 1));
  one.jobs->job_ended(make_result(), at_ms(one.now));
  one.advance(200);
  const auto check = [](owner& any) {
    any.port.acks.clear();
    any.end(make_end(0, 1, run_outcome::failed), false); // Counted before.
    any.end(make_end(0, 2, run_outcome::failed), false);
    REQUIRE(any.port.acks.size() == 2);
    CHECK_FALSE(any.port.acks[0].superseded);
    CHECK(any.port.acks[1].superseded);
  };
  check(one);
  log.holder = "two";
  owner two(log, "two", one.now);
  two.advance(200);
  check(two);
}

TEST_CASE_FIXTURE(first_owner,
                  "an end of a lost run is superseded after the job has failed, at the next owner "
                  "too") {
  // Guards against an end that is acknowledged although its task was started again, because another
  // task of the job has failed meanwhile (found by durable_histories_test, seed 73).
  one.submit();
  SUBCASE("lost and started again by the same owner") {
    one.jobs->run_lost({{{job_id, 0, 1}, 1}}, at_ms(one.now));
    one.advance(200);
    one.jobs->job_ended(make_result(job_verdict::failed), at_ms(one.now));
    one.advance(200);
    one.end(make_end(1, 1), false);
    REQUIRE(one.port.acks.size() == 1);
    CHECK(one.port.acks[0].superseded);
  }
  SUBCASE("started again by the next owner") {
    log.holder = "two";
    owner two(log, "two", one.now);
    two.advance(4'000);
    REQUIRE(two.port.running.contains(job_id));
    two.jobs->job_ended(make_result(job_verdict::failed), at_ms(two.now));
    two.advance(200);
    two.end(make_end(1, 1), false);
    REQUIRE(two.port.acks.size() == 1);
    CHECK(two.port.acks[0].superseded);
    one.now = two.now;
  }
  log.holder = "three";
  owner three(log, "three", one.now);
  three.advance(200);
  three.end(make_end(1, 1), false);
  REQUIRE(three.port.acks.size() == 1);
  CHECK(three.port.acks[0].superseded);
}

TEST_CASE_FIXTURE(first_owner,
                  "an end that arrives after its task was started again is superseded") {
  one.submit();
  one.end(make_end(0, 1), false);
  REQUIRE(one.port.acks.size() == 1);
  CHECK(one.port.acks[0].superseded);
}

TEST_CASE_FIXTURE(first_owner, "such an end is superseded also after the job has ended") {
  // Found by the soak test, seed 302.
  one.submit();
  one.end(make_end(0, 2));
  one.end(make_end(1, 1));
  one.jobs->job_ended(make_result(), at_ms(one.now));
  one.advance(200);
  CHECK(one.jobs->query(job_id) == durable_answer::completed);
  one.end(make_end(0, 1), false);
  REQUIRE(one.port.acks.size() == 3);
  CHECK(one.port.acks[2].superseded);
  one.end(make_end(1, 1), false); // Reported again because the acknowledgement was lost.
  CHECK_FALSE(one.port.acks[3].superseded);
  log.holder = "two";
  owner two(log, "two", one.now);
  two.advance(200);
  two.end(make_end(0, 1), false);
  REQUIRE(two.port.acks.size() == 1);
  CHECK(two.port.acks[0].superseded);
}

TEST_CASE_FIXTURE(first_owner, "a lost run's task is started again only once the loss is stored") {
  // Guards against the next owner using an end of a run whose task was restarted (soak seed 2050).
  one.submit();
  log.current_mode = fake_log::mode::busy;
  const run_id lost{{job_id, 0, 0}, 1};
  one.jobs->run_lost({lost}, at_ms(one.now));
  one.advance(200);
  CHECK(one.port.restarted.empty());
  log.current_mode = fake_log::mode::normal;
  one.advance(200);
  CHECK(one.port.restarted == std::vector<run_id>{lost});
}

TEST_CASE_FIXTURE(first_owner, "the crashes of a task's workers are known to the next owner") {
  // Guards against a task that crashes workers without end because its owners change.
  one.submit();
  one.jobs->run_lost({{{job_id, 0, 0}, 1}, true}, at_ms(one.now));
  one.advance(200);
  one.jobs->run_lost({{{job_id, 0, 0}, 1}, true}, at_ms(one.now)); // Counts once.
  one.advance(200);
  one.jobs->run_lost({{{job_id, 0, 0}, 2}, false}, at_ms(one.now));
  one.advance(200);
  log.holder = "two";
  owner two(log, "two", one.now);
  two.advance(5'000);
  REQUIRE(two.port.running.contains(job_id));
  CHECK(two.port.running.at(job_id).ownership->progress[0][0].crashed_attempts ==
        std::vector<std::uint32_t>{1});
}

TEST_CASE_FIXTURE(first_owner, "jobs that wait for the runs of an earlier owner are counted") {
  // Guards against a queue that is said to be empty while its jobs wait out a hand-over.
  one.submit();
  one.submit(make_job(job_id + 1));
  one.end(make_end(0, 1));
  one.advance(200);
  const auto one_waits = [](std::uint64_t epoch) {
    return std::vector<partition_counts>{{{0, epoch}, 0, {{"queue", 1}}}};
  };
  CHECK(one.jobs->waiting_jobs() == one_waits(1)); // The other one has an end.
  log.holder = "two";
  owner two(log, "two", one.now);
  two.advance(1'000);
  CHECK(two.port.running.empty());
  CHECK(two.jobs->waiting_jobs() == one_waits(2));
  two.advance(4'000);
  CHECK(two.port.running.size() == 2);
  CHECK(two.jobs->waiting_jobs() == one_waits(2));
  two.port.placed = true;
  CHECK(two.jobs->waiting_jobs() == std::vector<partition_counts>{{{0, 2}, 0, {}}});
}

TEST_CASE_FIXTURE(first_owner, "jobs are counted until their partition has been released") {
  // Guards against a queue that is said to be empty while its partition moves to another entry.
  one.submit();
  log.current_mode = fake_log::mode::silent;
  one.jobs->leave(at_ms(one.now));
  CHECK(one.jobs->waiting_jobs() == std::vector<partition_counts>{{{0, 1}, 0, {{"queue", 1}}}});
  log.current_mode = fake_log::mode::normal;
  one.advance(1'500);
  CHECK(one.jobs->waiting_jobs().empty());
}

TEST_CASE_FIXTURE(first_owner, "a partition whose claim is not stored is not counted") {
  // Guards against a count of no jobs that replaces the true one of the owner.
  one.submit();
  log.holder = "two";
  owner two(log, "two", one.now);
  two.jobs->tick(at_ms(two.now));
  const auto appends = log.appends;
  while (log.appends == appends && !log.answers.empty()) {
    const auto next = std::move(log.answers.front());
    log.answers.pop_front();
    next();
  }
  REQUIRE(log.appends == appends + 1); // The claim, without its answer.
  CHECK(two.jobs->waiting_jobs().empty());
  log.deliver();
  CHECK(two.jobs->waiting_jobs() == std::vector<partition_counts>{{{0, 2}, 0, {{"queue", 1}}}});
}

TEST_CASE_FIXTURE(first_owner, "an owner that gives a partition up withdraws its claim") {
  // Guards against agents that hold ends for an entry that will never acknowledge them (review/2).
  one.submit();
  REQUIRE(one.port.announced.size() == 1);
  one.jobs->claim_seen({0, 9}, at_ms(one.now));
  CHECK_FALSE(one.jobs->owns(job_id));
  REQUIRE(one.port.announced.size() == 2);
  CHECK(one.port.announced[1] == partition_claim{0, withdrawn_epoch});
}

TEST_CASE_FIXTURE(first_owner, "a crash that an owner could not store counts at the next one") {
  // Guards against a task that crashes more workers with each change of its owner: the crashes that
  // the last owner learnt of while it could not write were forgotten (soak, seed 2).
  one.submit();
  const run_id crashed{{job_id, 0, 0}, 1};
  log.current_mode = fake_log::mode::busy;
  one.jobs->crash_reported(0, crashed, true, at_ms(one.now));
  one.jobs->run_lost({crashed, true}, at_ms(one.now));
  one.advance(200);
  CHECK(one.port.acks.empty()); // The agent keeps its report.
  log.current_mode = fake_log::mode::normal;
  log.holder = "two";
  owner two(log, "two", one.now);
  two.advance(200);
  two.jobs->crash_reported(0, crashed, false, at_ms(two.now));
  two.jobs->crash_reported(0, crashed, false, at_ms(two.now));
  two.advance(4'000);
  CHECK(two.port.acks.size() == 2);
  REQUIRE(two.port.running.contains(job_id));
  CHECK(two.port.running.at(job_id).ownership->progress[0][0].crashed_attempts ==
        std::vector<std::uint32_t>{1});
  // Reported by an agent that could not be reached before.
  two.jobs->crash_reported(0, {{job_id, 0, 1}, 1}, false, at_ms(two.now));
  CHECK(two.port.late_crashes == std::vector<run_id>{{{job_id, 0, 1}, 1}});
}

TEST_CASE_FIXTURE(first_owner, "an end of a lost run is superseded, also at the next owner") {
  // The agent restarts after the task was started again, and reports the end that its worker holds
  // to the owner of the next epoch (soak seed 2050).
  one.submit();
  one.jobs->run_lost({{{job_id, 0, 0}, 1}}, at_ms(one.now));
  one.advance(200);
  one.end(make_end(0, 1), false);
  REQUIRE(one.port.acks.size() == 1);
  CHECK(one.port.acks[0].superseded);
  log.holder = "two";
  owner two(log, "two", one.now);
  two.advance(200);
  two.end(make_end(0, 1), false);
  REQUIRE(two.port.acks.size() == 1);
  CHECK(two.port.acks[0].superseded);
  // The other task was not started again: its end is used.
  two.end(make_end(1, 1), false);
  two.advance(200);
  REQUIRE(two.port.acks.size() == 2);
  CHECK_FALSE(two.port.acks[1].superseded);
}

TEST_CASE_FIXTURE(first_owner, "an end of an epoch whose tasks were restarted is superseded") {
  // Guards against the third owner using an end of the first one's run, although the second owner
  // has started the task again.
  one.submit();
  log.holder = "two";
  owner two(log, "two", one.now);
  two.advance(4'500);
  REQUIRE(two.port.running.contains(job_id));
  log.holder = "three";
  owner three(log, "three", two.now);
  three.advance(200);
  three.end(make_end(0, 1), false);
  REQUIRE(three.port.acks.size() == 1);
  CHECK(three.port.acks[0].superseded);
  // The second owner's run was not restarted.
  three.end(make_end(1, attempts_per_epoch + 1), false);
  three.advance(200);
  REQUIRE(three.port.acks.size() == 2);
  CHECK_FALSE(three.port.acks[1].superseded);
}

TEST_CASE_FIXTURE(first_owner, "restored jobs are not run while the restart cannot be stored") {
  one.submit();
  log.holder = "two";
  owner two(log, "two", one.now);
  two.advance(3'700);
  log.current_mode = fake_log::mode::busy;
  two.advance(400);
  CHECK(two.port.running.empty());
  log.current_mode = fake_log::mode::normal;
  two.advance(400);
  CHECK(two.port.running.contains(job_id));
}

TEST_CASE_FIXTURE(first_owner, "an owner that was replaced can store nothing and gives up") {
  // Guards against two concurrent owners of a job.
  one.submit();
  log.holder = "two";
  owner two(log, "two", one.now);
  two.advance(100);
  one.end(make_end(0, 1));
  for (int i = 0; i < 4; ++i) {
    one.jobs->tick(at_ms(one.now += 20)); // Before its next renewal.
    log.deliver();
  }
  CHECK_FALSE(one.jobs->owns(job_id));
  CHECK(one.port.dropped == std::vector<std::uint64_t>{job_id});
  CHECK(one.port.acks.empty());
}

TEST_CASE_FIXTURE(first_owner, "an owner notices that its partition was elsewhere for a moment") {
  // Guards against an owner that knows nothing of the jobs that another one has accepted between
  // two renewals, and answers that they do not exist. Found by the random histories, seed 2519.
  log.holder = "two";
  owner two(log, "two", one.now);
  two.advance(60);
  CHECK(two.submit() == durable_answer::accepted);
  log.holder = "one";
  one.advance(1'000);
  CHECK(one.jobs->owns(job_id));
  CHECK(one.jobs->query(job_id) == durable_answer::running);
}

TEST_CASE_FIXTURE(first_owner, "an owner gives up when an agent knows a later one") {
  // Guards against an owner that keeps sending orders that agents refuse.
  one.submit();
  one.jobs->claim_seen({0, 1}, at_ms(one.now));
  CHECK(one.jobs->owns(job_id));
  one.jobs->claim_seen({0, 2}, at_ms(one.now));
  CHECK_FALSE(one.jobs->owns(job_id));
  CHECK(one.port.running.empty());
}

TEST_CASE_FIXTURE(first_owner, "an owner that cannot renew stops its jobs when its lease ends") {
  one.submit();
  log.current_mode = fake_log::mode::silent;
  one.advance(1'200);
  CHECK(one.port.running.contains(job_id));
  one.advance(1'000);
  CHECK(one.port.running.empty());
  CHECK(one.jobs->query(job_id) == durable_answer::not_owner);
  log.current_mode = fake_log::mode::normal;
  one.advance(6'000);
  CHECK(one.port.running.contains(job_id));
}

TEST_CASE_FIXTURE(first_owner, "one lost answer to a renewal does not cost the lease") {
  // Guards against stopping running jobs because a single answer of the store was lost.
  one.submit();
  log.unanswered_renewals = 1;
  one.advance(500);
  REQUIRE(log.lost);
  one.advance(log.lost_renewal_timeout.count());
  std::exchange(log.lost, nullptr)();
  one.advance(1'500);
  CHECK(one.port.running.contains(job_id));
  CHECK(one.port.dropped.empty());
}

TEST_CASE_FIXTURE(first_owner, "an owner that stalls for longer than its lease drops its jobs") {
  one.submit();
  one.now += 5'000;
  one.jobs->check_lease(at_ms(one.now));
  CHECK(one.port.running.empty());
  CHECK_FALSE(one.jobs->owns(job_id));
}

TEST_CASE(
    "an owner that leaves stops its runs, stores their ends and lets the next one start at once") {
  fake_log log;
  owner one(log, "one");
  one.advance(100);
  one.submit();
  one.port.placed = true;
  one.jobs->leave(at_ms(one.now));
  CHECK(one.port.suspended == std::vector<std::uint64_t>{job_id});
  one.advance(100);
  CHECK_FALSE(one.jobs->has_left());
  CHECK(one.jobs->query(job_id) == durable_answer::not_owner);
  one.end(make_end(0, 1)); // It was done before the stop arrived.
  one.port.placed = false;
  one.advance(200);
  CHECK(one.jobs->has_left());
  CHECK(log.leaves == 1);
  log.holder = "two";
  owner two(log, "two", one.now);
  two.advance(200);
  REQUIRE(two.port.running.contains(job_id));
  CHECK(two.port.running[job_id].ownership->progress[0][0].done);
}

TEST_CASE("an owner that leaves before the runs of an earlier one have ended stores no release") {
  fake_log log;
  owner one(log, "one");
  one.advance(100);
  one.submit();
  log.holder = "two";
  owner two(log, "two", one.now);
  two.advance(100);
  two.jobs->leave(at_ms(two.now));
  two.advance(100);
  log.holder = "three";
  owner three(log, "three", two.now);
  three.advance(1'000);
  CHECK(three.jobs->owns(job_id));
  CHECK(three.port.running.empty());
}

TEST_CASE("a submission whose append is in flight when its owner leaves is not refused") {
  // Guards against a refused job that the next owner runs. Found on a randomised day of the users'
  // test bench.
  fake_log log;
  owner one(log, "one");
  one.advance(4'000);
  std::optional<durable_answer> sent;
  std::optional<durable_answer> waiting;
  one.jobs->submit(make_job(), at_ms(one.now), [&](durable_answer answer) { sent = answer; });
  one.jobs->submit(make_job(5), at_ms(one.now), [&](durable_answer answer) { waiting = answer; });
  one.jobs->leave(at_ms(one.now));
  one.jobs->tick(at_ms(one.now += 1'100)); // The store does not answer during the release.
  CHECK(sent == durable_answer::unknown);
  CHECK(waiting == durable_answer::refused);
}

TEST_CASE_FIXTURE(first_owner,
                  "a cancelled job is stopped once that is stored, and stays cancelled") {
  one.submit();
  CHECK(one.cancel() == durable_answer::cancelled);
  CHECK(one.port.running.empty());
  CHECK(one.cancel() == durable_answer::cancelled);
  // A late end of a run is acknowledged and changes nothing.
  one.end(make_end(0, 1), false);
  CHECK(one.port.acks.size() == 1);
  log.holder = "two";
  owner two(log, "two", one.now);
  two.advance(5'000);
  CHECK(two.jobs->query(job_id) == durable_answer::cancelled);
  CHECK(two.port.running.empty());
  CHECK(two.submit() == durable_answer::accepted);
  CHECK(two.port.running.empty());
}

TEST_CASE_FIXTURE(first_owner, "a cancellation that is stored during a release is confirmed") {
  // Guards against reporting a stored cancellation as refused around the stop of its owner.
  one.submit();
  std::optional<durable_answer> got;
  one.jobs->cancel(job_id, at_ms(one.now), [&](durable_answer answer) { got = answer; });
  one.jobs->leave(at_ms(one.now));
  CHECK_FALSE(got.has_value());
  log.deliver();
  CHECK(got == durable_answer::cancelled);
}

TEST_CASE_FIXTURE(first_owner, "ended jobs and their records are removed after their retention") {
  // Guards against unbounded growth of the store.
  one.submit();
  one.end(make_end(0, 1));
  one.end(make_end(1, 1));
  one.jobs->job_ended(make_result(), at_ms(one.now));
  one.advance(130'000);
  CHECK(one.jobs->query(job_id) == durable_answer::completed);
  one.advance(25'000);
  CHECK(one.jobs->query(job_id) == durable_answer::no_such_job);
  CHECK(log.newest().size() == 1); // The owner's record.
}

TEST_CASE("records that cannot be read are skipped; the others are restored") {
  fake_log log;
  log.records = {{"odd", "1"},
                 {submission_key(1), "{"},
                 {progress_key(2), "[]"},
                 {owner_key, write_owner({4, "gone", true})},
                 {submission_key(3), R"({"ended":"failed","attempts":[[1]]})"}};
  owner one(log, "one");
  one.advance(200);
  CHECK(one.jobs->query(3) == durable_answer::failed);
  CHECK(one.jobs->query(1) == durable_answer::no_such_job);
  REQUIRE(one.port.announced.size() == 1);
  CHECK(one.port.announced[0].epoch == 5);
}

TEST_CASE("another entry finds the holder, and uses an old answer while the store is unreachable") {
  fake_log log;
  owner two(log, "two");
  two.advance(100);
  const auto ask = [&] {
    std::optional<std::string> got;
    two.jobs->find_holder(job_id, at_ms(two.now),
                          [&](std::optional<std::string> holder) { got = std::move(holder); });
    log.deliver();
    return got;
  };
  CHECK(ask() == "one");
  log.current_mode = fake_log::mode::silent;
  two.now += 5'000;
  CHECK(ask() == "one");
  two.now += 40'000;
  CHECK(ask() == std::nullopt);
}

} // namespace
} // namespace parsleylead
