#include "worker_service.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

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
constexpr int min_late_ms = 1'000;
constexpr int max_late_ms = 4'000;
constexpr std::uint32_t memory_mb = 32'768;

} // namespace

worker_service::worker_service(asio::io_context& io, std::string id, const endpoint& address,
                               const endpoint& agent, std::uint64_t seed, worker_observer& observer)
    : io_(io), id_(std::move(id)), address_(address), observer_(observer), random_(seed),
      server_(io, {}, [this](auto exchange) { handle(exchange); }), agent_(io, agent, 1),
      tick_timer_(io), born_ms_(wall_now().time_since_epoch().count()), began_(steady_clock::now()),
      last_tick_(began_) {
  tick();
}

std::int64_t worker_service::clock_ms() const {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() - began_).count();
}

bool worker_service::roll(double share) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

void worker_service::crash() {
  while (!runs_.empty()) {
    const auto task = runs_.begin()->first;
    observer_.run_ended(id_, task, runs_.begin()->second.number, "crashed");
    runs_.erase(task);
  }
  ended_runs_.clear();
  ends_.clear();
  fence_ = 0;
  last_end_ = 0;
  sequence_ = 0;
  began_ = steady_clock::now();
  lease_until_ms_ = 0;
  born_ms_ = std::max(born_ms_ + 1, std::int64_t{wall_now().time_since_epoch().count()});
  ++life_;
  for (const auto& each : waiting_) {
    each.exchange->abort();
  }
  waiting_.clear();
}

void worker_service::handle(const std::shared_ptr<web_exchange>& exchange) {
  const auto path = exchange->request().target;
  const auto wanted = find_header(exchange->request().headers, "x-target-instance");
  if (!wanted.empty() && wanted != id_) {
    exchange->respond({421, {}, "{}"});
    return;
  }
  if (path != "/hold" && roll(faults_.late_request_share)) {
    unanswered_.push_back(exchange);
    const auto delay = std::uniform_int_distribution<int>(min_late_ms, max_late_ms)(random_);
    auto timer = std::make_shared<asio::steady_timer>(io_, milliseconds(delay));
    timer->async_wait([this, timer, path, body = exchange->request().body,
                       life = life_](const asio::error_code&) {
      if (life == life_) {
        carry_out(path, body);
      }
    });
    return;
  }
  if (path == "/hold") {
    hold(exchange);
    return;
  }
  auto response = carry_out(path, exchange->request().body);
  if (roll(faults_.lost_response_share)) {
    unanswered_.push_back(exchange);
  } else {
    exchange->respond(std::move(response));
  }
}

web_response worker_service::carry_out(const std::string& path, const std::string& body) {
  if (path == "/run-start") {
    return start(body);
  }
  if (path == "/run-stop") {
    return stop(body);
  }
  return {404, {}, "{}"};
}

void worker_service::extend(std::int64_t until_ms) {
  lease_until_ms_ = std::max(lease_until_ms_, std::min(until_ms, clock_ms() + max_lease_ms));
}

web_response worker_service::start(const std::string& body) {
  const auto order = json::parse(body);
  const auto refuse = [this](const char* reason) {
    return web_response{409, {}, json{{"clock_ms", clock_ms()}, {"reason", reason}}.dump()};
  };
  const auto fence = order["fencing_token"].get<std::uint64_t>();
  if (fence < fence_) {
    return refuse("fence");
  }
  fence_ = fence;
  const auto task = order["task"].get<std::string>();
  const auto number = order["run"].get<std::uint64_t>();
  const auto until = order["until_ms"].get<std::int64_t>();
  if (until < clock_ms()) {
    return refuse("late");
  }
  extend(until);
  const auto present = runs_.find(task);
  if (present != runs_.end()) {
    return present->second.number == number
               ? web_response{200, {}, json{{"clock_ms", clock_ms()}}.dump()}
               : refuse("old");
  }
  if (const auto ended = ended_runs_.find(task);
      ended != ended_runs_.end() && number <= ended->second) {
    return refuse("old");
  }
  run made;
  made.number = number;
  std::istringstream payload(order["spec"].get<std::string>());
  payload >> made.work_ms >> made.cpu_millis;
  made.left_ms = made.work_ms;
  runs_[task] = made;
  std::uint32_t used = 0;
  for (const auto& [name, each] : runs_) {
    used += each.cpu_millis;
  }
  if (used > capacity_cpu_millis) {
    observer_.overloaded(id_);
  }
  observer_.run_started(id_, task, number, order["spec"].get<std::string>());
  return {200, {}, json{{"clock_ms", clock_ms()}}.dump()};
}

