#include "store_client.hpp"

#include "store_keys.hpp"

#include <azureladder/key_ranges/store_revision.hpp>

#include <algorithm>
#include <utility>

namespace azureladder::sidecar_runtime {

namespace {

bool is_departures_key(std::string_view key)
{
    return key.size() > departures_suffix.size() &&
           key.substr(key.size() - departures_suffix.size()) == departures_suffix;
}

/// Delay before the next watch, so that one call returns events that follow each other closely.
/// Also the base of the delay before a reload after a failed watch.
constexpr milliseconds watch_delay{30};

/// Wait time of a check, which returns events that exist already.
constexpr milliseconds check_wait{1};

/// Delay of a check after the start of its time slot, so that a timer which fires early does not
/// count for the previous slot.
constexpr milliseconds check_slot_margin{20};

/// Added to the wait time of a watch for its timeout.
constexpr milliseconds watch_response_margin{2000};

/// Text member of an object; null if it is missing or not a text.
const std::string* text_member(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found == object.end() ? nullptr : found->get_ptr<const std::string*>();
}

} // namespace

store_client::store_client(asio::io_context& io, const clock& time, const protocol_codec& codec,
                           byte_budget& budget, store_client_options options,
                           event_handler on_event, log_handler on_log_line, turn_source turn)
    : m_io(io), m_clock(time), m_codec(codec), m_budget(budget), m_options(std::move(options)),
      m_on_event(std::move(on_event)), m_on_log_line(std::move(on_log_line)),
      m_turn(std::move(turn)),
      m_random(static_cast<std::uint32_t>(std::hash<std::string>{}(m_options.m_node)))
{
}

void store_client::start()
{
    load_operator_documents("");
    create_lease();
    schedule_node_lists();
    run_after(m_options.m_first_check_delay, [this] { schedule_check(); });
}

void store_client::run_after(milliseconds delay, std::function<void()> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_io, delay);
    timer->async_wait([timer, action = std::move(action)](error_code error) {
        if (!error)
            action();
    });
}

milliseconds store_client::with_jitter(milliseconds delay)
{
    return delay + milliseconds(m_random() % static_cast<unsigned>(delay.count() + 1));
}

void store_client::update_reachability(bool reachable, const std::string& cause)
{
    if (reachable == m_is_reachable)
        return;
    m_is_reachable = reachable;
    if (reachable)
        m_on_log_line(log_level::info, "store_regained", {{"revision", m_revision}});
    else
        m_on_log_line(log_level::warning, "store_lost",
                      {{"cause", cause}, {"revision", m_revision}});
}

void store_client::call(const http_request& request, milliseconds timeout,
                        response_handler on_response)
{
    ++m_call_count;
    auto connection = take_idle_connection(m_idle_connections);
    if (!connection)
        connection = std::make_shared<client_connection>(m_io, m_options.m_address,
                                                         m_options.m_connect_timeout, &m_budget);
    connection->exchange(
        request, timeout, nullptr,
        [this, connection, on_response = std::move(on_response)](const exchange_outcome& outcome) {
            if (connection->is_reusable())
                m_idle_connections.push_back(connection);
            const bool reachable = outcome.m_result == exchange_result::answered &&
                                   outcome.m_response.m_status != 503 &&
                                   outcome.m_response.m_status != 429;
            update_reachability(reachable, failure_cause(outcome));
            if (is_of_former_era(outcome))
                on_response({exchange_result::incomplete, {}, "response of a former era"});
            else
                on_response(outcome);
        });
}

bool store_client::is_of_former_era(const exchange_outcome& outcome)
{
    if (outcome.m_result != exchange_result::answered)
        return false;
    const std::uint64_t era = m_codec.store_era(outcome.m_response);
    if (era > m_era) {
        enter_era(era);
        m_on_event(sidecar::store_era_seen{era});
    }
    return era < m_era;
}

