#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "parsleylead/base/uuid.hpp"
#include "parsleylead/catalogue/catalogue_entry.hpp"

namespace parsleylead {

/// A change that an operator publishes.
struct catalogue_change {
  /// Identifies the change across repeated appends.
  uuid id;
  std::string operator_name;
  /// Revision of the subject that the operator has seen; 0 if the subject did not exist.
  std::uint64_t base_revision = 0;
  catalogue_subject subject;
  /// The new value; nothing removes the subject. The alternative matches the subject's type.
  std::optional<catalogue_value> value;

  bool operator==(const catalogue_change&) const = default;
};

} // namespace parsleylead
