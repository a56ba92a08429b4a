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

/// What a cell works on.
struct cell_context {
  site& place;
  caller_load& load;
  catalogue_watch& catalogue;
  /// The processes that the fault meets.
  int entry = 1;
  int agent = 1;
  /// Faults that the step or the fault itself found.
  std::vector<std::string> violations;
};

/// A point in the life of a request or change. `reach` brings the site there; `pass` undoes what
/// `reach` slowed down.
struct step_definition {
  std::string name;
  load_profile profile;
  int snapshot_after_s = 21'600;
  std::function<void(cell_context&)> reach;
  std::function<void(cell_context&)> pass;
};

/// Which part of the site a fault meets; decides where it can occur.
enum class fault_target { entry, agent, upstream, agent_path, entry_path, log, operators, leave };

/// `inject` causes the fault and heals it.
struct fault_definition {
  std::string name;
  fault_target target = fault_target::agent_path;
  tolerance allowed = tolerance::truthful_failures;
  std::function<void(cell_context&)> inject;
};

std::vector<step_definition> all_steps();
std::vector<fault_definition> all_faults();

/// Empty if the fault can occur at the step, otherwise the reason why not.
std::string why_not(const fault_definition& fault, const step_definition& step);

struct cell_result {
  std::string fault;
  std::string step;
  std::uint64_t seed = 0;
  /// "passed", "failed" or "n/a".
  std::string result;
  std::string seen;
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

/// Runs one cell on a site of its own.
cell_result run_cell(const fault_definition& fault, const step_definition& step,
                     const run_options& options, std::uint64_t seed);

/// Runs short tasks under randomly chosen faults.
cell_result run_random(const run_options& options, std::uint64_t seed, std::uint64_t tasks,
                       std::chrono::seconds limit);

/// Waits until every running entry completes a job of either kind; adds a violation otherwise.
void require_recovery(cell_context& context);

/// Sleeps; for readable cells.
void pause(std::chrono::milliseconds time);

} // namespace parsleylead::faults
