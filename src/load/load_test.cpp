#include <cmath>
#include <doctest/doctest.h>
#include <future>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "parsleylead/load/job_file.hpp"
#include "parsleylead/load/job_generator.hpp"
#include "parsleylead/load/open_loop.hpp"
#include "parsleylead/load/senders.hpp"
#include "parsleylead/load/validate_answer.hpp"

namespace parsleylead {
namespace {

using namespace std::chrono_literals;

load_profile make_profile() {
  load_profile profile;
  profile.seed = 7;
  profile.jobs_per_second = 100;
  profile.max_jobs = 2000;
  profile.kinds = parse_kinds("a=0.75,b=0.25").value();
  profile.non_idempotent = {"b"};
  profile.sizes = parse_sizes("heavy:370").value();
  profile.cancel_share = 0.1;
  return profile;
}

std::vector<job_spec> generate(const load_profile& profile) {
  job_generator generator(profile);
  std::vector<job_spec> jobs;
  while (auto job = generator.next()) {
    jobs.push_back(*std::move(job));
  }
  return jobs;
}

job_spec make_job_of_two_tasks() {
  job_spec job;
  job.kind = "a";
  job.budget = 5s;
  job.tasks = {{10ms, "x"}, {20ms, "y"}};
  return job;
}

TEST_CASE("load: the same seed gives the same jobs, with the requested distributions") {
  // Policies can be compared only under the same load.
  const auto jobs = generate(make_profile());
  CHECK(jobs == generate(make_profile()));
  REQUIRE(jobs.size() == 2000);
  std::vector<std::int64_t> run_times;
  std::set<std::string> echoes;
  std::size_t single_task_jobs = 0;
  std::size_t max_tasks = 0;
  std::size_t jobs_of_kind_a = 0;
  std::size_t cancelled = 0;
  for (const auto& job : jobs) {
    single_task_jobs += job.tasks.size() == 1 ? 1 : 0;
    max_tasks = std::max(max_tasks, job.tasks.size());
    jobs_of_kind_a += job.kind == "a" ? 1 : 0;
    cancelled += job.cancel ? 1 : 0;
    CHECK(job.idempotent == (job.kind == "a"));
    for (const auto& task : job.tasks) {
      run_times.push_back(task.run_time.count());
      echoes.insert(task.echo);
    }
  }
  CHECK(echoes.size() == run_times.size());
  CHECK(single_task_jobs > 1000);
  CHECK(max_tasks > 100);
  CHECK(max_tasks <= 370);
  CHECK(jobs_of_kind_a == doctest::Approx(1500).epsilon(0.05));
  CHECK(cancelled == doctest::Approx(200).epsilon(0.2));
  std::sort(run_times.begin(), run_times.end());
  CHECK(run_times.front() >= 50);
  CHECK(run_times.back() <= 5000);
  CHECK(run_times[run_times.size() / 2] == doctest::Approx(205).epsilon(0.05));
  const auto long_tasks =
      run_times.end() - std::upper_bound(run_times.begin(), run_times.end(), 1000);
  CHECK(long_tasks == doctest::Approx(0.02 * static_cast<double>(run_times.size())).epsilon(0.25));
}

TEST_CASE("load: a burst multiplies the rate only during its duration") {
  auto profile = make_profile();
  profile.max_jobs = 0;
  profile.duration = 30s;
  profile.peak = parse_burst("5@10+10").value();
  int before = 0;
  int during = 0;
  for (const auto& job : generate(profile)) {
    before += job.arrival < 10s ? 1 : 0;
    during += job.arrival >= 10s && job.arrival < 20s ? 1 : 0;
  }
  CHECK(before == doctest::Approx(1000).epsilon(0.1));
  CHECK(during == doctest::Approx(5000).epsilon(0.1));
}

TEST_CASE("load: malformed flags are rejected") {
  for (const auto* text : {"", "heavy", "heavy:0", "even:3", "uniform:3x"}) {
    CHECK_FALSE(parse_sizes(text).ok());
  }
  for (const auto* text : {"", "a=0", "a=x", "=1", "a=-1"}) {
    CHECK_FALSE(parse_kinds(text).ok());
  }
  for (const auto* text : {"", "5", "5@1", "5@1+", "0@1+1", "5+1@2", "nan@1+1"}) {
    CHECK_FALSE(parse_burst(text).ok());
  }
  CHECK_FALSE(check(load_profile{}).ok());
}

TEST_CASE("load: answers that break the contract are detected") {
  // Otherwise a load test would pass although callers get the answers of other callers.
  const auto job = make_job_of_two_tasks();
  const auto validate = [&](int status, const std::string& body) {
    return validate_answer(job, {status, body}).end;
  };
  const std::string valid_body =
      R"({"submission":"s","state":"complete","answers":[{"echo":"x","submission":"s"},"{\"echo\":\"y\"}"]})";
  CHECK(validate(200, valid_body) == job_end::complete);
  CHECK(validate(202, valid_body) == job_end::wrong);
  for (const auto* answers :
       {R"([{"echo":"y"},{"echo":"x"}])", R"([{"echo":"x"}])", R"([{"echo":"x"},7])", "{}",
        R"([{"echo":"x","submission":"t"},{"echo":"y"}])"}) {
    const auto body =
        R"({"submission":"s","state":"complete","answers":)" + std::string(answers) + "}";
    CHECK(validate(200, body) == job_end::wrong);
  }
  CHECK(validate(200, "oops") == job_end::wrong);
  CHECK(validate(502, R"({"state":"failed","answers":[{"echo":"x"}]})") == job_end::wrong);
  CHECK(validate(502, R"({"state":"failed","reason":"agent_lost"})") == job_end::failed);
  CHECK(validate(499, R"({"state":"cancelled"})") == job_end::cancelled);
  const auto refused =
      validate_answer(job, {429, R"({"state":"refused","reason":"rate_limited"})"});
  CHECK(refused.end == job_end::refused);
  CHECK(refused.reason == "rate_limited");
}

