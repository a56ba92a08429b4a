#pragma once

#include <string>
#include <vector>

#include "parsleylead/catalogue/catalogue_replica.hpp"

namespace parsleylead {

/// What happens to subjects that are in force and not in the file.
enum class absent_subjects { keep, remove };

/// The changes that lead from the replica's state to the file: one for each subject that differs.
/// Drains are never removed here: `drain` and `undrain` own them.
std::vector<catalogue_change> plan_changes(const std::vector<catalogue_entry>& file,
                                           const catalogue_replica& current, absent_subjects absent,
                                           const std::string& operator_name);

/// The change that makes a process leave, or stay; nothing if that is in force already.
std::optional<catalogue_change> plan_drain(const std::string& process, bool leave,
                                           const catalogue_replica& current,
                                           const std::string& operator_name);

} // namespace parsleylead
