#pragma once

#include "cbor_scan.hpp"
#include "message_table.hpp"

#include <azureladder/base/json.hpp>

#include <cmath>
#include <optional>
#include <utility>
#include <vector>

/// Conversion between structures with a descriptor and JSON values that are serialised as CBOR.
namespace azureladder::wire {

/// Empty when a value was decoded.
using decode_error = std::optional<wire_error>;

inline decode_error make_decode_error(wire_error_kind kind, std::string_view key)
{
    return wire_error{kind, std::string(key)};
}

template <class Type>
struct is_vector : std::false_type
{
};
template <class Item>
struct is_vector<std::vector<Item>> : std::true_type
{
};
template <class Type>
struct is_variant : std::false_type
{
};
template <class... Types>
struct is_variant<std::variant<Types...>> : std::true_type
{
};

/// Encodes the IP address in 4 or 16 bytes and the port in 2; empty for an endpoint without
/// address.
json encode_endpoint(const endpoint& value);
decode_error decode_endpoint(const json& input, endpoint& value, std::string_view key);

json encode_string(const std::string& value, text_style style);
decode_error decode_string(const json& input, std::string& value, std::uint64_t limit,
                           text_style style, std::string_view key);

decode_error decode_unsigned(const json& input, std::uint64_t& value, std::uint64_t limit,
                             std::string_view key);

/// Clamps the load to at most 1, because backend servers report it unchecked; -1 when unknown.
json encode_load(double value);
decode_error decode_load(const json& input, double& value, std::string_view key);

template <class Type>
json encode_struct(const Type& value);

template <class Type>
decode_error decode_struct(const json& input, Type& value, std::string_view key);

template <class Value>
json encode_value(const Value& value, text_style style)
{
    if constexpr (std::is_same_v<Value, std::string>) {
        return encode_string(value, style);
    } else if constexpr (std::is_same_v<Value, endpoint>) {
        return encode_endpoint(value);
    } else if constexpr (std::is_same_v<Value, duration>) {
        return std::uint64_t(std::max<duration::rep>(value.count(), 0));
    } else if constexpr (std::is_same_v<Value, double>) {
        return encode_load(value);
    } else if constexpr (std::is_enum_v<Value>) {
        return std::uint64_t(value);
    } else if constexpr (std::is_arithmetic_v<Value>) {
        return value;
    } else if constexpr (is_vector<Value>::value) {
        json items = json::array();
        for (const auto& item : value)
            items.push_back(encode_value(item, style));
        return items;
    } else if constexpr (is_variant<Value>::value) {
        json chosen = std::visit([](const auto& held) { return encode_struct(held); }, value);
        return json::array({value.index(), std::move(chosen)});
    } else {
        return encode_struct(value);
    }
}

template <class Value>
decode_error decode_value(const json& input, Value& value, std::uint64_t limit, text_style style,
                          std::string_view key);

template <class Item>
decode_error decode_list(const json& input, std::vector<Item>& value, std::uint64_t limit,
                         text_style style, std::string_view key)
{
    if (!input.is_array())
        return make_decode_error(wire_error_kind::wrong_type, key);
    if (input.size() > limit)
        return make_decode_error(wire_error_kind::too_large, key);
    value.reserve(input.size());
    for (const auto& item : input) {
        value.emplace_back();
        if (auto error = decode_value(item, value.back(), default_limit<Item>(), style, key))
            return error;
    }
    return std::nullopt;
}

/// Decodes the alternative with the index `Index` or a later one.
template <std::size_t Index, class Variant>
decode_error decode_alternative(std::uint64_t index, const json& input, Variant& value,
                                std::string_view key)
{
    if constexpr (Index < std::variant_size_v<Variant>) {
        if (index == Index)
            return decode_struct(input, value.template emplace<Index>(), key);
        return decode_alternative<Index + 1>(index, input, value, key);
    } else {
        return make_decode_error(wire_error_kind::out_of_range, key);
    }
}

template <class Variant>
decode_error decode_variant(const json& input, Variant& value, std::string_view key)
{
    if (!input.is_array() || input.size() != 2 || !input[0].is_number_unsigned())
        return make_decode_error(wire_error_kind::wrong_type, key);
    return decode_alternative<0>(input[0].template get<std::uint64_t>(), input[1], value, key);
}

template <class Value>
decode_error decode_number(const json& input, Value& value, std::uint64_t limit,
                           std::string_view key)
{
    std::uint64_t number = 0;
    if constexpr (std::is_enum_v<Value>) {
        static_assert(
            enum_size<Value> > 0,
            "the enumeration needs a complete table of names and its size in message_table.hpp");
        limit = enum_size<Value> - 1;
    }
    if (auto error = decode_unsigned(input, number, limit, key))
        return error;
    value = Value(number);
    return std::nullopt;
}

template <class Value>
decode_error decode_value(const json& input, Value& value, std::uint64_t limit, text_style style,
                          std::string_view key)
{
    if constexpr (std::is_same_v<Value, std::string>) {
        return decode_string(input, value, limit, style, key);
    } else if constexpr (std::is_same_v<Value, endpoint>) {
        return decode_endpoint(input, value, key);
    } else if constexpr (std::is_same_v<Value, double>) {
        return decode_load(input, value, key);
    } else if constexpr (std::is_same_v<Value, bool>) {
        if (!input.is_boolean())
            return make_decode_error(wire_error_kind::wrong_type, key);
        value = input.get<bool>();
        return std::nullopt;
    } else if constexpr (std::is_enum_v<Value> || std::is_arithmetic_v<Value> ||
                         std::is_same_v<Value, duration>) {
        return decode_number(input, value, limit, key);
    } else if constexpr (is_vector<Value>::value) {
        return decode_list(input, value, limit, style, key);
    } else if constexpr (is_variant<Value>::value) {
        return decode_variant(input, value, key);
    } else {
        return decode_struct(input, value, key);
    }
}

/// Adds the fields of `value` to the map `output`.
template <class Type>
void encode_fields(const Type& value, json& output)
{
    static_assert(describes_all_members<Type>(), "a member has no row in message_table.hpp");
    static_assert(has_distinct_keys<Type>(), "two fields have the same key");
    std::apply(
        [&](const auto&... fields) {
            ((output[std::string(fields.m_key)] =
                  encode_value(value.*fields.m_member, fields.m_style)),
             ...);
        },
        descriptor<Type>::fields);
}

/// Appends the fields of `value` to the array `items`.
template <class Type>
void encode_items(const Type& value, json& items)
{
    static_assert(describes_all_members<Type>(), "a member has no row in message_table.hpp");
    std::apply(
        [&](const auto&... fields) {
            (items.push_back(encode_value(value.*fields.m_member, fields.m_style)), ...);
        },
        descriptor<Type>::fields);
}

template <class Type>
json encode_struct(const Type& value)
{
    if constexpr (is_encoded_as_array<Type>::value) {
        json items = json::array();
        encode_items(value, items);
        return items;
    } else {
        json output = json::object();
        encode_fields(value, output);
        return output;
    }
}

template <class Type, class Field>
decode_error decode_field(const json& map, Type& value, const Field& row)
{
    const auto found = map.find(row.m_key);
    if (found == map.end())
        return make_decode_error(wire_error_kind::missing_field, row.m_key);
    return decode_value(*found, value.*row.m_member, row.m_limit, row.m_style, row.m_key);
}

/// Decodes the fields of `value` from a map. Unknown keys are ignored.
template <class Type>
decode_error decode_fields(const json& map, Type& value)
{
    decode_error error;
    std::apply(
        [&](const auto&... fields) {
            (void)((error = decode_field(map, value, fields), error.has_value()) || ...);
        },
        descriptor<Type>::fields);
    return error;
}

/// Decodes the fields of `value` from the items of an array, beginning with the item `index`.
template <class Type>
decode_error decode_items(const json& items, Type& value, std::size_t index = 0)
{
    decode_error error;
    std::apply(
        [&](const auto&... fields) {
            (void)((error = decode_value(items[index++], value.*fields.m_member, fields.m_limit,
                                         fields.m_style, fields.m_key),
                    error.has_value()) ||
                   ...);
        },
        descriptor<Type>::fields);
    return error;
}

template <class Type>
decode_error decode_struct(const json& input, Type& value, std::string_view key)
{
    if constexpr (is_encoded_as_array<Type>::value) {
        constexpr auto count = std::tuple_size_v<std::decay_t<decltype(descriptor<Type>::fields)>>;
        if (!input.is_array() || input.size() != count)
            return make_decode_error(wire_error_kind::wrong_type, key);
        return decode_items(input, value);
    } else {
        if (!input.is_object())
            return make_decode_error(wire_error_kind::wrong_type, key);
        return decode_fields(input, value);
    }
}

} // namespace azureladder::wire
