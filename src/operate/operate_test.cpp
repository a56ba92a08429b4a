#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "parsleylead/base/error.hpp"
#include "parsleylead/operate/catalogue_file.hpp"
#include "parsleylead/operate/plan_changes.hpp"
#include "parsleylead/operate/show.hpp"
#include "parsleylead/platform_log/memory_log_service.hpp"

namespace parsleylead {
namespace {

using namespace std::chrono_literals;

const publish_options single_attempt{0ms, 1ms};

std::vector<catalogue_entry> make_file(int in_flight) {
  const auto file = parse_catalogue_file(
      R"([ // a comment
        {"subject":"owner","name":"desk","value":{"in_flight":)" +
      std::to_string(in_flight) + R"(,"rate_per_s":5}}])");
  REQUIRE(file.value.has_value());
  return *file.value;
}

std::vector<catalogue_change> plan(const std::vector<catalogue_entry>& file,
                                   const catalogue_replica& current) {
  return plan_changes(file, current, absent_subjects::keep, "alice");
}

TEST_CASE("operate: all errors of a catalogue file are reported with their paths") {
  const auto file = parse_catalogue_file(
      R"([{"subject":"owner","name":"a","value":{"in_flight":0,"rate_per_s":1}},
          {"subject":"drain","name":"b","value":{}},{"subject":"drain","name":"b","value":{}}])");
  REQUIRE(file.errors.size() == 2);
  CHECK(file.errors[0].path == "[0].value.in_flight");
  CHECK(file.errors[1].path == "[2]");
  CHECK(file.errors[1].allowed == "each subject once");
  CHECK_FALSE(parse_catalogue_file("{}").errors.empty());
  CHECK_FALSE(load_catalogue_file("/nonexistent").errors.empty());
}

TEST_CASE("operate: a change is planned only for subjects that differ") {
  memory_log_service log;
  auto replica = read_catalogue(log).value();
  const auto first = plan(make_file(3), replica);
  REQUIRE(first.size() == 1);
  const auto result = publish_change(log, replica, first[0], single_attempt);
  REQUIRE(result.ok());
  CHECK(result->result == change_result::accepted);
  CHECK(result->offset == 1);
  CHECK(plan(make_file(3), replica).empty());
  const auto second = plan(make_file(4), read_catalogue(log).value());
  REQUIRE(second.size() == 1);
  CHECK(second[0].base_revision == 1);
  // An empty file removes subjects only with absent_subjects::remove.
  CHECK(plan({}, replica).empty());
  const auto pruned = plan_changes({}, replica, absent_subjects::remove, "alice");
  REQUIRE(pruned.size() == 1);
  CHECK_FALSE(pruned[0].value.has_value());
}

TEST_CASE("operate: a conflicting change reports the accepted one") {
  memory_log_service log;
  auto alice = read_catalogue(log).value();
  auto bob = read_catalogue(log).value();
  const auto bobs_changes = plan_changes(make_file(9), bob, absent_subjects::keep, "bob");
  REQUIRE(publish_change(log, bob, bobs_changes[0], single_attempt).ok());
  const auto result = publish_change(log, alice, plan(make_file(3), alice)[0], single_attempt);
  REQUIRE(result.ok());
  CHECK(result->result == change_result::conflict);
  REQUIRE(result->winner.has_value());
  CHECK(result->winner->operator_name == "bob");
  CHECK(show_results({*result}, output_format::text).find("by bob, at offset 1") !=
        std::string::npos);
}

TEST_CASE("operate: a change whose reply is lost is appended once and reported as accepted") {
  memory_log_service log;
  auto replica = read_catalogue(log).value();
  log.lose_replies(1);
  const auto result = publish_change(log, replica, plan(make_file(3), replica)[0], single_attempt);
  REQUIRE(result.ok());
  CHECK(result->result == change_result::accepted);
  CHECK(log.statistics().appends == 1);
}

TEST_CASE("operate: publishing to a log that is down reports an unknown result") {
  memory_log_service log;
  auto replica = read_catalogue(log).value();
  log.set_down(true);
  const auto result = publish_change(log, replica, plan(make_file(3), replica)[0], single_attempt);
  CHECK(result.status().code() == absl::StatusCode::kDeadlineExceeded);
}

TEST_CASE("operate: a truncated log is not read as an empty catalogue") {
  // Otherwise a publish would overwrite subjects whose records the log has deleted.
  memory_log_service log;
  auto replica = read_catalogue(log).value();
  REQUIRE(publish_change(log, replica, plan(make_file(3), replica)[0], single_attempt).ok());
  REQUIRE(publish_change(log, replica, plan(make_file(4), replica)[0], single_attempt).ok());
  log.forget_below("catalogue", 2);
  CHECK(read_catalogue(log).status().code() == absl::StatusCode::kFailedPrecondition);
}

TEST_CASE("operate: drains are planned separately from the catalogue file") {
  memory_log_service log;
  auto replica = read_catalogue(log).value();
  CHECK_FALSE(plan_drain("entry-1", false, replica, "alice").has_value());
  const auto drain = plan_drain("entry-1", true, replica, "alice");
  REQUIRE(drain.has_value());
  REQUIRE(publish_change(log, replica, *drain, single_attempt).ok());
  CHECK(replica.is_draining("entry-1"));
  CHECK_FALSE(plan_drain("entry-1", true, replica, "alice").has_value());
  CHECK(plan_changes({}, replica, absent_subjects::remove, "alice").empty());
  const auto shown = nlohmann::json::parse(show_catalogue(replica, output_format::json));
  CHECK(shown["subjects"][0]["name"] == "entry-1");
  CHECK(nlohmann::json::parse(show_history(replica, output_format::json)).size() == 1);
}

TEST_CASE("operate: waiting reports lagging and diverged processes") {
  const std::vector<endpoint> processes = {{"127.0.0.1", 1}, {"127.0.0.1", 2}, {"127.0.0.1", 3}};
  int poll_count = 0;
  const page_reader read = [&](const endpoint& process, const std::string&) {
    poll_count += process.port == 1 ? 1 : 0;
    if (process.port == 3) {
      return absl::StatusOr<std::string>(
          make_error(absl::StatusCode::kUnavailable, step::connect, "", "refused"));
    }
    // The second process reaches offset 7 in the third poll.
    const bool reached = process.port == 1 || poll_count >= 3;
    return absl::StatusOr<std::string>(R"({"process":"e)" + std::to_string(process.port) +
                                       R"(","digest":"d)" + std::to_string(process.port) +
                                       R"(","offset":)" + (reached ? "7}" : "6}"));
  };
  const auto timed_out = wait_for_offset(processes, read, {7, 0ms, 1ms});
  CHECK_FALSE(timed_out.reached);
  CHECK(timed_out.lagging == std::vector<std::string>{"e2", "127.0.0.1:3"});
  CHECK(timed_out.diverged.empty());
  const auto same_offset = wait_for_offset({processes[0], processes[1]}, read, {7, 10s, 1ms});
  CHECK(same_offset.reached);
  // Processes with different digests at the same offset have diverged.
  CHECK(same_offset.diverged == std::vector<std::string>{"e1", "e2"});
}

