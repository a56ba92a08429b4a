#include "parsleylead/platform_log/find_offset.hpp"

#include <algorithm>

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// The offset to find is in this range: all records below `low` are too old, and the record at
// `high` is not, or does not exist. A `high` of 0 means that there is no upper bound yet.
struct offset_range {
  std::uint64_t low = 0;
  std::uint64_t high = 0;
};

absl::StatusOr<std::uint64_t> search(log_service& log, std::string_view stream, wall_time time) {
  auto probe = log.read(stream, 1, 1, milliseconds(0));
  if (!probe.ok()) {
    return probe.status();
  }
  if (probe->records.empty()) {
    return probe->next;
  }
  if (probe->records.front().append_time >= time) {
    return probe->records.front().offset;
  }
  // The end of the stream is unknown, so an exponential search finds an upper bound first. The log
  // may drop records meanwhile; a read below the earliest record then returns a newer one, which
  // narrows the range, too.
  offset_range range{probe->records.front().offset + 1, 0};
  std::uint64_t stride = 1;
  while (range.high == 0 || range.low < range.high) {
    const std::uint64_t target =
        range.high == 0 ? range.low + stride : range.low + (range.high - range.low) / 2;
    probe = log.read(stream, target, 1, milliseconds(0));
    if (!probe.ok()) {
      return probe.status();
    }
    if (probe->records.empty() || probe->records.front().append_time >= time) {
      range.high = target;
      continue;
    }
    range.low = probe->records.front().offset + 1;
    if (range.high != 0) {
      range.high = std::max(range.high, range.low);
    }
    stride *= 2;
  }
  return range.low;
}

} // namespace

absl::StatusOr<std::uint64_t> find_offset(log_service& log, std::string_view stream,
                                          wall_time time) {
  return search(log, stream, time);
}

absl::StatusOr<std::uint64_t> find_end(log_service& log, std::string_view stream) {
  return search(log, stream, wall_time::max());
}

} // namespace parsleylead
