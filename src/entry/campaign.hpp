#pragma once

#include "entry/store_keys.hpp"

namespace acaciagauge::entry {

/// @brief Returns the order in which instances campaign to become controller: most processor time first.
/// @param epoch of the last controller; it varies the order of instances with equal processor time
std::vector<InstanceId> campaignOrder(const std::map<InstanceId, MemberRecord>& members, std::string_view epoch);

} // namespace acaciagauge::entry
