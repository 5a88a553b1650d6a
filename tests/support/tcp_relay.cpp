// A TCP relay in the test process that injects faults.
//
// Index: 1 sockets, 2 controls, 3 the thread
#include "support/tcp_relay.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>
#include <vector>

namespace marigoldcrank::tests
{

namespace
{
constexpr int         poll_ms = 2;
constexpr int         backlog = 512;
constexpr int         buffer_bytes = 16 * 1024; // small, so that a stalled reader blocks
constexpr std::size_t max_head_bytes = 4096;
constexpr std::size_t max_halves = 100; // silent connections closed at one end

// 1. Sockets

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int open_socket()
{
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
    setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &buffer_bytes, sizeof buffer_bytes);
    return socket;
}
} // namespace

tcp_relay::tcp_relay(int port, int target_port) : port_(port), target_port_(target_port)
{
    listen_again();
    thread_ = std::thread([this] { run(); });
}

tcp_relay::~tcp_relay()
{
    stopping_ = true;
    thread_.join();
    cut(true);
    close_fillers();
    if (listener_ >= 0)
    {
        ::close(listener_);
    }
}

void tcp_relay::listen_again()
{
    listener_ = open_socket();
    auto const address = loopback(port_);
    if (::bind(listener_, reinterpret_cast<sockaddr const*>(&address), sizeof address) !=
            0 ||
        ::listen(listener_, backlog) != 0)
    {
        throw std::runtime_error("a test relay cannot listen on its port");
    }
}

void tcp_relay::close_fillers()
{
    for (int const each : fillers_)
    {
        ::close(each);
    }
    fillers_.clear();
}

// 2. Controls

std::size_t tcp_relay::silence_open()
{
    std::lock_guard const lock(mutex_);
    std::size_t           count = 0;
    for (auto& own : connections_)
    {
        count += own.silent ? 0 : 1;
        own.silent = true;
    }
    return count;
}

void tcp_relay::silence_senders(std::set<std::string> senders)
{
    std::lock_guard const lock(mutex_);
    silent_senders_ = std::move(senders);
}

void tcp_relay::silence_all(bool on)
{
    std::lock_guard const lock(mutex_);
    all_silent_ = on;
}

void tcp_relay::drop_to_target(bool on)
{
    std::lock_guard const lock(mutex_);
    all_one_way_ = on;
}

void tcp_relay::cut(bool on)
{
    std::lock_guard const lock(mutex_);
    cut_ = on;
    close_open();
}

void tcp_relay::close_open()
{
    for (auto& own : connections_)
    {
        reset(own.caller);
        reset(own.target);
    }
}

void tcp_relay::reset_open()
{
    std::lock_guard const lock(mutex_);
    close_open();
}

void tcp_relay::refuse_new(bool on)
{
    std::lock_guard const lock(mutex_);
    if (on && listener_ >= 0)
    {
        // The thread may wait for it, which would keep the port in use.
        ::shutdown(listener_, SHUT_RDWR);
        ::close(listener_);
        listener_ = -1;
    }
    if (!on && listener_ < 0)
    {
        listen_again();
    }
}

