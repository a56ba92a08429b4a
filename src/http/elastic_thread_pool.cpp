#include "elastic_thread_pool.hpp"

namespace parsleylead {

void elastic_thread_pool::enqueue(std::function<void()> task) {
  const std::lock_guard lock(mutex_);
  tasks_.push_back(std::move(task));
  if (tasks_.size() > idle_threads_ && threads_.size() < max_threads_) {
    threads_.emplace_back([this] { run_tasks(); });
  }
  tasks_changed_.notify_one();
}

void elastic_thread_pool::shutdown() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  tasks_changed_.notify_all();
  for (auto& thread : threads_) {
    thread.join();
  }
}

void elastic_thread_pool::run_tasks() {
  std::unique_lock lock(mutex_);
  while (true) {
    ++idle_threads_;
    tasks_changed_.wait(lock, [this] { return !tasks_.empty() || stopping_; });
    --idle_threads_;
    if (tasks_.empty()) {
      return;
    }
    auto task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

} // namespace parsleylead
