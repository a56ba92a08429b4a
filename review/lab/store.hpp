#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "../../standins/standin-platform/group_service.hpp"
#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/web/web_server.hpp"

namespace parsleylead::review {

/// Limits of the store, as the settings of the processes name them.
struct store_limits {
  std::uint32_t partitions = 16;
  std::size_t record_bytes = 262'144;
  std::size_t call_bytes = 2'097'152;
  std::chrono::seconds history{20};
};

/// The part of the platform's store that the system uses: topics with keys, conditional appends,
/// reads, the newest record of each key, and one group. A call over the limits is refused with 413
/// and has no effect. Used on the loop's thread only.
class store {
public:
  store(asio::io_context& io, const store_limits& limits);

  absl::Status listen(const endpoint& address) { return server_.listen(address); }
  /// Writes a record as an operator would.
  void put(const std::string& topic, const std::string& key, const std::string& value);
  /// Deals all partitions of the group anew, without a request of a member.
  void reassign_partitions() { group_.reassign_all(std::chrono::steady_clock::now()); }
  /// Number of appends that were refused because of their size.
  std::size_t refused_appends() const { return refused_appends_; }

private:
  using time_point = std::chrono::steady_clock::time_point;
  struct record {
    std::string key;
    std::string value;
    time_point written;
  };
  struct partition {
    std::uint64_t first_offset = 0;
    std::deque<record> records;
    /// Offset and value of the newest record of each key.
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;

    std::uint64_t end() const { return first_offset + records.size(); }
  };
  struct pending_read {
    std::shared_ptr<web_exchange> exchange;
    std::string name;
    std::uint64_t offset = 0;
    time_point deadline;
  };

  void handle(const std::shared_ptr<web_exchange>& exchange);
  void handle_group(const std::shared_ptr<web_exchange>& exchange, const std::string& path);
  void append(const std::shared_ptr<web_exchange>& exchange, const std::string& name);
  void read_newest(const std::shared_ptr<web_exchange>& exchange, const std::string& name);
  void read(const pending_read& request);
  void write(partition& to, std::string key, std::string value);
  void tick();

  store_limits limits_;
  web_server server_;
  asio::steady_timer timer_;
  /// By topic and number, as "topic/number".
  std::map<std::string, partition> partitions_;
  standin::group_service group_;
  std::list<pending_read> pending_reads_;
  std::size_t refused_appends_ = 0;
};

} // namespace parsleylead::review
