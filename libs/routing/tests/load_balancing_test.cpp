#include <azureladder/routing/retry_budget.hpp>
#include <azureladder/routing/routing_configuration.hpp>
#include <azureladder/routing/server_selection.hpp>
#include <azureladder/routing/weighted_round_robin.hpp>

#include <gtest/gtest.h>

#include <map>

namespace azureladder::routing {

namespace {

server_candidate make_candidate(std::uint32_t running, milliseconds service, bool same_zone)
{
    server_candidate candidate;
    candidate.m_report.m_open = true;
    candidate.m_report.m_limit = 10;
    candidate.m_report.m_running = running;
    candidate.m_report.m_service_time = service;
    candidate.m_same_zone = same_zone;
    candidate.m_round_trip_time = same_zone ? duration{} : duration(milliseconds(7));
    return candidate;
}

} // namespace

// Guards against unnecessary traffic between availability zones while servers in the node's own
// zone are about as fast.
TEST(server_selection, prefers_the_local_zone_unless_it_is_much_slower)
{
    const server_selection_options options;
    EXPECT_EQ(select_server({make_candidate(2, milliseconds(100), false),
                             make_candidate(2, milliseconds(120), true)},
                            options, 0),
              1U);
    EXPECT_EQ(select_server({make_candidate(2, milliseconds(100), false),
                             make_candidate(30, milliseconds(120), true)},
                            options, 0),
              0U);
}

// Guards against overloading the best server: nodes with the same outdated reports would all send
// it all of their requests. It has to receive more requests than the others, but not all.
TEST(server_selection, spreads_requests_over_servers_of_similar_cost)
{
    const std::vector<server_candidate> candidates = {make_candidate(2, milliseconds(100), true),
                                                      make_candidate(2, milliseconds(130), true),
                                                      make_candidate(9, milliseconds(400), true)};
    std::vector<int> counts(candidates.size() + 1);
    for (std::uint64_t i = 0; i < 1000; ++i)
        ++counts[select_server(candidates, {}, i * (UINT64_MAX / 1000))];
    EXPECT_GT(counts[0], counts[1]);
    EXPECT_GT(counts[1], 150);
    EXPECT_LT(counts[2], 50);
    EXPECT_EQ(counts[3], 0);
}

// Guards against sending requests to servers that accept none.
TEST(server_selection, selects_no_closed_server)
{
    auto closed = make_candidate(0, milliseconds(1), true);
    closed.m_report.m_open = false;
    EXPECT_EQ(select_server({closed}, {}, 7), 1U);
    EXPECT_EQ(select_server({closed, make_candidate(50, milliseconds(500), false)}, {}, 7), 1U);
}

// Guards against preferring a backend server whose responses are fast because they are errors.
TEST(server_selection, avoids_failing_servers)
{
    auto failing = make_candidate(0, milliseconds(5), true);
    failing.m_report.m_failure_share = 0.5;
    int failed = 0;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        const std::uint64_t random = i * (UINT64_MAX / 1000);
        failed +=
            select_server({failing, make_candidate(5, milliseconds(100), true)}, {}, random) == 0
                ? 1
                : 0;
    }
    EXPECT_LE(failed, 10);
}

// Guards against a server that appears fast because it runs many short calls, and therefore
// receives most of the long requests too. On a large site one server rejected 1,814 requests that
// way while others were idle.
TEST(server_selection, compares_execution_times_of_the_same_route)
{
    const std::uint32_t order = route_hash("order");
    auto many_calls = make_candidate(9, milliseconds(40), true);
    many_calls.m_report.m_route_times = {{order, milliseconds(250)}};
    many_calls.m_report.m_predicted_wait = milliseconds(60);
    auto few_calls = make_candidate(3, milliseconds(200), true);
    few_calls.m_report.m_route_times = {{order, milliseconds(240)}};
    auto unknown = make_candidate(3, milliseconds(90), true);
    std::vector<server_candidate> candidates = {many_calls, few_calls, unknown};
    set_service_times(candidates, order);
    EXPECT_EQ(candidates[2].m_service_time, duration(milliseconds(245)));
    std::vector<int> counts(4);
    for (std::uint64_t i = 0; i < 1000; ++i)
        ++counts[select_server(candidates, {}, i * (UINT64_MAX / 1000))];
    EXPECT_LT(counts[0] * 2, counts[1]);
    EXPECT_LT(counts[0] * 2, counts[2]);
}

