// Sends one order over a connection of its own, never after the end of the lease.
//
// Index: 1 socket, 2 response, 3 order_socket
#include "adapters/order_socket.hpp"

#include "adapters/lease_timer.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <optional>

namespace marigoldcrank
{

namespace
{

// 1. Socket

constexpr std::size_t max_response_bytes = 65'536;

/// Closes the connection with a reset unless the exchange has completed: a normal close
/// would leave unsent bytes to the kernel, which sends them when it can.
class socket_handle
{
public:
    socket_handle()
        : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
    {
        int const    on = 1;
        linger const reset{1, 0};
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }

    ~socket_handle()
    {
        ::close(fd_);
    }

    socket_handle(socket_handle const&) = delete;
    socket_handle& operator=(socket_handle const&) = delete;

    int fd() const noexcept
    {
        return fd_;
    }

    void close_normally() const
    {
        linger const normal{0, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &normal, sizeof normal);
    }

private:
    int fd_;
};

std::int64_t remaining_ms(boot_clock::time_point end)
{
    return std::chrono::duration_cast<millis>(end - boot_clock::now()).count();
}

/// Waits for the events until `end`; a signal, such as the timer's, only repeats the
/// check.
bool wait_for_events(int socket, short events, boot_clock::time_point end)
{
    while (true)
    {
        auto const remaining = remaining_ms(end);
        if (remaining <= 0)
        {
            return false;
        }
        pollfd     entry{socket, events, 0};
        auto const ready = ::poll(&entry, 1, static_cast<int>(remaining));
        if (ready > 0)
        {
            return true;
        }
        if (ready < 0 && errno != EINTR)
        {
            return false;
        }
    }
}

/// Limits TCP_USER_TIMEOUT to the rest of the lease. False if the lease has ended.
bool limit_retransmission(int socket, boot_clock::time_point valid_until)
{
    auto const remaining = remaining_ms(valid_until);
    if (remaining <= 0)
    {
        return false;
    }
    auto const limit = static_cast<unsigned int>(remaining);
    return setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit) == 0;
}

bool connect_until(int socket, order_message const& message, boot_clock::time_point end)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(message.port));
    if (inet_pton(AF_INET, message.host.c_str(), &address.sin_addr) != 1)
    {
        return false;
    }
    if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
    {
        return true;
    }
    if (errno != EINPROGRESS && errno != EINTR)
    {
        return false;
    }
    int       error = 0;
    socklen_t size = sizeof error;
    return wait_for_events(socket, POLLOUT, end) &&
           getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

/// Number of bytes that the kernel accepted; negative if it accepted none.
ssize_t send_all(int socket, std::string const& text, boot_clock::time_point end)
{
    ssize_t sent = ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
    while (sent > 0 && sent < static_cast<ssize_t>(text.size()) &&
           wait_for_events(socket, POLLOUT, end))
    {
        auto const offset = static_cast<std::size_t>(sent);
        auto const written =
            ::send(socket, text.data() + offset, text.size() - offset, MSG_NOSIGNAL);
        if (written < 0 && errno != EAGAIN && errno != EINTR)
        {
            break;
        }
        sent += std::max<ssize_t>(written, 0);
    }
    return sent;
}

// 2. Response

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

template <class Number>
Number parse_number(std::string const& text, std::size_t at)
{
    Number value = 0;
    std::from_chars(text.data() + at, text.data() + text.size(), value);
    return value;
}

/// Parses status line, Content-Length and body; nothing while the response is incomplete.
std::optional<order_response> parse_response(std::string const& text)
{
    constexpr std::size_t status_offset = 9; // after "HTTP/1.1 "
    std::string const     length_name = "content-length: ";
    auto const            end = text.find("\r\n\r\n");
    if (end == std::string::npos || text.rfind("HTTP/1.", 0) != 0)
    {
        return std::nullopt;
    }
    auto const headers = lower_case(text.substr(0, end));
    auto const position = headers.find(length_name);
    auto const body = text.substr(end + 4);
    if (position == std::string::npos ||
        body.size() < parse_number<std::size_t>(headers, position + length_name.size()))
    {
        return std::nullopt;
    }
    return order_response{parse_number<int>(text, status_offset), body};
}

leaf::result<order_response> read_response(int socket, std::string const& peer,
                                           boot_clock::time_point end)
{
    std::string             text;
    std::array<char, 4'096> buffer{};
    while (text.size() < max_response_bytes && wait_for_events(socket, POLLIN, end))
    {
        auto const count = ::recv(socket, buffer.data(), buffer.size(), 0);
        if (count < 0 && (errno == EINTR || errno == EAGAIN))
        {
            continue;
        }
        if (count <= 0)
        {
            return leaf::new_error(
                transport_failure{transport_fault::response_lost, peer, 0});
        }
        text.append(buffer.data(), static_cast<std::size_t>(count));
        if (auto response = parse_response(text))
        {
            return *response;
        }
    }
    return leaf::new_error(transport_failure{transport_fault::silent, peer, 0});
}

} // namespace

// 3. order_socket

order_socket::order_socket(millis timeout, std::string sender, send_hook before_send,
                           std::size_t max_request_bytes)
    : timeout_(timeout), sender_(std::move(sender)), before_send_(std::move(before_send)),
      max_request_bytes_(max_request_bytes)
{
}

std::string order_socket::request_text(order_message const& message) const
{
    return "POST " + message.path + " HTTP/1.1\r\nHost: " + message.host + ":" +
           std::to_string(message.port) +
           "\r\nConnection: close\r\nContent-Type: application/json\r\nX-Sender: " +
           sender_ + "\r\nX-Fence: " + std::to_string(message.fence) +
           "\r\nX-Request-Id: " + message.order_id +
           "\r\nContent-Length: " + std::to_string(message.body.size()) + "\r\n\r\n" +
           message.body;
}

leaf::result<order_response> order_socket::send(order_message const&   message,
                                                boot_clock::time_point valid_until) const
{
    auto const          peer = message.host + ":" + std::to_string(message.port);
    auto const          text = request_text(message);
    auto const          end = std::min(valid_until, boot_clock::now() + timeout_);
    socket_handle const socket;
    lease_timer const   guard(socket.fd(), valid_until);
    bool const          ready = text.size() <= max_request_bytes_ && guard.armed() &&
                       limit_retransmission(socket.fd(), valid_until) &&
                       connect_until(socket.fd(), message, end) &&
                       limit_retransmission(socket.fd(), valid_until);
    if (!ready || boot_clock::now() >= valid_until)
    {
        return leaf::new_error(
            transport_failure{transport_fault::not_connected, peer, 0});
    }
    before_send_();
    auto const sent = send_all(socket.fd(), text, end);
    if (sent < 0)
    {
        // The kernel accepted nothing: the lease has ended, or the other side is gone.
        return leaf::new_error(
            transport_failure{transport_fault::not_connected, peer, 0});
    }
    if (sent != static_cast<ssize_t>(text.size()))
    {
        return leaf::new_error(
            transport_failure{transport_fault::response_lost, peer, 0});
    }
    auto response = read_response(socket.fd(), peer, end);
    if (response)
    {
        socket.close_normally();
    }
    return response;
}

} // namespace marigoldcrank
