#include "site.hpp"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

namespace parsleylead::review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Relative to the repository's root, as in the deploy file.
constexpr const char* program = "target/bin/parsleylead-platform";
constexpr std::uint16_t link_port = 17'720;
constexpr std::uint16_t callers_port = 17'761;
constexpr std::uint16_t readiness_port = 17'767;
constexpr std::uint16_t control_port = 17'766;
constexpr std::uint16_t worker_port = 17'780;
constexpr std::uint16_t store_port = 17'769;
constexpr std::size_t client_connections = 16;
// Machines start within 0.3 s of each other.
constexpr milliseconds start_interval{75};
constexpr milliseconds restart_delay{500};
constexpr milliseconds memory_check_interval{50};
constexpr milliseconds ready_limit{20'000};
// A client sends a job again this long after a broken connection or an unknown outcome.
constexpr milliseconds resend_delay{1'300};
constexpr milliseconds client_timeout{5'000};

void throw_if_error(const absl::Status& status) {
  if (!status.ok()) {
    throw std::runtime_error(std::string(status.message()));
  }
}

} // namespace

std::string job_name(std::uint64_t job) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(job));
  return text.data();
}

std::string task_name(std::uint64_t job, int step, int index) {
  return job_name(job) + ".0." + std::to_string(step) + "." + std::to_string(index);
}

bool without_trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

int run_case(const std::function<int(const std::string& record)>& play, int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: %s RECORD\n", argv[0]);
    return exit_not_run;
  }
  try {
    const int result = play(argv[1]);
    std::printf("%s\n", result == exit_held     ? "the rule held"
                        : result == exit_broken ? "the rule was broken"
                                                : "the case could not run");
    return result;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "the case could not run: %s\n", error.what());
    return exit_not_run;
  }
}

site::site(const site_shape& shape, const std::string& record)
    : shape_(shape), record_(record), store_(io_, {}) {
  std::signal(SIGPIPE, SIG_IGN);
  const auto base = std::filesystem::temp_directory_path() / "parsleylead-review-XXXXXX";
  folder_ = base.string();
  if (mkdtemp(folder_.data()) == nullptr || !record_) {
    throw std::runtime_error("no folder for the settings, or no record");
  }
  choose_network();
  json routes = json::array();
  for (const auto& each : shape_.queues) {
    routes.push_back({{"name", each.name},
                      {"host", "review.example"},
                      {"path_prefix", "/" + each.name + "/"},
                      {"type", "unsafe"},
                      {"timeout_ms", 1'500},
                      {"target_duration_ms", 400},
                      {"priority", each.priority},
                      {"service", "desk"},
                      {"max_attempts", each.max_attempts},
                      {"stretch", 1.6}});
  }
  store_.put("keyed.op", "config",
             json{{"version", 1},
                  {"routes", routes},
                  {"services", {{{"name", "desk"}, {"rejects_overload", false}}}},
                  {"limits", {{"max_header_bytes", 16'384}, {"max_body_bytes", 262'144}}}}
                 .dump());
  for (int i = 0; i < shape_.entries; ++i) {
    const auto name = "edge-" + std::to_string(i + 1);
    add_process("entry", name, shape_.entry_memory_mb, "");
    std::this_thread::sleep_for(start_interval);
    clients_.push_back(
        std::make_unique<web_client>(io_, endpoint{ip_of(name), callers_port}, client_connections));
  }
  for (std::size_t i = 0; i < shape_.workers.size(); ++i) {
    const auto name = "side-" + std::to_string(i + 1);
    const endpoint worker_address{ip_of(name), worker_port};
    auto of_worker = shape_.workers[i];
    of_worker.id = of_worker.id.empty() ? "i-" + std::to_string(i + 1) : of_worker.id;
    workers_.push_back(std::make_unique<worker>(
        io_, of_worker, worker_address, endpoint{ip_of(name), control_port},
        [this](const std::string& worker_id, const std::string& task, std::uint64_t run,
               const std::string& event) {
          auto& state = tasks_[task];
          state.running = event == "start";
          state.starts += event == "start" ? 1 : 0;
          state.last_start = event == "start" ? steady_clock::now() : state.last_start;
          state.done = state.done || event == "done";
          state.failed += event == "failed" ? 1 : 0;
          state.crashed += event == "crashed" ? 1 : 0;
          state.worker = worker_id;
          std::string line = "run ";
          line.append(worker_id).append(" ").append(task).append(" run ");
          line.append(std::to_string(run)).append(" ").append(event);
          this->record(line);
        }));
    throw_if_error(workers_.back()->listen());
    add_process("agent", name, shape_.agent_memory_mb, name);
  }
}

site::~site() {
  processes_.clear(); // Kills and reaps them.
  std::error_code ignored;
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(folder_, ignored);
  }
}

