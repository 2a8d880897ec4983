#include <azureladder/telemetry/metrics.hpp>

#include <gtest/gtest.h>

#include <cmath>
#include <sstream>
#include <thread>

namespace azureladder::telemetry {
namespace {

constexpr const char* latency = "azureladder_request_duration_seconds";

/// Lines that start with `start`.
std::vector<std::string> lines_of(const std::string& text, const std::string& start)
{
    std::istringstream input(text);
    std::vector<std::string> result;
    for (std::string line; std::getline(input, line);) {
        if (line.compare(0, start.size(), start) == 0)
            result.push_back(line);
    }
    return result;
}

double value_of(const std::string& line)
{
    return std::stod(line.substr(line.rfind(' ') + 1));
}

double bound_of(const std::string& line)
{
    const auto start = line.find("le=\"") + 4;
    const auto text = line.substr(start, line.find('"', start) - start);
    return text == "+Inf" ? HUGE_VAL : std::stod(text);
}

// Guards against buckets that are not cumulative, and against a histogram that omits latencies
// outside of the bounds.
TEST(metrics, histogram_is_cumulative_and_complete)
{
    metrics values;
    const std::int64_t samples_us[] = {0, 1, 500, 1'000, 11'000, 60'000'000, 600'000'000};
    double sum = 0;
    for (const auto us : samples_us) {
        values.record_request("orders", "acme", request_class::batch, "ok", duration(us));
        sum += double(us) / 1e6;
    }
    const auto text = values.prometheus_text();
    const auto buckets = lines_of(text, latency + std::string("_bucket{"));
    ASSERT_GT(buckets.size(), 2U);
    for (std::size_t i = 1; i < buckets.size(); ++i) {
        EXPECT_LT(bound_of(buckets[i - 1]), bound_of(buckets[i]));
        EXPECT_LE(value_of(buckets[i - 1]), value_of(buckets[i]));
    }
    for (const auto& line : buckets) {
        double expected = 0;
        for (const auto us : samples_us)
            expected += double(us) / 1e6 <= bound_of(line) ? 1 : 0;
        EXPECT_EQ(value_of(line), expected) << line;
    }
    EXPECT_EQ(value_of(buckets.back()), 7);
    EXPECT_EQ(value_of(lines_of(text, latency + std::string("_count{")).at(0)), 7);
    EXPECT_DOUBLE_EQ(value_of(lines_of(text, latency + std::string("_sum{")).at(0)), sum);
}

// Guards against requests of different classes or outcomes that are counted together.
TEST(metrics, requests_are_counted_by_all_labels)
{
    metrics values;
    values.record_request("orders", "acme", request_class::batch, "ok", duration(1));
    values.record_request("orders", "acme", request_class::batch, "overloaded", duration(1));
    values.record_request("orders", "acme", request_class::interactive, "ok", duration(1));
    const auto lines = lines_of(values.prometheus_text(), "azureladder_requests_total");
    const std::vector<std::string> expected = {
        R"(azureladder_requests_total{service="orders",customer="acme",class="interactive",outcome="ok"} 1)",
        R"(azureladder_requests_total{service="orders",customer="acme",class="batch",outcome="ok"} 1)",
        R"(azureladder_requests_total{service="orders",customer="acme",class="batch",outcome="overloaded"} 1)",
    };
    EXPECT_EQ(lines, expected);
}

// Guards against label values of callers that add series or break the format.
TEST(metrics, labels_are_escaped)
{
    metrics values;
    values.set_gauge("in_flight", 2.5, {{"backend", "a\"b\\c\nd"}});
    EXPECT_EQ(values.prometheus_text(), "# TYPE azureladder_in_flight gauge\n"
                                        "azureladder_in_flight{backend=\"a\\\"b\\\\c\\nd\"} 2.5\n");
}

// Guards against unbounded memory when callers send arbitrary names.
TEST(metrics, customers_and_services_are_bounded)
{
    metrics values({2, 1});
    for (const auto* customer : {"a", "b", "c", "d", "b"})
        values.record_request("orders", customer, request_class::standard, "ok", duration(1));
    values.record_request("made-up", "a", request_class::standard, "unknown_service", duration(1));
    const auto lines = lines_of(values.prometheus_text(), "azureladder_requests_total");
    ASSERT_EQ(lines.size(), 4U);
    const auto expect_count = [&](const std::string& labels, double count) {
        const auto found =
            lines_of(values.prometheus_text(), "azureladder_requests_total{" + labels);
        ASSERT_EQ(found.size(), 1U) << labels;
        EXPECT_EQ(value_of(found[0]), count) << labels;
    };
    expect_count(R"(service="orders",customer="a")", 1);
    expect_count(R"(service="orders",customer="b")", 2);
    expect_count(R"(service="orders",customer="other")", 2);
    expect_count(R"(service="other",customer="a")", 1);
}

// Guards against lost updates when several threads write.
TEST(metrics, counters_are_thread_safe)
{
    metrics values;
    std::vector<std::thread> writers(4);
    for (auto& writer : writers) {
        writer = std::thread([&values] {
            for (int i = 0; i < 1'000; ++i) {
                values.add_counter("frames_dropped_total");
                values.record_request("orders", "acme", request_class::batch, "ok", duration(i));
            }
        });
    }
    for (auto& writer : writers)
        writer.join();
    values.set_counter("frames_sent_total", 7);
    const auto text = values.prometheus_text();
    EXPECT_EQ(value_of(lines_of(text, "azureladder_frames_dropped_total").at(0)), 4'000);
    EXPECT_EQ(value_of(lines_of(text, "azureladder_frames_sent_total").at(0)), 7);
    EXPECT_EQ(value_of(lines_of(text, latency + std::string("_count")).at(0)), 4'000);
}

} // namespace
} // namespace azureladder::telemetry
