#include <azureladder/sidecar_runtime/sidecar_settings.hpp>

#include <gtest/gtest.h>

#include <array>

namespace azureladder::sidecar_runtime {

namespace {

const char* const valid_settings = R"({
    // Comments are allowed.
    "node": "n1", "zone": "z", "service": "shop",
    "caller_address": "10.0.0.1:1", "registry_address": "10.0.0.1:2",
    "ready_address": "10.0.0.1:3", "peer_address": "10.0.0.1:4",
    "metrics_address": "10.0.0.1:5", "store_address": "10.0.0.2:6",
    "stop_grace": "6s", "drain": "2000ms", "retry_ratio": 0.2, "retry_slack": 630, "link_mbps": 10.5,
    "quota_window": "4s", "quota_over": 0.25, "quota_slack": 21,
    "memory_mb": 512, "placement_by_speed": false,
    "selection_by_target": false
})";

} // namespace

TEST(sidecar_settings, reads_all_fields)
{
    std::vector<field_error> errors;
    const auto settings = parse_settings(valid_settings, errors);
    EXPECT_TRUE(errors.empty());
    EXPECT_EQ(settings.m_store_address.m_port, 6);
    EXPECT_EQ(settings.m_stop_grace_ms, 6000);
    EXPECT_EQ(settings.m_drain_ms, 2000);
    EXPECT_EQ(settings.m_link_mbps, 10.5);
    EXPECT_EQ(settings.m_retry_slack, 630.0);
    EXPECT_EQ(settings.m_memory_mb, 512);
    EXPECT_FALSE(settings.m_placement_by_speed);
    EXPECT_FALSE(settings.m_selection_by_target);
    EXPECT_EQ(settings.m_quota_window_ms, 4000);
    EXPECT_EQ(settings.m_quota_over, 0.25);
    EXPECT_EQ(settings.m_quota_slack, 21.0);
}

// Guards against a node that does not start where the platform has no bounds for quotas.
TEST(sidecar_settings, uses_the_defaults_for_null)
{
    std::string text = valid_settings;
    for (const std::string value : {"\"4s\"", "0.25", "21"})
        text.replace(text.find(value), value.size(), "null");
    ASSERT_NE(text.find("\"quota_slack\": null"), std::string::npos);
    std::vector<field_error> errors;
    const auto settings = parse_settings(text, errors);
    EXPECT_TRUE(errors.empty());
    EXPECT_EQ(settings.m_quota_window_ms, 5000);
    EXPECT_EQ(settings.m_quota_over, 0.1);
    EXPECT_EQ(settings.m_quota_slack, 20.0);
}

// Guards against a node that starts with invalid settings.
TEST(sidecar_settings, reports_the_invalid_field)
{
    for (const auto& [from, to, field] : std::vector<std::array<std::string, 3>>{
             {"\"10.0.0.1:4\"", "\"host:4\"", "peer_address"},
             {"\"6s\"", "\"soon\"", "stop_grace"},
             {"\"6s\"", "6", "stop_grace"},
             {"\"n1\"", "\"\"", "node"},
             {"\"retry_ratio\": 0.2", "\"retry_ratio\": -1", "retry_ratio"},
             {"630", "-1", "retry_slack"},
             {"10.5", "\"fast\"", "link_mbps"},
             {"10.5", "-1", "link_mbps"},
             {"\"4s\"", "4", "quota_window"},
             {"0.25", "-1", "quota_over"},
             {"21", "\"21\"", "quota_slack"},
             {"512", "63", "memory_mb"},
             {"512", "\"512\"", "memory_mb"},
             {"false", "\"no\"", "placement_by_speed"}}) {
        std::string text = valid_settings;
        text.replace(text.find(from), from.size(), to);
        std::vector<field_error> errors;
        parse_settings(text, errors);
        ASSERT_EQ(errors.size(), 1U) << to;
        EXPECT_EQ(errors.front().m_path, field);
    }
    std::vector<field_error> errors;
    parse_settings("{}", errors);
    EXPECT_EQ(errors.size(), 9U);
    errors.clear();
    load_settings("/nonexistent", errors);
    EXPECT_EQ(errors.size(), 1U);
}

} // namespace azureladder::sidecar_runtime
