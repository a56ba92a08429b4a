#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

#include "commands.hpp"
#include "parsleylead/load/job_generator.hpp"
#include "parsleylead/load/open_loop.hpp"
#include "parsleylead/load/senders.hpp"
#include "parsleylead/tool/command_line.hpp"

DEFINE_string(entry, "", "Address ip:port of one entry (submit, get, cancel)");
DEFINE_string(file, "", "Job file (submit)");
DEFINE_bool(new_key, false, "Set the job's key to a new UUIDv7 (submit)");
DEFINE_bool(wait, true, "Wait for the job's end (submit)");
DEFINE_bool(json, false, "Print JSON");
DEFINE_string(entries, "", "Addresses ip:port,... of entries (run)");
DEFINE_string(upstream, "", "Address ip:port of an upstream (direct)");
DEFINE_string(operations, "",
              "Operations addresses ip:port,... of processes to read /metrics from");
DEFINE_uint64(seed, 1, "Seed; the same seed and flags give the same jobs");
DEFINE_double(rate, 10, "Jobs per second");
DEFINE_double(duration_s, 0, "Length of the run in seconds; 0: until --jobs");
DEFINE_uint64(jobs, 0, "Number of jobs; 0: until --duration_s");
DEFINE_string(sizes, "uniform:1", "Tasks per job: uniform:N, or heavy:N (heavy-tailed, at most N)");
DEFINE_uint32(median_ms, 200, "Median run time of a task");
DEFINE_uint32(min_ms, 50, "Minimum run time of a task");
DEFINE_uint32(max_ms, 1000, "Maximum run time of a task that is not long");
DEFINE_double(long_share, 0.02, "Share of long tasks");
DEFINE_uint32(long_min_ms, 2000, "Minimum run time of a long task");
DEFINE_uint32(long_max_ms, 5000, "Maximum run time of a long task");
DEFINE_string(kinds, "", "Kinds and their shares of the jobs, for example a=0.5,b=0.5");
DEFINE_string(nonidempotent, "", "Kinds that need a key, for example b");
DEFINE_double(cancel_share, 0, "Share of jobs that are cancelled");
DEFINE_string(burst, "", "FACTOR@START+DURATION in seconds, for example 5@10+2");
DEFINE_bool(resubmit, false, "Resend a lost non-idempotent job with the same key to another entry");
DEFINE_uint32(budget_ms, 30'000, "Time budget of each job");
DEFINE_uint32(max_open, 256, "Maximum number of open jobs; further jobs count as not sent");
DEFINE_uint32(slots, 8, "Slots of all workers together, for the ideal response time");
DEFINE_double(mean_speed, 1, "Mean speed of the workers, for the ideal response time");
DEFINE_double(best_speed, 0, "Speed of the fastest worker, for the ideal; 0: the mean speed");
DEFINE_string(csv, "", "Append a row to this file");

namespace parsleylead {
namespace {

constexpr auto help = R"(parsleyload sends jobs to entries.

Usage:
  parsleyload submit --entry ip:port --file job.json [--new_key] [--nowait] [--json]
      Sends one job, {"kind","key"?,"budget_ms","tasks":[...]}, and prints its answer.
  parsleyload get ID --entry ip:port [--json]
      Prints the state of a job.
  parsleyload cancel ID --entry ip:port [--json]
      Cancels a job.
  parsleyload run --entries ip:port,... --kinds a=0.5,b=0.5 [--nonidempotent b]
      --rate JOBS_PER_S (--duration_s S | --jobs N) [--seed N] [--sizes uniform:N|heavy:N]
      [--median_ms --min_ms --max_ms --long_share --long_min_ms --long_max_ms] [--budget_ms MS]
      [--cancel_share P] [--burst FACTOR@START+DURATION] [--resubmit] [--max_open N]
      [--slots N --mean_speed X --best_speed X] [--operations ip:port,...] [--json] [--csv FILE]
      Open-loop load: arrivals do not wait for answers. Every answer is checked.
  parsleyload direct --upstream ip:port --kinds a --rate JOBS_PER_S (--duration_s S | --jobs N)
      The same load with one task per job, sent directly to an upstream as a baseline.

Exit codes: 0 complete; 1 refused, failed or a wrong answer; 2 usage error; 3 unreachable or no
reply. run and direct exit with 1 if an answer was wrong, and with 3 if no job was answered.
)";

exit_code usage_error(const std::string& message) {
  std::cerr << "parsleyload: " << message << " (see --help)\n";
  return exit_code::usage;
}

absl::StatusOr<load_profile> make_profile() {
  load_profile profile;
  profile.seed = FLAGS_seed;
  profile.jobs_per_second = FLAGS_rate;
  profile.max_jobs = FLAGS_jobs;
  profile.duration = std::chrono::duration<double>(FLAGS_duration_s);
  profile.cancel_share = FLAGS_cancel_share;
  profile.budget = std::chrono::milliseconds(FLAGS_budget_ms);
  using std::chrono::milliseconds;
  profile.times = {milliseconds(FLAGS_median_ms),   milliseconds(FLAGS_min_ms),
                   milliseconds(FLAGS_max_ms),      FLAGS_long_share,
                   milliseconds(FLAGS_long_min_ms), milliseconds(FLAGS_long_max_ms)};
  auto sizes = parse_sizes(FLAGS_sizes);
  if (!sizes.ok()) {
    return sizes.status();
  }
  profile.sizes = *sizes;
  auto kinds = parse_kinds(FLAGS_kinds);
  if (!kinds.ok()) {
    return kinds.status();
  }
  profile.kinds = *std::move(kinds);
  for (auto& kind : split_list(FLAGS_nonidempotent)) {
    profile.non_idempotent.insert(std::move(kind));
  }
  if (!FLAGS_burst.empty()) {
    auto peak = parse_burst(FLAGS_burst);
    if (!peak.ok()) {
      return peak.status();
    }
    profile.peak = *peak;
  }
  if (auto status = check(profile); !status.ok()) {
    return status;
  }
  return profile;
}

/// Message counts of each process before the run, or the error of reading them.
using counter_readings = std::vector<std::pair<endpoint, absl::StatusOr<message_counts>>>;

counter_readings read_counters(const std::vector<endpoint>& processes) {
  counter_readings readings;
  readings.reserve(processes.size());
  for (const auto& process : processes) {
    readings.emplace_back(process, read_message_counts(process));
  }
  return readings;
}

void add_messages(const counter_readings& before, load_report& report) {
  for (const auto& [process, counts_before] : before) {
    const auto counts_after = read_message_counts(process);
    if (counts_before.ok() && counts_after.ok()) {
      report.add_messages(difference(*counts_before, *counts_after));
    } else {
      report.add_unread_process(to_string(process));
    }
  }
}

void append_csv(const std::string& path, const load_report& report) {
  std::error_code error;
  const bool is_new =
      !std::filesystem::exists(path, error) || std::filesystem::file_size(path, error) == 0;
  std::ofstream file(path, std::ios::app);
  if (is_new) {
    file << report.csv_header() << '\n';
  }
  file << report.csv_row() << '\n';
  if (!file.flush()) {
    std::cerr << "parsleyload: cannot write " << path << '\n';
  }
}

exit_code run_load(job_sender send, const load_profile& profile,
                   const std::vector<endpoint>& processes) {
  load_report report({FLAGS_slots, FLAGS_mean_speed, FLAGS_best_speed});
  const auto before = read_counters(processes);
  job_generator jobs(profile);
  open_loop(std::move(send), FLAGS_max_open).run([&] { return jobs.next(); }, report);
  add_messages(before, report);
  std::cout << (FLAGS_json ? report.to_json() + "\n" : report.to_text());
  if (!FLAGS_csv.empty()) {
    append_csv(FLAGS_csv, report);
  }
  if (report.count(job_end::wrong) > 0) {
    return exit_code::refused;
  }
  const auto answered = report.count(job_end::complete) + report.count(job_end::failed) +
                        report.count(job_end::refused) + report.count(job_end::cancelled);
  return answered == 0 ? exit_code::unreachable : exit_code::success;
}

http_timeouts load_timeouts() {
  constexpr std::chrono::seconds reply_margin{10};
  return {std::chrono::seconds(2), std::chrono::milliseconds(FLAGS_budget_ms) + reply_margin};
}

exit_code run_command() {
  const auto entries = parse_endpoints(FLAGS_entries);
  if (!entries.ok()) {
    return usage_error("--entries: " + std::string(entries.status().message()));
  }
  const auto profile = make_profile();
  if (!profile.ok()) {
    return usage_error(std::string(profile.status().message()));
  }
  std::vector<endpoint> processes;
  if (!FLAGS_operations.empty()) {
    auto parsed = parse_endpoints(FLAGS_operations);
    if (!parsed.ok()) {
      return usage_error("--operations: " + std::string(parsed.status().message()));
    }
    processes = *std::move(parsed);
  }
  entry_sender sender(*entries, load_timeouts(), FLAGS_resubmit);
  return run_load([&](const job_spec& job) { return sender.send(job); }, *profile, processes);
}

exit_code direct_command() {
  const auto upstream = parse_endpoint(FLAGS_upstream);
  if (!upstream.ok()) {
    return usage_error("--upstream: " + std::string(upstream.status().message()));
  }
  auto profile = make_profile();
  if (!profile.ok()) {
    return usage_error(std::string(profile.status().message()));
  }
  profile->sizes = {size_distribution::shape::uniform, 1};
  profile->cancel_share = 0;
  upstream_sender sender(*upstream, load_timeouts());
  return run_load([&](const job_spec& job) { return sender.send(job); }, *profile, {});
}

exit_code dispatch(const std::vector<std::string>& arguments) {
  const auto command = arguments.empty() ? std::string() : arguments.front();
  const bool takes_id = command == "get" || command == "cancel";
  if (arguments.size() != (takes_id ? 2U : 1U)) {
    return usage_error(takes_id ? command + " needs the ID of a job" : "expected one command");
  }
  if (FLAGS_max_open == 0 || FLAGS_slots == 0 || !(FLAGS_mean_speed > 0)) {
    return usage_error("--max_open, --slots and --mean_speed must be above 0");
  }
  if (command == "run") {
    return run_command();
  }
  if (command == "direct") {
    return direct_command();
  }
  const auto entry = parse_endpoint(FLAGS_entry);
  if (command != "submit" && !takes_id) {
    return usage_error("unknown command \"" + command + "\"");
  }
  if (!entry.ok()) {
    return usage_error("--entry: " + std::string(entry.status().message()));
  }
  if (command == "submit") {
    return submit_command(*entry, {FLAGS_file, FLAGS_new_key, FLAGS_wait, FLAGS_json});
  }
  return job_command(*entry, command == "get" ? "GET" : "DELETE", arguments.at(1), FLAGS_json);
}

} // namespace
} // namespace parsleylead

int main(int argc, char** argv) {
  const auto arguments = parsleylead::parse_command_line(argc, argv, parsleylead::help);
  return static_cast<int>(parsleylead::dispatch(arguments));
}
