#include "client_site.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "parsleylead/fleet/format_run.hpp"

namespace parsleylead::clients {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::uint16_t link_port = 17720;
constexpr std::uint16_t callers_port = 17730;
constexpr std::uint16_t readiness_port = 17731;
constexpr std::uint16_t announcements_port = 17732;
constexpr std::uint16_t worker_port = 17733;
constexpr std::uint16_t store_port = 17740;
constexpr std::uint16_t metrics_port = 9464;
constexpr int agents = 2;
constexpr milliseconds job_timeout{8'000};
constexpr milliseconds retry_delay{200};

/// Address of a host of this process's site; the second number keeps sites of different processes
/// apart.
std::string ip_of(const std::string& role, int number) {
  constexpr int first_network = 230;
  constexpr int networks = 20;
  const int kind = role == "store" ? 0 : role == "entry" ? 1 : 2;
  return "127." + std::to_string(first_network + getpid() % networks) + "." + std::to_string(kind) +
         "." + std::to_string(number + 1);
}

void throw_if_error(const absl::Status& status) {
  if (!status.ok()) {
    throw std::runtime_error(std::string(status.message()));
  }
}

/// Peak of the resident memory in kilobytes; 0 if the process is gone.
std::size_t peak_memory_kb(pid_t id) {
  std::ifstream file("/proc/" + std::to_string(id) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmHWM:")) {
      return std::stoul(line.substr(line.find_first_of("0123456789")));
    }
  }
  return 0;
}

std::size_t open_descriptors(pid_t id) {
  std::error_code error; // The process is gone.
  const std::filesystem::directory_iterator entries("/proc/" + std::to_string(id) + "/fd", error);
  return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace

client_site::client_site(std::string binary, std::string directory, const process_bounds& bounds)
    : binary_(std::move(binary)), directory_(std::move(directory)), bounds_(bounds), store_(io_) {
  throw_if_error(store_.listen({ip_of("store", 0), store_port}));
  const json route{{"name", "r1"},      {"host", "clients.example"}, {"path_prefix", "/q1/"},
                   {"service", "desk"}, {"target_duration_ms", 400}, {"stretch", 2.0},
                   {"max_attempts", 4}};
  store_.put("keyed.op", "config",
             json{{"version", 1}, {"routes", {route}}, {"services", json::array()}}.dump());
  for (int i = 0; i < agents; ++i) {
    const auto ip = ip_of("agent", i);
    workers_.push_back(std::make_unique<standin::worker_service>(
        io_, "worker-" + std::to_string(i), endpoint{ip, worker_port},
        endpoint{ip, announcements_port}, i + 1, events_));
    throw_if_error(workers_.back()->listen());
    add_process("agent", i);
  }
  add_process("entry", 0);
  caller_ = std::make_unique<web_client>(io_, address_of(target::callers), 4);
  if (!serves_job(job_timeout)) {
    throw std::runtime_error("the site does not serve jobs");
  }
}

void client_site::add_process(const std::string& role, int number) {
  const auto name = role + "-" + std::to_string(number);
  const auto ip = ip_of(role, number);
  const auto address_at = [&ip](std::uint16_t port) { return ip + ":" + std::to_string(port); };
  json settings{
      {"node_name", name},
      {"ip", ip},
      {"zone", "z"},
      {"internal_ports", {link_port, link_port + 5}},
      {"seeds", {ip_of("entry", 0) + ":" + std::to_string(link_port)}},
      {"platform",
       {{"address", ip_of("store", 0) + ":" + std::to_string(store_port)},
        {"parts", standin::store_service::partitions}}},
      {"bounds", {{"hold_max_ms", 1000}, {"grace_s", 6}}},
      {"limits", {{"memory_mb", bounds_.memory_mb}, {"max_fds", bounds_.max_descriptors}}}};
  if (role == "entry") {
    settings["bind_addresses"] = {{"frontend", address_at(callers_port)},
                                  {"ready", address_at(readiness_port)}};
  } else {
    settings["bind_addresses"] = {{"control_plane", address_at(announcements_port)}};
    settings["app"] = address_at(worker_port);
  }
  const auto settings_path = directory_ + "/" + name + ".json";
  std::ofstream(settings_path) << settings.dump(2);
  setenv("PARSLEYLEAD_BOOT", settings_path.c_str(), 1);
  processes_.push_back(
      {name,
       std::make_unique<faults::child_process>(std::vector<std::string>{binary_, role},
                                               directory_ + "/" + name + ".log"),
       0});
}

endpoint client_site::address_of(target address) const {
  switch (address) {
  case target::callers:
    return {ip_of("entry", 0), callers_port};
  case target::readiness:
    return {ip_of("entry", 0), readiness_port};
  case target::announcements:
    return {ip_of("agent", 0), announcements_port};
  case target::metrics:
    return {ip_of("entry", 0), metrics_port};
  }
  return {};
}

void client_site::run_for(milliseconds time) {
  constexpr milliseconds sample_interval{50};
  const auto end = steady_clock::now() + time;
  auto next_sample = steady_clock::now();
  while (steady_clock::now() < end) {
    io_.run_one_for(milliseconds(5));
    if (steady_clock::now() >= next_sample) {
      next_sample = steady_clock::now() + sample_interval;
      sample_descriptors();
    }
  }
}

void client_site::submit(milliseconds work, const std::shared_ptr<int>& status) {
  const json step{{"count", 1}, {"cpu", 1'000}, {"mem_mb", 64}, {"estimate_ms", work.count()}};
  const json body{{"spec", std::to_string(work.count()) + " 1000"},
                  {"best_effort", true},
                  {"steps", json::array({step})}};
  caller_->call(
      {"POST",
       "/q1/" + format_job(next_job_++),
       {{"host", "clients.example"}, {"x-deadline-ms", std::to_string(job_timeout.count())}},
       body.dump()},
      job_timeout, [status](const absl::StatusOr<web_response>& response) {
        *status = response.ok() ? response->status : -1;
      });
}

bool client_site::serves_job(milliseconds limit) {
  constexpr milliseconds work{50};
  const auto end = steady_clock::now() + limit;
  while (steady_clock::now() < end) {
    const auto status = std::make_shared<int>(0);
    submit(work, status);
    while (*status == 0) {
      run_for(milliseconds(10));
    }
    if (*status == 200) {
      return true;
    }
    run_for(retry_delay);
  }
  return false;
}

void client_site::sample_descriptors() {
  for (auto& each : processes_) {
    each.peak_descriptors = std::max(each.peak_descriptors, open_descriptors(each.child->id()));
  }
}

std::vector<std::string> client_site::violations() {
  constexpr std::size_t kb_per_mb = 1024;
  std::vector<std::string> found;
  sample_descriptors();
  for (auto& each : processes_) {
    if (!each.child->running()) {
      found.push_back(each.name + " has exited: " + each.child->fault());
      continue;
    }
    if (peak_memory_kb(each.child->id()) > bounds_.memory_mb * kb_per_mb) {
      found.push_back(each.name + " used more than limits.memory_mb");
    }
    if (each.peak_descriptors > bounds_.max_descriptors) {
      found.push_back(each.name + " had more descriptors than limits.max_fds");
    }
  }
  return found;
}

std::string client_site::describe_peaks() const {
  std::string text;
  for (const auto& each : processes_) {
    text += " " + each.name + " " + std::to_string(peak_memory_kb(each.child->id())) + " kB " +
            std::to_string(each.peak_descriptors) + " fds";
  }
  return text;
}

} // namespace parsleylead::clients
