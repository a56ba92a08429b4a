#include "parsleylead/platform_log/http_log_service.hpp"

#include <httplib.h>

#include <algorithm>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>

#include "parsleylead/base/error.hpp"

namespace parsleylead {
namespace {

// End of the year 9999. Later times could overflow when a duration is added.
constexpr wall_time max_append_time{std::chrono::milliseconds(253'402'300'799'999)};

using json = nlohmann::json;

// Idle connections beyond this number are closed.
constexpr std::size_t max_idle_connections = 8;

std::string records_path(std::string_view stream) {
  return "/v1/streams/" + std::string(stream) + "/records";
}

absl::Status transport_error(httplib::Error error, step operation, const std::string& peer) {
  const bool timed_out = error == httplib::Error::Read || error == httplib::Error::Write;
  const auto code =
      timed_out ? absl::StatusCode::kDeadlineExceeded : absl::StatusCode::kUnavailable;
  return make_error(code, operation, peer,
                    "The log did not answer: " + httplib::to_string(error) + ".");
}

absl::Status answer_error(const httplib::Response& response, step operation,
                          const std::string& peer) {
  constexpr std::size_t max_quoted_bytes = 200;
  return make_error(absl::StatusCode::kUnavailable, operation, peer,
                    "The log answered with status " + std::to_string(response.status) + ": " +
                        response.body.substr(0, max_quoted_bytes));
}

absl::Status malformed_answer(step operation, const std::string& peer) {
  return make_error(absl::StatusCode::kUnavailable, operation, peer,
                    "The log's answer is malformed.");
}

std::optional<std::uint64_t> unsigned_field(const json& object, const char* name) {
  const auto field = object.find(name);
  if (field == object.end() || !field->is_number_unsigned()) {
    return std::nullopt;
  }
  return field->get<std::uint64_t>();
}

std::optional<log_record> parse_record(const json& object) {
  if (!object.is_object()) {
    return std::nullopt;
  }
  const auto offset = unsigned_field(object, "offset");
  const auto time = unsigned_field(object, "time_ms");
  const auto payload = object.find("payload");
  if (!offset || !time || payload == object.end() || !payload->is_string()) {
    return std::nullopt;
  }
  if (*time > static_cast<std::uint64_t>(max_append_time.time_since_epoch().count())) {
    return std::nullopt;
  }
  return log_record{*offset, wall_time(std::chrono::milliseconds(static_cast<std::int64_t>(*time))),
                    payload->get<std::string>()};
}

// Checks that offsets are contiguous and that `next` follows the last record. Other answers could
// make a replica skip, repeat or reorder records.
bool is_consistent(const log_read_result& answer, std::uint64_t from) {
  const auto first = std::max({from, answer.earliest, std::uint64_t{1}});
  if (answer.records.empty()) {
    return answer.next <= first;
  }
  if (answer.records.front().offset < first) {
    return false;
  }
  auto expected = answer.records.front().offset;
  for (const log_record& record : answer.records) {
    if (record.offset != expected) {
      return false;
    }
    ++expected;
  }
  // If the offsets wrapped around, a replica would start from the beginning.
  return answer.next == expected && expected > first;
}

std::optional<log_read_result> parse_read_answer(const std::string& body) {
  const json answer = json::parse(body, nullptr, false);
  if (!answer.is_object()) {
    return std::nullopt;
  }
  const auto earliest = unsigned_field(answer, "earliest");
  const auto next = unsigned_field(answer, "next");
  const auto records = answer.find("records");
  if (!earliest || !next || records == answer.end() || !records->is_array()) {
    return std::nullopt;
  }
  log_read_result result{*earliest, *next, {}};
  result.records.reserve(records->size());
  for (const json& item : *records) {
    auto record = parse_record(item);
    if (!record) {
      return std::nullopt;
    }
    result.records.push_back(std::move(*record));
  }
  return result;
}

} // namespace

class http_log_service::connection_pool {
public:
  explicit connection_pool(log_service_settings settings)
      : settings_(std::move(settings)), peer_(to_string(settings_.address)) {}

