#include "fleet_scheduler_state.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "parsleylead/overload/backlog_plan.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// Callers whose job was refused for another reason than the load retry no sooner.
constexpr milliseconds min_retry_after{1'000};
// Callers of a confined queue retry no sooner: its workers take some seconds to restart.
constexpr milliseconds confined_retry_after{3'000};
// Interval at which waiting jobs are refused for which the site has no worker any more.
constexpr milliseconds absence_check_interval{250};

job_cause cause_of(const job_refusal& refusal) {
  return refusal.for_another ? job_cause::displaced : job_cause::objective_out_of_reach;
}

bool is_caused_by_load(job_cause cause) {
  return cause == job_cause::objective_out_of_reach || cause == job_cause::displaced ||
         cause == job_cause::deadline_passed || cause == job_cause::backlog_full;
}

} // namespace

void fleet_scheduler::admit(job& open_job, monotonic_time now) {
  // Place the jobs of the same turn of the event loop first, so that they do not count as backlog.
  place_backlog(now);
  if (is_confined(open_job.spec.terms)) {
    if (!choose_worker(open_job, 0, {})) {
      finish(open_job, job_verdict::not_run, job_cause::queue_confined, now);
      return;
    }
  } else if (backlog_ > 0 && !shed_load(open_job, now)) {
    return;
  }
  enable_ready_steps(open_job);
}

bool fleet_scheduler::shed_load(job& open_job, monotonic_time now) {
  observe_reach(now);
  if (reach_growth_.is_connecting(now) || fits_now(open_job)) {
    return true;
  }
  auto demand = open_job.limits();
  demand.work_cpu_ms = open_job.waiting_work_cpu_ms();
  auto view = view_backlog(open_job.spec.terms.service, now);
  const auto decision = parsleylead::admit(demand, std::move(view.waiting), view.drain_rate, now);
  if (decision.refusal) {
    finish(open_job, job_verdict::not_run, cause_of(*decision.refusal), now);
    return false;
  }
  for (const auto& refusal : decision.refused_instead) {
    finish(*jobs_.at(refusal.job.id), job_verdict::not_run, cause_of(refusal), now);
  }
  return true;
}

bool fleet_scheduler::fits_now(const job& open_job) const {
  for (std::uint32_t step = 0; step < open_job.spec.steps.size(); ++step) {
    const auto& shape = open_job.spec.steps[step];
    if (!shape.depends_on.empty() || shape.needs.cpu_millis == 0) {
      continue;
    }
    double fitting = 0;
    for (const auto& each : workers_) {
      const double free = free_cpu(*each);
      if (!each->connected || each->quarantined || each->status.cold ||
          free < shape.needs.cpu_millis || !can_run(*each, open_job, step)) {
        continue;
      }
      const double on_worker = std::floor(free / shape.needs.cpu_millis);
      fitting +=
          shape.max_per_worker > 0 ? std::min<double>(on_worker, shape.max_per_worker) : on_worker;
    }
    if (fitting < shape.count) {
      return false;
    }
  }
  return true;
}

fleet_scheduler::backlog_view fleet_scheduler::view_backlog(const std::string& service,
                                                            monotonic_time now) const {
  backlog_view view{now, service, {}, 0};
  for (const auto& [id, each] : jobs_) {
    if (each->ready > 0 && each->spec.terms.service == service && !is_confined(each->spec.terms)) {
      view.waiting.push_back(each->limits());
      view.waiting.back().work_cpu_ms = each->waiting_work_cpu_ms();
    }
  }
  std::vector<worker_cpu> cpus;
  for (const auto& each : workers_) {
    const auto& status = each->status;
    if (is_usable(*each) && status.description.service == service) {
      const double own = std::min(each->own_cpu_millis, status.description.capacity.cpu_millis);
      cpus.push_back({static_cast<double>(status.committed.cpu_millis), own, status.slowdown});
    }
  }
  view.drain_rate = drain_rate(cpus, policy_.entries_per_worker);
  return view;
}

void fleet_scheduler::observe_reach(monotonic_time now) {
  const auto usable = std::count_if(workers_.begin(), workers_.end(),
                                    [](const auto& each) { return is_usable(*each); });
  reach_growth_.observe(static_cast<std::size_t>(usable), now);
}

void fleet_scheduler::explain_refusal(job& open_job, job_cause cause, monotonic_time now) {
  const auto limits = open_job.limits();
  auto& result = open_job.result;
  result.work_cpu_ms = open_job.waiting_work_cpu_ms();
  result.slack = slack(limits, now);
  result.retry_after = cause == job_cause::queue_confined ? confined_retry_after : min_retry_after;
  if (backlog_ == 0 || !is_caused_by_load(cause)) {
    return;
  }
  const auto& service = open_job.spec.terms.service;
  if (!refusal_view_ || refusal_view_->at != now || refusal_view_->service != service) {
    refusal_view_ = std::make_unique<backlog_view>(view_backlog(service, now));
  }
  const auto& [at, name, waiting, rate] = *refusal_view_;
  result.expected_wait =
      std::chrono::round<milliseconds>(expected_wait(limits, waiting, rate, now));
  auto resubmitted = limits;
  const auto age = now - open_job.arrived;
  resubmitted.objective += age;
  resubmitted.late_limit += age;
  resubmitted.deadline += age;
  result.retry_after =
      retry_after(expected_wait(resubmitted, waiting, rate, now), slack(resubmitted, now));
}

void fleet_scheduler::expire_jobs(monotonic_time now) {
  std::vector<std::uint64_t> expired;
  std::vector<std::uint64_t> unreachable;
  std::vector<std::uint64_t> incapable;
  const bool check_absence =
      search_.any_reported_absent() && now - absence_checked_ >= absence_check_interval;
  absence_checked_ = check_absence ? now : absence_checked_;
  for (const auto& [id, open_job] : jobs_) {
    if (open_job->is_durable()) {
      continue;
    }
    if (open_job->deadline <= now) {
      expired.push_back(id);
    } else if (!open_job->may_have_run() && !can_be_useful(open_job->limits(), now)) {
      unreachable.push_back(id);
    } else if (check_absence && !open_job->may_have_run() && lacks_worker(*open_job, true, now)) {
      incapable.push_back(id);
    }
  }
  for (const auto id : incapable) {
    auto& open_job = *jobs_.at(id);
    finish(open_job, job_verdict::not_run, cause_of_absence(open_job), now);
  }
  for (const auto id : expired) {
    auto& open_job = *jobs_.at(id);
    finish(open_job, open_job.may_have_run() ? job_verdict::unknown : job_verdict::not_run,
           job_cause::deadline_passed, now);
  }
  for (const auto id : unreachable) {
    finish(*jobs_.at(id), job_verdict::not_run, job_cause::objective_out_of_reach, now);
  }
}

} // namespace parsleylead
