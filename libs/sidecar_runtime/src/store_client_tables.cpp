#include "store_client.hpp"

#include "store_keys.hpp"

#include <azureladder/key_ranges/store_revision.hpp>

#include <charconv>
#include <utility>

namespace azureladder::sidecar_runtime {

namespace {

/// Separates the service from the era in the key of a range table.
constexpr char era_separator = '@';

std::string table_key(const std::string& service, std::uint64_t era)
{
    std::string key = std::string(table_key_prefix) + service;
    if (era != 0)
        key += era_separator + std::to_string(era);
    return key;
}

/// Era that a key of the service's range tables belongs to; empty for other keys.
std::optional<std::uint64_t> era_of_table_key(const std::string& service, std::string_view key)
{
    const std::string first = table_key(service, 0);
    if (key == first)
        return 0;
    if (key.size() <= first.size() + 1 || key.substr(0, first.size()) != first ||
        key[first.size()] != era_separator)
        return std::nullopt;
    const std::string_view digits = key.substr(first.size() + 1);
    std::uint64_t era = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), era);
    return error == std::errc() && end == digits.data() + digits.size() ? std::optional(era)
                                                                        : std::nullopt;
}

} // namespace

void store_client::read_table(const sidecar::read_table& command)
{
    const time_point sent_at = m_clock.now();
    call(
        m_codec.encode_item_read(table_key(command.m_service, m_era)), m_options.m_call_timeout,
        [this, sent_at, era = m_era, service = command.m_service](const exchange_outcome& outcome) {
            sidecar::table_read result;
            result.m_service = service;
            result.m_sent_at = sent_at;
            result.m_revision = key_ranges::store_revision(era, 0);
            if (outcome.m_result == exchange_result::answered && era == m_era) {
                if (outcome.m_response.m_status == 404 && era != 0) {
                    read_former_table(result);
                    return;
                }
                result.m_succeeded = outcome.m_response.m_status == 404;
                const auto decoded_items = m_codec.decode_store_items(outcome.m_response);
                const auto* items = std::get_if<store_read_response>(&decoded_items);
                if (is_success(outcome) && items != nullptr && items->m_items.size() == 1) {
                    result.m_succeeded = true;
                    result.m_revision =
                        key_ranges::store_revision(era, items->m_items.front().m_revision);
                    result.m_text = items->m_items.front().m_value;
                }
            }
            m_on_event(std::move(result));
        });
}

void store_client::read_former_table(const sidecar::table_read& read)
{
    call(m_codec.encode_list(table_key(read.m_service, 0), "", false), m_options.m_call_timeout,
         [this, era = m_era, read](const exchange_outcome& outcome) {
             sidecar::table_read result = read;
             const auto decoded_items = m_codec.decode_store_items(outcome.m_response);
             const auto* items = std::get_if<store_read_response>(&decoded_items);
             result.m_succeeded = is_success(outcome) && items != nullptr && era == m_era;
             std::optional<std::uint64_t> newest;
             for (const auto& item :
                  result.m_succeeded ? items->m_items : std::vector<store_item>()) {
                 const auto item_era = era_of_table_key(result.m_service, item.m_key);
                 if (!item_era || *item_era >= era || (newest && *newest > *item_era))
                     continue;
                 newest = item_era;
                 result.m_former_text = item.m_value;
             }
             m_on_event(std::move(result));
         });
}

void store_client::write_table(const sidecar::write_table& command)
{
    const time_point sent_at = m_clock.now();
    sidecar::table_written written;
    written.m_service = command.m_service;
    written.m_sent_at = sent_at;
    if (key_ranges::era_of(command.m_expected_revision) != m_era) {
        m_on_event(std::move(written));
        return;
    }
    call(m_codec.encode_put(table_key(command.m_service, m_era), command.m_text,
                            key_ranges::number_of(command.m_expected_revision), 0),
         m_options.m_call_timeout, [this, era = m_era, written](const exchange_outcome& outcome) {
             sidecar::table_written result = written;
             // A response of another era does not say in which one the write took effect.
             if (outcome.m_result == exchange_result::answered && era == m_era) {
                 const store_put_response put_response =
                     m_codec.decode_put_response(outcome.m_response);
                 result.m_result = put_response.m_result;
                 result.m_revision = put_response.m_revision;
                 if (!put_response.m_current_items.empty()) {
                     result.m_revision = put_response.m_current_items.front().m_revision;
                     result.m_text = put_response.m_current_items.front().m_value;
                 }
                 result.m_revision = key_ranges::store_revision(era, result.m_revision);
             }
             m_on_event(std::move(result));
         });
}

} // namespace azureladder::sidecar_runtime
