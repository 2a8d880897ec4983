#include "store_session.hpp"

#include <algorithm>
#include <utility>

namespace azureladder::sidecar_runtime {

namespace {

constexpr const char* node_prefix = "azureladder/nodes/";
constexpr const char* table_prefix = "azureladder/keys/";

/// Ends the key, below that of its node, of the departures that a node acknowledged. They are read
/// with the list of nodes, at no further call.
constexpr std::string_view departures_suffix = "/departures";

bool is_departures_key(std::string_view key)
{
    return key.size() > departures_suffix.size() &&
           key.substr(key.size() - departures_suffix.size()) == departures_suffix;
}

/// Pause before the next watch after one that brought events, so that events that come in quick
/// succession are read by one call.
constexpr milliseconds watch_pause{30};

/// Time beyond the wait of a watch for its answer to arrive.
constexpr milliseconds watch_slack{2000};

bool is_success(const exchange_outcome& outcome)
{
    return outcome.m_result == exchange_result::answered && outcome.m_response.m_status == 200;
}

std::string describe(const exchange_outcome& outcome)
{
    return outcome.m_result == exchange_result::answered
               ? "status " + std::to_string(outcome.m_response.m_status)
               : outcome.m_cause;
}

} // namespace

store_session::store_session(asio::io_context& io, const clock& time, const protocol_codec& codec,
                             store_options options, report_function report, log_function write_log)
    : m_io(io), m_clock(time), m_codec(codec), m_options(std::move(options)),
      m_report(std::move(report)), m_log(std::move(write_log)),
      m_random(static_cast<std::uint32_t>(std::hash<std::string>{}(m_options.m_node)))
{
}

void store_session::start()
{
    load_documents("");
    create_lease();
    schedule_lists();
}

void store_session::after(milliseconds pause, std::function<void()> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_io, pause);
    timer->async_wait([timer, action = std::move(action)](error_code error) {
        if (!error)
            action();
    });
}

milliseconds store_session::with_jitter(milliseconds pause)
{
    return pause + milliseconds(m_random() % static_cast<unsigned>(pause.count() + 1));
}

void store_session::note_reachable(bool reachable, const std::string& cause)
{
    if (reachable == m_reachable)
        return;
    m_reachable = reachable;
    if (reachable)
        m_log(log_level::info, "store_regained", {{"revision", m_revision}});
    else
        m_log(log_level::warning, "store_lost", {{"cause", cause}, {"revision", m_revision}});
}

void store_session::call(const http_request& request, milliseconds timeout, reply_function reply)
{
    ++m_calls;
    auto connection = take_idle_connection(m_idle);
    if (!connection)
        connection = std::make_shared<client_connection>(m_io, m_options.m_address,
                                                         m_options.m_connect_timeout);
    connection->exchange(
        request, timeout, nullptr,
        [this, connection, reply = std::move(reply)](const exchange_outcome& outcome) {
            if (connection->is_reusable())
                m_idle.push_back(connection);
            const bool reachable = outcome.m_result == exchange_result::answered &&
                                   outcome.m_response.m_status != 503 &&
                                   outcome.m_response.m_status != 429;
            note_reachable(reachable, describe(outcome));
            reply(outcome);
        });
}

void store_session::load_documents(const std::string& after_key)
{
    if (after_key.empty())
        m_listed_zones.clear();
    call(m_codec.encode_list(m_codec.operator_key_prefix(), after_key, false),
         m_options.m_call_timeout, [this](const exchange_outcome& outcome) {
             const auto retry = [this] { load_documents(""); };
             if (!is_success(outcome)) {
                 after(with_jitter(m_options.m_retry_pause), retry);
                 return;
             }
             const auto read = m_codec.decode_store_items(outcome.m_response);
             if (const auto* error = std::get_if<decode_error>(&read)) {
                 m_log(log_level::error, "store_answer_unreadable", {{"cause", error->m_reason}});
                 after(with_jitter(m_options.m_retry_pause), retry);
                 return;
             }
             const auto& page = std::get<store_read_response>(read);
             for (const auto& item : page.m_items) {
                 const std::string zone = m_codec.evacuated_zone(item.m_key);
                 if (!zone.empty())
                     m_listed_zones.insert(zone);
                 else
                     take_item(item);
             }
             if (page.m_has_more && !page.m_items.empty()) {
                 load_documents(page.m_items.back().m_key);
                 return;
             }
             m_evacuated_zones = m_listed_zones;
             m_revision = page.m_revision;
             report_documents(m_revision);
             watch();
         });
}

void store_session::take_item(const store_item& item)
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

void store_session::report_documents(std::uint64_t revision)
{
    sidecar::operator_documents documents;
    documents.m_revision = revision;
    documents.m_configuration_revision = m_configuration_revision;
    if (m_configuration_changed)
        documents.m_configuration_text = m_configuration_text;
    m_configuration_changed = false;
    documents.m_evacuated_zones = m_evacuated_zones;
    m_report(std::move(documents));
}

