#include "entry/campaign.hpp"

#include <algorithm>

namespace acaciagauge::entry {

// The controller's work grows with the number of servers and instances: in a large fleet, a controller on one of the
// smallest machines falls behind.
std::vector<InstanceId> campaignOrder(const std::map<InstanceId, MemberRecord>& members, std::string_view epoch)
{
    std::vector<InstanceId> ids;
    for (const auto& it : members)
        ids.push_back(it.first);
    auto order = rendezvousOrder(epoch, std::move(ids));
    std::stable_sort(order.begin(), order.end(),
        [&](const auto& a, const auto& b) { return members.at(a).cores > members.at(b).cores; });
    return order;
}

} // namespace acaciagauge::entry
