#include <azureladder/settings/load_settings.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace azureladder::settings {
namespace {

const char* const minimal = R"({
    // The node and where it runs.
    "node": "n1", "availability_zone": "z1",
    "store": {"address": "127.0.0.1:7000"} /* no other section */
})";

std::vector<std::string> error_paths(const std::string& text)
{
    std::vector<std::string> paths;
    const auto parsed = parse_settings(text, "f");
    if (!parsed) {
        for (const auto& error : parsed.error().m_fields)
            paths.push_back(error.m_path);
    }
    return paths;
}

// Guards against defaults that differ from the documented ones.
TEST(settings, defaults)
{
    const auto parsed = parse_settings(minimal, "f");
    ASSERT_TRUE(parsed) << to_string(parsed.error());
    const node_settings& settings = parsed.value();
    EXPECT_EQ(settings.m_node, "n1");
    EXPECT_EQ(settings.m_store.m_address, (endpoint{"127.0.0.1", 7000}));
    EXPECT_EQ(settings.m_stop_grace, milliseconds(500));
    EXPECT_EQ(settings.m_core_options.m_lease_duration, core::core_options{}.m_lease_duration);
    EXPECT_FALSE(settings.m_seed || settings.m_log.m_file || settings.m_http.m_advertise);
}

// Guards against a field that is stored in the wrong member or with the wrong unit.
TEST(settings, every_field_is_read)
{
    const auto parsed = parse_settings(R"({
        "node": "n1", "availability_zone": "z1",
        "http": {"listen": "0.0.0.0:1", "advertise": "10.0.0.1:2", "max_threads": 9,
                 "max_body_bytes": 10},
        "peer": {"listen": "[::]:3", "advertise": "10.0.0.1:4",
                 "routes": {"n2": "10.1.0.2:5"}},
        "store": {"address": "10.0.0.9:6", "timeout_ms": 77},
        "log": {"level": "warning", "file": "/var/log/a.log"},
        "cluster": {"plan_shards": 11, "slice_shards": 12},
        "timing": {"lease_interval_ms": 101, "lease_duration_ms": 303,
                   "clock_rate_error_permille": 13, "max_send_delay_ms": 14, "stop_grace_ms": 15,
                   "stop_timeout_ms": 16},
        "limits": {"queue_per_slot": 17, "retry_budget_permille": 18, "hedge_budget_permille": 19,
                   "claim_retention_ms": 20000, "claims_per_slice": 21},
        "seed": 22})",
                                       "f");
    ASSERT_TRUE(parsed) << to_string(parsed.error());
    const node_settings& read = parsed.value();
    EXPECT_EQ(read.m_zone, "z1");
    EXPECT_EQ(read.m_http.m_listen, (endpoint{"0.0.0.0", 1}));
    EXPECT_EQ(*read.m_http.m_advertise, (endpoint{"10.0.0.1", 2}));
    EXPECT_EQ(read.m_http.m_max_threads, 9u);
    EXPECT_EQ(read.m_http.m_max_body_bytes, 10u);
    EXPECT_EQ(read.m_peer.m_listen, (endpoint{"::", 3}));
    EXPECT_EQ(*read.m_peer.m_advertise, (endpoint{"10.0.0.1", 4}));
    EXPECT_EQ(read.m_peer.m_routes.at("n2"), (endpoint{"10.1.0.2", 5}));
    EXPECT_EQ(read.m_store.m_timeout, milliseconds(77));
    EXPECT_EQ(read.m_log.m_level, log_level::warning);
    EXPECT_EQ(*read.m_log.m_file, "/var/log/a.log");
    EXPECT_EQ(read.m_cluster.m_plan_shards, 11u);
    EXPECT_EQ(read.m_cluster.m_slice_shards, 12u);
    EXPECT_EQ(read.m_core_options.m_lease_interval, milliseconds(101));
    EXPECT_EQ(read.m_core_options.m_lease_duration, milliseconds(303));
    EXPECT_EQ(read.m_core_options.m_clock_rate_error_permille, 13u);
    EXPECT_EQ(read.m_core_options.m_max_send_delay, milliseconds(14));
    EXPECT_EQ(read.m_stop_grace, milliseconds(15));
    EXPECT_EQ(read.m_stop_timeout, milliseconds(16));
    EXPECT_EQ(read.m_core_options.m_queue_per_slot, 17u);
    EXPECT_EQ(read.m_core_options.m_retry_budget_permille, 18u);
    EXPECT_EQ(read.m_core_options.m_hedge_budget_permille, 19u);
    EXPECT_EQ(read.m_core_options.m_claim_retention, seconds(20));
    EXPECT_EQ(read.m_core_options.m_claims_per_slice, 21u);
    EXPECT_EQ(*read.m_seed, 22u);
}

