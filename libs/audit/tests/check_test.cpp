#include "history_of.hpp"

#include <azureladder/audit/check.hpp>

#include <gtest/gtest.h>

#include <set>

namespace azureladder::audit {
namespace {

using lines = std::vector<std::string>;

/// Event at `ms` milliseconds with further fields.
std::string at(int ms, const std::string& name, const std::string& fields)
{
    return R"("time_us":)" + std::to_string(ms) + R"(000,"event":")" + name + R"(",)" + fields;
}

std::string started(int ms, const std::string& server, const std::string& id,
                    const std::string& fields = R"("method":"GET")")
{
    return at(ms, "execution_started",
              R"("server":")" + server + R"(","request_id":")" + id + R"(","service":"bookings",)" +
                  fields);
}

std::string finished(int ms, const std::string& server, const std::string& id)
{
    return at(ms, "execution_finished",
              R"("server":")" + server + R"(","request_id":")" + id + R"(","status":200)");
}

std::string keyed(int epoch)
{
    return R"("key":"k","space":"bookings","slice":3,"epoch":)" + std::to_string(epoch);
}

std::string owned(int ms, const std::string& name, const std::string& node,
                  const std::string& fields = R"("reason":"moved")")
{
    return at(ms, name,
              R"("node":")" + node +
                  R"(","incarnation":7,"space":"bookings","slice":3,"epoch":1,)" + fields);
}

std::string call(int ms, const std::string& id, const std::string& fields = R"("method":"GET")")
{
    return at(ms, "call_started",
              R"("service":"bookings","key":"k","request_id":")" + id + R"(",)" + fields);
}

std::string answer(int ms, const std::string& id, const std::string& executed,
                   const std::string& echoed, const std::string& fields = R"("whole":true)")
{
    const auto status = executed == "yes" ? "200" : "503";
    const auto key = echoed.empty() ? "" : "k";
    return at(ms, "call_finished",
              R"("request_id":")" + id + R"(","status":)" + status + R"(,"executed":")" + executed +
                  R"(","echoed_request_id":")" + echoed + R"(","echoed_key":")" + key + R"(",)" +
                  fields);
}

std::string at_node(int ms, const std::string& name, const std::string& fields = R"("x":0)")
{
    return at(ms, name, R"("node":"n1","incarnation":"a","service":"bookings",)" + fields);
}

std::string installed(int ms, int revision)
{
    return at_node(ms, "revision_installed", R"("revision":)" + std::to_string(revision));
}

std::string accepted(int ms, int revision, const std::string& fields = R"("apply_id":"a")")
{
    return at(ms, "change_accepted",
              R"("node":"n2","revision":)" + std::to_string(revision) + "," + fields);
}

const std::string post = R"("method":"POST","key":"k")";
const std::string post_with_key = R"("method":"POST","key":"k","idempotency_key":"i")";
const std::string in_zone_b = R"("method":"GET","zone":"b")";

/// Two similar histories, of which one violates the rule and one does not.
struct sample
{
    const char* m_name;
    rule m_rule;
    lines m_violating;
    lines m_conforming;
};

