#include <azureladder/routing/call_detection.hpp>
#include <azureladder/routing/load_report.hpp>

#include <gtest/gtest.h>

#include <random>

namespace azureladder::routing {

namespace {

const call_detection_options options;

/// Requests of one route, of which `share` originate from VMs of the service "a".
std::vector<std::uint32_t> called_routes_after(int requests, double share)
{
    origins_by_route origins;
    std::mt19937 random(7);
    std::bernoulli_distribution is_from_a(share);
    for (int i = 0; i < requests; ++i)
        record_origin(origins, 5, is_from_a(random) ? "a" : "b", options);
    return called_routes(origins, options);
}

} // namespace

// Guards against calls that wait behind new requests because they are taken for these.
TEST(call_detection, recognizes_routes_that_one_service_uses)
{
    EXPECT_EQ(called_routes_after(100, 1.0), std::vector<std::uint32_t>{5});
    // Test requests of operators arrive at any node.
    EXPECT_EQ(called_routes_after(1000, 0.99), std::vector<std::uint32_t>{5});
}

// Guards against requests of clients that overtake others and earn no repeats because most VMs run
// the same service.
TEST(call_detection, does_not_take_requests_of_clients_for_calls)
{
    for (const int requests : {10, 30, 50, 100, 1000, 5000})
        EXPECT_TRUE(called_routes_after(requests, 0.7).empty()) << requests;
    EXPECT_TRUE(called_routes_after(29, 1.0).empty());
}

// Guards against state that grows with the routes of requests.
TEST(call_detection, counts_a_limited_number_of_routes_and_origins)
{
    origins_by_route origins;
    for (std::uint32_t route = 0; route < 1000; ++route) {
        for (int service = 0; service < 20; ++service)
            record_origin(origins, route, std::to_string(service), options);
    }
    EXPECT_EQ(origins.size(), options.m_max_routes);
    EXPECT_EQ(origins.begin()->second.m_by_service.size(), options.m_max_origins);
    EXPECT_TRUE(called_routes(origins, options).empty());
}

} // namespace azureladder::routing