// Guards against reporting only the first error.
TEST(settings, all_errors_are_reported_at_once)
{
    const std::string text = R"({
        "node": "N1",
        "http": {"listen": "localhost:80", "port": 80, "max_threads": 1},
        "peer": {"listen": 7, "routes": {"n2": "10.0.0.1:0", "N3": "10.0.0.1:1"}},
        "store": {"timeout_ms": 5},
        "log": {"level": "loud", "file": ""},
        "timing": {"lease_interval_ms": 0.5, "clock_rate_error_permille": 201},
        "limits": [],
        "seed": -1})";
    EXPECT_THAT(error_paths(text),
                testing::UnorderedElementsAre(
                    "node", "availability_zone", "http.listen", "http.port", "http.max_threads",
                    "peer.listen", "peer.routes.n2", "peer.routes.N3", "store.address",
                    "store.timeout_ms", "log.level", "log.file", "timing.lease_interval_ms",
                    "timing.clock_rate_error_permille", "limits", "seed"));
    const auto parsed = parse_settings(text, "/etc/node.json");
    EXPECT_THAT(to_string(parsed.error()),
                testing::HasSubstr("/etc/node.json: availability_zone: missing; expected a name"));
}

// Guards against accepting fields that are valid individually but unsafe or contradictory in
// combination.
TEST(settings, fields_are_checked_together)
{
    const auto with = [](const std::string& sections) {
        return error_paths(R"({"node": "n1", "availability_zone": "z1",
                               "store": {"address": "10.0.0.9:6"}, )" +
                           sections + "}");
    };
    const auto only = [](const char* path) { return testing::ElementsAre(path); };
    EXPECT_THAT(with(R"("timing": {"lease_interval_ms": 301})"), only("timing.lease_duration_ms"));
    EXPECT_THAT(with(R"("timing": {"lease_interval_ms": 39})"), only("timing.lease_interval_ms"));
    EXPECT_THAT(with(R"("timing": {"max_send_delay_ms": 600})"), only("timing.max_send_delay_ms"));
    EXPECT_THAT(with(R"("timing": {"stop_timeout_ms": 500})"), only("timing.stop_timeout_ms"));
    EXPECT_THAT(with(R"("http": {"listen": "0.0.0.0:80"})"), only("http.advertise"));
    EXPECT_THAT(with(R"("peer": {"listen": "[::]:80"})"), only("peer.advertise"));
    EXPECT_THAT(with(R"("peer": {"listen": "127.0.0.1:8080"})"), only("peer.listen"));
    EXPECT_THAT(with(R"("peer": {"routes": {"n1": "10.0.0.1:1"}})"), only("peer.routes.n1"));
    EXPECT_THAT(with(R"("timing": {"lease_interval_ms": 300, "stop_timeout_ms": 501},
                        "http": {"listen": "127.0.0.1:0"}, "peer": {"listen": "127.0.0.1:0"})"),
                testing::IsEmpty());
}

// Guards against an exception, or silent defaults, when the file is unreadable or malformed.
TEST(settings, unreadable_files_are_errors)
{
    EXPECT_THAT(to_string(load_settings("/nonexistent/node.json").error()),
                testing::HasSubstr("/nonexistent/node.json: cannot be opened: "));
    EXPECT_FALSE(load_settings("/"));
    const auto cut = parse_settings("{\n  \"node\": \"n1\",\n  oops", "f");
    EXPECT_THAT(to_string(cut.error()), testing::HasSubstr("line 3"));
    EXPECT_THAT(error_paths(R"({"node": "a", "node": "b"})"), testing::ElementsAre("node"));
    EXPECT_FALSE(parse_settings("", "f"));
    EXPECT_FALSE(parse_settings("[]", "f"));
}

} // namespace
} // namespace azureladder::settings
