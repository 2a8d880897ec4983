#include <azureladder/deployment/cluster.hpp>

#include <azureladder/base/precondition.hpp>

/// Faults of the links of a deployment.
namespace azureladder::deployment {

namespace {

const json cut = {{"cut", true}};
const json swallow = {{"swallow", true}};

} // namespace

fault_links& cluster::links()
{
    AZURELADDER_PRECONDITION(m_options.m_fault_links, "the cluster must use fault links");
    return m_links;
}

bool cluster::isolate_from_store(const std::string& node)
{
    return links().set("store/" + node, cut);
}

bool cluster::isolate_from_peers(const std::string& node)
{
    return links().set("peer/" + node + "->*", cut) && links().set("peer/*->" + node, cut);
}

bool cluster::isolate_zone(const std::string& zone)
{
    for (const auto& inner : m_options.m_nodes) {
        if (inner.m_zone != zone)
            continue;
        if (!isolate_from_store(inner.m_node))
            return false;
        for (const auto& outer : m_options.m_nodes) {
            if (outer.m_zone == zone)
                continue;
            if (!links().set_one_way_faults(inner.m_node, outer.m_node, cut) ||
                !links().set_one_way_faults(outer.m_node, inner.m_node, cut))
                return false;
        }
    }
    return true;
}

bool cluster::discard_one_way(const std::string& node, bool receives)
{
    for (const auto& other : m_options.m_nodes) {
        if (other.m_node == node)
            continue;
        const auto& from = receives ? other.m_node : node;
        const auto& to = receives ? node : other.m_node;
        if (!links().set_one_way_faults(from, to, swallow))
            return false;
    }
    return true;
}

bool cluster::set_peer_faults(const json& faults)
{
    return links().set("peer/*", faults);
}

bool cluster::heal(const std::string& node)
{
    return links().clear("peer/" + node + "->*") && links().clear("peer/*->" + node) &&
           links().clear("store/" + node);
}

bool cluster::heal_zone(const std::string& zone)
{
    for (const auto& spec : m_options.m_nodes) {
        if (spec.m_zone == zone && !heal(spec.m_node))
            return false;
    }
    return true;
}

bool cluster::heal_all()
{
    return links().clear();
}

} // namespace azureladder::deployment
