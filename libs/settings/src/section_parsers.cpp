#include "section_parsers.hpp"

#include <algorithm>

namespace azureladder::settings {

namespace {

/// Upper bound of http.max_body_bytes: a frame between nodes holds 2 MiB, of which 128 KiB are
/// reserved for headers.
constexpr std::int64_t max_body_limit_bytes = std::int64_t(2048 - 128) * 1024;

const string_constraint& listen_rule()
{
    static const string_constraint rule{
        "an IP address and port such as \"127.0.0.1:8080\" or \"[::1]:8080\"",
        [](const std::string& text) { return parse_endpoint(text).has_value(); }};
    return rule;
}

const string_constraint& address_rule()
{
    static const string_constraint rule{
        "the IP address and port (1 to 65535) of one machine, such as \"10.0.0.1:8080\"",
        [](const std::string& text) {
            const auto address = parse_endpoint(text);
            return address && address->m_port != 0 && address->m_host != "0.0.0.0" &&
                   address->m_host != "::";
        }};
    return rule;
}

void read_endpoint(object_reader& reader, const char* name, const string_constraint& rule,
                   endpoint& value, presence need = presence::optional)
{
    std::string text;
    if (reader.read_string(name, rule, text, need))
        value = *parse_endpoint(text);
}

void read_endpoint(object_reader& reader, const char* name, std::optional<endpoint>& value)
{
    std::string text;
    if (reader.read_string(name, address_rule(), text))
        value = parse_endpoint(text);
}

void read_duration_ms(object_reader& reader, const char* name, std::int64_t min, std::int64_t max,
                      duration& value)
{
    std::int64_t ms = 0;
    if (reader.read_integer(name, min, max, ms))
        value = milliseconds(ms);
}

bool is_wildcard(const endpoint& address)
{
    return address.m_host == "0.0.0.0" || address.m_host == "::";
}

} // namespace

const string_constraint& name_rule()
{
    static const string_constraint rule{
        "a name of 1 to 64 characters from a-z 0-9 . _ - that does not start with _",
        [](const std::string& text) {
            constexpr std::size_t max_size = 64;
            const auto allowed = [](char c) {
                return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '_' ||
                       c == '-';
            };
            return !text.empty() && text.size() <= max_size && text.front() != '_' &&
                   std::all_of(text.begin(), text.end(), allowed);
        }};
    return rule;
}

void parse_http(object_reader& reader, node_settings& settings)
{
    http_settings& http = settings.m_http;
    read_endpoint(reader, "listen", listen_rule(), http.m_listen);
    read_endpoint(reader, "advertise", http.m_advertise);
    reader.read_integer("max_threads", 8, 4096, http.m_max_threads);
    reader.read_integer("max_body_bytes", 1, max_body_limit_bytes, http.m_max_body_bytes);
}

void parse_peer(object_reader& reader, node_settings& settings)
{
    peer_settings& peer = settings.m_peer;
    read_endpoint(reader, "listen", listen_rule(), peer.m_listen);
    read_endpoint(reader, "advertise", peer.m_advertise);
    const json* routes = reader.read_object("routes");
    if (routes == nullptr)
        return;
    object_reader routes_reader(*routes, reader.path_of("routes"), reader.errors());
    for (const auto& item : routes->items()) {
        if (!name_rule().m_is_valid(item.key()))
            routes_reader.fail(item.key(), "expected " + name_rule().m_expected);
        endpoint address;
        read_endpoint(routes_reader, item.key().c_str(), address_rule(), address);
        peer.m_routes[item.key()] = address;
    }
}

void parse_store(object_reader& reader, node_settings& settings)
{
    read_endpoint(reader, "address", address_rule(), settings.m_store.m_address,
                  presence::required);
    read_duration_ms(reader, "timeout_ms", 10, 60000, settings.m_store.m_timeout);
}

void parse_log(object_reader& reader, node_settings& settings)
{
    static const string_constraint file_rule{"the path of a file", [](const std::string& text) {
                                                 constexpr std::size_t max_path_bytes = 4096;
                                                 return !text.empty() &&
                                                        is_printable_utf8(text, max_path_bytes);
                                             }};
    reader.read_enum("level", log_level_names, settings.m_log.m_level);
    std::string file;
    if (reader.read_string("file", file_rule, file))
        settings.m_log.m_file = file;
}

void parse_cluster(object_reader& reader, node_settings& settings)
{
    reader.read_integer("plan_shards", 1, 4096, settings.m_cluster.m_plan_shards);
    reader.read_integer("slice_shards", 1, 4096, settings.m_cluster.m_slice_shards);
}

void parse_timing(object_reader& reader, node_settings& settings)
{
    core::core_options& core = settings.m_core_options;
    read_duration_ms(reader, "lease_interval_ms", 20, 10000, core.m_lease_interval);
    read_duration_ms(reader, "lease_duration_ms", 40, 60000, core.m_lease_duration);
    reader.read_integer("clock_rate_error_permille", 0, 200, core.m_clock_rate_error_permille);
    read_duration_ms(reader, "max_send_delay_ms", 1, 10000, core.m_max_send_delay);
    read_duration_ms(reader, "stop_grace_ms", 0, 60000, settings.m_stop_grace);
    read_duration_ms(reader, "stop_timeout_ms", 1, 3600000, settings.m_stop_timeout);
}

void parse_limits(object_reader& reader, node_settings& settings)
{
    core::core_options& core = settings.m_core_options;
    reader.read_integer("queue_per_slot", 0, 1000, core.m_queue_per_slot);
    reader.read_integer("retry_budget_permille", 0, 1000, core.m_retry_budget_permille);
    reader.read_integer("hedge_budget_permille", 0, 1000, core.m_hedge_budget_permille);
    read_duration_ms(reader, "claim_retention_ms", 1000, 86400000, core.m_claim_retention);
    reader.read_integer("claims_per_slice", 1, 65536, core.m_claims_per_slice);
}

void check_cross_field_rules(const node_settings& settings, std::vector<field_error>& errors)
{
    const core::core_options& core = settings.m_core_options;
    if (core.m_lease_interval < 2 * core.m_tick_interval) {
        errors.push_back(
            {"timing.lease_interval_ms", "expected at least twice the tick interval of the node, " +
                                             std::to_string(to_ms(core.m_tick_interval)) + " ms"});
    }
    if (core.m_lease_duration < 2 * core.m_lease_interval)
        errors.push_back({"timing.lease_duration_ms",
                          "expected at least 2 x lease_interval_ms, so that one lost request "
                          "does not end the lease"});
    if (core.m_max_send_delay >= core.m_lease_duration)
        errors.push_back(
            {"timing.max_send_delay_ms", "expected less than lease_duration_ms, which it extends"});
    if (settings.m_stop_timeout <= settings.m_stop_grace)
        errors.push_back({"timing.stop_timeout_ms", "expected more than stop_grace_ms"});
    if (is_wildcard(settings.m_http.m_listen) && !settings.m_http.m_advertise)
        errors.push_back({"http.advertise", "missing; expected an address because http.listen "
                                            "accepts connections to any address"});
    if (is_wildcard(settings.m_peer.m_listen) && !settings.m_peer.m_advertise)
        errors.push_back({"peer.advertise", "missing; expected an address because peer.listen "
                                            "accepts connections to any address"});
    const endpoint& http = settings.m_http.m_listen;
    if (http.m_port != 0 && http == settings.m_peer.m_listen)
        errors.push_back({"peer.listen", "expected an address that differs from http.listen"});
    if (settings.m_peer.m_routes.count(settings.m_node) != 0)
        errors.push_back({"peer.routes." + settings.m_node,
                          "names this node; expected the name of another node"});
}

} // namespace azureladder::settings
