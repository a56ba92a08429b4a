#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

#include "cell.hpp"
#include "http_calls.hpp"

namespace parsleylead::faults {
namespace {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

void each_agent_path(cell_context& cell, milliseconds delay) {
  for (int i = 1; i <= cell.place.agents(); ++i) {
    cell.place.agent(i).rpc.delay(delay);
  }
}

void each_upstream(cell_context& cell, const std::string& command) {
  for (int i = 1; i <= cell.place.agents(); ++i) {
    cell.place.control_upstream(i, command);
  }
}

std::uint64_t running_tasks(const endpoint& upstream) {
  const auto page = get_json(upstream, "/control/starts");
  return page.is_object() ? page.value("running", std::uint64_t{0}) : 0;
}

void await_running(cell_context& cell, std::uint64_t tasks) {
  const auto& upstream = cell.place.agent(cell.agent).upstream_address;
  if (!wait_until([&] { return running_tasks(upstream) >= tasks; }, 5s)) {
    cell.violations.emplace_back("the step was not reached: no task runs at the upstream");
  }
}

load_profile with_tasks(int min_sleep_ms, int max_sleep_ms) {
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
  auto profile = with_tasks(100, 300);
  profile.callers = 16;
  profile.budget = milliseconds(15'000);
  return profile;
}

void do_nothing(cell_context& /*cell*/) {}

// Tasks are held at the upstreams until answers can leave together.
void release_results(cell_context& cell) {
  each_upstream(cell, R"({"hang":true})");
  await_running(cell, 1);
  pause(200ms);
}

step_definition announce_step() {
  return {"announce", load_profile{}, 21'600,
          [](cell_context& cell) { cell.agent = cell.place.add_agent(); }, do_nothing};
}

step_definition result_step() {
  return {"result on its way", with_tasks(5, 40), 21'600,
          [](cell_context& cell) {
            release_results(cell);
            each_agent_path(cell, 200ms);
            each_upstream(cell, R"({"hang":false})");
            pause(60ms);
          },
          [](cell_context& cell) { each_agent_path(cell, 0ms); }};
}

step_definition answer_step() {
  return {"answer on its way", with_tasks(5, 40), 21'600,
          [](cell_context& cell) {
            release_results(cell);
            cell.place.entry(cell.entry).front.delay(200ms);
            each_upstream(cell, R"({"hang":false})");
            pause(100ms);
          },
          [](cell_context& cell) { cell.place.entry(cell.entry).front.delay(0ms); }};
}

step_definition spread_step() {
  return {"catalogue spread", load_profile{}, 21'600,
          [](cell_context& cell) {
            auto& away = cell.place.entry(cell.place.entries());
            away.log.act("refuse_all");
            away.rpc.delay(200ms);
            static_cast<void>(cell.catalogue.desk().refresh());
            static_cast<void>(cell.catalogue.desk().publish_quota("team-spread", 7));
          },
          [](cell_context& cell) {
            auto& away = cell.place.entry(cell.place.entries());
            away.log.act("heal");
            away.rpc.delay(0ms);
          }};
}

step_definition snapshot_step() {
  return {"snapshot", load_profile{}, 1,
          [](cell_context& cell) {
            const auto appended = [&] { return cell.catalogue.desk().newest_snapshot() > 0; };
            if (!wait_until(appended, 8s)) {
              cell.violations.emplace_back("the step was not reached: no snapshot in the log");
            }
          },
          [](cell_context& cell) {
            // A fresh entry has to load the snapshot: the records before it expired.
            const auto newest = cell.catalogue.desk().newest_snapshot();
            cell.place.control_log(R"({"forget_below":{"catalogue":)" + std::to_string(newest) +
                                   "}}");
            const int last = cell.place.entries();
            cell.place.stop_entry(last);
            cell.place.restart_entry(last);
          }};
}

// The processes come back, unless the fault has replaced them already.
void end_drain(cell_context& cell) {
  if (cell.place.agent(cell.agent).starts == 1) {
    cell.place.await_agent_leave(cell.agent);
    cell.place.restart_agent(cell.agent);
  }
  if (cell.place.entry(cell.entry).starts == 1) {
    cell.place.await_entry_leave(cell.entry);
    cell.place.restart_entry(cell.entry);
  }
}

// The fault meets a process that is told to leave at the same time.
step_definition drain_step() {
  return {"drain", with_tasks(50, 300), 21'600,
          [](cell_context& cell) {
            await_running(cell, 1);
            cell.place.agent(cell.agent).process->send(SIGTERM);
            cell.place.begin_entry_leave(cell.entry);
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
         cell.place.control_log(R"({"delay_ms":150})");
         pause(400ms);
       },
       [](cell_context& cell) { cell.place.control_log(R"({"delay_ms":0})"); }},
      {"place", saturating(), 21'600, [](cell_context&) { pause(600ms); }, do_nothing},
      {"before the start", with_tasks(5, 40), 21'600,
       [](cell_context& cell) {
         each_agent_path(cell, 100ms);
         pause(400ms);
       },
       [](cell_context& cell) { each_agent_path(cell, 0ms); }},
      // Longer than the detection of a silent connection (750 ms), so that a resume meets running
      // tasks.
      {"after the start", with_tasks(600, 1200), 21'600,
       [](cell_context& cell) { await_running(cell, 2); }, do_nothing},
      result_step(),
      answer_step(),
      {"catalogue append", load_profile{}, 21'600,
       [](cell_context& cell) {
         cell.place.control_log(R"({"delay_ms":150})");
         pause(300ms);
       },
       [](cell_context& cell) { cell.place.control_log(R"({"delay_ms":0})"); }},
      spread_step(),
      snapshot_step(),
      drain_step(),
  };
}

} // namespace parsleylead::faults
