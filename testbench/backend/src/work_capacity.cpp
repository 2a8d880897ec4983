#include <azureladder/backend_double/work_capacity.hpp>

#include <algorithm>

namespace azureladder::backend_double {

namespace {

// Service time multiplier of requests above the bound of a cold backend server.
constexpr double overload_slow_factor = 10.0;

// Duration of a cold start when the control call gives none.
constexpr milliseconds default_cold{10'000};

constexpr const char* bool_fields[] = {"drain", "shed", "cold"};
constexpr const char* count_fields[] = {"cold_ms", "service_time_ms", "slots", "cold_slots"};

template <std::size_t Size>
bool is_one_of(const char* const (&names)[Size], const std::string& name)
{
    return std::find(std::begin(names), std::end(names), name) != std::end(names);
}

bool is_valid_field(const std::string& name, const json& value)
{
    if (is_one_of(bool_fields, name))
        return value.is_boolean();
    if (is_one_of(count_fields, name))
        return value.is_number_unsigned();
    if (name == "slow_factor")
        return value.is_number() && value.get<double>() > 0;
    return name == "report_load" && (value.is_number() || value.is_null());
}

bool is_valid(const json& settings)
{
    const auto items = settings.items();
    return settings.is_object() && std::all_of(items.begin(), items.end(), [](const auto& item) {
               return is_valid_field(item.key(), item.value());
           });
}

} // namespace

work_capacity::work_capacity(const clock& time, const backend_options& options)
    : m_clock(time), m_random(options.m_seed), m_slots(options.m_slots),
      m_cold_slots(options.m_cold_slots), m_cold(options.m_cold),
      m_service_time(options.m_service_time), m_service_jitter(options.m_service_jitter),
      m_report_load(options.m_report_load), m_cold_until(time.now() + options.m_cold)
{
}

admission work_capacity::admit()
{
    const std::lock_guard lock(m_mutex);
    const bool cold = is_cold(m_clock.now());
    admission decision;
    decision.m_bound = cold ? std::min(m_cold_slots, m_slots) : m_slots;
    decision.m_in_flight = m_in_flight;
    if (m_draining)
        decision.m_refusal = "draining";
    else if (m_shedding)
        decision.m_refusal = "shed";
    else if (m_in_flight >= m_slots)
        decision.m_refusal = "no_free_slot";
    if (decision.m_refusal != nullptr)
        return decision;
    decision.m_in_flight = ++m_in_flight;
    decision.m_overload = decision.m_in_flight > decision.m_bound;
    decision.m_service_time = next_service_time(decision.m_overload);
    return decision;
}

void work_capacity::release()
{
    const std::lock_guard lock(m_mutex);
    --m_in_flight;
    if (m_in_flight == 0)
        m_idle.notify_all();
}

duration work_capacity::next_service_time(bool overload)
{
    std::uniform_real_distribution<double> spread(1.0 - m_service_jitter, 1.0 + m_service_jitter);
    const double factor = spread(m_random) * m_slow_factor * (overload ? overload_slow_factor : 1);
    return std::chrono::duration_cast<duration>(m_service_time * factor);
}

bool work_capacity::apply(const json& settings)
{
    if (!is_valid(settings))
        return false;
    const std::lock_guard lock(m_mutex);
    m_draining = settings.value("drain", m_draining);
    m_shedding = settings.value("shed", m_shedding);
    m_slots = settings.value("slots", m_slots);
    m_cold_slots = settings.value("cold_slots", m_cold_slots);
    m_slow_factor = settings.value("slow_factor", m_slow_factor);
    m_service_time = milliseconds(settings.value("service_time_ms", to_ms(m_service_time)));
    if (settings.contains("report_load")) {
        const auto& load = settings["report_load"];
        m_report_load = load.is_null() ? std::nullopt : std::optional(load.get<double>());
    }
    apply_cold(settings);
    return true;
}

void work_capacity::apply_cold(const json& settings)
{
    if (settings.contains("cold_ms"))
        m_cold = milliseconds(settings["cold_ms"].get<std::int64_t>());
    if (!settings.contains("cold") && !settings.contains("cold_ms"))
        return;
    const bool cold = settings.value("cold", true);
    const auto length = m_cold.count() > 0 ? m_cold : default_cold;
    m_cold_until = cold ? m_clock.now() + length : m_clock.now();
}

void work_capacity::drain()
{
    const std::lock_guard lock(m_mutex);
    m_draining = true;
}

void work_capacity::wait_until_idle()
{
    std::unique_lock lock(m_mutex);
    m_idle.wait(lock, [this] { return m_in_flight == 0; });
}

load_report work_capacity::report() const
{
    const std::lock_guard lock(m_mutex);
    const double measured = m_slots == 0 ? 1.0 : double(m_in_flight) / m_slots;
    return {m_report_load.value_or(measured), is_cold(m_clock.now()), m_draining};
}

} // namespace azureladder::backend_double
