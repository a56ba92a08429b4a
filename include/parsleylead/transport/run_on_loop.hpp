#pragma once

#include <asio/post.hpp>
#include <future>
#include <memory>
#include <type_traits>
#include <utility>

#include "parsleylead/transport/rpc_loop.hpp"

namespace parsleylead {

/// Runs `action` on the loop's thread and returns its result. Blocks, so it must not be
/// called on the loop's thread. Precondition: the loop runs until the action is done.
template <class Action>
auto run_on_loop(rpc_loop& loop, Action action) -> std::invoke_result_t<Action> {
  auto task =
      std::make_shared<std::packaged_task<std::invoke_result_t<Action>()>>(std::move(action));
  auto result = task->get_future();
  asio::post(loop.io(), [task] { (*task)(); });
  return result.get();
}

} // namespace parsleylead
