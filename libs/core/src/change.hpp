#pragma once

#include <azureladder/base/ids.hpp>
#include <azureladder/base/time.hpp>
#include <azureladder/core/effects.hpp>
#include <azureladder/core/events.hpp>

#include <string>

/// Configuration changes that operators submitted to this node: write, propagation, acceptance.
namespace azureladder::core {

struct node_state;

inline constexpr const char* configuration_key = "config";

/// Installs a document if its revision is newer. Returns whether the text could be parsed.
bool install_document_text(node_state& state, time_point now, const std::string& text,
                           effects& output);

void start_change(node_state& state, time_point now, const change_requested& input,
                  effects& output);

/// Sends revision probes and decides which changes are accepted.
void advance_changes(node_state& state, time_point now, effects& output);

void handle_change_store_answer(node_state& state, time_point now, const store_finished& input,
                                effects& output);

void record_acknowledgement(node_state& state, time_point now, const member_id& member,
                            revision_number revision);

} // namespace azureladder::core