void site::choose_network() {
  constexpr int first_network = 40;
  constexpr int networks = 150;
  absl::Status listening;
  for (int i = 0; i < networks; ++i) {
    network_ = "127." + std::to_string(first_network + (getpid() + i) % networks);
    listening = store_.listen({ip_of("store"), store_port});
    if (listening.ok()) {
      return;
    }
  }
  throw_if_error(listening);
}

std::string site::ip_of(const std::string& host) const {
  const int kind = host.starts_with("edge") ? 1 : host.starts_with("side") ? 2 : 3;
  const auto dash = host.find('-');
  const auto number = dash == std::string::npos ? "1" : host.substr(dash + 1);
  return network_ + "." + std::to_string(kind) + "." + number;
}

std::string site::address(const std::string& host, std::uint16_t port) const {
  return ip_of(host) + ":" + std::to_string(port);
}

void site::add_process(const std::string& role, const std::string& name, std::size_t memory_mb,
                       const std::string& worker_host) {
  const bool entry = role == "entry";
  json settings{
      {"node_name", name},
      {"role", role},
      {"machine_class", entry ? "edge" : "side"},
      {"ip", ip_of(name)},
      {"zone", "zone-a"},
      {"region", "region"},
      {"zones", {{"zone-a", "region"}}},
      {"internal_ports", {link_port, link_port + 15}},
      {"seeds", {address("edge-1", control_port), address("edge-2", control_port)}},
      {"bootstrap", true},
      {"limits", {{"cpu_share", 0.25}, {"cores", 1}, {"memory_mb", memory_mb}, {"max_fds", 4'100}}},
      {"data_dir", nullptr},
      {"heartbeat_ms", 1'500},
      {"bounds", {{"grace_s", 6}, {"hold_max_ms", 1'000}, {"stop_ms", 50}, {"cancel_ms", 3'000}}},
      {"orders", "call"},
      {"platform",
       {{"address", address("store", store_port)},
        {"form", "log"},
        {"writes_per_s", 800},
        {"reads_per_s", 2'000},
        {"parts", 16},
        {"record_bytes", 262'144},
        {"call_bytes", 2'097'152},
        {"keep_s", 20},
        {"ttl_min_ms", 1'000}}}};
  if (entry) {
    settings["bind_addresses"] = {{"frontend", address(name, callers_port)},
                                  {"ready", address(name, readiness_port)},
                                  {"control_plane", address(name, control_port)}};
  } else {
    settings["bind_addresses"] = {{"control_plane", address(name, control_port)}};
    settings["app"] = address(worker_host, worker_port);
  }
  process added;
  added.name = name;
  added.role = role;
  added.settings = folder_ + "/" + name + ".json";
  added.log = folder_ + "/" + name + ".log";
  added.max_memory_mb = memory_mb;
  std::ofstream(added.settings) << settings.dump(2);
  start_process(added);
  processes_.push_back(std::move(added));
}

void site::start_process(process& started) {
  setenv("PARSLEYLEAD_BOOT", started.settings.c_str(), 1);
  started.child = std::make_unique<faults::child_process>(
      std::vector<std::string>{program, started.role}, started.log);
}

void site::run_for(milliseconds time) {
  run_until([] { return false; }, time);
}

bool site::run_until(const std::function<bool()>& condition, milliseconds limit) {
  const auto end = steady_clock::now() + limit;
  while (!condition()) {
    if (steady_clock::now() >= end) {
      return false;
    }
    io_.restart();
    io_.run_one_for(milliseconds(5));
    check_memory();
  }
  return true;
}

void site::call(int entry, const std::string& method, const std::string& queue_name,
                std::uint64_t job, std::string body, milliseconds timeout, answer done) {
  const auto target = "/" + queue_name + "/" + job_name(job);
  record("send edge-" + std::to_string(entry + 1) + " " + method + " " + target +
         (body.empty() ? "" : " bytes=" + std::to_string(body.size())));
  web_request request{
      method,
      target,
      {{"host", "review.example"}, {"x-deadline-ms", std::to_string(timeout.count())}},
      std::move(body)};
  clients_.at(entry)->call(
      std::move(request), timeout,
      [this, target, method, entry, done = std::move(done)](absl::StatusOr<web_response> response) {
        const int status = response.ok() ? response->status : 0;
        const auto text = response.ok() ? response->body : std::string(response.status().message());
        record("answer edge-" + std::to_string(entry + 1) + " " + method + " " + target + " " +
               std::to_string(status) + " " + text.substr(0, 100));
        done(status, text);
      });
}

int site::submit(const std::string& queue_name, std::uint64_t job, const std::string& body) {
  int status = 0;
  for (int i = 0; i < 4; ++i) {
    bool answered = false;
    call(i % shape_.entries, "POST", queue_name, job, body, client_timeout,
         [&](int answered_status, const std::string& /*text*/) {
           status = answered_status;
           answered = true;
         });
    run_until([&] { return answered; }, client_timeout + milliseconds(500));
    if (!answered) {
      throw std::runtime_error("a call has no result");
    }
    if (status != 0 && status != 502 && status != 504) {
      return status;
    }
    run_for(resend_delay);
  }
  return status;
}

std::pair<int, std::string> site::state_of(const std::string& queue_name, std::uint64_t job) {
  std::pair<int, std::string> result;
  for (int i = 0; i < 2 * shape_.entries; ++i) {
    bool answered = false;
    call(i % shape_.entries, "GET", queue_name, job, "", client_timeout,
         [&](int status, const std::string& text) {
           const auto body = json::parse(text, nullptr, false);
           result = {status, status == 200 && body.is_object() ? body.value("state", "") : ""};
           answered = true;
         });
    run_until([&] { return answered; }, client_timeout + milliseconds(500));
    if (result.first == 200 || result.first == 410) {
      break;
    }
    run_for(milliseconds(200));
  }
  return result;
}

std::uint64_t site::new_job() {
  return 0x5eed000000000000ULL + static_cast<std::uint64_t>(getpid()) * 1'000'000 + next_job_++;
}

bool site::wait_until_ready() {
  const auto end = steady_clock::now() + ready_limit;
  for (int entry = 0; entry < shape_.entries; ++entry) {
    int status = 0;
    while (status != 200) {
      if (steady_clock::now() > end) {
        return false;
      }
      bool answered = false;
      const json job{{"spec", "10"},
                     {"best_effort", true},
                     {"steps", {{{"count", 1}, {"cpu", 100}, {"estimate_ms", 10}}}}};
      call(entry, "POST", shape_.queues.front().name, new_job(), job.dump(), milliseconds(2'000),
           [&](int answered_status, const std::string& /*text*/) {
             status = answered_status;
             answered = true;
           });
      run_until([&] { return answered; }, milliseconds(2'500));
      run_for(milliseconds(200));
    }
  }
  run_for(milliseconds(2'000)); // The partitions of stored jobs are dealt to all entries.
  return true;
}

task_state site::task(std::uint64_t job, int step, int index) const {
  const auto found = tasks_.find(task_name(job, step, index));
  return found == tasks_.end() ? task_state{} : found->second;
}

std::size_t site::memory_mb(const std::string& process_name) const {
  const auto found = std::find_if(processes_.begin(), processes_.end(),
                                  [&](const auto& each) { return each.name == process_name; });
  if (found == processes_.end() || !found->child) {
    return 0;
  }
  std::ifstream status("/proc/" + std::to_string(found->child->id()) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::stoul(line.substr(line.find_first_of("0123456789"))) / 1'024;
    }
  }
  return 0;
}

void site::check_memory() {
  const auto now = steady_clock::now();
  if (!enforce_memory_ || now - memory_checked_ < memory_check_interval) {
    return;
  }
  memory_checked_ = now;
  for (auto& each : processes_) {
    if (!each.child) {
      if (now >= each.restart_at) {
        start_process(each);
        record("platform starts " + each.name);
      }
      continue;
    }
    const auto used = memory_mb(each.name);
    if (used > each.max_memory_mb) {
      ++over_memory_[each.name];
      record("platform kills " + each.name + ": " + std::to_string(used) + " MB of " +
             std::to_string(each.max_memory_mb));
      each.child->kill();
      each.child.reset();
      each.restart_at = now + restart_delay;
    }
  }
}

std::vector<std::string> site::ended_processes() {
  std::vector<std::string> ended;
  for (auto& each : processes_) {
    if (each.child && !each.child->running()) {
      ended.push_back(each.name + ": " + each.child->fault());
    }
  }
  return ended;
}

void site::record(const std::string& line) {
  const auto passed =
      std::chrono::duration_cast<milliseconds>(steady_clock::now() - began_).count();
  record_ << passed << " " << line << "\n";
}

} // namespace parsleylead::review
