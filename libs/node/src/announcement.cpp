#include "announcement.hpp"

#include <azureladder/base/json.hpp>

namespace azureladder::node {

namespace {

constexpr std::uint32_t max_slots = 4'096;
constexpr std::uint32_t max_connections = 65'536;

result<std::string, std::string> read_text(const json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string() || found->get<std::string>().empty())
        return std::string(name) + ": expected a non-empty string";
    return found->get<std::string>();
}

result<std::uint32_t, std::string> read_count(const json& object, const char* name,
                                              std::uint32_t maximum)
{
    const auto found = object.find(name);
    const bool valid = found != object.end() && found->is_number_unsigned() &&
                       found->get<std::uint64_t>() >= 1 && found->get<std::uint64_t>() <= maximum;
    if (!valid)
        return std::string(name) + ": expected a whole number from 1 to " + std::to_string(maximum);
    return found->get<std::uint32_t>();
}

result<bool, std::string> read_flag(const json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end())
        return false;
    if (!found->is_boolean())
        return std::string(name) + ": expected true or false";
    return found->get<bool>();
}

} // namespace

result<core::backend_info, std::string> parse_announcement(const std::string& text)
{
    const auto object = json::parse(text, nullptr, false);
    if (!object.is_object())
        return std::string("expected a JSON object");
    core::backend_info info;
    BOOST_OUTCOME_TRY(info.m_server, read_text(object, "server"));
    BOOST_OUTCOME_TRY(info.m_service, read_text(object, "service"));
    BOOST_OUTCOME_TRY(info.m_zone, read_text(object, "zone"));
    BOOST_OUTCOME_TRY(info.m_start_id, read_text(object, "start_id"));
    BOOST_OUTCOME_TRY(info.m_slots, read_count(object, "slots", max_slots));
    BOOST_OUTCOME_TRY(info.m_connections, read_count(object, "connections", max_connections));
    BOOST_OUTCOME_TRY(info.m_cold, read_flag(object, "cold"));
    BOOST_OUTCOME_TRY(info.m_draining, read_flag(object, "draining"));
    BOOST_OUTCOME_TRY(const auto address, read_text(object, "address"));
    const auto parsed = parse_endpoint(address);
    if (!parsed)
        return std::string("address: expected an IP address and a port");
    info.m_address = *parsed;
    BOOST_OUTCOME_TRY(const auto fencing_name, read_text(object, "fencing"));
    const auto fencing = value_in(core::fencing_names, fencing_name);
    if (!fencing)
        return std::string("fencing: expected \"checked\" or \"ignored\"");
    info.m_fencing = *fencing;
    const auto load = object.find("load");
    if (load != object.end() && load->is_number())
        info.m_load = load->get<double>();
    return info;
}

} // namespace azureladder::node
