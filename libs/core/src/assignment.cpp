#include "ownership_internal.hpp"

#include <azureladder/base/hash.hpp>
#include <azureladder/core/claims.hpp>
#include <azureladder/records/document.hpp>

#include <algorithm>

namespace azureladder::core {

namespace {

std::uint64_t slice_seed(const slice_id& slice)
{
    return hash64(slice.m_space, slice.m_index);
}

/// Bounded-load hashing: no node gets more than 1.25 times the mean number of slices.
std::size_t max_slices_per_node(std::size_t slices, std::size_t nodes)
{
    return (slices * 5 + nodes * 4 - 1) / (nodes * 4);
}

/// Assigns each slice to the node with the highest score among those below the load limit. Each
/// score is computed once: sorting the nodes for each slice took seconds with thousands of slices.
std::vector<node_id> assign_slices(const std::string& space, std::uint32_t slices,
                                   const std::vector<node_id>& nodes)
{
    std::vector<node_id> owners(slices);
    std::vector<std::size_t> load(nodes.size());
    const auto limit = nodes.empty() ? 0 : max_slices_per_node(slices, nodes.size());
    for (std::uint32_t index = 0; index < slices; ++index) {
        const auto seed = slice_seed({space, index});
        std::optional<std::size_t> best;
        std::uint64_t best_score = 0;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (load[i] >= limit)
                continue;
            const auto score = hash64(nodes[i], seed);
            if (!best || score > best_score) {
                best = i;
                best_score = score;
            }
        }
        if (!best)
            continue;
        ++load[*best];
        owners[index] = nodes[*best];
    }
    return owners;
}

} // namespace

std::string service_of_space(const std::string& space)
{
    return space.substr(0, space.find('/'));
}

std::uint64_t rendezvous_score(const slice_id& slice, const node_id& node)
{
    return hash64(node, slice_seed(slice));
}

std::vector<node_id> rendezvous_order(const slice_id& slice, std::vector<node_id> nodes)
{
    std::sort(nodes.begin(), nodes.end(), [&](const node_id& a, const node_id& b) {
        return rendezvous_score(slice, a) > rendezvous_score(slice, b);
    });
    return nodes;
}

std::vector<std::string> spaces_of_node(const node_state& state, const std::string& service)
{
    std::vector<std::string> spaces{claim_space};
    if (const auto* record = records::find_service(state.m_configuration.m_document, service)) {
        for (auto& space : records::slice_spaces_of_service(*record))
            spaces.push_back(std::move(space));
    }
    return spaces;
}

std::uint32_t slices_of_space(const node_state& state, const std::string& space)
{
    if (space == claim_space)
        return claim_slice_count;
    const auto* record =
        records::find_service(state.m_configuration.m_document, service_of_space(space));
    return record == nullptr ? 0 : record->m_slices;
}

bool is_eligible(const node_state& state, const plan& candidate, const std::string& space)
{
    const auto& document = state.m_configuration.m_document;
    if (fenced_plan(state, candidate.m_member) != nullptr)
        return false;
    if (!records::zone_in_service(document, candidate.m_zone) ||
        !records::server_in_service(document, candidate.m_server))
        return false;
    if (space == claim_space)
        return true;
    return candidate.m_service == service_of_space(space) &&
           records::is_eligible_owner(document, space, candidate.m_service, candidate.m_server,
                                      candidate.m_zone);
}

std::vector<node_id> eligible_nodes(const node_state& state, const std::string& space)
{
    std::vector<node_id> nodes;
    for (const auto* candidate : newest_plans(state.m_directory)) {
        if (is_eligible(state, *candidate, space))
            nodes.push_back(candidate->m_member.m_node);
    }
    return nodes;
}

const std::vector<node_id>& desired_owners(node_state& state, const std::string& space)
{
    auto& cached = state.m_ownership.m_assignments[space];
    const auto slices = slices_of_space(state, space);
    if (cached.m_compared_round == state.m_ownership.m_balance_round &&
        cached.m_owner.size() == slices)
        return cached.m_owner;
    cached.m_compared_round = state.m_ownership.m_balance_round;
    const auto eligible = eligible_nodes(state, space);
    std::uint64_t hash = slices;
    for (const auto& node : eligible)
        hash = hash64(node, hash);
    if (cached.m_candidates_hash != hash || cached.m_owner.size() != slices) {
        cached.m_candidates_hash = hash;
        cached.m_owner = assign_slices(space, slices, eligible);
    }
    return cached.m_owner;
}

} // namespace azureladder::core
