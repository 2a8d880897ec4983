#pragma once

#include <cstdint>
#include <cstdlib>
#include <numeric>
#include <string>
#include <vector>

namespace azureladder::sidecar {

/// Seeds 1 to 20 and those that failed in earlier revisions. With the environment variable
/// SIDECAR_TEST_SEEDS, that number of seeds instead. SIDECAR_TEST_FIRST_SEED replaces the first
/// seed.
inline std::vector<std::uint64_t> fault_seeds(const std::vector<std::uint64_t>& failed)
{
    const char* count = std::getenv("SIDECAR_TEST_SEEDS");
    const char* first = std::getenv("SIDECAR_TEST_FIRST_SEED");
    std::vector<std::uint64_t> seeds(count == nullptr ? 20 : std::stoul(count));
    std::iota(seeds.begin(), seeds.end(), first == nullptr ? 1 : std::stoull(first));
    if (count == nullptr)
        seeds.insert(seeds.end(), failed.begin(), failed.end());
    return seeds;
}

} // namespace azureladder::sidecar
