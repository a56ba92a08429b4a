#include "worker_service.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "parsleylead/base/call_after.hpp"
#include "parsleylead/base/time.hpp"

namespace parsleylead::standin {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds tick_interval{5};
constexpr milliseconds announcement_interval{500};
constexpr milliseconds announcement_timeout{1'000};
constexpr std::int64_t max_lease_ms = 1'000;
constexpr int min_delay_ms = 1'000;
constexpr int max_delay_ms = 4'000;
constexpr std::uint32_t memory_mb = 32'768;
// A deadly task crashes its worker at most this long after its start.
constexpr int max_crash_delay_ms = 30;
// Orders sent before the agent acknowledged a smaller capacity may still arrive for this time.
constexpr milliseconds capacity_grace{500};

/// Returns whether the rest of a payload says that the task with this name is deadly.
bool is_deadly(std::istream& payload, const std::string& task) {
  std::string word;
  std::string index;
  if (!(payload >> word) || word != "deadly") {
    return false;
  }
  return !(payload >> index) || task.substr(task.rfind('.') + 1) == index;
}

} // namespace

worker_service::worker_service(asio::io_context& io, std::string id, const endpoint& address,
                               const endpoint& agent, std::uint64_t seed, worker_observer& observer)
    : io_(io), id_(std::move(id)), address_(address), announced_address_(address),
      observer_(observer), random_(seed), agent_(io, agent, 1), tick_timer_(io), base_id_(id_),
      start_time_ms_(wall_now().time_since_epoch().count()), clock_start_(steady_clock::now()),
      last_tick_(clock_start_) {
  tick();
}

std::int64_t worker_service::clock_ms() const {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() - clock_start_).count();
}

bool worker_service::happens(double share) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

absl::Status worker_service::listen() {
  server_ = std::make_unique<web_server>(io_, web_server_limits{},
                                         [this](auto exchange) { handle(exchange); });
  return server_->listen(address_);
}

std::vector<std::string> worker_service::running_tasks() const {
  std::vector<std::string> tasks;
  tasks.reserve(runs_.size());
  for (const auto& [task, active_run] : runs_) {
    tasks.push_back(task);
  }
  return tasks;
}

void worker_service::set_downtime(milliseconds shortest, milliseconds longest) {
  shortest_downtime_ = shortest;
  longest_downtime_ = longest;
}

void worker_service::set_capacity(std::uint32_t cpu_millis) {
  capacity_ = cpu_millis;
  judged_capacity_ = std::max(judged_capacity_, cpu_millis);
}

void worker_service::capacity_acknowledged(std::uint32_t cpu_millis) {
  auto timer = std::make_shared<asio::steady_timer>(io_, capacity_grace);
  timer->async_wait([this, timer, cpu_millis, incarnation = incarnation_](const asio::error_code&) {
    if (incarnation == incarnation_) {
      judged_capacity_ = std::max(cpu_millis, capacity_); // It may have grown meanwhile.
    }
  });
}

void worker_service::crash(milliseconds downtime, bool new_id) {
  while (!runs_.empty()) {
    const auto task = runs_.begin()->first;
    observer_.run_ended(id_, task, runs_.begin()->second.number, "crashed");
    runs_.erase(task);
  }
  last_ended_runs_.clear();
  unacknowledged_ends_.clear();
  highest_fencing_token_ = 0;
  last_end_number_ = 0;
  ++incarnation_;
  for (const auto& pending : pending_holds_) {
    pending.exchange->abort();
  }
  pending_holds_.clear();
  if (new_id) {
    id_ = base_id_ + "-" + std::to_string(++id_changes_);
  }
  if (downtime.count() > 0) {
    begin_downtime(downtime);
  } else if (!down_until_) {
    restart();
  }
}

void worker_service::begin_downtime(milliseconds downtime) {
  unanswered_.clear();
  server_.reset();
  listening_changed_(false);
  down_until_ = steady_clock::now() + downtime;
}

void worker_service::restart() {
  sequence_ = 0;
  clock_start_ = steady_clock::now();
  lease_end_ms_ = 0;
  start_time_ms_ =
      std::max(start_time_ms_ + 1, std::int64_t{wall_now().time_since_epoch().count()});
}

void worker_service::handle(const std::shared_ptr<web_exchange>& exchange) {
  const auto path = exchange->request().target;
  const auto target_instance = find_header(exchange->request().headers, "x-target-instance");
  if (!target_instance.empty() && target_instance != id_) {
    exchange->respond({421, {}, "{}"});
    return;
  }
  if (path != "/hold" && happens(faults_.late_request_share)) {
    unanswered_.push_back(exchange);
    const auto delay = std::uniform_int_distribution<int>(min_delay_ms, max_delay_ms)(random_);
    auto timer = std::make_shared<asio::steady_timer>(io_, milliseconds(delay));
    timer->async_wait([this, timer, path, body = exchange->request().body,
                       capacity = judged_capacity_,
                       incarnation = incarnation_](const asio::error_code&) {
      if (incarnation == incarnation_) {
        executing_late_ = true;
        execute(path, body, std::max(capacity, judged_capacity_));
        executing_late_ = false;
      }
    });
    return;
  }
  if (path == "/hold") {
    handle_hold(exchange);
    return;
  }
  auto response = execute(path, exchange->request().body, judged_capacity_);
  if (happens(faults_.lost_response_share)) {
    unanswered_.push_back(exchange);
  } else {
    exchange->respond(std::move(response));
  }
}

