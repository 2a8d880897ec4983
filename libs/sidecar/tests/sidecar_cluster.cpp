#include "sidecar_cluster.hpp"

#include <azureladder/key_ranges/store_revision.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <limits>

namespace azureladder::sidecar {

namespace {

constexpr duration tick = milliseconds(25);
constexpr duration store_delay = milliseconds(4);
constexpr duration announcement_interval = milliseconds(870);

routing::route make_route(const std::string& service, routing::request_kind kind)
{
    routing::route result;
    result.m_name = "route-" + service;
    result.m_host = service;
    result.m_prefix = "/";
    result.m_kind = kind;
    result.m_timeout = milliseconds(2000);
    result.m_latency_objective = milliseconds(1000);
    result.m_priority = 1;
    result.m_attempt_limit = 2;
    result.m_services = {{service, 1}};
    result.m_allows_anonymous = true;
    return result;
}

std::shared_ptr<const routing::routing_configuration>
make_configuration(const std::map<std::string, routing::quota_limit>& organisations)
{
    auto result = std::make_shared<routing::routing_configuration>();
    result->m_version = 1;
    result->m_routes = {make_route("orders", routing::request_kind::non_idempotent),
                        make_route("shelf", routing::request_kind::idempotent)};
    routing::route calls = make_route("orders", routing::request_kind::idempotent);
    calls.m_name = "calls";
    calls.m_host = "orders-calls";
    result->m_routes.push_back(calls);
    result->m_services["orders"].m_name = "orders";
    result->m_services["shelf"].m_name = "shelf";
    result->m_services["shelf"].m_is_sharded = true;
    for (auto& [name, service] : result->m_services)
        service.m_health_check_path = "/health";
    result->m_has_organisations = !organisations.empty();
    for (const auto& [name, limit] : organisations) {
        result->m_organisations[name] = {name, 1, limit};
        result->m_organisation_of_key[name] = name;
    }
    routing::index_routes(*result);
    return result;
}

} // namespace

sidecar_cluster::sidecar_cluster(const shape& wanted)
    : m_random(wanted.m_seed), m_max_ranges(wanted.m_max_ranges),
      m_configuration(make_configuration(wanted.m_organisations))
{
    const auto add = [&](const std::string& service, std::size_t number) {
        const std::string name = service + "-" + std::to_string(number);
        machine& added = m_machines[name];
        added.m_service = service;
        added.m_zone = "zone-" + std::to_string(number % 3);
        added.m_backend = std::make_unique<fake_backend>("i-" + name, service, name + ":1");
    };
    for (std::size_t i = 0; i < wanted.m_unsharded_servers; ++i)
        add("orders", i);
    for (std::size_t i = 0; i < wanted.m_sharded_servers; ++i)
        add("shelf", i);
    for (const auto& node : nodes())
        start_node(node);
}

std::vector<std::string> sidecar_cluster::nodes() const
{
    std::vector<std::string> result;
    for (const auto& [name, unused] : m_machines)
        result.push_back(name);
    return result;
}

void sidecar_cluster::at(duration delay, std::function<void()> action)
{
    m_scheduled_actions.emplace(m_now + delay, std::move(action));
}

void sidecar_cluster::run_for(duration time)
{
    const time_point end = m_now + time;
    while (!m_scheduled_actions.empty() && m_scheduled_actions.begin()->first <= end) {
        const auto next = m_scheduled_actions.begin();
        m_now = std::max(m_now, next->first);
        const auto action = std::move(next->second);
        m_scheduled_actions.erase(next);
        action();
        check_lease_holders();
    }
    m_now = end;
}

bool sidecar_cluster::is_up(const std::string& node, std::uint64_t incarnation) const
{
    const machine& wanted = m_machines.at(node);
    return wanted.m_state && wanted.m_incarnation == incarnation;
}

void sidecar_cluster::handle_event(const std::string& node, const event& next_event)
{
    machine& wanted = m_machines.at(node);
    if (!wanted.m_state)
        return;
    if (m_now < wanted.m_frozen_until) {
        const std::uint64_t incarnation = wanted.m_incarnation;
        wanted.m_deferred_events.push_back([this, node, incarnation, next_event] {
            if (is_up(node, incarnation))
                this->handle_event(node, next_event);
        });
        return;
    }
    for (const auto& todo : step(*wanted.m_state, next_event, m_now))
        execute_effect(node, todo);
}

void sidecar_cluster::start_node(const std::string& node)
{
    machine& wanted = m_machines.at(node);
    node_options options;
    options.m_node = node;
    options.m_incarnation = m_random();
    // Later than all starts of backend servers, so that each of them has to be checked.
    options.m_started_at_ms = std::numeric_limits<std::int64_t>::max();
    options.m_zone = wanted.m_zone;
    options.m_service = wanted.m_service;
    options.m_peer_address = node + ":0";
    options.m_max_ranges = m_max_ranges;
    options.m_max_ranges_per_owner = 0;
    options.m_body_transfers.m_bytes_per_s = body_rate;
    wanted.m_incarnation = options.m_incarnation;
    wanted.m_state = std::make_unique<node_state>(make_node(options, m_now, m_random()));
    const std::uint64_t incarnation = wanted.m_incarnation;
    const auto repeat = [this, node, incarnation](duration interval, auto action) {
        const auto loop = std::make_shared<std::function<void()>>();
        *loop = [this, node, incarnation, interval, action, loop] {
            if (!is_up(node, incarnation)) {
                // Breaks the reference cycle: the function object contains a pointer to itself.
                at(duration::zero(), [loop] { *loop = nullptr; });
                return;
            }
            action();
            at(interval, [loop] { (*loop)(); });
        };
        at(duration(static_cast<duration::rep>(m_random() % 1000)), [loop] { (*loop)(); });
    };
    repeat(tick, [this, node] { handle_event(node, timer_tick{}); });
    repeat(announcement_interval, [this, node] {
        fake_backend& server = backend(node);
        if (server.m_alive && m_now >= m_machines.at(node).m_announcements_dropped_until)
            handle_event(node, backend_announced{server.announcement(m_now)});
    });
    at(store_delay, [this, node, incarnation] {
        if (is_up(node, incarnation) && m_store_partitions.count(node) == 0)
            read_store(node);
    });
}

void sidecar_cluster::read_store(const std::string& node)
{
    deliver_operator_documents(node);
    handle_event(node, departures_read{m_departures[node]});
    nodes_listed listed;
    for (const auto& name : nodes())
        listed.m_addresses[name] = name + ":0";
    handle_event(node, listed);
}

void sidecar_cluster::deliver_operator_documents(const std::string& node)
{
    handle_event(node, configuration_decoded{
                           key_ranges::store_revision(m_store.era(), m_configuration_revision),
                           "text", m_configuration});
    operator_documents documents;
    documents.m_revision = key_ranges::store_revision(m_store.era(), m_operator_revision);
    documents.m_evacuated_zones = m_evacuated;
    handle_event(node, documents);
}

void sidecar_cluster::evacuate(const std::set<std::string>& zones)
{
    m_evacuated = zones;
    ++m_operator_revision;
    for (const auto& node : nodes()) {
        if (m_store_partitions.count(node) == 0)
            at(store_delay, [this, node] { deliver_operator_documents(node); });
    }
}

void sidecar_cluster::kill_node(const std::string& node)
{
    m_machines.at(node).m_state.reset();
    backend(node).m_running.clear();
    std::vector<std::uint64_t> closed;
    for (const auto& [id, end] : m_links) {
        if (end.m_node == node)
            closed.push_back(id);
    }
    for (const std::uint64_t link : closed)
        close(link);
}

void sidecar_cluster::stop_node(const std::string& node)
{
    handle_event(node, stop_requested{});
}

void sidecar_cluster::freeze_node(const std::string& node, duration time)
{
    m_machines.at(node).m_frozen_until = m_now + time;
    at(time, [this, node] {
        auto missed = std::move(m_machines.at(node).m_deferred_events);
        m_machines.at(node).m_deferred_events.clear();
        for (const auto& action : missed)
            action();
    });
}

void sidecar_cluster::partition_store(const std::string& node, bool is_partitioned)
{
    if (is_partitioned)
        m_store_partitions.insert(node);
    else if (m_store_partitions.erase(node) != 0)
        at(store_delay, [this, node] { read_store(node); });
}

void sidecar_cluster::return_store_to_earlier_state(duration age)
{
    m_store.go_back(m_now - age);
    m_departures.clear();
    // The numbers of the operator's writes are assigned again.
    m_operator_revision = std::max<std::uint64_t>(m_operator_revision, 4) - 3;
    for (const auto& node : nodes()) {
        at(store_delay + duration(static_cast<duration::rep>(m_random() % 400'000)), [this, node] {
            if (m_store_partitions.count(node) == 0 && m_machines.at(node).m_state)
                deliver_operator_documents(node);
        });
    }
}

bool sidecar_cluster::accept_store_response(const std::string& node, std::uint64_t request_era,
                                            std::uint64_t response_era)
{
    if (response_era > m_machines.at(node).m_state->m_store_era)
        handle_event(node, store_era_seen{response_era});
    return response_era == request_era && m_machines.at(node).m_state &&
           m_machines.at(node).m_state->m_store_era == request_era;
}

void sidecar_cluster::write(const std::string& node, const write_table& wanted)
{
    table_written result;
    result.m_service = wanted.m_service;
    result.m_sent_at = m_now;
    duration delay = store_delay;
    if (m_store_partitions.count(node) != 0) {
        delay = milliseconds(700);
    } else if (random_share() < m_late_write_share) {
        delay = milliseconds(700);
        at(milliseconds(1000 + m_random() % 5000),
           [this, wanted, sent_at = m_now] { m_store.write(wanted, sent_at, m_now); });
    } else {
        result = m_store.write(wanted, m_now, m_now);
    }
    const std::uint64_t incarnation = m_machines.at(node).m_incarnation;
    const std::uint64_t request_era = key_ranges::era_of(wanted.m_expected_revision);
    const std::uint64_t response_era = m_store.era();
    at(delay, [this, node, incarnation, request_era, response_era, result] {
        if (!is_up(node, incarnation))
            return;
        const bool is_answered = result.m_result != write_result::unknown;
        table_written unknown;
        unknown.m_service = result.m_service;
        unknown.m_sent_at = result.m_sent_at;
        const bool is_of_use =
            !is_answered || accept_store_response(node, request_era, response_era);
        handle_event(node, is_of_use ? result : unknown);
    });
}

void sidecar_cluster::execute_effect(const std::string& node, const effect& wanted)
{
    if (m_observer)
        m_observer(node, wanted);
    const std::uint64_t incarnation = m_machines.at(node).m_incarnation;
    const auto later = [this, node, incarnation](duration delay, const event& next_event) {
        at(delay, [this, node, incarnation, next_event] {
            if (is_up(node, incarnation))
                handle_event(node, next_event);
        });
    };
    const bool store_unreachable = m_store_partitions.count(node) != 0;
    if (const auto* passed = std::get_if<forward_response>(&wanted)) {
        const std::string& id = m_request_of_caller.at(passed->m_caller);
        if (passed->m_response->m_body != id)
            m_violations.push_back("response of another request for " + id);
        m_status[id] = passed->m_response->m_status;
    } else if (const auto* answered = std::get_if<respond_to_caller>(&wanted)) {
        const std::string& id = m_request_of_caller.at(answered->m_caller);
        m_status[id] = answered->m_status;
        if ((answered->m_status == 503 || answered->m_status == 429) && !m_is_idempotent[id] &&
            executions(id) != 0)
            m_violations.push_back("refused although executed: " + id);
    } else if (std::holds_alternative<stop_process>(wanted)) {
        at(duration::zero(), [this, node, incarnation] {
            if (is_up(node, incarnation))
                kill_node(node);
        });
    } else if (const auto* line = std::get_if<log_line>(&wanted)) {
        // Output for the analysis of a single seed.
        if (std::getenv("SIDECAR_TEST_LOG") != nullptr)
            std::printf("%.3f %s %s %s\n", static_cast<double>(to_us(m_now)) / 1e6, node.c_str(),
                        line->m_event.c_str(), line->m_fields.dump().c_str());
    } else if (const auto* connecting = std::get_if<connect_node>(&wanted)) {
        connect(node, connecting->m_node);
    } else if (const auto* closing = std::get_if<close_link>(&wanted)) {
        close(closing->m_link);
    } else if (const auto* sent = std::get_if<send_frame>(&wanted)) {
        deliver(sent->m_link, sent->m_frame);
    } else if (const auto* started = std::get_if<start_execution>(&wanted)) {
        execute(node, *started);
    } else if (const auto* cancelled = std::get_if<cancel_execution>(&wanted)) {
        backend(node).m_running.erase({incarnation, cancelled->m_execution});
    } else if (const auto* check = std::get_if<check_backend>(&wanted)) {
        later(milliseconds(1), backend(node).check(*check));
    } else if (const auto* granted = std::get_if<grant_keys>(&wanted)) {
        grant(node, *granted);
    } else if (const auto* released = std::get_if<release_keys>(&wanted)) {
        if (backend(node).m_alive)
            later(milliseconds(20), backend(node).release(*released));
    } else if (const auto* decoding = std::get_if<decode_configuration>(&wanted)) {
        later(duration{},
              configuration_decoded{decoding->m_revision, decoding->m_text, m_configuration});
    } else if (const auto* departed = std::get_if<store_departures>(&wanted)) {
        if (!store_unreachable)
            m_departures[node] = departed->m_departed;
    } else if (const auto* reading = std::get_if<read_table>(&wanted)) {
        table_read result = m_store.read(reading->m_service, m_now);
        result.m_succeeded = !store_unreachable;
        // The store's response names its era, and the node asked for the table of the era it knows.
        const std::uint64_t request_era = m_machines.at(node).m_state->m_store_era;
        const std::uint64_t response_era = m_store.era();
        at(store_unreachable ? duration(milliseconds(700)) : store_delay,
           [this, node, incarnation, request_era, response_era, result]() mutable {
               if (!is_up(node, incarnation))
                   return;
               if (result.m_succeeded && !accept_store_response(node, request_era, response_era)) {
                   result.m_succeeded = false;
                   result.m_revision = key_ranges::store_revision(request_era, 0);
               }
               handle_event(node, result);
           });
    } else if (const auto* writing = std::get_if<write_table>(&wanted)) {
        write(node, *writing);
    }
}

std::string sidecar_cluster::send(const std::string& node, const std::string& service,
                                  std::optional<std::uint32_t> key)
{
    return send_to_host(node, service, service == "shelf", key);
}

std::string sidecar_cluster::send_with_key(const std::string& node, const std::string& key)
{
    return send_to_host(node, "orders", false, {}, key);
}

void sidecar_cluster::set_limit(const std::string& organisation, const routing::quota_limit& limit)
{
    auto changed = std::make_shared<routing::routing_configuration>(*m_configuration);
    changed->m_organisations[organisation].m_limit = limit;
    m_configuration = std::move(changed);
    ++m_configuration_revision;
    evacuate(m_evacuated);
}

std::string sidecar_cluster::send_call(const std::string& node)
{
    return send_to_host(node, "orders-calls", true, {});
}

std::string sidecar_cluster::send_to_host(const std::string& node, const std::string& host,
                                          bool is_idempotent, std::optional<std::uint32_t> key,
                                          std::optional<std::string> api_key)
{
    caller_request request;
    request.m_caller = m_next_id++;
    std::string id = "request-" + std::to_string(request.m_caller);
    m_request_of_caller[request.m_caller] = id;
    m_caller_of_request[id] = {node, request.m_caller};
    m_is_idempotent[id] = is_idempotent;
    request.m_request.m_request_id = id;
    request.m_request.m_host = host;
    request.m_request.m_target = "/x";
    request.m_request.m_key = key;
    if (m_sends_bodies && request.m_caller % 3 != 0) {
        request.m_request.m_body =
            id + std::string(20'000 + request.m_caller * 7919 % 120'000, 'b');
        m_body_of_request[id] = request.m_request.m_body;
    }
    request.m_remaining = milliseconds(1500);
    request.m_api_key = std::move(api_key);
    handle_event(node, request);
    return id;
}

void sidecar_cluster::disconnect_caller(const std::string& request)
{
    const auto& [node, caller] = m_caller_of_request.at(request);
    if (!m_machines.at(node).m_state || status(request) != 0)
        return;
    m_disconnected_at[request] = m_now;
    handle_event(node, caller_disconnected{caller});
}

int sidecar_cluster::status(const std::string& request) const
{
    const auto found = m_status.find(request);
    return found == m_status.end() ? 0 : found->second;
}

std::size_t sidecar_cluster::repeated_arrivals() const
{
    std::size_t count = 0;
    for (const auto& [request, arrivals] : m_arrivals)
        count += arrivals - 1;
    return count;
}

std::size_t sidecar_cluster::executions(const std::string& request) const
{
    std::size_t count = 0;
    for (const auto& [node, wanted] : m_machines)
        count += static_cast<std::size_t>(std::count(wanted.m_backend->m_executed.begin(),
                                                     wanted.m_backend->m_executed.end(), request));
    return count;
}

} // namespace azureladder::sidecar