TEST_CASE("load: the report computes slowdowns and message counts") {
  auto job = make_job_of_two_tasks();
  // With two slots of speed 1 the longest task is the bound, with one slot the total work is. A
  // faster worker shortens the longest task.
  CHECK(ideal_response_time(job, {2, 1}) == 20ms);
  CHECK(ideal_response_time(job, {1, 1}) == 30ms);
  CHECK(ideal_response_time(job, {1, 2}) == 15ms);
  CHECK(ideal_response_time(job, {4, 1, 4}) == 7500us);
  load_report report({2, 1});
  report.add(job, {job_end::complete, "", 40ms, 0});
  report.add(job, {job_end::refused, "queue_full", 1ms, 0});
  report.add_not_sent();
  const auto before = parse_message_counts("parsleylead_messages_total{process=\"e\"} 10\n");
  const auto after = parse_message_counts(
      "# TYPE parsleylead_messages_total counter\nparsleylead_messages_total{process=\"e\"} 18\n"
      "parsleylead_messages_total_other 99\n"
      "parsleylead_wasted_messages_total{process=\"e\",cause=\"probe\"} 3\n");
  report.add_messages(difference(before, after));
  // A restarted process counts from 0 again.
  report.add_messages(difference(after, before));
  const auto json = nlohmann::json::parse(report.to_json());
  CHECK(json["sent"] == 2);
  CHECK(json["not_sent"] == 1);
  CHECK(json["refused_by_reason"]["queue_full"] == 1);
  CHECK(json["slowdown"]["mean"] == doctest::Approx(2));
  CHECK(json["messages"]["per_task"] == doctest::Approx(9));
  CHECK(json["messages"]["wasted_per_task_by_cause"]["probe"] == doctest::Approx(1.5));
  const auto commas = [](const std::string& line) {
    return std::count(line.begin(), line.end(), ',');
  };
  CHECK(commas(report.csv_header()) == commas(report.csv_row()));
}

TEST_CASE("load: arrivals do not wait for answers, and jobs over the limit count as not sent") {
  // A closed loop would hide overload. No job is answered before the last one has arrived.
  constexpr std::uint64_t job_count = 50;
  std::promise<void> all_arrived;
  const std::shared_future<void> all_arrived_future = all_arrived.get_future().share();
  std::uint64_t generated = 0;
  const auto next = [&]() -> std::optional<job_spec> {
    if (generated == job_count) {
      all_arrived.set_value();
      return std::nullopt;
    }
    ++generated;
    return make_job_of_two_tasks();
  };
  const auto send = [&](const job_spec&) {
    const bool answered = all_arrived_future.wait_for(10s) == std::future_status::ready;
    return job_outcome{answered ? job_end::complete : job_end::lost, "", {}, 0};
  };
  load_report report({1, 1});
  open_loop(send, 10).run(next, report);
  CHECK(report.count(job_end::complete) == 10);
  CHECK(report.not_sent() == job_count - 10);
}

TEST_CASE("load: a lost non-idempotent job is resubmitted with the same key") {
  httplib::Server server;
  std::vector<std::string> keys;
  server.Post("/v1/jobs", [&](const httplib::Request& request, httplib::Response& response) {
    keys.push_back(nlohmann::json::parse(request.body)["key"]);
    if (keys.size() == 1) {
      // Loses the reply: the connection is closed in the middle of the body.
      response.set_content_provider(100, "text/plain", [](auto, auto, auto&) { return false; });
      return;
    }
    response.status = 409;
    response.set_content(R"({"state":"refused","reason":"duplicate_key"})", "application/json");
  });
  const int port = server.bind_to_any_port("127.0.0.1");
  std::thread thread([&] { server.listen_after_bind(); });
  auto job = make_job_of_two_tasks();
  job.idempotent = false;
  // Nothing listens on port 1, so the sender tries the next entry.
  entry_sender sender({{"127.0.0.1", 1}, {"127.0.0.1", static_cast<std::uint16_t>(port)}}, {1s, 5s},
                      true);
  const auto outcome = sender.send(job);
  server.stop();
  thread.join();
  CHECK(outcome.end == job_end::refused);
  CHECK(outcome.reason == "duplicate_key");
  CHECK(outcome.resubmissions == 1);
  REQUIRE(keys.size() == 2);
  CHECK(keys[0] == keys[1]);
}

TEST_CASE("load: job files are parsed and checked") {
  const auto job = job_file::parse(R"({"kind":"a","budget_ms":100,"tasks":[{"n":1}]} // comment)");
  REQUIRE(job.ok());
  CHECK(nlohmann::json::parse(job->body(true))["tasks"][0] == R"({"n":1})");
  for (const auto* text :
       {"", "[]", R"({"kind":"a","tasks":[1]})", R"({"kind":"a","budget_ms":0,"tasks":[1]})",
        R"({"kind":"a","budget_ms":5,"tasks":[]})", R"({"kind":"","budget_ms":5,"tasks":[1]})",
        R"({"kind":"a","budget_ms":5,"tasks":[1],"tsks":1})"}) {
    CHECK_FALSE(job_file::parse(text).ok());
  }
}

} // namespace
} // namespace parsleylead
