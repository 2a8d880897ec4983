#pragma once

#include "step_context.hpp"

#include <string>

namespace azureladder::sidecar {

/// Advice of a refusal when no gate gave a better one.
inline constexpr duration default_retry_after = milliseconds(250);

// Ends of requests (ingress_answers.cpp).
json request_fields(const open_request& request);
open_request* find_request(step_context& context, std::uint64_t frame);

/// Whether only the owner of the request's key can execute it. Requests to services that are not
/// divided by key may state one too.
bool is_bound_to_owner(const node_state& state, const open_request& request);

/// Ends the present attempt of a request at its node.
void end_attempt(step_context& context, open_request& request);

/// Same, and tells the node that the answer is not wanted any more.
void cancel_attempt(step_context& context, open_request& request);

void log_end(step_context& context, const open_request& request, const char* outcome, int status);

// The functions below end the request: references to it are invalid afterwards.
void finish_with_answer(step_context& context, open_request& request, server_answer_ptr answer);

/// Answers in the node's own name, or passes the best answer of a server that failed.
void finish_with_status(step_context& context, open_request& request, int status,
                        const char* outcome, duration retry_after);

/// Ends a request that no gate takes. Only one that surely was not executed is called refused.
void finish_unserved(step_context& context, open_request& request);

// Choice of a node (ingress_dispatch.cpp). May end the request.

/// Lets a request wait for the owner of its key, or refuses it when it has waited long enough.
void wait_for_owner(step_context& context, open_request& request, const char* cause);

void note_owner(step_context& context, const std::string& service, const owner_hint& hint);
void dispatch(step_context& context, open_request& request);

} // namespace azureladder::sidecar
