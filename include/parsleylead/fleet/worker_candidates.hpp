#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "parsleylead/base/time.hpp"
#include "parsleylead/fleet/worker_port.hpp"
#include "parsleylead/observe/event_log.hpp"

namespace parsleylead {

/// Announcements that the worker at the agent's address has not confirmed. Anyone may send an
/// announcement, so an id and an incarnation count as those of the worker only once the worker
/// itself has answered under them. Not thread-safe: used on the event loop's thread only.
class worker_candidates {
public:
  using result_handler = std::function<void(const absl::Status&)>;

  /// The references must outlive the object. `on_confirmed` is called for each announcement that
  /// the worker confirms, before the result handler.
  worker_candidates(asio::io_context& io, worker_port& worker, event_log& log,
                    std::function<void(const worker_announcement&)> on_confirmed);
  ~worker_candidates();
  worker_candidates(const worker_candidates&) = delete;
  worker_candidates& operator=(const worker_candidates&) = delete;

  /// Asks the worker whether the announcement is its own, and repeats that while the worker does
  /// not answer. `done` is called exactly once unless the object is destroyed first: kOk if the
  /// worker confirmed the announcement, kNotFound if the worker has another id or incarnation,
  /// kUnavailable if the worker did not answer in time.
  void add(const worker_announcement& announcement, result_handler done);
  /// Forgets the candidates with this id; their results are kUnavailable.
  void remove(const std::string& id);

  std::size_t size() const { return candidates_.size(); }

private:
  struct candidate;
  using candidate_position = std::vector<std::unique_ptr<candidate>>::iterator;

  candidate_position find(const std::string& id, std::int64_t incarnation);
  void query(const std::string& id, std::int64_t incarnation);
  /// `announced` is the candidate's incarnation, `incarnation` the worker's answer.
  void answered(const std::string& id, std::int64_t announced,
                const absl::StatusOr<std::int64_t>& incarnation);
  /// Answers the announcements of a candidate that the worker has not confirmed in time.
  void expire(const std::string& id, std::int64_t incarnation);
  void erase(candidate_position position, const absl::Status& result);

  asio::io_context& io_;
  worker_port& worker_;
  event_log& log_;
  std::function<void(const worker_announcement&)> on_confirmed_;
  /// In the order of their first announcements.
  std::vector<std::unique_ptr<candidate>> candidates_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace parsleylead
