#pragma once

#include <azureladder/base/result.hpp>
#include <azureladder/platform/store_error.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

/// The platform's key-value service.
namespace azureladder::platform {

/// Largest value that the platform store accepts.
inline constexpr std::size_t max_value_bytes = 1'000'000;

/// Version of a key, increased by each write. 0 stands for a key that does not exist.
using version = std::uint64_t;

/// A value with its version.
struct versioned_value
{
    std::string m_value;
    version m_version = 0;
};

/// Result of `store::read_if_changed`.
struct conditional_read_result
{
    /// Whether the key still has the known version; `m_value` is then empty.
    bool m_unchanged = false;
    std::optional<versioned_value> m_value;
};

/// Key-value store with compare-and-swap. Calls block; all methods are thread-safe.
class store
{
public:
    virtual ~store() = default;

    /// Value of `key`, or nothing when the key does not exist. Fails only with `unavailable`.
    virtual result<std::optional<versioned_value>, store_error> read(const std::string& key) = 0;

    /// As `read`, but without the value when the version is still `known_version` (0: none known).
    virtual result<conditional_read_result, store_error> read_if_changed(const std::string& key,
                                                                         version known_version) = 0;

    /// Writes `value` when `key` still has `expected_version` (0: does not exist). Returns the new
    /// version.
    virtual result<version, store_error> write(const std::string& key, const std::string& value,
                                               version expected_version) = 0;
};

} // namespace azureladder::platform
