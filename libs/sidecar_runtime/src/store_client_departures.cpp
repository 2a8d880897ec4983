#include "store_client.hpp"

#include "store_keys.hpp"

#include <utility>

namespace azureladder::sidecar_runtime {

std::string store_client::departures_key() const
{
    return std::string(node_key_prefix) + m_options.m_node + std::string(departures_suffix);
}

bool store_client::apply_departures(const store_item& item)
{
    if (item.m_key != departures_key() || item.m_revision <= m_departures_revision)
        return false;
    m_departures_revision = item.m_revision;
    const auto incarnations = sidecar::parse_departed_servers(item.m_value);
    if (incarnations)
        m_on_event(sidecar::departures_read{*incarnations});
    else
        m_on_log_line(log_level::warning, "departures_unreadable", {{"key", item.m_key}});
    return incarnations.has_value();
}

void store_client::read_departures()
{
    call(m_codec.encode_item_read(departures_key()), m_options.m_call_timeout,
         [this](const exchange_outcome& outcome) {
             if (m_has_read_departures)
                 return;
             const bool is_absent = outcome.m_result == exchange_result::answered &&
                                    outcome.m_response.m_status == 404;
             const auto decoded = m_codec.decode_store_items(outcome.m_response);
             const auto* read = std::get_if<store_read_response>(&decoded);
             if (!is_absent && (!is_success(outcome) || read == nullptr)) {
                 run_after(with_jitter(m_options.m_retry_delay), [this] {
                     if (!m_has_read_departures)
                         read_departures();
                 });
                 return;
             }
             if (!is_absent) {
                 for (const auto& item : read->m_items)
                     apply_departures(item);
             }
             finish_departures_read();
         });
}

void store_client::finish_departures_read()
{
    if (std::exchange(m_has_read_departures, true))
        return;
    if (m_revision > 0)
        report_operator_documents(m_revision);
}

void store_client::load_peer_departures(const store_item& item)
{
    const std::size_t fixed_size = node_key_prefix.size() + departures_suffix.size();
    if (item.m_key == departures_key() || item.m_key.size() <= fixed_size)
        return;
    const std::string node =
        item.m_key.substr(node_key_prefix.size(), item.m_key.size() - fixed_size);
    const auto departed = sidecar::parse_departed_servers(item.m_value);
    // A node stores no more; the item is of another writer.
    if (departed && departed->size() <= sidecar::max_departed_servers)
        m_loading_nodes.m_departed_servers[node] = *departed;
}

void store_client::write_departures(const sidecar::store_departures& command)
{
    m_departures = command.m_departed;
    if (!m_is_writing_departures)
        put_departures();
}

void store_client::put_departures()
{
    m_is_writing_departures = true;
    // A write without a response may take effect late. The expected revision prevents it from
    // replacing newer departures.
    call(m_codec.encode_put(departures_key(), sidecar::to_text(m_departures), m_departures_revision,
                            0),
         m_options.m_call_timeout,
         [this, departed = m_departures](const exchange_outcome& outcome) {
             on_departures_put(departed, outcome);
         });
}

void store_client::on_departures_put(const sidecar::departed_servers& departed,
                                     const exchange_outcome& outcome)
{
    store_put_response put_response;
    if (outcome.m_result == exchange_result::answered)
        put_response = m_codec.decode_put_response(outcome.m_response);
    if (put_response.m_result == sidecar::write_result::written) {
        m_departures_revision = put_response.m_revision;
        m_on_log_line(log_level::info, "departures_written",
                      {{"revision", put_response.m_revision}});
        m_is_writing_departures = false;
        m_on_event(sidecar::departures_stored{departed});
        if (m_departures != departed)
            put_departures();
        return;
    }
    if (put_response.m_result == sidecar::write_result::conflict) {
        if (put_response.m_current_items.empty()) {
            m_departures_revision = 0;
        } else if (apply_departures(put_response.m_current_items.front())) {
            // The reducer merges the stored departures with its own and requests another write if
            // the stored ones are incomplete.
            m_is_writing_departures = false;
            return;
        }
    }
    m_on_log_line(log_level::warning, "departures_not_written",
                  {{"cause", failure_cause(outcome)}});
    run_after(with_jitter(m_options.m_retry_delay), [this] { put_departures(); });
}

} // namespace azureladder::sidecar_runtime
