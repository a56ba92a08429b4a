#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "parsleylead/catalogue/catalogue_codec.hpp"

namespace parsleylead {

/// Parses an operator's catalogue file: JSON with comments, a list of subjects as `decode_entry`
/// reads them. A duplicate subject is an error. Reports all errors; never throws.
decode_result<std::vector<catalogue_entry>> parse_catalogue_file(std::string_view text);

/// Reads and parses a file. A file that cannot be read is one error with an empty path.
decode_result<std::vector<catalogue_entry>> load_catalogue_file(const std::string& path);

} // namespace parsleylead
