#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace parsleylead {

/// Type of the object that a catalogue entry describes.
enum class subject_type : std::uint8_t { kind, owner, drain };

/// Identifies a catalogue entry.
struct catalogue_subject {
  subject_type type = subject_type::kind;
  std::string name;

  // clang-tidy 14 mistakes the zero in the rewritten comparison for a null pointer.
  auto operator<=>(const catalogue_subject&) const = default; // NOLINT(modernize-use-nullptr)
};

enum class kind_class : std::uint8_t { urgent, normal, batch };

/// Resources that one task of a kind requires on a worker. Zero means no requirement.
struct kind_needs {
  std::uint32_t cores = 0;
  std::uint64_t memory_mb = 0;

  bool operator==(const kind_needs&) const = default;
};

/// Site-wide limits of a kind. All values are positive.
struct kind_limits {
  std::uint32_t in_flight = 0;
  std::uint32_t queue = 0;
  std::uint32_t rate_per_s = 0;
  std::uint32_t job_tasks = 0;
  std::chrono::milliseconds budget{0};

  bool operator==(const kind_limits&) const = default;
};

/// A kind of task.
struct kind_definition {
  std::string owner;
  kind_class urgency = kind_class::normal;
  bool idempotent = false;
  kind_needs needs;
  kind_limits limits;

  bool operator==(const kind_definition&) const = default;
};

/// Site-wide quota of a team for all its kinds. All values are positive.
struct owner_quota {
  std::uint32_t in_flight = 0;
  std::uint32_t rate_per_s = 0;

  bool operator==(const owner_quota&) const = default;
};

/// Requests that the process named by the subject drain and stop.
struct drain_request {
  bool operator==(const drain_request&) const = default;
};

using catalogue_value = std::variant<kind_definition, owner_quota, drain_request>;

/// An entry of the configuration catalogue.
struct catalogue_entry {
  catalogue_subject subject;
  catalogue_value value;

  bool operator==(const catalogue_entry&) const = default;
};

/// "kind", "owner" or "drain".
std::string_view to_string(subject_type value);
/// "urgent", "normal" or "batch".
std::string_view to_string(kind_class value);
/// For example "kind letter-draft".
std::string to_string(const catalogue_subject& value);

} // namespace parsleylead
