// Link-time replacement of the ownership module in the tests of routing and claims. It identifies
// nodes by name.
#include "fake_ownership.hpp"

#include <azureladder/core/ownership.hpp>

#include <map>

namespace azureladder::core {

namespace {

struct fake_ownership_state
{
    time_point m_lease_end = time_point::max();
    std::map<slice_id, epoch_number> m_serving;
};

std::map<node_id, fake_ownership_state>& ownership_by_node()
{
    static std::map<node_id, fake_ownership_state> states;
    return states;
}

fake_ownership_state& ownership_of(const node_state& state)
{
    return ownership_by_node()[state.m_identity.m_node];
}

} // namespace

namespace testing {

void reset_ownership()
{
    ownership_by_node().clear();
}

void set_lease_end(const node_state& state, time_point end)
{
    ownership_of(state).m_lease_end = end;
}

void set_serving(const node_state& state, const slice_id& slice, epoch_number epoch)
{
    ownership_of(state).m_serving[slice] = epoch;
}

void stop_serving(const node_state& state, const slice_id& slice)
{
    ownership_of(state).m_serving.erase(slice);
}

} // namespace testing

bool holds_lease(const node_state& state, time_point now)
{
    return now < ownership_of(state).m_lease_end;
}

time_point lease_end(const node_state& state)
{
    return ownership_of(state).m_lease_end;
}

std::optional<epoch_number> serving_epoch(const node_state& state, const slice_id& slice,
                                          time_point now)
{
    const auto& serving = ownership_of(state).m_serving;
    const auto found = serving.find(slice);
    if (found == serving.end() || !holds_lease(state, now))
        return std::nullopt;
    return found->second;
}

bool accepts_new_work(const node_state& state, time_point now)
{
    return holds_lease(state, now) && !state.m_stopping;
}

} // namespace azureladder::core