web_response worker_service::stop(const std::string& body) {
  const auto order = json::parse(body);
  const auto fence = order["fencing_token"].get<std::uint64_t>();
  if (fence < fence_) {
    return {409, {}, json{{"clock_ms", clock_ms()}, {"reason", "fence"}}.dump()};
  }
  fence_ = fence;
  const auto task = order["task"].get<std::string>();
  const auto number = order["run"].get<std::uint64_t>();
  const auto present = runs_.find(task);
  if (present != runs_.end() && present->second.number <= number) {
    present->second.stopping = true;
  }
  auto& ended = ended_runs_[task];
  ended = std::max(ended, number);
  return {200, {}, json{{"clock_ms", clock_ms()}}.dump()};
}

void worker_service::hold(const std::shared_ptr<web_exchange>& exchange) {
  const auto order = json::parse(exchange->request().body);
  const auto fence = order["fencing_token"].get<std::uint64_t>();
  if (fence < fence_) {
    exchange->respond({409, {}, json{{"clock_ms", clock_ms()}, {"reason", "fence"}}.dump()});
    return;
  }
  fence_ = fence;
  if (order.contains("until_ms")) {
    extend(order["until_ms"].get<std::int64_t>());
  }
  const auto seen = order["ack_cursor"].get<std::uint64_t>();
  for (const auto& each : ends_) {
    if (each.number <= seen && each.how == "done" && !each.lapsed) {
      observer_.completion_acknowledged(each.task, each.run);
    }
  }
  std::erase_if(ends_, [seen](const end& each) { return each.number <= seen; });
  const milliseconds wait(order.value("wait_ms", 0));
  if (roll(faults_.lost_response_share)) {
    unanswered_.push_back(exchange);
  } else if (wait.count() == 0 || !ends_.empty()) {
    exchange->respond(lists());
  } else {
    waiting_.push_back({exchange, steady_clock::now() + wait});
  }
}

web_response worker_service::lists() const {
  json active = json::array();
  for (const auto& [task, each] : runs_) {
    const double done = each.work_ms > 0 ? 1 - each.left_ms / each.work_ms : 1;
    active.push_back({task, each.number, "", static_cast<int>(100 * std::clamp(done, 0.0, 1.0))});
  }
  json finished = json::array();
  for (const auto& each : ends_) {
    finished.push_back({each.number, each.task, each.run, each.how, ""});
  }
  return {200,
          {},
          json{{"clock_ms", clock_ms()},
               {"born", born_ms_},
               {"active_runs", active},
               {"finished_runs", finished}}
              .dump()};
}

void worker_service::finish(const std::string& task, const std::string& how) {
  const auto number = runs_.at(task).number;
  runs_.erase(task);
  auto& ended = ended_runs_[task];
  ended = std::max(ended, number);
  ends_.push_back({++last_end_, task, number, how, false});
  observer_.run_ended(id_, task, number, how);
}

void worker_service::announce() {
  const json body{{"service", "desk"},
                  {"address", to_string(address_)},
                  {"zone", "z"},
                  {"version", "v1"},
                  {"slots", 8},
                  {"state", draining_ ? "draining" : "ready"},
                  {"cold_remaining_ms", 0},
                  {"capacity", {{"cpu", capacity_cpu_millis}, {"mem_mb", memory_mb}, {"gpu", 0}}},
                  {"labels", {"a", "r1"}},
                  {"clock_ms", clock_ms()},
                  {"born", born_ms_},
                  {"sequence", ++sequence_}};
  agent_.call({"POST", "/Workers.Heartbeat/" + id_, {}, body.dump()}, announcement_timeout,
              [](const absl::StatusOr<web_response>&) {});
}

void worker_service::tick() {
  const auto now = steady_clock::now();
  const std::chrono::duration<double, std::milli> passed = now - last_tick_;
  last_tick_ = now;
  const bool lapsed = clock_ms() > lease_until_ms_;
  std::vector<std::pair<std::string, std::string>> over;
  for (auto& [task, each] : runs_) {
    each.left_ms -= faults_.hang ? 0 : passed.count();
    if (lapsed) {
      over.emplace_back(task, "lapsed");
    } else if (each.stopping) {
      over.emplace_back(task, "stopped");
    } else if (each.left_ms <= 0) {
      over.emplace_back(task, roll(faults_.failed_run_share) ? "failed" : "done");
    }
  }
  for (auto& each : ends_) {
    each.lapsed = each.lapsed || lapsed;
  }
  for (const auto& [task, how] : over) {
    finish(task, how);
  }
  auto waiting = std::move(waiting_);
  waiting_.clear();
  for (auto& each : waiting) {
    if (!ends_.empty() || each.until <= now) {
      each.exchange->respond(lists());
    } else {
      waiting_.push_back(std::move(each));
    }
  }
  if (now >= next_announcement_) {
    next_announcement_ = now + announcement_interval;
    announce();
  }
  call_after(tick_timer_, tick_interval, [this] { tick(); });
}

} // namespace parsleylead::standin
