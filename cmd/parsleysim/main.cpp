// Simulates the scheduling of a site's load without a network and compares it with a scheduler that
// has full knowledge of the site.
//
//   parsleysim --workers 69 --entries 12 --loads 1,1.3,1.6 --seeds 3

#include <gflags/gflags.h>

#include <charconv>
#include <cstdio>
#include <string>

#include "parsleylead/simulation/fleet_simulation.hpp"
#include "parsleylead/tool/command_line.hpp"

DEFINE_int32(workers, 69, "Number of workers.");
DEFINE_int32(entries, 12, "Number of entries.");
DEFINE_string(loads, "0.8,1,1.3,1.6,2", "Factors on the rates of all kinds, separated by commas.");
DEFINE_uint64(seeds, 2, "Number of seeds to simulate, starting at 1.");
DEFINE_uint64(seconds, 6, "Time during which jobs arrive, in seconds.");

namespace {

constexpr int exit_usage = 2;

void print(const char* policy, double load, std::uint64_t seed,
           const parsleylead::simulation_result& result) {
  std::printf("%-12s %5.2f %4llu %7zu %8zu %6zu %8zu %6.3f %5.2f\n", policy, load,
              static_cast<unsigned long long>(seed), result.jobs, result.on_time, result.late,
              result.refused, result.credit_share, result.utilization);
  std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv) {
  using namespace parsleylead;
  gflags::SetUsageMessage("simulates the scheduling of a site's load");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::printf("policy        load seed    jobs  on time   late  refused  worth  busy\n");
  for (const auto& text : split_list(FLAGS_loads)) {
    simulated_site site;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), site.load);
    if (error != std::errc() || end != text.data() + text.size() || site.load <= 0) {
      std::fprintf(stderr, "parsleysim: --loads: not a number above 0: %s\n", text.c_str());
      return exit_usage;
    }
    site.workers = FLAGS_workers;
    site.entries = FLAGS_entries;
    site.arrival_period = std::chrono::seconds(FLAGS_seconds);
    for (site.seed = 1; site.seed <= FLAGS_seeds; ++site.seed) {
      print("fleet", site.load, site.seed, simulate_fleet(site));
      print("all-knowing", site.load, site.seed, simulate_full_knowledge(site));
    }
  }
  return 0;
}