void store_client::enter_era(std::uint64_t era)
{
    if (era <= m_era)
        return;
    m_era = era;
    m_revision = 0;
    m_configuration_revision = 0;
    m_departures_revision = 0;
    // The store may have lost this node's record and its lease, which are written again. The
    // documents are read again, because the watch's revision has no meaning any more.
    ++m_watch_number;
    m_is_watching = false;
    if (m_watch_connection)
        m_watch_connection->close();
    load_operator_documents("");
    ++m_record_number;
    run_after(with_jitter(m_options.m_retry_delay), [this, number = m_record_number] {
        if (number == m_record_number)
            create_lease();
    });
}

void store_client::load_operator_documents(const std::string& after_key)
{
    if (after_key.empty())
        m_loading_zones.clear();
    call(m_codec.encode_list(m_codec.operator_key_prefix(), after_key, false),
         m_options.m_call_timeout,
         [this, number = m_watch_number](const exchange_outcome& outcome) {
             if (number != m_watch_number)
                 return;
             const auto reload = [this, number] {
                 if (number == m_watch_number)
                     load_operator_documents("");
             };
             if (!is_success(outcome)) {
                 run_after(with_jitter(m_options.m_retry_delay), reload);
                 return;
             }
             const auto decoded = m_codec.decode_store_items(outcome.m_response);
             if (const auto* error = std::get_if<decode_error>(&decoded)) {
                 m_on_log_line(log_level::error, "store_answer_unreadable",
                               {{"cause", error->m_reason}});
                 run_after(with_jitter(m_options.m_retry_delay), reload);
                 return;
             }
             const auto& page = std::get<store_read_response>(decoded);
             for (const auto& item : page.m_items) {
                 const std::string zone = m_codec.evacuated_zone(item.m_key);
                 if (!zone.empty())
                     m_loading_zones.insert(zone);
                 else
                     apply_item(item);
             }
             if (page.m_has_more && !page.m_items.empty()) {
                 load_operator_documents(page.m_items.back().m_key);
                 return;
             }
             m_evacuated_zones = m_loading_zones;
             m_revision = page.m_revision;
             if (m_has_read_departures)
                 report_operator_documents(m_revision);
             else
                 read_departures();
             watch();
         });
}

void store_client::apply_item(const store_item& item)
{
    const std::string zone = m_codec.evacuated_zone(item.m_key);
    if (!zone.empty()) {
        if (item.m_deleted)
            m_evacuated_zones.erase(zone);
        else
            m_evacuated_zones.insert(zone);
        return;
    }
    if (!m_codec.is_configuration_key(item.m_key) || item.m_deleted ||
        item.m_revision <= m_configuration_revision)
        return;
    m_configuration_revision = item.m_revision;
    m_configuration_text = item.m_value;
    m_configuration_changed = true;
}

void store_client::report_operator_documents(std::uint64_t revision, bool missed_by_watch)
{
    if (!m_has_read_departures)
        return;
    sidecar::operator_documents documents;
    documents.m_revision = key_ranges::store_revision(m_era, revision);
    documents.m_configuration_revision =
        key_ranges::store_revision(m_era, m_configuration_revision);
    if (m_configuration_changed)
        documents.m_configuration_text = m_configuration_text;
    m_configuration_changed = false;
    documents.m_evacuated_zones = m_evacuated_zones;
    documents.m_missed_by_watch = missed_by_watch;
    m_on_event(std::move(documents));
}

void store_client::watch()
{
    ++m_call_count;
    m_is_watching = true;
    if (!m_watch_connection || !m_watch_connection->can_be_reused_now())
        m_watch_connection = std::make_shared<client_connection>(
            m_io, m_options.m_address, m_options.m_connect_timeout, &m_budget);
    m_watch_connection->exchange(
        m_codec.encode_watch(m_codec.operator_key_prefix(), m_revision, m_options.m_watch_wait),
        m_options.m_watch_wait + watch_response_margin, nullptr,
        [this, number = m_watch_number](const exchange_outcome& outcome) {
            if (number == m_watch_number && !is_of_former_era(outcome) && number == m_watch_number)
                on_watch(outcome);
        });
}

