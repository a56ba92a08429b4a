// parsleylead_faults: the fault matrix and the randomised run. See docs/PROOFS.md.

#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <mutex>
#include <thread>

#include "cell.hpp"
#include "parsleylead/tool/command_line.hpp"

DEFINE_uint64(seed, 1, "Seed of the load and of the random faults.");
DEFINE_uint64(tasks, 100'000, "Tasks of the randomised run; 0 skips it.");
DEFINE_string(only, "", "Runs only rows whose \"fault | step\" contains this text.");
DEFINE_bool(ci, false, "Runs a fixed subset, about 90 s.");
DEFINE_string(binaries, "build/bin", "Folder of the binaries.");
DEFINE_string(folder, "", "Folder for the output of failed cells; if empty, a new one is created.");
DEFINE_int32(parallel, 8, "Number of sites that run at the same time.");

namespace parsleylead::faults {
namespace {

constexpr auto help =
    R"(parsleylead_faults injects every fault at every step and checks the results from outside.

Usage:
  parsleylead_faults [--seed N] [--tasks N] [--only TEXT] [--ci]

Prints one row per cell and a summary line. Exit code 0 if no cell failed, otherwise 1.
)";

constexpr std::uint64_t ci_tasks = 10'000;

struct planned_cell {
  fault_definition fault;
  step_definition step;
};

bool is_in_ci(const std::string& row) {
  for (const char* ci_row : {
           "kill entry | after the start",
           "freeze agent | after the start",
           "silent connection | result on its way",
           "log reply lost | claim",
           "log down | claim",
           "SIGTERM entry and agent | after the start",
           "kill agent | after the start",
           "kill entry | claim",
           "kill entry | place",
           "kill upstream | after the start",
           "freeze entry | claim",
           "freeze upstream | place",
           "late and repeated replies | result on its way",
           "log down | catalogue append",
           "log path lost | catalogue spread",
           "SIGTERM entry | admit",
           "SIGTERM agent | place",
           "drain agent by catalogue | after the start",
           "silent connection | after the start",
           "operators race | catalogue append",
           "records expired | snapshot",
           "cut connection | before the start",
           "upstream leaves | place",
           "twice: silent connection | result on its way",
       }) {
    if (row == ci_row) {
      return true;
    }
  }
  return false;
}

std::vector<planned_cell> plan(const run_options& options) {
  std::vector<planned_cell> cells;
  for (const auto& fault : all_faults()) {
    for (const auto& step : all_steps()) {
      const auto row = fault.name + " | " + step.name;
      if ((options.ci && !is_in_ci(row)) ||
          (!options.only.empty() && row.find(options.only) == std::string::npos)) {
        continue;
      }
      cells.push_back({fault, step});
    }
  }
  return cells;
}

class report {
public:
  void print(const cell_result& row) {
    const std::lock_guard lock(mutex_);
    std::printf("%s | %s | %llu | %s | %s\n", row.fault.c_str(), row.step.c_str(),
                static_cast<unsigned long long>(row.seed), row.result.c_str(), row.summary.c_str());
    std::fflush(stdout);
    passed_ += row.result == "passed" ? 1 : 0;
    failed_ += row.result == "failed" ? 1 : 0;
  }

  int close() const {
    std::printf("%d passed, %d failed\n", passed_, failed_);
    return failed_ == 0 ? 0 : 1;
  }

private:
  std::mutex mutex_;
  int passed_ = 0;
  int failed_ = 0;
};

void run_cells(const run_options& options, report& rows) {
  const auto cells = plan(options);
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(options.parallel));
  for (int i = 0; i < options.parallel; ++i) {
    threads.emplace_back([&] {
      for (auto index = next++; index < cells.size(); index = next++) {
        rows.print(run_cell(cells[index].fault, cells[index].step, options, options.seed));
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

void run_random_sites(const run_options& options, report& rows) {
  constexpr int sites = 2;
  constexpr std::chrono::seconds limit{400};
  std::vector<std::thread> threads;
  threads.reserve(sites);
  for (int i = 0; i < sites; ++i) {
    threads.emplace_back([&, i] {
      rows.print(run_random(options, options.seed + static_cast<std::uint64_t>(i),
                            options.tasks / sites, limit));
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

int run() {
  std::signal(SIGPIPE, SIG_IGN);
  run_options options{FLAGS_binaries, FLAGS_folder, FLAGS_seed,    FLAGS_tasks,
                      FLAGS_only,     FLAGS_ci,     FLAGS_parallel};
  if (options.folder.empty()) {
    options.folder = (std::filesystem::temp_directory_path() /
                      ("parsleylead-faults-" + std::to_string(getpid())))
                         .string();
  }
  std::filesystem::create_directories(options.folder);
  if (options.ci) {
    options.tasks = std::min(options.tasks, ci_tasks);
  }
  report rows;
  const bool wants_random =
      options.tasks > 0 &&
      (options.only.empty() || std::string("random | all").find(options.only) != std::string::npos);
  // Cells mostly wait, so both parts can run at the same time.
  std::thread random_part([&] {
    if (wants_random) {
      run_random_sites(options, rows);
    }
  });
  run_cells(options, rows);
  random_part.join();
  const int code = rows.close();
  if (code == 0) {
    std::filesystem::remove_all(options.folder);
  } else {
    std::printf("The output of failed cells is in %s\n", options.folder.c_str());
  }
  return code;
}

} // namespace
} // namespace parsleylead::faults

int main(int argc, char** argv) {
  parsleylead::parse_command_line(argc, argv, parsleylead::faults::help);
  return parsleylead::faults::run();
}
