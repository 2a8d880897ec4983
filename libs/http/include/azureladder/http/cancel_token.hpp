#pragma once

#include <atomic>

namespace azureladder::http {

/// Cancels an exchange of `client` from another thread. Holds an eventfd that a blocking exchange
/// polls.
class cancel_token
{
public:
    cancel_token();
    ~cancel_token();
    cancel_token(const cancel_token&) = delete;
    cancel_token& operator=(const cancel_token&) = delete;

    /// Makes the exchange return as soon as possible. May be called more than once.
    void cancel();

    bool cancelled() const { return m_cancelled.load(); }

    /// Descriptor that becomes readable on `cancel()`, or -1 when creating the eventfd failed.
    int descriptor() const { return m_descriptor; }

private:
    std::atomic<bool> m_cancelled{false};
    int m_descriptor;
};

} // namespace azureladder::http
