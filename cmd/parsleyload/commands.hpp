#pragma once

#include <string>

#include "parsleylead/base/endpoint.hpp"
#include "parsleylead/tool/exit_code.hpp"

namespace parsleylead {

struct submit_options {
  std::string file;
  bool new_key = false;
  bool wait = true;
  bool as_json = false;
};

/// Sends the job in `options.file` and prints the answer.
exit_code submit_command(const endpoint& entry, const submit_options& options);

/// Reads ("GET") or cancels ("DELETE") a job and prints its state.
exit_code job_command(const endpoint& entry, const std::string& method, const std::string& id,
                      bool as_json);

} // namespace parsleylead