void store_client::on_watch(const exchange_outcome& outcome)
{
    m_is_watching = false;
    if (outcome.m_result != exchange_result::answered || outcome.m_response.m_status >= 500 ||
        outcome.m_response.m_status == 429) {
        // A list shows immediately whether events were missed, since a broken watch may be detected
        // late.
        update_reachability(false, failure_cause(outcome));
        run_after(with_jitter(watch_delay), [this, number = m_watch_number] {
            if (number == m_watch_number)
                load_operator_documents("");
        });
        return;
    }
    const auto decoded = m_codec.decode_store_items(outcome.m_response);
    const auto* items = std::get_if<store_read_response>(&decoded);
    if (items == nullptr || items->m_is_revision_compacted) {
        load_operator_documents("");
        return;
    }
    for (const auto& item : items->m_items)
        apply_item(item);
    m_revision = std::max(m_revision, items->m_revision);
    if (!items->m_items.empty())
        report_operator_documents(m_revision);
    run_after(watch_delay, [this, number = m_watch_number] {
        if (number == m_watch_number)
            watch();
    });
}

void store_client::schedule_check()
{
    const std::int64_t interval = std::chrono::microseconds(m_options.m_check_interval).count();
    const milliseconds left((interval - m_clock.wall_time_us() % interval) / 1000);
    run_after(left + check_slot_margin, [this] {
        if (is_own_turn())
            check_operator_documents();
        schedule_check();
    });
}

bool store_client::is_own_turn() const
{
    const sidecar::check_turn turn = m_turn();
    const auto slot = static_cast<std::uint64_t>(
        m_clock.wall_time_us() / std::chrono::microseconds(m_options.m_check_interval).count());
    const std::uint64_t min_slots =
        static_cast<std::uint64_t>(m_options.m_min_own_check_interval / m_options.m_check_interval);
    return slot % std::max<std::uint64_t>(turn.m_members, min_slots) == turn.m_rank;
}

void store_client::check_operator_documents()
{
    // Without a watch, the documents are being read or the watch is about to be sent.
    if (!m_is_watching)
        return;
    call(m_codec.encode_watch(m_codec.operator_key_prefix(), m_revision, check_wait),
         m_options.m_call_timeout, [this](const exchange_outcome& outcome) { on_check(outcome); });
}

void store_client::on_check(const exchange_outcome& outcome)
{
    if (!m_is_watching || outcome.m_result != exchange_result::answered)
        return;
    const auto decoded = m_codec.decode_store_items(outcome.m_response);
    const auto* response = std::get_if<store_read_response>(&decoded);
    if (response == nullptr)
        return;
    const bool is_behind =
        response->m_is_revision_compacted ||
        std::any_of(response->m_items.begin(), response->m_items.end(),
                    [this](const auto& item) { return item.m_revision > m_revision; });
    if (!is_behind)
        return;
    m_on_log_line(log_level::warning, "watch_behind",
                  {{"revision", m_revision},
                   {"store_revision", response->m_revision},
                   {"events", response->m_items.size()},
                   {"compacted", response->m_is_revision_compacted}});
    m_watch_connection->close();
    m_is_watching = false;
    if (response->m_is_revision_compacted) {
        load_operator_documents("");
        return;
    }
    for (const auto& item : response->m_items) {
        if (item.m_revision > m_revision)
            apply_item(item);
    }
    m_revision = std::max(m_revision, response->m_revision);
    report_operator_documents(m_revision, true);
    watch();
}

void store_client::create_lease()
{
    call(m_codec.encode_lease_creation(m_options.m_record_ttl), m_options.m_call_timeout,
         [this, number = m_record_number](const exchange_outcome& outcome) {
             if (number != m_record_number)
                 return;
             const auto decoded = is_success(outcome) ? m_codec.decode_lease_id(outcome.m_response)
                                                      : std::variant<std::uint64_t, decode_error>(
                                                            decode_error{failure_cause(outcome)});
             if (const auto* lease = std::get_if<std::uint64_t>(&decoded))
                 write_record(*lease);
             else
                 retry_record();
         });
}

