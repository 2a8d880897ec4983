#include "routing_fixture.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <iostream>
#include <map>
#include <set>
#include <utility>

namespace azureladder::core::testing {

namespace {

/// Execution state of an attempt in the model, which simulates all other processes.
enum class execution_state
{
    possibly_executed,
    not_executed,
    executed
};

struct model_request
{
    request_info m_info;
    std::map<attempt_number, execution_state> m_attempts;
    int m_answers = 0;

    /// The last attempt was refused because another node serves the key, or could not be sent.
    bool m_redirected = false;
};

using attempt_id = std::pair<request_token, attempt_number>;

/// Passes events to one node and checks each effect against the modelled execution states.
class routing_model : public routing_fixture
{
public:
    routing_model()
    {
        plan& own = m_state.m_directory.m_plans.at(self(m_state));
        own.m_standbys = {{"b", 1}, {"c", 1}};
        for (std::uint32_t index = 0; index < claim_slice_count; ++index)
            serve({claim_space, index});
        serve(slice_of("k1"));
        announce();
        m_state.m_configuration.m_document.m_services["shop"].m_default_timeout = seconds(3);
        m_state.m_configuration.m_document.m_services["reports"].m_default_timeout = seconds(3);
        auto& stats = m_state.m_routing.m_services["shop"];
        stats.m_hedge_delay = milliseconds(30);
    }

    void TestBody() override {}

    /// Runs the command that is encoded in `value`.
    void run_command(std::uint64_t value)
    {
        const auto kind = value % 16;
        const auto argument = value / 16;
        if (kind < 5)
            arrive_random(argument);
        else if (kind < 10)
            finish_random(argument);
        else if (kind < 13)
            tick(milliseconds(argument % 60));
        else if (kind == 13)
            acknowledge_copies(argument % 4 != 0);
        else
            change_conditions(argument);
    }

    /// Completes all attempts and advances the clock past all deadlines.
    void finish_all_requests()
    {
        while (!m_open.empty())
            finish_random(m_open.size());
        for (int count = 0; count < 400; ++count) {
            tick(milliseconds(20));
            while (!m_open.empty())
                finish_random(4);
        }
        RC_ASSERT(open_request_count(m_state) == 0U);
        RC_ASSERT(m_state.m_routing.m_attempts.empty());
        RC_ASSERT(m_state.m_routing.m_limit.m_in_flight == 0U);
        for (const auto& [token, request] : m_requests)
            RC_ASSERT(request.m_answers == 1);
    }

private:
    void step_and_check(const event& input)
    {
        run(input);
        for (const auto& value : m_output) {
            if (const auto* dispatch = std::get_if<dispatch_to_backend>(&value))
                check_dispatch(*dispatch);
            else if (const auto* forward = std::get_if<forward_request>(&value))
                record_attempt({forward->m_token, forward->m_attempt}, false);
            else if (const auto* reply = std::get_if<answer_with_reply>(&value))
                check_reply(*reply);
            else if (const auto* error = std::get_if<answer_with_error>(&value))
                check_error(*error);
            else if (const auto* replay = std::get_if<answer_with_replay>(&value))
                count_answer(replay->m_token);
            else if (const auto* sent = std::get_if<send_message>(&value))
                record_message(*sent);
        }
    }

    void record_message(const send_message& sent)
    {
        if (const auto* copy = std::get_if<claim_copy>(&sent.m_message))
            m_copies.emplace_back(sent.m_to, copy->m_sequence);
    }

    void check_dispatch(const dispatch_to_backend& dispatch)
    {
        record_attempt({dispatch.m_token, dispatch.m_attempt}, true);
        RC_ASSERT(m_at_backend.size() <= current_limit(m_state.m_routing.m_limit));
        RC_ASSERT(m_at_backend.size() <= slots);
        RC_ASSERT(m_now < dispatch.m_send_before);
    }

