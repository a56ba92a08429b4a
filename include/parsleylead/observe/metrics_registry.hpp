#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace parsleylead {

/// Label names and values of one time series, in the order given.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// Counters, gauges and histograms of one process, rendered in the Prometheus text format. Names
/// follow the Prometheus conventions: `parsleylead_<component>_<quantity>_total` for counters,
/// `_seconds` for durations. All methods are thread-safe.
class metrics_registry {
public:
  metrics_registry();
  ~metrics_registry();
  metrics_registry(const metrics_registry&) = delete;
  metrics_registry& operator=(const metrics_registry&) = delete;

  /// Adds to a counter, creating it at 0.
  void add(std::string_view name, const metric_labels& labels, double delta = 1);

  /// Sets a gauge, or a counter whose total is kept elsewhere: names ending in `_total` are
  /// exported as counters.
  void set(std::string_view name, const metric_labels& labels, double value);

  /// Records a duration in a histogram (Boost.Histogram, logarithmic bins from 100 us to 100 s).
  void observe(std::string_view name, const metric_labels& labels, std::chrono::nanoseconds value);

  /// Current value of a counter or gauge; 0 if it does not exist.
  double value(std::string_view name, const metric_labels& labels) const;

  /// All series in the Prometheus text exposition format 0.0.4.
  std::string render() const;

private:
  class state;
  std::unique_ptr<state> state_;
};

} // namespace parsleylead
