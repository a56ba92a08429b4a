// Durable jobs: what is written to the store, and what follows from its answers.

#include <algorithm>
#include <set>
#include <utility>

#include "durable_state.hpp"

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// Pauses before a call of the store is repeated after a failure.
constexpr milliseconds append_retry{40};
constexpr milliseconds claim_retry{100};
// Changes in one append at most; with the longest payloads they stay within the store's 2 MB.
constexpr std::size_t max_changes = 200;

} // namespace

void durable_jobs::queue_change(partition_state& each, store_change what, monotonic_time now,
                                milliseconds delay) {
  what.queued = now;
  what.due = now + delay;
  each.changes.push_back(std::move(what));
  flush(each, now);
}

void durable_jobs::flush(partition_state& each, monotonic_time now) {
  if (each.store_call_pending || now < each.retry_at) {
    return;
  }
  if (each.current_stage == partition_state::stage::claiming) {
    append(each); // Again, after a failure.
    return;
  }
  if (!each.writable()) {
    return;
  }
  if (each.sent_changes.empty()) {
    if (std::none_of(each.changes.begin(), each.changes.end(),
                     [now](const store_change& what) { return what.due <= now; })) {
      return;
    }
    each.sent_records.clear();
    std::set<std::uint64_t> written;
    while (!each.changes.empty() && each.sent_changes.size() < max_changes) {
      each.sent_changes.push_back(std::move(each.changes.front()));
      each.changes.pop_front();
    }
    for (const auto& what : each.sent_changes) {
      const auto found = each.jobs.find(what.job);
      if (found == each.jobs.end() || !written.insert(what.job).second) {
        continue;
      }
      auto& job = found->second;
      if (job.forgotten) {
        each.sent_records.push_back({submission_key(what.job), ""});
      } else if (job.pending_verdict) {
        auto closed = durable_record{};
        closed.ended = job.pending_verdict;
        closed.progress = job.record.progress;
        each.sent_records.push_back({submission_key(what.job), write_submission(closed)});
        each.sent_records.push_back({progress_key(what.job), ""});
      } else if (!job.stored) {
        each.sent_records.push_back({submission_key(what.job), write_submission(job.record)});
      } else {
        each.sent_records.push_back({progress_key(what.job), write_progress(job.record)});
      }
    }
  }
  if (each.sent_records.empty()) {
    for (const auto& what : std::exchange(each.sent_changes, {})) {
      what.on_result(true);
    }
    return;
  }
  append(each);
}

void durable_jobs::append(partition_state& each) {
  each.store_call_pending = true;
  log_.append(topic_of(each.number), each.log_end, each.sent_records,
              [this, number = each.number, serial = each.serial,
               alive = std::weak_ptr<int>(alive_)](const absl::StatusOr<std::uint64_t>& end) {
                if (auto* at = alive.expired() ? nullptr : find_by_serial(number, serial)) {
                  now_ = settings_.clock();
                  at->store_call_pending = false;
                  append_answered(*at, end);
                }
              });
}

void durable_jobs::append_answered(partition_state& each,
                                   const absl::StatusOr<std::uint64_t>& end) {
  if (end.ok()) {
    appended(each, *end);
    return;
  }
  metrics_.add("parsleylead_entry_store_append_failures_total", {});
  if (absl::IsAborted(end.status())) {
    if (each.sent_unknown) {
      check_appended(each);
    } else {
      drop_partition(each.number, "another owner has appended", durable_answer::refused);
    }
    return;
  }
  const bool nothing_done =
      absl::IsUnavailable(end.status()) || absl::IsResourceExhausted(end.status());
  if (!std::exchange(each.append_failing, true)) {
    events_.write("append_failed", "partition", each.number, "cause",
                  std::string(end.status().message()), "changes", each.sent_changes.size());
  }
  each.sent_unknown = each.sent_unknown || !nothing_done;
  each.retry_at =
      now_ + (each.current_stage == partition_state::stage::claiming ? claim_retry : append_retry);
  if (!each.sent_unknown) {
    append_refused(each);
  }
}

/// The end has moved: either by an attempt of ours without an answer, or by another owner.
void durable_jobs::check_appended(partition_state& each) {
  each.store_call_pending = true;
  log_.read_records(
      topic_of(each.number), each.log_end,
      [this, number = each.number, serial = each.serial,
       alive = std::weak_ptr<int>(alive_)](const absl::StatusOr<keyed_snapshot>& snapshot) {
        auto* at = alive.expired() ? nullptr : find_by_serial(number, serial);
        if (at == nullptr) {
          return;
        }
        at->store_call_pending = false;
        const auto& sent = at->sent_records;
        const bool readable = snapshot.ok() && snapshot->records.size() >= sent.size();
        if (readable && std::equal(sent.begin(), sent.end(), snapshot->records.begin(),
                                   [](const auto& a, const auto& b) {
                                     return a.key == b.key && a.value == b.value;
                                   })) {
          appended(*at, at->log_end + sent.size());
        } else {
          drop_partition(number, readable ? "another owner has appended" : "the end cannot be read",
                         readable ? durable_answer::refused : durable_answer::unknown);
        }
      });
}

void durable_jobs::appended(partition_state& each, std::uint64_t end) {
  each.log_end = end;
  each.sent_unknown = false;
  if (std::exchange(each.append_failing, false)) {
    events_.write("append_regained", "partition", each.number);
  }
  if (each.current_stage == partition_state::stage::claiming) {
    partition_claimed(each, now_);
    return;
  }
  const auto done = std::exchange(each.sent_changes, {});
  for (const auto& what : done) {
    what.on_result(true);
  }
  flush(each, now_);
}

/// Nothing of the append was done, and nothing will be.
void durable_jobs::append_refused(partition_state& each) {
  std::vector<store_change> refused;
  for (auto& what : each.sent_changes) {
    if (what.is_submission) {
      refused.push_back(std::move(what));
    } else {
      each.changes.push_front(std::move(what));
    }
  }
  each.sent_changes.clear();
  for (const auto& what : refused) {
    what.on_result(false);
  }
}

void durable_jobs::expire_waiting(monotonic_time now) {
  for (const auto& [number, each] : partitions_) {
    if (each->changes.empty()) {
      continue;
    }
    std::vector<store_change> late;
    std::deque<store_change> kept;
    for (auto& what : each->changes) {
      const bool expired = what.is_submission && now - what.queued > settings_.store_timeout;
      (expired ? late.emplace_back() : kept.emplace_back()) = std::move(what);
    }
    each->changes = std::move(kept);
    for (const auto& what : late) {
      what.on_result(false);
    }
  }
  while (!pending_replies_.empty() &&
         (pending_replies_.front()->answered || pending_replies_.front()->deadline <= now)) {
    const auto each = pending_replies_.front();
    pending_replies_.pop_front();
    each->answer(durable_answer::unknown);
  }
}

void durable_jobs::forget_ended(partition_state& each, monotonic_time now) {
  while (each.owned() && !each.ended.empty() && each.ended.front().first <= now) {
    const auto id = each.ended.front().second;
    each.ended.pop_front();
    each.jobs.at(id).forgotten = true;
    queue_change(each,
                 {id, false, now, now,
                  [this, id](bool) {
                    if (auto* at = find_partition(id)) {
                      at->jobs.erase(id);
                    }
                  }},
                 now);
  }
}

} // namespace parsleylead
