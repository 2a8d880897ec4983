#include <azureladder/core/configuration.hpp>

#include "change.hpp"

#include <azureladder/core/node_state.hpp>
#include <azureladder/core/ownership.hpp>

namespace azureladder::core {

namespace {

void start_read(node_state& state, time_point now, effects& output)
{
    auto& configuration = state.m_configuration;
    configuration.m_read_operation = next_operation(state);
    configuration.m_next_poll = now + state.m_options.m_store_poll_interval;
    output.emplace_back(store_read{configuration.m_read_operation, configuration_key,
                                   configuration.m_known_version});
}

void handle_tick(node_state& state, time_point now, effects& output)
{
    auto& configuration = state.m_configuration;
    configuration.m_pull_sent = false;
    if (configuration.m_read_operation != 0 || now < configuration.m_next_poll ||
        !is_plan_written(state))
        return;
    if (!configuration.m_read_after_join || state.m_ownership.m_polls_store)
        start_read(state, now, output);
}

void handle_read(node_state& state, time_point now, const store_finished& input, effects& output)
{
    auto& configuration = state.m_configuration;
    configuration.m_read_operation = 0;
    if (input.m_status == store_status::ok) {
        if (!install_document_text(state, now, input.m_value, output))
            return;
        configuration.m_known_version = input.m_version;
    } else if (input.m_status != store_status::not_found &&
               input.m_status != store_status::unchanged) {
        return;
    }
    // A read that started before this incarnation's plan was written may miss an accepted change.
    if (configuration.m_read_after_join || !is_plan_written(state))
        return;
    configuration.m_read_after_join = true;
    // Logs the revision for the new incarnation even if a former incarnation installed it.
    json fields = {{"revision", configuration.m_document.m_revision}};
    output.emplace_back(write_log{log_level::info, "revision_installed", std::move(fields)});
}

void handle_message(node_state& state, time_point now, const message_received& input,
                    effects& output)
{
    auto& configuration = state.m_configuration;
    const auto known = configuration.m_document.m_revision;
    const auto reply = [&](message answer) {
        output.emplace_back(send_message{input.m_from, input.m_reply_to, std::move(answer)});
    };
    if (const auto* pull = std::get_if<config_pull>(&input.m_message)) {
        if (known > pull->m_known_revision)
            reply(config_push{known, configuration.m_text});
    } else if (const auto* push = std::get_if<config_push>(&input.m_message)) {
        if (push->m_revision > known && install_document_text(state, now, push->m_document, output))
            reply(revision_ack{configuration.m_document.m_revision});
    } else if (const auto* probe = std::get_if<revision_probe>(&input.m_message)) {
        if (known >= probe->m_revision)
            reply(revision_ack{known});
        else
            pull_newer_revision(state, input.m_from, input.m_reply_to, probe->m_revision, output);
    } else if (const auto* ack = std::get_if<revision_ack>(&input.m_message)) {
        record_acknowledgement(state, now, input.m_from, ack->m_revision);
    }
}

} // namespace

bool install_document_text(node_state& state, time_point now, const std::string& text,
                           effects& output)
{
    auto& configuration = state.m_configuration;
    auto parsed = records::parse_document(text);
    if (!parsed) {
        json fields = {{"path", parsed.error().m_path}, {"reason", parsed.error().m_message}};
        output.emplace_back(
            write_log{log_level::error, "configuration_unreadable", std::move(fields)});
        return false;
    }
    const auto revision = parsed.value().m_revision;
    if (revision > configuration.m_document.m_revision) {
        configuration.m_document = std::move(parsed.value());
        configuration.m_text = text;
        output.emplace_back(
            write_log{log_level::info, "revision_installed", {{"revision", revision}}});
        record_acknowledgement(state, now, self(state), revision);
    }
    return true;
}

void pull_newer_revision(node_state& state, const member_id& source, const endpoint& address,
                         revision_number revision, effects& output)
{
    auto& configuration = state.m_configuration;
    const auto known = configuration.m_document.m_revision;
    if (revision <= known || configuration.m_pull_sent)
        return;
    configuration.m_pull_sent = true;
    output.emplace_back(send_message{source, address, config_pull{known}});
}

void step_configuration(node_state& state, time_point now, const event& input, effects& output)
{
    if (std::holds_alternative<timer_tick>(input)) {
        handle_tick(state, now, output);
        advance_changes(state, now, output);
    } else if (const auto* received = std::get_if<message_received>(&input)) {
        handle_message(state, now, *received, output);
    } else if (const auto* finished = std::get_if<store_finished>(&input)) {
        const auto read = state.m_configuration.m_read_operation;
        if (read != 0 && finished->m_operation == read)
            handle_read(state, now, *finished, output);
        else
            handle_change_store_answer(state, now, *finished, output);
    } else if (const auto* change = std::get_if<change_requested>(&input)) {
        start_change(state, now, *change, output);
    }
}

} // namespace azureladder::core
