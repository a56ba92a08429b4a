#pragma once

#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "caller_load.hpp"
#include "catalogue_watch.hpp"
#include "judge.hpp"
#include "site.hpp"

namespace parsleylead::faults {

/// State of one cell of the fault matrix: a fault injected at a step.
struct cell_context {
  site& test_site;
  caller_load& load;
  catalogue_watch& catalogue;
  /// Numbers of the processes that the fault affects.
  int entry = 1;
  int agent = 1;
  /// Violations found by the step or while the fault was injected.
  std::vector<std::string> violations;
};

/// A stage in the processing of a request or change. `enter` brings the site to this stage; `leave`
/// undoes the delays that `enter` set.
struct step_definition {
  std::string name;
  load_profile profile;
  int snapshot_after_s = 21'600;
  std::function<void(cell_context&)> enter;
  std::function<void(cell_context&)> leave;
};

/// The part of the site that a fault affects; decides at which steps it can occur.
enum class fault_target { entry, agent, upstream, agent_path, entry_path, log, operators, leave };

/// `inject` causes the fault and removes it again.
struct fault_definition {
  std::string name;
  fault_target target = fault_target::agent_path;
  tolerance allowed = tolerance::reported_failures;
  std::function<void(cell_context&)> inject;
};

std::vector<step_definition> all_steps();
std::vector<fault_definition> all_faults();

/// Returns why the fault cannot occur at the step, or an empty string if it can.
std::string inapplicable_reason(const fault_definition& fault, const step_definition& step);

struct cell_result {
  std::string fault;
  std::string step;
  std::uint64_t seed = 0;
  /// "passed", "failed" or "n/a".
  std::string result;
  std::string summary;
};

struct run_options {
  std::string binaries;
  std::string folder;
  std::uint64_t seed = 1;
  std::uint64_t tasks = 100'000;
  std::string only;
  bool ci = false;
  int parallel = 4;
};

/// Runs one cell on a separate site.
cell_result run_cell(const fault_definition& fault, const step_definition& step,
                     const run_options& options, std::uint64_t seed);

/// Runs short tasks while randomly chosen faults are injected.
cell_result run_random(const run_options& options, std::uint64_t seed, std::uint64_t tasks,
                       std::chrono::seconds limit);

/// Waits until every entry completes a plain and a keyed job; adds a violation if one does not.
void require_recovery(cell_context& context);

/// Sleeps for the given time.
void pause(std::chrono::milliseconds time);

} // namespace parsleylead::faults
