#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <iterator>

#include "parsleylead/base/error.hpp"
#include "parsleylead/operate/catalogue_file.hpp"
#include "parsleylead/operate/plan_changes.hpp"
#include "parsleylead/operate/show.hpp"
#include "parsleylead/platform_log/http_log_service.hpp"
#include "parsleylead/tool/command_line.hpp"
#include "parsleylead/tool/exit_code.hpp"
#include "parsleylead/tool/http_client.hpp"

DEFINE_string(log, "", "Address ip:port of the platform's log");
DEFINE_string(entries, "", "Operations addresses ip:port,... of entries or agents");
DEFINE_string(operator, "", "Operator name that is recorded in each change; default: $USER");
DEFINE_bool(prune, false, "Also remove kinds and owners that are not in the file (publish, diff)");
DEFINE_uint64(offset, 0, "Offset to wait for (wait)");
DEFINE_double(timeout_s, 10, "Timeout in seconds (wait, and changes whose append got no reply)");
DEFINE_string(entry, "", "Metrics address ip:port of an entry (explain)");
DEFINE_string(host, "", "Host header of the request (explain)");
DEFINE_string(path, "", "Path of the request (explain)");
DEFINE_bool(json, false, "Print JSON");

namespace parsleylead {
namespace {

constexpr auto help = R"(parsleyctl publishes changes of the catalogue and shows the system's state.

Usage:
  parsleyctl validate FILE
      Checks a catalogue file: JSON with comments, a list of subjects such as
      {"subject":"kind","name":"quote","value":{"owner":"desk","class":"urgent","idempotent":true,
       "limits":{"in_flight":64,"queue":2000,"rate_per_s":500,"job_tasks":370,"budget_ms":10000}}}
  parsleyctl publish FILE --log ip:port [--prune] [--operator NAME] [--timeout_s S]
      Publishes one change for each subject that differs and shows the results. Subjects that are
      not in the file stay in force; with --prune, such kinds and owners are removed.
  parsleyctl diff FILE --log ip:port [--prune]
      Shows what publish would change.
  parsleyctl show --log ip:port
      Shows the catalogue in force.
  parsleyctl history --log ip:port
      Shows the last 1000 changes that the log still holds, with their results.
  parsleyctl wait --entries ip:port,... --offset N [--timeout_s S]
      Waits until each process has applied the catalogue up to the offset, and names those that
      have not.
  parsleyctl drain NAME --log ip:port
  parsleyctl undrain NAME --log ip:port
      Drains an entry or agent, or lifts its drain.
  parsleyctl account --entries ip:port,...
  parsleyctl members --entries ip:port,...
      Shows the page of each process.
  parsleyctl explain FILE --entry ip:port --host HOST --path PATH
      Shows where the job of FILE, the body of a submission, would go now if it were posted to PATH
      at HOST, and why. Submits nothing.

--json prints JSON. --log is the address of the platform's log; --entries are operations addresses.
Exit codes: 0 success; 1 refused or conflict; 2 usage error; 3 unreachable; 4 timed out.
)";

using argument_list = std::vector<std::string>;

output_format format() {
  return FLAGS_json ? output_format::json : output_format::text;
}

std::chrono::milliseconds timeout() {
  return std::chrono::round<std::chrono::milliseconds>(
      std::chrono::duration<double>(FLAGS_timeout_s));
}

exit_code usage_error(const std::string& message) {
  std::cerr << "parsleyctl: " << message << " (see --help)\n";
  return exit_code::usage;
}

exit_code report_error(const absl::Status& status) {
  std::cerr << "parsleyctl: " << describe(status) << '\n';
  switch (status.code()) {
  case absl::StatusCode::kDeadlineExceeded:
    return exit_code::timed_out;
  case absl::StatusCode::kFailedPrecondition:
  case absl::StatusCode::kInternal:
    return exit_code::refused;
  default:
    return exit_code::unreachable;
  }
}

std::string operator_name() {
  if (!FLAGS_operator.empty()) {
    return FLAGS_operator;
  }
  const char* user = std::getenv("USER");
  return user == nullptr || *user == '\0' ? "operator" : user;
}

std::optional<std::vector<catalogue_entry>> load_file(const std::string& path) {
  auto file = load_catalogue_file(path);
  for (const auto& error : file.errors) {
    std::cerr << "parsleyctl: " << to_string(error) << '\n';
  }
  return std::move(file.value);
}

/// Checks that replicas can decode the change; they would count it as corrupt otherwise.
bool is_valid(const catalogue_change& change) {
  const auto checked = decode_change(encode_change(change));
  for (const auto& error : checked.errors) {
    std::cerr << "parsleyctl: " << to_string(error) << '\n';
  }
  return checked.value.has_value();
}

exit_code publish(log_service& log, catalogue_replica& replica,
                  const std::vector<catalogue_change>& changes) {
  std::vector<publish_result> results;
  auto code = exit_code::success;
  for (const auto& change : changes) {
    if (!is_valid(change)) {
      code = exit_code::usage;
      break;
    }
    auto result = publish_change(log, replica, change, {timeout()});
    if (!result.ok()) {
      code = report_error(result.status());
      break;
    }
    const bool in_force =
        result->result == change_result::accepted || result->result == change_result::duplicate;
    code = in_force ? code : exit_code::refused;
    results.push_back(*std::move(result));
  }
  // show_results prints "no difference" for an empty list, which is wrong if a change failed.
  if (changes.empty() || !results.empty()) {
    std::cout << show_results(results, format());
  }
  return code;
}

absent_subjects absent() {
  return FLAGS_prune ? absent_subjects::remove : absent_subjects::keep;
}

exit_code validate_command(const std::string& path) {
  const auto file = load_file(path);
  if (!file) {
    return exit_code::refused;
  }
  std::cout << (FLAGS_json ? "{\"valid\":true,\"subjects\":" + std::to_string(file->size()) + "}\n"
                           : "valid: " + std::to_string(file->size()) + " subjects\n");
  return exit_code::success;
}

exit_code publish_or_diff(const std::string& command, const std::string& path, log_service& log,
                          catalogue_replica& replica) {
  const auto file = load_file(path);
  if (!file) {
    return exit_code::refused;
  }
  const auto changes = plan_changes(*file, replica, absent(), operator_name());
  if (command == "publish") {
    return publish(log, replica, changes);
  }
  std::cout << show_plan(changes, replica, format());
  return exit_code::success;
}

exit_code log_command(const argument_list& arguments) {
  const auto address = parse_endpoint(FLAGS_log);
  if (!address.ok()) {
    return usage_error("--log: " + std::string(address.status().message()));
  }
  log_service_settings settings;
  settings.address = *address;
  http_log_service log(settings);
  auto replica = read_catalogue(log);
  if (!replica.ok()) {
    return report_error(replica.status());
  }
  const auto& command = arguments.front();
  if (command == "show" || command == "history") {
    std::cout << (command == "show" ? show_catalogue(*replica, format())
                                    : show_history(*replica, format()));
    return exit_code::success;
  }
  if (command == "publish" || command == "diff") {
    return publish_or_diff(command, arguments.at(1), log, *replica);
  }
  const auto change = plan_drain(arguments.at(1), command == "drain", *replica, operator_name());
  return publish(log, *replica,
                 change ? std::vector<catalogue_change>{*change} : std::vector<catalogue_change>{});
}

exit_code wait_command(const std::vector<endpoint>& processes) {
  constexpr std::chrono::milliseconds page_timeout{1000};
  const auto result =
      wait_for_offset(processes, make_page_reader(page_timeout), {FLAGS_offset, timeout()});
  std::cout << show_wait(result, FLAGS_offset, format());
  if (!result.reached) {
    return exit_code::timed_out;
  }
  return result.diverged.empty() ? exit_code::success : exit_code::refused;
}

exit_code pages_command(const std::vector<endpoint>& processes, const std::string& path) {
  constexpr std::chrono::milliseconds page_timeout{3000};
  const auto read = make_page_reader(page_timeout);
  std::vector<process_page> pages;
  auto code = exit_code::success;
  for (const auto& process : processes) {
    pages.push_back({process, read(process, path)});
    if (!pages.back().body.ok()) {
      code = exit_code::unreachable;
    }
  }
  std::cout << show_pages(pages, format());
  return code;
}

exit_code entries_command(const std::string& command) {
  const auto processes = parse_endpoints(FLAGS_entries);
  if (!processes.ok()) {
    return usage_error("--entries: " + std::string(processes.status().message()));
  }
  if (command != "wait") {
    return pages_command(*processes, "/v1/" + command);
  }
  if (FLAGS_offset == 0 || !(FLAGS_timeout_s >= 0)) {
    return usage_error("wait needs --offset above 0 and --timeout_s of at least 0");
  }
  return wait_command(*processes);
}

exit_code explain_command(const std::string& path) {
  const auto entry = parse_endpoint(FLAGS_entry);
  if (!entry.ok()) {
    return usage_error("--entry: " + std::string(entry.status().message()));
  }
  std::ifstream file(path);
  const std::string submission{std::istreambuf_iterator<char>(file), {}};
  const auto request = make_explanation_request(FLAGS_host, FLAGS_path, submission);
  if (!request.ok()) {
    return usage_error(path + ": " + std::string(request.status().message()));
  }
  http_client client(*entry);
  const auto response = client.send({"POST", "/explain", *request, {}});
  if (!response.ok()) {
    return report_error(response.status());
  }
  if (response->status != 200) {
    std::cerr << "parsleyctl: the entry responded with " << response->status << ": "
              << response->body << '\n';
    return exit_code::refused;
  }
  std::cout << show_explanation(response->body, format());
  return exit_code::success;
}

bool is_one_of(const std::string& name, const std::vector<std::string_view>& names) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

exit_code dispatch(const argument_list& arguments) {
  if (arguments.empty()) {
    return usage_error("expected a command");
  }
  const auto& command = arguments.front();
  const bool takes_argument =
      is_one_of(command, {"validate", "publish", "diff", "drain", "undrain", "explain"});
  const bool takes_none = is_one_of(command, {"show", "history", "wait", "account", "members"});
  if (!takes_argument && !takes_none) {
    return usage_error("unknown command \"" + command + "\"");
  }
  if (arguments.size() != (takes_argument ? 2U : 1U)) {
    return usage_error(command + (takes_argument ? " needs one argument" : " takes no argument"));
  }
  if (command == "validate") {
    return validate_command(arguments.at(1));
  }
  if (command == "explain") {
    return explain_command(arguments.at(1));
  }
  if (is_one_of(command, {"wait", "account", "members"})) {
    return entries_command(command);
  }
  return log_command(arguments);
}

} // namespace
} // namespace parsleylead

int main(int argc, char** argv) {
  const auto arguments = parsleylead::parse_command_line(argc, argv, parsleylead::help);
  return static_cast<int>(parsleylead::dispatch(arguments));
}
