#include "parsleylead/load/load_profile.hpp"

#include <charconv>
#include <cmath>

#include "parsleylead/base/error.hpp"
#include "parsleylead/tool/command_line.hpp"

namespace parsleylead {
namespace {

absl::Status invalid_value(std::string_view name, std::string_view text, std::string_view allowed) {
  return make_error(absl::StatusCode::kInvalidArgument, step::settings, "",
                    std::string(name) + " \"" + std::string(text) + "\": expected " +
                        std::string(allowed));
}

template <class Number>
bool parse_number(std::string_view text, Number& value) {
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

bool is_share(double value) {
  return value >= 0 && value <= 1;
}

absl::Status check_times(const time_distribution& times) {
  const bool ordered = times.min.count() >= 0 && times.min <= times.median &&
                       times.median <= times.max && times.median.count() > 0;
  if (!ordered) {
    return invalid_value("task times", "min, median, max",
                         "0 <= min <= median <= max and median > 0");
  }
  if (!is_share(times.long_share) || times.long_min > times.long_max) {
    return invalid_value("long tasks", "share, min, max", "a share from 0 to 1 and min <= max");
  }
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<size_distribution> parse_sizes(std::string_view text) {
  constexpr auto allowed = "uniform:N or heavy:N with N from 1 to 100000";
  constexpr std::uint32_t max_tasks = 100'000;
  const auto colon = text.find(':');
  const auto name = text.substr(0, colon);
  size_distribution sizes;
  if (colon == std::string_view::npos || !parse_number(text.substr(colon + 1), sizes.max) ||
      sizes.max == 0 || sizes.max > max_tasks || (name != "uniform" && name != "heavy")) {
    return invalid_value("sizes", text, allowed);
  }
  sizes.form =
      name == "heavy" ? size_distribution::shape::heavy_tailed : size_distribution::shape::uniform;
  return sizes;
}

absl::StatusOr<std::vector<kind_share>> parse_kinds(std::string_view text) {
  constexpr auto allowed = "KIND=WEIGHT,... with weights above 0";
  std::vector<kind_share> kinds;
  for (const auto& part : split_list(text)) {
    const auto equals = part.find('=');
    kind_share share{part.substr(0, equals), 1};
    if (equals != std::string::npos &&
        !parse_number(std::string_view(part).substr(equals + 1), share.weight)) {
      return invalid_value("kinds", text, allowed);
    }
    if (share.kind.empty() || !std::isfinite(share.weight) || share.weight <= 0) {
      return invalid_value("kinds", text, allowed);
    }
    kinds.push_back(std::move(share));
  }
  if (kinds.empty()) {
    return invalid_value("kinds", text, allowed);
  }
  return kinds;
}

absl::StatusOr<burst> parse_burst(std::string_view text) {
  const auto at_sign = text.find('@');
  const auto plus_sign = text.find('+', at_sign == std::string_view::npos ? text.size() : at_sign);
  double factor = 0;
  double start = 0;
  double duration = 0;
  const bool valid =
      plus_sign != std::string_view::npos && parse_number(text.substr(0, at_sign), factor) &&
      parse_number(text.substr(at_sign + 1, plus_sign - at_sign - 1), start) &&
      parse_number(text.substr(plus_sign + 1), duration) && std::isfinite(factor) &&
      std::isfinite(start) && std::isfinite(duration) && factor > 0 && start >= 0 && duration > 0;
  if (!valid) {
    return invalid_value("burst", text, "FACTOR@START+DURATION in seconds, for example 5@10+2");
  }
  using seconds = std::chrono::duration<double>;
  return burst{factor, seconds(start), seconds(duration)};
}

absl::Status check(const load_profile& profile) {
  if (!(profile.jobs_per_second > 0) || !std::isfinite(profile.jobs_per_second)) {
    return invalid_value("rate", std::to_string(profile.jobs_per_second),
                         "more than 0 jobs per second");
  }
  if (profile.max_jobs == 0 && !(profile.duration.count() > 0)) {
    return invalid_value("length of the run", "none", "a number of jobs or a duration");
  }
  if (profile.kinds.empty()) {
    return invalid_value("kinds", "", "at least one kind");
  }
  if (!is_share(profile.cancel_share)) {
    return invalid_value("cancel share", std::to_string(profile.cancel_share), "0 to 1");
  }
  if (profile.budget.count() <= 0) {
    return invalid_value("budget", std::to_string(profile.budget.count()), "more than 0 ms");
  }
  return check_times(profile.times);
}

} // namespace parsleylead
