#include <algorithm>
#include <filesystem>
#include <sstream>

#include "cell.hpp"
#include "http_calls.hpp"

namespace parsleylead::faults {
namespace {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr auto settle_time = 300ms;
constexpr auto recovery_limit = 15s;
constexpr std::size_t shown_violations = 3;

std::string folder_name(const std::string& fault, const std::string& step) {
  auto name = fault + "-" + step;
  std::replace_if(
      name.begin(), name.end(), [](char letter) { return std::isalnum(letter) == 0; }, '_');
  return name;
}

void append(std::vector<std::string>& target, std::vector<std::string> more) {
  std::move(more.begin(), more.end(), std::back_inserter(target));
}

std::string join(const std::vector<std::string>& violations) {
  std::ostringstream text;
  for (std::size_t i = 0; i < violations.size() && i < shown_violations; ++i) {
    text << "; " << violations[i];
  }
  if (violations.size() > shown_violations) {
    text << "; and " << violations.size() - shown_violations << " more";
  }
  return text.str();
}

// Stops the load and the processes and checks everything that requires this.
std::string stop_and_check(cell_context& cell, tolerance allowed, monotonic_time healed_at,
                           std::vector<std::string>& violations) {
  cell.load.stop();
  cell.catalogue.stop();
  append(violations, cell.catalogue.check(healed_at));
  append(violations, judge_accounts(cell.test_site));
  // Unexpected exits explain most other violations, so they come first.
  const auto ended = cell.test_site.finish();
  violations.insert(violations.begin(), ended.begin(), ended.end());
  auto verdict = judge_run(cell.test_site, cell.load.attempts(), allowed);
  append(violations, std::move(verdict.violations));
  append(violations, std::move(cell.violations));
  return verdict.summary() + "; " + std::to_string(cell.catalogue.changes()) + " changes";
}

} // namespace

void require_recovery(cell_context& cell) {
  for (int i = 1; i <= cell.test_site.entries(); ++i) {
    for (const bool keyed : {false, true}) {
      attempt last;
      const auto completes = [&] {
        const auto target = cell.test_site.pick_entry(static_cast<std::uint64_t>(i - 1));
        if (!target || target->entry != i) {
          return false;
        }
        last = cell.load.submit_once(*target, keyed, 3, 5);
        return last.status == 200;
      };
      if (!wait_until(completes, recovery_limit)) {
        cell.violations.push_back("no recovery: entry " + std::to_string(i) + " completes no " +
                                  (keyed ? "keyed" : "plain") +
                                  " job: " + last.body.substr(0, 200) + last.error);
      }
    }
  }
}

cell_result run_cell(const fault_definition& fault, const step_definition& step,
                     const run_options& options, std::uint64_t seed) {
  cell_result result{fault.name, step.name, seed, "n/a", inapplicable_reason(fault, step)};
  if (!result.summary.empty()) {
    return result;
  }
  const auto folder = options.folder + "/" + folder_name(fault.name, step.name);
  std::filesystem::create_directories(folder);
  std::vector<std::string> violations;
  try {
    site test_site({options.binaries, folder, 2, 3, 8, step.snapshot_after_s});
    test_site.start();
    catalogue_watch catalogue(test_site, step.snapshot_after_s == 1 ? 100ms : 400ms);
    caller_load load(test_site, step.profile, seed);
    cell_context cell{test_site, load, catalogue, 1, 1, {}};
    pause(200ms);
    step.enter(cell);
    fault.inject(cell);
    step.leave(cell);
    const auto healed_at = std::chrono::steady_clock::now();
    require_recovery(cell);
    pause(settle_time);
    result.summary = stop_and_check(cell, fault.allowed, healed_at, violations);
  } catch (const std::exception& error) {
    violations.push_back(std::string("the cell was aborted: ") + error.what());
  }
  result.result = violations.empty() ? "passed" : "failed";
  result.summary += join(violations);
  if (violations.empty()) {
    std::filesystem::remove_all(folder);
  }
  return result;
}

} // namespace parsleylead::faults
