#pragma once

#include "change.hpp"

#include <azureladder/core/configuration_state.hpp>

#include <string>

/// Functions shared by the sources of configuration changes; docs/design.md, section 5.
namespace azureladder::core {

/// Time after which an undecided write is reported as unknown. The node continues to read the store
/// until the outcome is known.
inline constexpr duration undecided_write_timeout = seconds(10);

// change_write.cpp
void reject_change(pending_change& change, std::string reason, effects& output);
void start_change_read(node_state& state, pending_change& change, effects& output);
void handle_change_write(node_state& state, time_point now, pending_change& change,
                         const store_finished& input, effects& output);
void handle_change_read(node_state& state, time_point now, pending_change& change,
                        const store_finished& input, effects& output);

// change_propagation.cpp
void advance_propagation(node_state& state, time_point now, pending_change& change,
                         effects& output);
void handle_change_verification(node_state& state, time_point now, pending_change& change,
                                const store_finished& input, effects& output);

} // namespace azureladder::core
