#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "parsleylead/base/endpoint.hpp"

namespace parsleylead {

/// Parses gflags and returns the arguments that are not flags, without the program's name. Prints
/// `help` and exits with 0 for --help; exits with 2 for an unknown flag or a malformed value.
std::vector<std::string> parse_command_line(int argc, char** argv, const std::string& help);

/// Splits at commas; empty parts are dropped.
std::vector<std::string> split_list(std::string_view text);

/// Parses "ip:port,ip:port". Errors: kInvalidArgument for an empty list or a malformed address.
absl::StatusOr<std::vector<endpoint>> parse_endpoints(std::string_view text);

} // namespace parsleylead
