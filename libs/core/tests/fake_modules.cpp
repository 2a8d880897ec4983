// Link-time fakes of the configuration, claims and routing modules, for tests of the ownership
// module alone. To be deleted when the modules are linked.
#include <azureladder/core/claims.hpp>
#include <azureladder/core/configuration.hpp>
#include <azureladder/core/node_state.hpp>
#include <azureladder/core/ownership.hpp>
#include <azureladder/core/routing.hpp>

namespace azureladder::core {

namespace {

constexpr duration poll_interval = milliseconds(500);

void install(node_state& state, const store_finished& answer)
{
    auto& configuration = state.m_configuration;
    configuration.m_read = 0;
    if (answer.m_status == store_status::not_found)
        configuration.m_read_after_join = true;
    if (answer.m_status != store_status::ok)
        return;
    auto document = records::parse_document(answer.m_value);
    if (document.value().m_revision > configuration.m_document.m_revision)
        configuration.m_document = document.value();
    configuration.m_read_after_join = true;
}

} // namespace

void step_configuration(node_state& state, time_point now, const event& input, effects& output)
{
    auto& configuration = state.m_configuration;
    if (const auto* answer = std::get_if<store_finished>(&input)) {
        if (answer->m_operation == configuration.m_read)
            install(state, *answer);
        return;
    }
    const bool due = !configuration.m_read_after_join || now >= configuration.m_next_poll;
    if (!std::holds_alternative<timer_tick>(input) || !plan_written(state) || !due)
        return;
    if (configuration.m_read != 0)
        return;
    configuration.m_next_poll = now + poll_interval;
    configuration.m_read = next_operation(state);
    output.push_back(store_read{configuration.m_read, "config"});
}

void note_newer_revision(node_state& state, const member_ref&, const endpoint&, revision_number,
                         effects&)
{
    state.m_configuration.m_next_poll = time_point{};
}

void step_claims(node_state&, time_point, const event&, effects&) {}
std::vector<claim> export_claims(const node_state&, const slice_id&, time_point)
{
    return {};
}
void import_claims(node_state&, const std::vector<claim>&, time_point) {}
void mark_claims_lost(node_state&, const slice_id&, time_point) {}
bool has_claim_baseline(const node_state&, const owned_slice&)
{
    return false;
}
void copy_claims_to_standbys(node_state&, time_point, const std::vector<slice_id>&, effects&) {}

void step_routing(node_state& state, time_point now, const event& input, effects&)
{
    if (const auto* announced = std::get_if<backend_announced>(&input)) {
        state.m_backend = announced->m_info;
        state.m_backend_seen = now;
    }
}
std::size_t in_flight(const node_state&, const slice_id&)
{
    return 0;
}
std::size_t open_requests(const node_state&)
{
    return 0;
}

} // namespace azureladder::core
