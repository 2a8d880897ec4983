#include <azureladder/core/plan.hpp>

#include <azureladder/base/precondition.hpp>

#include <algorithm>

namespace azureladder::core {

std::size_t standby_index(const plan& value, const slice_id& slice)
{
    AZURELADDER_PRECONDITION(!value.m_standbys.empty(), "the plan must name a standby");
    return slice.m_index % value.m_standbys.size();
}

bool is_majority(const std::vector<member_ref>& members, const std::vector<member_ref>& set)
{
    const auto contained = std::count_if(set.begin(), set.end(), [&](const member_ref& member) {
        return std::find(members.begin(), members.end(), member) != members.end();
    });
    return set.empty() || std::size_t(contained) > set.size() / 2;
}

} // namespace azureladder::core
