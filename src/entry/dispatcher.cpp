#include "parsleylead/entry/dispatcher.hpp"

#include <algorithm>
#include <utility>

#include "parsleylead/base/invariant.hpp"
#include "parsleylead/entry/request_digest.hpp"

namespace parsleylead {
namespace {

// Placement is retried at this interval while a task waits for a faster worker.
constexpr std::chrono::milliseconds placement_retry_interval{10};

// A call and its return.
constexpr std::uint64_t messages_per_call = 2;

admission_limits to_admission_limits(const kind_limits& limits) {
  return {limits.in_flight, limits.queue, limits.rate_per_s, limits.job_tasks, limits.budget};
}

worker_requirements to_worker_requirements(const kind_needs& needs) {
  return {needs.cores, needs.memory_mb};
}

worker_view to_view(const agent_description& agent) {
  worker_view view;
  view.id = agent.name;
  view.kinds = agent.kinds;
  view.availability_zone = agent.availability_zone;
  view.slots = agent.slots;
  view.cores = agent.cores;
  view.memory_mb = agent.memory_mb;
  return view;
}

job_outcome outcome_of(job_state state) {
  switch (state) {
  case job_state::complete:
    return job_outcome::complete;
  case job_state::cancelled:
    return job_outcome::cancelled;
  case job_state::refused:
    return job_outcome::refused_after_acceptance;
  default:
    return job_outcome::failed;
  }
}

// True for failures that indicate a faulty worker; cancelled and expired tasks do not.
bool counts_against_worker(reason cause) {
  return cause == reason::task_failed || cause == reason::upstream_disconnected ||
         cause == reason::answer_too_large;
}

// True for refusals that affect every task at this worker until its upstream is available again.
bool is_upstream_unavailable(reason cause) {
  return cause == reason::connect_failed || cause == reason::upstream_absent ||
         cause == reason::kind_not_served;
}

failure answer_not_logged(const claim_holder& holder) {
  return {reason::answer_expired, step::claim, holder.entry_name,
          "submission " + holder.submission.to_string() + " ended as " + holder.outcome->state +
              "; its answer is not in the log"};
}

} // namespace

dispatcher::dispatcher(const dispatcher_options& options, selected_policy policy,
                       agent_gateway& agents, claim_gateway& claims, peer_gateway& peers)
    : options_(options), policy_(std::move(policy)), agents_(agents), claims_(claims),
      peers_(peers), jobs_(options.answer_retention),
      admission_(options.entry_slot, options.entry_slots), backlog_(options.backlog_options),
      pool_(options.availability_zone) {}

// Submissions.

std::optional<failure> dispatcher::check_request(const caller_request& request,
                                                 std::optional<uuid>& key) const {
  if (refusal_) {
    return refusal_;
  }
  if (!catalogue_loaded_) {
    return failure{reason::catalogue_unavailable, step::admit, "",
                   "the catalogue is not known yet"};
  }
  const auto kind = kinds_.find(request.kind);
  if (kind == kinds_.end()) {
    return failure{reason::unknown_kind, step::admit, "",
                   "kind \"" + request.kind + "\" is not in the catalogue"};
  }
  if (kind->second.removed) {
    return failure{reason::kind_removed, step::admit, "",
                   "kind \"" + request.kind + "\" was removed from the catalogue"};
  }
  if (kind->second.definition.idempotent) {
    return std::nullopt;
  }
  if (!request.key) {
    return failure{reason::invalid_key, step::admit, "",
                   "a non-idempotent kind needs a request key"};
  }
  key = uuid::parse(*request.key);
  if (!key || !key->created()) {
    return failure{reason::invalid_key, step::admit, "", "the request key is not a UUID version 7"};
  }
  return std::nullopt;
}

void dispatcher::submit(caller_request request, monotonic_time now, reply_callback reply) {
  std::optional<uuid> key;
  if (const auto error = check_request(request, key)) {
    refuse(request, *error, reply);
    return;
  }
  const auto budget = admission_.budget(request.kind, request.budget);
  check_invariant(budget.has_value(), "a kind of the catalogue has no time budget");
  const admission_request candidate{request.kind, request.tasks.size(), now + *budget};
  const auto decision = admission_.admit(candidate, estimate_capacity(request, now), now);
  if (!decision.admitted()) {
    refuse(request, *decision.refusal, reply);
    return;
  }
  accept(std::move(request), key, *budget, now, std::move(reply));
  place(now);
}

void dispatcher::refuse(const caller_request& request, const failure& error,
                        const reply_callback& reply) {
  const auto kind = kinds_.find(request.kind);
  const bool known = kind != kinds_.end();
  // Unknown kinds are chosen by callers; counting them by name would let the account grow without
  // bound.
  account_.record_refusal(known ? request.kind : "", known ? kind->second.definition.owner : "",
                          error);
  reply(make_failure_reply("", run_certainty::not_run, error));
}

capacity_estimate dispatcher::estimate_capacity(const caller_request& request,
                                                monotonic_time now) const {
  const auto needs = to_worker_requirements(kinds_.at(request.kind).definition.needs);
  capacity_estimate estimate;
  estimate.capable_workers = pool_.capable_workers(request.kind, needs);
  estimate.slots = static_cast<double>(pool_.capable_slots(request.kind, needs));
  constexpr double low_quantile = 0.1;
  const auto quantile = run_times_.quantile(request.kind, low_quantile);
  // Without samples the estimate is only the prior, which must not cause a refusal.
  const bool has_samples = run_times_.samples(request.kind) > 0;
  const double run_time = has_samples ? static_cast<double>(quantile.count()) : 0;
  estimate.run_time = std::chrono::microseconds(
      static_cast<std::int64_t>(run_time * pool_.lowest_run_time_factor(request.kind)));
  if (has_samples) {
    const auto key = backlog_.key_for_new_job(request.kind, request.tasks.size());
    estimate.work_ahead = backlog_.work_before(pool_.confined_kinds(request.kind), key);
  }
  estimate.suspended = health_.kind_suspended(request.kind, now);
  return estimate;
}

void dispatcher::accept(caller_request request, const std::optional<uuid>& key,
                        std::chrono::milliseconds budget, monotonic_time now,
                        reply_callback reply) {
  job_request accepted;
  accepted.id = options_.make_submission_id();
  const auto digest = key ? request_digest(request.kind, request.tasks) : 0;
  accepted.kind = request.kind;
  accepted.owner = kinds_.at(request.kind).definition.owner;
  accepted.key = request.key;
  accepted.accepted_at = now;
  accepted.deadline = now + budget;
  accepted.payloads = std::move(request.tasks);
  job* added = jobs_.insert(std::move(accepted));
  check_invariant(added != nullptr, "a submission id was used twice");
  account_.record_acceptance(added->kind(), added->owner());
  auto& state = submissions_[added->id()];
  state.key = key;
  state.traceparent = std::move(request.traceparent);
  state.waiting_tasks = added->size();
  if (request.wait) {
    state.waiters.push_back(std::move(reply));
  } else {
    reply(make_open_reply(added->id().to_string(), added->size(), 0));
  }
  if (!key) {
    enqueue(*added, now);
    return;
  }
  state.claim = claim_state::requested;
  const uuid id = added->id();
  if (const auto decision = claims_.request_claim(*key, id, digest, added->deadline(), now)) {
    on_claim(*decision, now);
  }
}

void dispatcher::enqueue(job& accepted, monotonic_time now) {
  backlog_.add({accepted.id(), accepted.kind(), accepted.owner(), accepted.size(),
                accepted.accepted_at(), accepted.deadline()},
               now);
  send_probes(accepted);
}

void dispatcher::send_probes(const job& accepted) {
  task_request task{accepted.id(), accepted.kind(),
                    to_worker_requirements(kinds_.at(accepted.kind()).definition.needs),
                    accepted.size(), run_times_.mean(accepted.kind())};
  std::map<std::string, std::uint32_t> reservations;
  for (std::size_t i = 0; i < accepted.size(); ++i) {
    for (const auto& agent : policy_.probe_targets(task, pool_)) {
      ++reservations[agent];
    }
  }
  for (const auto& [agent, count] : reservations) {
    agents_.request_credits(agent, {0, count});
    demands_.want_sent(agent);
  }
}

bool dispatcher::fetch(const uuid& submission, bool wait, const reply_callback& reply) {
  const job* target = jobs_.find(submission);
  if (target == nullptr) {
    return false;
  }
  if (wait && !target->ended()) {
    submissions_.at(submission).waiters.push_back(reply);
    return true;
  }
  reply(make_reply(*target));
  return true;
}

bool dispatcher::cancel(const uuid& submission, monotonic_time now, const reply_callback& reply) {
  job* target = jobs_.find(submission);
  if (target == nullptr) {
    return false;
  }
  if (target->cancel({reason::cancelled, step::receive, "", "cancelled by the caller"})) {
    end_job(*target, now);
    place(now);
  }
  reply(make_reply(*target));
  return true;
}

// Catalogue.

void dispatcher::set_kind(const std::string& name, const kind_definition& definition,
                          std::uint64_t revision, monotonic_time now) {
  kinds_[name] = {definition, revision, false};
  admission_.set_kind(name, definition.owner, to_admission_limits(definition.limits), now);
  backlog_.unblock(definition.owner);
}

void dispatcher::remove_kind(const std::string& name, std::uint64_t revision) {
  const auto kind = kinds_.find(name);
  if (kind == kinds_.end()) {
    return;
  }
  // The definition is kept for jobs that are already accepted.
  kind->second.removed = true;
  kind->second.revision = revision;
  admission_.remove_kind(name);
}

void dispatcher::set_owner(const std::string& name, const owner_quota& quota, monotonic_time now) {
  admission_.set_owner(name, {quota.in_flight, quota.rate_per_s}, now);
  backlog_.unblock(name);
}

void dispatcher::remove_owner(const std::string& name) {
  admission_.remove_owner(name);
  backlog_.unblock(name);
}

// Claims.

void dispatcher::on_claim(const claim_decision& decision, monotonic_time now) {
  job* target = jobs_.find(decision.submission);
  if (target == nullptr || target->ended()) {
    if (decision.verdict == claim_verdict::granted) {
      claims_.release(decision.key, decision.submission);
    }
    return;
  }
  auto& state = submissions_.at(decision.submission);
  check_invariant(state.claim == claim_state::requested,
                  "a claim was decided that was not pending");
  switch (decision.verdict) {
  case claim_verdict::granted:
    state.claim = claim_state::granted;
    enqueue(*target, now);
    place(now);
    return;
  case claim_verdict::duplicate:
    state.claim = claim_state::none;
    check_invariant(decision.holder.has_value(), "a duplicate claim has no holder");
    answer_duplicate(*target, *decision.holder, now);
    return;
  case claim_verdict::refused:
    state.claim = claim_state::none;
    target->abandon({decision.cause, step::claim, "", decision.detail});
    end_job(*target, now);
    return;
  }
}

void dispatcher::answer_duplicate(job& duplicate, const claim_holder& holder, monotonic_time now) {
  const failure duplicate_error{reason::duplicate_key, step::claim, holder.entry_name,
                                "submission " + holder.submission.to_string() +
                                    " holds the request key"};
  duplicate.abandon(duplicate_error);
  if (holder.outcome && holder.outcome->answer) {
    const int status = holder.outcome->state == "complete" ? 200 : 409;
    end_job(duplicate, now, {status, *holder.outcome->answer});
    return;
  }
  // The request may have run in the holder's submission, although this submission did not run.
  const auto fallback =
      make_failure_reply(holder.submission.to_string(), run_certainty::may_have_run,
                         holder.outcome ? answer_not_logged(holder) : duplicate_error);
  const auto waiters = std::exchange(submissions_.at(duplicate.id()).waiters, {});
  const auto deadline = duplicate.deadline();
  end_job(duplicate, now, fallback);
  if (jobs_.find(holder.submission) != nullptr) {
    for (const auto& waiter : waiters) {
      await_holder(holder.submission, waiter, fallback, deadline);
    }
    return;
  }
  const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - now);
  const auto wait = holder.outcome ? std::chrono::milliseconds(0) : remaining;
  peers_.fetch_job(holder, wait, [waiters, fallback](const std::optional<job_reply>& reply) {
    for (const auto& waiter : waiters) {
      waiter(reply.value_or(fallback));
    }
  });
}

