#include "fake_store.hpp"

namespace azureladder::sidecar {

table_read fake_store::read(const std::string& service, time_point sent_at)
{
    ++m_reads;
    table_read result;
    result.m_service = service;
    result.m_succeeded = true;
    result.m_sent_at = sent_at;
    const auto found = m_items.find(service);
    if (found != m_items.end()) {
        result.m_revision = found->second.m_revision;
        result.m_text = found->second.m_text;
    }
    return result;
}

table_written fake_store::write(const write_table& wanted, time_point sent_at)
{
    table_written result;
    result.m_service = wanted.m_service;
    result.m_sent_at = sent_at;
    item& present = m_items[wanted.m_service];
    if (present.m_revision != wanted.m_expected_revision) {
        result.m_result = write_result::conflict;
        result.m_revision = present.m_revision;
        result.m_text = present.m_text;
        return result;
    }
    present = {wanted.m_text, ++m_revision};
    result.m_result = write_result::written;
    result.m_revision = present.m_revision;
    return result;
}

} // namespace azureladder::sidecar
