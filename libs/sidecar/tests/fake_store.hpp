#pragma once

#include <azureladder/sidecar/effects.hpp>
#include <azureladder/sidecar/events.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace azureladder::sidecar {

/// Range tables with compare-and-swap writes, like the platform's store.
class fake_store
{
public:
    table_read read(const std::string& service, time_point sent_at);
    table_written write(const write_table& wanted, time_point sent_at);

    /// Revision of the newest applied write.
    std::uint64_t revision() const { return m_revision; }

    std::size_t m_reads = 0;

private:
    struct item
    {
        std::string m_text;
        std::uint64_t m_revision = 0;
    };

    std::map<std::string, item> m_items;
    std::uint64_t m_revision = 100;
};

} // namespace azureladder::sidecar
