#pragma once

#include <azureladder/base/time.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

/// Test double of the platform's key-value service.
namespace azureladder::store_double {

/// A value with its version, which each write raises by one.
struct kv_entry
{
    std::string m_value;
    std::uint64_t m_version = 0;
};

/// Result of a compare-and-swap and the version of the key after it.
struct put_outcome
{
    bool m_written = false;
    std::uint64_t m_version = 0;
};

/// Keys and values with compare-and-swap and waiting reads. Thread safe.
class kv_table
{
public:
    std::optional<kv_entry> get(const std::string& key) const;

    /// Writes when the version of `key` is `expected` (0: the key does not exist).
    put_outcome put(const std::string& key, const std::string& value, std::uint64_t expected);

    /// Waits until `key` has a version above `after`. Nothing when `limit` passes or on `shut()`.
    std::optional<kv_entry> wait_for_newer(const std::string& key, std::uint64_t after,
                                           milliseconds limit);

    /// Ends all current waits and makes later ones return immediately.
    void cancel_waits();

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, kv_entry> m_entries;
    bool m_waits_cancelled = false;
};

} // namespace azureladder::store_double
