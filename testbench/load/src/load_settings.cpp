#include "load_settings.hpp"

#include <azureladder/base/enum_names.hpp>
#include <azureladder/base/request_class.hpp>

#include <algorithm>
#include <initializer_list>
#include <utility>

namespace azureladder::load {

namespace {

constexpr double max_duration_s = 3600;
constexpr double max_rate = 200'000;
constexpr double us_per_s = 1e6;
constexpr double us_per_ms = 1e3;

/// Reads the fields of one object and throws `settings_error` for the first wrong one.
class object_reader
{
public:
    object_reader(const json& object, std::string path,
                  std::initializer_list<std::string_view> known)
        : m_object(object), m_path(std::move(path))
    {
        if (!object.is_object())
            fail("", "an object");
        for (const auto& [name, value] : object.items()) {
            if (std::find(known.begin(), known.end(), name) == known.end())
                fail(name, "no such field");
        }
    }

    [[noreturn]] void fail(const std::string& name, const std::string& expected) const
    {
        throw settings_error{path_of(name), expected};
    }

    std::string path_of(const std::string& name) const
    {
        return m_path.empty() || name.empty() ? m_path + name : m_path + "." + name;
    }

    const json* find(const char* name) const
    {
        const auto found = m_object.find(name);
        return found == m_object.end() ? nullptr : &*found;
    }

    void read_number(const char* name, double& into, double lowest, double highest) const
    {
        const auto* value = find(name);
        if (value == nullptr)
            return;
        if (!value->is_number() || value->get<double>() < lowest || value->get<double>() > highest)
            fail(name,
                 "a number from " + std::to_string(lowest) + " to " + std::to_string(highest));
        into = value->get<double>();
    }

    template <class Integer>
    void read_integer(const char* name, Integer& into, std::uint64_t lowest,
                      std::uint64_t highest) const
    {
        const auto* value = find(name);
        if (value == nullptr)
            return;
        const bool is_natural = value->is_number_integer() &&
                                (value->is_number_unsigned() || value->get<std::int64_t>() >= 0);
        if (!is_natural || value->get<std::uint64_t>() < lowest ||
            value->get<std::uint64_t>() > highest)
            fail(name,
                 "an integer from " + std::to_string(lowest) + " to " + std::to_string(highest));
        into = Integer(value->get<std::uint64_t>());
    }

    void read_duration(const char* name, duration& into, double us_per_unit, double highest) const
    {
        double value = double(into.count()) / us_per_unit;
        read_number(name, value, 0, highest);
        into = duration(std::int64_t(value * us_per_unit));
    }

    void read_text(const char* name, std::string& into) const
    {
        const auto* value = find(name);
        if (value == nullptr)
            return;
        if (!value->is_string() || value->get_ref<const std::string&>().empty())
            fail(name, "a text");
        into = value->get<std::string>();
    }

    void read_flag(const char* name, bool& into) const
    {
        const auto* value = find(name);
        if (value == nullptr)
            return;
        if (!value->is_boolean())
            fail(name, "true or false");
        into = value->get<bool>();
    }

    template <class Enum, std::size_t Size>
    void read_enum(const char* name, Enum& into, const enum_name<Enum> (&names)[Size]) const
    {
        std::string text(find_enum_name(names, into));
        read_text(name, text);
        const auto value = find_enum_value(names, text);
        if (!value)
            fail(name, "one of the names listed in README.md");
        into = *value;
    }

