#pragma once

#include <azureladder/base/enum_names.hpp>

#include <string>

namespace azureladder::wire {

enum class wire_error_kind
{
    malformed,       // not a complete CBOR map, or one that uses tags or indefinite lengths
    unknown_version, // another protocol version
    unknown_type,
    missing_field,
    wrong_type,
    out_of_range,
    too_large, // more bytes, items or levels than the limits allow
};

inline constexpr enum_name<wire_error_kind> wire_error_kind_names[] = {
    {wire_error_kind::malformed, "malformed"},
    {wire_error_kind::unknown_version, "unknown_version"},
    {wire_error_kind::unknown_type, "unknown_type"},
    {wire_error_kind::missing_field, "missing_field"},
    {wire_error_kind::wrong_type, "wrong_type"},
    {wire_error_kind::out_of_range, "out_of_range"},
    {wire_error_kind::too_large, "too_large"},
};

constexpr std::string_view to_string(wire_error_kind kind)
{
    return find_enum_name(wire_error_kind_names, kind);
}

/// Reason why bytes were not decoded.
struct wire_error
{
    wire_error_kind m_kind = wire_error_kind::malformed;

    /// Key of the rejected field; empty when the message as a whole was rejected.
    std::string m_field;
};

} // namespace azureladder::wire