void dispatcher::await_holder(const uuid& holder, const reply_callback& reply,
                              const job_reply& timeout_reply, monotonic_time deadline) {
  auto shared = std::make_shared<reply_callback>(reply);
  duplicates_.emplace(deadline, waiting_duplicate{shared, timeout_reply});
  fetch(holder, true, [shared](job_reply ended) {
    if (const auto waiter = std::exchange(*shared, nullptr)) {
      waiter(std::move(ended));
    }
  });
}

// Agents.

void dispatcher::on_session_opened(const agent_description& agent, std::uint64_t session,
                                   std::uint32_t credits, monotonic_time now) {
  if (pool_.find(agent.name) == nullptr) {
    health_.add_worker(agent.name);
  }
  on_agent_changed(agent, now);
  open_sessions_.insert(agent.name);
  demands_.add_worker(agent.name);
  credits_.open(agent.name, session);
  credits_.grant(agent.name, session, credits);
  sync_credits(agent.name);
  update_usable(agent.name);
  place(now);
}

void dispatcher::on_agent_changed(const agent_description& agent, monotonic_time now) {
  auto view = to_view(agent);
  if (const auto* known = pool_.find(agent.name)) {
    view.expected_ends = known->expected_ends;
  }
  view.credits = credits_.unused(agent.name);
  view.run_time_factor = run_times_.speed_factor(agent.name);
  pool_.put(std::move(view));
  update_usable(agent.name);
  place(now);
}

