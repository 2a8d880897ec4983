#include <azureladder/core/plan_json.hpp>

#include <azureladder/core/ownership.hpp>

namespace azureladder::core {

namespace {

json members_to_json(const std::vector<member_id>& members)
{
    json list = json::array();
    for (const auto& member : members)
        list.push_back(json::array({member.m_node, member.m_incarnation}));
    return list;
}

// The functions below use at(), get() and get_ref(), which throw on a missing field or another
// type.
std::vector<member_id> members_from_json(const json& list)
{
    std::vector<member_id> members;
    for (const auto& item : list)
        members.push_back(
            {item.at(0).get<std::string>(), item.at(1).get_ref<const json::number_unsigned_t&>()});
    return members;
}

slice_id slice_from_json(const json& item)
{
    return {item.at(0).get<std::string>(),
            std::uint32_t(item.at(1).get_ref<const json::number_unsigned_t&>())};
}

std::vector<planned_move> moves_from_json(const json& list)
{
    std::vector<planned_move> moves;
    for (const auto& item : list)
        moves.push_back({slice_from_json(item),
                         {item.at(2).get<std::string>(),
                          item.at(3).get_ref<const json::number_unsigned_t&>()}});
    return moves;
}

endpoint endpoint_from_json(const json& value)
{
    const auto address = parse_endpoint(value.get<std::string>());
    return address.value_or(endpoint{});
}

plan read_plan(const json& value)
{
    plan result;
    result.m_member.m_node = value.at("node").get<std::string>();
    result.m_member.m_incarnation =
        value.at("incarnation").get_ref<const json::number_unsigned_t&>();
    result.m_generation = value.at("generation").get_ref<const json::number_unsigned_t&>();
    result.m_version = value.at("version").get_ref<const json::number_unsigned_t&>();
    result.m_zone = value.at("zone").get<std::string>();
    result.m_http_address = endpoint_from_json(value.at("http_address"));
    result.m_peer_address = endpoint_from_json(value.at("peer_address"));
    result.m_service = value.at("service").get<std::string>();
    result.m_server = value.at("server").get<std::string>();
    result.m_checks_fencing = value.at("checks_fencing").get<bool>();
    result.m_witnesses = members_from_json(value.at("witnesses"));
    result.m_previous_witnesses = members_from_json(value.at("previous_witnesses"));
    result.m_standbys = members_from_json(value.at("standbys"));
    result.m_previous_standbys = members_from_json(value.at("previous_standbys"));
    for (const auto& item : value.at("slices")) {
        result.m_slices.push_back(
            {slice_from_json(item), item.at(2).get_ref<const json::number_unsigned_t&>()});
    }
    if (const auto moves = value.find("moves"); moves != value.end())
        result.m_moves = moves_from_json(*moves);
    return result;
}

slice_location read_location(const json& value)
{
    return {{value.at(0).get<std::string>(), value.at(1).get_ref<const json::number_unsigned_t&>()},
            value.at(2).get_ref<const json::number_unsigned_t&>()};
}

std::optional<std::uint32_t> parse_index(const std::string& text)
{
    constexpr std::size_t max_digits = 9;
    if (text.empty() || text.size() > max_digits)
        return std::nullopt;
    if (text.find_first_not_of("0123456789") != std::string::npos)
        return std::nullopt;
    return std::uint32_t(std::stoul(text));
}

} // namespace

std::optional<json> parse_object(const std::string& text)
{
    if (text.empty())
        return json::object();
    auto value = json::parse(text, nullptr, false);
    if (!value.is_object())
        return std::nullopt;
    return value;
}

std::string plan_field(const member_id& member)
{
    return member.m_node + "/" + std::to_string(member.m_incarnation);
}

json plan_to_json(const plan& value)
{
    json slices = json::array();
    for (const auto& owned : value.m_slices)
        slices.push_back(
            json::array({owned.m_slice.m_space, owned.m_slice.m_index, owned.m_epoch}));
    json moves = json::array();
    for (const auto& move : value.m_moves)
        moves.push_back(json::array({move.m_slice.m_space, move.m_slice.m_index,
                                     move.m_receiver.m_node, move.m_receiver.m_incarnation}));
    return {{"node", value.m_member.m_node},
            {"incarnation", value.m_member.m_incarnation},
            {"generation", value.m_generation},
            {"version", value.m_version},
            {"zone", value.m_zone},
            {"http_address", to_string(value.m_http_address)},
            {"peer_address", to_string(value.m_peer_address)},
            {"service", value.m_service},
            {"server", value.m_server},
            {"checks_fencing", value.m_checks_fencing},
            {"witnesses", members_to_json(value.m_witnesses)},
            {"previous_witnesses", members_to_json(value.m_previous_witnesses)},
            {"standbys", members_to_json(value.m_standbys)},
            {"previous_standbys", members_to_json(value.m_previous_standbys)},
            {"slices", std::move(slices)},
            {"moves", std::move(moves)}};
}

std::optional<plan> plan_from_json(const json& value)
{
    try {
        return read_plan(value);
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::optional<plan_shard> plan_shard_from_text(const std::string& text, std::size_t& malformed)
{
    const auto object = parse_object(text);
    if (!object)
        return std::nullopt;
    plan_shard shard;
    for (const auto& item : *object) {
        if (const auto content = plan_from_json(item))
            shard[content->m_member] = *content;
        else
            ++malformed;
    }
    return shard;
}

json location_to_json(const slice_location& value)
{
    return json::array({value.m_owner.m_node, value.m_owner.m_incarnation, value.m_epoch});
}

std::optional<slice_table> slice_table_from_text(const std::string& text, std::size_t& malformed)
{
    const auto object = parse_object(text);
    if (!object)
        return std::nullopt;
    slice_table table;
    for (const auto& [key, item] : object->items()) {
        const auto index = parse_index(key);
        if (!index) {
            ++malformed;
            continue;
        }
        try {
            table[*index] = read_location(item);
        } catch (const json::exception&) {
            ++malformed;
        }
    }
    return table;
}

std::vector<plan> plans_from_text(const std::string& text)
{
    std::size_t malformed = 0;
    std::vector<plan> plans;
    const auto shard = plan_shard_from_text(text, malformed);
    if (!shard)
        return plans;
    for (const auto& entry : *shard)
        plans.push_back(entry.second);
    return plans;
}

} // namespace azureladder::core