TEST_CASE("operate: an explanation names the worker, the reasons and the refusal") {
  // Guards against an explanation that shows an excluded worker as usable, or hides a refusal.
  const std::string explanation =
      R"({"route":"q","service":"desk","priority":1,"objective_ms":140,"critical_path_ms":50,)"
      R"("expected_wait_ms":30,"waiting_tasks":4,"searches":false,"refusal":"zone_evacuated",)"
      R"("steps":[{"workers":[{"agent":"side-1","availability_zone":"z","run_ms":50,"score":55.5,)"
      R"("free_cpu_millis":2000,"capacity_cpu_millis":8000,"slowdown":1.0},)"
      R"({"agent":"side-2","availability_zone":"z","excluded":"zone_evacuated",)"
      R"("free_cpu_millis":8000,"capacity_cpu_millis":8000,"slowdown":1.0}]}]})";
  const auto text = show_explanation(explanation, output_format::text);
  CHECK(text.find("refused: zone_evacuated") != std::string::npos);
  CHECK(text.find("score 55.5, run 50 ms") != std::string::npos);
  CHECK(text.find("excluded: zone_evacuated") != std::string::npos);
  CHECK(show_explanation(explanation, output_format::json) == explanation + "\n");
  CHECK_FALSE(make_explanation_request("h", "/p", "{").ok());
  const auto request = make_explanation_request("h", "/p", R"({"spec":"x"})");
  REQUIRE(request.ok());
  CHECK(nlohmann::json::parse(*request)["submission"]["spec"] == "x");
}

} // namespace
} // namespace parsleylead
