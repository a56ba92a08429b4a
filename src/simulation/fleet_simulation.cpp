#include "parsleylead/simulation/fleet_simulation.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "parsleylead/fleet/fleet_scheduler.hpp"
#include "parsleylead/fleet/link_timing.hpp"
#include "parsleylead/runs/run_table.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// Every third worker is larger and faster; the others have the size of the site's settings.
constexpr int fast_worker_interval = 3;
constexpr double fast_size = 1.5;
constexpr double fast_speed = 1.7;
constexpr double slow_speed = 0.7;
// A late result is still credited up to this many times the job's objective.
constexpr double late_factor = 3.0;
// Simulated time after the end of the arrivals, in which open jobs end.
constexpr milliseconds drain_period{6'000};
// Largest relative deviation of the number of tasks and of the work from their means.
constexpr double spread = 0.4;
constexpr std::uint64_t first_job_id = 1;

monotonic_time at(milliseconds time) {
  return monotonic_time(std::chrono::hours(1)) + time;
}

struct arriving_job {
  std::uint64_t id = 0;
  std::size_t kind = 0;
  milliseconds arrival{0};
  milliseconds estimate{0};
  milliseconds objective{0};
  /// Time of each task on a worker of speed 1.
  std::vector<double> work_ms;
};

struct simulated_worker {
  std::uint32_t cpu_millis = 0;
  double speed = 1;
};

double random_near(std::mt19937_64& random, double mean) {
  return mean * std::uniform_real_distribution<double>(1 - spread, 1 + spread)(random);
}

std::vector<arriving_job> make_jobs(const simulated_site& site) {
  std::mt19937_64 random(site.seed);
  std::vector<arriving_job> jobs;
  for (std::size_t kind = 0; kind < site.kinds.size(); ++kind) {
    const auto& spec = site.kinds[kind];
    std::exponential_distribution<double> interval(spec.jobs_per_second * site.load / 1'000);
    const auto end = static_cast<double>(site.arrival_period.count());
    double time = interval(random);
    while (time < end) {
      arriving_job job;
      job.kind = kind;
      job.arrival = milliseconds(static_cast<std::int64_t>(time));
      const auto tasks = std::max(1L, std::lround(random_near(random, spec.mean_tasks)));
      const double work = random_near(random, static_cast<double>(spec.mean_work.count()));
      for (long i = 0; i < tasks; ++i) {
        job.work_ms.push_back(work * std::uniform_real_distribution<double>(0.85, 1.15)(random));
      }
      const double error = std::uniform_real_distribution<double>(1 - site.estimate_error,
                                                                  1 + site.estimate_error)(random);
      job.estimate = milliseconds(std::lround(work * error));
      job.objective = milliseconds(std::lround(site.stretch * work)) + site.target;
      jobs.push_back(std::move(job));
      time += interval(random);
    }
  }
  std::sort(jobs.begin(), jobs.end(),
            [](const auto& a, const auto& b) { return a.arrival < b.arrival; });
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    jobs[i].id = first_job_id + i;
  }
  return jobs;
}

std::vector<simulated_worker> make_workers(const simulated_site& site) {
  std::vector<simulated_worker> workers;
  for (int i = 0; i < site.workers; ++i) {
    const bool fast = i % fast_worker_interval == 0;
    const double size = fast ? fast_size : 1.0;
    workers.push_back({static_cast<std::uint32_t>(site.worker_cpu_millis * size),
                       fast ? fast_speed : slow_speed});
  }
  return workers;
}

/// Sums up the credit of ended jobs.
class credit_account {
public:
  explicit credit_account(const simulated_site& site) : site_(site) {}

  void add_ended(const arriving_job& job, milliseconds now) {
    const auto& kind = site_.kinds[job.kind];
    const auto took = now - job.arrival;
    if (took <= job.objective) {
      ++result_.on_time;
      earned_credit_ += kind.credit;
    } else {
      ++result_.late;
      earned_credit_ += took <= job.objective * late_factor ? kind.late_credit : 0;
    }
  }
  void add_refused() { ++result_.refused; }
  void add_cpu_time(double cpu_ms) { used_cpu_ms_ += cpu_ms; }

  simulation_result total(const std::vector<arriving_job>& jobs,
                          const std::vector<simulated_worker>& workers) {
    double possible_credit = 0;
    for (const auto& job : jobs) {
      possible_credit += site_.kinds[job.kind].credit;
    }
    double capacity = 0;
    for (const auto& worker : workers) {
      capacity += worker.cpu_millis / 1'000.0 * static_cast<double>(site_.arrival_period.count());
    }
    result_.jobs = jobs.size();
    result_.credit_share = possible_credit > 0 ? earned_credit_ / possible_credit : 0;
    result_.utilization = used_cpu_ms_ / capacity;
    return result_;
  }

private:
  const simulated_site& site_;
  simulation_result result_;
  double earned_credit_ = 0;
  double used_cpu_ms_ = 0;
};

/// Simulates entries, agents and the delays between them in steps of one millisecond.
class simulated_fleet {
public:
  explicit simulated_fleet(const simulated_site& site)
      : site_(site), jobs_(make_jobs(site)), workers_(make_workers(site)), account_(site) {
    for (int i = 0; i < site.entries; ++i) {
      entries_.push_back(std::make_unique<fleet_scheduler>(fleet_policy{}, "a", site.seed + i));
    }
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      agents_.emplace_back();
      agents_.back().table.worker_replaced({workers_[i].cpu_millis, 1U << 20U, 0}, at(now_));
      agents_.back().table.set_accepting(true);
      for (auto& entry : entries_) {
        const auto index = entry->worker_for("agent-" + std::to_string(i), "a");
        entry->session_opened(index, false, at(now_));
      }
      report(i);
    }
  }

  simulation_result run_all() {
    std::size_t next_arrival = 0;
    for (; now_ < site_.arrival_period + drain_period; ++now_) {
      deliver();
      while (next_arrival < jobs_.size() && jobs_[next_arrival].arrival <= now_) {
        submit(jobs_[next_arrival++]);
      }
      for (std::size_t i = 0; i < entries_.size(); ++i) {
        run_entry(i);
      }
      for (std::size_t i = 0; i < agents_.size(); ++i) {
        run_agent(i);
      }
    }
    return account_.total(jobs_, workers_);
  }

private:
  struct agent {
    run_table table;
    std::vector<active_run> active;
    std::uint64_t ends = 0;
    bool changed = false;
    milliseconds last_report{0};
  };

  void schedule(milliseconds delay, std::function<void()> action) {
    messages_.emplace(now_ + delay, std::move(action));
  }

  void deliver() {
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      const auto action = std::move(messages_.begin()->second);
      messages_.erase(messages_.begin());
      action();
    }
  }

  void submit(const arriving_job& job) {
    const auto& kind = site_.kinds[job.kind];
    fleet_job spec;
    spec.id = job.id;
    spec.terms = {kind.name, "desk", site_.target, site_.stretch, 3, kind.priority};
    spec.answer_timeout = std::chrono::hours(1);
    spec.steps.resize(1);
    spec.steps[0].count = static_cast<std::uint32_t>(job.work_ms.size());
    spec.steps[0].needs = {site_.task_cpu_millis, 64, 0};
    spec.steps[0].estimate = job.estimate;
    entries_[job.id % entries_.size()]->submit(std::move(spec), at(now_));
  }

  void run_entry(std::size_t index) {
    auto& entry = *entries_[index];
    if (now_.count() % link_timing{}.tick_interval.count() == 0) {
      entry.tick(at(now_));
    }
    entry.place_waiting(at(now_));
    const auto owner = static_cast<owner_id>(index + 1);
    for (auto& start : entry.take_starts()) {
      schedule(site_.link_delay, [this, owner, start = std::move(start)] {
        agents_[start.worker].table.add(owner, start.order, at(now_));
      });
    }
    for (const auto& stop : entry.take_stops()) {
      schedule(site_.link_delay, [this, owner, stop] {
        agents_[stop.worker].table.stop(owner, stop.run, stop.report_end, at(now_));
      });
    }
    for (const auto& result : entry.take_results()) {
      if (result.verdict == job_verdict::completed) {
        account_.add_ended(jobs_[result.id - first_job_id], now_);
      } else {
        account_.add_refused();
      }
    }
  }

  void run_agent(std::size_t index) {
    auto& target = agents_[index];
    target.table.start_waiting(at(now_));
    for (const auto& call : target.table.take_calls()) {
      if (call.call_kind == worker_call::kind::stop) {
        target.table.stop_answered(call.run, true, at(now_));
        end_run(index, call.run, run_outcome::stopped);
        continue;
      }
      target.table.start_answered(call.run, start_answer::started, at(now_));
      target.active.push_back({call.run, 0});
      const auto& job = jobs_[call.run.task.job - first_job_id];
      const double duration_ms = job.work_ms[call.run.task.index] / workers_[index].speed;
      account_.add_cpu_time(site_.task_cpu_millis / 1'000.0 * duration_ms);
      schedule(milliseconds(std::max(1L, std::lround(duration_ms))),
               [this, index, run = call.run] { end_run(index, run, run_outcome::done); });
    }
    for (const auto& [owner, end] : target.table.take_ends()) {
      target.changed = true;
      schedule(site_.link_delay, [this, owner = owner, end = end, index] {
        entries_[owner - 1]->run_ended(static_cast<worker_index>(index), end, at(now_));
      });
    }
    if (target.changed || now_ - target.last_report >= link_timing{}.status_interval) {
      report(index);
    }
  }

  void end_run(std::size_t index, const run_id& run, run_outcome outcome) {
    auto& target = agents_[index];
    const auto found = std::find_if(target.active.begin(), target.active.end(),
                                    [&](const auto& candidate) { return candidate.run == run; });
    if (found == target.active.end()) {
      return;
    }
    target.active.erase(found);
    target.table.observe(target.active, {{run, outcome, ++target.ends}}, true, at(now_), at(now_));
  }

  void report(std::size_t index) {
    auto& target = agents_[index];
    target.changed = false;
    target.last_report = now_;
    worker_status status;
    status.present = true;
    status.accepting = true;
    status.description.service = "desk";
    status.description.capacity = target.table.capacity();
    status.committed = target.table.committed();
    status.queued_cpu_millis = target.table.queued_cpu_millis();
    status.slowdown = target.table.pace().slowdown();
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      status.own_cpu_millis = target.table.owner_cpu_millis(static_cast<owner_id>(i + 1));
      schedule(site_.link_delay, [this, i, index, status] {
        entries_[i]->worker_reported(static_cast<worker_index>(index), status, at(now_));
      });
    }
  }

  const simulated_site& site_;
  std::vector<arriving_job> jobs_;
  std::vector<simulated_worker> workers_;
  credit_account account_;
  std::vector<std::unique_ptr<fleet_scheduler>> entries_;
  std::vector<agent> agents_;
  std::multimap<milliseconds, std::function<void()>> messages_;
  milliseconds now_{0};
};

