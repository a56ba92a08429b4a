#include "parsleylead/catalogue/catalogue_entry.hpp"

namespace parsleylead {

std::string_view to_string(subject_type value) {
  switch (value) {
  case subject_type::kind:
    return "kind";
  case subject_type::owner:
    return "owner";
  case subject_type::drain:
    return "drain";
  }
  return "unknown";
}

std::string_view to_string(kind_class value) {
  switch (value) {
  case kind_class::urgent:
    return "urgent";
  case kind_class::normal:
    return "normal";
  case kind_class::batch:
    return "batch";
  }
  return "unknown";
}

std::string to_string(const catalogue_subject& value) {
  return std::string(to_string(value.type)) + " " + value.name;
}

} // namespace parsleylead
