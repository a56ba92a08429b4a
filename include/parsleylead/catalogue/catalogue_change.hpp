#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "parsleylead/base/uuid.hpp"
#include "parsleylead/catalogue/catalogue_entry.hpp"

namespace parsleylead {

/// A change of the catalogue, as published by an operator.
struct catalogue_change {
  /// Identifies the change across repeated appends.
  uuid id;
  std::string operator_name;
  /// Revision of the subject on which the change is based; 0 if the subject did not exist.
  std::uint64_t base_revision = 0;
  catalogue_subject subject;
  /// The new value, of the alternative that matches the subject's type. Without a value the change
  /// removes the subject.
  std::optional<catalogue_value> value;

  bool operator==(const catalogue_change&) const = default;
};

} // namespace parsleylead