void tcp_relay::hang_new(bool on)
{
    std::lock_guard const lock(mutex_);
    hangs_new_ = on;
    // The kernel drops attempts to connect while the accept queue is full.
    constexpr int queue_length = 2; // with a backlog of 0, and one to spare
    ::listen(listener_, on ? 0 : backlog);
    close_fillers();
    for (int count = 0; on && count < queue_length; ++count)
    {
        fillers_.push_back(
            ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
        auto const address = loopback(port_);
        static_cast<void>(::connect(fillers_.back(),
                                    reinterpret_cast<sockaddr const*>(&address),
                                    sizeof address));
    }
}

void tcp_relay::delay(std::chrono::milliseconds value)
{
    std::lock_guard const lock(mutex_);
    delay_ = value;
}

void tcp_relay::limit_rate(std::size_t bytes_per_second)
{
    std::lock_guard const lock(mutex_);
    rate_ = bytes_per_second;
}

std::size_t tcp_relay::accepted() const
{
    std::lock_guard const lock(mutex_);
    return accepted_;
}

std::size_t tcp_relay::open() const
{
    std::lock_guard const lock(mutex_);
    return connections_.size();
}

// 3. The thread

void tcp_relay::run()
{
    while (!stopping_)
    {
        std::vector<pollfd> items;
        {
            std::lock_guard const lock(mutex_);
            items.push_back({hangs_new_ ? -1 : listener_, POLLIN, 0});
            connections_.remove_if(
                [](connection const& own)
                { return own.caller.socket < 0 && own.target.socket < 0; });
            drop_oldest_halves();
            for (auto& own : connections_)
            {
                short const wanted = own.silent ? POLLRDHUP : POLLIN;
                items.push_back({own.caller.socket, wanted, 0});
                items.push_back({own.target.socket, wanted, 0});
            }
        }
        ::poll(items.data(), items.size(), poll_ms);
        std::lock_guard const lock(mutex_);
        std::size_t           index = 1;
        for (auto& own : connections_)
        {
            own.one_way = own.one_way || all_one_way_;
            own.silent =
                own.silent || all_silent_ || silent_senders_.count(own.sender) != 0;
            serve(own, own.caller, own.target, items[index].revents);
            serve(own, own.target, own.caller, items[index + 1].revents);
            index += 2;
        }
        if ((items[0].revents & POLLIN) != 0 && listener_ >= 0 && !hangs_new_)
        {
            accept_one();
        }
    }
}

/// The HTTP library's clients in this process cannot use descriptors above 1,023, so the
/// oldest connections that one end has closed are dropped beyond a limit.
void tcp_relay::drop_oldest_halves()
{
    std::size_t halves = 0;
    for (auto own = connections_.rbegin(); own != connections_.rend(); ++own)
    {
        bool const half = own->caller.socket < 0 || own->target.socket < 0;
        halves += half ? 1 : 0;
        if (half && halves > max_halves)
        {
            drop(own->caller);
            drop(own->target);
        }
    }
}

void tcp_relay::accept_one()
{
    int const caller = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    ++accepted_;
    int const target = open_socket();
    // A full accept queue delays a connection by a second and more; the others go on.
    ::fcntl(target, F_SETFL, O_NONBLOCK);
    auto const address = loopback(target_port_);
    bool const fails = ::connect(target, reinterpret_cast<sockaddr const*>(&address),
                                 sizeof address) != 0 &&
                       errno != EINPROGRESS;
    if (cut_ || fails)
    {
        ::close(caller);
        ::close(target);
        return;
    }
    int const on = 1;
    setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    connections_.emplace_back();
    connections_.back().caller.socket = caller;
    connections_.back().target.socket = target;
}

void tcp_relay::serve(connection& own, half& from, half& to, short events)
{
    if (own.silent)
    {
        // The end of a silent connection is not relayed; only this side is closed.
        if ((events & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
        {
            drop(from);
        }
        return;
    }
    bool const is_backlogged = to.waiting.size() > 64;
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0 && from.socket >= 0 &&
        !is_backlogged)
    {
        std::array<char, buffer_bytes> buffer;
        auto const size = ::recv(from.socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        std::string bytes(buffer.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
        if (&from == &own.caller)
        {
            parse_sender(own, bytes);
        }
        if (size < 0 && errno != EAGAIN)
        {
            reset(own.caller);
            reset(own.target);
            return;
        }
        bool const lost = own.one_way && &from == &own.caller && size > 0;
        // An empty piece marks the end of the stream.
        if (!lost && size >= 0)
        {
            auto due = clock::now() + delay_;
            if (rate_ > 0)
            {
                auto const took =
                    std::chrono::microseconds{bytes.size() * 1'000'000 / rate_};
                due = std::max(due, to.free_at) + took;
                to.free_at = due;
            }
            to.waiting.push_back({due, std::move(bytes)});
        }
        own.silent = own.silent || silent_senders_.count(own.sender) != 0;
    }
    if (!own.silent)
    {
        flush(own, to);
    }
}

void tcp_relay::flush(connection& own, half& to)
{
    while (!to.waiting.empty() && to.waiting.front().due <= clock::now())
    {
        auto& bytes = to.waiting.front().bytes;
        if (bytes.empty())
        {
            drop(own.caller);
            drop(own.target);
            return;
        }
        auto const size = to.socket < 0 ? -1
                                        : ::send(to.socket, bytes.data(), bytes.size(),
                                                 MSG_DONTWAIT | MSG_NOSIGNAL);
        if (size < 0)
        {
            return;
        }
        bytes.erase(0, static_cast<std::size_t>(size));
        if (!bytes.empty())
        {
            return;
        }
        to.waiting.pop_front();
    }
}

void tcp_relay::parse_sender(connection& own, std::string const& bytes) const
{
    if (!own.sender.empty() || own.head.size() > max_head_bytes)
    {
        return;
    }
    own.head += bytes;
    for (std::string const mark : {"X-Sender: ", "\x0a\x06"})
    {
        auto const found = own.head.find(mark + "node-");
        if (found != std::string::npos)
        {
            auto const begin = found + mark.size();
            auto const end = own.head.find_first_not_of("0123456789", begin + 5);
            own.sender = own.head.substr(begin, end - begin);
            return;
        }
    }
}

void tcp_relay::reset(half& end) const
{
    linger const abort_on_close{1, 0};
    ::setsockopt(end.socket, SOL_SOCKET, SO_LINGER, &abort_on_close,
                 sizeof abort_on_close);
    drop(end);
}

void tcp_relay::drop(half& end) const
{
    if (end.socket >= 0)
    {
        ::close(end.socket);
        end.socket = -1;
    }
    end.waiting.clear();
}

} // namespace marigoldcrank::tests