  const std::string& peer() const { return peer_; }

  /// Returns a connection for one call, or null after `close`.
  std::unique_ptr<httplib::Client> acquire(std::chrono::milliseconds extra_wait) {
    std::unique_ptr<httplib::Client> client;
    const std::lock_guard lock(mutex_);
    if (closed_) {
      return nullptr;
    }
    if (idle_.empty()) {
      client = std::make_unique<httplib::Client>(settings_.address.ip, settings_.address.port);
      client->set_keep_alive(true);
      client->set_tcp_nodelay(true);
      client->set_connection_timeout(settings_.connect_timeout);
      client->set_write_timeout(settings_.request_timeout);
    } else {
      client = std::move(idle_.back());
      idle_.pop_back();
    }
    client->set_read_timeout(settings_.request_timeout + extra_wait);
    busy_.insert(client.get());
    return client;
  }

  void release(std::unique_ptr<httplib::Client> client) {
    const std::lock_guard lock(mutex_);
    busy_.erase(client.get());
    if (!closed_ && idle_.size() < max_idle_connections) {
      idle_.push_back(std::move(client));
    }
  }

  void close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    idle_.clear();
    // `stop` only shuts down the sockets; the calls then return and release their clients.
    for (httplib::Client* client : busy_) {
      client->stop();
    }
  }

private:
  log_service_settings settings_;
  std::string peer_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<httplib::Client>> idle_;
  std::set<httplib::Client*> busy_;
  bool closed_ = false;
};

http_log_service::http_log_service(log_service_settings settings)
    : pool_(std::make_unique<connection_pool>(std::move(settings))) {}

http_log_service::~http_log_service() = default;

void http_log_service::close() {
  pool_->close();
}

absl::StatusOr<std::uint64_t> http_log_service::append(std::string_view stream,
                                                       std::string_view payload) {
  auto client = pool_->acquire(std::chrono::milliseconds(0));
  if (!client) {
    return make_error(absl::StatusCode::kCancelled, step::log_append, pool_->peer(), "Closed.");
  }
  const auto result =
      client->Post(records_path(stream), std::string(payload), "application/octet-stream");
  pool_->release(std::move(client));
  if (!result) {
    return transport_error(result.error(), step::log_append, pool_->peer());
  }
  if (result->status != 200) {
    return answer_error(*result, step::log_append, pool_->peer());
  }
  const json answer = json::parse(result->body, nullptr, false);
  const auto offset = answer.is_object() ? unsigned_field(answer, "offset") : std::nullopt;
  if (!offset || *offset == 0) {
    return malformed_answer(step::log_append, pool_->peer());
  }
  return *offset;
}

absl::StatusOr<log_read_result> http_log_service::read(std::string_view stream, std::uint64_t from,
                                                       std::size_t max_records,
                                                       std::chrono::milliseconds max_wait) {
  auto client = pool_->acquire(max_wait);
  if (!client) {
    return make_error(absl::StatusCode::kCancelled, step::log_read, pool_->peer(), "Closed.");
  }
  const std::string path = records_path(stream) + "?from=" + std::to_string(from) +
                           "&max=" + std::to_string(max_records) +
                           "&wait_ms=" + std::to_string(max_wait.count());
  const auto result = client->Get(path);
  pool_->release(std::move(client));
  if (!result) {
    return transport_error(result.error(), step::log_read, pool_->peer());
  }
  if (result->status != 200) {
    return answer_error(*result, step::log_read, pool_->peer());
  }
  auto answer = parse_read_answer(result->body);
  if (!answer || !is_consistent(*answer, from)) {
    return malformed_answer(step::log_read, pool_->peer());
  }
  return std::move(*answer);
}

} // namespace parsleylead
