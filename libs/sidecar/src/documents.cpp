#include "step_context.hpp"

#include <azureladder/key_ranges/range_table_json.hpp>
#include <azureladder/key_ranges/store_revision.hpp>

#include <algorithm>

namespace azureladder::sidecar {

namespace {

constexpr const char* table_prefix = "keys/";

/// Time in which this node's own store watch may deliver a document before it is requested from a
/// peer.
constexpr duration watch_grace_period = milliseconds(200);

/// Delay before a newer range table is requested from a peer: for owners of its ranges, and for
/// other nodes.
constexpr duration owner_table_fetch_delay = milliseconds(250);
constexpr duration table_fetch_delay = milliseconds(2000);

/// Time for which an evacuation that the store of a new era does not list stays in effect. The
/// operator writes it again; until then its servers must not receive requests.
constexpr duration evacuation_retention = seconds(5);

/// Timeout after which a document is requested again.
constexpr duration document_timeout = milliseconds(500);

bool is_table(const std::string& name)
{
    return name.rfind(table_prefix, 0) == 0;
}

std::string table_service(const std::string& name)
{
    return name.substr(std::string_view(table_prefix).size());
}

/// Delay from the report of a newer revision to the request for it. Nodes that own no keys of a
/// table rarely need it at once, because refusals name the owners of moved keys.
duration fetch_delay(const node_state& state, const std::string& name)
{
    if (!is_table(name))
        return watch_grace_period;
    const std::string service = table_service(name);
    if (state.m_tables.count(service) == 0)
        return duration::zero();
    return service == local_keyed_service(state) ? owner_table_fetch_delay : table_fetch_delay;
}

/// Revision by which peers compare configurations: the operator's version, since the store may
/// return to an earlier one. 0 without a configuration.
std::uint64_t configuration_revision(const active_configuration& known)
{
    return known.m_configuration ? known.m_configuration->m_version + 1 : 0;
}

/// Puts the listed and the retained evacuations in effect.
void apply_evacuations(step_context& context)
{
    active_configuration& known = context.m_state.m_active_configuration;
    std::set<std::string> zones = known.m_listed_evacuations;
    for (const auto& [zone, until] : known.m_retained_evacuations)
        zones.insert(zone);
    if (zones == known.m_evacuated_zones)
        return;
    known.m_evacuated_zones = std::move(zones);
    log(context, log_level::info, "evacuations_changed",
        {{"zones", known.m_evacuated_zones}, {"revision", known.m_evacuations_revision}});
    local_backend* backend = context.m_state.m_backend ? &*context.m_state.m_backend : nullptr;
    if (backend != nullptr && known.m_evacuated_zones.count(context.m_state.m_options.m_zone) == 0)
        // A server may be cold after an evacuation. Its next announcement reports whether it is.
        context.m_state.m_cold_until_announced = context.m_now;
}

/// Puts the evacuations of a newer revision in effect. Those that the store lost with its former
/// era are retained for a while.
void update_evacuations(step_context& context, std::uint64_t revision, std::set<std::string> zones)
{
    active_configuration& known = context.m_state.m_active_configuration;
    const bool is_new_era =
        known.m_evacuations_revision != 0 &&
        key_ranges::era_of(revision) > key_ranges::era_of(known.m_evacuations_revision);
    if (is_new_era) {
        for (const auto& zone : known.m_evacuated_zones)
            known.m_retained_evacuations[zone] = context.m_now + evacuation_retention;
    }
    for (const auto& zone : zones)
        known.m_retained_evacuations.erase(zone);
    known.m_evacuations_revision = revision;
    known.m_listed_evacuations = std::move(zones);
    apply_evacuations(context);
}

void request_document(step_context& context, const std::string& name, outdated_document& outdated)
{
    outdated.m_requested_at = context.m_now;
    if (outdated.m_first_requested_at == time_point{})
        outdated.m_first_requested_at = context.m_now;
    document_request_frame request{name};
    const document_revisions known = received_revisions(context.m_state);
    const auto revision = known.find(name);
    if (revision != known.end())
        request.m_known_revision = revision->second;
    send_on_link(context, outdated.m_link, std::move(request));
}

} // namespace

std::string table_document(const std::string& service)
{
    return table_prefix + service;
}

document_revisions received_revisions(const node_state& state)
{
    document_revisions revisions;
    if (state.m_active_configuration.m_configuration)
        revisions[configuration_document] = configuration_revision(state.m_active_configuration);
    if (state.m_active_configuration.m_evacuations_revision != 0)
        revisions[evacuations_document] = state.m_active_configuration.m_evacuations_revision;
    for (const auto& [service, table] : state.m_tables)
        revisions[table_document(service)] = table.m_revision;
    return revisions;
}

void on_operator_documents(step_context& context, const operator_documents& read)
{
    active_configuration& known = context.m_state.m_active_configuration;
    if (read.m_missed_by_watch)
        known.m_missed_revision = read.m_configuration_revision;
    if (read.m_configuration_text && read.m_configuration_revision > known.m_revision)
        emit(context,
             decode_configuration{read.m_configuration_revision, *read.m_configuration_text});
    on_store_era(context, key_ranges::era_of(read.m_revision));
    const bool changed =
        read.m_evacuated_zones != known.m_listed_evacuations || known.m_evacuations_revision == 0;
    if (changed && read.m_revision > known.m_evacuations_revision)
        update_evacuations(context, read.m_revision, read.m_evacuated_zones);
    if (read.m_missed_by_watch)
        broadcast_status(context);
}

void check_retained_evacuations(step_context& context)
{
    auto& retained = context.m_state.m_active_configuration.m_retained_evacuations;
    if (retained.empty())
        return;
    for (auto it = retained.begin(); it != retained.end();)
        it = context.m_now < it->second ? std::next(it) : retained.erase(it);
    apply_evacuations(context);
}

void on_configuration_decoded(step_context& context, const configuration_decoded& decoded)
{
    active_configuration& known = context.m_state.m_active_configuration;
    if (!decoded.m_configuration)
        return;
    const auto& configuration = *decoded.m_configuration;
    const bool is_newer_revision = decoded.m_revision > known.m_revision;
    known.m_revision = std::max(known.m_revision, decoded.m_revision);
    if (known.m_configuration && configuration.m_version < known.m_configuration->m_version) {
        if (is_newer_revision)
            log(context, log_level::warning, "older_configuration_ignored",
                {{"version", configuration.m_version},
                 {"in_force", known.m_configuration->m_version}});
        return;
    }
    if (known.m_configuration && configuration.m_version == known.m_configuration->m_version &&
        !is_newer_revision)
        return;
    known.m_text = decoded.m_text;
    known.m_configuration = decoded.m_configuration;
    context.m_state.m_outdated_documents.erase(configuration_document);
    log(context, log_level::info, "configuration_in_force",
        {{"version", configuration.m_version},
         {"revision", known.m_revision},
         {"routes", configuration.m_routes.size()}});
    // Otherwise peers learn of the revision with their next ping, which many peers send rarely.
    if (known.m_missed_revision == known.m_revision)
        broadcast_status(context);
    check_backend_presence(context);
    retry_waiting_requests(context);
}

void on_peer_revisions(step_context& context, std::uint64_t link,
                       const document_revisions& revisions)
{
    node_state& state = context.m_state;
    const document_revisions known = received_revisions(state);
    for (const auto& [name, revision] : revisions) {
        const auto mine = known.find(name);
        if (mine != known.end() && mine->second >= revision)
            continue;
        auto [place, added] = state.m_outdated_documents.try_emplace(name);
        outdated_document& outdated = place->second;
        if (!added && outdated.m_revision >= revision)
            continue;
        if (added)
            outdated.m_outdated_since = context.m_now;
        outdated.m_revision = revision;
        outdated.m_link = link;
    }
}

void check_outdated_documents(step_context& context)
{
    node_state& state = context.m_state;
    const document_revisions known = received_revisions(state);
    for (auto it = state.m_outdated_documents.begin(); it != state.m_outdated_documents.end();) {
        auto& [name, outdated] = *it;
        const auto mine = known.find(name);
        const bool link_lost = state.m_node_of_link.count(outdated.m_link) == 0;
        if (link_lost || (mine != known.end() && mine->second >= outdated.m_revision)) {
            it = state.m_outdated_documents.erase(it);
            continue;
        }
        const bool asked = outdated.m_requested_at != time_point{};
        if (asked ? context.m_now - outdated.m_requested_at > document_timeout
                  : context.m_now - outdated.m_outdated_since > fetch_delay(state, name))
            request_document(context, name, outdated);
        ++it;
    }
}

void on_document_request(step_context& context, std::uint64_t link,
                         const document_request_frame& request)
{
    const node_state& state = context.m_state;
    const std::string& name = request.m_name;
    document_frame frame;
    frame.m_name = name;
    if (name == configuration_document) {
        frame.m_revision = configuration_revision(state.m_active_configuration);
        frame.m_text = state.m_active_configuration.m_text;
    } else if (name == evacuations_document) {
        frame.m_revision = state.m_active_configuration.m_evacuations_revision;
        frame.m_text = dump_json(json(state.m_active_configuration.m_listed_evacuations));
    } else if (is_table(name)) {
        const auto found = state.m_tables.find(table_service(name));
        if (found == state.m_tables.end())
            return;
        frame = make_table_frame(found->first, found->second, request.m_known_revision);
        if (found->second.m_confirmed_at != time_point{})
            frame.m_confirmation_age_us = (context.m_now - found->second.m_confirmed_at).count();
    }
    if (frame.m_revision != 0)
        send_on_link(context, link, std::move(frame));
}

namespace {

void on_table_document(step_context& context, std::uint64_t link, const document_frame& frame)
{
    node_state& state = context.m_state;
    const std::string service = table_service(frame.m_name);
    const auto outdated = state.m_outdated_documents.find(frame.m_name);
    time_point confirmed_at;
    // The peer sent this response after the first request, so the confirmation time is not later
    // than the true one. An older revision responds to an earlier request.
    if (outdated != state.m_outdated_documents.end() &&
        outdated->second.m_first_requested_at != time_point{} &&
        frame.m_revision >= outdated->second.m_revision && frame.m_confirmation_age_us >= 0)
        confirmed_at =
            outdated->second.m_first_requested_at - duration(frame.m_confirmation_age_us);
    if (frame.m_base_revision == 0) {
        install_table(context, service, frame.m_revision, frame.m_text, confirmed_at, "peer");
        return;
    }
    const auto known = state.m_tables.find(service);
    if (known == state.m_tables.end() || known->second.m_revision < frame.m_base_revision) {
        on_peer_revisions(context, link, {{frame.m_name, frame.m_revision}});
        return;
    }
    if (known->second.m_revision >= frame.m_revision) {
        install_table(context, service, frame.m_revision, known->second.m_table, confirmed_at,
                      "peer");
        return;
    }
    const auto change = key_ranges::parse_range_table_change(frame.m_text);
    const auto table =
        change ? key_ranges::apply_change(known->second.m_table, *change) : std::nullopt;
    if (table)
        install_table(context, service, frame.m_revision, *table, confirmed_at, "peer");
    else
        log(context, log_level::error, "table_change_unusable",
            {{"service", service},
             {"revision", frame.m_revision},
             {"base", frame.m_base_revision},
             {"known", known->second.m_revision}});
}

} // namespace

void on_document(step_context& context, std::uint64_t link, const document_frame& frame)
{
    node_state& state = context.m_state;
    if (frame.m_name == configuration_document) {
        if (frame.m_revision > configuration_revision(state.m_active_configuration))
            emit(context,
                 decode_configuration{state.m_active_configuration.m_revision, frame.m_text});
        return;
    }
    if (frame.m_name == evacuations_document) {
        const json zones = json::parse(frame.m_text, nullptr, false);
        if (!zones.is_array()) {
            log(context, log_level::warning, "document_unreadable", {{"document", frame.m_name}});
            return;
        }
        std::set<std::string> names;
        for (const auto& zone : zones) {
            if (zone.is_string())
                names.insert(zone.get<std::string>());
        }
        if (frame.m_revision > state.m_active_configuration.m_evacuations_revision)
            update_evacuations(context, frame.m_revision, std::move(names));
        return;
    }
    if (is_table(frame.m_name))
        on_table_document(context, link, frame);
}

} // namespace azureladder::sidecar
