#include <azureladder/sidecar_runtime/json_line_log.hpp>

#include <azureladder/base/manual_clock.hpp>
#include <azureladder/base/scope_guard.hpp>

#include <gtest/gtest.h>

#include <unistd.h>

#include <chrono>

namespace azureladder::sidecar_runtime {

namespace {

std::string read_all(int descriptor)
{
    std::string text;
    char chunk[4096];
    ssize_t size = 0;
    while ((size = read(descriptor, chunk, sizeof chunk)) > 0)
        text.append(chunk, static_cast<std::size_t>(size));
    return text;
}

} // namespace

TEST(json_line_log, writes_json_lines)
{
    int ends[2];
    ASSERT_EQ(pipe(ends), 0);
    const scope_guard close_read([&] { close(ends[0]); });
    manual_clock time;
    json_line_log log(time, {"node-1", 7}, ends[1]);
    log.write(log_level::info, "started", {{"bytes", std::string("\xff", 1)}});
    close(ends[1]);
    const std::string text = read_all(ends[0]);
    const json line = json::parse(text);
    EXPECT_EQ(line["event"], "started");
    EXPECT_EQ(line["node"], "node-1");
    EXPECT_EQ(line["incarnation"], 7);
}

// Guards against an event loop that blocks on the reader of its log. Lines are dropped instead.
TEST(json_line_log, drops_lines_when_the_reader_stops)
{
    int ends[2];
    ASSERT_EQ(pipe(ends), 0);
    const scope_guard close_both([&] {
        close(ends[0]);
        close(ends[1]);
    });
    manual_clock time;
    json_line_log_options options{"node-1", 7};
    options.m_max_buffer_bytes = 10'000;
    options.m_max_burst_lines = 1e9;
    json_line_log log(time, options, ends[1]);
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 5000; ++i)
        log.write(log_level::info, "line", {{"text", std::string(100, 'x')}});
    EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(5));
    EXPECT_GT(log.dropped_lines(), 1000U);
}

// Guards against logging that uses too much CPU under load. Dropped lines are counted.
TEST(json_line_log, limits_the_line_rate_and_reports_dropped_lines)
{
    int ends[2];
    ASSERT_EQ(pipe(ends), 0);
    const scope_guard close_read([&] { close(ends[0]); });
    manual_clock time;
    json_line_log_options options{"node-1", 7};
    options.m_max_lines_per_s = 10.0;
    options.m_max_burst_lines = 20.0;
    json_line_log log(time, options, ends[1]);
    for (int i = 0; i < 100; ++i)
        log.write(log_level::info, "line", nullptr);
    EXPECT_EQ(log.dropped_lines(), 80U);
    time.advance(seconds(1));
    log.write(log_level::info, "line", nullptr);
    close(ends[1]);
    EXPECT_NE(read_all(ends[0]).find("\"log_lines_dropped\""), std::string::npos);
}

} // namespace azureladder::sidecar_runtime
