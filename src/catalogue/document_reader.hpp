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

/// Reads the members of one JSON object and collects every fault. After the first fault the
/// returned values are only placeholders.
class document_reader {
public:
  /// `object` may be anything; a value that is not an object is a fault.
  document_reader(const nlohmann::json& object, std::string path, catalogue_errors& errors);

  std::uint64_t number(const char* name, std::uint64_t least, std::uint64_t most);
  /// As `number`, but the member may be missing.
  std::uint64_t number_or(const char* name, std::uint64_t fallback, std::uint64_t least,
                          std::uint64_t most);
  bool boolean(const char* name);
  /// A name: 1 to 64 letters, digits and ". _ -", beginning with a letter or digit.
  std::string name(const char* name);
  /// One of the given words.
  std::string word(const char* name, const std::vector<std::string_view>& allowed);
  uuid id(const char* name);
  /// Any member, or null if it is missing; a missing one is a fault if `required`.
  const nlohmann::json* member(const char* name, std::string_view allowed, bool required);
  std::string path_of(const char* name) const;
  /// Adds a fault for a member that is present.
  void reject(const char* name, std::string allowed);
  /// Adds a fault for each member that was not asked for. Call it last.
  void refuse_unknown();

private:
  const nlohmann::json& object_;
  std::string path_;
  catalogue_errors& errors_;
  std::set<std::string> known_;
};

/// Parses a document. Refuses large documents and objects with a repeated member, of which a
/// parser would silently keep one.
std::optional<nlohmann::json> parse_document(std::string_view text, bool allow_comments,
                                             catalogue_errors& errors);

} // namespace parsleylead
