#pragma once

#include <deque>
#include <string>
#include <vector>

#include "parsleylead/operate/operations_client.hpp"
#include "parsleylead/operate/publish_change.hpp"

namespace parsleylead {

/// Output of a tool: text for people, or one JSON document.
enum class output_format { text, json };

// Each of the following functions renders one result of parsleyctl, with a final line break.

std::string show_catalogue(const catalogue_replica& replica, output_format format);
std::string show_history(const catalogue_replica& replica, output_format format);
/// Shows for each change the value in force and the new value.
std::string show_plan(const std::vector<catalogue_change>& changes,
                      const catalogue_replica& current, output_format format);
std::string show_results(const std::vector<publish_result>& results, output_format format);
std::string show_wait(const wait_result& result, std::uint64_t offset, output_format format);

/// A page of a process, or the error of reading it.
struct process_page {
  endpoint address;
  absl::StatusOr<std::string> body;
};

/// Shows the pages of processes; as text, one line "a.b: value" for each field of a page.
std::string show_pages(const std::vector<process_page>& pages, output_format format);

/// Shows the explanation that an entry gave, a JSON document: see docs/OPERATIONS.md.
std::string show_explanation(const std::string& explanation, output_format format);

} // namespace parsleylead
