#include <azureladder/wire/envelope.hpp>

#include "codec.hpp"

namespace azureladder::wire {

namespace {

/// Maximum encoded size of an envelope: its keys, a node name of 64 bytes, an incarnation and an
/// IPv6 address.
constexpr std::size_t max_envelope_bytes = 120;

/// Calls `function` with the message or frame in the payload.
template <class Function>
auto visit_payload(const payload& value, Function function)
{
    return std::visit(
        [&](const auto& held) {
            if constexpr (std::is_same_v<std::decay_t<decltype(held)>, core::message>)
                return std::visit(function, held);
            else
                return function(held);
        },
        value);
}

/// Number of items before the fields in the array of a compact message: node, incarnation, address.
constexpr std::size_t sender_items = 3;

template <class Message>
json encode_message(const Message& value, const envelope& sender)
{
    json map = json::object();
    map[std::string(version_key)] = protocol_version;
    map[std::string(type_key)] = descriptor<Message>::code;
    if constexpr (is_encoded_compact<Message>::value) {
        json items = json::array({sender.m_from.m_node, sender.m_from.m_incarnation,
                                  encode_endpoint(sender.m_reply_to)});
        encode_items(value, items);
        map[std::string(compact_key)] = std::move(items);
    } else {
        encode_fields(value, map);
        map[std::string(node_key)] = sender.m_from.m_node;
        map[std::string(incarnation_key)] = sender.m_from.m_incarnation;
        map[std::string(address_key)] = encode_endpoint(sender.m_reply_to);
    }
    return map;
}

decode_error decode_sender(const json& node, const json& incarnation, const json& address,
                           envelope& output)
{
    if (auto error =
            decode_string(node, output.m_from.m_node, max_name_bytes, text_style::utf8, node_key))
        return error;
    if (auto error = decode_endpoint(address, output.m_reply_to, address_key))
        return error;
    return decode_unsigned(incarnation, output.m_from.m_incarnation,
                           std::numeric_limits<std::uint64_t>::max(), incarnation_key);
}

decode_error decode_sender(const json& map, envelope& output)
{
    for (const auto key : {node_key, incarnation_key, address_key}) {
        if (map.find(key) == map.end())
            return make_decode_error(wire_error_kind::missing_field, key);
    }
    return decode_sender(*map.find(node_key), *map.find(incarnation_key), *map.find(address_key),
                         output);
}

/// Decodes the sender and the message from a map in keyed or compact encoding.
template <class Message>
decode_error decode_message(const json& map, Message& value, envelope& output)
{
    if constexpr (is_encoded_compact<Message>::value) {
        constexpr auto fields =
            std::tuple_size_v<std::decay_t<decltype(descriptor<Message>::fields)>>;
        const auto items = map.find(compact_key);
        if (items == map.end())
            return make_decode_error(wire_error_kind::missing_field, compact_key);
        if (!items->is_array() || items->size() != sender_items + fields)
            return make_decode_error(wire_error_kind::wrong_type, compact_key);
        if (auto error = decode_sender((*items)[0], (*items)[1], (*items)[2], output))
            return error;
        return decode_items(*items, value, sender_items);
    } else {
        if (auto error = decode_sender(map, output))
            return error;
        return decode_fields(map, value);
    }
}

/// Decodes the alternative of `Variant` with the type code `code`. Returns whether there is one.
template <std::size_t Index, class Variant>
bool decode_by_code(std::uint64_t code, const json& map, Variant& value, envelope& output,
                    decode_error& error)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        using alternative = std::variant_alternative_t<Index, Variant>;
        if constexpr (std::is_same_v<alternative, core::message>) {
            core::message inner;
            if (!decode_by_code<0>(code, map, inner, output, error))
                return decode_by_code<Index + 1>(code, map, value, output, error);
            value = std::move(inner);
            return true;
        } else {
            if (code != descriptor<alternative>::code)
                return decode_by_code<Index + 1>(code, map, value, output, error);
            error = decode_message(map, value.template emplace<Index>(), output);
            return true;
        }
    } else {
        return false;
    }
}

decode_error read_unsigned(const json& map, std::string_view key, std::uint64_t& value)
{
    const auto found = map.find(key);
    if (found == map.end())
        return make_decode_error(wire_error_kind::missing_field, key);
    return decode_unsigned(*found, value, std::numeric_limits<std::uint64_t>::max(), key);
}

decode_error check_version(const json& map)
{
    std::uint64_t version = 0;
    if (auto error = read_unsigned(map, version_key, version))
        return error;
    if (version != protocol_version)
        return make_decode_error(wire_error_kind::unknown_version, version_key);
    return std::nullopt;
}

/// Checks constraints between fields: the body of a reply must have its encoded length.
decode_error check_consistency(const payload& value)
{
    const auto* reply = std::get_if<reply_frame>(&value);
    if (reply == nullptr)
        return std::nullopt;
    const auto* content = std::get_if<reply_content>(&reply->m_result);
    if (content != nullptr && content->m_body_length != content->m_body.size())
        return make_decode_error(wire_error_kind::out_of_range, "l");
    return std::nullopt;
}

decode_error decode_payload(const json& map, envelope& output)
{
    std::uint64_t code = 0;
    if (auto error = read_unsigned(map, type_key, code))
        return error;
    decode_error error;
    if (!decode_by_code<0>(code, map, output.m_payload, output, error))
        return make_decode_error(wire_error_kind::unknown_type, type_key);
    if (error)
        return error;
    return check_consistency(output.m_payload);
}

decode_error decode_map(const json& map, envelope& output)
{
    if (auto error = check_version(map))
        return error;
    return decode_payload(map, output);
}

decode_error decode_bytes(const std::uint8_t* data, std::size_t size, envelope& output)
{
    if (size > max_frame_bytes)
        return make_decode_error(wire_error_kind::too_large, {});
    if (const auto kind = scan_cbor(data, size))
        return make_decode_error(*kind, {});
    const auto map = json::from_cbor(data, data + size, true, false);
    if (!map.is_object())
        return make_decode_error(wire_error_kind::malformed, {});
    return decode_map(map, output);
}

} // namespace

std::vector<std::uint8_t> encode(const envelope& value)
{
    return json::to_cbor(visit_payload(
        value.m_payload, [&](const auto& message) { return encode_message(message, value); }));
}

result<envelope, wire_error> decode(const std::uint8_t* data, std::size_t size)
{
    try {
        envelope output;
        if (auto error = decode_bytes(data, size, output))
            return std::move(*error);
        return output;
    } catch (const std::exception&) {
        return wire_error{wire_error_kind::malformed, {}};
    }
}

bool fits_datagram(const core::message& value)
{
    const envelope empty;
    const auto map =
        std::visit([&](const auto& message) { return encode_message(message, empty); }, value);
    return json::to_cbor(map).size() + max_envelope_bytes <= max_datagram_bytes;
}

channel channel_for(const core::message& value)
{
    const auto preferred = std::visit(
        [](const auto& message) {
            return descriptor<std::decay_t<decltype(message)>>::preferred_channel;
        },
        value);
    if (preferred == channel::datagram && fits_datagram(value))
        return channel::datagram;
    return channel::link;
}

} // namespace azureladder::wire
