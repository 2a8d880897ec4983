#pragma once

#include <azureladder/wire/envelope.hpp>

#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>

/// Building blocks of the message tables in message_table.hpp.
namespace azureladder::wire {

/// Encoding of a string field.
enum class text_style
{
    utf8, // names from records and settings; rejected unless valid UTF-8
    bytes // values that a caller or a backend server chooses
};

/// One field of a message: its key, its member and its largest value, length or count.
template <class Owner, class Value>
struct field
{
    std::string_view m_key;
    Value Owner::*m_member;
    std::uint64_t m_limit;
    text_style m_style = text_style::utf8;
};

/// Default limits of fields.
inline constexpr std::uint64_t max_name_bytes = 256;
inline constexpr std::uint64_t max_list_items = 65'536;
inline constexpr std::uint64_t max_status = 599;
inline constexpr std::uint64_t max_duration_us = 86'400'000'000; // one day

template <class Value>
constexpr std::uint64_t default_limit()
{
    if constexpr (std::is_same_v<Value, std::string>)
        return max_name_bytes;
    else if constexpr (std::is_same_v<Value, int>)
        return max_status;
    else if constexpr (std::is_same_v<Value, duration>)
        return max_duration_us;
    else if constexpr (std::is_integral_v<Value>)
        return std::numeric_limits<Value>::max();
    else
        return max_list_items;
}

template <class Owner, class Value>
constexpr field<Owner, Value> make_field(std::string_view key, Value Owner::*member,
                                         std::uint64_t limit = default_limit<Value>())
{
    return {key, member, limit, text_style::utf8};
}

template <class Owner>
constexpr field<Owner, std::string> make_bytes(std::string_view key, std::string Owner::*member,
                                               std::uint64_t limit = max_name_bytes)
{
    return {key, member, limit, text_style::bytes};
}

/// Table of the fields of a structure; specialised in message_table.hpp. A message also has
/// `code` and `preferred_channel`; a structure with `as_array` is encoded as an array of its fields
/// in the order of the table, without keys.
template <class Type>
struct descriptor;

template <class Type, class = void>
struct is_encoded_as_array : std::false_type
{
};

template <class Type>
struct is_encoded_as_array<Type, std::void_t<decltype(descriptor<Type>::as_array)>> : std::true_type
{
};

/// Whether a message uses the compact encoding: a map of version, type and one array with the
/// sender and the fields in the order of the table, without keys. Lease requests and grants use it
/// because they are sent continuously; adding a field to one requires a new type code.
template <class Type, class = void>
struct is_encoded_compact : std::false_type
{
};

template <class Type>
struct is_encoded_compact<Type, std::void_t<decltype(descriptor<Type>::compact)>> : std::true_type
{
};

/// Number of values of an enumeration, from its table of names; specialised in message_table.hpp.
template <class Enum>
inline constexpr std::size_t enum_size = 0;

/// Number of rows of a table that lists the values 0, 1, 2 and so on; 0 for any other table, whose
/// values cannot be range-checked by a single comparison.
template <class Enum, std::size_t Size>
constexpr std::size_t count_values(const enum_name<Enum> (&table)[Size])
{
    for (std::size_t i = 0; i < Size; ++i) {
        if (std::size_t(table[i].m_value) != i)
            return 0;
    }
    return Size;
}

/// Keys of the envelope. No message field may use them, because both share one map.
inline constexpr std::string_view version_key = "v";
inline constexpr std::string_view type_key = "t";
inline constexpr std::string_view node_key = "n";
inline constexpr std::string_view incarnation_key = "i";
inline constexpr std::string_view address_key = "a";

/// Key of the array of a compact message: node, incarnation, address and the fields.
inline constexpr std::string_view compact_key = "l";

/// Converts to the type of any member; only for `member_count`.
struct any_member
{
    template <class Type>
    operator Type() const; // NOLINT(google-explicit-constructor)
};

template <class Type, class = void, class... Members>
struct accepts_members : std::false_type
{
};

template <class Type, class... Members>
struct accepts_members<Type, std::void_t<decltype(Type{Members()...})>, Members...> : std::true_type
{
};

/// Number of members of an aggregate: the longest list of initialisers that it accepts.
template <class Type, class... Members>
constexpr std::size_t member_count()
{
    if constexpr (accepts_members<Type, void, Members..., any_member>::value)
        return member_count<Type, Members..., any_member>();
    else
        return sizeof...(Members);
}

/// Whether the table of an aggregate has a row for each member. A member without a row would be
/// omitted from the message without an error.
template <class Type>
constexpr bool describes_all_members()
{
    if constexpr (std::is_aggregate_v<Type>)
        return std::tuple_size_v<std::decay_t<decltype(descriptor<Type>::fields)>> ==
               member_count<Type>();
    else
        return true;
}

/// Whether the keys of a message differ from each other and from those of the envelope.
template <class Type>
constexpr bool has_distinct_keys()
{
    return std::apply(
        [](const auto&... fields) {
            const std::array<std::string_view, sizeof...(fields) + 5> keys = {
                version_key, type_key, node_key, incarnation_key, address_key, fields.m_key...};
            for (std::size_t a = 0; a < keys.size(); ++a) {
                for (std::size_t b = a + 1; b < keys.size(); ++b) {
                    if (keys[a] == keys[b])
                        return false;
                }
            }
            return true;
        },
        descriptor<Type>::fields);
}

} // namespace azureladder::wire
