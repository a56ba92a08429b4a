#include "parsleylead/observe/metrics_registry.hpp"

#include <algorithm>
#include <atomic>
#include <boost/histogram.hpp>
#include <charconv>
#include <cmath>
#include <mutex>
#include <shared_mutex>
#include <unordered_map>

namespace parsleylead {
namespace {

namespace bh = boost::histogram;

// Four bins per decade; a series then has 26 bucket lines.
constexpr unsigned histogram_bins = 24;
constexpr double histogram_min_seconds = 1e-4;
constexpr double histogram_max_seconds = 100;

enum class series_kind { counter, gauge, histogram };

auto make_bins() {
  return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
      histogram_bins, histogram_min_seconds, histogram_max_seconds));
}

struct duration_histogram {
  std::mutex mutex;
  decltype(make_bins()) bins = make_bins();
  double sum = 0;
};

struct series {
  series_kind kind = series_kind::counter;
  std::string name;
  /// `name="value",...` without braces.
  std::string labels;
  std::atomic<double> value{0};
  std::unique_ptr<duration_histogram> durations;
};

/// Enables map lookup by std::string_view without creating a std::string.
struct text_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>()(text);
  }
};

void append_escaped(std::string& out, std::string_view value) {
  for (const char c : value) {
    if (c == '\n') {
      out += "\\n";
      continue;
    }
    if (c == '\\' || c == '"') {
      out += '\\';
    }
    out += c;
  }
}

void append_labels(std::string& out, const metric_labels& labels) {
  bool first = true;
  for (const auto& [name, value] : labels) {
    if (!first) {
      out += ',';
    }
    first = false;
    out.append(name).append("=\"");
    append_escaped(out, value);
    out += '"';
  }
}

void append_number(std::string& out, double value) {
  if (std::isnan(value)) {
    out += "NaN";
    return;
  }
  if (std::isinf(value)) {
    out += value > 0 ? "+Inf" : "-Inf";
    return;
  }
  std::array<char, 32> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value);
  out.append(digits.data(), end.ptr);
}

std::string format_bound(double seconds) {
  std::array<char, 32> digits{};
  constexpr int significant = 6;
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), seconds,
                                 std::chars_format::general, significant);
  return {digits.data(), end.ptr};
}

void append_sample(std::string& out, std::string_view name, std::string_view suffix,
                   std::string_view labels, double value) {
  out.append(name).append(suffix);
  if (!labels.empty()) {
    out.append("{").append(labels).append("}");
  }
  out += ' ';
  append_number(out, value);
  out += '\n';
}

void append_bucket(std::string& out, const series& metric, std::string_view bound, double count) {
  std::string labels = metric.labels;
  labels.append(labels.empty() ? "" : ",").append("le=\"").append(bound).append("\"");
  append_sample(out, metric.name, "_bucket", labels, count);
}

void append_histogram(std::string& out, const series& metric) {
  const std::lock_guard lock(metric.durations->mutex);
  const auto& bins = metric.durations->bins;
  double cumulative = bins.at(-1);
  append_bucket(out, metric, format_bound(histogram_min_seconds), cumulative);
  for (int i = 0; i < bins.axis().size(); ++i) {
    cumulative += bins.at(i);
    append_bucket(out, metric, format_bound(bins.axis().bin(i).upper()), cumulative);
  }
  cumulative += bins.at(bins.axis().size());
  append_bucket(out, metric, "+Inf", cumulative);
  append_sample(out, metric.name, "_sum", metric.labels, metric.durations->sum);
  append_sample(out, metric.name, "_count", metric.labels, cumulative);
}

/// A counter whose total is kept elsewhere is stored as a gauge, but exported as a counter.
std::string_view type_name(const series& metric) {
  if (metric.kind == series_kind::gauge && metric.name.ends_with("_total")) {
    return "counter";
  }
  switch (metric.kind) {
  case series_kind::counter:
    return "counter";
  case series_kind::gauge:
    return "gauge";
  case series_kind::histogram:
    return "histogram";
  }
  return "untyped";
}

} // namespace

