#include "parsleylead/observe/span_writer.hpp"

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace parsleylead {
namespace {

using nlohmann::json;

constexpr int otlp_status_ok = 1;
constexpr int otlp_status_error = 2;

json attribute(const std::string& key, const std::string& value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

/// OTLP/JSON writes 64-bit integers as strings.
std::string unix_nanos(std::chrono::system_clock::time_point time) {
  using std::chrono::nanoseconds;
  return std::to_string(std::chrono::duration_cast<nanoseconds>(time.time_since_epoch()).count());
}

json span_json(const span& value) {
  json attributes = json::array();
  for (const auto& [key, text] : value.attributes) {
    attributes.push_back(attribute(key, text));
  }
  json status = {{"code", value.error.empty() ? otlp_status_ok : otlp_status_error}};
  if (!value.error.empty()) {
    status["message"] = value.error;
  }
  return {{"traceId", value.context.trace_id_text()},
          {"spanId", value.context.span_id_text()},
          {"parentSpanId", value.context.parent_span_id_text()},
          {"name", value.name},
          {"kind", static_cast<int>(value.kind)},
          {"startTimeUnixNano", unix_nanos(value.start)},
          {"endTimeUnixNano", unix_nanos(value.end)},
          {"attributes", std::move(attributes)},
          {"status", std::move(status)}};
}

} // namespace

std::string to_otlp_json(const span& value, const std::string& service) {
  const json scope_spans = {{"scope", {{"name", "parsleylead"}}},
                            {"spans", json::array({span_json(value)})}};
  const json resource = {{"attributes", json::array({attribute("service.name", service)})}};
  const json resource_spans = {{"resource", resource}, {"scopeSpans", json::array({scope_spans})}};
  const json request = {{"resourceSpans", json::array({resource_spans})}};
  return request.dump(-1, ' ', false, json::error_handler_t::replace);
}

class span_writer::state {
public:
  state(const std::string& path, std::string service, std::size_t queue_size)
      : service_(std::move(service)), queue_size_(queue_size), file_(path, std::ios::app) {
    writer_ = std::thread([this] { write_batches(); });
  }

  ~state() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    queue_changed_.notify_one();
    writer_.join();
  }

  state(const state&) = delete;
  state& operator=(const state&) = delete;

  void write(span value) {
    {
      const std::lock_guard lock(mutex_);
      if (queue_.size() >= queue_size_) {
        ++dropped_;
        return;
      }
      queue_.push_back(std::move(value));
    }
    queue_changed_.notify_one();
  }

  std::uint64_t dropped() const { return dropped_; }

private:
  void write_batches() {
    std::vector<span> batch;
    while (wait_for_spans(batch)) {
      for (const auto& record : batch) {
        file_ << to_otlp_json(record, service_) << '\n';
      }
      if (!file_.flush()) {
        dropped_ += batch.size();
        // The error may be temporary, such as a full file system.
        file_.clear();
      }
    }
  }

  /// Waits for queued spans; returns false if the writer is stopping and the queue is empty.
  bool wait_for_spans(std::vector<span>& batch) {
    batch.clear();
    std::unique_lock lock(mutex_);
    queue_changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    batch.swap(queue_);
    return !batch.empty();
  }

  std::string service_;
  std::size_t queue_size_;
  std::ofstream file_;
  std::mutex mutex_;
  std::condition_variable queue_changed_;
  std::vector<span> queue_;
  bool stopping_ = false;
  std::atomic<std::uint64_t> dropped_{0};
  std::thread writer_;
};

span_writer::span_writer(const std::string& path, std::string service, std::size_t queue_size) {
  if (!path.empty()) {
    state_ = std::make_unique<state>(path, std::move(service), queue_size);
  }
}

span_writer::~span_writer() = default;

bool span_writer::enabled() const {
  return state_ != nullptr;
}

void span_writer::write(span value) {
  if (state_) {
    state_->write(std::move(value));
  }
}

std::uint64_t span_writer::dropped() const {
  return state_ ? state_->dropped() : 0;
}

} // namespace parsleylead
