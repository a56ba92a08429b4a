#pragma once

#include <kj/async.h>

namespace parsleylead {

/// Error handler for task sets whose tasks report failures themselves, or whose only failure is a
/// broken connection, which is expected. The handler has static storage duration.
kj::TaskSet::ErrorHandler& ignore_task_errors();

} // namespace parsleylead