class metrics_registry::state {
public:
  /// Returns the series, creating it if necessary. For an existing series this takes only a shared
  /// lock and does not allocate.
  series& get(std::string_view name, const metric_labels& labels, series_kind kind) {
    const auto& key = make_key(name, labels);
    {
      const std::shared_lock lock(mutex_);
      const auto found = series_.find(std::string_view(key));
      if (found != series_.end()) {
        return *found->second;
      }
    }
    const std::lock_guard lock(mutex_);
    auto& slot = series_[key];
    if (!slot) {
      slot = make_series(name, labels, kind);
    }
    return *slot;
  }

  double value(std::string_view name, const metric_labels& labels) const {
    const auto& key = make_key(name, labels);
    const std::shared_lock lock(mutex_);
    const auto found = series_.find(std::string_view(key));
    return found == series_.end() ? 0 : found->second->value.load(std::memory_order_relaxed);
  }

  std::vector<const series*> sorted() const {
    std::vector<const series*> sorted_series;
    {
      const std::shared_lock lock(mutex_);
      for (const auto& [key, metric] : series_) {
        sorted_series.push_back(metric.get());
      }
    }
    std::sort(sorted_series.begin(), sorted_series.end(), [](const series* a, const series* b) {
      return std::tie(a->name, a->kind, a->labels) < std::tie(b->name, b->kind, b->labels);
    });
    return sorted_series;
  }

private:
  static const std::string& make_key(std::string_view name, const metric_labels& labels) {
    thread_local std::string key;
    key.assign(name);
    key += '{';
    append_labels(key, labels);
    return key;
  }

  static std::unique_ptr<series> make_series(std::string_view name, const metric_labels& labels,
                                             series_kind kind) {
    auto created = std::make_unique<series>();
    created->kind = kind;
    created->name = name;
    append_labels(created->labels, labels);
    if (kind == series_kind::histogram) {
      created->durations = std::make_unique<duration_histogram>();
    }
    return created;
  }

  mutable std::shared_mutex mutex_;
  // Series are never removed, so references to them stay valid.
  std::unordered_map<std::string, std::unique_ptr<series>, text_hash, std::equal_to<>> series_;
};

metrics_registry::metrics_registry() : state_(std::make_unique<state>()) {}
metrics_registry::~metrics_registry() = default;

void metrics_registry::add(std::string_view name, const metric_labels& labels, double delta) {
  state_->get(name, labels, series_kind::counter).value.fetch_add(delta, std::memory_order_relaxed);
}

void metrics_registry::set(std::string_view name, const metric_labels& labels, double value) {
  state_->get(name, labels, series_kind::gauge).value.store(value, std::memory_order_relaxed);
}

void metrics_registry::observe(std::string_view name, const metric_labels& labels,
                               std::chrono::nanoseconds value) {
  const auto& found = state_->get(name, labels, series_kind::histogram);
  if (!found.durations) {
    return; // The name is already used by a counter or gauge.
  }
  auto& durations = *found.durations;
  const double seconds = std::chrono::duration<double>(value).count();
  const std::lock_guard lock(durations.mutex);
  durations.bins(std::max(seconds, std::numeric_limits<double>::min()));
  durations.sum += seconds;
}

double metrics_registry::value(std::string_view name, const metric_labels& labels) const {
  return state_->value(name, labels);
}

std::string metrics_registry::render() const {
  std::string out;
  std::string_view last_name;
  for (const series* metric : state_->sorted()) {
    if (metric->name != last_name) {
      out.append("# TYPE ").append(metric->name).append(" ").append(type_name(*metric));
      out += '\n';
      last_name = metric->name;
    }
    if (metric->kind == series_kind::histogram) {
      append_histogram(out, *metric);
    } else {
      append_sample(out, metric->name, "", metric->labels,
                    metric->value.load(std::memory_order_relaxed));
    }
  }
  return out;
}

} // namespace parsleylead
