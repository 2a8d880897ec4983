#include <azureladder/sidecar_runtime/sidecar_settings.hpp>

#include <azureladder/base/duration_text.hpp>

#include <fstream>
#include <sstream>

namespace azureladder::sidecar_runtime {

namespace {

constexpr std::int64_t max_time_ms = 600'000;
constexpr double max_retry_ratio = 10.0;
constexpr double max_retry_slack = 1e6;
constexpr double max_quota_over = 10.0;
constexpr double max_quota_slack = 1e6;
constexpr double max_link_mbps = 1e6;

/// With less memory, the responses of a dozen exchanges and a page of the store do not fit.
constexpr std::int64_t min_memory_mb = 64;
constexpr std::int64_t max_memory_mb = 1'000'000;
constexpr std::size_t max_name_bytes = 200;

const string_constraint name_rule{"a text of 1 to 200 bytes", [](const std::string& text) {
                                      return !text.empty() &&
                                             is_printable_utf8(text, max_name_bytes);
                                  }};

const string_constraint endpoint_rule{
    "an address IP:PORT", [](const std::string& text) { return parse_endpoint(text).has_value(); }};

void read_endpoint(object_reader& reader, const std::string& name, endpoint& value)
{
    std::string text;
    if (reader.read_string(name, endpoint_rule, text, presence::required))
        value = *parse_endpoint(text);
}

const string_constraint time_rule{"a time such as \"2000ms\" or \"2.5s\"",
                                  [](const std::string& text) {
                                      const auto parsed = parse_duration_text(text);
                                      return parsed.has_value() && to_ms(*parsed) <= max_time_ms;
                                  }};

void read_time(object_reader& reader, const std::string& name, std::int64_t& value)
{
    std::string text;
    if (reader.read_string(name, time_rule, text))
        value = to_ms(*parse_duration_text(text));
}

void read_number(const json& document, object_reader& reader, const std::string& name, double max,
                 double& value)
{
    const auto found = document.find(name);
    if (found == document.end() || found->is_null())
        return;
    if (!found->is_number() || found->get<double>() < 0.0 || found->get<double>() > max)
        reader.fail(name, "expected a number from 0 to " +
                              std::to_string(static_cast<std::int64_t>(max)) + ", found " +
                              dump_json(*found));
    else
        value = found->get<double>();
}

} // namespace

sidecar_settings parse_settings(const std::string& text, std::vector<field_error>& errors)
{
    sidecar_settings settings;
    const json document = parse_json_text(text, true, errors);
    if (!errors.empty())
        return settings;
    object_reader reader(document, "", errors);
    reader.read_string("node", name_rule, settings.m_node, presence::required);
    reader.read_string("zone", name_rule, settings.m_zone, presence::required);
    reader.read_string("service", name_rule, settings.m_service, presence::required);
    read_endpoint(reader, "caller_address", settings.m_caller_address);
    read_endpoint(reader, "registry_address", settings.m_registry_address);
    read_endpoint(reader, "ready_address", settings.m_ready_address);
    read_endpoint(reader, "peer_address", settings.m_peer_address);
    read_endpoint(reader, "metrics_address", settings.m_metrics_address);
    read_endpoint(reader, "store_address", settings.m_store_address);
    read_time(reader, "stop_grace", settings.m_stop_grace_ms);
    read_time(reader, "drain", settings.m_drain_ms);
    read_number(document, reader, "retry_ratio", max_retry_ratio, settings.m_retry_ratio);
    read_number(document, reader, "retry_slack", max_retry_slack, settings.m_retry_slack);
    // The platform writes null where a deployment has no such bound.
    if (const auto found = document.find("quota_window");
        found != document.end() && !found->is_null())
        read_time(reader, "quota_window", settings.m_quota_window_ms);
    read_number(document, reader, "quota_over", max_quota_over, settings.m_quota_over);
    read_number(document, reader, "quota_slack", max_quota_slack, settings.m_quota_slack);
    read_number(document, reader, "link_mbps", max_link_mbps, settings.m_link_mbps);
    reader.read_integer("memory_mb", min_memory_mb, max_memory_mb, settings.m_memory_mb);
    reader.read_boolean("placement_by_speed", settings.m_placement_by_speed);
    reader.read_boolean("selection_by_target", settings.m_selection_by_target);
    return settings;
}

sidecar_settings load_settings(const std::string& path, std::vector<field_error>& errors)
{
    std::ifstream file(path);
    std::stringstream text;
    if (file)
        text << file.rdbuf();
    if (!file) {
        errors.push_back({"", "settings file can't be read: " + path});
        return {};
    }
    return parse_settings(text.str(), errors);
}

} // namespace azureladder::sidecar_runtime
