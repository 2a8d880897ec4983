#pragma once

#include <cstdint>
#include <string_view>

namespace azureladder {

/// XXH64 of `data`. The result is part of the protocol: slices and rendezvous ranks use it.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// Slice of `key` among `slices` partitions.
std::uint32_t slice_of_key(std::string_view key, std::uint32_t slices);

} // namespace azureladder
