#pragma once

namespace azureladder {

/// Prints `message` with its location and aborts. Use through `AZURELADDER_PRECONDITION`.
[[noreturn]] void precondition_failed(const char* message, const char* file, int line);

} // namespace azureladder

/// Checks a condition that the caller must have established.
#define AZURELADDER_PRECONDITION(condition, message)                                               \
    do {                                                                                           \
        if (!(condition))                                                                          \
            ::azureladder::precondition_failed(message, __FILE__, __LINE__);                       \
    } while (false)