// Guards against request counts that deviate from the weights of a route within short sequences.
TEST(weighted_round_robin, keeps_the_weights_in_short_sequences)
{
    weighted_round_robin state;
    const std::vector<weighted_service> services = {{"a", 90}, {"b", 10}, {"c", 0}};
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i)
        ++counts[next_service(state, services)->m_service];
    EXPECT_EQ(counts["a"], 90);
    EXPECT_EQ(counts["b"], 10);
    EXPECT_EQ(counts["c"], 0);
    EXPECT_EQ(next_service(state, {{"a", 0}}), nullptr);
}

// Guards against retries that multiply the load: they are limited to a fraction of the requests.
TEST(retry_budget, limits_the_share_of_retries)
{
    retry_budgets budgets;
    const retry_budget_options options;
    const double max = max_tokens(options, 3);
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        record_request(budgets["s"], options, max);
        while (take_retry(budgets, "s", {}))
            ++taken;
    }
    EXPECT_LE(taken, 1000 * options.m_tokens_per_request + options.m_max_tokens);
    EXPECT_GE(taken, 140);
}

// Guards against repeats beyond the operator's slack when many nodes spend saved tokens at once, or
// when many processes have just started.
TEST(retry_budget, saved_tokens_of_all_nodes_stay_below_the_slack)
{
    const retry_budget_options options;
    for (const std::size_t nodes : {1U, 13U, 28U, 40U}) {
        int taken = 0;
        for (std::size_t node = 0; node < nodes; ++node) {
            retry_budgets budgets;
            EXPECT_FALSE(take_retry(budgets, "s", {}));
            for (int i = 0; i < 1000; ++i)
                record_request(budgets["s"], options, max_tokens(options, nodes));
            while (take_retry(budgets, "s", {}))
                ++taken;
        }
        EXPECT_LE(taken, options.m_max_total_tokens) << nodes << " nodes";
    }
}

// Guards against repeats that exceed the budget of a called service: the calls of a repeated
// execution count as repeats there.
TEST(retry_budget, repeat_needs_tokens_for_its_calls)
{
    retry_budgets budgets;
    budgets["orders"].m_tokens = 3.0;
    EXPECT_FALSE(take_retry(budgets, "orders", {{"catalogue", 0.7}}));
    EXPECT_EQ(budgets["orders"].m_tokens, 3.0);
    budgets["catalogue"].m_tokens = 1.5;
    EXPECT_TRUE(take_retry(budgets, "orders", {{"catalogue", 0.7}}));
    EXPECT_TRUE(may_retry(budgets, "orders", {{"catalogue", 0.7}}));
    EXPECT_TRUE(take_retry(budgets, "orders", {{"catalogue", 0.7}}));
    EXPECT_FALSE(take_retry(budgets, "orders", {{"catalogue", 0.7}}));
    EXPECT_NEAR(budgets["catalogue"].m_tokens, 0.1, 1e-9);
    EXPECT_TRUE(take_retry(budgets, "orders", {}));
}

TEST(nested_calls, counts_the_calls_of_recent_executions)
{
    nested_calls counts;
    for (int i = 0; i < 9; ++i)
        record_execution(counts);
    record_call(counts, "a");
    EXPECT_TRUE(calls_per_execution(counts).empty());
    for (int i = 0; i < 2000; ++i) {
        record_execution(counts);
        record_call(counts, "a");
        if (i % 4 == 0)
            record_call(counts, "b");
    }
    EXPECT_NEAR(calls_per_execution(counts).at("a"), 1.0, 0.05);
    EXPECT_NEAR(calls_per_execution(counts).at("b"), 0.25, 0.05);
    for (int i = 0; i < 4000; ++i)
        record_execution(counts);
    EXPECT_TRUE(calls_per_execution(counts).empty());
}

// Guards against routing a request by a shorter prefix or by the prefix of another host.
TEST(find_route, selects_the_longest_prefix_of_the_host)
{
    routing_configuration configuration;
    for (const auto& [host, prefix] : std::vector<std::pair<std::string, std::string>>{
             {"a", "/x/"}, {"a", "/x/y/"}, {"b", "/"}}) {
        route entry;
        entry.m_name = host + prefix;
        entry.m_host = host;
        entry.m_prefix = prefix;
        configuration.m_routes.push_back(entry);
    }
    index_routes(configuration);
    EXPECT_EQ(find_route(configuration, "a", "/x/y/z?q=/x/")->m_name, "a/x/y/");
    EXPECT_EQ(find_route(configuration, "a", "/x/yy")->m_name, "a/x/");
    EXPECT_EQ(find_route(configuration, "a", "/x"), nullptr);
    EXPECT_EQ(find_route(configuration, "c", "/x/"), nullptr);
    EXPECT_EQ(find_route(configuration, "b", "/any")->m_name, "b/");
}

} // namespace azureladder::routing
