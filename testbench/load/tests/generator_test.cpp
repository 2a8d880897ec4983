#include "generator.hpp"
#include "scripted_server.hpp"

#include <azureladder/base/steady_clock.hpp>

#include <gtest/gtest.h>

#include <cstdio>

namespace azureladder::load {
namespace {

/// Runs ten calls, one after the other on one connection, against a scripted server.
class generator_test : public testing::Test
{
protected:
    void use_method(const std::string& method)
    {
        m_document["services"][0]["methods"] = json::array({json::parse(method)});
    }

    json run(scripted_server::script script)
    {
        boost::asio::io_context context(1);
        scripted_server server(context, std::move(script));
        if (m_is_refusing)
            server.close();
        else
            m_document["targets"].push_back(server.address());
        const auto settings = parse_settings(m_document);
        EXPECT_TRUE(settings) << to_string(settings.error());
        const steady_clock time;
        call_log log(settings.value(), time, m_history);
        generator calls(context, settings.value(), time, log);
        calls.start([&] { context.stop(); });
        context.run();
        m_requests = server.m_requests;
        m_accepted = server.m_accepted;
        return calls.report();
    }

    static std::uint64_t count_of(const json& report, const std::string& outcome,
                                  const std::string& executed_name)
    {
        std::uint64_t count = 0;
        for (const auto& result : report.at("results")) {
            if (result.at("outcome") == outcome)
                count += result.at("executed").at(executed_name).get<std::uint64_t>();
        }
        return count;
    }

    json m_document = json::parse(R"({"max_requests":10,"connections":1,"repeat_delay_ms":1,
        "targets":[],"services":[{"name":"a","rate":1000,"body_bytes":0,"timeout_ms":5000}]})");
    std::string m_history;
    bool m_is_refusing = false;
    std::vector<std::string> m_requests;
    int m_accepted = 0;
};

// Guards against a history from which the audit cannot match answers to requests.
TEST_F(generator_test, records_answers_and_keeps_connections)
{
    m_history = testing::TempDir() + "load_history.jsonl";
    const auto report =
        run([](const auto& request) { return scripted_server::response{echo(request)}; });
    EXPECT_EQ(count_of(report, "ok", "yes"), 10U);
    EXPECT_EQ(m_accepted, 1);
    EXPECT_EQ(header(m_requests[0], "Azureladder-Class"), "standard");
    std::ifstream input(m_history);
    int finished = 0;
    for (std::string line; std::getline(input, line);) {
        const auto fields = json::parse(line);
        if (fields.at("event") != "call_finished")
            continue;
        ++finished;
        EXPECT_EQ(fields.at("echoed_request_id"), fields.at("request_id"));
        EXPECT_EQ(fields.at("server"), "s1");
        EXPECT_EQ(fields.at("whole"), true);
    }
    EXPECT_EQ(finished, 10);
    std::remove(m_history.c_str());
}

// Guards against a client that resends a POST automatically when a persistent connection is closed.
TEST_F(generator_test, never_resends_a_post)
{
    use_method(R"({"method":"POST"})");
    int count = 0;
    const auto report = run([&](const auto& request) {
        const bool answers = ++count % 2 == 1;
        return scripted_server::response{answers ? echo(request) : "", answers};
    });
    EXPECT_EQ(m_requests.size(), 10U);
    EXPECT_EQ(count_of(report, "ok", "yes"), 5U);
    EXPECT_EQ(count_of(report, "connection_lost", "unknown"), 5U);
}

// Guards against a repeat that the router cannot recognise.
TEST_F(generator_test, repeats_a_lost_post_with_its_key)
{
    m_document["max_requests"] = 1;
    use_method(R"({"method":"POST","idempotency_key":true,"repeats":3})");
    int count = 0;
    const auto report = run([&](const auto& request) {
        const bool answers = ++count == 3;
        return scripted_server::response{answers ? echo(request) : "", answers};
    });
    ASSERT_EQ(m_requests.size(), 3U);
    EXPECT_EQ(report.at("repeats"), 2);
    EXPECT_EQ(header(m_requests[0], "Idempotency-Key"), header(m_requests[2], "Idempotency-Key"));
    EXPECT_NE(header(m_requests[0], "Request-Id"), header(m_requests[2], "Request-Id"));
}

// Guards against a shortened response that counts as a success.
TEST_F(generator_test, reports_truncated_responses)
{
    const auto report = run([](const auto& request) {
        const auto text = echo(request);
        return scripted_server::response{text.substr(0, text.size() - 1), false};
    });
    EXPECT_EQ(count_of(report, "truncated", "unknown"), 10U);
}

TEST_F(generator_test, names_errors_by_their_body)
{
    const auto report = run([](const auto&) {
        const std::string body = R"({"error":"overloaded","executed":"no"})";
        return scripted_server::response{
            "HTTP/1.1 503 Unavailable\r\nAzureladder-Executed: no\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body};
    });
    EXPECT_EQ(count_of(report, "overloaded", "no"), 10U);
}

// Guards against calls that are reported as possibly executed although nothing was sent.
TEST_F(generator_test, reports_refused_connections_as_not_executed)
{
    m_is_refusing = true;
    // Port 1 is reserved and has no listener.
    m_document["targets"] = {"127.0.0.1:1"};
    EXPECT_EQ(count_of(run({}), "connect_failed", "no"), 10U);
    m_is_refusing = false;
    const auto report =
        run([](const auto& request) { return scripted_server::response{echo(request)}; });
    EXPECT_EQ(count_of(report, "ok", "yes"), 10U);
}

// Guards against a run that never ends because a node does not respond.
TEST_F(generator_test, gives_up_without_an_answer)
{
    m_document["services"][0]["timeout_ms"] = 1;
    m_document["max_waiting"] = 3;
    const auto report = run([](const auto&) { return scripted_server::response{""}; });
    // Three calls wait for the only connection, six are rejected because the queue is full. Waiting
    // calls may get the connection before their timeout.
    const auto timeouts = count_of(report, "timeout", "unknown");
    const auto not_sent = count_of(report, "not_sent", "no");
    EXPECT_GE(timeouts, 1U);
    EXPECT_GE(not_sent, 6U);
    EXPECT_EQ(timeouts + not_sent, 10U);
}

} // namespace
} // namespace azureladder::load
