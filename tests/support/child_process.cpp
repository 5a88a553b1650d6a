// A child process started by a test.
#include "support/child_process.hpp"

#include "support/eventually.hpp"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>

namespace marigoldcrank::tests
{

child_process::child_process(std::vector<std::string> const& command,
                             std::string const&              output)
{
    std::vector<char*> arguments;
    for (auto const& word : command)
    {
        arguments.push_back(const_cast<char*>(word.c_str()));
    }
    arguments.push_back(nullptr);
    pid_ = fork();
    if (pid_ == 0)
    {
        if (std::getenv("MARIGOLDCRANK_TEST_OUTPUT") == nullptr)
        {
            constexpr int mode = 0600;
            auto const*   path = output.empty() ? "/dev/null" : output.c_str();
            int const     sink = open(path, O_WRONLY | O_CREAT | O_APPEND, mode);
            dup2(sink, STDOUT_FILENO);
            dup2(sink, STDERR_FILENO);
        }
        execv(arguments[0], arguments.data());
        _exit(127);
    }
}

child_process::~child_process()
{
    if (running())
    {
        signal(SIGKILL);
        wait(5000);
    }
}

pid_t child_process::pid() const noexcept
{
    return pid_;
}

void child_process::signal(int number) const
{
    // Once the process was reaped, its pid may belong to another one.
    if (status_ < 0)
    {
        ::kill(pid_, number);
    }
}

bool child_process::running()
{
    return wait(0) == -1;
}

int child_process::wait(int timeout_ms)
{
    if (status_ >= 0)
    {
        return status_;
    }
    auto const ended = [&]
    {
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) != pid_)
        {
            return false;
        }
        status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        return true;
    };
    return eventually(ended, timeout_ms) ? status_ : -1;
}

} // namespace marigoldcrank::tests
