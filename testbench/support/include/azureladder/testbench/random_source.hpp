#pragma once

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace azureladder::testbench {

/// Seeded random numbers that are equal on all platforms, unlike the standard distributions.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : m_engine(seed) {}

    /// Uniform in [0, 1).
    double uniform()
    {
        constexpr int unused_bits = 11;
        constexpr double step = 0x1.0p-53;
        return double(m_engine() >> unused_bits) * step;
    }

    std::uint32_t below(std::uint32_t limit) { return std::uint32_t(uniform() * limit); }

    /// Exponentially distributed with the given mean.
    double exponential(double mean) { return -mean * std::log1p(-uniform()); }

    /// Index chosen with the weights that `weight_of` returns.
    template <class Item, class WeightOf>
    std::size_t weighted(const std::vector<Item>& items, WeightOf weight_of)
    {
        double total = 0;
        for (const auto& item : items)
            total += weight_of(item);
        double rest = uniform() * total;
        for (std::size_t i = 0; i < items.size(); ++i) {
            rest -= weight_of(items[i]);
            if (rest < 0)
                return i;
        }
        return items.size() - 1;
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace azureladder::testbench
