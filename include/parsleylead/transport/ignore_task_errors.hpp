#pragma once

#include <kj/async.h>

namespace parsleylead {

/// Error handler for task sets whose tasks report failures themselves, or whose only failure is a
/// broken connection, which is an ordinary event. Valid for the life of the process.
kj::TaskSet::ErrorHandler& ignore_task_errors();

} // namespace parsleylead