/// A job that the scheduler with full knowledge has not finished.
struct open_job {
  const arriving_job* job = nullptr;
  std::size_t placed = 0;
  std::size_t running = 0;
  double credit_per_work = 0;
};

} // namespace

simulation_result simulate_fleet(const simulated_site& site) {
  return simulated_fleet(site).run_all();
}

simulation_result simulate_full_knowledge(const simulated_site& site) {
  const auto jobs = make_jobs(site);
  auto workers = make_workers(site);
  credit_account account(site);
  std::sort(workers.begin(), workers.end(),
            [](const auto& a, const auto& b) { return a.speed > b.speed; });
  std::vector<std::uint32_t> free_cpu_millis;
  free_cpu_millis.reserve(workers.size());
  for (const auto& worker : workers) {
    free_cpu_millis.push_back(worker.cpu_millis);
  }
  std::vector<std::unique_ptr<open_job>> open_jobs;
  std::multimap<milliseconds, std::pair<std::size_t, open_job*>> running;
  std::size_t next_arrival = 0;
  for (milliseconds now{0}; now < site.arrival_period + drain_period; ++now) {
    while (!running.empty() && running.begin()->first <= now) {
      const auto [worker, job] = running.begin()->second;
      running.erase(running.begin());
      free_cpu_millis[worker] += site.task_cpu_millis;
      if (--job->running == 0 && job->placed == job->job->work_ms.size()) {
        account.add_ended(*job->job, now);
        std::erase_if(open_jobs,
                      [job = job](const auto& candidate) { return candidate.get() == job; });
      }
    }
    for (; next_arrival < jobs.size() && jobs[next_arrival].arrival <= now; ++next_arrival) {
      const auto& job = jobs[next_arrival];
      double work = 0;
      for (const double task_work : job.work_ms) {
        work += task_work;
      }
      open_jobs.push_back(std::make_unique<open_job>(
          open_job{&job, 0, 0, site.kinds[job.kind].credit / std::max(1.0, work)}));
    }
    const auto slack = [now](const open_job& candidate) {
      const double longest =
          *std::max_element(candidate.job->work_ms.begin(), candidate.job->work_ms.end()) /
          fast_speed;
      return static_cast<double>(
                 (candidate.job->arrival + candidate.job->objective - now).count()) -
             longest;
    };
    // Drop jobs that can no longer be on time and have not started.
    std::erase_if(open_jobs, [&](const auto& candidate) {
      const bool unreachable = candidate->placed == 0 && slack(*candidate) < 0;
      if (unreachable) {
        account.add_refused();
      }
      return unreachable;
    });
    std::vector<open_job*> waiting;
    for (const auto& candidate : open_jobs) {
      if (candidate->placed < candidate->job->work_ms.size()) {
        waiting.push_back(candidate.get());
      }
    }
    std::sort(waiting.begin(), waiting.end(), [](const open_job* a, const open_job* b) {
      const bool a_begun = a->placed > 0;
      const bool b_begun = b->placed > 0;
      return a_begun != b_begun ? a_begun : a->credit_per_work > b->credit_per_work;
    });
    for (auto* candidate : waiting) {
      const auto& work = candidate->job->work_ms;
      for (std::size_t worker = 0; worker < workers.size() && candidate->placed < work.size();
           ++worker) {
        const auto remaining = candidate->job->arrival + candidate->job->objective - now;
        while (candidate->placed < work.size() && free_cpu_millis[worker] >= site.task_cpu_millis) {
          const double duration_ms = work[candidate->placed] / workers[worker].speed;
          if (candidate->placed == 0 && duration_ms > static_cast<double>(remaining.count())) {
            break; // A faster worker may become available in time.
          }
          free_cpu_millis[worker] -= site.task_cpu_millis;
          account.add_cpu_time(site.task_cpu_millis / 1'000.0 * duration_ms);
          running.emplace(now + milliseconds(std::max(1L, std::lround(duration_ms))),
                          std::pair{worker, candidate});
          ++candidate->placed;
          ++candidate->running;
        }
      }
    }
  }
  return account.total(jobs, workers);
}

} // namespace parsleylead
