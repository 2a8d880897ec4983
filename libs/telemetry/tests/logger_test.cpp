#include <azureladder/base/manual_clock.hpp>
#include <azureladder/telemetry/logger.hpp>

#include <gtest/gtest.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <limits>
#include <thread>
#include <vector>

namespace azureladder::telemetry {
namespace {

/// Path of a file that does not exist; removed at the end of the test.
class log_file
{
public:
    log_file()
    {
        const auto* test = testing::UnitTest::GetInstance()->current_test_info();
        m_path = testing::TempDir() + test->name() + "." + std::to_string(getpid()) + ".log";
        std::remove(m_path.c_str());
    }

    ~log_file() { std::remove(m_path.c_str()); }

    const std::string& path() const { return m_path; }

    std::vector<std::string> lines() const
    {
        std::ifstream input(m_path);
        std::vector<std::string> result;
        for (std::string line; std::getline(input, line);)
            result.push_back(line);
        return result;
    }

private:
    std::string m_path;
};

logger_options to_file(const log_file& file, log_level minimum = log_level::info)
{
    return {file.path(), minimum, "node-1", 0xfedcba9876543210};
}

// Guards against lines that a JSON parser rejects or splits, and against easylogging++ replacing
// format specifiers within a message.
TEST(logger, escapes_invalid_characters)
{
    const log_file file;
    const manual_clock time;
    logger log(time, to_file(file));
    ASSERT_TRUE(log.is_open());
    log.write(log_level::info, "started", {{"text", "a\nb\x01\"\\ %msg %level"}});
    log.write(log_level::info, "started", {{"text", "broken \xff\xc3 utf8"}});
    const auto lines = file.lines();
    ASSERT_EQ(lines.size(), 2U);
    EXPECT_EQ(json::parse(lines[0])["text"], "a\nb\x01\"\\ %msg %level");
    EXPECT_EQ(json::parse(lines[1])["text"], "broken \xef\xbf\xbd\xef\xbf\xbd utf8");
}

// Guards against lines without the fields that the audit reads.
TEST(logger, writes_the_standard_fields)
{
    const log_file file;
    manual_clock time;
    logger log(time, to_file(file));
    log.write(log_level::warning, "lease_lost", {{"node", "node-2"}, {"epoch", 3}});
    log.set_incarnation(5);
    log.write(log_level::error, "node_started");
    const auto lines = file.lines();
    ASSERT_EQ(lines.size(), 2U);
    const json expected = {{"time_us", time.wall_time_us()},
                           {"mono_us", to_us(time.now())},
                           {"node", "node-1"},
                           {"incarnation", 0xfedcba9876543210},
                           {"level", "warning"},
                           {"event", "lease_lost"},
                           {"field_node", "node-2"},
                           {"epoch", 3}};
    EXPECT_EQ(json::parse(lines[0]), expected);
    EXPECT_EQ(json::parse(lines[1])["incarnation"], 5);
}

// Guards against directly written values that differ from the output of the JSON library.
TEST(logger, writes_each_type_of_value)
{
    const log_file file;
    const manual_clock time;
    logger log(time, to_file(file));
    const json fields = {{"yes", true},
                         {"none", nullptr},
                         {"real", 0.25},
                         {"low", std::numeric_limits<std::int64_t>::min()},
                         {"high", std::numeric_limits<std::uint64_t>::max()},
                         {"list", {1, "a\"b"}},
                         {"na\"me", "\x7f\xc3\xa9"},
                         {"empty", ""}};
    log.write(log_level::info, "values\n", fields);
    auto line = json::parse(file.lines().at(0));
    EXPECT_EQ(line["event"], "values\n");
    for (const auto* name : {"time_us", "mono_us", "node", "incarnation", "level", "event"})
        line.erase(name);
    EXPECT_EQ(line, fields);
}

// Guards against a level filter that is off by one.
TEST(logger, drops_lines_below_the_minimum_level)
{
    const log_file file;
    const manual_clock time;
    logger log(time, to_file(file, log_level::warning));
    for (const auto& row : log_level_names)
        log.write(row.m_value, row.m_name);
    const auto lines = file.lines();
    ASSERT_EQ(lines.size(), 2U);
    EXPECT_EQ(json::parse(lines[0])["event"], "warning");
    EXPECT_EQ(json::parse(lines[1])["event"], "error");
}

// Guards against interleaved lines of several threads.
TEST(logger, does_not_interleave_lines_of_threads)
{
    constexpr int threads = 4;
    constexpr int lines_of_each = 200;
    const log_file file;
    const manual_clock time;
    logger log(time, to_file(file));
    std::vector<std::thread> writers;
    writers.reserve(threads);
    for (int i = 0; i < threads; ++i) {
        writers.emplace_back([&log, i] {
            for (int k = 0; k < lines_of_each; ++k)
                log.write(log_level::info, "line", {{"text", std::string(500, char('a' + i))}});
        });
    }
    for (auto& writer : writers)
        writer.join();
    const auto lines = file.lines();
    ASSERT_EQ(lines.size(), std::size_t(threads * lines_of_each));
    for (const auto& line : lines)
        EXPECT_EQ(json::parse(line)["text"].get<std::string>().size(), 500U);
}

// Guards against a log path that cannot be opened and is not reported.
TEST(logger, reports_a_file_that_cannot_be_opened)
{
    const manual_clock time;
    logger log(time, {"/nonexistent/directory/file.log", log_level::info, "node-1", 1});
    EXPECT_FALSE(log.is_open());
    log.write(log_level::error, "ignored");
}

} // namespace
} // namespace azureladder::telemetry
