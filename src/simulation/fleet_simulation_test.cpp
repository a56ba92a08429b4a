// Compares the simulated fleet with a scheduler that has full knowledge, at the load of the largest
// site.

#include "parsleylead/simulation/fleet_simulation.hpp"

#include <doctest/doctest.h>

namespace parsleylead {
namespace {

TEST_CASE("a load within the capacity earns nearly what an all-knowing scheduler earns") {
  // Guards against placement decisions, based on delayed reports, that make jobs late while workers
  // are idle. The bound is the users' target of 0.85 of a day's credit, plus a margin for the load
  // that this simulation leaves out.
  simulated_site site;
  site.arrival_period = std::chrono::seconds(2);
  const auto fleet = simulate_fleet(site);
  const auto best = simulate_full_knowledge(site);
  CHECK(fleet.jobs == best.jobs);
  CHECK(fleet.jobs == fleet.on_time + fleet.late + fleet.refused);
  CHECK(best.credit_share > 0.95);
  CHECK(fleet.credit_share > 0.9 * best.credit_share);
}

TEST_CASE("equal seeds give equal results") {
  simulated_site site;
  site.arrival_period = std::chrono::milliseconds(300);
  const auto once = simulate_fleet(site);
  const auto again = simulate_fleet(site);
  CHECK(once.on_time == again.on_time);
  CHECK(once.credit_share == again.credit_share);
}

} // namespace
} // namespace parsleylead