web_response worker_service::execute(const std::string& path, const std::string& body,
                                     std::uint32_t capacity) {
  if (path == "/run-start") {
    return start_run(body, capacity);
  }
  if (path == "/run-stop") {
    return stop_run(body);
  }
  return {404, {}, "{}"};
}

void worker_service::extend_lease(std::int64_t lease_end_ms) {
  lease_end_ms_ = std::max(lease_end_ms_, std::min(lease_end_ms, clock_ms() + max_lease_ms));
}

web_response worker_service::start_run(const std::string& body, std::uint32_t capacity) {
  const auto request = json::parse(body);
  const auto refuse = [this](const char* reason) {
    return web_response{409, {}, json{{"clock_ms", clock_ms()}, {"reason", reason}}.dump()};
  };
  const auto fencing_token = request["fencing_token"].get<std::uint64_t>();
  if (fencing_token < highest_fencing_token_) {
    return refuse("fence");
  }
  highest_fencing_token_ = fencing_token;
  const auto task = request["task"].get<std::string>();
  const auto number = request["run"].get<std::uint64_t>();
  const auto lease_end_ms = request["until_ms"].get<std::int64_t>();
  if (lease_end_ms < clock_ms()) {
    return refuse("late");
  }
  extend_lease(lease_end_ms);
  const auto present = runs_.find(task);
  if (present != runs_.end()) {
    return present->second.number == number
               ? web_response{200, {}, json{{"clock_ms", clock_ms()}}.dump()}
               : refuse("old");
  }
  if (const auto ended = last_ended_runs_.find(task);
      ended != last_ended_runs_.end() && number <= ended->second) {
    return refuse("old");
  }
  run new_run;
  new_run.number = number;
  std::istringstream payload(request["spec"].get<std::string>());
  payload >> new_run.work_ms >> new_run.cpu_millis;
  new_run.remaining_ms = new_run.work_ms;
  if (is_deadly(payload, task)) {
    new_run.crash_at =
        steady_clock::now() +
        milliseconds(std::uniform_int_distribution<int>(0, max_crash_delay_ms)(random_));
  }
  runs_[task] = new_run;
  std::uint32_t used_cpu_millis = 0;
  for (const auto& [name, running_run] : runs_) {
    used_cpu_millis += running_run.cpu_millis;
  }
  if (used_cpu_millis > capacity) {
    observer_.overloaded(id_);
  }
  observer_.run_started(id_, task, number, request["spec"].get<std::string>());
  return {200, {}, json{{"clock_ms", clock_ms()}}.dump()};
}

web_response worker_service::stop_run(const std::string& body) {
  const auto request = json::parse(body);
  const auto fencing_token = request["fencing_token"].get<std::uint64_t>();
  if (fencing_token < highest_fencing_token_) {
    return {409, {}, json{{"clock_ms", clock_ms()}, {"reason", "fence"}}.dump()};
  }
  highest_fencing_token_ = fencing_token;
  const auto task = request["task"].get<std::string>();
  const auto number = request["run"].get<std::uint64_t>();
  const auto present = runs_.find(task);
  if (present != runs_.end() && present->second.number <= number) {
    present->second.stopping = true;
  }
  auto& ended = last_ended_runs_[task];
  ended = std::max(ended, number);
  return {200, {}, json{{"clock_ms", clock_ms()}}.dump()};
}

void worker_service::handle_hold(const std::shared_ptr<web_exchange>& exchange) {
  const auto request = json::parse(exchange->request().body);
  const auto fencing_token = request["fencing_token"].get<std::uint64_t>();
  if (fencing_token < highest_fencing_token_) {
    exchange->respond({409, {}, json{{"clock_ms", clock_ms()}, {"reason", "fence"}}.dump()});
    return;
  }
  highest_fencing_token_ = fencing_token;
  if (request.contains("until_ms")) {
    extend_lease(request["until_ms"].get<std::int64_t>());
  }
  const auto acknowledged = request["ack_cursor"].get<std::uint64_t>();
  for (const auto& ended : unacknowledged_ends_) {
    if (ended.number <= acknowledged && ended.outcome == "done" && !ended.lapsed) {
      observer_.completion_acknowledged(ended.task, ended.run);
    }
  }
  std::erase_if(unacknowledged_ends_,
                [acknowledged](const ended_run& ended) { return ended.number <= acknowledged; });
  const milliseconds wait(request.value("wait_ms", 0));
  if (happens(faults_.lost_response_share)) {
    unanswered_.push_back(exchange);
  } else if (wait.count() == 0 || !unacknowledged_ends_.empty()) {
    exchange->respond(run_lists());
  } else {
    pending_holds_.push_back({exchange, steady_clock::now() + wait});
  }
}

