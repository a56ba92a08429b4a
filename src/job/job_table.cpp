#include "parsleylead/job/job_table.hpp"

#include <utility>

namespace parsleylead {

job* job_table::insert(job_request request) {
  const auto id = request.id;
  const auto deadline = request.deadline;
  if (jobs_.contains(id)) {
    return nullptr;
  }
  auto new_job = std::make_unique<job>(std::move(request));
  auto* added = new_job.get();
  jobs_.emplace(id, std::move(new_job));
  deadlines_.emplace(deadline, id);
  return added;
}

job* job_table::find(const uuid& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

const job* job_table::find(const uuid& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : found->second.get();
}

void job_table::start_retention(const uuid& id, monotonic_time now) {
  const auto* ended = find(id);
  if (ended == nullptr || !ended->ended()) {
    return;
  }
  if (deadlines_.erase({ended->deadline(), id}) > 0) {
    retained_.emplace_back(now, id);
  }
}

std::optional<monotonic_time> job_table::next_deadline() const {
  if (deadlines_.empty()) {
    return std::nullopt;
  }
  return deadlines_.begin()->first;
}

std::vector<job*> job_table::expire(monotonic_time now) {
  std::vector<job*> expired;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const auto id = deadlines_.begin()->second;
    auto* expired_job = find(id);
    if (expired_job->expire()) {
      expired.push_back(expired_job);
    }
    start_retention(id, now);
  }
  return expired;
}

std::size_t job_table::purge(monotonic_time now) {
  std::size_t removed = 0;
  while (!retained_.empty() && retained_.front().first + retention_ <= now) {
    jobs_.erase(retained_.front().second);
    retained_.pop_front();
    ++removed;
  }
  return removed;
}

std::vector<uuid> job_table::open_job_ids() const {
  std::vector<uuid> ids;
  ids.reserve(deadlines_.size());
  for (const auto& [deadline, id] : deadlines_) {
    ids.push_back(id);
  }
  return ids;
}

} // namespace parsleylead
