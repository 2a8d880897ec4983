// Link-time replacement of the directory module in the tests of routing and claims.
#include <azureladder/core/directory.hpp>

namespace azureladder::core {

const plan* find_plan(const directory_state& state, const member_id& member)
{
    const auto found = state.m_plans.find(member);
    return found == state.m_plans.end() ? nullptr : &found->second;
}

std::vector<const plan*> newest_plans(const directory_state& state)
{
    std::map<node_id, const plan*> newest;
    for (const auto& [member, value] : state.m_plans) {
        auto& found = newest[member.m_node];
        if (found == nullptr || value.m_generation >= found->m_generation)
            found = &value;
    }
    std::vector<const plan*> plans;
    plans.reserve(newest.size());
    for (const auto& [node, value] : newest)
        plans.push_back(value);
    return plans;
}

std::optional<slice_location> find_location(const directory_state& state, const slice_id& slice)
{
    const auto found = state.m_locations.find(slice);
    if (found == state.m_locations.end())
        return std::nullopt;
    return found->second;
}

const member_id* successor_of(const plan& value, const slice_id& slice)
{
    if (value.m_standbys.empty())
        return nullptr;
    return &value.m_standbys[slice.m_index % value.m_standbys.size()];
}

} // namespace azureladder::core
