#include "cluster_harness.hpp"

#include <azureladder/core/claims.hpp>
#include <azureladder/core/ownership.hpp>

#include <algorithm>
#include <tuple>

namespace azureladder::core::testing {

namespace {

constexpr duration announce_interval = seconds(1);

std::string text(const slice_id& slice)
{
    return slice.m_space + "/" + std::to_string(slice.m_index);
}

} // namespace

cluster_harness::cluster_harness(std::uint64_t seed, const core_options& options)
    : m_options(options)
{
    m_random.m_state = seed;
}

void cluster_harness::add_node(const std::string& name, const std::string& zone,
                               const std::string& service, fencing checks)
{
    auto& added = m_nodes[name];
    const auto port = std::uint16_t(1000 + m_nodes.size());
    added.m_identity = {name, zone, {"127.0.0.1", port}, {"127.0.0.1", std::uint16_t(port + 1000)}};
    added.m_backend.m_server = "server-" + name;
    added.m_backend.m_service = service;
    added.m_backend.m_zone = zone;
    added.m_backend.m_fencing = checks;
    added.m_clock_offset = milliseconds(std::int64_t(random_below(m_random, 1'000'000)));
}

void cluster_harness::start(const std::string& name)
{
    auto& target = m_nodes.at(name);
    target.m_state = make_node_state(target.m_identity, m_options, random_value(m_random));
    target.m_running = true;
    target.m_finished = false;
    target.m_paused_until = time_point{};
    target.m_next_announcement = time_point{};
    target.m_pending_events.clear();
    ++target.m_process_number;
    target.m_backend.m_start_id = std::to_string(target.m_process_number);
    const auto phase = random_below(m_random, std::uint64_t(m_options.m_tick_interval.count()));
    schedule(duration(std::int64_t(phase)), name, timer_tick{});
    announce_backend(target);
}

void cluster_harness::start_all()
{
    for (const auto& name : names())
        start(name);
}

void cluster_harness::kill(const std::string& name)
{
    m_nodes.at(name).m_running = false;
}

void cluster_harness::pause(const std::string& name, duration time)
{
    auto& target = m_nodes.at(name);
    target.m_paused_until = std::max(target.m_paused_until, m_now + time);
    schedule(time, name, timer_tick{});
}

void cluster_harness::stop(const std::string& name)
{
    inject(name, stop_requested{});
}

void cluster_harness::set_blocked(const std::string& a, const std::string& b, bool blocked)
{
    const auto pair = std::minmax(a, b);
    if (blocked)
        m_blocked.insert({pair.first, pair.second});
    else
        m_blocked.erase({pair.first, pair.second});
}

void cluster_harness::set_isolated(const std::string& name, bool isolated)
{
    if (isolated)
        m_isolated.insert(name);
    else
        m_isolated.erase(name);
}

void cluster_harness::apply(const json& records)
{
    const auto changed = records::apply_records(m_document, records,
                                                "apply-" + std::to_string(m_document.m_revision));
    m_document = changed.value();
    auto& stored = m_store.m_entries["config"];
    stored.m_value = records::serialize_document(m_document);
    ++stored.m_version;
}

void cluster_harness::run_for(duration time)
{
    const auto end = m_now + time;
    while (!m_queue.empty() && m_queue.top().m_time <= end) {
        const auto next = m_queue.top();
        m_queue.pop();
        m_now = next.m_time;
        auto& target = m_nodes.at(next.m_node);
        if (!target.m_running || target.m_process_number != next.m_process_number)
            continue;
        const bool tick = std::holds_alternative<timer_tick>(next.m_event);
        if (m_now < target.m_paused_until) {
            if (!tick)
                target.m_pending_events.push_back(next.m_event);
            continue;
        }
        deliver(target, next.m_event);
        // A pause ends with a tick; events that arrived during the pause are delivered after it.
        deliver_pending_events(target);
        if (tick) {
            announce_backend(target);
            const auto now_there = local_time(target);
            schedule(next_tick(target.m_state, now_there) - now_there, next.m_node, timer_tick{});
        }
    }
    m_now = end;
}

bool cluster_harness::run_until(const std::function<bool()>& condition, duration limit)
{
    const auto end = m_now + limit;
    while (!condition()) {
        if (m_now >= end)
            return false;
        run_for(milliseconds(20));
    }
    return true;
}

std::vector<std::string> cluster_harness::names() const
{
    std::vector<std::string> result;
    for (const auto& [name, value] : m_nodes)
        result.push_back(name);
    return result;
}

time_point cluster_harness::local_time(const simulated_node& target) const
{
    constexpr std::int64_t permille = 1000;
    const auto elapsed = m_now.time_since_epoch();
    return time_point(elapsed + elapsed * target.m_clock_rate_error_permille / permille +
                      target.m_clock_offset);
}

std::string cluster_harness::serving_node(const slice_id& slice) const
{
    for (const auto& [name, value] : m_nodes) {
        if (value.m_running && m_now >= value.m_paused_until &&
            serving_epoch(value.m_state, slice, local_time(value)))
            return name;
    }
    return "";
}

std::size_t cluster_harness::served_slice_count(const std::string& name) const
{
    const auto& value = m_nodes.at(name);
    std::size_t count = 0;
    for (const auto& [slice, held] : value.m_state.m_ownership.m_slices)
        count += serving_epoch(value.m_state, slice, local_time(value)) ? 1 : 0;
    return value.m_running ? count : 0;
}

std::vector<slice_id> cluster_harness::all_slices() const
{
    std::vector<slice_id> slices;
    for (std::uint32_t index = 0; index < claim_slice_count; ++index)
        slices.push_back({claim_space, index});
    for (const auto& [name, service] : m_document.m_services) {
        for (const auto& space : records::slice_spaces_of_service(service)) {
            for (std::uint32_t index = 0; index < service.m_slices; ++index)
                slices.push_back({space, index});
        }
    }
    return slices;
}

bool cluster_harness::all_served() const
{
    for (const auto& slice : all_slices()) {
        if (serving_node(slice).empty())
            return false;
    }
    return true;
}

std::string cluster_harness::describe_unserved_slices() const
{
    std::string result;
    for (const auto& slice : all_slices()) {
        if (!serving_node(slice).empty())
            continue;
        result += "\n" + text(slice);
        for (const auto& [name, value] : m_nodes) {
            const auto& held = value.m_state.m_ownership.m_slices;
            const auto found = held.find(slice);
            const auto location = find_location(value.m_state.m_directory, slice);
            result += "; " + name + (value.m_running ? "" : " (not running)");
            if (location)
                result += " has owner " + location->m_owner.m_node + "/" +
                          std::to_string(location->m_owner.m_incarnation % 1000) + " epoch " +
                          std::to_string(location->m_epoch);
            if (found != held.end())
                result += ", phase " +
                          std::string(find_enum_name(slice_phase_names, found->second.m_phase));
        }
    }
    return result;
}

void cluster_harness::inject(const std::string& name, const event& input)
{
    schedule(duration(0), name, input);
}

void cluster_harness::schedule(duration delay, const std::string& name, event input)
{
    m_queue.push(
        {m_now + delay, ++m_order, name, m_nodes.at(name).m_process_number, std::move(input)});
}

void cluster_harness::deliver_pending_events(simulated_node& target)
{
    const auto waiting = std::move(target.m_pending_events);
    target.m_pending_events.clear();
    for (const auto& input : waiting)
        deliver(target, input);
}

void cluster_harness::deliver(simulated_node& target, const event& input)
{
    if (!target.m_running)
        return;
    for (const auto& output : step(target.m_state, local_time(target), input))
        execute(target, output);
    check_invariants(target);
}

void cluster_harness::announce_backend(simulated_node& target)
{
    if (!target.m_backend_up || m_now < target.m_next_announcement)
        return;
    target.m_next_announcement = m_now + announce_interval;
    inject(target.m_identity.m_node, backend_announced{target.m_backend});
}

void cluster_harness::execute(simulated_node& source, const effect& output)
{
    if (const auto* message = std::get_if<send_message>(&output)) {
        send(source, *message);
    } else if (const auto* read = std::get_if<store_read>(&output)) {
        access_store(source, *read);
    } else if (const auto* write = std::get_if<store_write>(&output)) {
        access_store(source, *write);
    } else if (const auto* log = std::get_if<write_log>(&output)) {
        ++m_events_logged[log->m_event];
        if (m_record_log)
            m_log.push_back(std::to_string(to_us(m_now) / 1000) + " " + source.m_identity.m_node +
                            " " + log->m_event + " " + log->m_fields.dump());
    } else if (std::holds_alternative<finish_stop>(output)) {
        source.m_finished = true;
        source.m_running = false;
    }
}

bool cluster_harness::chance(std::uint32_t permille)
{
    return random_below(m_random, 1000) < permille;
}

bool cluster_harness::is_blocked(const std::string& a, const std::string& b) const
{
    const auto pair = std::minmax(a, b);
    return m_isolated.count(a) != 0 || m_isolated.count(b) != 0 ||
           m_blocked.count({pair.first, pair.second}) != 0;
}

void cluster_harness::send(simulated_node& source, const send_message& output)
{
    const auto& to = output.m_to.m_node;
    if (m_nodes.count(to) == 0 || is_blocked(source.m_identity.m_node, to))
        return;
    const auto spread = std::uint64_t((m_faults.m_max_delay - m_faults.m_min_delay).count()) + 1;
    const message_received received{self(source.m_state), source.m_identity.m_peer_address,
                                    output.m_message};
    const int copies = chance(m_faults.m_duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const auto delay =
            m_faults.m_min_delay + duration(std::int64_t(random_below(m_random, spread)));
        if (!chance(m_faults.m_loss))
            schedule(delay, to, received);
    }
}

void cluster_harness::answer_store(simulated_node& source, store_finished result)
{
    schedule(m_faults.m_store_delay, source.m_identity.m_node, std::move(result));
}

void cluster_harness::access_store(simulated_node& source, const store_read& output)
{
    ++m_store.m_calls;
    store_finished result;
    result.m_operation = output.m_operation;
    const auto found = m_store.m_entries.find(output.m_key);
    if (m_store.m_down) {
        result.m_status = store_status::unavailable;
    } else if (found == m_store.m_entries.end()) {
        result.m_status = store_status::not_found;
    } else if (found->second.m_version == output.m_known_version) {
        result.m_status = store_status::unchanged;
    } else {
        m_store.m_bytes_read += found->second.m_value.size();
        result.m_status = store_status::ok;
        result.m_value = found->second.m_value;
        result.m_version = found->second.m_version;
    }
    answer_store(source, std::move(result));
}

void cluster_harness::access_store(simulated_node& source, const store_write& output)
{
    ++m_store.m_calls;
    store_finished result;
    result.m_operation = output.m_operation;
    if (m_store.m_down) {
        result.m_status = store_status::unavailable;
        answer_store(source, std::move(result));
        return;
    }
    const auto found = m_store.m_entries.find(output.m_key);
    const auto version = found == m_store.m_entries.end() ? 0 : found->second.m_version;
    if (version != output.m_expected_version) {
        result.m_status = store_status::conflict;
        result.m_version = version;
    } else {
        m_store.m_entries[output.m_key] = {output.m_value, version + 1};
        result.m_status = store_status::ok;
        result.m_version = version + 1;
    }
    if (chance(m_faults.m_store_lost_answers))
        result.m_status = store_status::unknown;
    answer_store(source, std::move(result));
}

void cluster_harness::check_invariants(simulated_node& changed)
{
    const auto& name = changed.m_identity.m_node;
    for (const auto& [slice, held] : changed.m_state.m_ownership.m_slices) {
        const auto epoch = serving_epoch(changed.m_state, slice, local_time(changed));
        if (!epoch)
            continue;
        auto& last = m_last_owners[slice];
        const bool other = last.m_node != name;
        if (other && !last.m_node.empty()) {
            const auto& former = m_nodes.at(last.m_node);
            if (former.m_running && serving_epoch(former.m_state, slice, local_time(former)))
                m_violations.push_back(text(slice) + " is served by " + last.m_node + " and " +
                                       name);
        }
        if (*epoch < last.m_epoch || (other && *epoch == last.m_epoch))
            m_violations.push_back("epoch of " + text(slice) + " at " + name + " is " +
                                   std::to_string(*epoch) + " after " +
                                   std::to_string(last.m_epoch) + " at " + last.m_node);
        last = {name, *epoch};
    }
}

} // namespace azureladder::core::testing
