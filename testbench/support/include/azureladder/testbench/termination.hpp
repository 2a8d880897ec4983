#pragma once

namespace azureladder::testbench {

/// Blocks SIGTERM and SIGINT in this thread and in all threads started later. Call it first.
void block_termination_signals();

/// Waits for SIGTERM or SIGINT.
void wait_for_termination();

} // namespace azureladder::testbench
