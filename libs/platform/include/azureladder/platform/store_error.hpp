#pragma once

#include <azureladder/base/enum_names.hpp>

#include <cstdint>
#include <string>

namespace azureladder::platform {

/// Reason for a failed call to the platform store.
enum class store_error_kind
{
    /// Write: the key has another version than expected.
    conflict,
    /// Write: the value exceeds the limit of the store. No effect.
    too_large,
    /// The call had no effect.
    unavailable,
    /// Write: it may have taken effect; the caller must read the key.
    unknown
};

inline constexpr enum_name<store_error_kind> store_error_kind_names[] = {
    {store_error_kind::conflict, "conflict"},
    {store_error_kind::too_large, "too_large"},
    {store_error_kind::unavailable, "unavailable"},
    {store_error_kind::unknown, "unknown"},
};

constexpr std::string_view to_string(store_error_kind value)
{
    return find_enum_name(store_error_kind_names, value);
}

/// Error of a store.
struct store_error
{
    store_error_kind m_kind = store_error_kind::unavailable;

    /// Current version of the key. Only for `conflict`.
    std::uint64_t m_current_version = 0;
    std::string m_message;
};

} // namespace azureladder::platform
