// A child process started by a test.
//
// Index: child_process
#ifndef MARIGOLDCRANK_TESTS_SUPPORT_CHILD_PROCESS_HPP
#define MARIGOLDCRANK_TESTS_SUPPORT_CHILD_PROCESS_HPP

#include <string>
#include <sys/types.h>
#include <vector>

namespace marigoldcrank::tests
{

/// A running program; the destructor kills it.
class child_process
{
public:
    /// Appends stdout and stderr to the file `output`, or discards them if it is empty.
    explicit child_process(std::vector<std::string> const& command,
                           std::string const&              output = "");
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    pid_t pid() const noexcept;
    void  signal(int number) const;
    bool  running();

    /// Waits for the end and returns the exit code, or 128 + signal number if a signal
    /// ended the process; -1 if it still runs after the timeout.
    int wait(int timeout_ms);

private:
    pid_t pid_ = -1;
    int   status_ = -1;
};

} // namespace marigoldcrank::tests

#endif
