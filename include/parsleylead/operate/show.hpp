#pragma once

#include <deque>
#include <string>
#include <vector>

#include "parsleylead/operate/operations_client.hpp"
#include "parsleylead/operate/publish_change.hpp"

namespace parsleylead {

/// Whether a tool prints a table for people or one JSON document.
enum class output_format { text, json };

// Each of the following functions renders one result of parsleyctl, with a final line break.

std::string show_catalogue(const catalogue_replica& replica, output_format format);
std::string show_history(const catalogue_replica& replica, output_format format);
/// Changes with the value in force and the new one.
std::string show_plan(const std::vector<catalogue_change>& changes,
                      const catalogue_replica& current, output_format format);
std::string show_results(const std::vector<publish_result>& results, output_format format);
std::string show_wait(const wait_result& result, std::uint64_t offset, output_format format);

/// One page of a process, or why there is none.
struct process_page {
  endpoint address;
  absl::StatusOr<std::string> body;
};

/// Pages of processes; text is the page's fields as "a.b: value".
std::string show_pages(const std::vector<process_page>& pages, output_format format);

} // namespace parsleylead
