#pragma once

#include <azureladder/platform/store.hpp>

#include <map>
#include <mutex>

namespace azureladder::platform {

/// Number of calls to a `memory_store`, including failed ones.
struct store_call_counts
{
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
};

/// In-memory fake of the platform store that simulates outages and lost responses.
class memory_store final : public store
{
public:
    result<std::optional<versioned_value>, store_error> read(const std::string& key) override;
    result<conditional_read_result, store_error> read_if_changed(const std::string& key,
                                                                 version known_version) override;
    result<version, store_error> write(const std::string& key, const std::string& value,
                                       version expected_version) override;

    /// Starts or ends an outage, during which every call fails with `unavailable`.
    void set_outage(bool is_active);

    /// The next `count` writes take effect but fail with `unknown`.
    void lose_next_responses(unsigned count);

    store_call_counts counts() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, versioned_value> m_values;
    store_call_counts m_counts;
    bool m_has_outage = false;
    unsigned m_responses_to_lose = 0;
};

} // namespace azureladder::platform
