#include "parsleylead/platform_log/memory_log_service.hpp"

#include <algorithm>

#include "parsleylead/base/error.hpp"

namespace parsleylead {
namespace {

constexpr std::string_view peer = "memory-log";

} // namespace

memory_log_service::memory_log_service(clock now) : now_(std::move(now)) {}

// Applies the injected faults that affect every call.
absl::Status memory_log_service::apply_faults(std::unique_lock<std::mutex>& lock, step operation) {
  if (delay_.count() > 0) {
    changed_.wait_for(lock, delay_, [this] { return closed_; });
  }
  if (closed_) {
    return make_error(absl::StatusCode::kCancelled, operation, peer, "Closed.");
  }
  if (down_) {
    ++statistics_.refused;
    return make_error(absl::StatusCode::kUnavailable, operation, peer, "The log is down.");
  }
  return absl::OkStatus();
}

void memory_log_service::apply_retention(stream_state& stream) {
  const auto drop_first = [&stream] {
    stream.earliest = stream.records.front().offset + 1;
    stream.records.pop_front();
  };
  while (max_records_ > 0 && stream.records.size() > max_records_) {
    drop_first();
  }
  if (max_age_.count() == 0) {
    return;
  }
  const wall_time earliest_time = now_() - max_age_;
  while (!stream.records.empty() && stream.records.front().append_time < earliest_time) {
    drop_first();
  }
}

absl::StatusOr<std::uint64_t> memory_log_service::append(std::string_view stream,
                                                         std::string_view payload) {
  std::unique_lock lock(mutex_);
  if (auto status = apply_faults(lock, step::log_append); !status.ok()) {
    return status;
  }
  stream_state& state = streams_[std::string(stream)];
  const std::uint64_t offset = state.earliest + state.records.size();
  state.records.push_back({offset, now_(), std::string(payload)});
  ++statistics_.appends;
  apply_retention(state);
  changed_.notify_all();
  if (replies_to_lose_ > 0) {
    --replies_to_lose_;
    return make_error(absl::StatusCode::kDeadlineExceeded, step::log_append, peer,
                      "The reply was lost.");
  }
  return offset;
}

log_read_result memory_log_service::read_records(const stream_state& stream, std::uint64_t from,
                                                 std::size_t max_records) const {
  log_read_result result;
  result.earliest = stream.earliest;
  const std::uint64_t first = std::max(from, stream.earliest);
  result.next = first;
  for (std::uint64_t index = first - stream.earliest;
       index < stream.records.size() && result.records.size() < max_records; ++index) {
    result.records.push_back(stream.records[index]);
    ++result.next;
  }
  return result;
}

absl::StatusOr<log_read_result> memory_log_service::read(std::string_view stream,
                                                         std::uint64_t from,
                                                         std::size_t max_records,
                                                         std::chrono::milliseconds max_wait) {
  std::unique_lock lock(mutex_);
  if (auto status = apply_faults(lock, step::log_read); !status.ok()) {
    return status;
  }
  ++statistics_.reads;
  stream_state& state = streams_[std::string(stream)];
  const auto has_answer = [&] {
    return closed_ || down_ || from < state.earliest + state.records.size();
  };
  if (max_wait.count() > 0) {
    changed_.wait_for(lock, max_wait, has_answer);
  }
  if (closed_ || down_) {
    ++statistics_.refused;
    return make_error(absl::StatusCode::kUnavailable, step::log_read, peer, "The log is down.");
  }
  apply_retention(state);
  return read_records(state, from, max_records);
}

void memory_log_service::close() {
  const std::lock_guard lock(mutex_);
  closed_ = true;
  changed_.notify_all();
}

void memory_log_service::set_down(bool down) {
  const std::lock_guard lock(mutex_);
  down_ = down;
  changed_.notify_all();
}

void memory_log_service::set_delay(std::chrono::milliseconds delay) {
  const std::lock_guard lock(mutex_);
  delay_ = delay;
}

void memory_log_service::lose_replies(std::uint64_t count) {
  const std::lock_guard lock(mutex_);
  replies_to_lose_ = count;
}

void memory_log_service::forget_below(std::string_view stream, std::uint64_t offset) {
  const std::lock_guard lock(mutex_);
  stream_state& state = streams_[std::string(stream)];
  while (!state.records.empty() && state.records.front().offset < offset) {
    state.records.pop_front();
    ++state.earliest;
  }
}

void memory_log_service::set_retention(std::chrono::milliseconds age, std::size_t records) {
  const std::lock_guard lock(mutex_);
  max_age_ = age;
  max_records_ = records;
}

memory_log_statistics memory_log_service::statistics() const {
  const std::lock_guard lock(mutex_);
  return statistics_;
}

} // namespace parsleylead
