#include <csignal>

#include "cell.hpp"
#include "http_calls.hpp"

namespace parsleylead::faults {
namespace {

using namespace std::chrono_literals;

// Longer than the lease of an announcement and resume_timeout, both 3 s.
constexpr auto freeze_time = 3800ms;

void kill_entry(cell_context& cell) {
  cell.test_site.kill_entry(cell.entry);
  pause(300ms);
  cell.test_site.restart_entry(cell.entry);
}

void kill_agent(cell_context& cell) {
  cell.test_site.kill_agent(cell.agent);
  pause(300ms);
  cell.test_site.restart_agent(cell.agent);
}

void kill_upstream(cell_context& cell) {
  cell.test_site.kill_upstream(cell.agent);
  pause(500ms);
  cell.test_site.restart_upstream(cell.agent);
}

void freeze(const child_process& process) {
  process.send(SIGSTOP);
  pause(freeze_time);
  process.send(SIGCONT);
}

void freeze_entry(cell_context& cell) {
  freeze(*cell.test_site.entry(cell.entry).process);
}
void freeze_agent(cell_context& cell) {
  freeze(*cell.test_site.agent(cell.agent).process);
}
void freeze_upstream(cell_context& cell) {
  freeze(*cell.test_site.agent(cell.agent).upstream);
}

void cut_connections(cell_context& cell) {
  cell.test_site.agent(cell.agent).rpc.send_action("cut_open");
  cell.test_site.entry(cell.entry).rpc.send_action("cut_open");
  pause(500ms);
}

void silence_connections(cell_context& cell) {
  cell.test_site.agent(cell.agent).rpc.send_action("silence_open");
  cell.test_site.entry(cell.entry).rpc.send_action("silence_open");
  pause(1500ms);
}

void silence_connections_twice(cell_context& cell) {
  cell.test_site.agent(cell.agent).rpc.send_action("silence_open");
  pause(900ms);
  silence_connections(cell);
}

void slow_path(cell_context& cell) {
  cell.test_site.agent(cell.agent).rpc.delay(80ms);
  cell.test_site.entry(cell.entry).rpc.delay(80ms);
  pause(1500ms);
  cell.test_site.agent(cell.agent).rpc.delay(0ms);
  cell.test_site.entry(cell.entry).rpc.delay(0ms);
}

void lose_log_path(cell_context& cell) {
  cell.test_site.entry(cell.entry).log.send_action("refuse_all");
  pause(1500ms);
  cell.test_site.entry(cell.entry).log.send_action("heal");
}

void silence_log_path(cell_context& cell) {
  cell.test_site.entry(cell.entry).log.send_action("silence_open");
  pause(1500ms);
}

void log_down(cell_context& cell) {
  cell.test_site.control_log(R"({"down":true})");
  pause(2000ms);
  cell.test_site.control_log(R"({"down":false})");
}

void log_slow(cell_context& cell) {
  cell.test_site.control_log(R"({"delay_ms":600})");
  pause(2000ms);
  cell.test_site.control_log(R"({"delay_ms":0})");
}

void lose_log_replies(cell_context& cell) {
  cell.test_site.control_log(R"({"lose_replies":4})");
  pause(1200ms);
}

void expire_records(cell_context& cell) {
  // Drops only records that the platform may drop: members, and the catalogue below its newest
  // snapshot.
  const auto newest = cell.catalogue.publisher().newest_snapshot();
  cell.test_site.control_log(R"({"forget_below":{"members":1000,"catalogue":)" +
                             std::to_string(newest) + "}}");
  pause(300ms);
  cell.test_site.kill_entry(cell.entry);
  cell.test_site.restart_entry(cell.entry);
}

void drop_replies(cell_context& cell) {
  cell.test_site.control_upstream(cell.agent, R"({"drop_reply":5})");
  pause(800ms);
}

void late_replies(cell_context& cell) {
  cell.test_site.control_upstream(cell.agent, R"({"delay_ms":1200})");
  pause(300ms);
  // Tasks finish while the session that sent them is silent, so their results are collected or sent
  // again.
  cell.test_site.agent(cell.agent).rpc.send_action("silence_open");
  pause(1200ms);
  cell.test_site.control_upstream(cell.agent, R"({"delay_ms":0})");
}

void fail_all(cell_context& cell) {
  cell.test_site.control_upstream(cell.agent, R"({"fail_all":true})");
  pause(1500ms);
  cell.test_site.control_upstream(cell.agent, R"({"fail_all":false})");
}

void race_operators(cell_context& cell) {
  for (auto& fault : cell.catalogue.publish_concurrently(6)) {
    cell.violations.push_back(std::move(fault));
  }
}

void stop_entry(cell_context& cell) {
  cell.test_site.stop_entry(cell.entry);
  cell.test_site.restart_entry(cell.entry);
}

void stop_agent(cell_context& cell) {
  cell.test_site.stop_agent(cell.agent);
  cell.test_site.restart_agent(cell.agent);
}

void stop_both(cell_context& cell) {
  cell.test_site.start_entry_stop(cell.entry);
  cell.test_site.stop_agent(cell.agent);
  cell.test_site.wait_for_entry_exit(cell.entry);
  cell.test_site.restart_agent(cell.agent);
  cell.test_site.restart_entry(cell.entry);
}

void drain_entry(cell_context& cell) {
  const auto name = cell.test_site.entry(cell.entry).identity;
  cell.catalogue.publisher().publish_drain(name, true);
  cell.test_site.wait_for_entry_exit(cell.entry);
  cell.catalogue.publisher().publish_drain(name, false);
  cell.test_site.restart_entry(cell.entry);
}

void drain_agent(cell_context& cell) {
  const auto name = cell.test_site.agent(cell.agent).identity;
  cell.catalogue.publisher().publish_drain(name, true);
  cell.test_site.wait_for_agent_exit(cell.agent);
  cell.catalogue.publisher().publish_drain(name, false);
  cell.test_site.restart_agent(cell.agent);
}

void deregister_upstream(cell_context& cell) {
  cell.test_site.deregister_upstream(cell.agent);
  pause(3800ms);
}

void kill_agent_twice(cell_context& cell) {
  kill_agent(cell);
  pause(1500ms);
  kill_agent(cell);
}

void kill_entry_while_silent(cell_context& cell) {
  cell.test_site.agent(cell.agent).rpc.send_action("silence_open");
  pause(200ms);
  kill_entry(cell);
}

void freeze_agent_while_log_down(cell_context& cell) {
  cell.test_site.control_log(R"({"down":true})");
  freeze_agent(cell);
  cell.test_site.control_log(R"({"down":false})");
}

void kill_agent_and_lose_log_replies(cell_context& cell) {
  cell.test_site.control_log(R"({"lose_replies":3})");
  kill_agent(cell);
}

void kill_agent_while_entry_leaves(cell_context& cell) {
  cell.test_site.start_entry_stop(cell.entry);
  kill_agent(cell);
  cell.test_site.wait_for_entry_exit(cell.entry);
  cell.test_site.restart_entry(cell.entry);
}

constexpr auto no_failures = tolerance::no_failures;
constexpr auto reported_failures = tolerance::reported_failures;

bool is_drain(const step_definition& step) {
  return step.name == "drain";
}

bool is_catalogue_only(const step_definition& step) {
  return step.name.starts_with("catalogue") || step.name == "snapshot";
}

} // namespace

std::vector<fault_definition> all_faults() {
  using target = fault_target;
  return {
      {"kill entry", target::entry, reported_failures, kill_entry},
      {"kill agent", target::agent, reported_failures, kill_agent},
      {"kill upstream", target::upstream, reported_failures, kill_upstream},
      {"freeze entry", target::entry, reported_failures, freeze_entry},
      {"freeze agent", target::agent, reported_failures, freeze_agent},
      {"freeze upstream", target::upstream, reported_failures, freeze_upstream},
      {"cut connection", target::agent_path, no_failures, cut_connections},
      {"silent connection", target::agent_path, no_failures, silence_connections},
      {"slow path", target::agent_path, no_failures, slow_path},
      {"late and repeated replies", target::upstream, no_failures, late_replies},
      {"upstream drops replies", target::upstream, reported_failures, drop_replies},
      {"worker fails everything", target::upstream, reported_failures, fail_all},
      {"log down", target::log, no_failures, log_down},
      {"log slow", target::log, no_failures, log_slow},
      {"log reply lost", target::log, no_failures, lose_log_replies},
      {"log path lost", target::log, no_failures, lose_log_path},
      {"log path silent", target::log, no_failures, silence_log_path},
      {"records expired", target::log, reported_failures, expire_records},
      {"operators race", target::operators, no_failures, race_operators},
      {"SIGTERM entry", target::leave, no_failures, stop_entry},
      {"SIGTERM agent", target::leave, no_failures, stop_agent},
      {"SIGTERM entry and agent", target::leave, no_failures, stop_both},
      {"drain entry by catalogue", target::leave, no_failures, drain_entry},
      {"drain agent by catalogue", target::leave, no_failures, drain_agent},
      {"upstream leaves", target::leave, no_failures, deregister_upstream},
      {"twice: kill agent", target::agent, reported_failures, kill_agent_twice},
      {"twice: silent connection", target::agent_path, no_failures, silence_connections_twice},
      {"pair: silent connection, kill entry", target::entry, reported_failures,
       kill_entry_while_silent},
      {"pair: log down, freeze agent", target::agent, reported_failures,
       freeze_agent_while_log_down},
      {"pair: log reply lost, kill agent", target::agent, reported_failures,
       kill_agent_and_lose_log_replies},
      {"pair: SIGTERM entry, kill agent", target::leave, reported_failures,
       kill_agent_while_entry_leaves},
  };
}

std::string inapplicable_reason(const fault_definition& fault, const step_definition& step) {
  using target = fault_target;
  if (is_drain(step) && fault.target == target::leave) {
    return "the processes are leaving already";
  }
  if (step.name == "announce" && fault.name == "upstream leaves") {
    return "the upstream of the new agent is not known to any entry yet";
  }
  if (is_catalogue_only(step) && (fault.target == target::upstream)) {
    return "an upstream takes no part in the catalogue";
  }
  if (step.name == "answer on its way" &&
      (fault.target == target::agent || fault.target == target::agent_path ||
       fault.target == target::upstream || fault.target == target::log)) {
    return "the answer is between entry and caller; " + fault.name + " does not affect it";
  }
  if (fault.target == target::operators && !is_catalogue_only(step) && step.name != "admit") {
    return "operators publish to the log only; at this step the race equals the one at admit";
  }
  if (fault.name == "records expired" && !is_catalogue_only(step) && step.name != "claim") {
    return "only readers of the log are affected by expired records";
  }
  return "";
}

} // namespace parsleylead::faults
