#pragma once

#include <azureladder/base/time.hpp>
#include <azureladder/key_ranges/range_table.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace azureladder::sidecar {

struct node_state;
struct step_context;

/// Starts the transfer of the keys from `from` to `to`, both included, which lie within `entry`.
void begin_transfer(step_context& context, const key_ranges::range_entry& entry, std::uint32_t from,
                    std::uint32_t to, const std::string& target, const char* reason);

/// Other members that may own ranges and their utilization, in ascending order of it.
std::vector<std::pair<std::string, double>> transfer_targets(const node_state& state,
                                                             time_point now);

/// Starts the transfers that bring the load of this node and of the other members closer to what
/// their backend servers can execute in time.
void balance(step_context& context, const key_ranges::range_table& table);

} // namespace azureladder::sidecar
