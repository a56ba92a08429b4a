// Measures the sessions, messages and memory of a site of many entries and agents in one process,
// on loopback addresses. Started by hand; docs/CAPACITY.md has the figures.
//
//   parsleylead_sessions [--entries N] [--agents N] [--kinds N] [--seconds N]
//
// Three phases: idle; each entry receives ten jobs a second of kinds that no worker can run; each
// entry receives one job that one worker can run.

#include <gflags/gflags.h>
#include <unistd.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "parsleylead/fleet/fleet_agent.hpp"
#include "parsleylead/fleet/fleet_entry.hpp"

DEFINE_int32(entries, 14, "number of entries");
DEFINE_int32(agents, 14, "number of agents, each with a worker");
DEFINE_int32(kinds, 4, "number of kinds of jobs that no worker can run");
DEFINE_int32(seconds, 10, "length of the first two phases");

namespace parsleylead {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds run_time{50};
constexpr milliseconds announcement_interval{1'500};
constexpr milliseconds submission_interval{100};

endpoint free_address(asio::io_context& io) {
  asio::ip::tcp::acceptor probe(io, {asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", probe.local_endpoint().port()};
}

/// Worker in memory that runs each task for `run_time`.
class memory_worker : public worker_port {
public:
  explicit memory_worker(asio::io_context& io) : io_(io) {}

  void attach(const worker_announcement&) override {}

  void query_incarnation(const std::string&,
                         std::function<void(absl::StatusOr<std::int64_t>)> done) override {
    asio::post(io_, [done = std::move(done)] { done(1); });
  }

  void start(const start_order& order, monotonic_time,
             std::function<void(start_answer)> done) override {
    auto timer = std::make_shared<asio::steady_timer>(io_, run_time);
    active_.emplace(order.run.task, order.run);
    timer->async_wait([this, timer, run = order.run](const asio::error_code&) {
      if (active_.erase(run.task) > 0) {
        ended_.push_back({run, run_outcome::done, ++last_end_});
      }
    });
    asio::post(io_, [done = std::move(done)] { done(start_answer::started); });
  }

  void stop(const run_id& run, std::function<void(bool)> done) override {
    if (active_.erase(run.task) > 0) {
      ended_.push_back({run, run_outcome::stopped, ++last_end_});
    }
    asio::post(io_, [done = std::move(done)] { done(true); });
  }

  void list_runs(std::uint64_t, std::optional<monotonic_time>, milliseconds wait, milliseconds,
                 std::function<void(absl::StatusOr<run_lists>)> done) override {
    auto timer = std::make_shared<asio::steady_timer>(io_, wait);
    timer->async_wait([this, timer, done = std::move(done)](const asio::error_code&) {
      run_lists lists;
      for (const auto& [task, run] : active_) {
        lists.active.push_back({run, 50});
      }
      lists.finished = std::exchange(ended_, {});
      lists.incarnation = 1;
      done(lists);
    });
  }

private:
  asio::io_context& io_;
  std::map<task_key, run_id> active_;
  std::vector<finished_run> ended_;
  std::uint64_t last_end_ = 0;
};

struct agent_host {
  std::unique_ptr<memory_worker> worker;
  std::unique_ptr<metrics_registry> metrics;
  worker_announcement announcement;
  std::unique_ptr<fleet_agent> agent;
};

struct entry_host {
  std::unique_ptr<metrics_registry> metrics;
  std::unique_ptr<fleet_entry> entry;
};

/// Frames and bytes that a process has sent.
struct traffic {
  double frames = 0;
  double bytes = 0;

  traffic& operator+=(const traffic& more) {
    frames += more.frames;
    bytes += more.bytes;
    return *this;
  }
};

traffic sent(const metrics_registry& metrics) {
  traffic all;
  for (const auto* content : {"keepalive", "hello", "members", "routes", "claims", "orders", "ends",
                              "status", "worker_requests"}) {
    all += {metrics.value("parsleylead_link_sent_frames_total", {{"content", content}}),
            metrics.value("parsleylead_link_sent_bytes_total", {{"content", content}})};
  }
  return all;
}

double resident_mb() {
  std::ifstream statm("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

class site {
public:
  site() {
    for (int i = 0; i < FLAGS_entries; ++i) {
      fleet_entry_settings settings;
      settings.name = "entry-" + std::to_string(i);
      settings.incarnation = 1 + static_cast<std::uint64_t>(i);
      settings.availability_zone = "zone-" + std::to_string(i % 4);
      settings.listen = free_address(io_);
      settings.timing.traffic_report_interval = milliseconds(100);
      members_.push_back({settings.name, settings.incarnation, to_string(settings.listen),
                          settings.availability_zone});
      auto metrics = std::make_unique<metrics_registry>();
      auto entry =
          std::make_unique<fleet_entry>(io_, settings, log_, *metrics, [](const route_update&) {});
      if (!entry->start().ok()) {
        std::fprintf(stderr, "an entry cannot listen at %s\n", to_string(settings.listen).c_str());
        std::exit(1);
      }
      entry->evacuations_read(1, true, {});
      entries_.push_back({std::move(metrics), std::move(entry)});
    }
    for (const auto& each : entries_) {
      each.entry->add_members(members_);
    }
    for (int i = 0; i < FLAGS_agents; ++i) {
      add_agent(i);
    }
    announce();
  }

  void run_for(milliseconds time) {
    const auto limit = steady_clock::now() + time;
    while (steady_clock::now() < limit) {
      io_.run_one_for(milliseconds(20));
    }
  }

  void measure(const char* phase, milliseconds time) {
    const auto entries_before = of_entries();
    const auto agents_before = of_agents();
    run_for(time);
    const double seconds = std::chrono::duration<double>(time).count();
    const auto rate = [seconds](const traffic& after, const traffic& before, std::size_t count) {
      const double scale = 1 / seconds / static_cast<double>(count);
      return std::pair{(after.frames - before.frames) * scale,
                       (after.bytes - before.bytes) * scale / 1e3};
    };
    const auto [entry_frames, entry_kb] = rate(of_entries(), entries_before, entries_.size());
    const auto [agent_frames, agent_kb] = rate(of_agents(), agents_before, agents_.size());
    std::size_t most = 0;
    std::size_t sessions = 0;
    for (const auto& each : agents_) {
      most = std::max(most, each.agent->sessions());
      sessions += each.agent->sessions();
    }
    const auto ready = std::count_if(entries_.begin(), entries_.end(),
                                     [](const auto& each) { return each.entry->has_worker(); });
    std::printf("%-12s sessions of an agent %.1f, at most %zu; of an entry %.1f; entries with a "
                "worker %td of %zu; sent by an entry %.0f frames/s, %.1f kB/s; by an agent %.0f "
                "frames/s, %.1f kB/s; memory of the process %.0f MB\n",
                phase, static_cast<double>(sessions) / static_cast<double>(agents_.size()), most,
                static_cast<double>(sessions) / static_cast<double>(entries_.size()), ready,
                entries_.size(), entry_frames, entry_kb, agent_frames, agent_kb, resident_mb());
  }

  /// Submits jobs of kinds that no worker can run until the returned timer is destroyed.
  std::shared_ptr<asio::steady_timer> submit_unserved() {
    auto timer = std::make_shared<asio::steady_timer>(io_);
    submit_unserved(timer);
    return timer;
  }

  void print_unserved() const {
    std::printf("             %zu of %zu such jobs ended, after %lld ms at most\n", unserved_ended_,
                unserved_, static_cast<long long>(unserved_longest_.count()));
  }

  /// Submits one job for the only worker of its kind to each entry.
  void submit_special() {
    std::vector<milliseconds> waits;
    std::size_t refused = 0;
    for (const auto& each : entries_) {
      each.entry->submit(make_job("special"), [&](const job_result& result) {
        if (result.verdict == job_verdict::completed) {
          waits.push_back(result.longest_wait);
        } else {
          ++refused;
        }
      });
    }
    const auto limit = steady_clock::now() + std::chrono::seconds(10);
    while (waits.size() + refused < entries_.size() && steady_clock::now() < limit) {
      io_.run_one_for(milliseconds(20));
    }
    std::sort(waits.begin(), waits.end());
    std::printf("one worker   completed %zu of %zu, refused %zu; wait before the run: median %lld "
                "ms, maximum %lld ms; sessions of its agent %zu\n",
                waits.size(), entries_.size(), refused,
                waits.empty() ? -1LL : static_cast<long long>(waits[waits.size() / 2].count()),
                waits.empty() ? -1LL : static_cast<long long>(waits.back().count()),
                agents_.front().agent->sessions());
  }

private:
  void add_agent(int number) {
    agent_host host;
    host.worker = std::make_unique<memory_worker>(io_);
    host.metrics = std::make_unique<metrics_registry>();
    host.announcement.id = "w-" + std::to_string(number);
    host.announcement.incarnation = 1;
    host.announcement.service = "desk";
    host.announcement.capacity = {32'000, 65'536, 0};
    if (number == 0) {
      host.announcement.labels = {"special"};
    }
    fleet_agent_settings settings;
    settings.name = "agent-" + std::to_string(number);
    settings.incarnation = 1'000 + static_cast<std::uint64_t>(number);
    settings.availability_zone = "zone-" + std::to_string(number % 4);
    settings.timing.traffic_report_interval = milliseconds(100);
    host.agent = std::make_unique<fleet_agent>(io_, settings, *host.worker, log_, *host.metrics);
    host.agent->add_members(members_);
    host.agent->start();
    agents_.push_back(std::move(host));
  }

  void announce() {
    for (auto& each : agents_) {
      ++each.announcement.sequence;
      each.agent->worker_announced(each.announcement, [](const absl::Status&) {});
    }
    announcement_timer_.expires_after(announcement_interval);
    announcement_timer_.async_wait([this](const asio::error_code& error) {
      if (!error) {
        announce();
      }
    });
  }

  void submit_unserved(const std::shared_ptr<asio::steady_timer>& timer) {
    for (const auto& each : entries_) {
      const auto kind = unserved_++ % static_cast<std::size_t>(FLAGS_kinds);
      each.entry->submit(make_job("absent-" + std::to_string(kind)), [this](const auto& result) {
        ++unserved_ended_;
        unserved_longest_ = std::max(unserved_longest_, result.elapsed);
      });
    }
    timer->expires_after(submission_interval);
    timer->async_wait(
        [this, weak = std::weak_ptr<asio::steady_timer>(timer)](const asio::error_code& error) {
          if (const auto kept = weak.lock(); kept && !error) {
            submit_unserved(kept);
          }
        });
  }

  fleet_job make_job(const std::string& label) {
    fleet_job job;
    job.id = ++last_job_;
    job.terms = {"queue", "desk", milliseconds(8'000), 2.0, 3};
    job.payload = "text";
    job.answer_timeout = milliseconds(30'000);
    job.steps.push_back({});
    job.steps[0].count = 1;
    job.steps[0].needs = {1'000, 64, 0};
    job.steps[0].estimate = run_time;
    job.steps[0].required_label = label;
    return job;
  }

  traffic of_entries() const {
    traffic all;
    for (const auto& each : entries_) {
      all += sent(*each.metrics);
    }
    return all;
  }

  traffic of_agents() const {
    traffic all;
    for (const auto& each : agents_) {
      all += sent(*each.metrics);
    }
    return all;
  }

  asio::io_context io_;
  event_log log_{"sessions"};
  std::vector<fleet_member> members_;
  std::vector<entry_host> entries_;
  std::vector<agent_host> agents_;
  asio::steady_timer announcement_timer_{io_};
  std::uint64_t last_job_ = 0;
  std::size_t unserved_ = 0;
  std::size_t unserved_ended_ = 0;
  milliseconds unserved_longest_{0};
};

void measure_site() {
  const milliseconds length = std::chrono::seconds(FLAGS_seconds);
  site measured;
  measured.run_for(std::chrono::seconds(8));
  measured.measure("idle", length);
  measured.submit_special();
  measured.run_for(std::chrono::seconds(15));
  measured.measure("idle again", length);
  {
    const auto submissions = measured.submit_unserved();
    measured.measure("all unmet", length);
  }
  measured.print_unserved();
}

} // namespace
} // namespace parsleylead

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  parsleylead::measure_site();
  return 0;
}
