// Owners of durable jobs against a store and a scheduler that are test doubles, in simulated time.

#include "parsleylead/durable/durable_jobs.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>

#include "../test_support.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t job_id = 0x77;

/// One partition and one group. Answers come at `deliver`.
class fake_log : public partition_log {
public:
  enum class mode : std::uint8_t {
    normal,
    /// Nothing is done, and the answer says so.
    busy,
    /// Appends are done, and their answers are lost.
    lost,
    /// Nothing is done and nothing is answered.
    silent,
  };

  void read_newest(const topic_partition&, const std::string&,
                   std::function<void(absl::StatusOr<keyed_snapshot>)> done) override {
    keyed_snapshot snapshot;
    snapshot.end = records.size();
    for (const auto& [key, value] : newest()) {
      snapshot.records.push_back({key, value});
    }
    later([this, snapshot, done] { done(answer(snapshot)); });
  }

  void read_records(const topic_partition&, std::uint64_t offset,
                    std::function<void(absl::StatusOr<keyed_snapshot>)> done) override {
    later([this, offset, done] {
      keyed_snapshot snapshot;
      snapshot.records.assign(records.begin() + static_cast<std::ptrdiff_t>(offset), records.end());
      snapshot.end = records.size();
      done(answer(snapshot));
    });
  }

  void append(const topic_partition&, std::uint64_t end, const std::vector<keyed_record>& added,
              std::function<void(absl::StatusOr<std::uint64_t>)> done) override {
    ++appends;
    if (how == mode::busy) {
      later([done] { done(absl::UnavailableError("busy")); });
      return;
    }
    if (how == mode::silent) {
      later([done] { done(absl::DeadlineExceededError("no answer")); });
      return;
    }
    if (end != records.size()) {
      later([done] { done(absl::AbortedError("another end")); });
      return;
    }
    records.insert(records.end(), added.begin(), added.end());
    const auto lost = how == mode::lost;
    later([done, lost, at = records.size()] {
      if (lost) {
        done(absl::DeadlineExceededError("no answer"));
      } else {
        done(at);
      }
    });
  }

  void join(const std::string&, const std::string& member, const std::string&, milliseconds,
            milliseconds patience, std::uint64_t,
            std::function<void(absl::StatusOr<group_assignment>)> done) override {
    ++generation;
    if (lost_joins > 0) {
      --lost_joins;
      lost = [done] { done(absl::DeadlineExceededError("no answer")); };
      lost_for = patience;
      return;
    }
    group_assignment share;
    share.generation = generation;
    if (member == holder) {
      share.partitions = {0};
    }
    later([this, share, done] { done(answer(share)); });
  }

  void leave(const std::string&, const std::string&,
             std::function<void(absl::Status)> done) override {
    ++leaves;
    later([done] { done(absl::OkStatus()); });
  }

  void holders(const std::string&,
               std::function<void(absl::StatusOr<std::vector<partition_holder>>)> done) override {
    later([this, done] { done(answer(std::vector<partition_holder>{{0, holder}})); });
  }

  /// The newest record of each key.
  std::map<std::string, std::string> newest() const {
    std::map<std::string, std::string> all;
    for (const auto& each : records) {
      if (each.value.empty()) {
        all.erase(each.key);
      } else {
        all[each.key] = each.value;
      }
    }
    return all;
  }

  void deliver() {
    while (!answers.empty()) {
      const auto next = std::move(answers.front());
      answers.pop_front();
      next();
    }
  }

  mode how = mode::normal;
  std::string holder = "one";
  std::vector<keyed_record> records;
  std::deque<std::function<void()>> answers;
  std::uint64_t generation = 0;
  int appends = 0;
  int leaves = 0;
  /// Renewals whose answers are lost; the caller hears of one after `lost_for`.
  int lost_joins = 0;
  std::function<void()> lost;
  milliseconds lost_for{0};

private:
  template <class Result>
  absl::StatusOr<Result> answer(Result result) const {
    if (how == mode::silent) {
      return absl::DeadlineExceededError("no answer");
    }
    if (how == mode::busy) {
      return absl::UnavailableError("busy");
    }
    return result;
  }

  void later(std::function<void()> what) { answers.push_back(std::move(what)); }
};

