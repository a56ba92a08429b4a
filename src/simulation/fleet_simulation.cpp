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

// Every third worker is of this size and speed; the others are of size 1.
constexpr int fast_every = 3;
constexpr double fast_size = 1.5;
constexpr double fast_speed = 1.7;
constexpr double slow_speed = 0.7;
// Jobs end late, but still of use, within this many times their objective.
constexpr double late_factor = 3.0;
// Open jobs are played on for this long after the last arrival.
constexpr milliseconds rest{6'000};
// Spread of widths and of work around their means, as a share.
constexpr double spread = 0.4;
constexpr std::uint64_t first_job = 1;

monotonic_time at(milliseconds time) {
  return monotonic_time(std::chrono::hours(1)) + time;
}

struct arriving_job {
  std::uint64_t id = 0;
  std::size_t kind = 0;
  milliseconds arrives{0};
  milliseconds estimate{0};
  milliseconds objective{0};
  /// Time of each task on a worker of speed 1.
  std::vector<double> work_ms;
};

struct simulated_worker {
  std::uint32_t cpu_millis = 0;
  double speed = 1;
};

double around(std::mt19937_64& random, double mean) {
  return mean * std::uniform_real_distribution<double>(1 - spread, 1 + spread)(random);
}

std::vector<arriving_job> make_jobs(const simulated_site& site) {
  std::mt19937_64 random(site.seed);
  std::vector<arriving_job> jobs;
  for (std::size_t kind = 0; kind < site.kinds.size(); ++kind) {
    const auto& of = site.kinds[kind];
    std::exponential_distribution<double> gap(of.jobs_per_second * site.load / 1'000);
    const auto end = static_cast<double>(site.arrival_period.count());
    double time = gap(random);
    while (time < end) {
      arriving_job job;
      job.kind = kind;
      job.arrives = milliseconds(static_cast<std::int64_t>(time));
      const auto tasks = std::max(1L, std::lround(around(random, of.mean_tasks)));
      const double work = around(random, static_cast<double>(of.mean_work.count()));
      for (long i = 0; i < tasks; ++i) {
        job.work_ms.push_back(work * std::uniform_real_distribution<double>(0.85, 1.15)(random));
      }
      const double error = std::uniform_real_distribution<double>(1 - site.estimate_error,
                                                                  1 + site.estimate_error)(random);
      job.estimate = milliseconds(std::lround(work * error));
      job.objective = milliseconds(std::lround(site.stretch * work)) + site.target;
      jobs.push_back(std::move(job));
      time += gap(random);
    }
  }
  std::sort(jobs.begin(), jobs.end(),
            [](const auto& a, const auto& b) { return a.arrives < b.arrives; });
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    jobs[i].id = first_job + i;
  }
  return jobs;
}

std::vector<simulated_worker> make_workers(const simulated_site& site) {
  std::vector<simulated_worker> workers;
  for (int i = 0; i < site.workers; ++i) {
    const bool fast = i % fast_every == 0;
    const double size = fast ? fast_size : 1.0;
    workers.push_back({static_cast<std::uint32_t>(site.worker_cpu_millis * size),
                       fast ? fast_speed : slow_speed});
  }
  return workers;
}

/// Sums up what jobs earn.
class credit_account {
public:
  explicit credit_account(const simulated_site& site) : site_(site) {}

  void ended(const arriving_job& job, milliseconds now) {
    const auto& kind = site_.kinds[job.kind];
    const auto took = now - job.arrives;
    if (took <= job.objective) {
      ++result_.on_time;
      earned_ += kind.credit;
    } else {
      ++result_.late;
      earned_ += took <= job.objective * late_factor ? kind.late_credit : 0;
    }
  }
  void refused() { ++result_.refused; }
  void worked(double cpu_ms) { busy_ += cpu_ms; }

  simulation_result total(const std::vector<arriving_job>& jobs,
                          const std::vector<simulated_worker>& workers) {
    double owed = 0;
    for (const auto& job : jobs) {
      owed += site_.kinds[job.kind].credit;
    }
    double capacity = 0;
    for (const auto& each : workers) {
      capacity += each.cpu_millis / 1'000.0 * static_cast<double>(site_.arrival_period.count());
    }
    result_.jobs = jobs.size();
    result_.credit_share = owed > 0 ? earned_ / owed : 0;
    result_.utilization = busy_ / capacity;
    return result_;
  }

private:
  const simulated_site& site_;
  simulation_result result_;
  double earned_ = 0;
  double busy_ = 0;
};

/// Entries and agents with their delays, in steps of one millisecond.
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

  simulation_result play() {
    std::size_t next = 0;
    for (; now_ < site_.arrival_period + rest; ++now_) {
      deliver();
      while (next < jobs_.size() && jobs_[next].arrives <= now_) {
        submit(jobs_[next++]);
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
    milliseconds reported{0};
  };

  void later(milliseconds delay, std::function<void()> what) {
    mail_.emplace(now_ + delay, std::move(what));
  }

  void deliver() {
    while (!mail_.empty() && mail_.begin()->first <= now_) {
      const auto what = std::move(mail_.begin()->second);
      mail_.erase(mail_.begin());
      what();
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
      later(site_.link_delay, [this, owner, start = std::move(start)] {
        agents_[start.worker].table.add(owner, start.order, at(now_));
      });
    }
    for (const auto& stop : entry.take_stops()) {
      later(site_.link_delay, [this, owner, stop] {
        agents_[stop.worker].table.stop(owner, stop.run, stop.report_end, at(now_));
      });
    }
    for (const auto& each : entry.take_results()) {
      if (each.verdict == job_verdict::completed) {
        account_.ended(jobs_[each.id - first_job], now_);
      } else {
        account_.refused();
      }
    }
  }

  void run_agent(std::size_t index) {
    auto& each = agents_[index];
    each.table.start_waiting(at(now_));
    for (const auto& call : each.table.take_calls()) {
      if (call.call_kind == worker_call::kind::stop) {
        each.table.stop_answered(call.run, true, at(now_));
        end_run(index, call.run, run_outcome::stopped);
        continue;
      }
      each.table.start_answered(call.run, start_answer::started, at(now_));
      each.active.push_back({call.run, 0});
      const auto& job = jobs_[call.run.task.job - first_job];
      const double took = job.work_ms[call.run.task.index] / workers_[index].speed;
      account_.worked(site_.task_cpu_millis / 1'000.0 * took);
      later(milliseconds(std::max(1L, std::lround(took))),
            [this, index, run = call.run] { end_run(index, run, run_outcome::done); });
    }
    for (const auto& [owner, end] : each.table.take_ends()) {
      each.changed = true;
      later(site_.link_delay, [this, owner = owner, end = end, index] {
        entries_[owner - 1]->run_ended(static_cast<worker_index>(index), end, at(now_));
      });
    }
    if (each.changed || now_ - each.reported >= link_timing{}.status_interval) {
      report(index);
    }
  }

  void end_run(std::size_t index, const run_id& run, run_outcome outcome) {
    auto& each = agents_[index];
    const auto found = std::find_if(each.active.begin(), each.active.end(),
                                    [&](const auto& one) { return one.run == run; });
    if (found == each.active.end()) {
      return;
    }
    each.active.erase(found);
    each.table.observe(each.active, {{run, outcome, ++each.ends}}, true, at(now_), at(now_));
  }

  void report(std::size_t index) {
    auto& each = agents_[index];
    each.changed = false;
    each.reported = now_;
    worker_status status;
    status.present = true;
    status.accepting = true;
    status.description.service = "desk";
    status.description.capacity = each.table.capacity();
    status.committed = each.table.committed();
    status.queued_cpu_millis = each.table.queued_cpu_millis();
    status.slowdown = each.table.pace().slowdown();
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      status.own_cpu_millis = each.table.owner_cpu_millis(static_cast<owner_id>(i + 1));
      later(site_.link_delay, [this, i, index, status] {
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
  std::multimap<milliseconds, std::function<void()>> mail_;
  milliseconds now_{0};
};

/// A job that the all-knowing scheduler has not finished.
struct open_job {
  const arriving_job* job = nullptr;
  std::size_t placed = 0;
  std::size_t running = 0;
  double credit_per_work = 0;
};

} // namespace

simulation_result simulate_fleet(const simulated_site& site) {
  return simulated_fleet(site).play();
}

simulation_result simulate_full_knowledge(const simulated_site& site) {
  const auto jobs = make_jobs(site);
  auto workers = make_workers(site);
  credit_account account(site);
  std::sort(workers.begin(), workers.end(),
            [](const auto& a, const auto& b) { return a.speed > b.speed; });
  std::vector<std::uint32_t> free;
  free.reserve(workers.size());
  for (const auto& each : workers) {
    free.push_back(each.cpu_millis);
  }
  std::vector<std::unique_ptr<open_job>> open;
  std::multimap<milliseconds, std::pair<std::size_t, open_job*>> running;
  std::size_t next = 0;
  for (milliseconds now{0}; now < site.arrival_period + rest; ++now) {
    while (!running.empty() && running.begin()->first <= now) {
      const auto [worker, job] = running.begin()->second;
      running.erase(running.begin());
      free[worker] += site.task_cpu_millis;
      if (--job->running == 0 && job->placed == job->job->work_ms.size()) {
        account.ended(*job->job, now);
        std::erase_if(open, [job = job](const auto& each) { return each.get() == job; });
      }
    }
    for (; next < jobs.size() && jobs[next].arrives <= now; ++next) {
      const auto& job = jobs[next];
      double work = 0;
      for (const double each : job.work_ms) {
        work += each;
      }
      open.push_back(std::make_unique<open_job>(
          open_job{&job, 0, 0, site.kinds[job.kind].credit / std::max(1.0, work)}));
    }
    const auto slack = [now](const open_job& each) {
      const double longest =
          *std::max_element(each.job->work_ms.begin(), each.job->work_ms.end()) / fast_speed;
      return static_cast<double>((each.job->arrives + each.job->objective - now).count()) - longest;
    };
    // What cannot be on time any more is given up, unless it has begun.
    std::erase_if(open, [&](const auto& each) {
      const bool hopeless = each->placed == 0 && slack(*each) < 0;
      if (hopeless) {
        account.refused();
      }
      return hopeless;
    });
    std::vector<open_job*> waiting;
    for (const auto& each : open) {
      if (each->placed < each->job->work_ms.size()) {
        waiting.push_back(each.get());
      }
    }
    std::sort(waiting.begin(), waiting.end(), [](const open_job* a, const open_job* b) {
      const bool a_begun = a->placed > 0;
      const bool b_begun = b->placed > 0;
      return a_begun != b_begun ? a_begun : a->credit_per_work > b->credit_per_work;
    });
    for (auto* each : waiting) {
      const auto& work = each->job->work_ms;
      for (std::size_t worker = 0; worker < workers.size() && each->placed < work.size();
           ++worker) {
        const auto left = each->job->arrives + each->job->objective - now;
        while (each->placed < work.size() && free[worker] >= site.task_cpu_millis) {
          const double took = work[each->placed] / workers[worker].speed;
          if (each->placed == 0 && took > static_cast<double>(left.count())) {
            break; // A faster worker may become free in time.
          }
          free[worker] -= site.task_cpu_millis;
          account.worked(site.task_cpu_millis / 1'000.0 * took);
          running.emplace(now + milliseconds(std::max(1L, std::lround(took))),
                          std::pair{worker, each});
          ++each->placed;
          ++each->running;
        }
      }
    }
  }
  return account.total(jobs, workers);
}

} // namespace parsleylead