void dispatcher::on_session_paused(const std::string& agent) {
  open_sessions_.erase(agent);
  update_usable(agent);
}

void dispatcher::on_session_usable(const std::string& agent, monotonic_time now) {
  open_sessions_.insert(agent);
  update_usable(agent);
  place(now);
}

void dispatcher::on_session_suspended(const std::string& agent) {
  open_sessions_.erase(agent);
  credits_.close(agent);
  sync_credits(agent);
  update_usable(agent);
}

void dispatcher::on_agent_lost(const std::string& agent) {
  on_session_suspended(agent);
  demands_.remove_worker(agent);
  pool_.remove(agent);
  run_times_.remove_worker(agent);
  refusal_backoff_.remove_worker(agent);
  for (const auto& readmitted : health_.remove_worker(agent)) {
    update_usable(readmitted);
  }
}

void dispatcher::on_agent_leaving(const std::string& agent, std::uint64_t session) {
  credits_.void_credits(agent, session);
  open_sessions_.erase(agent);
  sync_credits(agent);
  update_usable(agent);
}

void dispatcher::on_credits(const std::string& agent, std::uint64_t session, std::uint32_t credits,
                            credit_origin origin, monotonic_time now) {
  if (credits == 0 || !credits_.grant(agent, session, credits, origin == credit_origin::grant)) {
    return;
  }
  sync_credits(agent);
  if (origin == credit_origin::result) {
    return;
  }
  demands_.credit_granted(agent);
  place(now);
}

