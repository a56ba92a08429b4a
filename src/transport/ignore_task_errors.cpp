#include "parsleylead/transport/ignore_task_errors.hpp"

namespace parsleylead {
namespace {

class ignore_errors : public kj::TaskSet::ErrorHandler {
public:
  void taskFailed(kj::Exception&& /*exception*/) override {}
};

} // namespace

kj::TaskSet::ErrorHandler& ignore_task_errors() {
  static ignore_errors handler;
  return handler;
}

} // namespace parsleylead
