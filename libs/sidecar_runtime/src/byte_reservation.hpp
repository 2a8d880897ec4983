#pragma once

#include <cstddef>
#include <functional>

namespace azureladder::sidecar_runtime {

class byte_budget;

/// Bytes of a budget that one owner uses, until the reservation is destroyed. The budget must
/// outlive it.
class byte_reservation
{
public:
    /// `on_revoked` is called once at most, when the bytes are needed by others and this is the
    /// largest reservation. Its bytes count as released then, and the owner has to free them.
    byte_reservation(byte_budget& budget, std::function<void()> on_revoked);
    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;
    ~byte_reservation();

    std::size_t bytes() const { return m_bytes; }

    /// Changes the size. Returns false, with the size unchanged, if that exceeds the budget and no
    /// larger reservation can be revoked.
    bool resize(std::size_t bytes);

private:
    friend class byte_budget;

    void revoke();

    byte_budget& m_budget;
    std::function<void()> m_on_revoked;
    std::size_t m_bytes = 0;
};

} // namespace azureladder::sidecar_runtime