void dispatcher::on_occupancy_report(const std::string& agent, std::uint32_t occupied,
                                     monotonic_time now) {
  const auto* view = pool_.find(agent);
  if (view == nullptr) {
    return;
  }
  // The reported task is still counted as in flight here but is no longer at the agent.
  const auto own_tasks =
      static_cast<std::uint32_t>(view->in_flight() - std::min<std::size_t>(1, view->in_flight()));
  pool_.set_other_tasks(agent, occupied - std::min(occupied, own_tasks), now);
}

std::uint32_t dispatcher::on_recall(const std::string& agent, std::uint64_t session,
                                    std::uint32_t credits) {
  const auto returned = credits_.return_unused(agent, session, credits);
  sync_credits(agent);
  account_.add_wasted_messages(waste_cause::recalled_credit, messages_per_call);
  return returned;
}

void dispatcher::sync_credits(const std::string& agent) {
  pool_.set_credits(agent, credits_.unused(agent));
  account_.add_wasted_messages(waste_cause::unused_grant,
                               messages_per_call * credits_.take_unused_grants());
}

void dispatcher::update_usable(const std::string& agent) {
  const auto* view = pool_.find(agent);
  if (view == nullptr) {
    return;
  }
  const bool usable = open_sessions_.contains(agent) && view->slots > 0 &&
                      !health_.ejected(agent) && !refusal_backoff_.active(agent);
  pool_.set_ejected(agent, !usable);
}

