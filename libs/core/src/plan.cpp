#include <azureladder/core/plan.hpp>

#include <algorithm>

namespace azureladder::core {

const member_id* successor_of(const plan& value, const slice_id& slice)
{
    const auto move =
        std::find_if(value.m_moves.begin(), value.m_moves.end(),
                     [&](const planned_move& planned) { return planned.m_slice == slice; });
    if (move != value.m_moves.end())
        return &move->m_receiver;
    if (value.m_standbys.empty())
        return nullptr;
    return &value.m_standbys[slice.m_index % value.m_standbys.size()];
}

bool lists_slice(const plan& value, const slice_id& slice, epoch_number epoch)
{
    return std::any_of(value.m_slices.begin(), value.m_slices.end(), [&](const owned_slice& owned) {
        return owned.m_slice == slice && owned.m_epoch == epoch;
    });
}

std::vector<member_id> all_successors(const plan& value)
{
    auto members = value.m_standbys;
    for (const auto& move : value.m_moves) {
        if (!contains(members, move.m_receiver))
            members.push_back(move.m_receiver);
    }
    return members;
}

bool contains(const std::vector<member_id>& members, const member_id& member)
{
    return std::find(members.begin(), members.end(), member) != members.end();
}

bool is_majority(const std::vector<member_id>& members, const std::vector<member_id>& set)
{
    const auto contained = std::count_if(
        set.begin(), set.end(), [&](const member_id& member) { return contains(members, member); });
    return set.empty() || std::size_t(contained) > set.size() / 2;
}

} // namespace azureladder::core