void store_session::watch()
{
    ++m_calls;
    if (!m_watch_connection || !m_watch_connection->can_be_reused_now())
        m_watch_connection = std::make_shared<client_connection>(m_io, m_options.m_address,
                                                                 m_options.m_connect_timeout);
    m_watch_connection->exchange(
        m_codec.encode_watch(m_codec.operator_key_prefix(), m_revision, m_options.m_watch_wait),
        m_options.m_watch_wait + watch_slack, nullptr,
        [this](const exchange_outcome& outcome) { on_watch(outcome); });
}

void store_session::on_watch(const exchange_outcome& outcome)
{
    if (outcome.m_result != exchange_result::answered || outcome.m_response.m_status >= 500 ||
        outcome.m_response.m_status == 429) {
        // A reading tells at once whether something was missed; the watch may have been cut late.
        note_reachable(false, describe(outcome));
        after(with_jitter(watch_pause), [this] { load_documents(""); });
        return;
    }
    const auto read = m_codec.decode_store_items(outcome.m_response);
    const auto* items = std::get_if<store_read_response>(&read);
    if (items == nullptr || items->m_is_revision_compacted) {
        load_documents("");
        return;
    }
    for (const auto& item : items->m_items)
        take_item(item);
    m_revision = std::max(m_revision, items->m_revision);
    if (!items->m_items.empty())
        report_documents(m_revision);
    after(watch_pause, [this] { watch(); });
}

void store_session::create_lease()
{
    call(m_codec.encode_lease_creation(m_options.m_record_life), m_options.m_call_timeout,
         [this](const exchange_outcome& outcome) {
             const auto read =
                 is_success(outcome)
                     ? m_codec.decode_lease_id(outcome.m_response)
                     : std::variant<std::uint64_t, decode_error>(decode_error{describe(outcome)});
             if (const auto* lease = std::get_if<std::uint64_t>(&read))
                 write_record(*lease);
             else
                 retry_record();
         });
}

void store_session::write_record(std::uint64_t lease)
{
    const json record = {{"node", m_options.m_node}, {"address", m_options.m_peer_address}};
    call(m_codec.encode_put(node_prefix + m_options.m_node, record.dump(), std::nullopt, lease),
         m_options.m_call_timeout, [this, lease](const exchange_outcome& outcome) {
             if (is_success(outcome)) {
                 m_log(log_level::info, "node_record_written", {{"lease", lease}});
                 // Of two nodes that start together, the one whose record is later lists the other.
                 m_list_begun = true;
                 list_nodes(false, "");
                 after(m_options.m_renew_interval, [this, lease] { renew_lease(lease); });
             } else {
                 retry_record();
             }
         });
}

void store_session::retry_record()
{
    // The others may be listed although the record could not be written.
    if (!std::exchange(m_list_begun, true))
        list_nodes(false, "");
    after(with_jitter(m_options.m_retry_pause * 2), [this] { create_lease(); });
}

void store_session::renew_lease(std::uint64_t lease)
{
    call(m_codec.encode_lease_renewal(lease), m_options.m_call_timeout,
         [this, lease](const exchange_outcome& outcome) {
             if (is_success(outcome)) {
                 after(m_options.m_renew_interval, [this, lease] { renew_lease(lease); });
             } else if (outcome.m_result == exchange_result::answered &&
                        outcome.m_response.m_status == 404) {
                 m_log(log_level::warning, "node_record_lost", {{"lease", lease}});
                 create_lease();
             } else {
                 after(with_jitter(m_options.m_retry_pause), [this, lease] { renew_lease(lease); });
             }
         });
}

void store_session::list_nodes(bool stale, const std::string& after_key)
{
    if (after_key.empty())
        m_listed_nodes.clear();
    call(m_codec.encode_list(node_prefix, after_key, stale), m_options.m_call_timeout,
         [this, stale](const exchange_outcome& outcome) {
             const auto read = m_codec.decode_store_items(outcome.m_response);
             const auto* page = std::get_if<store_read_response>(&read);
             if (!is_success(outcome) || page == nullptr) {
                 if (!stale)
                     after(with_jitter(m_options.m_retry_pause * 2),
                           [this] { list_nodes(false, ""); });
                 return;
             }
             for (const auto& item : page->m_items) {
                 if (is_departures_key(item.m_key)) {
                     // A stale list may lack the newest departures.
                     if (!stale)
                         take_departures(item);
                     continue;
                 }
                 const json record = json::parse(item.m_value, nullptr, false);
                 if (!record.is_object() || !record.value("node", json()).is_string() ||
                     !record.value("address", json()).is_string() ||
                     !parse_endpoint(record["address"].get<std::string>())) {
                     m_log(log_level::warning, "node_record_unreadable", {{"key", item.m_key}});
                     continue;
                 }
                 m_listed_nodes[record["node"].get<std::string>()] =
                     record["address"].get<std::string>();
             }
             if (page->m_has_more && !page->m_items.empty()) {
                 list_nodes(stale, page->m_items.back().m_key);
                 return;
             }
             m_report(sidecar::nodes_listed{m_listed_nodes});
         });
}