void dispatcher::update_refusal_backoff(const dispatch_state& sent, const dispatch_outcome& outcome,
                                        monotonic_time now) {
  if (outcome.state == outcome_state::finished) {
    refusal_backoff_.record_run(sent.agent);
    return;
  }
  if (outcome.state == outcome_state::not_run && is_upstream_unavailable(outcome.error.cause)) {
    refusal_backoff_.record_refusal(sent.agent, now);
    update_usable(sent.agent);
  }
}

void dispatcher::end_backoffs(monotonic_time now) {
  for (const auto& agent : refusal_backoff_.take_ended_backoffs(now)) {
    update_usable(agent);
  }
}

void dispatcher::apply_health(const std::string& agent, worker_health::change change) {
  if (change == worker_health::change::none) {
    return;
  }
  update_usable(agent);
  const auto* view = pool_.find(agent);
  if (change == worker_health::change::readmitted || view == nullptr) {
    return;
  }
  const auto unused = credits_to_return(*view, false);
  if (unused > 0) {
    credits_.return_unused(agent, credits_.session(agent), unused);
    sync_credits(agent);
    agents_.return_credits(agent, unused);
    account_.add_wasted_messages(waste_cause::returned_credit, messages_per_call);
  }
}

// Placement.

task_request dispatcher::make_task_request(const backlog_candidate& candidate) const {
  const auto& definition = kinds_.at(candidate.kind).definition;
  return {candidate.id, candidate.kind, to_worker_requirements(definition.needs), candidate.waiting,
          run_times_.mean(candidate.kind)};
}

void dispatcher::place(monotonic_time now) {
  // A dispatch that fails at once reports its outcome from within the loop below.
  if (placing_) {
    return;
  }
  placing_ = true;
  // The process may have been paused: tasks past their deadline must not be started.
  expire(now);
  end_backoffs(now);
  backlog_.age(now);
  while (place_trials(now) || place_next(now)) {
  }
  send_credit_requests(now);
  count_wasted_credit_requests();
  placing_ = false;
}

bool dispatcher::place_trials(monotonic_time now) {
  if (health_.ejected_count() == 0) {
    return false;
  }
  const auto due = health_.next_trial();
  if (!due || *due > now) {
    return false;
  }
  std::optional<std::pair<uuid, std::string>> chosen;
  backlog_.visit([&](const backlog_candidate& candidate) {
    if (!admission_.may_start(candidate.kind)) {
      return visit_step::block_kind;
    }
    for (const auto& [name, view] : pool_.all()) {
      const bool fits = view->kinds.contains(candidate.kind) && view->slots > 0 &&
                        view->fits(make_task_request(candidate).needs);
      if (fits && open_sessions_.contains(name) && health_.trial_due(name, now)) {
        chosen.emplace(candidate.id, name);
        return visit_step::stop;
      }
    }
    return visit_step::next_kind;
  });
  if (!chosen) {
    return false;
  }
  health_.begin_trial(chosen->second);
  dispatch(chosen->first, chosen->second, true, now);
  return true;
}