std::vector<sample> ownership_samples()
{
    return {
        {"executions_overlap",
         rule::single_owner,
         {started(10, "s1", "r1", keyed(1)), started(30, "s2", "r2", keyed(1)),
          finished(50, "s1", "r1"), finished(60, "s2", "r2")},
         {started(10, "s1", "r1", keyed(1)), finished(30, "s1", "r1"),
          started(30, "s2", "r2", keyed(2)), finished(60, "s2", "r2")}},
        // A server that was killed during an execution does not execute after its last line.
        {"execution_without_end",
         rule::single_owner,
         {started(10, "s1", "r1", keyed(1)), started(30, "s2", "r2", keyed(2)),
          finished(50, "s2", "r2"), finished(60, "s1", "other")},
         {started(10, "s1", "r1", keyed(1)), started(30, "s2", "r2", keyed(2)),
          finished(50, "s2", "r2"), at(55, "server_started", R"("server":"s1")"),
          finished(60, "s1", "other")}},
        {"execution_numbers_start_again",
         rule::single_owner,
         {started(10, "s1", "r1", keyed(1) + R"(,"execution":1)"),
          started(30, "s2", "r2", keyed(2)), finished(50, "s2", "r2"),
          started(60, "s1", "r3", keyed(3) + R"(,"execution":2)"), finished(70, "s1", "r3")},
         {started(10, "s1", "r1", keyed(1) + R"(,"execution":1)"),
          started(30, "s2", "r2", keyed(2)), finished(50, "s2", "r2"),
          started(60, "s1", "r3", keyed(3) + R"(,"execution":1)"), finished(70, "s1", "r3")}},
        {"spread_services_share_keys",
         rule::single_owner,
         {started(10, "s1", "r1", keyed(1)), started(30, "s2", "r2", keyed(1)),
          finished(50, "s1", "r1"), finished(60, "s2", "r2")},
         {started(10, "s1", "r1"), started(30, "s2", "r2"), finished(50, "s1", "r1"),
          finished(60, "s2", "r2")}},
        {"epoch_decreases",
         rule::single_owner,
         {started(10, "s1", "r1", keyed(2)), finished(20, "s1", "r1"),
          started(40, "s2", "r2", keyed(1)), finished(50, "s2", "r2")},
         {started(10, "s1", "r1", keyed(1)), finished(20, "s1", "r1"),
          started(40, "s2", "r2", keyed(2)), finished(50, "s2", "r2")}},
        {"ownerships_overlap",
         rule::single_owner,
         {owned(10, "ownership_started", "n1"), owned(30, "ownership_started", "n2"),
          owned(50, "ownership_ended", "n1"), owned(90, "ownership_ended", "n2")},
         // Overlap within the clock tolerance.
         {owned(10, "ownership_started", "n1"), owned(30, "ownership_started", "n2"),
          owned(34, "ownership_ended", "n1"), owned(90, "ownership_ended", "n2")}},
        // A paused owner logs the end of its ownership only after it resumes.
        {"end_logged_late",
         rule::single_owner,
         {owned(10, "ownership_started", "n1"), owned(30, "ownership_started", "n2"),
          owned(50, "ownership_ended", "n1", R"("mono_us":60000,"effective_mono_us":55000)"),
          owned(90, "ownership_ended", "n2")},
         {owned(10, "ownership_started", "n1"), owned(30, "ownership_started", "n2"),
          owned(50, "ownership_ended", "n1", R"("mono_us":60000,"effective_mono_us":39000)"),
          owned(90, "ownership_ended", "n2")}},
        {"used_after_expired_lease",
         rule::single_owner,
         {owned(10, "ownership_started", "n1"), owned(30, "ownership_started", "n2"),
          owned(40, "request_dispatched", "n1"),
          owned(50, "ownership_ended", "n1", R"("reason":"lease_expired")"),
          owned(90, "ownership_ended", "n2")},
         {owned(10, "ownership_started", "n1"), owned(20, "request_dispatched", "n1"),
          owned(30, "ownership_started", "n2"),
          owned(50, "ownership_ended", "n1", R"("reason":"lease_expired")"),
          owned(90, "ownership_ended", "n2")}},
        // A paused server detects the expiry of its lease late; the execution ends at the expiry.
        {"execution_end_logged_late",
         rule::single_owner,
         {started(10, "s1", "r1", keyed(1)), started(30, "s2", "r2", keyed(2)),
          finished(50, "s1", "r1") + R"(,"mono_us":60000,"work_end_mono_us":55000)",
          finished(90, "s2", "r2")},
         {started(10, "s1", "r1", keyed(1)), started(30, "s2", "r2", keyed(2)),
          finished(50, "s1", "r1") + R"(,"mono_us":60000,"work_end_mono_us":39000)",
          finished(90, "s2", "r2")}},
    };
}

std::vector<sample> request_samples()
{
    return {
        {"request_executed_twice",
         rule::at_most_once,
         {started(10, "s1", "r1", post), started(20, "s2", "r1", post)},
         {started(10, "s1", "r1"), started(20, "s2", "r1")}},
        {"idempotency_key_executed_twice",
         rule::at_most_once,
         {started(10, "s1", "r1", post_with_key), started(20, "s2", "r2", post_with_key)},
         {started(10, "s1", "r1", post_with_key),
          at(20, "execution_refused", R"("server":"s2","request_id":"r2","reason":"draining")")}},
        {"executed_but_refused",
         rule::truthful_refusal,
         {call(5, "r1"), started(10, "s1", "r1"), answer(20, "r1", "no", "")},
         {call(5, "r1"), started(10, "s1", "r1"), answer(20, "r1", "unknown", "")}},
        {"refused_by_entry_node",
         rule::truthful_refusal,
         {started(10, "s1", "r1"),
          at_node(20, "request_finished", R"("request_id":"r1","executed":"no","role":"entry")")},
         {started(10, "s1", "r1"),
          at_node(20, "request_finished", R"("request_id":"r1","executed":"no","role":"owner")")}},
        {"success_without_execution",
         rule::truthful_success,
         {started(1, "s1", "other"), call(5, "r1"), answer(20, "r1", "yes", "r1")},
         {call(5, "r1"), answer(20, "r1", "yes", "r1")}},
        {"response_of_another_request",
         rule::right_answer,
         {call(5, "r1"), answer(20, "r1", "yes", "r2")},
         // A stored response echoes the request executed with the same idempotency key.
         {call(1, "r2", R"("idempotency_key":"i")"), call(5, "r1", R"("idempotency_key":"i")"),
          answer(20, "r1", "yes", "r2")}},
        {"incomplete_response",
         rule::right_answer,
         {call(5, "r1"), answer(20, "r1", "yes", "r1", R"("whole":false)")},
         {call(5, "r1"), answer(20, "r1", "unknown", "", R"("whole":false)")}},
        {"cold_server_overloaded",
         rule::cold_bound,
         {started(10, "s1", "r1", R"("method":"GET","in_flight":3,"bound":2)")},
         {started(10, "s1", "r1", R"("method":"GET","in_flight":2,"bound":2)")}},
    };
}

