#include "routing_fixture.hpp"

namespace azureladder::core::testing {

namespace {

/// The only upstream of "shop" is the local backend server of the node.
class routing_backend : public routing_fixture
{
protected:
    routing_backend()
    {
        m_state.m_directory.m_plans.erase({"b", 1});
        m_state.m_directory.m_plans.erase({"c", 1});
        announce();
    }

    request_token arrive_class(request_class priority, bool forwarded = false)
    {
        auto info = make_info("shop");
        info.m_class = priority;
        info.m_forwarded_by = forwarded ? "b" : "";
        return arrive(info);
    }

    std::uint32_t limit() const { return current_limit(m_state.m_routing.m_limit); }

    /// Completes all open attempts with replies and returns their number.
    std::size_t answer_open_attempts()
    {
        const auto attempts = m_state.m_routing.m_attempts;
        for (const auto& [id, attempt] : attempts)
            finish(id.first, id.second, attempt_outcome::answered);
        return attempts.size();
    }
};

// Guards against full load on a backend server that has just started.
TEST_F(routing_backend, cold_start_doubles_the_limit_up_to_the_slots)
{
    for (const std::uint32_t expected : {1U, 2U, 4U, 4U}) {
        EXPECT_EQ(limit(), expected);
        for (int count = 0; count < 8; ++count)
            arrive_class(request_class::standard);
        EXPECT_EQ(m_state.m_routing.m_attempts.size(), expected);
        for (std::uint32_t done = 0; done < expected; ++done) {
            const auto id = m_state.m_routing.m_attempts.begin()->first;
            finish(id.first, id.second, attempt_outcome::answered);
        }
    }
}

// Guards against a limit that grows while the backend server still announces that it is cold.
TEST_F(routing_backend, limit_stays_at_one_while_cold_is_announced)
{
    warm_up();
    announce(true, "s1");
    for (int count = 0; count < 8; ++count) {
        arrive_class(request_class::standard);
        EXPECT_EQ(answer_open_attempts(), 1U);
    }
    EXPECT_EQ(limit(), 1U);
    announce(false, "s1");
    arrive_class(request_class::standard);
    answer_open_attempts();
    EXPECT_EQ(limit(), 2U);
}

// Guards against full load on a backend server that became cold after its last announcement.
TEST_F(routing_backend, reply_that_reports_a_cold_start_lowers_the_limit)
{
    warm_up();
    const auto token = arrive_class(request_class::standard);
    auto finished = make_finished(token, 1, attempt_outcome::answered);
    finished.m_backend_cold = true;
    run(finished);
    EXPECT_EQ(limit(), 1U);
    arrive_class(request_class::standard);
    answer_open_attempts();
    EXPECT_EQ(limit(), 1U);
    announce(false, "s1");
    arrive_class(request_class::standard);
    answer_open_attempts();
    EXPECT_EQ(limit(), 2U);
}

// Guards against full load after a restart, a cold announcement or a gap in the announcements.
TEST_F(routing_backend, new_start_cold_announcement_and_announcement_gap_start_cold)
{
    warm_up();
    announce(false, "s2");
    EXPECT_EQ(limit(), 1U);
    warm_up();
    announce(true, "s2");
    EXPECT_EQ(limit(), 1U);
    warm_up();
    announce(true, "s2");
    EXPECT_EQ(limit(), slots);
    announce(false, "s2");
    m_now += seconds(4);
    announce(false, "s2");
    EXPECT_EQ(limit(), 1U);
}

// Guards against dispatches to a backend server that is lost or draining.
TEST_F(routing_backend, lost_or_draining_backend_receives_no_requests)
{
    m_now += milliseconds(3001);
    arrive_class(request_class::standard, true);
    EXPECT_EQ(error().m_code, error_code::not_serving);
    announce();
    m_state.m_backend->m_draining = true;
    arrive_class(request_class::standard, true);
    EXPECT_EQ(error().m_executed, executed::no);
    EXPECT_TRUE(all<dispatch_to_backend>().empty());
}

// Guards against starvation of batch requests, and against batch requests that delay interactive
// ones.
TEST_F(routing_backend, classes_are_served_in_order_with_one_in_ten_for_the_lowest)
{
    request_queue queue;
    push_request(queue, request_class::batch, 100);
    push_request(queue, request_class::standard, 50);
    for (request_token token = 1; token <= 12; ++token)
        push_request(queue, request_class::interactive, token);
    for (request_token token = 1; token <= 9; ++token)
        EXPECT_EQ(pop_request(queue), token);
    EXPECT_EQ(pop_request(queue), 100U);
    EXPECT_EQ(pop_request(queue), 10U);
}

// Guards against an unbounded queue, and against interactive requests that are rejected because
// batch requests fill the queue.
TEST_F(routing_backend, full_queue_sheds_the_lowest_class)
{
    std::vector<request_token> batch;
    for (std::uint32_t count = 0; count < 1 + 4 * slots; ++count)
        batch.push_back(arrive_class(request_class::batch));
    EXPECT_EQ(queue_length(m_state.m_routing.m_queue), 4 * slots);
    arrive_class(request_class::batch, true);
    EXPECT_EQ(error().m_code, error_code::overloaded);
    EXPECT_EQ(error().m_executed, executed::no);
    arrive_class(request_class::interactive);
    EXPECT_EQ(error().m_token, batch.back());
    EXPECT_EQ(queue_length(m_state.m_routing.m_queue), 4 * slots);
}

// Guards against a limit that stays high while the backend server sheds load, and against one that
// decreases once for each refusal of the same overload.
TEST_F(routing_backend, refusals_lower_the_limit_once_for_each_round)
{
    warm_up();
    std::vector<request_token> tokens;
    for (std::uint32_t count = 0; count < slots; ++count)
        tokens.push_back(arrive_class(request_class::standard, true));
    m_now += milliseconds(5);
    for (const auto token : tokens)
        finish(token, 1, attempt_outcome::refused);
    EXPECT_EQ(limit(), 2U);
    EXPECT_EQ(error().m_code, error_code::refused_by_backend);
}

// Guards against full load on a backend server that became cold without announcing it and fails.
TEST_F(routing_backend, high_latency_with_failures_counts_as_cold)
{
    concurrency_limit value;
    set_maximum(value, slots);
    value.m_limit = slots;
    for (int count = 0; count < 64; ++count)
        record_success(value, milliseconds(2), m_now);
    for (int count = 0; count < 8; ++count)
        EXPECT_NE(record_success(value, milliseconds(20), m_now), limit_change::cold);
    EXPECT_EQ(record_failure(value, m_now, m_now), limit_change::cold);
    EXPECT_EQ(current_limit(value), 1U);
}

// Guards against reuse of a slot while the backend server still executes the cancelled request.
TEST_F(routing_backend, cancelled_request_keeps_its_slot_until_the_report)
{
    const auto first = arrive_class(request_class::standard);
    arrive_class(request_class::standard);
    run(request_abandoned{first});
    // The runtime discards the request when it is answered, so the cancellation has to precede
    // that.
    ASSERT_FALSE(m_output.empty());
    EXPECT_TRUE(std::holds_alternative<cancel_attempt>(m_output.front()));
    EXPECT_TRUE(all<dispatch_to_backend>().empty());
    finish(first, 1, attempt_outcome::lost);
    EXPECT_EQ(all<dispatch_to_backend>().size(), 1U);
}

// Guards against requests of a slice that continue after the lease has ended.
TEST_F(routing_backend, lease_end_cancels_slices_and_empties_the_queue)
{
    announce(false, "s1", "reports");
    serve(slice_of("k1"));
    const auto token = arrive(make_info("reports"));
    auto info = make_info("reports");
    info.m_forwarded_by = "b";
    arrive(info);
    set_lease_end(m_state, m_now);
    advance(milliseconds(20));
    EXPECT_EQ(all<cancel_attempt>().size(), 1U);
    EXPECT_EQ(error().m_code, error_code::not_serving);
    finish(token, 1, attempt_outcome::lease_ended);
    EXPECT_EQ(in_flight_request_count(m_state, slice_of("k1")), 0U);
}

// Guards against "unknown" for an attempt whose report at its deadline proves that it was not
// executed, and against a request that waits indefinitely for a missing report.
TEST_F(routing_backend, report_at_the_deadline_of_an_attempt_is_awaited)
{
    warm_up();
    m_state.m_configuration.m_document.m_services["shop"].m_max_execution = milliseconds(200);
    const auto first = arrive_class(request_class::standard, true);
    const auto second = arrive_class(request_class::standard, true);
    advance(milliseconds(220));
    finish(first, 1, attempt_outcome::not_sent);
    EXPECT_EQ(error().m_executed, executed::no);
    advance(milliseconds(100));
    EXPECT_EQ(error().m_token, second);
    EXPECT_EQ(error().m_executed, executed::unknown);
}

// Guards against queued requests that reach a backend server out of service, and against full load
// when it returns.
TEST_F(routing_backend, zone_out_empties_the_queue_and_return_starts_cold)
{
    arrive_class(request_class::standard, true);
    arrive_class(request_class::standard, true);
    auto& zones = m_state.m_configuration.m_document.m_zones;
    zones["z1"] = records::administrative_state::out;
    advance(milliseconds(20));
    EXPECT_EQ(error().m_code, error_code::zone_out);
    answer_open_attempts();
    warm_up();
    zones["z1"] = records::administrative_state::in;
    advance(milliseconds(20));
    EXPECT_EQ(limit(), 1U);
}

// Guards against a planned stop that drops queued requests or accepts new ones.
TEST_F(routing_backend, stopping_node_finishes_its_queue_and_refuses_new_work)
{
    const auto first = arrive_class(request_class::standard, true);
    arrive_class(request_class::standard, true);
    run(stop_requested{});
    arrive_class(request_class::standard, true);
    EXPECT_EQ(error().m_code, error_code::stopping);
    finish(first, 1, attempt_outcome::answered);
    EXPECT_EQ(all<dispatch_to_backend>().size(), 1U);
}

} // namespace

} // namespace azureladder::core::testing
