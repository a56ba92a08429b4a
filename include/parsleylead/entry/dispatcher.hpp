#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "parsleylead/account/account.hpp"
#include "parsleylead/admission/admission_control.hpp"
#include "parsleylead/admission/run_time_estimator.hpp"
#include "parsleylead/catalogue/catalogue_entry.hpp"
#include "parsleylead/entry/caller_request.hpp"
#include "parsleylead/entry/gateways.hpp"
#include "parsleylead/job/job_table.hpp"
#include "parsleylead/placement/backlog.hpp"
#include "parsleylead/placement/demand_tracker.hpp"
#include "parsleylead/placement/placement_policy.hpp"
#include "parsleylead/placement/refusal_backoff.hpp"
#include "parsleylead/placement/worker_health.hpp"
#include "parsleylead/placement/worker_pool.hpp"
#include "parsleylead/slot/credit_book.hpp"

namespace parsleylead {

struct dispatcher_options {
  std::string availability_zone;
  /// Number of this entry, starting at 1, and the number of entries that share the limits.
  std::uint32_t entry_slot = 1;
  std::uint32_t entry_slots = 1;
  std::chrono::milliseconds answer_retention{600'000};
  backlog_settings backlog_options;
  /// Generates submission ids. Seeded tests replace it to make runs reproducible.
  std::function<uuid()> make_submission_id = [] { return uuid::make_v7(wall_now()); };
};

/// An agent with an open session.
struct agent_description {
  std::string name;
  std::string availability_zone;
  std::set<std::string> kinds;
  std::uint32_t slots = 0;
  std::uint32_t cores = 0;
  std::uint64_t memory_mb = 0;
};

/// Message in which credits were received.
enum class credit_origin { result, request_reply, grant };

/// Schedules the submissions of one entry: admission, claims, backlog order, placement, outcomes
/// and replies. Performs no I/O itself; messages are sent through the gateways.
/// Not thread-safe: control thread only. `now` never decreases.
class dispatcher {
public:
  using reply_callback = std::function<void(job_reply)>;

  /// The gateways must outlive the dispatcher.
  dispatcher(const dispatcher_options& options, selected_policy policy, agent_gateway& agents,
             claim_gateway& claims, peer_gateway& peers);

  /// Accepts or refuses a submission. `reply` is called exactly once: when the job ends, or
  /// immediately if the request does not wait or is refused.
  void submit(caller_request request, monotonic_time now, reply_callback reply);

  /// Passes the reply of a submission to `reply`; with `wait`, after the submission has ended.
  /// Returns false, without calling `reply`, if the submission is unknown.
  bool fetch(const uuid& submission, bool wait, const reply_callback& reply);

  /// Cancels a submission for its caller and passes its reply to `reply`. Returns false if the
  /// submission is unknown.
  bool cancel(const uuid& submission, monotonic_time now, const reply_callback& reply);

  /// Call after the first catalogue state was applied; until then all submissions are refused.
  void mark_catalogue_loaded() { catalogue_loaded_ = true; }
  void set_kind(const std::string& name, const kind_definition& definition, std::uint64_t revision,
                monotonic_time now);
  /// Refuses new submissions of the kind; accepted ones continue. `revision` is the revision of the
  /// removal.
  void remove_kind(const std::string& name, std::uint64_t revision);
  void set_owner(const std::string& name, const owner_quota& quota, monotonic_time now);
  void remove_owner(const std::string& name);

  void on_claim(const claim_decision& decision, monotonic_time now);

  /// A session with the agent was opened or resumed. `session` increases with each session.
  void on_session_opened(const agent_description& agent, std::uint64_t session,
                         std::uint32_t credits, monotonic_time now);
  /// The description of the agent's upstream changed. An agent without slots gets no tasks.
  void on_agent_changed(const agent_description& agent, monotonic_time now);
  /// A probe is unanswered: the agent gets no tasks, but the session keeps its credits.
  void on_session_paused(const std::string& agent);
  /// A message arrived on the probed session: it is usable again.
  void on_session_usable(const std::string& agent, monotonic_time now);
  /// The session ended: it gets no tasks and its credits are void.
  void on_session_suspended(const std::string& agent);
  /// The agent was declared lost. The outcomes of its dispatches are reported separately, before or
  /// after this call.
  void on_agent_lost(const std::string& agent);
  /// The agent is leaving: its credits are void.
  void on_agent_leaving(const std::string& agent, std::uint64_t session);
  /// Records received credits and places waiting tasks. Credits from a result are only recorded,
  /// because the `on_outcome` that follows places tasks.
  void on_credits(const std::string& agent, std::uint64_t session, std::uint32_t credits,
                  credit_origin origin, monotonic_time now);
  /// A result reported how many tasks of all entries run or wait at the agent. Call it before
  /// `on_outcome` of that result.
  void on_occupancy_report(const std::string& agent, std::uint32_t occupied, monotonic_time now);
  /// Handles a recall of credits: removes unused ones and returns their number.
  std::uint32_t on_recall(const std::string& agent, std::uint64_t session, std::uint32_t credits);
  void on_outcome(const uuid& submission, task_attempt task, dispatch_outcome outcome,
                  monotonic_time now);

