#include "fake_store.hpp"

#include <azureladder/key_ranges/store_revision.hpp>

#include <algorithm>

namespace azureladder::sidecar {

table_read fake_store::read(const std::string& service, time_point sent_at)
{
    ++m_reads;
    table_read result;
    result.m_service = service;
    result.m_succeeded = true;
    result.m_sent_at = sent_at;
    result.m_revision = key_ranges::store_revision(m_era, 0);
    const auto found = m_items.find({service, m_era});
    if (found != m_items.end()) {
        result.m_revision = key_ranges::store_revision(m_era, found->second.m_revision);
        result.m_text = found->second.m_text;
        return result;
    }
    for (std::uint64_t era = 0; era < m_era; ++era) {
        const auto former = m_items.find({service, era});
        if (former != m_items.end())
            result.m_former_text = former->second.m_text;
    }
    return result;
}

table_written fake_store::write(const write_table& wanted, time_point sent_at,
                                time_point carried_out_at)
{
    table_written result;
    result.m_service = wanted.m_service;
    result.m_sent_at = sent_at;
    const std::uint64_t era = key_ranges::era_of(wanted.m_expected_revision);
    const auto present = m_items.find({wanted.m_service, era});
    const std::uint64_t present_number = present == m_items.end() ? 0 : present->second.m_revision;
    if (present_number != key_ranges::number_of(wanted.m_expected_revision)) {
        result.m_result = write_result::conflict;
        result.m_revision = key_ranges::store_revision(era, present_number);
        result.m_text = present == m_items.end() ? std::string() : present->second.m_text;
        return result;
    }
    m_snapshots.push_back({carried_out_at, m_items, m_revision});
    m_items[{wanted.m_service, era}] = {wanted.m_text, ++m_revision};
    result.m_result = write_result::written;
    result.m_revision = key_ranges::store_revision(era, m_revision);
    return result;
}

void fake_store::go_back(time_point time)
{
    ++m_era;
    const auto first_lost =
        std::find_if(m_snapshots.begin(), m_snapshots.end(),
                     [&](const snapshot& before) { return before.m_write_at > time; });
    if (first_lost == m_snapshots.end())
        return;
    m_items = first_lost->m_items;
    m_revision = first_lost->m_revision;
    m_snapshots.erase(first_lost, m_snapshots.end());
}

} // namespace azureladder::sidecar
