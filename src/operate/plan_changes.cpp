#include "parsleylead/operate/plan_changes.hpp"

#include <algorithm>

namespace parsleylead {
namespace {

catalogue_change make_change(const catalogue_subject& subject, std::optional<catalogue_value> value,
                             const catalogue_replica& current, const std::string& operator_name) {
  return {uuid::make_v7(wall_now()), operator_name, current.revision(subject), subject,
          std::move(value)};
}

bool is_in_force(const catalogue_entry& wanted, const std::vector<revised_entry>& current) {
  return std::any_of(current.begin(), current.end(),
                     [&](const revised_entry& existing) { return existing.entry == wanted; });
}

} // namespace

std::vector<catalogue_change> plan_changes(const std::vector<catalogue_entry>& file,
                                           const catalogue_replica& current, absent_subjects absent,
                                           const std::string& operator_name) {
  const auto in_force = current.entries();
  std::vector<catalogue_change> changes;
  for (const auto& wanted : file) {
    if (!is_in_force(wanted, in_force)) {
      changes.push_back(make_change(wanted.subject, wanted.value, current, operator_name));
    }
  }
  if (absent == absent_subjects::keep) {
    return changes;
  }
  for (const auto& existing : in_force) {
    const auto& subject = existing.entry.subject;
    const bool listed = std::any_of(file.begin(), file.end(), [&](const catalogue_entry& wanted) {
      return wanted.subject == subject;
    });
    if (!listed && subject.type != subject_type::drain) {
      changes.push_back(make_change(subject, std::nullopt, current, operator_name));
    }
  }
  return changes;
}

std::optional<catalogue_change> plan_drain(const std::string& process, bool drain,
                                           const catalogue_replica& current,
                                           const std::string& operator_name) {
  if (current.is_draining(process) == drain) {
    return std::nullopt;
  }
  auto change = make_change({subject_type::drain, process}, std::nullopt, current, operator_name);
  if (drain) {
    change.value.emplace(drain_request{});
  }
  return change;
}

} // namespace parsleylead
