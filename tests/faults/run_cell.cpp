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

void add(std::vector<std::string>& target, std::vector<std::string> more) {
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

// Everything that can only be judged when the callers have stopped.
std::string finish(cell_context& cell, tolerance allowed, monotonic_time healed,
                   std::vector<std::string>& violations) {
  cell.load.stop();
  cell.catalogue.stop();
  add(violations, cell.catalogue.judge(healed));
  add(violations, judge_accounts(cell.place));
  // A process that ended explains most of the rest, so it comes first.
  const auto ended = cell.place.finish();
  violations.insert(violations.begin(), ended.begin(), ended.end());
  auto verdict = judge_run(cell.place, cell.load.attempts(), allowed);
  add(violations, std::move(verdict.violations));
  add(violations, std::move(cell.violations));
  return verdict.summary() + "; " + std::to_string(cell.catalogue.changes()) + " changes";
}

} // namespace

void require_recovery(cell_context& cell) {
  for (int i = 1; i <= cell.place.entries(); ++i) {
    for (const bool keyed : {false, true}) {
      attempt last;
      const auto completes = [&] {
        const auto target = cell.place.pick_entry(static_cast<std::uint64_t>(i - 1));
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
  cell_result result{fault.name, step.name, seed, "n/a", why_not(fault, step)};
  if (!result.seen.empty()) {
    return result;
  }
  const auto folder = options.folder + "/" + folder_name(fault.name, step.name);
  std::filesystem::create_directories(folder);
  std::vector<std::string> violations;
  try {
    site place({options.binaries, folder, 2, 3, 8, step.snapshot_after_s});
    place.start();
    catalogue_watch catalogue(place, step.snapshot_after_s == 1 ? 100ms : 400ms);
    caller_load load(place, step.profile, seed);
    cell_context cell{place, load, catalogue, 1, 1, {}};
    pause(200ms);
    step.reach(cell);
    fault.inject(cell);
    step.pass(cell);
    const auto healed = std::chrono::steady_clock::now();
    require_recovery(cell);
    pause(settle_time);
    result.seen = finish(cell, fault.allowed, healed, violations);
  } catch (const std::exception& error) {
    violations.push_back(std::string("the cell broke off: ") + error.what());
  }
  result.result = violations.empty() ? "passed" : "failed";
  result.seen += join(violations);
  if (violations.empty()) {
    std::filesystem::remove_all(folder);
  }
  return result;
}

} // namespace parsleylead::faults
