#include <algorithm>
#include <filesystem>
#include <sstream>

#include "cell.hpp"

namespace parsleylead::faults {
namespace {

using namespace std::chrono_literals;

load_profile short_tasks(std::uint64_t tasks) {
  load_profile profile;
  profile.callers = 32;
  profile.min_tasks = 1;
  profile.max_tasks = 20;
  profile.min_sleep_ms = 1;
  profile.max_sleep_ms = 5;
  profile.keyed_share = 0.2;
  // Limits the load to about 400 tasks a second, so that many faults are injected before the last
  // task.
  profile.pause = 800ms;
  profile.max_total_tasks = tasks;
  return profile;
}

// Excludes the deregistration of an upstream, which does not return for the rest of the run.
std::vector<fault_definition> faults_without_upstream_loss() {
  auto faults = all_faults();
  std::erase_if(faults, [](const auto& fault) { return fault.name == "upstream leaves"; });
  return faults;
}

void append(std::vector<std::string>& target, std::vector<std::string> more) {
  std::move(more.begin(), more.end(), std::back_inserter(target));
}

std::string describe(const std::vector<std::string>& violations) {
  constexpr std::size_t shown = 5;
  std::ostringstream text;
  for (std::size_t i = 0; i < violations.size() && i < shown; ++i) {
    text << "; " << violations[i];
  }
  if (violations.size() > shown) {
    text << "; and " << violations.size() - shown << " more";
  }
  return text.str();
}

} // namespace

cell_result run_random(const run_options& options, std::uint64_t seed, std::uint64_t tasks,
                       std::chrono::seconds limit) {
  cell_result result{"random", "all", seed, "failed", ""};
  const auto folder = options.folder + "/random-" + std::to_string(seed);
  std::filesystem::create_directories(folder);
  std::vector<std::string> violations;
  try {
    site test_site({options.binaries, folder, 2, 4, 16, 20});
    test_site.start();
    catalogue_watch catalogue(test_site, 250ms);
    caller_load load(test_site, short_tasks(tasks), seed);
    cell_context cell{test_site, load, catalogue, 1, 1, {}};
    std::mt19937_64 random(seed);
    const auto faults = faults_without_upstream_loss();
    const auto deadline = std::chrono::steady_clock::now() + limit;
    int injected = 0;
    // Injects faults until the last task is submitted; the deadline ends a run without progress.
    while (!load.exhausted() && std::chrono::steady_clock::now() < deadline) {
      cell.entry = 1 + static_cast<int>(random() % 2);
      cell.agent = 1 + static_cast<int>(random() % 4);
      const auto& fault = faults[random() % faults.size()];
      fault.inject(cell);
      ++injected;
      pause(std::chrono::milliseconds(100 + random() % 700));
    }
    if (!load.exhausted()) {
      violations.push_back("only " + std::to_string(load.tasks()) +
                           " tasks were submitted in time");
    }
    const auto healed_at = std::chrono::steady_clock::now();
    require_recovery(cell);
    load.stop();
    catalogue.stop();
    append(violations, catalogue.check(healed_at));
    append(violations, judge_accounts(test_site));
    const auto ended = test_site.finish();
    violations.insert(violations.begin(), ended.begin(), ended.end());
    auto verdict = judge_run(test_site, load.attempts(), tolerance::reported_failures);
    append(violations, std::move(verdict.violations));
    append(violations, std::move(cell.violations));
    result.summary = std::to_string(injected) + " faults; " + std::to_string(load.tasks()) +
                     " tasks; " + verdict.summary() + "; " + std::to_string(catalogue.changes()) +
                     " changes";
  } catch (const std::exception& error) {
    violations.push_back(std::string("the run was aborted: ") + error.what());
  }
  result.result = violations.empty() ? "passed" : "failed";
  result.summary += describe(violations);
  if (violations.empty()) {
    std::filesystem::remove_all(folder);
  }
  return result;
}

} // namespace parsleylead::faults
