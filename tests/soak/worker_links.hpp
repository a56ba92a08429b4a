#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "parsleylead/base/endpoint.hpp"
#include "standin-relay/relay.hpp"

namespace parsleylead::soak {

/// The links between agents and their workers, each with a relay, and the random faults of these
/// links. A fault says nothing about the runs of a worker, which goes on with them under its lease.
/// Faults of one link overlap. Not thread-safe.
class worker_links {
public:
  /// `log` receives a line about each fault.
  worker_links(asio::io_context& io, std::uint64_t seed,
               std::function<void(const std::string&)> log);

  /// Adds the link to a worker. The agent connects to `listen_address`. Throws asio::system_error
  /// if the relay cannot listen.
  void add(const std::string& worker, const endpoint& listen_address, const endpoint& target);

  /// Refuses connections while the worker itself does not listen.
  void set_listening(std::size_t number, bool listening);

  /// Injects random faults until `stop`, beginning now.
  void start();

  /// Injects no more faults. Those that are in force end within longest_fault.
  void stop() { injecting_ = false; }

  /// Ends all faults of the links; call it longest_fault after `stop`.
  void heal();

  static constexpr std::chrono::milliseconds longest_fault{3'000};

  /// Returns a description of each link that carried no data, or none since `heal`, and logs what
  /// each link carried.
  std::vector<std::string> check();

  /// Number of faults injected. A series counts once.
  std::size_t faults() const { return faults_; }

private:
  /// What new connections meet on a link, see standin::relay_faults.
  enum class condition : std::uint8_t { refused, closed, silent, lost_to_worker, lost_to_agent };
  static constexpr std::size_t conditions = 5;

  struct link {
    std::string worker;
    std::unique_ptr<standin::relay> relay;
    /// Number of faults that impose each condition now.
    std::array<int, conditions> active{};
    bool listening = true;
    std::uint64_t bytes_at_heal = 0;
  };

  void inject();
  void inject_at(link& target);
  /// Refuses new connections for `time`, several times one after the other.
  void refuse_repeatedly(link& target, int times);
  /// Breaks open connections several times one after the other.
  void reset_repeatedly(link& target, int times);
  /// Imposes the condition on new connections for `time`.
  void impose(link& target, condition cause, std::chrono::milliseconds time);
  static void apply(link& target);
  void schedule(std::chrono::milliseconds delay, std::function<void()> action);
  int random_below(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random_); }
  /// Half of the faults are short: they are over before a lease lapses.
  std::chrono::milliseconds random_time();

  asio::io_context& io_;
  std::mt19937_64 random_;
  std::function<void(const std::string&)> log_;
  std::vector<std::unique_ptr<link>> links_;
  bool injecting_ = false;
  std::size_t faults_ = 0;
};

} // namespace parsleylead::soak
