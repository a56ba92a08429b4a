#include "parsleylead/durable/durable_record.hpp"

#include <doctest/doctest.h>

#include <chrono>

#include "parsleylead/base/time.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

durable_record make_record() {
  durable_record record;
  record.job.id = 0x5c0e7a21d94b36f8ULL;
  record.job.terms = {"queue", "desk", milliseconds(60), 1.6, 3, 2};
  record.job.payload = "text with \"quotes\" and \xc3\xa9";
  record.job.steps.resize(2);
  record.job.steps[0].count = 3;
  record.job.steps[0].needs = {3'100, 64, 1};
  record.job.steps[0].estimate = milliseconds(900);
  record.job.steps[0].required_label = "a";
  record.job.steps[0].preferred_rack = "r1-3";
  record.job.steps[0].max_per_worker = 2;
  record.job.steps[1].count = 1;
  record.job.steps[1].depends_on = {0};
  record.first_epoch = 7;
  record.progress = empty_progress(record.job);
  return record;
}

TEST_CASE("a durable job is read back as it was written") {
  // Guards against a successor that runs a job with another payload or order of steps.
  auto record = make_record();
  record.progress[0][2] = {true, {1, 2}, 3, 4, {4}};
  record.progress[1][0] = {false, {}, 0, 2, {1, 2}};
  auto read = parse_durable_submission(record.job.id, write_submission(record));
  REQUIRE(read.ok());
  REQUIRE(parse_durable_progress(write_progress(record), *read).ok());
  CHECK(read->progress == record.progress);
  CHECK(read->first_epoch == 7);
  CHECK(read->job.payload == record.job.payload);
  CHECK(read->job.terms.queue == "queue");
  CHECK(read->job.terms.priority == 2);
  REQUIRE(read->job.steps.size() == 2);
  CHECK(read->job.steps[0].needs == record.job.steps[0].needs);
  CHECK(read->job.steps[0].required_label == "a");
  CHECK(read->job.steps[0].preferred_rack == "r1-3");
  CHECK(read->job.steps[0].max_per_worker == 2);
  CHECK(read->job.steps[1].depends_on == std::vector<std::uint32_t>{0});
  CHECK(write_submission(*read) == write_submission(record));
}

TEST_CASE("progress of earlier versions is read") {
  auto record = make_record();
  REQUIRE(parse_durable_progress("[[0,0,true,1,2],[0,1,false,1,2,4]]", record).ok());
  CHECK(record.progress[0][0] == task_progress{true, {2}, 2, 0, {}});
  CHECK(record.progress[0][1] == task_progress{false, {2}, 2, 4, {}});
  REQUIRE(parse_durable_progress("[[0,2,false,3,7,8,1]]", record).ok());
  CHECK(record.progress[0][2] == task_progress{false, {5, 6, 7}, 7, 8, {8}});
}

TEST_CASE("results, owners and keys are read back") {
  durable_record ended;
  ended.ended = job_verdict::cancelled;
  ended.progress = {{{true, {2, 4}, 5}, {}}};
  const auto read = parse_durable_submission(1, write_submission(ended));
  REQUIRE(read.ok());
  CHECK(read->ended == job_verdict::cancelled);
  REQUIRE(read->progress.size() == 1);
  CHECK(read->progress[0][0].ended_attempt == 5);
  CHECK(read->progress[0][0].failed_attempts == std::vector<std::uint32_t>{2, 4});
  const auto owner = parse_durable_owner(write_owner({9, "10.0.0.1:80", true}));
  REQUIRE(owner.ok());
  CHECK(owner->epoch == 9);
  CHECK(owner->member == "10.0.0.1:80");
  CHECK(owner->released);
  const auto key = parse_durable_key(progress_key(0xabcULL));
  REQUIRE(key.has_value());
  CHECK(key->job == 0xabcULL);
  CHECK(key->is_progress);
  CHECK_FALSE(parse_durable_key(submission_key(1))->is_progress);
  for (const char* foreign : {"", "owner", "j1", "jzzzzzzzzzzzzzzzz", "x0000000000000001"}) {
    CHECK_FALSE(parse_durable_key(foreign).has_value());
  }
}

TEST_CASE("malformed records are refused and change nothing") {
  auto record = make_record();
  for (const char* text :
       {"", "7", "{}", R"({"ended":"odd"})", R"({"ended":1})", R"({"ended":"failed"})"}) {
    CHECK_FALSE(parse_durable_submission(1, text).ok());
    CHECK_FALSE(parse_durable_owner(text).ok());
  }
  const auto before = record.progress;
  for (const char* text : {"", "{\"a\":1}", "[[0,9,true,0,1]]", "[[0]]", "[7]", "[[0,0,1,0,1]]"}) {
    CHECK_FALSE(parse_durable_progress(text, record).ok());
    CHECK(record.progress == before);
  }
}

TEST_CASE("a row of progress that cannot be read leaves the other rows in force") {
  // Guards against tasks that run again although their ends are stored (related to review/6).
  auto record = make_record();
  record.progress = empty_progress(record.job);
  const auto before = record.progress;
  CHECK_FALSE(parse_durable_progress("[[0],[0,0,true,0,1],[0,9,true,0,1]]", record).ok());
  CHECK(record.progress[0][0].done);
  CHECK(record.progress[0][0].ended_attempt == 1);
  record.progress[0][0] = {};
  CHECK(record.progress == before);
}

TEST_CASE("a stored job is read back whatever terms its queue has") {
  // Guards against accepted jobs that the next owner loses because it allows less than their queue.
  durable_record record;
  record.job.id = 7;
  record.job.terms = {"queue", "desk",         std::chrono::milliseconds(9'007'199'254'740'992),
                      1e9,     4'294'967'295U, 4'294'967'295U};
  record.job.steps.resize(1);
  record.job.steps[0].estimate = std::chrono::hours(24 * 1'000);
  const auto read = parse_durable_submission(7, write_submission(record));
  REQUIRE(read.ok());
  CHECK(read->job.terms.target == longest_duration);
  CHECK(read->job.terms.stretch == doctest::Approx(1e9));
  CHECK(read->job.terms.priority == 4'294'967'295U);
  CHECK(read->job.steps[0].estimate == std::chrono::hours(24 * 1'000));
}

} // namespace
} // namespace parsleylead
