#include "commands.hpp"

#include <iostream>

#include "parsleylead/base/error.hpp"
#include "parsleylead/base/uuid.hpp"
#include "parsleylead/load/job_file.hpp"
#include "parsleylead/load/validate_answer.hpp"
#include "parsleylead/tool/http_client.hpp"

namespace parsleylead {
namespace {

// Added to the job's time budget: the entry answers by the deadline, and the answer takes a round
// trip.
constexpr std::chrono::seconds reply_margin{10};

void print_answer(const std::string& body, bool as_json) {
  std::cout << (as_json ? body + "\n" : describe_answer(body));
}

exit_code exit_code_for(const std::string& body) {
  const auto state = state_of(body);
  return state == "complete" || state == "open" ? exit_code::success : exit_code::refused;
}

} // namespace

exit_code submit_command(const endpoint& entry, const submit_options& options) {
  auto job = load_job_file(options.file);
  if (!job.ok()) {
    std::cerr << "parsleyload: " << job.status().message() << '\n';
    return exit_code::usage;
  }
  if (options.new_key) {
    job->set_key(uuid::make_v7(wall_now()).to_string());
  }
  http_client client(entry, {std::chrono::seconds(2), job->budget() + reply_margin});
  const auto response = client.send({"POST", "/v1/jobs", job->body(options.wait), {}});
  if (!response.ok()) {
    std::cerr << "parsleyload: " << describe(response.status()) << '\n';
    if (response.status().code() == absl::StatusCode::kAborted) {
      std::cerr << "parsleyload: the job may have run";
      std::cerr << (job->key().empty() ? "" : "; its key is " + job->key()) << '\n';
    }
    return exit_code::unreachable;
  }
  print_answer(response->body, options.as_json);
  return exit_code_for(response->body);
}

exit_code job_command(const endpoint& entry, const std::string& method, const std::string& id,
                      bool as_json) {
  if (!uuid::parse(id)) {
    std::cerr << "parsleyload: \"" << id << "\" is not the ID of a job\n";
    return exit_code::usage;
  }
  const auto response = http_client(entry).send({method, "/v1/jobs/" + id, "", {}});
  if (!response.ok()) {
    std::cerr << "parsleyload: " << describe(response.status()) << '\n';
    return exit_code::unreachable;
  }
  print_answer(response->body, as_json);
  if (method == "DELETE") {
    return state_of(response->body) == "cancelled" ? exit_code::success : exit_code::refused;
  }
  return exit_code_for(response->body);
}

} // namespace parsleylead