bool dispatcher::place_next(monotonic_time now) {
  std::optional<std::pair<uuid, std::string>> chosen;
  credit_unused_ = false;
  backlog_.visit([&](const backlog_candidate& candidate) {
    if (!admission_.may_start(candidate.kind)) {
      return visit_step::block_kind;
    }
    const auto agent = policy_.choose(make_task_request(candidate), pool_, now);
    if (agent) {
      chosen.emplace(candidate.id, *agent);
      return visit_step::stop;
    }
    if (pool_.with_credits(candidate.kind).empty()) {
      return visit_step::next_kind;
    }
    credit_unused_ = true;
    return visit_step::next_job;
  });
  if (!chosen) {
    return false;
  }
  dispatch(chosen->first, chosen->second, false, now);
  return true;
}

void dispatcher::dispatch(const uuid& submission, const std::string& agent, bool trial,
                          monotonic_time now) {
  job* target = jobs_.find(submission);
  check_invariant(target != nullptr && !target->ended(),
                  "the backlog contains a job that is not open");
  auto& state = submissions_.at(submission);
  check_invariant(!state.key || state.claim == claim_state::granted,
                  "a non-idempotent task was dispatched without its claim");
  const auto task = target->dispatch_next();
  check_invariant(task.has_value(), "a job in the backlog has no waiting task");
  backlog_.take(submission, now);
  --state.waiting_tasks;
  admission_.start_task(target->kind());
  if (policy_.spends_credits() && !trial) {
    const bool spent = credits_.spend(agent);
    check_invariant(spent, "a task was dispatched without a credit");
    demands_.credit_spent(agent);
    sync_credits(agent);
  }
  const auto& kind = target->kind();
  const dispatch_state sent{agent, kind, now + run_times_.mean(kind, agent), trial};
  in_flight_.emplace(dispatch_key{submission, task->index, task->attempt}, sent);
  pool_.task_sent(agent, sent.expected_end);

  task_dispatch request;
  request.agent = agent;
  request.submission = submission;
  request.task = *task;
  request.kind = kind;
  request.revision = kinds_.at(kind).revision;
  request.budget = std::chrono::floor<std::chrono::milliseconds>(target->deadline() - now);
  request.payload = &target->payload(task->index);
  request.traceparent = state.traceparent;
  request.waiting = demand_for(agent);
  request.queue_if_busy = !policy_.spends_credits();
  if (!agents_.dispatch(request)) {
    dispatch_outcome refused;
    refused.state = outcome_state::not_run;
    refused.error = {reason::disconnected, step::dispatch, agent, "the session takes no work"};
    on_outcome(submission, *task, std::move(refused), now);
    return;
  }
  demands_.dispatch_sent(agent, request.waiting);
  account_.record_task_start();
}

demand dispatcher::demand_for(const std::string& agent) const {
  auto waiting = backlog_.waiting_demand(pool_.find(agent)->kinds);
  if (!policy_.spends_credits() || open_sessions_.empty()) {
    return waiting;
  }
  // Each agent is told its share of the demand, doubled because agents differ in speed. If each
  // were told the whole demand, the agents together would grant, and then recall, many times the
  // credits that the entry can use.
  const auto agents = static_cast<std::uint32_t>(open_sessions_.size());
  waiting.waiting = std::min(waiting.waiting, (2 * waiting.waiting + agents - 1) / agents);
  return waiting;
}

