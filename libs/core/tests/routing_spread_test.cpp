#include "routing_fixture.hpp"
#include "selection.hpp"

#include <azureladder/records/document.hpp>

#include <set>

namespace azureladder::core::testing {

namespace {

/// "shop" runs on "b" in the local zone and on "c" and "d" in other zones.
class routing_spread : public routing_fixture
{
protected:
    routing_spread()
    {
        m_state.m_directory.m_plans.erase({"a", 1});
        add_node("d", "z3", "shop");
    }

    std::string selected_node() const
    {
        const auto forwards = all<forward_request>();
        return forwards.size() == 1 ? forwards[0].m_to.m_node : "";
    }

    request_info make_non_idempotent() const
    {
        auto info = make_info("shop");
        info.m_idempotent = false;
        return info;
    }

    service_stats& shop_stats() { return m_state.m_routing.m_services["shop"]; }
};

// Guards against cross-zone traffic while the local zone has capacity, and against overload of the
// local zone.
TEST_F(routing_spread, local_zone_first_with_spill_over)
{
    const auto room = static_cast<int>(upstream_stats::initial_window);
    for (int count = 0; count < room; ++count) {
        arrive(make_info("shop"));
        EXPECT_EQ(selected_node(), "b");
    }
    arrive(make_info("shop"));
    EXPECT_NE(selected_node(), "b");
}

// Guards against requests to upstreams that are out of service or in zones where the service is not
// allowed.
TEST_F(routing_spread, only_upstreams_in_service_are_selected)
{
    auto& document = m_state.m_configuration.m_document;
    document.m_zones["z1"] = records::administrative_state::out;
    document.m_servers["server-c"] = records::administrative_state::out;
    arrive(make_info("shop"));
    EXPECT_EQ(selected_node(), "d");
    // Only "c" runs in a zone that is in service now.
    document.m_zones["z3"] = records::administrative_state::out;
    advance(milliseconds(20));
    arrive(make_info("shop"));
    EXPECT_EQ(error().m_code, error_code::no_upstream);
    document.m_zones.clear();
    document.m_servers.clear();
    document.m_services["shop"].m_zones = {"z9"};
    advance(milliseconds(20));
    arrive(make_info("shop"));
    EXPECT_EQ(error().m_code, error_code::no_upstream);
}

// Guards against failed requests right after the start of a node, before any upstream is known.
TEST_F(routing_spread, request_waits_until_an_upstream_is_known)
{
    m_state.m_configuration.m_document.m_services["new"].m_name = "new";
    const auto token = arrive(make_info("new"));
    EXPECT_TRUE(all<answer_with_error>().empty());
    add_node("d", "z1", "new");
    ++m_state.m_directory.m_digest;
    advance(milliseconds(60));
    EXPECT_EQ(selected_node(), "d");
    finish(token, 1, attempt_outcome::answered);
    m_state.m_configuration.m_document.m_services["none"].m_name = "none";
    arrive(make_info("none"));
    advance(seconds(2));
    EXPECT_EQ(error().m_code, error_code::no_upstream);
}

// Guards against candidates that are kept although the records or the plans have changed.
TEST_F(routing_spread, candidates_follow_records_and_plans_without_a_tick)
{
    auto& document = m_state.m_configuration.m_document;
    arrive(make_info("shop"));
    EXPECT_EQ(all<forward_request>().size(), 1U);
    document.m_services["shop"].m_zones = {"z9"};
    ++document.m_revision;
    arrive(make_info("shop"));
    EXPECT_EQ(error().m_code, error_code::no_upstream);
    add_node("d", "z9", "shop");
    ++m_state.m_directory.m_digest;
    arrive(make_info("shop"));
    EXPECT_EQ(selected_node(), "d");
}

// Guards against a stopping entry node that fails callers instead of forwarding.
TEST_F(routing_spread, stopping_entry_node_forwards_elsewhere)
{
    add_node("a", "z1", "shop");
    announce();
    run(stop_requested{});
    arrive(make_info("shop"));
    EXPECT_EQ(selected_node(), "b");
}

// Guards against a second execution of a request that must not be repeated.
TEST_F(routing_spread, non_idempotent_request_is_repeated_only_when_proven_not_executed)
{
    for (const auto outcome :
         {attempt_outcome::not_sent, attempt_outcome::refused, attempt_outcome::lease_ended}) {
        const auto token = arrive(make_non_idempotent());
        finish(token, 1, outcome);
        EXPECT_EQ(all<forward_request>().size(), 1U);
        finish(token, 2, attempt_outcome::lost);
        EXPECT_EQ(error().m_code, error_code::peer_lost);
        EXPECT_EQ(error().m_executed, executed::unknown);
    }
    const auto token = arrive(make_non_idempotent());
    finish_by_peer(token, 1, error_code::backend_lost, executed::unknown);
    EXPECT_EQ(error().m_code, error_code::backend_lost);
}

// Guards against the answer "not executed" when one of several attempts may have been executed.
TEST_F(routing_spread, lost_attempt_makes_the_answer_unknown)
{
    const auto token = arrive(make_info("shop"));
    finish(token, 1, attempt_outcome::lost);
    EXPECT_EQ(all<forward_request>().size(), 1U);
    for (attempt_number number = 2; number <= 1 + 3; ++number)
        finish(token, number, attempt_outcome::refused);
    EXPECT_EQ(error().m_code, error_code::peer_lost);
    EXPECT_EQ(error().m_executed, executed::unknown);
}

// Guards against retries that multiply the load of a failing service.
TEST_F(routing_spread, retries_stay_within_the_budget)
{
    std::size_t retries = 0;
    for (int count = 0; count < 400; ++count) {
        const auto token = arrive(make_info("shop"));
        for (attempt_number number = 1; find_open(token); ++number) {
            finish(token, number, attempt_outcome::refused);
            retries += all<forward_request>().size();
        }
    }
    EXPECT_EQ(retries, 40U);
    m_now += seconds(11);
    EXPECT_EQ(remaining_attempts(shop_stats().m_retries, m_now, 100), service_stats::min_retries);
}

// Guards against a hedge that duplicates a write or is sent too early, and against an attempt that
// is not cancelled when the other one is answered.
TEST_F(routing_spread, slow_idempotent_request_is_hedged_once)
{
    shop_stats().m_hedge_delay = milliseconds(40);
    arrive(make_non_idempotent());
    const auto token = arrive(make_info("shop"));
    advance(milliseconds(20));
    EXPECT_TRUE(all<forward_request>().empty());
    advance(milliseconds(200));
    ASSERT_EQ(all<forward_request>().size(), 1U);
    EXPECT_EQ(all<forward_request>()[0].m_token, token);
    EXPECT_NE(all<forward_request>()[0].m_to.m_node, "b");
    finish(token, 2, attempt_outcome::answered);
    ASSERT_EQ(all<cancel_attempt>().size(), 1U);
    EXPECT_EQ(all<cancel_attempt>()[0].m_attempt, 1U);
    finish(token, 1, attempt_outcome::answered);
    EXPECT_TRUE(all<answer_with_reply>().empty());
}

// Guards against entry nodes that never hedge because of little traffic, and against a slow
// upstream whose latency raises the hedge delay.
TEST_F(routing_spread, hedge_delay_is_set_early_and_not_raised_by_a_slow_upstream)
{
    service_stats service;
    for (int count = 0; count < 32; ++count) {
        const bool slow = count % 4 == 0;
        record_reply(service, service.m_upstreams[{slow ? "b" : "c", 1}],
                     milliseconds(slow ? 100 : 10));
    }
    EXPECT_GE(service.m_hedge_delay, milliseconds(10));
    EXPECT_LE(service.m_hedge_delay, milliseconds(30));
}

// Guards against normal latency variation that exhausts the hedge budget.
TEST_F(routing_spread, hedge_delay_is_above_ordinary_latencies)
{
    service_stats service;
    for (int count = 0; count < 32; ++count)
        record_reply(service, service.m_upstreams[{"b", 1}], milliseconds(8 + count % 4));
    EXPECT_GE(service.m_hedge_delay, milliseconds(18));
}

// Guards against more hedges than 5 % of the requests.
TEST_F(routing_spread, hedges_stay_within_the_budget)
{
    shop_stats().m_hedge_delay = milliseconds(40);
    for (int count = 0; count < 100; ++count)
        arrive(make_info("shop"));
    advance(milliseconds(200));
    EXPECT_EQ(all<forward_request>().size(), 5U);
}

// Guards against a slow upstream that keeps its share of requests, and against too many ejections.
TEST_F(routing_spread, slow_upstream_is_ejected_for_a_doubling_time_but_at_most_half_are)
{
    service_stats service;
    const auto replies = [&](const node_id& node, duration latency) {
        for (int count = 0; count < 40; ++count)
            record_reply(service, service.m_upstreams[{node, 1}], latency);
    };
    replies("b", milliseconds(2));
    replies("c", milliseconds(50));
    replies("d", milliseconds(2));
    replies("e", milliseconds(50));
    replies("f", milliseconds(2));
    EXPECT_EQ(update_ejections(service, m_now).size(), 2U);
    EXPECT_EQ(update_ejections(service, m_now + seconds(1)).size(), 2U);
    replies("c", milliseconds(50));
    update_ejections(service, m_now + seconds(2));
    const auto& again = service.m_upstreams[{"c", 1}];
    EXPECT_TRUE(again.m_ejected);
    EXPECT_EQ(again.m_ejection_time, seconds(2));
    replies("d", milliseconds(90));
    replies("e", milliseconds(20));
    update_ejections(service, m_now + seconds(2));
    int ejected = 0;
    for (const auto& [member, upstream] : service.m_upstreams)
        ejected += upstream.m_ejected ? 1 : 0;
    EXPECT_EQ(ejected, 2);
}

// Guards against a slow upstream that receives several requests after each of its ejections.
TEST_F(routing_spread, returned_upstream_receives_one_probe_request)
{
    for (const auto* node : {"b", "c", "d"}) {
        for (int count = 0; count < 40; ++count)
            record_reply(shop_stats(), shop_stats().m_upstreams[{node, 1}],
                         milliseconds(node == std::string("b") ? 50 : 2));
    }
    // The first request builds the list of candidates.
    finish(arrive(make_non_idempotent()), 1, attempt_outcome::answered);
    advance(milliseconds(200));
    ASSERT_TRUE(logged("upstream_ejected"));
    advance(milliseconds(1200));
    ASSERT_TRUE(logged("upstream_returned"));
    const auto token = arrive(make_non_idempotent());
    EXPECT_EQ(selected_node(), "b");
    const auto other = arrive(make_non_idempotent());
    EXPECT_NE(selected_node(), "b");
    finish(other, 1, attempt_outcome::answered);
    m_now += milliseconds(50);
    finish(token, 1, attempt_outcome::answered);
    advance(milliseconds(200));
    EXPECT_TRUE(logged("upstream_ejected"));
}

// Guards against hedges that keep a slow upstream's latency out of the measurement for ejection.
TEST_F(routing_spread, upstream_slower_than_its_hedges_is_ejected)
{
    for (const auto* node : {"b", "c", "d"}) {
        for (int count = 0; count < 10; ++count)
            record_reply(shop_stats(), shop_stats().m_upstreams[{node, 1}], milliseconds(10));
    }
    shop_stats().m_hedge_delay = milliseconds(15);
    shop_stats().m_hedges.m_min_attempts = 10;
    for (int count = 0; count < 2; ++count) {
        const auto token = arrive(make_info("shop"));
        EXPECT_EQ(selected_node(), "b");
        advance(milliseconds(20));
        ASSERT_EQ(all<forward_request>().size(), 1U);
        finish(token, 2, attempt_outcome::answered);
        finish(token, 1, attempt_outcome::lost);
    }
    advance(milliseconds(200));
    EXPECT_TRUE(logged("upstream_ejected"));
}

// Guards against further requests to an upstream that does not answer.
TEST_F(routing_spread, unresponsive_upstream_is_ejected)
{
    for (const auto* node : {"b", "c", "d"}) {
        for (int count = 0; count < 10; ++count)
            record_reply(shop_stats(), shop_stats().m_upstreams[{node, 1}], milliseconds(2));
    }
    arrive(make_non_idempotent());
    EXPECT_EQ(selected_node(), "b");
    advance(milliseconds(200));
    EXPECT_TRUE(logged("upstream_ejected"));
    arrive(make_info("shop"));
    EXPECT_NE(selected_node(), "b");
}

// Guards against policies that select an avoided upstream or ignore their criterion.
TEST_F(routing_spread, policies_follow_their_rules)
{
    std::vector<upstream_candidate> choices(3);
    choices[0].m_avoided = true;
    choices[1].m_reported_load = 0.9;
    choices[1].m_latency_us = 1000;
    choices[2].m_reported_load = 0.1;
    choices[2].m_latency_us = 9000;
    random_source random;
    std::uint64_t round = 0;
    std::set<std::size_t> by_random;
    for (int count = 0; count < 50; ++count) {
        by_random.insert(select_random(choices, random));
        EXPECT_EQ(select_two_choices(choices, random), 1U);
        EXPECT_EQ(select_least_reported_load(choices, random), 2U);
        EXPECT_EQ(select_round_robin(choices, round), count % 2 == 0 ? 1U : 2U);
    }
    EXPECT_EQ(by_random, (std::set<std::size_t>{1, 2}));
    EXPECT_FALSE(select_upstream(records::selection_policy::random, {}, random, round));
}

// Guards against a status page without open requests, upstreams or retry budget.
TEST_F(routing_spread, status_names_limits_and_measurements)
{
    arrive(make_info("shop"));
    const auto status = routing_status(m_state, m_now);
    EXPECT_EQ(status["open_requests"], 1);
    EXPECT_EQ(status["services"]["shop"]["upstreams"][0]["in_flight"], 1);
    EXPECT_EQ(status["services"]["shop"]["retries_left"], service_stats::min_retries);
}

} // namespace

} // namespace azureladder::core::testing
