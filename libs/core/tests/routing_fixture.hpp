#pragma once

#include "fake_ownership.hpp"

#include <azureladder/core/claims.hpp>
#include <azureladder/core/node_state.hpp>
#include <azureladder/core/routing.hpp>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace azureladder::core::testing {

/// Node "a" in zone "z1" with a backend server of the spread service "shop". Service "reports" is
/// divided by key. Nodes "b" (z1) and "c" (z2) run "shop" too.
class routing_fixture : public ::testing::Test
{
protected:
    static constexpr std::uint32_t slots = 4;

    routing_fixture();

    /// Processes one event and stores its effects in `m_output`.
    void run(const event& input);

    /// Advances the clock tick by tick; stores the effects of all ticks in `m_output`.
    void advance(duration time);

    void announce(bool cold = false, const std::string& start_id = "s1",
                  const std::string& service = "shop");

    /// Raises the concurrency limit to its maximum.
    void warm_up();

    void add_node(const node_id& node, const std::string& zone, const std::string& service);
    void serve(const slice_id& slice, epoch_number epoch = 1);
    void set_owner(const slice_id& slice, const node_id& node, epoch_number epoch);
    slice_id slice_of(const std::string& key) const;

    request_info make_info(const std::string& service) const;
    request_token arrive(const request_info& info);

    attempt_finished make_finished(request_token token, attempt_number attempt,
                                   attempt_outcome outcome) const;
    void finish(request_token token, attempt_number attempt, attempt_outcome outcome);
    void finish_by_peer(request_token token, attempt_number attempt, error_code code,
                        executed state);
    void receive(const node_id& from, const message& value);

    template <class Effect>
    std::vector<Effect> all() const
    {
        std::vector<Effect> found;
        for (const auto& value : m_output) {
            if (const auto* wanted = std::get_if<Effect>(&value))
                found.push_back(*wanted);
        }
        return found;
    }

    /// Messages of one type in `m_output`.
    template <class Message>
    std::vector<Message> sent() const
    {
        std::vector<Message> found;
        for (const auto& value : all<send_message>()) {
            if (const auto* wanted = std::get_if<Message>(&value.m_message))
                found.push_back(*wanted);
        }
        return found;
    }

    bool find_open(request_token token) const
    {
        return m_state.m_routing.m_requests.count(token) > 0;
    }

    bool logged(const std::string& name) const;

    /// The only error answer in `m_output`.
    answer_with_error error() const;

    node_state m_state;
    time_point m_now{seconds(1000)};
    effects m_output;
    request_token m_last_token = 0;
};

} // namespace azureladder::core::testing