void dispatcher::send_credit_requests(monotonic_time now) {
  if (!policy_.spends_credits()) {
    return;
  }
  demands_.set_demand(backlog_.waiting_demand());
  const auto serves_waiting = [this](const std::string& agent) {
    const auto* view = pool_.find(agent);
    return view != nullptr && !view->ejected && !backlog_.waiting_demand(view->kinds).none();
  };
  for (const auto& agent : demands_.due_wants(credit_unused_, now, serves_waiting)) {
    agents_.request_credits(agent, demand_for(agent));
    demands_.want_sent(agent);
  }
}

void dispatcher::count_wasted_credit_requests() {
  demands_.set_demand(backlog_.waiting_demand());
  account_.add_wasted_messages(waste_cause::want_without_grant,
                               messages_per_call * demands_.take_wasted_want_count());
}

// Outcomes.

void dispatcher::on_outcome(const uuid& submission, task_attempt task, dispatch_outcome outcome,
                            monotonic_time now) {
  const auto found = in_flight_.find({submission, task.index, task.attempt});
  if (found == in_flight_.end()) {
    account_.add_wasted_messages(waste_cause::duplicate_result);
    return;
  }
  const dispatch_state sent = found->second;
  in_flight_.erase(found);
  pool_.task_ended(sent.agent, sent.expected_end);
  update_worker_statistics(sent, outcome, now);
  update_refusal_backoff(sent, outcome, now);
  if (outcome.state == outcome_state::not_run) {
    account_.add_wasted_messages(waste_cause::refused_dispatch, messages_per_call);
  } else {
    account_.record_task_end();
  }
  job* target = jobs_.find(submission);
  if (target == nullptr || target->ended()) {
    admission_.end_task(sent.kind);
  } else {
    record_outcome(*target, submissions_.at(submission), task, sent, outcome, now);
  }
  backlog_.unblock(admission_.owner_of(sent.kind));
  place(now);
}

void dispatcher::record_outcome(job& target, submission_state& state, task_attempt task,
                                const dispatch_state& sent, dispatch_outcome& outcome,
                                monotonic_time now) {
  auto effect = record_effect::ignored;
  switch (outcome.state) {
  case outcome_state::finished:
    effect = target.record_answer(task, std::move(outcome.answer));
    break;
  case outcome_state::failed:
    effect = known_to_have_run(outcome.error.cause) ? target.record_failed(task, outcome.error)
                                                    : target.record_unknown(task, outcome.error);
    break;
  case outcome_state::unknown:
    effect = target.record_unknown(task, outcome.error);
    break;
  case outcome_state::not_run:
    effect = target.record_not_run(task, outcome.error);
    break;
  }
  if (outcome.state == outcome_state::not_run && effect == record_effect::recorded) {
    admission_.requeue_task(sent.kind);
    backlog_.put_back(target.id(), now);
    ++state.waiting_tasks;
    return;
  }
  admission_.end_task(sent.kind);
  if (effect == record_effect::ended) {
    end_job(target, now);
  }
}

void dispatcher::update_worker_statistics(const dispatch_state& sent,
                                          const dispatch_outcome& outcome, monotonic_time now) {
  const bool finished = outcome.state == outcome_state::finished;
  if (finished) {
    run_times_.add_sample(sent.kind, sent.agent, outcome.run_time);
    pool_.set_run_time_factor(sent.agent, run_times_.speed_factor(sent.agent));
    backlog_.set_run_time(sent.kind, run_times_.mean(sent.kind), now);
  }
  const bool counts_for_health = finished || (outcome.state == outcome_state::failed &&
                                              counts_against_worker(outcome.error.cause));
  if (pool_.find(sent.agent) == nullptr) {
    return;
  }
  if (!counts_for_health) {
    if (sent.trial) {
      health_.abandon_trial(sent.agent, now);
    }
    return;
  }
  const auto change = sent.trial ? health_.record_trial(sent.agent, sent.kind, !finished, now)
                                 : health_.record(sent.agent, sent.kind, !finished, now);
  apply_health(sent.agent, change);
}

