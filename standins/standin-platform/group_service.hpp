#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace parsleylead::standin {

/// A test double of the store's groups: assigns the partitions of one topic to the members of one
/// group. A partition moves to the member it is assigned to once its holder has seen the new
/// generation, has left, or has expired. Not thread-safe.
class group_service {
public:
  using time_point = std::chrono::steady_clock::time_point;

  explicit group_service(std::uint32_t partitions) : holders_(partitions) {}

  /// Adds the member, or renews it for `ttl`, and returns the partitions that it holds.
  /// `generation` is the newest one that the member has seen.
  std::vector<std::uint32_t> join(const std::string& member, std::chrono::milliseconds ttl,
                                  std::uint64_t generation, time_point now);
  void leave(const std::string& member, time_point now);
  /// Moves all partitions to other members at once, without waiting for their holders.
  void reassign_all(time_point now);

  std::uint64_t generation() const { return generation_; }
  const std::vector<std::string>& holders() const { return holders_; }

private:
  void expire(time_point now);
  void assign_partitions();

  std::map<std::string, time_point> members_;
  /// The member that holds each partition.
  std::vector<std::string> holders_;
  /// The member that each partition moves to.
  std::vector<std::string> assigned_;
  std::uint64_t generation_ = 0;
  /// Added to a partition's number in the assignment.
  std::size_t rotation_ = 0;
};

} // namespace parsleylead::standin
