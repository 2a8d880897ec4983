#include "transport_impl.hpp"

#include <azureladder/base/precondition.hpp>

#include <boost/asio/post.hpp>

namespace azureladder::peer {

namespace {

constexpr auto tick_interval = milliseconds(100);

/// The process was paused when two ticks are further apart than this.
constexpr auto pause_threshold = milliseconds(500);

/// The kernel can choose a TCP port that is in use for UDP; another one is then tried.
constexpr int max_bind_attempts = 16;

} // namespace

transport::impl::impl(boost::asio::io_context& context, const clock& time,
                      const transport_options& options, transport_callbacks callbacks)
    : m_context(context), m_callbacks(std::move(callbacks)),
      m_shared(std::make_shared<link_context>(time, options)), m_timer(context)
{
}

result<void, transport_error> transport::impl::start()
{
    AZURELADDER_PRECONDITION(!m_running, "a transport is started once");
    const auto& options = m_shared->m_options;
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(options.m_listen.m_host, error);
    if (error)
        return transport_error{"the listen address is not an IP address"};
    std::string message;
    const int attempts = options.m_listen.m_port == 0 ? max_bind_attempts : 1;
    for (int i = 0; i < attempts && !m_running; ++i)
        m_running = bind_same_port(address, options.m_listen.m_port, message);
    if (!m_running)
        return transport_error{"cannot listen on " + to_string(options.m_listen) + ": " + message};
    m_advertised = options.m_advertised.m_host.empty() ? options.m_listen : options.m_advertised;
    if (m_advertised.m_port == 0)
        m_advertised.m_port = m_listener->port();
    websocketpp::lib::error_code ignored;
    m_shared->m_client.init_asio(&m_context, ignored);
    m_shared->m_report_failure = [self = weak_from_this()](frame_id id, bool nothing_was_sent) {
        if (const auto owner = self.lock())
            owner->frame_failed(id, nothing_was_sent);
    };
    m_listener->accept();
    m_last_tick = m_shared->m_clock.now();
    schedule_tick();
    return success();
}

bool transport::impl::bind_same_port(const boost::asio::ip::address& address, std::uint16_t port,
                                     std::string& message)
{
    m_listener = make_listener();
    auto error = m_listener->open({address, port});
    if (!error) {
        m_datagrams = make_datagram_socket();
        error = m_datagrams->open({address, m_listener->port()});
    }
    if (!error)
        return true;
    message = error.message();
    m_listener->close();
    return false;
}

std::shared_ptr<datagram_socket> transport::impl::make_datagram_socket()
{
    return std::make_shared<datagram_socket>(
        m_context, [self = weak_from_this()](const std::uint8_t* data, std::size_t size) {
            if (const auto owner = self.lock())
                owner->decode(data, size, wire::channel::datagram);
        });
}

std::shared_ptr<listener> transport::impl::make_listener()
{
    listener_handlers handlers;
    handlers.m_on_frame = [self = weak_from_this()](const std::string& payload) {
        const auto* data = reinterpret_cast<const std::uint8_t*>(payload.data());
        if (const auto owner = self.lock())
            owner->decode(data, payload.size(), wire::channel::link);
    };
    handlers.m_on_dropped = [self = weak_from_this()](const char* reason) {
        if (const auto owner = self.lock())
            owner->drop(wire::channel::link, reason);
    };
    return std::make_shared<listener>(m_context, m_shared->m_clock, m_shared->m_options,
                                      std::move(handlers));
}

void transport::impl::close(std::function<void()> done)
{
    AZURELADDER_PRECONDITION(m_running, "the transport must be running");
    m_on_closed = std::move(done);
    m_closing = true;
    for (const auto& [key, link] : m_links)
        link->close();
}

/// Calls `m_on_closed` when all links are closed; called on each tick.
void transport::impl::finish_closing()
{
    if (!m_on_closed)
        return;
    for (const auto& [key, link] : m_links) {
        if (!link->is_closed())
            return;
    }
    std::exchange(m_on_closed, nullptr)();
}

void transport::impl::stop()
{
    if (!std::exchange(m_running, false))
        return;
    m_timer.cancel();
    m_datagrams->close();
    m_listener->close();
    for (const auto& [key, link] : std::exchange(m_links, {}))
        link->abort();
    m_tracked.clear();
    m_failures.clear();
    m_on_closed = nullptr;
}

endpoint transport::impl::advertised() const
{
    return m_advertised;
}

void transport::impl::send_datagram(const endpoint& to, const std::vector<std::uint8_t>& bytes)
{
    AZURELADDER_PRECONDITION(m_running, "the transport must be running");
    if (bytes.size() > wire::max_datagram_bytes)
        return drop(wire::channel::datagram, "datagram above the size limit");
    if (!m_datagrams->send(to, bytes))
        return;
    ++m_shared->m_counters.m_datagrams_sent;
    m_shared->m_counters.m_bytes_sent += bytes.size();
}

void transport::impl::receive_pending()
{
    AZURELADDER_PRECONDITION(m_running, "the transport must be running");
    m_datagrams->receive_pending();
}

frame_id transport::impl::send_frame(const endpoint& to, std::vector<std::uint8_t> bytes,
                                     bool track)
{
    AZURELADDER_PRECONDITION(m_running, "the transport must be running");
    auto& entry = m_links[{to.m_host, to.m_port}];
    if (!entry) {
        entry = std::make_shared<link>(m_shared, to);
        if (m_closing)
            entry->close();
    }
    const auto id = ++m_last_frame;
    if (track)
        m_tracked[id] = entry;
    entry->send({id, track, std::move(bytes)});
    return id;
}

void transport::impl::frame_done(frame_id id)
{
    const auto found = m_tracked.find(id);
    if (found == m_tracked.end())
        return;
    found->second->stop_tracking(id);
    m_tracked.erase(found);
}

void transport::impl::decode(const std::uint8_t* data, std::size_t size, wire::channel received_on)
{
    auto& counters = m_shared->m_counters;
    counters.m_bytes_received += size;
    if (received_on == wire::channel::datagram && size > wire::max_datagram_bytes)
        return drop(received_on, "datagram above the size limit");
    const auto message = wire::decode(data, size);
    if (!message) {
        const auto& error = message.error();
        return drop(received_on, std::string(to_string(error.m_kind)) + " " + error.m_field);
    }
    ++(received_on == wire::channel::datagram ? counters.m_datagrams_received
                                              : counters.m_frames_received);
    m_callbacks.m_on_envelope(message.value(), received_on);
}

void transport::impl::drop(wire::channel received_on, const std::string& reason)
{
    auto& counters = m_shared->m_counters;
    ++(received_on == wire::channel::datagram ? counters.m_datagrams_dropped
                                              : counters.m_frames_dropped);
    if (m_callbacks.m_on_dropped)
        m_callbacks.m_on_dropped(received_on, reason);
}

void transport::impl::frame_failed(frame_id id, bool nothing_was_sent)
{
    m_failures.emplace_back(id, nothing_was_sent);
    if (m_failures.size() == 1)
        boost::asio::post(m_context, [self = shared_from_this()] { self->deliver_failures(); });
}

void transport::impl::deliver_failures()
{
    for (const auto& [id, nothing_was_sent] : std::exchange(m_failures, {})) {
        if (m_tracked.erase(id) > 0)
            m_callbacks.m_on_frame_failed(id, nothing_was_sent);
    }
}

void transport::impl::schedule_tick()
{
    m_timer.expires_after(tick_interval);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && self->m_running)
            self->tick();
    });
}

void transport::impl::tick()
{
    const auto now = m_shared->m_clock.now();
    const bool paused = now - m_last_tick > pause_threshold;
    m_last_tick = now;
    for (auto it = m_links.begin(); it != m_links.end();) {
        it->second->tick(now, paused);
        it = it->second->is_removable(now) ? m_links.erase(it) : std::next(it);
    }
    m_listener->tick(now);
    schedule_tick();
    finish_closing();
}

} // namespace azureladder::peer
