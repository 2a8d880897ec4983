#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>

namespace azureladder::sidecar_runtime {

class byte_budget;

/// Bytes of a budget that one owner uses, until the reservation is destroyed. The budget must
/// outlive it.
class byte_reservation
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// `on_revoked` is called once at most, when the bytes are needed by others and this is the
    /// worst reservation. Its bytes count as released then, and the owner has to free them.
    byte_reservation(byte_budget& budget, std::function<void()> on_revoked);
    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;
    ~byte_reservation();

    std::size_t bytes() const { return m_bytes; }

    /// Changes the size. Returns false, with the size unchanged, if that exceeds the budget and no
    /// worse reservation can be revoked.
    bool resize(std::size_t bytes, time_point now = {});

    /// Since when the bytes are held because a client does not send or read; nothing if they wait
    /// for the node.
    std::optional<time_point> waiting_since() const { return m_waiting_since; }
    void set_waiting_since(std::optional<time_point> since) { m_waiting_since = since; }

    /// Bytes that the node itself works with can't be given up for others.
    bool is_revocable() const { return m_is_revocable && m_on_revoked; }
    void set_revocable(bool is_revocable) { m_is_revocable = is_revocable; }

private:
    friend class byte_budget;

    void revoke();

    byte_budget& m_budget;
    std::function<void()> m_on_revoked;
    std::size_t m_bytes = 0;
    std::optional<time_point> m_waiting_since;
    bool m_is_revocable = true;
};

} // namespace azureladder::sidecar_runtime
