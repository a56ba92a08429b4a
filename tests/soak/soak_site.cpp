#include "soak_site.hpp"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "parsleylead/base/call_after.hpp"
#include "parsleylead/fleet/format_run.hpp"

namespace parsleylead::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::uint16_t link_port = 17720;
constexpr std::uint16_t relay_port = 17722;
constexpr std::uint16_t callers_port = 17730;
constexpr std::uint16_t readiness_port = 17731;
constexpr std::uint16_t announcements_port = 17732;
constexpr std::uint16_t worker_port_number = 17733;
constexpr std::uint16_t store_port = 17740;
constexpr const char* settings_variable = "PARSLEYLEAD_BOOT";

// Callers wait this long, and send a job again this long after a broken connection.
constexpr milliseconds caller_patience{4'000};
constexpr milliseconds resend_after{1'300};
constexpr milliseconds start_limit{15'000};
// All faults are healed: jobs have to be served again, and new routes in force, after these times.
constexpr milliseconds recovery_limit{12'000};
constexpr milliseconds routes_limit{2'000};
constexpr milliseconds drain_limit{2'000};
constexpr int connections_for_each_client = 64;

// Durable jobs have to end within this time after all faults are healed and the load has ended.
constexpr milliseconds finish_limit{14'000};
// A job that has to be stored is sent again this often while nobody says yes or no.
constexpr int max_resends = 4;

// One job in so many is cancelled, of those that have to be stored.
constexpr std::uint64_t cancelled_share = 15;

/// Every third job has to be stored.
bool is_stored(std::uint64_t id) {
  return id % 3 == 0;
}

constexpr std::uint64_t networks = 200;

/// Runs with different seeds have addresses of their own, so that they can be played side by side.
std::string host_ip(std::uint64_t seed, int kind, int number) {
  return "127." + std::to_string(20 + seed % networks) + "." + std::to_string(kind) + "." +
         std::to_string(number + 1);
}

constexpr int store_kind = 0;
constexpr int entry_kind = 1;
constexpr int agent_kind = 2;

void must(const absl::Status& status) {
  if (!status.ok()) {
    throw std::runtime_error(std::string(status.message()));
  }
}

} // namespace

soak_site::soak_site(soak_options options)
    : options_(std::move(options)), random_(options_.seed), load_timer_(io_), store_(io_),
      began_(steady_clock::now()) {
  must(store_.listen(store_address()));
  publish_routes();
  for (int i = 0; i < options_.agents; ++i) {
    workers_.push_back(std::make_unique<standin::worker_service>(
        io_, "worker-" + std::to_string(i), endpoint{agent_ip(i), worker_port_number},
        endpoint{agent_ip(i), announcements_port}, options_.seed * 100 + i, judge_));
    must(workers_.back()->listen());
    write_settings(i, false);
  }
  for (int i = 0; i < options_.entries; ++i) {
    relays_.push_back(std::make_unique<standin::relay>(io_, endpoint{entry_ip(i), relay_port},
                                                       endpoint{entry_ip(i), link_port}));
    clients_.push_back(std::make_unique<web_client>(io_, endpoint{entry_ip(i), callers_port},
                                                    connections_for_each_client));
    write_settings(i, true);
  }
}

soak_site::~soak_site() = default;

std::string soak_site::entry_ip(int number) const {
  return host_ip(options_.seed, entry_kind, number);
}

std::string soak_site::agent_ip(int number) const {
  return host_ip(options_.seed, agent_kind, number);
}

endpoint soak_site::store_address() const {
  return {host_ip(options_.seed, store_kind, 0), store_port};
}

void soak_site::log(const std::string& line) {
  const auto at = std::chrono::round<milliseconds>(steady_clock::now() - began_).count();
  std::printf("%8.3f %s\n", static_cast<double>(at) / 1000, line.c_str());
}

void soak_site::write_settings(int host, bool entry) {
  auto made = std::make_unique<process>();
  made->entry = entry;
  made->name = (entry ? "entry-" : "agent-") + std::to_string(host);
  const auto ip = entry ? entry_ip(host) : agent_ip(host);
  json settings{
      {"node_name", made->name},
      {"ip", ip},
      {"zone", "z"},
      {"internal_ports", {link_port, link_port + 5}},
      {"seeds", json::array()},
      {"platform",
       {{"address", to_string(store_address())}, {"parts", standin::store_service::partitions}}},
      {"bounds", {{"hold_max_ms", 1000}, {"grace_s", 6}}},
      {"limits", {{"memory_mb", 128}, {"max_fds", 4096}}}};
  const auto at = [&ip](std::uint16_t port) { return ip + ":" + std::to_string(port); };
  if (entry) {
    settings["bind_addresses"] = {{"frontend", at(callers_port)}, {"ready", at(readiness_port)}};
  } else {
    settings["bind_addresses"] = {{"control_plane", at(announcements_port)}};
    settings["app"] = at(worker_port_number);
  }
  made->settings_path = options_.directory + "/" + made->name + ".json";
  std::ofstream(made->settings_path) << settings.dump(2);
  made->command = {options_.binary};
  if (entry) {
    made->command.push_back("--advertise=" + at(relay_port));
  }
  made->command.emplace_back(entry ? "entry" : "agent");
  start(*made);
  processes_.push_back(std::move(made));
}

void soak_site::start(process& each) {
  each.child.reset();
  setenv(settings_variable, each.settings_path.c_str(), 1);
  each.child = std::make_unique<faults::child_process>(each.command, options_.directory + "/" +
                                                                         each.name + ".log");
  each.stopped = false;
}

void soak_site::restart_ended() {
  for (auto& each : processes_) {
    if (!each->child->running()) {
      if (const auto fault = each->child->fault(); !fault.empty() && fault != "signal 9") {
        judge_.violation(each->name + " ended by itself: " + fault);
      }
      start(*each);
    }
  }
}

void soak_site::run_for(milliseconds time) {
  run_until([] { return false; }, time);
}

template <class Condition>
bool soak_site::run_until(Condition done, milliseconds limit) {
  const auto end = steady_clock::now() + limit;
  while (!done() && steady_clock::now() < end) {
    io_.run_one_for(milliseconds(5));
  }
  return done();
}

void soak_site::later(milliseconds delay, std::function<void()> what) {
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([timer, what = std::move(what)](const asio::error_code&) { what(); });
}

void soak_site::publish_routes() {
  ++routes_version_;
  path_prefix_ = "/q" + std::to_string(routes_version_) + "/";
  json routes = json::array();
  // Callers use the first route; the newest one shows which version is in force.
  for (const auto version : {std::int64_t{1}, routes_version_}) {
    routes.push_back({{"name", "r" + std::to_string(version)},
                      {"host", "soak.example"},
                      {"path_prefix", "/q" + std::to_string(version) + "/"},
                      {"service", "desk"},
                      {"target_duration_ms", 400},
                      {"stretch", 2.0},
                      {"max_attempts", 4}});
  }
  store_.put(
      "keyed.op", "config",
      json{{"version", routes_version_}, {"routes", routes}, {"services", json::array()}}.dump());
}

void soak_site::signal_fault(process& each) {
  switch (roll(4)) {
  case 0:
    log("kill " + each.name);
    each.child->kill();
    break;
  case 1:
    log("terminate " + each.name);
    each.child->send(SIGTERM);
    break;
  case 2:
    log("reload " + each.name);
    each.child->send(SIGHUP);
    break;
  default: {
    if (each.stopped) {
      return;
    }
    const milliseconds pause(100 + roll(2'500));
    log("pause " + each.name + " for " + std::to_string(pause.count()) + " ms");
    each.stopped = true;
    each.child->send(SIGSTOP);
    later(pause, [&each] {
      each.stopped = false;
      if (each.child->running()) {
        each.child->send(SIGCONT);
      }
    });
  }
  }
}

void soak_site::inject_fault() {
  if (!injecting_) {
    return;
  }
  ++report_.faults;
  auto& worker = *workers_[roll(options_.agents)];
  auto& path = *relays_[roll(options_.entries)];
  const milliseconds span(300 + roll(2'500));
  switch (roll(14)) {
  case 0:
  case 1:
  case 2:
    signal_fault(*processes_[roll(static_cast<int>(processes_.size()))]);
    break;
  case 3:
    log("silence links of an entry");
    path.silence_open();
    break;
  case 4:
    log("cut links of an entry");
    path.cut_open();
    break;
  case 5:
    log("isolate an entry from the others");
    path.silence_all();
    later(span, [&path] { path.heal(); });
    break;
  case 6:
    log("delay links of an entry");
    path.set_delay(milliseconds(5 + roll(60)));
    later(span, [&path] { path.set_delay(milliseconds(0)); });
    break;
  case 7: {
    constexpr std::array modes{standin::answer_mode::silent, standin::answer_mode::busy,
                               standin::answer_mode::lost};
    log("store misbehaves");
    store_.set_mode(modes.at(roll(3)));
    later(span, [this] { store_.set_mode(standin::answer_mode::normal); });
    break;
  }
  case 8:
    log("store forgets its history, routes change");
    store_.forget_history();
    publish_routes();
    break;
  case 13:
    log("cut the links of an entry one way");
    path.silence_one_way(roll(2) == 0 ? standin::relay_direction::to_target
                                      : standin::relay_direction::to_client);
    later(span, [&path] { path.heal(); });
    break;
  case 12:
    log("store deals partitions anew");
    store_.deal_partitions_anew();
    break;
  case 9:
    log("crash " + worker.id());
    worker.crash();
    break;
  case 10: {
    standin::worker_faults faults;
    (roll(2) == 0 ? faults.late_orders : faults.lose_answers) = 0.2;
    log(worker.id() + " loses orders or answers");
    worker.set_faults(faults);
    later(span, [&worker] { worker.set_faults({}); });
    break;
  }
  default: {
    standin::worker_faults faults;
    faults.hang = roll(2) == 0;
    faults.fail_runs = faults.hang ? 0 : 0.8;
    log(worker.id() + (faults.hang ? " hangs" : " fails its runs"));
    worker.set_faults(faults);
    later(span, [&worker] { worker.set_faults({}); });
  }
  }
  later(milliseconds(100 + roll(700)), [this] { inject_fault(); });
}

void soak_site::next_job() {
  if (!loading_) {
    return;
  }
  const std::uint32_t tasks = 1 + roll(6);
  submit(random_(), tasks, 0);
  std::exponential_distribution<double> gap(options_.jobs_per_second);
  call_after(load_timer_,
             std::chrono::round<milliseconds>(std::chrono::duration<double>(gap(random_))),
             [this] { next_job(); });
}

void soak_site::submit(std::uint64_t id, std::uint32_t tasks, int attempt) {
  const auto name = format_job(id);
  // "work_ms cpu_millis", as the worker stand-in reads it. Derived from the id, so that a job that
  // is sent again is the same.
  const std::string payload =
      std::to_string(20 + id % 300) + " " + std::to_string(1'000 + id % 3'000);
  if (attempt == 0) {
    ++report_.jobs;
    judge_.submitted(name, payload, tasks);
  } else {
    judge_.sent_again(name);
  }
  const json body{{"spec", payload},
                  {"best_effort", !is_stored(id)},
                  {"steps", json::array({{{"count", tasks},
                                          {"cpu", 1'000 + id % 3'000},
                                          {"mem_mb", 64},
                                          {"estimate_ms", 20 + id % 300}}})}};
  clients_[roll(options_.entries)]->call(
      {"POST",
       "/q1/" + name,
       {{"host", "soak.example"}, {"x-deadline-ms", std::to_string(caller_patience.count())}},
       body.dump()},
      caller_patience, [this, id, tasks, attempt](const absl::StatusOr<web_response>& response) {
        answered(id, tasks, attempt, response);
      });
}

void soak_site::answered(std::uint64_t id, std::uint32_t tasks, int attempt,
                         const absl::StatusOr<web_response>& response) {
  const auto name = format_job(id);
  if (!response.ok() || (is_stored(id) && response->status == 504)) {
    if (attempt < (is_stored(id) ? max_resends : 1)) {
      later(resend_after, [this, id, tasks, attempt] { submit(id, tasks, attempt + 1); });
    } else {
      ++report_.unanswered;
    }
    return;
  }
  if (is_stored(id) && response->status == 200) {
    ++report_.stored;
    judge_.accepted(name);
    unfinished_.insert(name);
    if (id % cancelled_share == 0) {
      later(milliseconds(roll(400)), [this, name] { cancel(name); });
    }
    return;
  }
  if (response->status == 200 && response->body.find("completed") != std::string::npos) {
    ++report_.completed;
    judge_.completed(name);
  } else if (response->status == 200) {
    ++report_.failed;
  } else {
    ++report_.refused;
    if (response->status == 429 || response->status == 503) {
      judge_.refused(name);
    } else {
      judge_.violation("job " + name + " was answered with " + std::to_string(response->status));
    }
  }
}

void soak_site::ask_for(const std::string& job) {
  clients_[roll(options_.entries)]->call(
      {"GET", "/q1/" + job, {{"host", "soak.example"}}, ""}, caller_patience,
      [this, job](const absl::StatusOr<web_response>& response) {
        if (!response.ok() || !unfinished_.contains(job)) {
          return;
        }
        if (response->status == 410) {
          judge_.violation("durable job " + job + " is not known");
          unfinished_.erase(job);
        } else if (response->body.find("cancelled") != std::string::npos) {
          judge_.cancelled(job); // The answer to the cancellation was lost.
          unfinished_.erase(job);
        } else if (response->body.find("completed") != std::string::npos) {
          judge_.completed(job);
          unfinished_.erase(job);
        } else if (response->body.find("failed") != std::string::npos) {
          judge_.shown_failed(job);
          unfinished_.erase(job);
        }
      });
}

void soak_site::cancel(const std::string& job) {
  clients_[roll(options_.entries)]->call(
      {"DELETE", "/q1/" + job, {{"host", "soak.example"}}, ""}, caller_patience,
      [this, job](const absl::StatusOr<web_response>& response) {
        if (response.ok() && response->status == 410) {
          judge_.violation("durable job " + job + " is not known");
        } else if (response.ok() && response->body.find("cancelled") != std::string::npos) {
          judge_.cancelled(job);
          unfinished_.erase(job);
        }
      });
}

void soak_site::check_durable_jobs() {
  const auto end = steady_clock::now() + finish_limit;
  while (!unfinished_.empty() && steady_clock::now() < end) {
    for (const auto& job : std::vector<std::string>(unfinished_.begin(), unfinished_.end())) {
      ask_for(job);
    }
    restart_ended();
    run_for(milliseconds(500));
  }
  for (const auto& job : unfinished_) {
    judge_.violation("durable job " + job + " has not ended");
  }
}

void soak_site::heal() {
  injecting_ = false;
  run_for(milliseconds(3'500)); // Until the last faults have ended by themselves.
  store_.set_mode(standin::answer_mode::normal);
  for (auto& each : relays_) {
    each->heal();
    each->set_delay(milliseconds(0));
  }
  for (auto& each : workers_) {
    each->set_faults({});
  }
  for (auto& each : processes_) {
    each->child->send(SIGCONT);
  }
}

void soak_site::check_recovery() {
  log("all faults are healed");
  const auto served = report_.completed + 20;
  if (!run_until(
          [&] {
            restart_ended();
            return report_.completed >= served;
          },
          recovery_limit)) {
    judge_.violation("the site does not serve again after all faults were healed");
    return;
  }
  // New routes have to be in force at every entry.
  run_for(milliseconds(3'000));
  publish_routes();
  run_for(routes_limit);
  loading_ = false;
  int known = 0;
  for (auto& client : clients_) {
    client->call({"GET", path_prefix_, {{"host", "soak.example"}}, ""}, milliseconds(2'000),
                 [&known](const absl::StatusOr<web_response>& response) {
                   known += response.ok() && response->status == 200 ? 1 : 0;
                 });
  }
  if (!run_until([&] { return known == options_.entries; }, milliseconds(2'000))) {
    judge_.violation("new routes are in force at " + std::to_string(known) + " of " +
                     std::to_string(options_.entries) + " entries after " +
                     std::to_string(routes_limit.count()) + " ms");
  }
  // A job of the last moment may be sent again and run once more.
  run_for(caller_patience + resend_after + caller_patience);
  check_durable_jobs();
  std::size_t left = 0;
  for (const auto& each : workers_) {
    left += each->running();
  }
  if (left > 0) {
    judge_.violation(std::to_string(left) + " runs are left after the last job");
  }
}

soak_report soak_site::run() {
  loading_ = true;
  next_job();
  if (!run_until([&] { return report_.completed >= 5; }, start_limit)) {
    judge_.violation("the site does not start");
  } else {
    injecting_ = true;
    inject_fault();
    const auto end = steady_clock::now() + options_.duration;
    while (steady_clock::now() < end) {
      restart_ended();
      run_for(milliseconds(50));
    }
    heal();
    check_recovery();
  }
  loading_ = false;
  report_.starts = judge_.starts();
  report_.violations = judge_.violations();
  return report_;
}

} // namespace parsleylead::soak
