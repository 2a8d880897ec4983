// Checks that the entries of mutations.json still apply. scripts/check-mutations runs them, but
// takes too long to run for each change.

#include <azureladder/base/json.hpp>

#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace azureladder {
namespace {

const std::filesystem::path source_root = AZURELADDER_SOURCES;

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

json read_entries()
{
    return json::parse(read_file(source_root / "tests/mutations/mutations.json"));
}

int count_occurrences(const std::string& content, const std::string& text)
{
    int count = 0;
    // Counts occurrences without overlap, as str.count in scripts/check-mutations does.
    for (auto at = content.find(text); at != std::string::npos;
         at = content.find(text, at + text.size()))
        ++count;
    return count;
}

/// Number of tests of a test program that match a pattern of GoogleTest.
int count_tests(const std::string& program, const std::string& pattern)
{
    // The programs are in the directory of this program, in any build directory.
    const auto directory = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    // GTEST_OUTPUT of scripts/run-ctest would put the list among the results of the tests.
    const auto command = "GTEST_OUTPUT= '" + (directory / program).string() +
                         "' --gtest_list_tests '--gtest_filter=" + pattern + "'";
    const std::unique_ptr<FILE, int (*)(FILE*)> output(popen(command.c_str(), "r"), pclose);
    char line[1024];
    int count = 0;
    // Suites start in the first column, their tests are indented.
    while (output && std::fgets(line, sizeof line, output.get()) != nullptr)
        count += line[0] == ' ';
    return count;
}

/// The patterns of a filter, each of which must select a test.
std::vector<std::string> patterns_of(const json& entry)
{
    std::istringstream filter(entry["filter"].get<std::string>());
    std::vector<std::string> patterns;
    for (std::string pattern; std::getline(filter, pattern, ':');)
        patterns.push_back(pattern);
    return patterns;
}

// Guards against entries whose text no longer exists after sources were moved or split.
TEST(mutation_entries, text_occurs_exactly_once_in_its_file)
{
    const auto entries = read_entries();
    ASSERT_FALSE(entries.empty());
    for (const auto& entry : entries) {
        const auto content = read_file(source_root / entry["file"].get<std::string>());
        const auto text = entry["find"].get<std::string>();
        ASSERT_FALSE(text.empty()) << entry["name"];
        EXPECT_EQ(count_occurrences(content, text), 1) << entry["name"] << " in " << entry["file"];
    }
}

// Guards against entries whose tests were renamed, removed or moved to another program.
TEST(mutation_entries, each_named_test_exists)
{
    for (const auto& entry : read_entries()) {
        const auto patterns = patterns_of(entry);
        EXPECT_FALSE(patterns.empty()) << entry["name"];
        for (const auto& pattern : patterns)
            EXPECT_GT(count_tests(entry["program"], pattern), 0)
                << entry["name"] << ": no test " << pattern << " in " << entry["program"];
    }
}

} // namespace
} // namespace azureladder
