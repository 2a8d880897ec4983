#include <azureladder/http/cancel_token.hpp>

#include <sys/eventfd.h>
#include <unistd.h>

namespace azureladder::http {

cancel_token::cancel_token() : m_descriptor(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}

cancel_token::~cancel_token()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

void cancel_token::cancel()
{
    m_cancelled.store(true);
    if (m_descriptor >= 0)
        ::eventfd_write(m_descriptor, 1);
}

} // namespace azureladder::http
