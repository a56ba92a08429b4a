#include "parsleylead/tool/command_line.hpp"

#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

#include "parsleylead/base/error.hpp"
#include "parsleylead/tool/exit_code.hpp"

DECLARE_bool(help);

namespace google {
// Exported by gflags but not declared in its headers. The default exits with status 1.
extern void (*gflags_exitfunc)(int);
} // namespace google

namespace parsleylead {

std::vector<std::string> parse_command_line(int argc, char** argv, const std::string& help) {
  google::gflags_exitfunc = [](int) { std::exit(static_cast<int>(exit_code::usage)); };
  gflags::SetUsageMessage(help);
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  if (FLAGS_help) {
    std::cout << help;
    std::exit(static_cast<int>(exit_code::success));
  }
  return {argv + 1, argv + argc};
}

std::vector<std::string> split_list(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const auto comma = text.find(',');
    const auto part = text.substr(0, comma);
    if (!part.empty()) {
      parts.emplace_back(part);
    }
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
  }
  return parts;
}

absl::StatusOr<std::vector<endpoint>> parse_endpoints(std::string_view text) {
  std::vector<endpoint> endpoints;
  for (const auto& part : split_list(text)) {
    auto parsed = parse_endpoint(part);
    if (!parsed.ok()) {
      return parsed.status();
    }
    endpoints.push_back(*std::move(parsed));
  }
  if (endpoints.empty()) {
    return make_error(absl::StatusCode::kInvalidArgument, step::settings, "",
                      "expected a list of addresses ip:port,ip:port");
  }
  return endpoints;
}

} // namespace parsleylead
