#pragma once

#include <azureladder/sidecar/effects.hpp>
#include <azureladder/sidecar/events.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace azureladder::sidecar {

/// Range tables with compare-and-swap writes, like the platform's store. Each era has tables of its
/// own, and writes of former eras change those of their era only.
class fake_store
{
public:
    table_read read(const std::string& service, time_point sent_at);

    /// `carried_out_at` is the time by which `go_back` orders the writes.
    table_written write(const write_table& wanted, time_point sent_at,
                        time_point carried_out_at = {});

    /// Returns to the state at `time`, and enters the next era. Revision numbers are assigned
    /// again.
    void go_back(time_point time);

    std::uint64_t era() const { return m_era; }

    /// Number of the newest applied write.
    std::uint64_t revision() const { return m_revision; }

    std::size_t m_reads = 0;

private:
    struct item
    {
        std::string m_text;
        std::uint64_t m_revision = 0;
    };

    /// Tables by service and era.
    using items = std::map<std::pair<std::string, std::uint64_t>, item>;

    /// State before a write.
    struct snapshot
    {
        time_point m_write_at;
        items m_items;
        std::uint64_t m_revision = 0;
    };

    items m_items;
    std::uint64_t m_revision = 100;
    std::uint64_t m_era = 0;
    std::vector<snapshot> m_snapshots;
};

} // namespace azureladder::sidecar
