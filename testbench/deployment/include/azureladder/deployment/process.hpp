#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace azureladder::deployment {

/// A child process. The destructor kills it by its id if it still runs.
class process
{
public:
    /// Starts `program` with `arguments`; standard output and error go to `output_file`. Aborts
    /// when the program cannot be started.
    process(const std::string& program, const std::vector<std::string>& arguments,
            const std::string& output_file);

    /// Kills the process when it still runs.
    ~process();

    process(const process&) = delete;
    process& operator=(const process&) = delete;

    pid_t id() const { return m_id; }

    /// Sends a signal; does nothing after the process has exited. With SIGSTOP, returns only after
    /// all threads have stopped.
    void send_signal(int number);

    bool running();

    /// Waits for the end. Returns the exit code, or 128 plus the signal that ended the process.
    int wait();

private:
    void record_exit(int status);

    pid_t m_id = -1;
    bool m_has_exited = false;
    int m_exit_code = -1;
};

} // namespace azureladder::deployment
