#include "proxy_settings.hpp"

#include <stdexcept>

namespace azureladder::proxy {

namespace {

constexpr double us_per_ms = 1e3;
constexpr double max_delay_ms = 600'000;

[[noreturn]] void fail(const std::string& field, const std::string& expected)
{
    throw std::invalid_argument(field + ": expected " + expected);
}

double number(const json& value, const std::string& name, double highest)
{
    if (!value.is_number() || value.get<double>() < 0 || value.get<double>() > highest)
        fail(name, "a number from 0 to " + std::to_string(highest));
    return value.get<double>();
}

duration delay(const json& value, const std::string& name)
{
    return duration(std::int64_t(number(value, name, max_delay_ms) * us_per_ms));
}

bool flag(const json& value, const std::string& name)
{
    if (!value.is_boolean())
        fail(name, "true or false");
    return value.get<bool>();
}

std::string text(const json& value, const std::string& name)
{
    if (!value.is_string() || value.get_ref<const std::string&>().empty())
        fail(name, "a text");
    return value.get<std::string>();
}

endpoint address(const std::string& value, const std::string& name)
{
    const auto parsed = parse_endpoint(value);
    if (!parsed)
        fail(name, "an IP address and port");
    return *parsed;
}

std::uint64_t count(const json& value, const std::string& name)
{
    if (!value.is_number_integer() || value.get<std::int64_t>() < 0)
        fail(name, "an integer that is not negative");
    return value.get<std::uint64_t>();
}

void set_fault(const std::string& name, const json& value, fault_settings& into)
{
    constexpr double max_bandwidth = 1e12;
    if (name == "cut")
        into.m_cut = flag(value, name);
    else if (name == "swallow")
        into.m_swallow = flag(value, name);
    else if (name == "delay_ms")
        into.m_delay = delay(value, name);
    else if (name == "jitter_ms")
        into.m_jitter = delay(value, name);
    else if (name == "drop")
        into.m_drop = number(value, name, 1);
    else if (name == "reorder")
        into.m_reorder = number(value, name, 1);
    else if (name == "bandwidth")
        into.m_bandwidth = std::uint64_t(number(value, name, max_bandwidth));
    else
        fail(name, "the name of a fault");
}

fault_settings faults_of(const json& fields, const std::string& name)
{
    if (!fields.is_object())
        fail(name, "an object of faults");
    fault_settings faults;
    for (const auto& [key, value] : fields.items())
        set_fault(key, value, faults);
    return faults;
}

link_protocol protocol_of(const std::string& name)
{
    const auto protocol = find_enum_value(link_protocol_names, name);
    if (!protocol)
        fail("protocol", "tcp, udp or both");
    return *protocol;
}

link_settings read_link(const json& object)
{
    if (!object.is_object())
        fail("links", "objects");
    link_settings link;
    for (const auto& [name, value] : object.items()) {
        if (name == "name")
            link.m_name = text(value, name);
        else if (name == "protocol")
            link.m_protocol = protocol_of(text(value, name));
        else if (name == "listen")
            link.m_listen = address(text(value, name), name);
        else if (name == "target")
            link.m_target = address(text(value, name), name);
        else if (name == "forward")
            link.m_forward = faults_of(value, name);
        else if (name == "backward")
            link.m_backward = faults_of(value, name);
        else if (name == "refuse")
            link.m_refuse = flag(value, name);
        else
            fail(name, "the name of a link setting");
    }
    if (link.m_name.empty() || link.m_target.m_port == 0 || link.m_listen.m_host.empty())
        fail("links", "name, listen and target");
    return link;
}

proxy_settings read_document(const json& document)
{
    if (!document.is_object())
        fail("settings", "an object");
    proxy_settings settings;
    for (const auto& [name, value] : document.items()) {
        if (name == "control")
            settings.m_control = address(text(value, name), name);
        else if (name == "seed")
            settings.m_seed = count(value, name);
        else if (name == "max_queue_bytes")
            settings.m_max_queue_bytes = count(value, name);
        else if (name == "max_sessions")
            settings.m_max_sessions = std::uint32_t(count(value, name));
        else if (name != "links")
            fail(name, "the name of a setting");
    }
    for (const auto& link : document.value("links", json::array()))
        settings.m_links.push_back(read_link(link));
    return settings;
}

} // namespace

result<proxy_settings, settings_error> parse_settings(const json& document)
{
    try {
        return read_document(document);
    } catch (const std::exception& error) {
        return failure(settings_error(error.what()));
    }
}

result<link_settings, settings_error> parse_link(const std::string& value, const std::string& name)
{
    try {
        link_settings link;
        link.m_name = name;
        auto rest = value;
        const auto colon = rest.find(':');
        if (const auto protocol = find_enum_value(link_protocol_names, rest.substr(0, colon))) {
            link.m_protocol = *protocol;
            rest = rest.substr(colon + 1);
        }
        const auto equals = rest.find('=');
        if (equals == std::string::npos)
            fail("link", "LISTEN=TARGET");
        link.m_listen = address(rest.substr(0, equals), "listen");
        link.m_target = address(rest.substr(equals + 1), "target");
        return link;
    } catch (const std::invalid_argument& error) {
        return failure(settings_error(error.what()));
    }
}

result<void, settings_error> change_faults(const json& fields, fault_settings& into)
{
    try {
        auto changed = into;
        for (const auto& [name, value] : fields.items())
            set_fault(name, value, changed);
        into = changed;
        return success();
    } catch (const std::invalid_argument& error) {
        return failure(settings_error(error.what()));
    }
}

json to_json(const fault_settings& faults)
{
    return {{"cut", faults.m_cut},
            {"swallow", faults.m_swallow},
            {"delay_ms", double(faults.m_delay.count()) / us_per_ms},
            {"jitter_ms", double(faults.m_jitter.count()) / us_per_ms},
            {"drop", faults.m_drop},
            {"reorder", faults.m_reorder},
            {"bandwidth", faults.m_bandwidth}};
}

} // namespace azureladder::proxy
