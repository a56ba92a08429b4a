#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/web/web_client.hpp"
#include "soak_judge.hpp"

namespace parsleylead::soak {

/// Sends agents announcements that are not their workers'. Records a violation for each one that an
/// agent accepts. Not thread-safe.
class foreign_writer {
public:
  foreign_writer(asio::io_context& io, std::uint64_t seed, soak_judge& judge);

  void add_agent(const endpoint& announcements);
  /// Sends one announcement to a random agent: of another id, or of the agent's worker with an odd
  /// field. `worker_ids` are the current ids, in the order of the agents.
  void send(const std::vector<std::string>& worker_ids);

  std::size_t refused() const { return refused_; }

private:
  std::size_t below(std::size_t bound) { return random_() % bound; }

  asio::io_context& io_;
  std::mt19937_64 random_;
  soak_judge& judge_;
  std::vector<std::unique_ptr<web_client>> agents_;
  std::size_t refused_ = 0;
};

} // namespace parsleylead::soak
