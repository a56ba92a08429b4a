#include "worker.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "parsleylead/base/call_after.hpp"
#include "parsleylead/base/time.hpp"

namespace parsleylead::review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds tick_interval{5};
constexpr milliseconds announcement_interval{1'500};
constexpr milliseconds announcement_timeout{1'000};
constexpr std::int64_t max_lease_ms = 1'000;
constexpr std::size_t max_listed_ends = 500;

} // namespace

worker::worker(asio::io_context& io, worker_shape shape, const endpoint& address,
               const endpoint& agent, observer on_event)
    : io_(io), shape_(std::move(shape)), address_(address), agent_(io, agent, 1),
      on_event_(std::move(on_event)), timer_(io) {
  begin_life();
  tick();
}

void worker::begin_life() {
  born_ms_ = std::max<std::int64_t>(born_ms_ + 1, wall_now().time_since_epoch().count());
  life_began_ = steady_clock::now();
  next_announcement_ = life_began_;
  sequence_ = 0;
  highest_token_ = 0;
  lease_end_ms_ = 0;
  last_end_ = 0;
}

std::int64_t worker::clock_ms() const {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() - life_began_).count();
}

absl::Status worker::listen() {
  server_ = std::make_unique<web_server>(io_, web_server_limits{},
                                         [this](auto exchange) { handle(exchange); });
  return server_->listen(address_);
}

std::vector<std::string> worker::running_tasks() const {
  std::vector<std::string> tasks;
  tasks.reserve(runs_.size());
  for (const auto& [task, run] : runs_) {
    tasks.push_back(task);
  }
  return tasks;
}

void worker::crash(milliseconds downtime) {
  for (const auto& [task, run] : runs_) {
    on_event_(shape_.id, task, run.number, "crashed");
  }
  runs_.clear();
  last_runs_.clear();
  ends_.clear();
  for (const auto& pending : holds_) {
    pending.exchange->abort();
  }
  holds_.clear();
  server_.reset();
  down_until_ = steady_clock::now() + downtime;
}

void worker::handle(const std::shared_ptr<web_exchange>& exchange) {
  const auto& request = exchange->request();
  const auto instance = find_header(request.headers, "x-target-instance");
  if (!instance.empty() && instance != shape_.id) {
    exchange->respond({421, {}, json{{"clock_ms", clock_ms()}}.dump()});
  } else if (request.target == "/hold") {
    hold(exchange);
  } else if (request.target == "/run-start" && unhealthy_) {
    ++refused_starts_;
    exchange->respond({503, {}, "{}"});
  } else if (request.target == "/run-start") {
    exchange->respond(start(request.body));
  } else if (request.target == "/run-stop") {
    exchange->respond(stop(request.body));
  } else {
    exchange->respond({404, {}, "{}"});
  }
}

bool worker::is_fenced(std::uint64_t token) {
  highest_token_ = std::max(highest_token_, token);
  return token < highest_token_;
}

void worker::extend_lease(std::int64_t until_ms) {
  lease_end_ms_ = std::max(lease_end_ms_, std::min(until_ms, clock_ms() + max_lease_ms));
}

web_response worker::start(const std::string& body) {
  const auto request = json::parse(body);
  const auto answer = [this](int status, const char* reason) {
    json result{{"clock_ms", clock_ms()}};
    if (reason != nullptr) {
      result["reason"] = reason;
    }
    return web_response{status, {}, result.dump()};
  };
  if (is_fenced(request.value("fencing_token", std::uint64_t{0}))) {
    return answer(409, "fence");
  }
  const auto until_ms = request["until_ms"].get<std::int64_t>();
  if (until_ms < clock_ms()) {
    return answer(409, "late");
  }
  extend_lease(until_ms);
  const auto task = request["task"].get<std::string>();
  const auto number = request["run"].get<std::uint64_t>();
  if (const auto present = runs_.find(task); present != runs_.end()) {
    return present->second.number == number ? answer(200, nullptr) : answer(409, "old");
  }
  if (const auto last = last_runs_.find(task); last != last_runs_.end() && number <= last->second) {
    return answer(409, "old");
  }
  std::istringstream spec(request["spec"].get<std::string>());
  std::int64_t work_ms = 0;
  spec >> work_ms;
  active_run run;
  run.number = number;
  run.began = steady_clock::now();
  run.ends = run.began + milliseconds(work_ms);
  runs_[task] = run;
  on_event_(shape_.id, task, number, "start");
  return answer(200, nullptr);
}