  /// Ends jobs past their deadline and places waiting tasks. Call it no later than `next_event`.
  void tick(monotonic_time now);
  std::optional<monotonic_time> next_event(monotonic_time now) const;

  /// Refuses all later submissions with `error`.
  void refuse_new_jobs(const failure& error) { refusal_ = error; }
  /// Ends all open submissions with `error`.
  void abandon_open_jobs(const failure& error, monotonic_time now);
  std::size_t open_jobs() const { return jobs_.open_count(); }

  account& accounts() { return account_; }
  const account& accounts() const { return account_; }
  const worker_pool& workers() const { return pool_; }
  const credit_book& credits() const { return credits_; }
  std::size_t waiting_tasks() const { return backlog_.waiting(); }
  std::size_t tasks_in_flight() const { return in_flight_.size(); }
  bool is_ejected(const std::string& agent) const { return health_.ejected(agent); }

private:
  using dispatch_key = std::tuple<uuid, std::uint32_t, std::uint32_t>;
  enum class claim_state { none, requested, granted };

  struct kind_state {
    kind_definition definition;
    std::uint64_t revision = 0;
    bool removed = false;
  };
  struct submission_state {
    std::vector<reply_callback> waiters;
    std::optional<uuid> key;
    claim_state claim = claim_state::none;
    std::size_t waiting_tasks = 0;
    std::string traceparent;
  };
  struct dispatch_state {
    std::string agent;
    std::string kind;
    monotonic_time expected_end;
    bool trial = false;
  };

  /// Reply callback of a duplicate that waits, within its own budget, for the submission of this
  /// entry that holds the request key.
  struct waiting_duplicate {
    std::shared_ptr<reply_callback> reply;
    job_reply timeout_reply;
  };

  std::optional<failure> check_request(const caller_request& request,
                                       std::optional<uuid>& key) const;
  void refuse(const caller_request& request, const failure& error, const reply_callback& reply);
  capacity_estimate estimate_capacity(const caller_request& request, monotonic_time now) const;
  void accept(caller_request request, const std::optional<uuid>& key,
              std::chrono::milliseconds budget, monotonic_time now, reply_callback reply);
  void enqueue(job& accepted, monotonic_time now);
  void send_probes(const job& accepted);
  void answer_duplicate(job& duplicate, const claim_holder& holder, monotonic_time now);

  void place(monotonic_time now);
  bool place_trials(monotonic_time now);
  bool place_next(monotonic_time now);
  void dispatch(const uuid& submission, const std::string& agent, bool trial, monotonic_time now);
  /// Demand that is reported to an agent.
  demand demand_for(const std::string& agent) const;
  void send_credit_requests(monotonic_time now);
  void count_wasted_credit_requests();

  void record_outcome(job& target, submission_state& state, task_attempt task,
                      const dispatch_state& sent, dispatch_outcome& outcome, monotonic_time now);
  void update_worker_statistics(const dispatch_state& sent, const dispatch_outcome& outcome,
                                monotonic_time now);
  void apply_health(const std::string& agent, worker_health::change change);
  void update_refusal_backoff(const dispatch_state& sent, const dispatch_outcome& outcome,
                              monotonic_time now);
  void end_backoffs(monotonic_time now);
  void update_usable(const std::string& agent);
  void sync_credits(const std::string& agent);
  void end_job(job& ended, monotonic_time now);
  void end_job(job& ended, monotonic_time now, const job_reply& reply);
  void finish_claim(const job& ended, const submission_state& state, const job_reply& reply,
                    monotonic_time now);
  void await_holder(const uuid& holder, const reply_callback& reply, const job_reply& timeout_reply,
                    monotonic_time deadline);
  void expire(monotonic_time now);
  job_reply make_reply(const job& target) const;
  task_request make_task_request(const backlog_candidate& candidate) const;

  dispatcher_options options_;
  selected_policy policy_;
  agent_gateway& agents_;
  claim_gateway& claims_;
  peer_gateway& peers_;

  bool catalogue_loaded_ = false;
  std::optional<failure> refusal_;
  std::map<std::string, kind_state> kinds_;
  job_table jobs_;
  std::map<uuid, submission_state> submissions_;
  std::multimap<monotonic_time, waiting_duplicate> duplicates_;
  std::map<dispatch_key, dispatch_state> in_flight_;
  admission_control admission_;
  run_time_estimator run_times_;
  backlog backlog_;
  worker_pool pool_;
  worker_health health_;
  refusal_backoff refusal_backoff_;
  credit_book credits_;
  demand_tracker demands_;
  account account_;
  std::set<std::string> open_sessions_;
  /// Credits remain although tasks wait, because the policy holds a task for a faster worker.
  bool credit_unused_ = false;
  bool placing_ = false;
};

} // namespace parsleylead
