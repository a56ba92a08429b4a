#include <csignal>

#include "cell.hpp"
#include "http_calls.hpp"

namespace parsleylead::faults {
namespace {

using namespace std::chrono_literals;

// Longer than an announcement's lease and than resume_timeout, both 3 s.
constexpr auto freeze_time = 3800ms;

void kill_entry(cell_context& cell) {
  cell.place.kill_entry(cell.entry);
  pause(300ms);
  cell.place.restart_entry(cell.entry);
}

void kill_agent(cell_context& cell) {
  cell.place.kill_agent(cell.agent);
  pause(300ms);
  cell.place.restart_agent(cell.agent);
}

void kill_upstream(cell_context& cell) {
  cell.place.kill_upstream(cell.agent);
  pause(500ms);
  cell.place.restart_upstream(cell.agent);
}

void freeze(const child_process& process) {
  process.send(SIGSTOP);
  pause(freeze_time);
  process.send(SIGCONT);
}

void freeze_entry(cell_context& cell) {
  freeze(*cell.place.entry(cell.entry).process);
}
void freeze_agent(cell_context& cell) {
  freeze(*cell.place.agent(cell.agent).process);
}
void freeze_upstream(cell_context& cell) {
  freeze(*cell.place.agent(cell.agent).upstream);
}

void cut(cell_context& cell) {
  cell.place.agent(cell.agent).rpc.act("cut_open");
  cell.place.entry(cell.entry).rpc.act("cut_open");
  pause(500ms);
}

void silence(cell_context& cell) {
  cell.place.agent(cell.agent).rpc.act("silence_open");
  cell.place.entry(cell.entry).rpc.act("silence_open");
  pause(1500ms);
}

void silence_twice(cell_context& cell) {
  cell.place.agent(cell.agent).rpc.act("silence_open");
  pause(900ms);
  silence(cell);
}

void slow_path(cell_context& cell) {
  cell.place.agent(cell.agent).rpc.delay(80ms);
  cell.place.entry(cell.entry).rpc.delay(80ms);
  pause(1500ms);
  cell.place.agent(cell.agent).rpc.delay(0ms);
  cell.place.entry(cell.entry).rpc.delay(0ms);
}

void lose_log_path(cell_context& cell) {
  cell.place.entry(cell.entry).log.act("refuse_all");
  pause(1500ms);
  cell.place.entry(cell.entry).log.act("heal");
}

void silence_log_path(cell_context& cell) {
  cell.place.entry(cell.entry).log.act("silence_open");
  pause(1500ms);
}

void log_down(cell_context& cell) {
  cell.place.control_log(R"({"down":true})");
  pause(2000ms);
  cell.place.control_log(R"({"down":false})");
}

void log_slow(cell_context& cell) {
  cell.place.control_log(R"({"delay_ms":600})");
  pause(2000ms);
  cell.place.control_log(R"({"delay_ms":0})");
}

void lose_log_replies(cell_context& cell) {
  cell.place.control_log(R"({"lose_replies":4})");
  pause(1200ms);
}

void expire_records(cell_context& cell) {
  // Only what the platform may drop: members, and the catalogue below its newest snapshot.
  const auto newest = cell.catalogue.desk().newest_snapshot();
  cell.place.control_log(R"({"forget_below":{"members":1000,"catalogue":)" +
                         std::to_string(newest) + "}}");
  pause(300ms);
  cell.place.kill_entry(cell.entry);
  cell.place.restart_entry(cell.entry);
}

void drop_replies(cell_context& cell) {
  cell.place.control_upstream(cell.agent, R"({"drop_reply":5})");
  pause(800ms);
}

void late_replies(cell_context& cell) {
  cell.place.control_upstream(cell.agent, R"({"delay_ms":1200})");
  pause(300ms);
  // The results end while their first session is silent, so they are collected or repeated.
  cell.place.agent(cell.agent).rpc.act("silence_open");
  pause(1200ms);
  cell.place.control_upstream(cell.agent, R"({"delay_ms":0})");
}

void fail_all(cell_context& cell) {
  cell.place.control_upstream(cell.agent, R"({"fail_all":true})");
  pause(1500ms);
  cell.place.control_upstream(cell.agent, R"({"fail_all":false})");
}

void race_operators(cell_context& cell) {
  for (auto& fault : cell.catalogue.race(6)) {
    cell.violations.push_back(std::move(fault));
  }
}

void stop_entry(cell_context& cell) {
  cell.place.stop_entry(cell.entry);
  cell.place.restart_entry(cell.entry);
}

void stop_agent(cell_context& cell) {
  cell.place.stop_agent(cell.agent);
  cell.place.restart_agent(cell.agent);
}

void stop_both(cell_context& cell) {
  cell.place.begin_entry_leave(cell.entry);
  cell.place.stop_agent(cell.agent);
  cell.place.await_entry_leave(cell.entry);
  cell.place.restart_agent(cell.agent);
  cell.place.restart_entry(cell.entry);
}

void drain_entry(cell_context& cell) {
  const auto name = cell.place.entry(cell.entry).identity;
  cell.catalogue.desk().publish_drain(name, true);
  cell.place.await_entry_leave(cell.entry);
  cell.catalogue.desk().publish_drain(name, false);
  cell.place.restart_entry(cell.entry);
}

void drain_agent(cell_context& cell) {
  const auto name = cell.place.agent(cell.agent).identity;
  cell.catalogue.desk().publish_drain(name, true);
  cell.place.await_agent_leave(cell.agent);
  cell.catalogue.desk().publish_drain(name, false);
  cell.place.restart_agent(cell.agent);
}

void leave_upstream(cell_context& cell) {
  cell.place.leave_upstream(cell.agent);
  pause(3800ms);
}

void kill_agent_twice(cell_context& cell) {
  kill_agent(cell);
  pause(1500ms);
  kill_agent(cell);
}

void kill_entry_while_silent(cell_context& cell) {
  cell.place.agent(cell.agent).rpc.act("silence_open");
  pause(200ms);
  kill_entry(cell);
}

void freeze_agent_while_log_down(cell_context& cell) {
  cell.place.control_log(R"({"down":true})");
  freeze_agent(cell);
  cell.place.control_log(R"({"down":false})");
}

void kill_agent_and_lose_log_replies(cell_context& cell) {
  cell.place.control_log(R"({"lose_replies":3})");
  kill_agent(cell);
}

void kill_agent_while_entry_leaves(cell_context& cell) {
  cell.place.begin_entry_leave(cell.entry);
  kill_agent(cell);
  cell.place.await_entry_leave(cell.entry);
  cell.place.restart_entry(cell.entry);
}

constexpr auto strict = tolerance::no_cut_request;
constexpr auto truthful = tolerance::truthful_failures;

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
      {"kill entry", target::entry, truthful, kill_entry},
      {"kill agent", target::agent, truthful, kill_agent},
      {"kill upstream", target::upstream, truthful, kill_upstream},
      {"freeze entry", target::entry, truthful, freeze_entry},
      {"freeze agent", target::agent, truthful, freeze_agent},
      {"freeze upstream", target::upstream, truthful, freeze_upstream},
      {"cut connection", target::agent_path, strict, cut},
      {"silent connection", target::agent_path, strict, silence},
      {"slow path", target::agent_path, strict, slow_path},
      {"late and repeated replies", target::upstream, strict, late_replies},
      {"upstream drops replies", target::upstream, truthful, drop_replies},
      {"worker fails everything", target::upstream, truthful, fail_all},
      {"log down", target::log, strict, log_down},
      {"log slow", target::log, strict, log_slow},
      {"log reply lost", target::log, strict, lose_log_replies},
      {"log path lost", target::log, strict, lose_log_path},
      {"log path silent", target::log, strict, silence_log_path},
      {"records expired", target::log, truthful, expire_records},
      {"operators race", target::operators, strict, race_operators},
      {"SIGTERM entry", target::leave, strict, stop_entry},
      {"SIGTERM agent", target::leave, strict, stop_agent},
      {"SIGTERM entry and agent", target::leave, strict, stop_both},
      {"drain entry by catalogue", target::leave, strict, drain_entry},
      {"drain agent by catalogue", target::leave, strict, drain_agent},
      {"upstream leaves", target::leave, strict, leave_upstream},
      {"twice: kill agent", target::agent, truthful, kill_agent_twice},
      {"twice: silent connection", target::agent_path, strict, silence_twice},
      {"pair: silent connection, kill entry", target::entry, truthful, kill_entry_while_silent},
      {"pair: log down, freeze agent", target::agent, truthful, freeze_agent_while_log_down},
      {"pair: log reply lost, kill agent", target::agent, truthful,
       kill_agent_and_lose_log_replies},
      {"pair: SIGTERM entry, kill agent", target::leave, truthful, kill_agent_while_entry_leaves},
  };
}

std::string why_not(const fault_definition& fault, const step_definition& step) {
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
    return "the answer is between entry and caller; " + fault.name + " does not meet it";
  }
  if (fault.target == target::operators && !is_catalogue_only(step) && step.name != "admit") {
    return "operators publish to the log only; at this step the race equals the one at admit";
  }
  if (fault.name == "records expired" && !is_catalogue_only(step) && step.name != "claim") {
    return "only readers of the log meet expired records";
  }
  return "";
}

} // namespace parsleylead::faults
