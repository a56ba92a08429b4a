// Durable jobs: appends to the store and the handling of its answers.

#include <algorithm>
#include <set>
#include <utility>

#include "durable_state.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// Delays before a failed call of the store is repeated.
constexpr milliseconds append_retry{40};
constexpr milliseconds claim_retry{100};
// Maximum number of changes in one append: keeps the longest payloads below the store's limit of
// 2 MB.
constexpr std::size_t max_changes_per_append = 200;

} // namespace

void durable_jobs::queue_change(partition_state& partition, store_change change, monotonic_time now,
                                milliseconds delay) {
  change.queued = now;
  change.due = now + delay;
  partition.changes.push_back(std::move(change));
  flush(partition, now);
}

void durable_jobs::flush(partition_state& partition, monotonic_time now) {
  if (partition.store_call_pending || now < partition.retry_at) {
    return;
  }
  if (partition.current_stage == partition_state::stage::claiming) {
    append(partition); // Repeats a failed claim.
    return;
  }
  if (!partition.writable()) {
    return;
  }
  if (partition.sent_changes.empty()) {
    if (std::none_of(partition.changes.begin(), partition.changes.end(),
                     [now](const store_change& change) { return change.due <= now; })) {
      return;
    }
    partition.sent_records.clear();
    std::set<std::uint64_t> written;
    while (!partition.changes.empty() && partition.sent_changes.size() < max_changes_per_append) {
      partition.sent_changes.push_back(std::move(partition.changes.front()));
      partition.changes.pop_front();
    }
    for (const auto& change : partition.sent_changes) {
      if (change.change_kind == store_change::kind::restart_epoch) {
        partition.sent_records.push_back(
            {owner_key, write_owner(partition.owner_record(settings_.member, false))});
        continue;
      }
      const auto found = partition.jobs.find(change.job);
      if (found == partition.jobs.end() || !written.insert(change.job).second) {
        continue;
      }
      auto& job = found->second;
      if (job.forgotten) {
        partition.sent_records.push_back({submission_key(change.job), ""});
      } else if (job.pending_verdict) {
        auto closed = durable_record{};
        closed.ended = job.pending_verdict;
        closed.progress = final_progress(partition, job.record);
        partition.sent_records.push_back({submission_key(change.job), write_submission(closed)});
        partition.sent_records.push_back({progress_key(change.job), ""});
      } else if (!job.stored) {
        partition.sent_records.push_back(
            {submission_key(change.job), write_submission(job.record)});
      } else {
        partition.sent_records.push_back({progress_key(change.job), write_progress(job.record)});
      }
    }
  }
  if (partition.sent_records.empty()) {
    for (const auto& change : std::exchange(partition.sent_changes, {})) {
      change.on_result(true);
    }
    return;
  }
  append(partition);
}

void durable_jobs::append(partition_state& partition) {
  partition.store_call_pending = true;
  log_.append(topic_of(partition.number), partition.log_end, partition.sent_records,
              [this, number = partition.number, serial = partition.serial,
               alive = std::weak_ptr<int>(alive_)](const absl::StatusOr<std::uint64_t>& end) {
                if (auto* current = alive.expired() ? nullptr : find_by_serial(number, serial)) {
                  now_ = settings_.clock();
                  current->store_call_pending = false;
                  append_answered(*current, end);
                }
              });
}

void durable_jobs::append_answered(partition_state& partition,
                                   const absl::StatusOr<std::uint64_t>& end) {
  if (end.ok()) {
    appended(partition, *end);
    return;
  }
  metrics_.add("parsleylead_entry_store_append_failures_total", {});
  if (absl::IsAborted(end.status())) {
    if (partition.sent_unknown) {
      check_appended(partition);
    } else {
      drop_partition(partition.number, "another owner has appended", durable_answer::refused);
    }
    return;
  }
  const bool nothing_done =
      absl::IsUnavailable(end.status()) || absl::IsResourceExhausted(end.status());
  if (!std::exchange(partition.append_failing, true)) {
    events_.write("append_failed", "partition", partition.number, "cause",
                  std::string(end.status().message()), "changes", partition.sent_changes.size());
  }
  partition.sent_unknown = partition.sent_unknown || !nothing_done;
  partition.retry_at =
      now_ +
      (partition.current_stage == partition_state::stage::claiming ? claim_retry : append_retry);
  if (!partition.sent_unknown) {
    append_refused(partition);
  }
}

