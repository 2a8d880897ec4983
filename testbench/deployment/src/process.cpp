#include <azureladder/deployment/process.hpp>

#include <azureladder/base/precondition.hpp>

#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace azureladder::deployment {

process::process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& output_file)
{
    std::vector<char*> argument_pointers;
    argument_pointers.push_back(const_cast<char*>(program.c_str()));
    for (const auto& argument : arguments)
        argument_pointers.push_back(const_cast<char*>(argument.c_str()));
    argument_pointers.push_back(nullptr);

    constexpr int file_mode = 0644;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, file_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error =
        posix_spawn(&m_id, program.c_str(), &actions, nullptr, argument_pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    AZURELADDER_PRECONDITION(error == 0, program.c_str());
}

process::~process()
{
    if (!running())
        return;
    ::kill(m_id, SIGKILL);
    wait();
}

void process::send_signal(int number)
{
    if (!running())
        return;
    ::kill(m_id, number);
    if (number != SIGSTOP)
        return;
    // Threads stop one after the other; on a busy machine some run for a while after the signal.
    siginfo_t ignored;
    while (waitid(P_PID, static_cast<id_t>(m_id), &ignored, WSTOPPED | WEXITED | WNOWAIT) != 0 &&
           errno == EINTR) {
    }
}

bool process::running()
{
    if (m_has_exited)
        return false;
    int status = 0;
    if (waitpid(m_id, &status, WNOHANG) == m_id)
        record_exit(status);
    return !m_has_exited;
}

int process::wait()
{
    int status = 0;
    while (!m_has_exited) {
        if (waitpid(m_id, &status, 0) == m_id)
            record_exit(status);
        else if (errno != EINTR)
            m_has_exited = true;
    }
    return m_exit_code;
}

void process::record_exit(int status)
{
    constexpr int signal_offset = 128;
    m_has_exited = true;
    m_exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : signal_offset + WTERMSIG(status);
}

} // namespace azureladder::deployment
