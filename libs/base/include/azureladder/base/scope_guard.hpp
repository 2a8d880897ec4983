#pragma once

#include <utility>

namespace azureladder {

/// Calls a function at the end of the scope unless dismissed.
template <class Function>
class scope_guard
{
public:
    explicit scope_guard(Function function) : m_function(std::move(function)) {}
    scope_guard(const scope_guard&) = delete;
    scope_guard& operator=(const scope_guard&) = delete;

    ~scope_guard()
    {
        if (m_active)
            m_function();
    }

    void dismiss() { m_active = false; }

private:
    Function m_function;
    bool m_active = true;
};

} // namespace azureladder
