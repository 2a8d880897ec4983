#include "announcement.hpp"

#include <azureladder/base/object_reader.hpp>

#include <vector>

namespace azureladder::node {

namespace {

constexpr std::int64_t max_slots = 4'096;
constexpr std::int64_t max_connections = 65'536;
constexpr std::size_t max_name_bytes = 128;

const string_constraint name_rule = {"a text of 1 to 128 bytes", [](const std::string& text) {
                                         return !text.empty() &&
                                                is_printable_utf8(text, max_name_bytes);
                                     }};

const string_constraint address_rule = {
    "an IP address and a port, for example \"10.0.0.1:80\"",
    [](const std::string& text) { return parse_endpoint(text).has_value(); }};

void read_fields(object_reader& reader, core::backend_info& info)
{
    reader.read_string("server", name_rule, info.m_server, presence::required);
    reader.read_string("service", name_rule, info.m_service, presence::required);
    reader.read_string("zone", name_rule, info.m_zone, presence::required);
    reader.read_string("start_id", name_rule, info.m_start_id, presence::required);
    reader.read_integer("slots", 1, max_slots, info.m_slots, presence::required);
    reader.read_integer("connections", 1, max_connections, info.m_connections, presence::required);
    reader.read_enum("fencing", core::fencing_names, info.m_fencing, presence::required);
    reader.read_boolean("cold", info.m_cold);
    reader.read_boolean("draining", info.m_draining);
    std::string address;
    if (reader.read_string("address", address_rule, address, presence::required))
        info.m_address = *parse_endpoint(address);
}

} // namespace

result<core::backend_info, field_error> parse_announcement(const std::string& text)
{
    std::vector<field_error> errors;
    const auto object = parse_json_text(text, false, errors);
    if (!errors.empty())
        return errors.front();
    core::backend_info info;
    // Unknown fields are ignored: backend servers may be newer than the router.
    object_reader reader(object, "", errors);
    read_fields(reader, info);
    if (!errors.empty())
        return errors.front();
    const auto load = object.find("load");
    if (load != object.end() && load->is_number())
        info.m_load = load->get<double>();
    return info;
}

} // namespace azureladder::node