std::vector<sample> operator_samples()
{
    return {
        {"work_in_removed_zone",
         rule::removed_zone,
         {accepted(10, 2, R"("removed_zones":["b"])"), started(3011, "s1", "r1", in_zone_b)},
         {accepted(10, 2, R"("removed_zones":["b"])"), started(3010, "s1", "r1", in_zone_b),
          accepted(5000, 3, R"("returned_zones":["b"])"), started(5001, "s1", "r2", in_zone_b)}},
        {"zone_known_from_the_node",
         rule::removed_zone,
         {at_node(1, "node_started", R"("zone":"b")"),
          at_node(2, "request_dispatched", R"("backend":"s1")"),
          accepted(10, 2, R"("removed_zones":["b"])"), started(3011, "s1", "r1")},
         {at_node(1, "node_started", R"("zone":"c")"),
          at_node(2, "request_dispatched", R"("backend":"s1")"),
          accepted(10, 2, R"("removed_zones":["b"])"), started(3011, "s1", "r1")}},
        // Nodes install the revision that returns a zone before its acceptance is logged.
        {"returned_before_accepted",
         rule::removed_zone,
         {accepted(10, 2, R"("removed_zones":["b"])"), started(4990, "s1", "r1", in_zone_b),
          accepted(5000, 3, R"("returned_zones":["b"])")},
         {accepted(10, 2, R"("removed_zones":["b"])"), installed(4980, 3),
          started(4990, "s1", "r1", in_zone_b), accepted(5000, 3, R"("returned_zones":["b"])")}},
        {"work_at_removed_server",
         rule::removed_server,
         {accepted(10, 2, R"("removed_servers":["s1"])"), started(3011, "s1", "r1")},
         {accepted(10, 2, R"("removed_servers":["s1"])"), started(3011, "s2", "r1")}},
        {"revision_decreases",
         rule::configuration_monotonic,
         {installed(10, 2), installed(20, 1)},
         {installed(10, 1), installed(20, 1), installed(30, 2)}},
        {"old_revision_in_use",
         rule::configuration_in_effect,
         {installed(10, 1), accepted(20, 2), at_node(5021, "request_dispatched")},
         {installed(10, 1), accepted(20, 2), at_node(5020, "request_dispatched"),
          installed(5030, 3), at_node(5031, "request_dispatched")}},
        {"revision_lost_by_restart",
         rule::configuration_in_effect,
         {installed(10, 2), accepted(20, 2), at_node(30, "node_started"),
          at_node(5021, "request_dispatched")},
         {installed(10, 2), accepted(20, 2), at_node(30, "node_started"), installed(40, 2),
          at_node(5021, "request_dispatched")}},
        {"stopped_with_open_request",
         rule::graceful_stop,
         {at_node(10, "request_received", R"("request_id":"r1")"), at_node(20, "node_stopped"),
          at_node(30, "request_finished", R"("request_id":"r1")")},
         {at_node(10, "request_received", R"("request_id":"r1")"),
          at_node(20, "request_finished", R"("request_id":"r1")"), at_node(30, "node_stopped")}},
    };
}

void expect_rules(const sample& one)
{
    const auto found = check(history_of(one.m_violating));
    ASSERT_EQ(found.size(), 1U) << one.m_name;
    EXPECT_EQ(to_string(found[0].m_rule), to_string(one.m_rule)) << one.m_name;
    EXPECT_FALSE(found[0].m_message.empty());
    EXPECT_FALSE(found[0].m_lines.empty());
    for (const auto& extra : check(history_of(one.m_conforming)))
        ADD_FAILURE() << one.m_name << ": " << extra.m_message;
}

// Guards against two owners that the audit does not detect, and against violations reported for a
// correct change of owner.
TEST(check, ownership_rules)
{
    for (const auto& one : ownership_samples())
        expect_rules(one);
}

// Guards against wrong responses and repeated executions that the audit does not detect.
TEST(check, request_rules)
{
    for (const auto& one : request_samples())
        expect_rules(one);
}

// Guards against work in a removed zone and reverted configurations that the audit does not detect.
TEST(check, operator_rules)
{
    for (const auto& one : operator_samples())
        expect_rules(one);
}

// Guards against a rule without a sample above.
TEST(check, every_rule_has_a_sample)
{
    std::set<rule> covered;
    for (const auto& samples : {ownership_samples(), request_samples(), operator_samples()}) {
        for (const auto& one : samples)
            covered.insert(one.m_rule);
    }
    EXPECT_EQ(covered.size(), std::size(rule_names));
}

// Guards against reports that grow with the log when one violation repeats.
TEST(check, limits_violations_per_rule)
{
    lines repeated;
    for (int i = 0; i < 50; ++i)
        repeated.push_back(started(i, "s1", "r", post));
    check_options options;
    options.m_max_per_rule = 3;
    EXPECT_EQ(check(history_of(repeated), options).size(), 3U);
}

} // namespace
} // namespace azureladder::audit