web_response worker_service::run_lists() const {
  json active = json::array();
  for (const auto& [task, active_run] : runs_) {
    const double done =
        active_run.work_ms > 0 ? 1 - active_run.remaining_ms / active_run.work_ms : 1;
    active.push_back(
        {task, active_run.number, "", static_cast<int>(100 * std::clamp(done, 0.0, 1.0))});
  }
  json finished = json::array();
  for (const auto& ended : unacknowledged_ends_) {
    finished.push_back({ended.number, ended.task, ended.run, ended.outcome, ""});
  }
  return {200,
          {},
          json{{"clock_ms", clock_ms()},
               {"born", start_time_ms_},
               {"active_runs", active},
               {"finished_runs", finished}}
              .dump()};
}

void worker_service::end_run(const std::string& task, const std::string& outcome) {
  const auto number = runs_.at(task).number;
  runs_.erase(task);
  auto& ended = last_ended_runs_[task];
  ended = std::max(ended, number);
  unacknowledged_ends_.push_back({++last_end_number_, task, number, outcome, false});
  observer_.run_ended(id_, task, number, outcome);
}

void worker_service::announce() {
  const json body{{"service", "desk"},
                  {"address", to_string(announced_address_)},
                  {"zone", "z"},
                  {"version", "v1"},
                  {"slots", 8},
                  {"state", draining_ ? "draining" : "ready"},
                  {"cold_remaining_ms", 0},
                  {"capacity", {{"cpu", capacity_}, {"mem_mb", memory_mb}, {"gpu", 0}}},
                  {"labels", labels_},
                  {"clock_ms", clock_ms()},
                  {"born", start_time_ms_},
                  {"sequence", ++sequence_}};
  agent_.call({"POST", "/Workers.Heartbeat/" + id_, {}, body.dump()}, announcement_timeout,
              [this, shown = capacity_,
               incarnation = incarnation_](const absl::StatusOr<web_response>& response) {
                if (response.ok() && response->status == 200 && incarnation == incarnation_) {
                  capacity_acknowledged(shown);
                }
              });
}

bool worker_service::crash_if_due() {
  const auto now = steady_clock::now();
  if (std::none_of(runs_.begin(), runs_.end(), [now](const auto& each) {
        return each.second.crash_at && *each.second.crash_at <= now;
      })) {
    return false;
  }
  ++crashes_;
  const milliseconds downtime(std::uniform_int_distribution<std::int64_t>(
      shortest_downtime_.count(), longest_downtime_.count())(random_));
  crash(downtime, std::uniform_int_distribution<int>(0, 1)(random_) == 0);
  return true;
}

void worker_service::end_due_runs(std::chrono::duration<double, std::milli> elapsed) {
  const bool lapsed = clock_ms() > lease_end_ms_;
  std::vector<std::pair<std::string, std::string>> ending;
  for (auto& [task, active_run] : runs_) {
    active_run.remaining_ms -= faults_.hang ? 0 : elapsed.count();
    if (lapsed) {
      ending.emplace_back(task, "lapsed");
    } else if (active_run.stopping) {
      ending.emplace_back(task, "stopped");
    } else if (active_run.remaining_ms <= 0 && !active_run.crash_at) {
      ending.emplace_back(task, happens(faults_.failed_run_share) ? "failed" : "done");
    }
  }
  for (auto& ended : unacknowledged_ends_) {
    ended.lapsed = ended.lapsed || lapsed;
  }
  for (const auto& [task, outcome] : ending) {
    end_run(task, outcome);
  }
}

void worker_service::tick() {
  call_after(tick_timer_, tick_interval, [this] { tick(); });
  const auto now = steady_clock::now();
  const std::chrono::duration<double, std::milli> elapsed = now - last_tick_;
  last_tick_ = now;
  if (down_until_ && now >= *down_until_) {
    down_until_.reset();
    restart();
    if (const auto status = listen(); !status.ok()) {
      throw std::runtime_error(std::string(status.message()));
    }
    listening_changed_(true);
    next_announcement_ = now;
  }
  if (down_until_ || crash_if_due()) {
    return;
  }
  end_due_runs(elapsed);
  auto holds = std::move(pending_holds_);
  pending_holds_.clear();
  for (auto& pending : holds) {
    if (!unacknowledged_ends_.empty() || pending.deadline <= now) {
      pending.exchange->respond(run_lists());
    } else {
      pending_holds_.push_back(std::move(pending));
    }
  }
  if (now >= next_announcement_) {
    next_announcement_ = now + announcement_interval;
    announce();
  }
}

} // namespace parsleylead::standin
