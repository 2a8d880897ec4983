#include "history_of.hpp"

#include <azureladder/audit/format.hpp>

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace azureladder::audit {
namespace {

const std::string received =
    R"({"time_us":20,"event":"request_received","node":"n1","request_id":"r1","service":"a"})";

// Guards against an audit that stops at a line that a killed process truncated.
TEST(log_reader, counts_malformed_and_cut_lines)
{
    const auto events =
        history_of_text("not json\n" + received + "\n{\"event\":\"call_started\"}\n" +
                        R"({"time_us":1,"event":"lease_lost"})" + "\n" + received.substr(0, 30));
    ASSERT_EQ(events.m_events.size(), 1U);
    EXPECT_EQ(events.m_events[0].m_position.m_line, 2U);
    EXPECT_EQ(events.m_skipped_count, 1U);
    ASSERT_EQ(events.m_malformed_count, 3U);
    EXPECT_EQ(events.m_malformed[0].m_position.m_line, 1U);
    EXPECT_FALSE(events.m_malformed[1].m_is_truncated);
    EXPECT_TRUE(events.m_malformed[2].m_is_truncated);
    EXPECT_EQ(report_json(events, {}).at("malformed")[2].at("position"), "test.jsonl:5");
}

// Guards against an audit that stops at a field of the wrong type.
TEST(log_reader, accepts_ids_as_numbers_and_rejects_wrong_types)
{
    const auto events = history_of(
        {R"("time_us":1,"event":"node_started","node":"n1","incarnation":18446744073709551615)",
         R"("time_us":2,"event":"revision_installed","node":"n1","revision":"two")"});
    ASSERT_EQ(events.m_events.size(), 1U);
    EXPECT_EQ(events.m_events[0].m_incarnation, "18446744073709551615");
    EXPECT_EQ(events.m_malformed_count, 1U);
}

// Guards against counting executions of services that are not divided by key as malformed.
TEST(log_reader, accepts_empty_slice_fields)
{
    const auto events = history_of(
        {R"("time_us":1,"event":"execution_started","server":"s","slice":"","epoch":"")"});
    ASSERT_EQ(events.m_events.size(), 1U);
    EXPECT_EQ(events.m_events[0].m_epoch, 0U);
}

// Guards against an audit that passes because a log is missing.
TEST(log_reader, reports_a_missing_file)
{
    const auto events = read_logs({"/nonexistent/log.jsonl"});
    ASSERT_FALSE(events);
    EXPECT_EQ(to_string(events.error()), "/nonexistent/log.jsonl: the log cannot be opened");
}

// Guards against a merge that loses, doubles or reorders events with equal times.
TEST(merge_by_time, is_a_stable_permutation)
{
    std::vector<std::string> lines;
    lines.reserve(200);
    for (int i = 0; i < 200; ++i)
        lines.push_back(R"("event":"node_started","time_us":)" + std::to_string(i * 37 % 50) +
                        R"(,"node":"n)" + std::to_string(i) + '"');
    const auto events = history_of(lines);
    ASSERT_EQ(events.m_events.size(), 200U);
    for (std::size_t i = 1; i < events.m_events.size(); ++i) {
        const auto& earlier = events.m_events[i - 1];
        const auto& later = events.m_events[i];
        EXPECT_LT(std::pair(earlier.m_time_us, earlier.m_position.m_line),
                  std::pair(later.m_time_us, later.m_position.m_line));
        EXPECT_EQ(later.m_node, "n" + std::to_string(later.m_position.m_line - 1));
    }
}

// Guards against logs of several processes that are not merged by time.
TEST(trace, orders_the_steps_of_all_logs)
{
    const auto directory = testing::TempDir();
    const auto caller = directory + "audit_trace_caller.jsonl";
    const auto router = directory + "audit_trace_router.jsonl";
    std::ofstream(router) << received << "\n";
    std::ofstream(caller)
        << R"({"time_us":10,"event":"call_started","request_id":"r1","service":"a",)"
        << R"("idempotency_key":"i"})"
        << "\n"
        << R"({"time_us":15,"event":"call_started","request_id":"r2","service":"a",)"
        << R"("idempotency_key":"i"})"
        << "\n"
        << R"({"time_us":30,"event":"call_finished","request_id":"r1","status":200})"
        << "\n";
    const auto events = read_logs({router, caller});
    ASSERT_TRUE(events);
    const auto steps = trace(events.value(), "r1");
    ASSERT_EQ(steps.m_steps.size(), 3U);
    EXPECT_EQ(steps.m_steps[0].m_source, "caller");
    EXPECT_EQ(steps.m_steps[1].m_source, "n1");
    EXPECT_EQ(steps.m_steps[1].m_offset_us, 10);
    EXPECT_EQ(steps.m_related, std::vector<std::string>{"r2"});
    EXPECT_NE(to_text(steps).find("+10 us n1: 20 request_received"), std::string::npos);
    EXPECT_EQ(to_json(steps).at("steps").size(), 3U);
    std::remove(caller.c_str());
    std::remove(router.c_str());
}

// Guards against reports without the positions of the lines concerned.
TEST(format, shows_the_lines_of_a_violation)
{
    const auto events =
        history_of({R"("time_us":1,"event":"revision_installed","node":"n1","revision":2)",
                    R"("time_us":2,"event":"revision_installed","node":"n1","revision":1)"});
    const auto found = check(events);
    const auto text = report_text(events, found);
    EXPECT_NE(text.find("configuration_monotonic: node n1 installed revision 1 after revision 2\n"
                        "  test.jsonl:1: 1 revision_installed node=n1 revision=2\n"),
              std::string::npos)
        << text;
    EXPECT_EQ(report_json(events, found).at("violations_by_rule").at("configuration_monotonic"), 1);
}

} // namespace
} // namespace azureladder::audit