void dispatcher::end_job(job& ended, monotonic_time now) {
  end_job(ended, now, make_reply(ended));
}

void dispatcher::end_job(job& ended, monotonic_time now, const job_reply& reply) {
  auto state = std::move(submissions_.at(ended.id()));
  submissions_.erase(ended.id());
  admission_.drop_queued(ended.kind(), state.waiting_tasks);
  backlog_.remove(ended.id());
  std::set<std::string> busy_agents;
  for (const auto& task : ended.outstanding()) {
    const auto sent = in_flight_.find({ended.id(), task.index, task.attempt});
    if (sent != in_flight_.end()) {
      busy_agents.insert(sent->second.agent);
    }
  }
  for (const auto& agent : busy_agents) {
    agents_.cancel(agent, ended.id());
  }
  if (ended.state() == job_state::complete) {
    account_.record_completion(ended.kind(), ended.owner());
  } else {
    account_.record_unanswered(ended.kind(), ended.owner(), outcome_of(ended.state()),
                               *ended.end_error());
  }
  jobs_.start_retention(ended.id(), now);
  finish_claim(ended, state, reply, now);
  for (const auto& waiter : state.waiters) {
    waiter(reply);
  }
}

void dispatcher::finish_claim(const job& ended, const submission_state& state,
                              const job_reply& reply, monotonic_time now) {
  switch (state.claim) {
  case claim_state::none:
    return;
  case claim_state::requested:
    claims_.abandon(*state.key, ended.id());
    return;
  case claim_state::granted:
    break;
  }
  if (ended.certainty() == run_certainty::not_run) {
    claims_.release(*state.key, ended.id());
    return;
  }
  claims_.record_outcome(*state.key, ended.id(), std::string(to_string(ended.state())), reply.body,
                         now);
}

void dispatcher::expire(monotonic_time now) {
  for (job* expired : jobs_.expire(now)) {
    end_job(*expired, now);
  }
  while (!duplicates_.empty() && duplicates_.begin()->first <= now) {
    const auto late = std::move(duplicates_.extract(duplicates_.begin()).mapped());
    if (const auto waiter = std::exchange(*late.reply, nullptr)) {
      waiter(late.timeout_reply);
    }
  }
}

job_reply dispatcher::make_reply(const job& target) const {
  const auto id = target.id().to_string();
  if (target.state() == job_state::complete) {
    const auto* answers = target.answers();
    check_invariant(answers != nullptr, "a complete job has no answers");
    return make_complete_reply(id, *answers);
  }
  if (!target.ended()) {
    const auto waiting = submissions_.at(target.id()).waiting_tasks;
    const auto finished = target.size() - waiting - target.outstanding().size();
    return make_open_reply(id, target.size(), finished);
  }
  return make_failure_reply(id, target.certainty(), *target.end_error());
}

void dispatcher::tick(monotonic_time now) {
  expire(now);
  jobs_.purge(now);
  place(now);
}

std::optional<monotonic_time> dispatcher::next_event(monotonic_time now) const {
  std::optional<monotonic_time> next = jobs_.next_deadline();
  const auto consider = [&next](std::optional<monotonic_time> time) {
    if (time && (!next || *time < *next)) {
      next = time;
    }
  };
  if (!duplicates_.empty()) {
    consider(duplicates_.begin()->first);
  }
  consider(health_.next_trial());
  consider(refusal_backoff_.next_backoff_end());
  consider(demands_.next_due());
  const bool places_without_credits = !policy_.spends_credits() && backlog_.waiting() > 0;
  if (credit_unused_ || places_without_credits) {
    consider(now + placement_retry_interval);
  }
  return next;
}

void dispatcher::abandon_open_jobs(const failure& error, monotonic_time now) {
  for (const auto& id : jobs_.open_job_ids()) {
    job* open = jobs_.find(id);
    if (open->abandon(error)) {
      end_job(*open, now);
    }
  }
}

} // namespace parsleylead