void store_session::schedule_lists()
{
    after(m_options.m_list_interval, [this] {
        list_nodes(true, "");
        schedule_lists();
    });
}

std::string store_session::departures_key() const
{
    return node_prefix + m_options.m_node + std::string(departures_suffix);
}

void store_session::take_departures(const store_item& item)
{
    if (item.m_key != departures_key() || item.m_revision <= m_departures_revision)
        return;
    m_departures_revision = item.m_revision;
    const auto lives = sidecar::parse_departed_lives(item.m_value);
    if (lives)
        m_report(sidecar::departures_read{*lives});
    else
        m_log(log_level::warning, "departures_unreadable", {{"key", item.m_key}});
}

void store_session::write_departures(const sidecar::record_departures& wanted)
{
    m_departures_wanted = sidecar::to_text(wanted.m_lives);
    if (!m_departures_sending)
        send_departures();
}

void store_session::send_departures()
{
    m_departures_sending = true;
    // A write without an answer may be carried out late. The condition keeps it from replacing a
    // newer text.
    call(m_codec.encode_put(departures_key(), m_departures_wanted, m_departures_revision, 0),
         m_options.m_call_timeout,
         [this, text = m_departures_wanted](const exchange_outcome& outcome) {
             on_departures_sent(text, outcome);
         });
}

void store_session::on_departures_sent(const std::string& text, const exchange_outcome& outcome)
{
    store_put_response change;
    if (outcome.m_result == exchange_result::answered)
        change = m_codec.decode_put_response(outcome.m_response);
    if (change.m_result == sidecar::write_result::written) {
        m_departures_revision = change.m_revision;
        m_log(log_level::info, "departures_written", {{"revision", change.m_revision}});
        m_departures_sending = false;
        if (m_departures_wanted == text)
            end_departure_waits();
        else
            send_departures();
        return;
    }
    if (change.m_result == sidecar::write_result::conflict && !change.m_current_items.empty()) {
        // The reducer merges the present text and asks for another writing if it lacks something.
        m_departures_sending = false;
        take_departures(change.m_current_items.front());
        if (!m_departures_sending)
            end_departure_waits();
        return;
    }
    if (change.m_result == sidecar::write_result::conflict)
        m_departures_revision = 0;
    m_log(log_level::warning, "departures_not_written", {{"cause", describe(outcome)}});
    after(with_jitter(m_options.m_retry_pause), [this] { send_departures(); });
}

void store_session::when_departures_are_written(std::function<void()> action)
{
    if (!m_departures_sending) {
        action();
        return;
    }
    const auto waiting = std::make_shared<std::function<void()>>(std::move(action));
    const auto finish = [waiting] {
        if (const auto wanted = std::exchange(*waiting, nullptr))
            wanted();
    };
    m_departure_waits.push_back(finish);
    after(m_options.m_departure_wait, finish);
}

void store_session::end_departure_waits()
{
    for (const auto& finish : std::exchange(m_departure_waits, {}))
        finish();
}

void store_session::read_table(const sidecar::read_table& wanted)
{
    const time_point sent_at = m_clock.now();
    call(m_codec.encode_item_read(table_prefix + wanted.m_service), m_options.m_call_timeout,
         [this, sent_at, service = wanted.m_service](const exchange_outcome& outcome) {
             sidecar::table_read read;
             read.m_service = service;
             read.m_sent_at = sent_at;
             if (outcome.m_result == exchange_result::answered) {
                 read.m_succeeded = outcome.m_response.m_status == 404;
                 const auto parsed = m_codec.decode_store_items(outcome.m_response);
                 const auto* items = std::get_if<store_read_response>(&parsed);
                 if (is_success(outcome) && items != nullptr && items->m_items.size() == 1) {
                     read.m_succeeded = true;
                     read.m_revision = items->m_items.front().m_revision;
                     read.m_text = items->m_items.front().m_value;
                 }
             }
             m_report(std::move(read));
         });
}

void store_session::write_table(const sidecar::write_table& wanted)
{
    const time_point sent_at = m_clock.now();
    call(m_codec.encode_put(table_prefix + wanted.m_service, wanted.m_text,
                            wanted.m_expected_revision, 0),
         m_options.m_call_timeout,
         [this, sent_at, service = wanted.m_service](const exchange_outcome& outcome) {
             sidecar::table_written written;
             written.m_service = service;
             written.m_sent_at = sent_at;
             if (outcome.m_result == exchange_result::answered) {
                 const store_put_response change = m_codec.decode_put_response(outcome.m_response);
                 written.m_result = change.m_result;
                 written.m_revision = change.m_revision;
                 if (!change.m_current_items.empty()) {
                     written.m_revision = change.m_current_items.front().m_revision;
                     written.m_text = change.m_current_items.front().m_value;
                 }
             }
             m_report(std::move(written));
         });
}

} // namespace azureladder::sidecar_runtime