/// The log's end has moved, by an unanswered attempt of this process or by another owner: reads the
/// log to tell which.
void durable_jobs::check_appended(partition_state& partition) {
  partition.store_call_pending = true;
  log_.read_records(
      topic_of(partition.number), partition.log_end,
      [this, number = partition.number, serial = partition.serial,
       alive = std::weak_ptr<int>(alive_)](const absl::StatusOr<keyed_snapshot>& snapshot) {
        auto* current = alive.expired() ? nullptr : find_by_serial(number, serial);
        if (current == nullptr) {
          return;
        }
        current->store_call_pending = false;
        const auto& sent = current->sent_records;
        const bool readable = snapshot.ok() && snapshot->records.size() >= sent.size();
        if (readable && std::equal(sent.begin(), sent.end(), snapshot->records.begin(),
                                   [](const auto& a, const auto& b) {
                                     return a.key == b.key && a.value == b.value;
                                   })) {
          appended(*current, current->log_end + sent.size());
        } else {
          drop_partition(number,
                         readable ? "another owner has appended"
                                  : "the appended records cannot be read",
                         readable ? durable_answer::refused : durable_answer::unknown);
        }
      });
}

void durable_jobs::appended(partition_state& partition, std::uint64_t end) {
  partition.log_end = end;
  partition.sent_unknown = false;
  if (std::exchange(partition.append_failing, false)) {
    events_.write("append_regained", "partition", partition.number);
  }
  if (partition.current_stage == partition_state::stage::claiming) {
    partition_claimed(partition, now_);
    return;
  }
  const auto done = std::exchange(partition.sent_changes, {});
  for (const auto& change : done) {
    change.on_result(true);
  }
  flush(partition, now_);
}

/// The append had no effect and never will have: refuses its submissions and requeues the rest.
void durable_jobs::append_refused(partition_state& partition) {
  std::vector<store_change> refused;
  for (auto& change : partition.sent_changes) {
    if (change.change_kind == store_change::kind::submission) {
      refused.push_back(std::move(change));
    } else {
      partition.changes.push_front(std::move(change));
    }
  }
  partition.sent_changes.clear();
  for (const auto& change : refused) {
    change.on_result(false);
  }
}

void durable_jobs::expire_waiting(monotonic_time now) {
  for (const auto& [number, partition] : partitions_) {
    if (partition->changes.empty()) {
      continue;
    }
    std::vector<store_change> expired_changes;
    std::deque<store_change> remaining;
    for (auto& change : partition->changes) {
      const bool expired = change.change_kind == store_change::kind::submission &&
                           now - change.queued > settings_.store_timeout;
      (expired ? expired_changes.emplace_back() : remaining.emplace_back()) = std::move(change);
    }
    partition->changes = std::move(remaining);
    for (const auto& change : expired_changes) {
      change.on_result(false);
    }
  }
  while (!pending_replies_.empty() &&
         (pending_replies_.front()->answered || pending_replies_.front()->deadline <= now)) {
    const auto oldest = pending_replies_.front();
    pending_replies_.pop_front();
    oldest->answer(durable_answer::unknown);
  }
}

void durable_jobs::forget_ended(partition_state& partition, monotonic_time now) {
  while (partition.owned() && !partition.ended.empty() && partition.ended.front().first <= now) {
    const auto id = partition.ended.front().second;
    partition.ended.pop_front();
    partition.jobs.at(id).forgotten = true;
    queue_change(partition,
                 {store_change::kind::job, id, now, now,
                  [this, id](bool) {
                    if (auto* current = find_partition(id)) {
                      current->jobs.erase(id);
                    }
                  }},
                 now);
  }
}

} // namespace parsleylead
