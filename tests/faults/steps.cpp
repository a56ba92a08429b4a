#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

#include "cell.hpp"
#include "http_calls.hpp"

namespace parsleylead::faults {
namespace {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

void delay_agent_paths(cell_context& cell, milliseconds delay) {
  for (int i = 1; i <= cell.test_site.agents(); ++i) {
    cell.test_site.agent(i).rpc.delay(delay);
  }
}

void control_upstreams(cell_context& cell, const std::string& command) {
  for (int i = 1; i <= cell.test_site.agents(); ++i) {
    cell.test_site.control_upstream(i, command);
  }
}

std::uint64_t running_tasks(const endpoint& upstream) {
  const auto page = get_json(upstream, "/control/starts");
  return page.is_object() ? page.value("running", std::uint64_t{0}) : 0;
}

void wait_for_running_tasks(cell_context& cell, std::uint64_t tasks) {
  const auto& upstream = cell.test_site.agent(cell.agent).upstream_address;
  if (!wait_until([&] { return running_tasks(upstream) >= tasks; }, 5s)) {
    cell.violations.emplace_back("the step was not reached: no task runs at the upstream");
  }
}

load_profile load_with_sleep(int min_sleep_ms, int max_sleep_ms) {
  load_profile profile;
  profile.min_sleep_ms = min_sleep_ms;
  profile.max_sleep_ms = max_sleep_ms;
  return profile;
}

load_profile keyed_only() {
  load_profile profile;
  profile.keyed_share = 1;
  return profile;
}

load_profile saturating() {
  auto profile = load_with_sleep(100, 300);
  profile.callers = 16;
  profile.budget = milliseconds(15'000);
  return profile;
}

void do_nothing(cell_context& /*cell*/) {}

// Makes the upstreams hold their tasks, so that the answers can be released together.
void hold_results(cell_context& cell) {
  control_upstreams(cell, R"({"hang":true})");
  wait_for_running_tasks(cell, 1);
  pause(200ms);
}

step_definition announce_step() {
  return {"announce", load_profile{}, 21'600,
          [](cell_context& cell) { cell.agent = cell.test_site.add_agent(); }, do_nothing};
}

step_definition result_step() {
  return {"result on its way", load_with_sleep(5, 40), 21'600,
          [](cell_context& cell) {
            hold_results(cell);
            delay_agent_paths(cell, 200ms);
            control_upstreams(cell, R"({"hang":false})");
            pause(60ms);
          },
          [](cell_context& cell) { delay_agent_paths(cell, 0ms); }};
}

step_definition answer_step() {
  return {"answer on its way", load_with_sleep(5, 40), 21'600,
          [](cell_context& cell) {
            hold_results(cell);
            cell.test_site.entry(cell.entry).front.delay(200ms);
            control_upstreams(cell, R"({"hang":false})");
            pause(100ms);
          },
          [](cell_context& cell) { cell.test_site.entry(cell.entry).front.delay(0ms); }};
}

step_definition spread_step() {
  return {"catalogue spread", load_profile{}, 21'600,
          [](cell_context& cell) {
            auto& isolated_entry = cell.test_site.entry(cell.test_site.entries());
            isolated_entry.log.send_action("refuse_all");
            isolated_entry.rpc.delay(200ms);
            static_cast<void>(cell.catalogue.publisher().refresh());
            static_cast<void>(cell.catalogue.publisher().publish_quota("team-spread", 7));
          },
          [](cell_context& cell) {
            auto& isolated_entry = cell.test_site.entry(cell.test_site.entries());
            isolated_entry.log.send_action("heal");
            isolated_entry.rpc.delay(0ms);
          }};
}

step_definition snapshot_step() {
  return {"snapshot", load_profile{}, 1,
          [](cell_context& cell) {
            const auto appended = [&] { return cell.catalogue.publisher().newest_snapshot() > 0; };
            if (!wait_until(appended, 8s)) {
              cell.violations.emplace_back("the step was not reached: no snapshot in the log");
            }
          },
          [](cell_context& cell) {
            // A restarted entry has to load the snapshot, because the records before it are
            // dropped.
            const auto newest = cell.catalogue.publisher().newest_snapshot();
            cell.test_site.control_log(R"({"forget_below":{"catalogue":)" + std::to_string(newest) +
                                       "}}");
            const int last = cell.test_site.entries();
            cell.test_site.stop_entry(last);
            cell.test_site.restart_entry(last);
          }};
}

// Restarts the processes unless the fault has already restarted them.
void end_drain(cell_context& cell) {
  if (cell.test_site.agent(cell.agent).starts == 1) {
    cell.test_site.wait_for_agent_exit(cell.agent);
    cell.test_site.restart_agent(cell.agent);
  }
  if (cell.test_site.entry(cell.entry).starts == 1) {
    cell.test_site.wait_for_entry_exit(cell.entry);
    cell.test_site.restart_entry(cell.entry);
  }
}

// The fault is injected while an agent and an entry are draining.
step_definition drain_step() {
  return {"drain", load_with_sleep(50, 300), 21'600,
          [](cell_context& cell) {
            wait_for_running_tasks(cell, 1);
            cell.test_site.agent(cell.agent).process->send(SIGTERM);
            cell.test_site.start_entry_stop(cell.entry);
          },
          end_drain};
}

} // namespace

void pause(std::chrono::milliseconds time) {
  std::this_thread::sleep_for(time);
}

std::vector<step_definition> all_steps() {
  return {
      announce_step(),
      {"admit", load_profile{}, 21'600, [](cell_context&) { pause(300ms); }, do_nothing},
      {"claim", keyed_only(), 21'600,
       [](cell_context& cell) {
         cell.test_site.control_log(R"({"delay_ms":150})");
         pause(400ms);
       },
       [](cell_context& cell) { cell.test_site.control_log(R"({"delay_ms":0})"); }},
      {"place", saturating(), 21'600, [](cell_context&) { pause(600ms); }, do_nothing},
      {"before the start", load_with_sleep(5, 40), 21'600,
       [](cell_context& cell) {
         delay_agent_paths(cell, 100ms);
         pause(400ms);
       },
       [](cell_context& cell) { delay_agent_paths(cell, 0ms); }},
      // Tasks run longer than the detection of a silent connection takes (750 ms), so that they
      // still run when the session is resumed.
      {"after the start", load_with_sleep(600, 1200), 21'600,
       [](cell_context& cell) { wait_for_running_tasks(cell, 2); }, do_nothing},
      result_step(),
      answer_step(),
      {"catalogue append", load_profile{}, 21'600,
       [](cell_context& cell) {
         cell.test_site.control_log(R"({"delay_ms":150})");
         pause(300ms);
       },
       [](cell_context& cell) { cell.test_site.control_log(R"({"delay_ms":0})"); }},
      spread_step(),
      snapshot_step(),
      drain_step(),
  };
}

} // namespace parsleylead::faults
