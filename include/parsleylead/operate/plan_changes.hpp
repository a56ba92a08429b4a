#pragma once

#include <string>
#include <vector>

#include "parsleylead/catalogue/catalogue_replica.hpp"

namespace parsleylead {

/// Whether subjects that are in force but not in the file are kept or removed.
enum class absent_subjects { keep, remove };

/// Returns the changes that turn the replica's state into that of the file: one for each subject
/// that differs. Never removes a drain; only `plan_drain` does.
std::vector<catalogue_change> plan_changes(const std::vector<catalogue_entry>& file,
                                           const catalogue_replica& current, absent_subjects absent,
                                           const std::string& operator_name);

/// Returns the change that drains a process or, if `drain` is false, lifts its drain; nullopt if
/// nothing would change.
std::optional<catalogue_change> plan_drain(const std::string& process, bool drain,
                                           const catalogue_replica& current,
                                           const std::string& operator_name);

} // namespace parsleylead
