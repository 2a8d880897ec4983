#include "routing_fixture.hpp"

namespace azureladder::core::testing {

namespace {

node_identity make_identity()
{
    return {"a", "z1", {"127.0.0.1", 1}, {"127.0.0.1", 2}};
}

} // namespace

routing_fixture::routing_fixture()
{
    constexpr std::uint64_t seed = 7;
    m_state.m_identity = make_identity();
    m_state.m_random.m_state = seed;
    m_state.m_incarnation = 1;
    reset_ownership();
    auto& services = m_state.m_configuration.m_document.m_services;
    services["shop"].m_name = "shop";
    services["reports"].m_name = "reports";
    services["reports"].m_divided_by_key = true;
    add_node("a", "z1", "shop");
    add_node("b", "z1", "shop");
    add_node("c", "z2", "shop");
}

void routing_fixture::run(const event& input)
{
    m_output.clear();
    // Only claims and routing are under test; the steps of the other modules are not run.
    step_claims(m_state, m_now, input, m_output);
    step_routing(m_state, m_now, input, m_output);
}

void routing_fixture::advance(duration time)
{
    effects collected;
    const auto end = m_now + time;
    while (m_now < end) {
        m_now += m_state.m_options.m_tick_interval;
        run(timer_tick{});
        collected.insert(collected.end(), m_output.begin(), m_output.end());
    }
    m_output = std::move(collected);
}

void routing_fixture::announce(bool cold, const std::string& start_id, const std::string& service)
{
    backend_info info;
    info.m_server = "server-a";
    info.m_service = service;
    info.m_start_id = start_id;
    info.m_slots = slots;
    info.m_connections = 100;
    info.m_cold = cold;
    run(backend_announced{info});
}

void routing_fixture::warm_up()
{
    m_state.m_routing.m_limit.m_limit = slots;
    m_state.m_routing.m_limit.m_slow_start = false;
}

void routing_fixture::add_node(const node_id& node, const std::string& zone,
                               const std::string& service)
{
    plan value;
    value.m_member = {node, 1};
    value.m_generation = 1;
    value.m_version = 1;
    value.m_zone = zone;
    value.m_service = service;
    value.m_server = "server-" + node;
    value.m_peer_address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + node.front())};
    m_state.m_directory.m_plans[value.m_member] = value;
}

void routing_fixture::serve(const slice_id& slice, epoch_number epoch)
{
    set_serving(m_state, slice, epoch);
    m_state.m_directory.m_locations[slice] = {self(m_state), epoch};
}

void routing_fixture::set_owner(const slice_id& slice, const node_id& node, epoch_number epoch)
{
    m_state.m_directory.m_locations[slice] = {{node, 1}, epoch};
}

slice_id routing_fixture::slice_of(const std::string& key) const
{
    return slice_for_key(m_state, "reports", key);
}

request_info routing_fixture::make_info(const std::string& service) const
{
    request_info info;
    info.m_request_id = "r" + std::to_string(m_last_token + 1);
    info.m_service = service;
    info.m_customer = "customer";
    info.m_key = service == "reports" ? "k1" : "";
    return info;
}

request_token routing_fixture::arrive(const request_info& info)
{
    run(request_arrived{++m_last_token, info});
    return m_last_token;
}

attempt_finished routing_fixture::make_finished(request_token token, attempt_number attempt,
                                                attempt_outcome outcome) const
{
    attempt_finished finished;
    finished.m_token = token;
    finished.m_attempt = attempt;
    finished.m_outcome = outcome;
    if (outcome == attempt_outcome::lost)
        return finished;
    finished.m_executed = outcome == attempt_outcome::answered ? executed::yes : executed::no;
    finished.m_status = outcome == attempt_outcome::answered ? 200 : 0;
    return finished;
}

void routing_fixture::finish(request_token token, attempt_number attempt, attempt_outcome outcome)
{
    run(make_finished(token, attempt, outcome));
}

void routing_fixture::finish_by_peer(request_token token, attempt_number attempt, error_code code,
                                     executed state)
{
    auto finished = make_finished(token, attempt, attempt_outcome::answered);
    finished.m_peer_error = code;
    finished.m_executed = state;
    run(finished);
}

void routing_fixture::receive(const node_id& from, const message& value)
{
    run(message_received{{from, 1}, {"127.0.0.1", 9}, value});
}

bool routing_fixture::logged(const std::string& name) const
{
    for (const auto& value : all<write_log>()) {
        if (value.m_event == name)
            return true;
    }
    return false;
}

answer_with_error routing_fixture::error() const
{
    const auto answers = all<answer_with_error>();
    EXPECT_EQ(answers.size(), 1U);
    return answers.empty() ? answer_with_error{} : answers.front();
}

} // namespace azureladder::core::testing
