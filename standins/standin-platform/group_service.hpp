#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace parsleylead::standin {

/// A test double of the store's groups: shares the partitions of one topic out among the members
/// of one group. A partition moves when its holder has seen that it is to, has left, or has lapsed.
/// Not thread-safe.
class group_service {
public:
  using time_point = std::chrono::steady_clock::time_point;

  explicit group_service(std::uint32_t partitions) : holders_(partitions) {}

  /// Returns the partitions of the member.
  std::vector<std::uint32_t> join(const std::string& member, std::chrono::milliseconds ttl,
                                  std::uint64_t generation, time_point now);
  void leave(const std::string& member, time_point now);
  /// Deals all partitions anew at once, whatever their holders know.
  void reassign_all(time_point now);

  std::uint64_t generation() const { return generation_; }
  const std::vector<std::string>& holders() const { return holders_; }

private:
  void expire(time_point now);
  void share_out();

  std::map<std::string, time_point> members_;
  std::vector<std::string> holders_;
  std::vector<std::string> wanted_;
  std::uint64_t generation_ = 0;
  std::size_t shift_ = 0;
};

} // namespace parsleylead::standin
