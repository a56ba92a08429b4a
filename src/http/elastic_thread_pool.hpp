#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <httplib.h>

namespace parsleylead {

/// A task queue for cpp-httplib that starts threads on demand, up to a maximum. A fixed pool would
/// either have hundreds of idle threads or let persistent connections block new ones.
class elastic_thread_pool : public httplib::TaskQueue {
public:
  explicit elastic_thread_pool(std::size_t max_threads) : max_threads_(max_threads) {}

  void enqueue(std::function<void()> task) override;
  void shutdown() override;

private:
  void run_tasks();

  std::mutex mutex_;
  std::condition_variable tasks_changed_;
  std::deque<std::function<void()>> tasks_;
  std::vector<std::thread> threads_;
  std::size_t idle_threads_ = 0;
  std::size_t max_threads_;
  bool stopping_ = false;
};

} // namespace parsleylead
