#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "parsleylead/base/uuid.hpp"
#include "parsleylead/catalogue/catalogue_codec.hpp"

namespace parsleylead {

using catalogue_errors = std::vector<catalogue_error>;

/// Reads the members of a JSON object and collects all errors. After an error the returned values
/// are placeholders.
class document_reader {
public:
  /// A value that is not an object is an error. The references must outlive the reader.
  document_reader(const nlohmann::json& object, std::string path, catalogue_errors& errors);

  /// A whole number in the inclusive range from `min` to `max`.
  std::uint64_t number(const char* name, std::uint64_t min, std::uint64_t max);
  /// As `number`, but returns `fallback` if the member is missing.
  std::uint64_t number_or(const char* name, std::uint64_t fallback, std::uint64_t min,
                          std::uint64_t max);
  bool boolean(const char* name);
  /// A name: 1 to 64 letters, digits and ". _ -", beginning with a letter or digit.
  std::string name(const char* name);
  /// One of the allowed texts; empty after an error.
  std::string choice(const char* name, const std::vector<std::string_view>& allowed);
  uuid id(const char* name);
  /// A member of any type, or null if it is missing, which is an error if `required`. `allowed`
  /// describes the allowed values in that error.
  const nlohmann::json* member(const char* name, std::string_view allowed, bool required);
  std::string path_of(const char* name) const;
  /// Adds an error for a member that is present.
  void reject(const char* name, std::string allowed);
  /// Adds an error for each member that was not read. Call it last.
  void reject_unknown();

private:
  const nlohmann::json& object_;
  std::string path_;
  catalogue_errors& errors_;
  std::set<std::string> known_members_;
};

/// Parses a JSON document and checks its size and depth. A repeated member of an object is an
/// error, because the JSON parser would silently keep only one of the two.
std::optional<nlohmann::json> parse_document(std::string_view text, bool allow_comments,
                                             catalogue_errors& errors);

} // namespace parsleylead
