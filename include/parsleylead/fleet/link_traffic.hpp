#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "parsleylead/base/time.hpp"
#include "parsleylead/fleet/fleet_frame.hpp"
#include "parsleylead/observe/event_log.hpp"
#include "parsleylead/observe/metrics_registry.hpp"

namespace parsleylead {

/// What a frame is counted as: the largest of its parts decides.
enum class frame_content : std::uint8_t {
  keepalive,
  hello,
  members,
  routes,
  claims,
  orders,
  ends,
  status,
  worker_requests,
};

const char* to_string(frame_content content);

/// Thread-safe.
frame_content content_of(const fleet_frame& frame);

/// Counts the frames and bytes that a process sends on its links, by content. Not thread-safe.
class link_traffic {
public:
  void count(frame_content content, std::size_t bytes);

  /// Writes the traffic since the last report as one log line and updates the metrics
  /// `parsleylead_link_sent_frames_total` and `parsleylead_link_sent_bytes_total`. Nothing is
  /// logged if nothing was sent.
  void report(event_log& log, metrics_registry& metrics, monotonic_time now);

private:
  struct counter {
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
  };
  static constexpr std::size_t contents = 9;

  std::array<counter, contents> totals_{};
  std::array<counter, contents> reported_{};
  monotonic_time last_report_{};
};

} // namespace parsleylead