    void record_attempt(const attempt_id& id, bool local)
    {
        auto& request = m_requests.at(id.first);
        RC_ASSERT(request.m_answers == 0);
        if (!request.m_info.m_idempotent) {
            check_all_proven_not_executed(request);
            check_key_is_free(request, local);
        }
        // A request that waits for an owner is repeated only when proven not executed and for a
        // limited time, outside the retry budget.
        const bool is_wait = request.m_info.m_service == "reports" && request.m_redirected;
        if (!request.m_attempts.empty() && !is_wait)
            check_budget(request.m_info.m_service);
        request.m_attempts[id.second] = execution_state::possibly_executed;
        m_open.push_back(id);
        if (!local)
            return;
        m_at_backend.insert(id);
        m_dispatched.insert(id);
    }

    static bool all_proven_not_executed(const model_request& request)
    {
        return std::all_of(request.m_attempts.begin(), request.m_attempts.end(), [](auto& entry) {
            return entry.second == execution_state::not_executed;
        });
    }

    static void check_all_proven_not_executed(const model_request& request)
    {
        RC_ASSERT(all_proven_not_executed(request));
    }

    /// Checks that no earlier request with the same idempotency key may have been executed. For the
    /// service divided by key, this node has only the claims of its own dispatches.
    void check_key_is_free(const model_request& request, bool local)
    {
        const auto& info = request.m_info;
        const bool divided = info.m_service == "reports";
        if (info.m_idempotency_key.empty() || info.m_claimed || (divided && !local))
            return;
        for (const auto& [token, other] : m_requests) {
            if (other.m_info.m_idempotency_key != info.m_idempotency_key ||
                other.m_info.m_service != info.m_service || other.m_info.m_claimed ||
                other.m_info.m_idempotent)
                continue;
            for (const auto& [number, state] : other.m_attempts)
                RC_ASSERT(state == execution_state::not_executed ||
                          (divided && m_dispatched.count({token, number}) == 0));
        }
    }

    /// Checks that retries and hedges of the last 9 s are within the budgets of the last 10 s.
    void check_budget(const std::string& service)
    {
        auto& additional = m_additional_attempts[service];
        additional.push_back(m_now);
        const auto recent = [&](const auto& times, duration period) {
            return std::count_if(times.begin(), times.end(),
                                 [&](auto time) { return time > m_now - period; });
        };
        const auto requests = recent(m_arrivals[service], seconds(10));
        const auto retries = std::max<std::int64_t>(20, requests * 100 / 1000);
        const auto hedges = std::max<std::int64_t>(1, requests * 50 / 1000);
        RC_ASSERT(recent(additional, seconds(9)) <= retries + hedges);
    }

    void count_answer(request_token token) { RC_ASSERT(++m_requests.at(token).m_answers == 1); }

    void check_reply(const answer_with_reply& reply)
    {
        count_answer(reply.m_token);
        RC_ASSERT(m_requests.at(reply.m_token).m_attempts.at(reply.m_attempt) ==
                  execution_state::executed);
    }

    void check_error(const answer_with_error& error)
    {
        count_answer(error.m_token);
        if (error.m_executed == executed::no)
            check_all_proven_not_executed(m_requests.at(error.m_token));
        RC_ASSERT(error.m_executed == executed_for(error.m_code));
    }

    void arrive_random(std::uint64_t argument)
    {
        auto info = make_info(argument % 3 == 0 ? "reports" : "shop");
        info.m_idempotent = argument / 3 % 2 == 0;
        info.m_class = static_cast<request_class>(argument / 6 % 3);
        if (argument / 18 % 2 == 0)
            info.m_idempotency_key = "id" + std::to_string(argument / 36 % 4);
        if (argument / 144 % 4 == 0)
            info.m_forwarded_by = "b";
        // For spread services the entry node has already claimed the key of a forwarded request.
        info.m_claimed = !info.m_forwarded_by.empty() && info.m_service == "shop";
        const auto token = ++m_last_token;
        m_requests[token].m_info = info;
        if (info.m_forwarded_by.empty())
            m_arrivals[info.m_service].push_back(m_now);
        step_and_check(request_arrived{token, info});
    }

