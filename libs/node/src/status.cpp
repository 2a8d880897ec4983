#include "status.hpp"

#include <azureladder/core/node_state.hpp>
#include <azureladder/core/ownership.hpp>
#include <azureladder/core/routing.hpp>

namespace azureladder::node {

namespace {

json node_names(const std::vector<member_id>& members)
{
    json names = json::array();
    for (const auto& member : members)
        names.push_back(member.m_node);
    return names;
}

json plans_json(const core::directory_state& directory)
{
    json plans = json::array();
    for (const auto* member : core::newest_plans(directory)) {
        plans.push_back({{"node", member->m_member.m_node},
                         {"incarnation", member->m_member.m_incarnation},
                         {"generation", member->m_generation},
                         {"version", member->m_version},
                         {"zone", member->m_zone},
                         {"service", member->m_service},
                         {"server", member->m_server},
                         {"http", to_string(member->m_http_address)},
                         {"witnesses", node_names(member->m_witnesses)},
                         {"standbys", node_names(member->m_standbys)},
                         {"slices", member->m_slices.size()}});
    }
    return plans;
}

json slices_json(const core::directory_state& directory)
{
    json slices = json::object();
    for (const auto& [slice, location] : directory.m_locations) {
        slices[slice.m_space][std::to_string(slice.m_index)] = {
            {"owner", location.m_owner.m_node},
            {"incarnation", location.m_owner.m_incarnation},
            {"epoch", location.m_epoch}};
    }
    return slices;
}

json states_json(const std::map<std::string, records::administrative_state>& states)
{
    json values = json::object();
    for (const auto& [name, state] : states)
        values[name] = find_enum_name(records::administrative_state_names, state);
    return values;
}

} // namespace

json status_json(const core::node_state& state, time_point now)
{
    const auto& document = state.m_configuration.m_document;
    return {{"node", state.m_identity.m_node},
            {"incarnation", state.m_incarnation},
            {"zone", state.m_identity.m_zone},
            {"revision", document.m_revision},
            {"serving", core::accepts_new_work(state, now)},
            {"holds_lease", core::holds_lease(state, now)},
            {"stopping", state.m_stopping},
            {"plans", plans_json(state.m_directory)},
            {"zones", states_json(document.m_zones)},
            {"servers", states_json(document.m_servers)},
            {"slices", slices_json(state.m_directory)},
            {"ownership", core::ownership_status(state, now)},
            {"routing", core::routing_status(state, now)}};
}

json where_json(const core::node_state& state, const std::string& service, const std::string& key)
{
    const auto* record = records::find_service(state.m_configuration.m_document, service);
    if (record == nullptr || !record->m_divided_by_key)
        return nullptr;
    const auto slice = core::slice_for_key(state, service, key);
    json answer = {
        {"service", service}, {"key", key}, {"space", slice.m_space}, {"slice", slice.m_index}};
    const auto location = core::find_location(state.m_directory, slice);
    if (!location) {
        answer["owner"] = nullptr;
        return answer;
    }
    answer["epoch"] = location->m_epoch;
    answer["owner"] = location->m_owner.m_node;
    if (const auto* owner = core::find_plan(state.m_directory, location->m_owner)) {
        answer["server"] = owner->m_server;
        answer["zone"] = owner->m_zone;
    }
    return answer;
}

} // namespace azureladder::node
