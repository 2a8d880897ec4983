#include "latency_histogram.hpp"
#include "schedule.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace azureladder::load {
namespace {

load_settings settings_of(const std::string& text)
{
    const auto settings = parse_settings(json::parse(text));
    EXPECT_TRUE(settings) << to_string(settings.error());
    return settings.value();
}

std::vector<planned_call> all_calls(const load_settings& settings)
{
    schedule calls(settings);
    std::vector<planned_call> planned;
    while (auto call = calls.next())
        planned.push_back(*call);
    return planned;
}

// Guards against runs that cannot be repeated from their seed.
TEST(schedule, is_determined_by_the_seed)
{
    auto settings = settings_of(R"({"seed":7,"duration_s":5,"targets":["127.0.0.1:1"],
        "services":[{"name":"a","rate":100},{"name":"b","rate":50}]})");
    const auto first = all_calls(settings);
    const auto second = all_calls(settings);
    ASSERT_EQ(first.size(), second.size());
    for (std::size_t i = 0; i < first.size(); ++i) {
        EXPECT_EQ(first[i].m_arrival, second[i].m_arrival);
        EXPECT_EQ(first[i].m_key, second[i].m_key);
    }
    // 750 arrivals expected; four standard deviations are 110.
    EXPECT_NEAR(double(first.size()), 750, 110);
    EXPECT_TRUE(std::is_sorted(first.begin(), first.end(), [](const auto& a, const auto& b) {
        return a.m_arrival < b.m_arrival;
    }));
}

TEST(schedule, fixed_arrivals_and_bounds)
{
    const auto fixed = all_calls(
        settings_of(R"({"arrivals":"fixed","duration_s":1,"services":[{"name":"a","rate":10}]})"));
    ASSERT_EQ(fixed.size(), 9U);
    EXPECT_EQ(fixed[1].m_arrival - fixed[0].m_arrival, milliseconds(100));
    const auto bounded = all_calls(
        settings_of(R"({"max_requests":5,"duration_s":100,"services":[{"name":"a","rate":100}]})"));
    EXPECT_EQ(bounded.size(), 5U);
}

// Guards against a hot set that never moves, which would hide the cost of moving slices.
TEST(key_chooser, hot_set_moves)
{
    key_settings settings;
    settings.m_distribution = key_distribution::hot;
    settings.m_count = 1000;
    settings.m_hot_count = 2;
    settings.m_hot_share = 1;
    settings.m_hot_move = seconds(10);
    const key_chooser keys(settings);
    random_source random(1);
    std::set<std::string> first;
    std::set<std::string> second;
    for (int i = 0; i < 100; ++i) {
        first.insert(keys.choose(random, seconds(9)));
        second.insert(keys.choose(random, seconds(10)));
    }
    EXPECT_EQ(first, (std::set<std::string>{"k0", "k1"}));
    EXPECT_EQ(second, (std::set<std::string>{"k2", "k3"}));
}

TEST(key_chooser, zipf_prefers_low_ranks)
{
    key_settings settings;
    settings.m_distribution = key_distribution::zipf;
    settings.m_zipf_exponent = 1;
    settings.m_count = 100;
    const key_chooser keys(settings);
    random_source random(1);
    std::map<std::string, int> counts;
    for (int i = 0; i < 10'000; ++i)
        ++counts[keys.choose(random, duration(0))];
    // The harmonic number of 100 is 5.19, so rank 1 gets 1,928 and rank 2 gets 964 on average.
    EXPECT_NEAR(counts["k0"], 1928, 160);
    EXPECT_NEAR(counts["k1"], 964, 120);
}

// Guards against percentiles that are off by more than the stated bucket width.
TEST(latency_histogram, percentiles_are_within_a_bucket)
{
    latency_histogram histogram;
    for (int us = 1; us <= 100'000; ++us)
        histogram.add(duration(us));
    for (const double share : {0.5, 0.9, 0.99, 0.999}) {
        const auto exact = share * 100'000;
        EXPECT_GE(double(histogram.percentile(share).count()), exact);
        EXPECT_LE(double(histogram.percentile(share).count()), exact * 33 / 32);
    }
    EXPECT_EQ(histogram.max(), duration(100'000));
    EXPECT_EQ(latency_histogram().percentile(0.99), duration(0));
}

// Guards against settings with a misspelt field that are silently ignored.
TEST(load_settings, names_the_wrong_field)
{
    const std::pair<const char*, const char*> wrong[] = {
        {R"({"services":[{"name":"a","rat":1}]})", "services[0].rat"},
        {R"({"services":[{"name":"a","rate":"1"}]})", "services[0].rate"},
        {R"({"services":[{"name":"a","keys":{"distribution":"x"}}]})",
         "services[0].keys.distribution"},
        {R"({"services":[{"name":"a","methods":[{"method":"TRACE"}]}]})",
         "services[0].methods[0].method"},
        {R"({"targets":["localhost:1"],"services":[{"name":"a"}]})", "targets[0]"},
        {R"({})", "services"},
    };
    for (const auto& [text, field] : wrong) {
        const auto settings = parse_settings(json::parse(text));
        ASSERT_FALSE(settings) << text;
        EXPECT_EQ(settings.error().m_field, field);
    }
}

} // namespace
} // namespace azureladder::load
