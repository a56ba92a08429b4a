#include "parsleylead/overload/backlog_plan.hpp"

#include <algorithm>
#include <queue>
#include <tuple>
#include <utility>

#include "parsleylead/base/invariant.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds min_retry_after{1'000};
// Other entries and new sessions may provide capacity sooner than this entry's backlog suggests.
constexpr milliseconds max_retry_after{5'000};
// Maximum number of jobs of lower priority that are refused for one job. It bounds the cost of a
// plan.
constexpr std::size_t max_refused_for_one = 8;
// Lower bound of the reported slowdown, which the rate is divided by.
constexpr double min_slowdown = 0.1;

/// A job that may be refused.
struct candidate {
  const job_demand* job = nullptr;
  wait_time wait{0};
};

/// The greatest candidate in this order costs its caller least if it is refused.
bool costs_more(const candidate& a, const candidate& b) {
  return std::tuple(a.job->priority, a.job->work_cpu_ms, a.job->objective) <
         std::tuple(b.job->priority, b.job->work_cpu_ms, b.job->objective);
}

/// Jobs that may be refused, those first that cost their callers least.
class refusable_jobs {
public:
  void add(const candidate& added) { jobs_.push(added); }

  /// Removes the jobs to refuse so that `job` has `excess_cpu_ms` less work ahead of it: several of
  /// lower priority, or one of the same priority and with more work, unless it can be on time and
  /// `job` cannot. Returns none if these do not suffice.
  std::vector<candidate> take_for(const job_demand& job, double excess_cpu_ms, monotonic_time now) {
    std::vector<candidate> taken;
    bool same_priority = false;
    while (excess_cpu_ms > 0 && !same_priority && taken.size() < max_refused_for_one &&
           !jobs_.empty()) {
      const auto next = jobs_.top();
      same_priority = next.job->priority == job.priority;
      const bool costs_less = next.job->priority > job.priority ||
                              (same_priority && next.job->work_cpu_ms > job.work_cpu_ms &&
                               (can_be_on_time(job, now) || !can_be_on_time(*next.job, now)));
      if (!costs_less) {
        break;
      }
      jobs_.pop();
      taken.push_back(next);
      excess_cpu_ms -= next.job->work_cpu_ms;
    }
    if (excess_cpu_ms > 0) {
      for (const auto& each : taken) {
        jobs_.push(each);
      }
      taken.clear();
    }
    return taken;
  }

private:
  std::priority_queue<candidate, std::vector<candidate>, decltype(&costs_more)> jobs_{&costs_more};
};

} // namespace

double drain_rate(const std::vector<worker_cpu>& workers, std::uint32_t entries_per_worker) {
  check_invariant(entries_per_worker > 0, "drain rate: no entry shares the workers");
  double own = 0;
  double busy = 0;
  for (const auto& each : workers) {
    const double slowdown = std::max(min_slowdown, each.slowdown);
    own += each.own_millis / slowdown;
    busy += std::max(each.busy_millis, each.own_millis) / slowdown;
  }
  return std::max(own, busy / entries_per_worker) / 1'000;
}

std::vector<job_refusal> plan_backlog(std::vector<job_demand> waiting, double drain_rate,
                                      monotonic_time now) {
  std::vector<job_refusal> refused;
  if (drain_rate <= 0) {
    return refused;
  }
  std::sort(waiting.begin(), waiting.end(),
            [now](const job_demand& a, const job_demand& b) { return runs_before(a, b, now); });
  refusable_jobs refusable;
  double work_ahead = 0; // Of the jobs that are kept.
  for (const auto& each : waiting) {
    const candidate own{&each, wait_time(work_ahead / drain_rate)};
    const auto allowed = slack(each, now);
    // Without work ahead of it, a job runs next, whatever its limits are.
    if (work_ahead > 0 && own.wait > allowed) {
      const auto taken =
          allowed < milliseconds(0)
              ? std::vector<candidate>{}
              : refusable.take_for(each, work_ahead - wait_time(allowed).count() * drain_rate, now);
      for (const auto& victim : taken) {
        refused.push_back({*victim.job, true, victim.wait});
        work_ahead -= victim.job->work_cpu_ms;
      }
      if (taken.empty() && !each.committed) {
        refused.push_back({each, false, own.wait});
        continue;
      }
    }
    if (!each.committed) {
      refusable.add(own);
    }
    work_ahead = std::max(0.0, work_ahead) + each.work_cpu_ms;
  }
  return refused;
}

admission admit(const job_demand& submitted, std::vector<job_demand> waiting, double drain_rate,
                monotonic_time now) {
  waiting.push_back(submitted);
  admission decision;
  decision.refused_instead = plan_backlog(std::move(waiting), drain_rate, now);
  auto& refused = decision.refused_instead;
  const auto own = std::find_if(refused.begin(), refused.end(),
                                [&](const auto& each) { return each.job.id == submitted.id; });
  if (own != refused.end()) {
    decision.refusal = *own;
    refused.clear();
  }
  for (auto& each : refused) {
    const bool behind = runs_before(submitted, each.job, now);
    const wait_time wait_without =
        each.wait - wait_time(behind ? submitted.work_cpu_ms / drain_rate : 0);
    each.for_another = each.for_another || wait_without <= slack(each.job, now);
  }
  return decision;
}

wait_time expected_wait(const job_demand& job, const std::vector<job_demand>& waiting,
                        double drain_rate, monotonic_time now) {
  double work_ahead = 0;
  for (const auto& each : waiting) {
    work_ahead += each.id != job.id && runs_before(each, job, now) ? each.work_cpu_ms : 0.0;
  }
  return wait_time(drain_rate > 0 ? work_ahead / drain_rate : 0);
}

milliseconds retry_after(wait_time wait, milliseconds initial_slack) {
  return std::clamp(std::chrono::ceil<milliseconds>(wait - initial_slack), min_retry_after,
                    max_retry_after);
}

} // namespace parsleylead