class fake_port : public durable_port {
public:
  void run_job(fleet_job job) override { running[job.id] = std::move(job); }
  void drop_job(std::uint64_t job) override {
    running.erase(job);
    dropped.push_back(job);
  }
  void suspend_job(std::uint64_t job) override { suspended.push_back(job); }
  bool is_placed(std::uint64_t job) const override { return placed && running.contains(job); }
  bool has_begun(std::uint64_t) const override { return placed; }
  void announce_claims(const std::vector<partition_claim>& claims) override {
    announced.insert(announced.end(), claims.begin(), claims.end());
  }
  void acknowledge_end(worker_index, const end_ack& note) override { notes.push_back(note); }

  std::map<std::uint64_t, fleet_job> running;
  std::vector<std::uint64_t> dropped;
  std::vector<std::uint64_t> suspended;
  std::vector<partition_claim> announced;
  std::vector<end_ack> notes;
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

/// One entry's durable jobs, at a time that the test moves.
struct owner {
  owner(fake_log& log, const std::string& name, std::int64_t start = 10'000)
      : log(log), now(start) {
    durable_settings settings;
    settings.member = name;
    settings.clock = [this] { return at_ms(now); };
    jobs.emplace(settings, log, port, events, metrics);
  }

  /// Plays time in steps of 20 ms, each with the store's answers.
  void play(std::int64_t span) {
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
    play(100);
    return *got;
  }

  std::optional<durable_answer> cancel() {
    auto got = std::make_shared<std::optional<durable_answer>>();
    jobs->cancel(job_id, at_ms(now), [got](durable_answer answer) { *got = answer; });
    play(100);
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
  first_owner() { one.play(100); }

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

TEST_CASE_FIXTURE(first_owner,
                  "a job that the store did not take is refused, and never stored later") {
  // Guards against a refusal after which the job runs.
  log.how = fake_log::mode::busy;
  CHECK(one.submit() == durable_answer::refused);
  log.how = fake_log::mode::normal;
  one.play(500);
  CHECK_FALSE(log.newest().contains(submission_key(job_id)));
  CHECK(one.jobs->query(job_id) == durable_answer::no_such_job);
}

TEST_CASE_FIXTURE(first_owner,
                  "an append whose answer is lost is found by reading, and the job runs once") {
  log.how = fake_log::mode::lost;
  one.submit();
  log.how = fake_log::mode::normal;
  one.play(200);
  CHECK(*one.answers.back() == durable_answer::accepted);
  CHECK(one.port.running.size() == 1);
  CHECK(std::count_if(log.records.begin(), log.records.end(),
                      [](const auto& each) { return each.key == submission_key(job_id); }) == 1);
}

TEST_CASE_FIXTURE(first_owner, "a caller hears neither yes nor no while the store is silent") {
  // Guards against "has not run" about a job whose append may still take effect.
  log.how = fake_log::mode::silent;
  one.submit();
  one.play(2'500);
  CHECK(*one.answers.back() == durable_answer::unknown);
}

TEST_CASE_FIXTURE(
    first_owner,
    "an end is noted only once it is stored, and a result shown only once it is stored") {
  // Guards against a second start after the worker has forgotten the end of the first one.
  one.submit();
  log.how = fake_log::mode::busy;
  one.end(make_end(0, 1));
  one.play(200);
  CHECK(one.port.notes.empty());
  log.how = fake_log::mode::normal;
  one.play(200);
  REQUIRE(one.port.notes.size() == 1);
  CHECK_FALSE(one.port.notes[0].superseded);
  log.how = fake_log::mode::busy;
  one.end(make_end(1, 1));
  one.jobs->job_ended(make_result(), at_ms(one.now));
  one.play(200);
  CHECK(one.jobs->query(job_id) == durable_answer::running);
  log.how = fake_log::mode::normal;
  one.play(200);
  CHECK(one.jobs->query(job_id) == durable_answer::completed);
  CHECK(one.port.notes.size() == 2);
  CHECK_FALSE(log.newest().contains(progress_key(job_id)));
}

TEST_CASE(
    "the successor of a dead owner waits until no run is left, and goes on from what is stored") {
  // Guards against two runs of a task, and against attempt numbers that were used before.
  fake_log log;
  owner one(log, "one");
  one.play(100);
  one.submit();
  one.end(make_end(0, 1));
  one.play(200);
  log.holder = "two";
  owner two(log, "two", one.now);
  two.play(100);
  REQUIRE(two.port.announced.size() == 1);
  CHECK(two.port.announced[0] == partition_claim{0, 2});
  two.play(3'600);
  CHECK(two.port.running.empty());
  CHECK(two.jobs->query(job_id) == durable_answer::running);
  two.play(200);
  REQUIRE(two.port.running.contains(job_id));
  const auto& tenure = *two.port.running[job_id].ownership;
  CHECK(tenure.epoch == 2);
  CHECK(tenure.prior_attempts == attempts_per_epoch);
  CHECK(tenure.progress[0][0].done);
  CHECK_FALSE(tenure.progress[0][1].done);
}

TEST_CASE_FIXTURE(first_owner, "ends that agents held for a dead owner count for its successor") {
  // Guards against a second start of a task whose end the dead owner had not stored.
  one.submit();
  log.holder = "two";
  owner two(log, "two", one.now);
  two.play(500);
  two.end(make_end(0, 1), false);
  two.end(make_end(0, 1), false); // Reported again after a session broke.
  two.end(make_end(1, 1, run_outcome::failed), false);
  two.play(4'000);
  CHECK(two.port.notes.size() == 3);
  REQUIRE(two.port.running.contains(job_id));
  const auto& tenure = *two.port.running[job_id].ownership;
  CHECK(tenure.progress[0][0].done);
  CHECK(tenure.progress[0][1].failures == 1);
}

TEST_CASE_FIXTURE(first_owner,
                  "an end that comes after its task was started again must not be taken note of") {
  one.submit();
  one.end(make_end(0, 1), false);
  REQUIRE(one.port.notes.size() == 1);
  CHECK(one.port.notes[0].superseded);
}

TEST_CASE_FIXTURE(first_owner,
                  "such an end must not be taken note of after the job has ended either") {
  // Found by the soak, seed 302.
  one.submit();
  one.end(make_end(0, 2));
  one.end(make_end(1, 1));
  one.jobs->job_ended(make_result(), at_ms(one.now));
  one.play(200);
  CHECK(one.jobs->query(job_id) == durable_answer::completed);
  one.end(make_end(0, 1), false);
  REQUIRE(one.port.notes.size() == 3);
  CHECK(one.port.notes[2].superseded);
  one.end(make_end(1, 1), false); // Told again, as the note was lost.
  CHECK_FALSE(one.port.notes[3].superseded);
  log.holder = "two";
  owner two(log, "two", one.now);
  two.play(200);
  two.end(make_end(0, 1), false);
  REQUIRE(two.port.notes.size() == 1);
  CHECK(two.port.notes[0].superseded);
}

TEST_CASE_FIXTURE(first_owner, "an owner that was replaced can store nothing and gives up") {
  // Guards against two owners of a job.
  one.submit();
  log.holder = "two";
  owner two(log, "two", one.now);
  two.play(100);
  one.end(make_end(0, 1));
  for (int i = 0; i < 4; ++i) {
    one.jobs->tick(at_ms(one.now += 20)); // Before its next renewal.
    log.deliver();
  }
  CHECK_FALSE(one.jobs->owns(job_id));
  CHECK(one.port.dropped == std::vector<std::uint64_t>{job_id});
  CHECK(one.port.notes.empty());
}

TEST_CASE_FIXTURE(first_owner, "an owner gives up when an agent knows a later one") {
  // Guards against an owner that keeps sending orders which agents refuse at once.
  one.submit();
  one.jobs->claim_seen({0, 1}, at_ms(one.now));
  CHECK(one.jobs->owns(job_id));
  one.jobs->claim_seen({0, 2}, at_ms(one.now));
  CHECK_FALSE(one.jobs->owns(job_id));
  CHECK(one.port.running.empty());
}

TEST_CASE_FIXTURE(first_owner, "an owner that cannot renew stops its jobs when its lease ends") {
  one.submit();
  log.how = fake_log::mode::silent;
  one.play(1'200);
  CHECK(one.port.running.contains(job_id));
  one.play(1'000);
  CHECK(one.port.running.empty());
  CHECK(one.jobs->query(job_id) == durable_answer::not_owner);
  log.how = fake_log::mode::normal;
  one.play(6'000);
  CHECK(one.port.running.contains(job_id));
}

TEST_CASE_FIXTURE(first_owner, "one lost answer to a renewal does not cost the lease") {
  // Guards against running jobs that are stopped because one answer of the store was lost.
  one.submit();
  log.lost_joins = 1;
  one.play(500);
  REQUIRE(log.lost);
  one.play(log.lost_for.count());
  std::exchange(log.lost, nullptr)();
  one.play(1'500);
  CHECK(one.port.running.contains(job_id));
  CHECK(one.port.dropped.empty());
}

TEST_CASE_FIXTURE(first_owner, "an owner that stood still past its lease acts no more") {
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
  one.play(100);
  one.submit();
  one.port.placed = true;
  one.jobs->leave(at_ms(one.now));
  CHECK(one.port.suspended == std::vector<std::uint64_t>{job_id});
  one.play(100);
  CHECK_FALSE(one.jobs->has_left());
  CHECK(one.jobs->query(job_id) == durable_answer::not_owner);
  one.end(make_end(0, 1)); // It was done before the stop arrived.
  one.port.placed = false;
  one.play(200);
  CHECK(one.jobs->has_left());
  CHECK(log.leaves == 1);
  log.holder = "two";
  owner two(log, "two", one.now);
  two.play(200);
  REQUIRE(two.port.running.contains(job_id));
  CHECK(two.port.running[job_id].ownership->progress[0][0].done);
}

TEST_CASE(
    "an owner that leaves before the runs of an earlier one have ended does not vouch for them") {
  fake_log log;
  owner one(log, "one");
  one.play(100);
  one.submit();
  log.holder = "two";
  owner two(log, "two", one.now);
  two.play(100);
  two.jobs->leave(at_ms(two.now));
  two.play(100);
  log.holder = "three";
  owner three(log, "three", two.now);
  three.play(1'000);
  CHECK(three.jobs->owns(job_id));
  CHECK(three.port.running.empty());
}

TEST_CASE("a submission whose append is on its way when its owner leaves is not called refused") {
  // Guards against a refused job that its next owner runs. Found by a hunted day.
  fake_log log;
  owner one(log, "one");
  one.play(4'000);
  std::optional<durable_answer> sent;
  std::optional<durable_answer> waiting;
  one.jobs->submit(make_job(), at_ms(one.now), [&](durable_answer answer) { sent = answer; });
  one.jobs->submit(make_job(5), at_ms(one.now), [&](durable_answer answer) { waiting = answer; });
  one.jobs->leave(at_ms(one.now));
  one.jobs->tick(at_ms(one.now += 1'100)); // The store answers nothing for the whole release.
  CHECK(sent == durable_answer::unknown);
  CHECK(waiting == durable_answer::refused);
}

TEST_CASE_FIXTURE(first_owner,
                  "a cancelled job is stopped once that is stored, and stays cancelled") {
  one.submit();
  CHECK(one.cancel() == durable_answer::cancelled);
  CHECK(one.port.running.empty());
  CHECK(one.cancel() == durable_answer::cancelled);
  // A late end of a run is noted and changes nothing.
  one.end(make_end(0, 1), false);
  CHECK(one.port.notes.size() == 1);
  log.holder = "two";
  owner two(log, "two", one.now);
  two.play(5'000);
  CHECK(two.jobs->query(job_id) == durable_answer::cancelled);
  CHECK(two.port.running.empty());
  CHECK(two.submit() == durable_answer::accepted);
  CHECK(two.port.running.empty());
}

TEST_CASE_FIXTURE(
    first_owner,
    "ended jobs are forgotten, and their records dropped, after the time for questions") {
  // Guards against a store that fills up.
  one.submit();
  one.end(make_end(0, 1));
  one.end(make_end(1, 1));
  one.jobs->job_ended(make_result(), at_ms(one.now));
  one.play(130'000);
  CHECK(one.jobs->query(job_id) == durable_answer::completed);
  one.play(25'000);
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
  one.play(200);
  CHECK(one.jobs->query(3) == durable_answer::failed);
  CHECK(one.jobs->query(1) == durable_answer::no_such_job);
  REQUIRE(one.port.announced.size() == 1);
  CHECK(one.port.announced[0].epoch == 5);
}

TEST_CASE("another entry finds the holder, and believes an old answer while the store is away") {
  fake_log log;
  owner two(log, "two");
  two.play(100);
  const auto ask = [&] {
    std::optional<std::string> got;
    two.jobs->find_holder(job_id, at_ms(two.now),
                          [&](std::optional<std::string> holder) { got = std::move(holder); });
    log.deliver();
    return got;
  };
  CHECK(ask() == "one");
  log.how = fake_log::mode::silent;
  two.now += 5'000;
  CHECK(ask() == "one");
  two.now += 40'000;
  CHECK(ask() == std::nullopt);
}

} // namespace
} // namespace parsleylead
