#include <algorithm>
#include <utility>

#include "fleet_scheduler_state.hpp"
#include "parsleylead/overload/backlog_plan.hpp"

namespace parsleylead {

const char* to_string(worker_exclusion exclusion) {
  switch (exclusion) {
  case worker_exclusion::none:
    return "none";
  case worker_exclusion::no_session:
    return "no_session";
  case worker_exclusion::unreachable:
    return "unreachable";
  case worker_exclusion::not_accepting:
    return "not_accepting";
  case worker_exclusion::zone_evacuated:
    return "zone_evacuated";
  case worker_exclusion::other_service:
    return "other_service";
  case worker_exclusion::lacks_label:
    return "lacks_label";
  case worker_exclusion::too_small:
    return "too_small";
  case worker_exclusion::quarantine:
    return "quarantine";
  case worker_exclusion::no_free_cpu:
    return "no_free_cpu";
  case worker_exclusion::worker_limit:
    return "worker_limit";
  default:
    return "cold";
  }
}

std::optional<job_cause> fleet_scheduler::refusal_of(const job& submitted,
                                                     monotonic_time now) const {
  if (lacks_worker(submitted, false, now)) {
    return cause_of_absence(submitted);
  }
  if (backlog_ + awaiting_tasks_ + submitted.result.tasks > policy_.max_backlog) {
    return job_cause::backlog_full;
  }
  if (backlog_ == 0 || reach_growth_.is_connecting(now) || fits_now(submitted)) {
    return std::nullopt;
  }
  auto view = view_backlog(submitted.spec.terms.service, now);
  auto demand = submitted.limits();
  demand.work_cpu_ms = submitted.waiting_work_cpu_ms();
  const auto decision = parsleylead::admit(demand, std::move(view.waiting), view.drain_rate, now);
  return decision.refusal ? std::optional(job_cause::objective_out_of_reach) : std::nullopt;
}

placement_explanation fleet_scheduler::explain(const fleet_job& submitted,
                                               monotonic_time now) const {
  const auto planned = make_job(submitted, now);
  placement_explanation explanation;
  explanation.objective = planned->result.objective;
  explanation.critical_path = planned->remaining_path;
  explanation.waiting_tasks = backlog_ + awaiting_tasks_;
  if (backlog_ > 0) {
    const auto view = view_backlog(planned->spec.terms.service, now);
    explanation.expected_wait = std::chrono::round<std::chrono::milliseconds>(
        parsleylead::expected_wait(planned->limits(), view.waiting, view.drain_rate, now));
  }
  explanation.searches = !all_workers_reachable(*planned);
  explanation.refusal = refusal_of(*planned, now);
  for (std::uint32_t step = 0; step < planned->spec.steps.size(); ++step) {
    auto& workers = explanation.steps.emplace_back().workers;
    const auto allowed = allowed_quarantine(*planned, step);
    for (worker_index index = 0; index < workers_.size(); ++index) {
      const auto& each = *workers_[index];
      workers.push_back({each.agent, each.availability_zone,
                         assess(index, *planned, step, {}, allowed), free_cpu(each),
                         each.status.description.capacity.cpu_millis, each.status.slowdown});
    }
    std::stable_sort(workers.begin(), workers.end(), [](const auto& a, const auto& b) {
      const auto rank = [](const explained_worker& each) {
        return std::pair(each.assessment.exclusion, each.assessment.score);
      };
      return rank(a) < rank(b);
    });
  }
  return explanation;
}

} // namespace parsleylead