    void read_weights(const char* name, std::vector<weighted_name>& into) const
    {
        const auto* value = find(name);
        if (value == nullptr)
            return;
        if (!value->is_object() || value->empty())
            fail(name, "an object of names and weights");
        into.clear();
        for (const auto& [key, weight] : value->items()) {
            if (!weight.is_number() || weight.get<double>() < 0)
                fail(name, "weights that are not negative");
            into.push_back({key, weight.get<double>()});
        }
    }

private:
    const json& m_object;
    std::string m_path;
};

void read_keys(const json& object, const std::string& path, key_settings& into)
{
    const object_reader reader(object, path,
                               {"distribution", "count", "prefix", "zipf_exponent", "hot_count",
                                "hot_share", "hot_move_s"});
    constexpr std::uint64_t max_keys = 10'000'000;
    constexpr double max_exponent = 10;
    reader.read_enum("distribution", into.m_distribution, key_distribution_names);
    reader.read_integer("count", into.m_count, 0, max_keys);
    reader.read_text("prefix", into.m_prefix);
    reader.read_number("zipf_exponent", into.m_zipf_exponent, 0, max_exponent);
    reader.read_integer("hot_count", into.m_hot_count, 1, max_keys);
    reader.read_number("hot_share", into.m_hot_share, 0, 1);
    reader.read_duration("hot_move_s", into.m_hot_move, us_per_s, max_duration_s);
    if (into.m_distribution == key_distribution::hot && into.m_hot_count > into.m_count)
        reader.fail("hot_count", "at most the number of keys");
}

method_settings read_method(const json& object, const std::string& path)
{
    const object_reader reader(object, path, {"method", "weight", "idempotency_key", "repeats"});
    constexpr double max_weight = 1e6;
    constexpr std::uint64_t max_repeats = 10;
    method_settings method;
    reader.read_text("method", method.m_method);
    const auto known = {"GET", "POST", "PUT", "PATCH", "DELETE"};
    if (std::find(known.begin(), known.end(), method.m_method) == known.end())
        reader.fail("method", "GET, POST, PUT, PATCH or DELETE");
    reader.read_number("weight", method.m_weight, 0, max_weight);
    reader.read_flag("idempotency_key", method.m_has_idempotency_key);
    reader.read_integer("repeats", method.m_repeats, 0, max_repeats);
    if (method.m_repeats > 0 && !method.m_has_idempotency_key)
        reader.fail("repeats", "0 without idempotency_key");
    return method;
}

/// Calls `read(element, path)` for each element of an array.
template <class Read>
void read_list(const object_reader& reader, const char* name, Read read)
{
    const auto* list = reader.find(name);
    if (list == nullptr)
        return;
    if (!list->is_array() || list->empty())
        reader.fail(name, "a list that is not empty");
    for (std::size_t i = 0; i < list->size(); ++i)
        read((*list)[i], reader.path_of(name) + "[" + std::to_string(i) + "]");
}

service_settings read_service(const json& object, const std::string& path)
{
    const object_reader reader(object, path,
                               {"name", "rate", "path", "keys", "methods", "classes", "customers",
                                "body_bytes", "timeout_ms"});
    constexpr std::uint64_t max_body_bytes = std::uint64_t(1) << 20;
    constexpr double max_timeout_ms = 600'000;
    service_settings service;
    reader.read_text("name", service.m_name);
    if (service.m_name.empty())
        reader.fail("name", "a text");
    reader.read_number("rate", service.m_rate, 0, max_rate);
    reader.read_text("path", service.m_path);
    if (const auto* keys = reader.find("keys"))
        read_keys(*keys, reader.path_of("keys"), service.m_keys);
    if (reader.find("methods") != nullptr)
        service.m_methods.clear();
    read_list(reader, "methods", [&](const json& element, const std::string& at) {
        service.m_methods.push_back(read_method(element, at));
    });
    reader.read_weights("classes", service.m_classes);
    for (const auto& option : service.m_classes) {
        if (!find_enum_value(request_class_names, option.m_name))
            reader.fail("classes", "interactive, standard or batch");
    }
    reader.read_weights("customers", service.m_customers);
    reader.read_integer("body_bytes", service.m_body_bytes, 0, max_body_bytes);
    reader.read_duration("timeout_ms", service.m_timeout, us_per_ms, max_timeout_ms);
    return service;
}

void read_targets(const object_reader& reader, std::vector<endpoint>& into)
{
    read_list(reader, "targets", [&](const json& element, const std::string& at) {
        const auto address = element.is_string() ? parse_endpoint(element.get<std::string>())
                                                 : std::optional<endpoint>();
        if (!address)
            throw settings_error{at, "an IP address and port"};
        into.push_back(*address);
    });
}

load_settings read_document(const json& document)
{
    const object_reader reader(document, "",
                               {"seed", "duration_s", "max_requests", "arrivals", "id_prefix",
                                "targets", "connections", "max_waiting", "connect_attempts",
                                "repeat_delay_ms", "max_lag_ms", "services"});
    constexpr std::uint64_t max_count = 100'000'000;
    constexpr std::uint64_t max_connections = 10'000;
    constexpr double max_delay_ms = 60'000;
    load_settings settings;
    reader.read_integer("seed", settings.m_seed, 0, ~std::uint64_t(0));
    reader.read_duration("duration_s", settings.m_duration, us_per_s, max_duration_s);
    reader.read_integer("max_requests", settings.m_max_requests, 1, max_count);
    reader.read_enum("arrivals", settings.m_arrivals, arrival_process_names);
    reader.read_text("id_prefix", settings.m_id_prefix);
    read_targets(reader, settings.m_targets);
    reader.read_integer("connections", settings.m_connections, 1, max_connections);
    reader.read_integer("max_waiting", settings.m_max_waiting, 0, max_count);
    reader.read_integer("connect_attempts", settings.m_connect_attempts, 1, max_connections);
    reader.read_duration("repeat_delay_ms", settings.m_repeat_delay, us_per_ms, max_delay_ms);
    reader.read_duration("max_lag_ms", settings.m_max_lag, us_per_ms, max_delay_ms);
    read_list(reader, "services", [&](const json& element, const std::string& at) {
        settings.m_services.push_back(read_service(element, at));
    });
    if (settings.m_services.empty())
        reader.fail("services", "a list that is not empty");
    return settings;
}

} // namespace

std::string to_string(const settings_error& error)
{
    return error.m_field + ": expected " + error.m_expected;
}

result<load_settings, settings_error> parse_settings(const json& document)
{
    try {
        return read_document(document);
    } catch (const settings_error& error) {
        return error;
    }
}

} // namespace azureladder::load
