#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace azureladder {

/// Value of an enumeration and its name in text, one row of a name table.
template <class Enum>
struct enum_name
{
    Enum m_value;
    std::string_view m_name;
};

/// Name of `value` in `table`, or "invalid" when the table has no row for it.
template <class Enum, std::size_t Size>
constexpr std::string_view find_enum_name(const enum_name<Enum> (&table)[Size], Enum value)
{
    for (const auto& row : table) {
        if (row.m_value == value)
            return row.m_name;
    }
    return "invalid";
}

/// Value with the name `name` in `table`; nothing when there is none.
template <class Enum, std::size_t Size>
constexpr std::optional<Enum> find_enum_value(const enum_name<Enum> (&table)[Size],
                                              std::string_view name)
{
    for (const auto& row : table) {
        if (row.m_name == name)
            return row.m_value;
    }
    return std::nullopt;
}

} // namespace azureladder
