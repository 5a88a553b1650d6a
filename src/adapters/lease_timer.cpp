// A kernel timer that disconnects a socket when a lease ends.
#include "adapters/lease_timer.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <mutex>

namespace marigoldcrank
{

namespace
{
constexpr int  no_socket = -1;
constexpr long nanos_per_second = 1'000'000'000;

thread_local constinit volatile std::sig_atomic_t guarded_socket = no_socket;

int lease_signal()
{
    return SIGRTMIN + 4;
}

/// Signal handler; connect() is async-signal-safe. AF_UNSPEC resets the connection and
/// discards what the kernel has not sent yet.
void disconnect(int, siginfo_t* info, void*)
{
    int const saved = errno;
    if (guarded_socket != no_socket && info->si_value.sival_int == guarded_socket)
    {
        sockaddr unspecified{};
        unspecified.sa_family = AF_UNSPEC;
        (void)::connect(guarded_socket, &unspecified, sizeof unspecified);
    }
    errno = saved;
}

void install_handler()
{
    static std::once_flag once;
    std::call_once(once,
                   []
                   {
                       struct sigaction action
                       {
                       };
                       action.sa_sigaction = &disconnect;
                       action.sa_flags = SA_SIGINFO;
                       sigemptyset(&action.sa_mask);
                       sigaction(lease_signal(), &action, nullptr);
                   });
}

/// The thread may have been started with signals blocked, and a blocked signal would stay
/// pending until after the send.
void unblock_signal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, lease_signal());
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

itimerspec timer_at(boot_clock::time_point end)
{
    auto const nanos = end.time_since_epoch().count();
    itimerspec value{};
    value.it_value.tv_sec = nanos / nanos_per_second;
    value.it_value.tv_nsec = nanos % nanos_per_second;
    return value;
}
} // namespace

lease_timer::lease_timer(int socket, boot_clock::time_point end)
{
    install_handler();
    unblock_signal();
    guarded_socket = socket;
    sigevent event{};
    event.sigev_notify = SIGEV_THREAD_ID;
    event.sigev_signo = lease_signal();
    event.sigev_value.sival_int = socket;
    event._sigev_un._tid = gettid(); // glibc 2.36 has no other name for it
    created_ = timer_create(CLOCK_BOOTTIME, &event, &timer_) == 0;
    auto const when = timer_at(end);
    armed_ = created_ && timer_settime(timer_, TIMER_ABSTIME, &when, nullptr) == 0;
}

lease_timer::~lease_timer()
{
    if (created_)
    {
        // A signal that is already pending is delivered before this call returns.
        timer_delete(timer_);
    }
    guarded_socket = no_socket;
}

bool lease_timer::armed() const noexcept
{
    return armed_;
}

} // namespace marigoldcrank