void store_client::write_record(std::uint64_t lease)
{
    const json record = {{"node", m_options.m_node}, {"address", m_options.m_peer_address}};
    call(m_codec.encode_put(std::string(node_key_prefix) + m_options.m_node, dump_json(record),
                            std::nullopt, lease),
         m_options.m_call_timeout,
         [this, lease, number = m_record_number](const exchange_outcome& outcome) {
             if (number != m_record_number)
                 return;
             if (is_success(outcome)) {
                 m_on_log_line(log_level::info, "node_record_written", {{"lease", lease}});
                 // Listing follows the write, so that of two nodes that start at the same time the
                 // later writer lists the other.
                 m_has_listed_nodes = true;
                 list_nodes(false, "");
                 schedule_lease_renewal(m_options.m_lease_renewal_interval, lease);
             } else {
                 retry_record();
             }
         });
}

void store_client::retry_record()
{
    // Other nodes can be listed even if this node's record could not be written.
    if (!std::exchange(m_has_listed_nodes, true))
        list_nodes(false, "");
    run_after(with_jitter(m_options.m_retry_delay * 2), [this, number = m_record_number] {
        if (number == m_record_number)
            create_lease();
    });
}

void store_client::schedule_lease_renewal(milliseconds delay, std::uint64_t lease)
{
    run_after(delay, [this, lease, number = m_record_number] {
        if (number == m_record_number)
            renew_lease(lease);
    });
}

void store_client::renew_lease(std::uint64_t lease)
{
    call(m_codec.encode_lease_renewal(lease), m_options.m_call_timeout,
         [this, lease, number = m_record_number](const exchange_outcome& outcome) {
             if (number != m_record_number)
                 return;
             if (is_success(outcome)) {
                 schedule_lease_renewal(m_options.m_lease_renewal_interval, lease);
             } else if (outcome.m_result == exchange_result::answered &&
                        outcome.m_response.m_status == 404) {
                 m_on_log_line(log_level::warning, "node_record_lost", {{"lease", lease}});
                 create_lease();
             } else {
                 schedule_lease_renewal(with_jitter(m_options.m_retry_delay), lease);
             }
         });
}

void store_client::list_nodes(bool stale, const std::string& after_key)
{
    if (after_key.empty())
        m_loading_nodes = {};
    call(m_codec.encode_list(std::string(node_key_prefix), after_key, stale),
         m_options.m_call_timeout, [this, stale](const exchange_outcome& outcome) {
             const auto decoded = m_codec.decode_store_items(outcome.m_response);
             const auto* page = std::get_if<store_read_response>(&decoded);
             if (!is_success(outcome) || page == nullptr) {
                 if (!stale)
                     run_after(with_jitter(m_options.m_retry_delay * 2),
                               [this] { list_nodes(false, ""); });
                 return;
             }
             for (const auto& item : page->m_items) {
                 if (is_departures_key(item.m_key)) {
                     // A stale list may not contain the newest departures.
                     if (!stale)
                         apply_departures(item);
                     load_peer_departures(item);
                     continue;
                 }
                 const json record = json::parse(item.m_value, nullptr, false);
                 const std::string* node = text_member(record, "node");
                 const std::string* address = text_member(record, "address");
                 if (node == nullptr || address == nullptr || !parse_endpoint(*address)) {
                     m_on_log_line(log_level::warning, "node_record_unreadable",
                                   {{"key", item.m_key}});
                     continue;
                 }
                 m_loading_nodes.m_addresses[*node] = *address;
             }
             if (page->m_has_more && !page->m_items.empty()) {
                 list_nodes(stale, page->m_items.back().m_key);
                 return;
             }
             m_on_event(m_loading_nodes);
             if (!stale)
                 finish_departures_read();
         });
}

void store_client::schedule_node_lists()
{
    run_after(m_options.m_node_list_interval, [this] {
        list_nodes(true, "");
        schedule_node_lists();
    });
}

} // namespace azureladder::sidecar_runtime
