#include "schedule.hpp"

#include <azureladder/base/hash.hpp>

#include <algorithm>
#include <limits>

namespace azureladder::load {

namespace {

constexpr double us_per_s = 1e6;

} // namespace

schedule::schedule(const load_settings& settings) : m_settings(settings)
{
    for (std::size_t i = 0; i < settings.m_services.size(); ++i) {
        const auto& service = settings.m_services[i];
        const auto seed = hash64(service.m_name, settings.m_seed);
        m_services.push_back({key_chooser(service.m_keys), random_source(seed), 0});
        advance(i);
    }
}

void schedule::advance(std::size_t service)
{
    auto& state = m_services[service];
    const auto rate = m_settings.m_services[service].m_rate;
    if (rate <= 0) {
        state.m_next_us = std::numeric_limits<double>::infinity();
        return;
    }
    const auto mean_us = us_per_s / rate;
    const bool is_fixed = m_settings.m_arrivals == arrival_process::fixed;
    state.m_next_us += is_fixed ? mean_us : state.m_random.exponential(mean_us);
}

planned_call schedule::plan(std::size_t service)
{
    const auto& settings = m_settings.m_services[service];
    auto& state = m_services[service];
    auto& random = state.m_random;
    planned_call call;
    call.m_arrival = duration(std::int64_t(state.m_next_us));
    call.m_service = service;
    call.m_key = state.m_keys.choose(random, call.m_arrival);
    call.m_method = random.weighted(settings.m_methods,
                                    [](const method_settings& option) { return option.m_weight; });
    const auto weight = [](const weighted_name& option) { return option.m_weight; };
    call.m_class = settings.m_classes[random.weighted(settings.m_classes, weight)].m_name;
    if (!settings.m_customers.empty())
        call.m_customer =
            settings.m_customers[random.weighted(settings.m_customers, weight)].m_name;
    if (!m_settings.m_targets.empty())
        call.m_target = random.below(std::uint32_t(m_settings.m_targets.size()));
    return call;
}

std::optional<planned_call> schedule::next()
{
    const auto earliest = std::min_element(
        m_services.begin(), m_services.end(),
        [](const service_state& a, const service_state& b) { return a.m_next_us < b.m_next_us; });
    if (m_planned >= m_settings.m_max_requests || earliest == m_services.end() ||
        earliest->m_next_us >= double(m_settings.m_duration.count()))
        return std::nullopt;
    const auto service = std::size_t(earliest - m_services.begin());
    auto call = plan(service);
    advance(service);
    ++m_planned;
    return call;
}

} // namespace azureladder::load
