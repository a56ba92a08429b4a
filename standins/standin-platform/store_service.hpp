#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "group_service.hpp"
#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/web/web_server.hpp"

namespace parsleylead::standin {

/// How the stand-in answers requests.
enum class answer_mode : std::uint8_t {
  normal,
  /// Requests are never answered.
  silent,
  /// Requests are refused with 503 and have no effect.
  busy,
  /// Requests are executed, but their connections are closed without a response.
  lost,
};

/// A test double of the platform's store, written from its protocol page: keyed topics with
/// partitions, appends that are conditional on the end offset, the newest record of each key, long
/// polls, and one group. Not thread-safe: use it only on the thread that runs `io`.
class store_service {
public:
  static constexpr std::uint32_t partitions = 8;

  explicit store_service(asio::io_context& io);

  absl::Status listen(const endpoint& address) { return server_.listen(address); }
  void set_mode(answer_mode mode) { mode_ = mode; }
  answer_mode mode() const { return mode_; }
  /// Writes a record as an operator would. An empty value deletes the key.
  void put(const std::string& topic, const std::string& key, const std::string& value);
  /// Moves the group's partitions to other members without notifying the previous holders.
  void reassign_partitions() { group_.reassign_all(std::chrono::steady_clock::now()); }
  /// Deletes the history of all topics; the newest record of each key stays available.
  void trim_history();

private:
  struct record {
    std::string key;
    std::string value;
  };
  struct topic {
    /// Offset of the first of `records`.
    std::uint64_t first_offset = 0;
    std::vector<record> records;
    /// Offset and value of the newest record of each key.
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;

    std::uint64_t end() const { return first_offset + records.size(); }
  };
  struct pending_read {
    std::shared_ptr<web_exchange> exchange;
    std::string topic;
    std::uint64_t offset = 0;
    std::chrono::steady_clock::time_point deadline;
  };

  void handle(const std::shared_ptr<web_exchange>& exchange);
  void handle_group(const std::shared_ptr<web_exchange>& exchange, const std::string& path);
  void append(const std::shared_ptr<web_exchange>& exchange, const std::string& name);
  void read(const pending_read& request, bool may_wait);
  void read_newest(const std::shared_ptr<web_exchange>& exchange, const std::string& name);
  void respond(const std::shared_ptr<web_exchange>& exchange, web_response response);
  void tick();

  web_server server_;
  asio::steady_timer timer_;
  /// By topic and partition, as "topic/number".
  std::map<std::string, topic> topics_;
  group_service group_{partitions};
  std::list<pending_read> pending_reads_;
  /// Kept open, so that the requests get no response.
  std::vector<std::shared_ptr<web_exchange>> unanswered_;
  answer_mode mode_ = answer_mode::normal;
};

} // namespace parsleylead::standin
