#include <azureladder/backend_double/announcer.hpp>
#include <azureladder/backend_double/backend_service.hpp>
#include <azureladder/base/manual_clock.hpp>
#include <azureladder/base/steady_clock.hpp>
#include <azureladder/http/server.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

namespace azureladder::backend_double {
namespace {

backend_options quick(bool checks_fencing = false)
{
    backend_options options;
    options.m_server = "b1";
    options.m_slots = 2;
    options.m_service_time = milliseconds(0);
    options.m_checks_fencing = checks_fencing;
    return options;
}

/// Double with a manual clock: an execution ends only immediately, by cancellation, or by a lease
/// change.
class backend_double_test : public testing::Test
{
protected:
    http::response control(backend_service& target, const std::string& call, const json& body)
    {
        return target.handle({"POST", "/control/" + call, {}, body.dump(), {}});
    }

    static http::request work(const std::string& id, std::uint64_t epoch = 7)
    {
        return {"POST",
                "/orders",
                {{"Request-Id", id},
                 {"Azureladder-Key", "k1"},
                 {"Azureladder-Service", "s"},
                 {"Azureladder-Slice", "3"},
                 {"Azureladder-Epoch", std::to_string(epoch)},
                 {"Idempotency-Key", "i-" + id}},
                {},
                {}};
    }

    void expect_not_executed(const http::response& answer, int status)
    {
        EXPECT_EQ(answer.m_status, status);
        EXPECT_EQ(*http::find_header(answer.m_headers, "Azureladder-Executed"), "no");
    }

    /// Blocks until `count` executions are recorded as started.
    void wait_for_started(std::size_t count)
    {
        std::size_t started = 0;
        while (started < count) {
            std::this_thread::yield();
            started = 0;
            for (const auto& record : m_log.records())
                started += record["event"] == "execution_started" ? 1 : 0;
        }
    }