web_response worker::stop(const std::string& body) {
  const auto request = json::parse(body);
  if (is_fenced(request.value("fencing_token", std::uint64_t{0}))) {
    return {409, {}, json{{"clock_ms", clock_ms()}, {"reason", "fence"}}.dump()};
  }
  const auto task = request["task"].get<std::string>();
  const auto number = request["run"].get<std::uint64_t>();
  if (const auto present = runs_.find(task);
      present != runs_.end() && present->second.number <= number) {
    present->second.stopping = true;
  }
  auto& last = last_runs_[task];
  last = std::max(last, number);
  return {200, {}, json{{"clock_ms", clock_ms()}}.dump()};
}

void worker::hold(const std::shared_ptr<web_exchange>& exchange) {
  const auto request = json::parse(exchange->request().body);
  if (is_fenced(request.value("fencing_token", std::uint64_t{0}))) {
    exchange->respond({409, {}, json{{"clock_ms", clock_ms()}, {"reason", "fence"}}.dump()});
    return;
  }
  if (request.contains("until_ms")) {
    extend_lease(request["until_ms"].get<std::int64_t>());
  }
  const auto cursor = request.value("ack_cursor", std::uint64_t{0});
  std::erase_if(ends_, [cursor](const auto& ended) { return ended.number <= cursor; });
  const milliseconds wait(std::min(request.value("wait_ms", 0), 2'000));
  if (wait.count() == 0 || !ends_.empty()) {
    exchange->respond(lists());
  } else {
    holds_.push_back({exchange, steady_clock::now() + wait});
  }
}

web_response worker::lists() const {
  const auto now = steady_clock::now();
  json active = json::array();
  for (const auto& [task, run] : runs_) {
    const auto passed = std::chrono::duration<double>(now - run.began).count();
    const auto whole = std::chrono::duration<double>(run.ends - run.began).count();
    const auto percent = whole > 0 ? static_cast<int>(100 * std::min(1.0, passed / whole)) : 100;
    active.push_back({task, run.number, "", percent, 0});
  }
  json finished = json::array();
  for (std::size_t i = 0; i < std::min(ends_.size(), max_listed_ends); ++i) {
    const auto& [number, task, run, how] = ends_[i];
    finished.push_back({number, task, run, how, ""});
  }
  return {200,
          {},
          json{{"clock_ms", clock_ms()},
               {"born", born_ms_},
               {"active_runs", active},
               {"finished_runs", finished}}
              .dump()};
}

void worker::end_run(const std::string& task, const std::string& how) {
  const auto number = runs_.at(task).number;
  runs_.erase(task);
  auto& last = last_runs_[task];
  last = std::max(last, number);
  ends_.push_back({++last_end_, task, number, how});
  on_event_(shape_.id, task, number, how);
}

void worker::announce() {
  const json body{
      {"service", shape_.service},
      {"address", to_string(address_)},
      {"zone", "zone-a"},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_remaining_ms", 0},
      {"capacity", {{"cpu", shape_.cpu_millis}, {"mem_mb", shape_.memory_mb}, {"gpu", 0}}},
      {"labels", shape_.labels},
      {"clock_ms", clock_ms()},
      {"born", born_ms_},
      {"sequence", ++sequence_}};
  agent_.call({"POST", "/Workers.Heartbeat/" + shape_.id, {}, body.dump()}, announcement_timeout,
              [](const absl::StatusOr<web_response>& /*ignored*/) {});
}

void worker::tick() {
  call_after(timer_, tick_interval, [this] { tick(); });
  const auto now = steady_clock::now();
  if (down_until_) {
    if (now < *down_until_) {
      return;
    }
    down_until_.reset();
    begin_life();
    if (const auto status = listen(); !status.ok()) {
      throw std::runtime_error(std::string(status.message()));
    }
  }
  const bool lapsed = clock_ms() > lease_end_ms_;
  std::vector<std::pair<std::string, std::string>> ending;
  for (const auto& [task, run] : runs_) {
    if (lapsed) {
      ending.emplace_back(task, "lapsed");
    } else if (run.stopping) {
      ending.emplace_back(task, "stopped");
    } else if (run.ends <= now) {
      ending.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : ending) {
    end_run(task, how);
  }
  auto holds = std::move(holds_);
  holds_.clear();
  for (auto& pending : holds) {
    if (!ends_.empty() || pending.deadline <= now) {
      pending.exchange->respond(lists());
    } else {
      holds_.push_back(std::move(pending));
    }
  }
  if (now >= next_announcement_) {
    next_announcement_ = now + announcement_interval;
    announce();
  }
}

} // namespace parsleylead::review