    void finish_random(std::uint64_t argument)
    {
        if (m_open.empty())
            return;
        const auto position = argument / 8 % m_open.size();
        const auto id = m_open[position];
        m_open.erase(m_open.begin() + static_cast<std::ptrdiff_t>(position));
        const auto outcome = static_cast<attempt_outcome>(argument % 5);
        auto finished = make_finished(id.first, id.second, outcome);
        const bool local = m_at_backend.erase(id) > 0;
        auto& request = m_requests.at(id.first);
        auto& state = request.m_attempts.at(id.second);
        if (outcome == attempt_outcome::answered)
            state = execution_state::executed;
        else if (outcome != attempt_outcome::lost)
            state = execution_state::not_executed;
        if (!local && argument / 5 % 2 == 0 && outcome != attempt_outcome::answered) {
            const bool known = outcome != attempt_outcome::lost;
            finished.m_outcome = attempt_outcome::answered;
            finished.m_executed = known ? executed::no : executed::unknown;
            finished.m_peer_error = known ? error_code::no_owner : error_code::backend_lost;
        }
        request.m_redirected = finished.m_peer_error == error_code::no_owner ||
                               outcome == attempt_outcome::lease_ended ||
                               (outcome == attempt_outcome::not_sent && !local);
        step_and_check(finished);
    }

    void tick(duration time)
    {
        m_now += time;
        if (m_now - m_state.m_backend_announced_at > seconds(1) && m_announcing)
            step_and_check(backend_announced{*m_state.m_backend});
        step_and_check(timer_tick{});
    }

    void acknowledge_copies(bool deliver)
    {
        while (!m_copies.empty()) {
            const auto [to, sequence] = m_copies.front();
            m_copies.pop_front();
            if (deliver)
                step_and_check(message_received{to, {"127.0.0.1", 9}, claim_copy_ack{sequence}});
        }
    }

    void change_conditions(std::uint64_t argument)
    {
        const auto slice = slice_of("k1");
        switch (argument % 9) {
        case 0:
            set_lease_end(m_state, m_now);
            return;
        case 1:
            set_lease_end(m_state, time_point::max());
            return;
        case 2:
            stop_serving(m_state, slice);
            set_owner(slice, "c", ++m_epoch);
            return;
        case 3:
            serve(slice, ++m_epoch);
            return;
        case 4:
            announce(argument / 9 % 2 == 0, "s" + std::to_string(argument / 18 % 3));
            return;
        case 5:
            m_announcing = !m_announcing;
            return;
        case 6:
            m_state.m_configuration.m_document.m_zones["z1"] =
                argument / 9 % 2 == 0 ? records::administrative_state::in
                                      : records::administrative_state::out;
            return;
        case 7:
            step_and_check(request_abandoned{1 + argument / 9 % (m_last_token + 1)});
            return;
        default:
            m_state.m_routing.m_limit.m_limit = slots;
            return;
        }
    }

    std::map<request_token, model_request> m_requests;
    std::vector<attempt_id> m_open;
    std::set<attempt_id> m_at_backend;
    std::set<attempt_id> m_dispatched;
    std::deque<std::pair<member_id, std::uint64_t>> m_copies;
    std::map<std::string, std::vector<time_point>> m_arrivals;
    std::map<std::string, std::vector<time_point>> m_additional_attempts;
    epoch_number m_epoch = 1;
    bool m_announcing = true;
};

void check_schedule()
{
    constexpr std::size_t command_count = 400;
    const auto commands = *rc::gen::container<std::vector<std::uint64_t>>(
        command_count, rc::gen::inRange<std::uint64_t>(0, 1U << 30U));
    routing_model model;
    for (const auto command : commands)
        model.run_command(command);
    model.finish_all_requests();
}

// Guards against lost or duplicate answers, double execution, false "not executed" and overload of
// the backend server under random schedules of events.
TEST(routing_property, requests_keep_their_guarantees_under_random_events)
{
    rc::detail::TestMetadata metadata;
    metadata.id = "routing";
    rc::detail::TestParams params;
    params.seed = 20261204;
    params.maxSuccess = 300;
    params.disableShrinking = true;
    const auto result = rc::detail::checkTestable(check_schedule, metadata, params);
    rc::detail::printResultMessage(result, std::cerr);
    EXPECT_TRUE(result.template is<rc::detail::SuccessResult>());
}

} // namespace

} // namespace azureladder::core::testing