    manual_clock m_clock;
    testbench::json_lines m_file{""};
    execution_log m_log{m_file};
};

// Guards against a record or answer that cannot be matched with the request.
TEST_F(backend_double_test, execution_is_recorded_and_echoed)
{
    backend_service target(m_clock, quick(), m_log);
    auto message = work("r1");
    message.m_headers.push_back({"X-Reply-Bytes", "20"});
    const auto answer = target.handle(message);
    EXPECT_EQ(answer.m_status, 200);
    const auto body = json::parse(answer.m_body);
    EXPECT_EQ(body["server"], "b1");
    EXPECT_EQ(body["request_id"], "r1");
    EXPECT_EQ(body["key"], "k1");
    EXPECT_EQ(body["sequence"], 1);
    EXPECT_EQ(body["padding"].get<std::string>().size(), 20U);
    const auto records =
        json::parse(target.handle({"GET", "/control/executions", {}, {}, {}}).m_body);
    ASSERT_EQ(records.size(), 2U);
    EXPECT_EQ(records[0]["event"], "execution_started");
    EXPECT_EQ(records[0]["key_hash"], "dfa4515ddff407d3");
    EXPECT_EQ(records[0]["slice"], 3);
    EXPECT_EQ(records[0]["epoch"], 7);
    EXPECT_EQ(records[0]["idempotency_key"], "i-r1");
    EXPECT_EQ(records[1]["event"], "execution_finished");
    EXPECT_EQ(records[1]["execution"], records[0]["execution"]);
    EXPECT_EQ(records[1]["status"], 200);
}

// Guards against a double that executes without a lease or under an old epoch.
TEST_F(backend_double_test, fencing_is_checked)
{
    backend_service target(m_clock, quick(true), m_log);
    expect_not_executed(target.handle(work("r1")), 412);
    control(target, "lease", {{"incarnation", 9}, {"valid_ms", 100}});
    expect_not_executed(target.handle(work("r2")), 412);
    control(target, "grant", {{"service", "s"}, {"slice", 3}, {"epoch", 7}});
    EXPECT_EQ(target.handle(work("r3")).m_status, 200);
    expect_not_executed(target.handle(work("r4", 6)), 412);
    expect_not_executed(target.handle(work("r5", 8)), 412);
    const json older = {{"service", "s"}, {"slice", 3}, {"epoch", 6}};
    EXPECT_EQ(control(target, "grant", older).m_status, 412);
    control(target, "grant", {{"service", "s"}, {"slice", 3}, {"epoch", 7}, {"revoked", true}});
    expect_not_executed(target.handle(work("r6")), 412);
    control(target, "grant", {{"service", "s"}, {"slice", 3}, {"epoch", 8}});
    EXPECT_EQ(target.handle(work("r7", 8)).m_status, 200);
    m_clock.advance(milliseconds(100));
    expect_not_executed(target.handle(work("r8", 8)), 412);
}

// Guards against more executions than slots, and against cold overload that is not recorded.
// Guards against grants of one key group that replace those of another, and against a refused
// revocation, which the sidecar process would retry before it sends any later grant.
TEST_F(backend_double_test, spaces_and_revocations_of_grants)
{
    backend_service service(m_clock, quick(true), m_log);
    control(service, "lease", {{"incarnation", "1"}, {"valid_ms", 600}});
    const json own = {{"service", "s"}, {"space", "s"}, {"slice", 3}, {"epoch", 7}};
    const json group = {{"service", "s"}, {"space", "s/night"}, {"slice", 3}, {"epoch", 2}};
    EXPECT_EQ(control(service, "grant", own).m_status, 200);
    EXPECT_EQ(control(service, "grant", group).m_status, 200);
    EXPECT_EQ(service.handle(work("r1")).m_status, 200);
    auto grouped = work("r2", 2);
    grouped.m_headers.push_back({"Azureladder-Space", "s/night"});
    EXPECT_EQ(service.handle(grouped).m_status, 200);
    const json revoked = {{"service", "s"}, {"space", "s"}, {"slice", 3}, {"revoked", true}};
    EXPECT_EQ(control(service, "grant", revoked).m_status, 200);
    expect_not_executed(service.handle(work("r3")), 412);
    EXPECT_EQ(service.handle(grouped).m_status, 200);
}

TEST_F(backend_double_test, slots_cold_start_and_cancel)
{
    auto options = quick();
    options.m_service_time = seconds(1'000);
    options.m_cold = milliseconds(50);
    backend_service target(m_clock, options, m_log);
    std::vector<std::future<http::response>> running;
    for (std::size_t i = 1; i <= 2; ++i) {
        running.push_back(std::async(std::launch::async, [&target, i] {
            return target.handle(work("r" + std::to_string(i)));
        }));
        wait_for_started(i);
    }
    expect_not_executed(target.handle(work("r3")), 503);
    EXPECT_EQ(control(target, "cancel", {{"request_id", "r1"}}).m_status, 200);
    EXPECT_EQ(control(target, "cancel", {{"request_id", "r2"}}).m_status, 200);
    EXPECT_EQ(control(target, "cancel", {{"request_id", "r3"}}).m_status, 404);
    for (auto& answer : running)
        EXPECT_EQ(*http::find_header(answer.get().m_headers, "Azureladder-Executed"), "unknown");
    const auto records = m_log.records();
    EXPECT_EQ(records[0]["bound"], 1);
    EXPECT_EQ(records[0]["overload"], false);
    EXPECT_EQ(records[1]["in_flight"], 2);
    EXPECT_EQ(records[1]["overload"], true);
    EXPECT_EQ(records[2]["event"], "execution_refused");
}

// Guards against work that goes on after the lease of its owner has ended.
TEST_F(backend_double_test, end_of_the_lease_aborts_the_execution)
{
    auto options = quick(true);
    options.m_service_time = seconds(1'000);
    backend_service target(m_clock, options, m_log);
    control(target, "lease", {{"incarnation", 9}, {"valid_ms", 1'000'000}});
    control(target, "grant", {{"service", "s"}, {"slice", 3}, {"epoch", 7}});
    auto running = std::async(std::launch::async, [&] { return target.handle(work("r1")); });
    wait_for_started(1);
    control(target, "lease", {{"incarnation", 9}, {"valid_ms", 0}});
    const auto answer = running.get();
    EXPECT_EQ(answer.m_status, 500);
    EXPECT_EQ(json::parse(answer.m_body)["error"], "lease_expired");
    EXPECT_EQ(m_log.records()[1]["work_end_mono_us"], to_us(m_clock.now()));
}

// Guards against a planned stop that ends while a request is in execution.
TEST_F(backend_double_test, drained_double_is_idle_only_after_the_last_execution)
{
    work_capacity capacity(m_clock, quick());
    capacity.admit();
    capacity.drain();
    EXPECT_STREQ(capacity.admit().m_refusal, "draining");
    std::atomic<bool> idle{false};
    std::thread waiter([&] {
        capacity.wait_until_idle();
        idle = true;
    });
    EXPECT_FALSE(idle);
    capacity.release();
    waiter.join();
    EXPECT_TRUE(idle);
}

// Guards against an execution that ignores its deadline.
TEST_F(backend_double_test, deadline_ends_the_execution)
{
    auto options = quick();
    options.m_service_time = seconds(1'000);
    backend_service target(m_clock, options, m_log);
    auto message = work("r1");
    message.m_headers.push_back({"Request-Timeout-Ms", "0"});
    EXPECT_EQ(target.handle(message).m_status, 504);
}

// Guards against a control call that changes nothing or the wrong thing without an error.
TEST_F(backend_double_test, control_of_the_double)
{
    backend_service target(m_clock, quick(), m_log);
    EXPECT_EQ(control(target, "double", {{"drian", true}}).m_status, 400);
    EXPECT_EQ(control(target, "double", {{"shed", 1}}).m_status, 400);
    EXPECT_EQ(control(target, "double", {{"shed", true}}).m_status, 200);
    expect_not_executed(target.handle(work("r1")), 503);
    control(target, "double", {{"shed", false}, {"drain", true}});
    expect_not_executed(target.handle(work("r2")), 503);
    control(target, "double", {{"drain", false}, {"cold_ms", 50}});
    const auto cold_reply = target.handle(work("r3"));
    EXPECT_EQ(cold_reply.m_status, 200);
    EXPECT_NE(http::find_header(cold_reply.m_headers, "Azureladder-Backend-Cold"), nullptr);
    EXPECT_TRUE(target.capacity().report().m_cold);
    m_clock.advance(milliseconds(50));
    EXPECT_FALSE(target.capacity().report().m_cold);
}

// Guards against announcements that lack a field, report a false load although none is configured,
// or ignore the configured delay.
TEST_F(backend_double_test, announcement)
{
    json received;
    http::server sidecar({}, [&received](const http::request& message) {
        received = json::parse(message.m_body);
        return http::response{message.m_target == "/_azureladder/v1/announce" ? 200 : 404, {}, {}};
    });
    ASSERT_TRUE(sidecar.start());
    auto options = quick();
    options.m_report_lag = milliseconds(500);
    work_capacity capacity(m_clock, options);
    announcer target(m_clock, options, capacity, sidecar.bound_address(), {"127.0.0.1", 81});
    EXPECT_TRUE(target.announce());
    EXPECT_EQ(received["address"], "127.0.0.1:81");
    EXPECT_EQ(received["fencing"], "ignored");
    EXPECT_EQ(received["slots"], 2);
    for (const auto* field : {"server", "service", "zone", "start_id", "connections", "draining"})
        EXPECT_TRUE(received.contains(field)) << field;
    EXPECT_EQ(received["load"], 0.0);
    capacity.admit();
    EXPECT_TRUE(capacity.apply({{"cold_ms", 10'000U}, {"drain", true}}));
    EXPECT_EQ(target.body()["load"], 0.0);
    EXPECT_EQ(target.body()["cold"], false);
    EXPECT_EQ(target.body()["draining"], true);
    m_clock.advance(milliseconds(500));
    EXPECT_EQ(target.body()["load"], 0.5);
    EXPECT_EQ(target.body()["cold"], true);
}

} // namespace
} // namespace azureladder::backend_double
