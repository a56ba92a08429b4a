#include "parsleylead/fleet/link_traffic.hpp"

#include <chrono>
#include <string>

namespace parsleylead {

const char* to_string(frame_content content) {
  switch (content) {
  case frame_content::hello:
    return "hello";
  case frame_content::members:
    return "members";
  case frame_content::routes:
    return "routes";
  case frame_content::claims:
    return "claims";
  case frame_content::orders:
    return "orders";
  case frame_content::ends:
    return "ends";
  case frame_content::status:
    return "status";
  case frame_content::worker_requests:
    return "worker_requests";
  default:
    return "keepalive";
  }
}

frame_content content_of(const fleet_frame& frame) {
  if (!frame.routes.empty()) {
    return frame_content::routes;
  }
  if (frame.hello) {
    return frame_content::hello;
  }
  if (!frame.members.empty()) {
    return frame_content::members;
  }
  if (!frame.starts.empty() || !frame.stops.empty() || !frame.moves.empty()) {
    return frame_content::orders;
  }
  if (!frame.ends.empty() || !frame.end_acks.empty()) {
    return frame_content::ends;
  }
  if (!frame.claims.empty()) {
    return frame_content::claims;
  }
  if (!frame.worker_requests.empty() || !frame.session_requests.empty()) {
    return frame_content::worker_requests;
  }
  return frame.status ? frame_content::status : frame_content::keepalive;
}

void link_traffic::count(frame_content content, std::size_t bytes) {
  auto& counted = totals_.at(static_cast<std::size_t>(content));
  ++counted.frames;
  counted.bytes += bytes;
}

void link_traffic::report(event_log& log, metrics_registry& metrics, monotonic_time now) {
  std::string summary;
  std::uint64_t bytes = 0;
  for (std::size_t i = 0; i < contents; ++i) {
    const auto* name = to_string(static_cast<frame_content>(i));
    const auto frames = totals_.at(i).frames - reported_.at(i).frames;
    if (frames == 0) {
      continue;
    }
    const auto sent = totals_.at(i).bytes - reported_.at(i).bytes;
    bytes += sent;
    summary += (summary.empty() ? "" : " ") + std::string(name) + ":" + std::to_string(frames) +
               "/" + std::to_string(sent);
    metrics.set("parsleylead_link_sent_frames_total", {{"content", name}},
                static_cast<double>(totals_.at(i).frames));
    metrics.set("parsleylead_link_sent_bytes_total", {{"content", name}},
                static_cast<double>(totals_.at(i).bytes));
  }
  const auto passed = now - last_report_;
  last_report_ = now;
  reported_ = totals_;
  if (bytes > 0) {
    log.write("link_traffic", "ms", passed / std::chrono::milliseconds(1), "bytes", bytes,
              "frames_and_bytes", summary);
  }
}

} // namespace parsleylead
