#include "parsleylead/operate/catalogue_file.hpp"

#include <fstream>
#include <set>
#include <sstream>

#include "../catalogue/document_reader.hpp"

namespace parsleylead {

decode_result<std::vector<catalogue_entry>> parse_catalogue_file(std::string_view text) {
  decode_result<std::vector<catalogue_entry>> result;
  const auto document = parse_document(text, true, result.errors);
  if (document && !document->is_array()) {
    result.errors.push_back({"", "", "a list of subjects"});
  }
  if (!document || !document->is_array()) {
    return result;
  }
  std::vector<catalogue_entry> entries;
  std::set<catalogue_subject> seen;
  for (std::size_t i = 0; i < document->size(); ++i) {
    const std::string element_path = "[" + std::to_string(i) + "]";
    auto entry =
        decode_entry((*document)[i].dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    for (auto& error : entry.errors) {
      error.path = error.path.empty() ? element_path : element_path + "." + error.path;
      result.errors.push_back(std::move(error));
    }
    if (!entry.value) {
      continue;
    }
    if (!seen.insert(entry.value->subject).second) {
      result.errors.push_back({element_path, to_string(entry.value->subject), "each subject once"});
    }
    entries.push_back(*std::move(entry.value));
  }
  if (result.errors.empty()) {
    result.value = std::move(entries);
  }
  return result;
}

decode_result<std::vector<catalogue_entry>> load_catalogue_file(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream content;
  if (!file || !(content << file.rdbuf())) {
    return {std::nullopt, {{"", "file \"" + path + "\"", "a readable file that is not empty"}}};
  }
  return parse_catalogue_file(content.str());
}

} // namespace parsleylead
