#include "store_gateway.hpp"

#include <azureladder/platform/store.hpp>

#include <boost/asio/post.hpp>

namespace azureladder::node {

namespace {

/// Maximum number of concurrent store calls. With two, one slow call does not block all others, and
/// a node cannot overload the store.
constexpr std::size_t store_threads = 2;

core::store_status status_of(platform::store_error_kind kind)
{
    switch (kind) {
    case platform::store_error_kind::conflict:
        return core::store_status::conflict;
    case platform::store_error_kind::unknown:
        return core::store_status::unknown;
    default:
        return core::store_status::unavailable;
    }
}

} // namespace

store_gateway::store_gateway(platform::store& store, completion on_finished)
    : m_store(store), m_on_finished(std::move(on_finished)), m_threads(store_threads)
{
}

store_gateway::~store_gateway()
{
    stop();
}

void store_gateway::read(const core::store_read& effect)
{
    boost::asio::post(m_threads, [this, effect] {
        core::store_finished finished;
        finished.m_operation = effect.m_operation;
        auto outcome = m_store.read_if_changed(effect.m_key, effect.m_known_version);
        if (!outcome) {
            finished.m_status = core::store_status::unavailable;
        } else if (outcome.value().m_unchanged) {
            finished.m_status = core::store_status::unchanged;
        } else if (!outcome.value().m_value) {
            finished.m_status = core::store_status::not_found;
        } else {
            finished.m_status = core::store_status::ok;
            finished.m_value = std::move(outcome.value().m_value->m_value);
            finished.m_version = outcome.value().m_value->m_version;
        }
        m_on_finished(std::move(finished));
    });
}

void store_gateway::write(const core::store_write& effect)
{
    boost::asio::post(m_threads, [this, effect] {
        core::store_finished finished;
        finished.m_operation = effect.m_operation;
        const auto outcome = m_store.write(effect.m_key, effect.m_value, effect.m_expected_version);
        if (outcome) {
            finished.m_status = core::store_status::ok;
            finished.m_version = outcome.value();
        } else {
            finished.m_status = status_of(outcome.error().m_kind);
            finished.m_version = outcome.error().m_current_version;
        }
        m_on_finished(std::move(finished));
    });
}

void store_gateway::stop()
{
    m_threads.join();
}

} // namespace azureladder::node
