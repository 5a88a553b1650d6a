// Sockets and HTTP request parsing.
#include "platform/support/wire_server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>

namespace marigoldcrank::tests
{

namespace
{

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), ::tolower);
    return text;
}

void parse_head(wire_request& request)
{
    auto const line = request.head.substr(0, request.head.find("\r\n"));
    auto const first = line.find(' ');
    auto const last = line.rfind(' ');
    request.method = line.substr(0, first);
    request.target = line.substr(first + 1, last - first - 1);
    for (auto at = request.head.find("\r\n") + 2; at < request.head.size();)
    {
        auto const end = request.head.find("\r\n", at);
        auto const colon = request.head.find(": ", at);
        if (end == std::string::npos || end == at || colon == std::string::npos ||
            colon > end)
        {
            break;
        }
        request.fields.emplace(lower(request.head.substr(at, colon - at)),
                               request.head.substr(colon + 2, end - colon - 2));
        at = end + 2;
    }
}

} // namespace

std::string wire_request::field(std::string_view name) const
{
    auto const found = fields.find(lower(std::string{name}));
    return found == fields.end() ? "" : found->second;
}

std::string wire_request::path() const
{
    return target.substr(0, target.find('?'));
}

std::string wire_request::query(std::string const& name) const
{
    auto const query_begin = target.find('?');
    auto       rest =
        query_begin == std::string::npos ? "" : "&" + target.substr(query_begin + 1);
    auto const at = rest.find("&" + name + "=");
    if (at == std::string::npos)
    {
        return "";
    }
    auto const begin = at + name.size() + 2;
    return rest.substr(begin, rest.find('&', begin) - begin);
}

wire_connection::wire_connection(int socket) : socket_(socket)
{
    int const enabled = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

wire_connection::~wire_connection()
{
    if (socket_ >= 0)
    {
        ::close(socket_);
    }
}

bool wire_connection::read(wire_request& request)
{
    auto receive_some = [&]
    {
        char       piece[8192];
        auto const count = ::recv(socket_, piece, sizeof piece, 0);
        if (count > 0)
        {
            buffer_.append(piece, static_cast<std::size_t>(count));
        }
        return count > 0;
    };
    while (buffer_.find("\r\n\r\n") == std::string::npos)
    {
        if (!receive_some())
        {
            return false;
        }
    }
    auto const end = buffer_.find("\r\n\r\n") + 4;
    request.head = buffer_.substr(0, end);
    parse_head(request);
    auto const length = request.field("answer-early").empty()
                            ? request.field("content-length")
                            : std::string{};
    auto const total = end + (length.empty() ? 0 : std::stoul(length));
    while (buffer_.size() < total)
    {
        if (!receive_some())
        {
            return false;
        }
    }
    request.body = buffer_.substr(end, total - end);
    buffer_.erase(0, total);
    return true;
}

void wire_connection::send(std::string const& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        auto const count =
            ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return;
        }
        sent += static_cast<std::size_t>(count);
    }
}

bool wire_connection::send_patiently(std::string const&        bytes,
                                     std::chrono::milliseconds patience)
{
    int const buffer = 8192;
    ::setsockopt(socket_, SOL_SOCKET, SO_SNDBUF, &buffer, sizeof buffer);
    for (std::size_t sent = 0; sent < bytes.size();)
    {
        auto const count = ::send(socket_, bytes.data() + sent, bytes.size() - sent,
                                  MSG_NOSIGNAL | MSG_DONTWAIT);
        sent += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
        pollfd state{socket_, POLLOUT, 0};
        if (count < 0 && (errno != EAGAIN ||
                          ::poll(&state, 1, static_cast<int>(patience.count())) != 1))
        {
            return false;
        }
    }
    return true;
}

void wire_connection::reset()
{
    linger const abort_on_close{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &abort_on_close, sizeof abort_on_close);
    ::close(socket_.exchange(-1)); // shutdown() would close it without a reset
}

void wire_connection::finish()
{
    ::shutdown(socket_, SHUT_WR);
    char piece[8192];
    while (::recv(socket_, piece, sizeof piece, 0) > 0)
    {
    }
}

void wire_connection::close()
{
    ::shutdown(socket_, SHUT_RDWR);
}

bool wire_connection::closed_by_peer() const
{
    pollfd state{socket_, POLLRDHUP, 0};
    return ::poll(&state, 1, 0) == 1 &&
           (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

wire_server::wire_server(int port, handler handle) : handle_(std::move(handle))
{
    socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
    int const enabled = 1;
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(socket_, 256) != 0)
    {
        throw std::runtime_error("wire_server cannot bind to its port or listen on it");
    }
    acceptor_ = std::thread([this] { accept_all(); });
}

wire_server::~wire_server()
{
    stopping_ = true;
    ::shutdown(socket_, SHUT_RDWR);
    acceptor_.join();
    ::close(socket_);
    {
        std::lock_guard lock{mutex_};
        for (auto const& connection : connections_)
        {
            connection->close();
        }
    }
    for (auto& thread : threads_)
    {
        thread.join();
    }
}

std::size_t wire_server::connections() const
{
    std::lock_guard lock{mutex_};
    return connections_.size();
}

void wire_server::accept_all()
{
    while (!stopping_)
    {
        auto const socket = ::accept(socket_, nullptr, nullptr);
        if (socket < 0)
        {
            return;
        }
        auto const      connection = std::make_shared<wire_connection>(socket);
        std::lock_guard lock{mutex_};
        connections_.push_back(connection);
        threads_.emplace_back([this, connection] { serve(connection); });
    }
}

void wire_server::serve(std::shared_ptr<wire_connection> connection)
{
    while (!stopping_)
    {
        wire_request request;
        if (!connection->read(request) || !handle_(request, *connection))
        {
            break;
        }
    }
    connection->close();
}

std::string wire_response(int status, std::string const& fields, std::string const& body)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields +
           "\r\n" + body;
}

} // namespace marigoldcrank::tests
