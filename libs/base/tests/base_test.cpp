#include <azureladder/base/endpoint.hpp>
#include <azureladder/base/executed.hpp>
#include <azureladder/base/hash.hpp>
#include <azureladder/base/scope_guard.hpp>

#include <gtest/gtest.h>

namespace azureladder {
namespace {

// Guards against accepting host names or partially parsed ports in settings.
TEST(endpoint, accepts_ip_addresses_only)
{
    EXPECT_EQ(parse_endpoint("127.0.0.1:80"), (endpoint{"127.0.0.1", 80}));
    EXPECT_EQ(parse_endpoint("[::1]:80"), (endpoint{"::1", 80}));
    EXPECT_EQ(to_string(endpoint{"::1", 80}), "[::1]:80");
    for (const auto* text : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:80x",
                             "127.0.0.1:70000", "::1:80", "[127.0.0.1]:80"})
        EXPECT_FALSE(parse_endpoint(text)) << text;
}

// Guards against a change of the hash, which would assign every key to another slice.
TEST(hash, is_stable)
{
    EXPECT_EQ(hash64(""), 0xEF46DB3751D8E999ULL);
    EXPECT_EQ(slice_of_key("", 10), 0xEF46DB3751D8E999ULL % 10);
}

TEST(enum_names, round_trip)
{
    for (const auto& row : executed_names)
        EXPECT_EQ(find_enum_value(executed_names, to_string(row.m_value)), row.m_value);
    EXPECT_FALSE(find_enum_value(executed_names, "maybe"));
}

// Guards against a scope guard that calls its function after it was dismissed.
TEST(scope_guard, runs_once_unless_dismissed)
{
    int runs = 0;
    {
        scope_guard guard([&] { ++runs; });
    }
    {
        scope_guard guard([&] { ++runs; });
        guard.dismiss();
    }
    EXPECT_EQ(runs, 1);
}

} // namespace
} // namespace azureladder
