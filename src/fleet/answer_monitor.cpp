#include "parsleylead/fleet/answer_monitor.hpp"

#include <algorithm>

namespace parsleylead {
namespace {

using std::chrono::milliseconds;

// A healthy worker on the same host answers within 2 ms. A start without an answer for this long is
// looked up in the lists.
constexpr milliseconds min_start_check_delay{8};
// Due time of an answer to a list request while answers are lost. Each lost one delays the end of a
// run by this time.
constexpr milliseconds short_list_answer_time{15};
// Due time of an answer while none is lost. An overloaded worker may need this long.
constexpr milliseconds full_answer_time{40};
// Answers of a slow worker may take this many times their average before they count as lost.
constexpr double answer_time_margin = 3.0;
// Weight of a new answer in the average. A pause of this process, which delays a few answers, must
// not change the average much.
constexpr double answer_weight = 0.125;
// After this many lost lists in a row the answers may be late instead of lost, so that the full
// time is allowed again. At a loss of one in six this happens to one request in 200.
constexpr int max_short_list_losses = 3;
// A worker that loses one answer in six, and gets five requests a second, loses one in this time
// with a probability of 93 %.
constexpr milliseconds loss_memory{3'000};

} // namespace

void answer_monitor::start_sent(const run_id& run, monotonic_time now) {
  pending_.push_back({run, now + start_check_delay()});
}

void answer_monitor::start_answered(const run_id& run) {
  std::erase_if(pending_, [&](const pending_start& each) { return each.run == run; });
}

bool answer_monitor::awaits_check(const run_id& run) const {
  return std::any_of(pending_.begin(), pending_.end(),
                     [&](const pending_start& each) { return each.run == run; });
}

std::optional<monotonic_time> answer_monitor::next_check() const {
  const auto next = std::min_element(
      pending_.begin(), pending_.end(),
      [](const pending_start& a, const pending_start& b) { return a.check_at < b.check_at; });
  return next != pending_.end() ? std::optional(next->check_at) : std::nullopt;
}

bool answer_monitor::take_due_checks(monotonic_time now) {
  return std::erase_if(pending_, [now](const auto& each) { return each.check_at <= now; }) > 0;
}

void answer_monitor::answered(std::chrono::nanoseconds took) {
  mean_answer_time_ += (took - mean_answer_time_) * answer_weight;
}

void answer_monitor::list_lost(monotonic_time now) {
  ++lists_lost_;
  last_lost_ = now;
}

bool answer_monitor::losing_answers(monotonic_time now) const {
  return last_lost_ && now - *last_lost_ < loss_memory;
}

milliseconds answer_monitor::list_answer_time(monotonic_time now) const {
  if (!losing_answers(now) || lists_lost_ >= max_short_list_losses) {
    return full_answer_time;
  }
  return std::clamp(std::chrono::ceil<milliseconds>(mean_answer_time_ * answer_time_margin),
                    short_list_answer_time, full_answer_time);
}

milliseconds answer_monitor::start_check_delay() const {
  return std::clamp(std::chrono::ceil<milliseconds>(mean_answer_time_ * answer_time_margin),
                    min_start_check_delay, full_answer_time);
}

} // namespace parsleylead
