// Sockets and HTTP response parsing.
#include "platform/support/raw_caller.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace marigoldcrank::tests
{

bool signed_by_server(raw_response const& response)
{
    return response.fields.count("instance-signature") > 0;
}

raw_caller::raw_caller(int port, int receive_buffer)
{
    socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
    if (receive_buffer > 0)
    {
        ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof receive_buffer);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
    {
        close();
    }
}

raw_caller::~raw_caller()
{
    close();
}

void raw_caller::close()
{
    if (socket_ >= 0)
    {
        ::close(socket_);
        socket_ = -1;
    }
}

bool raw_caller::send(std::string const& bytes)
{
    return socket_ >= 0 && ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                               static_cast<ssize_t>(bytes.size());
}

bool raw_caller::receive_some(int timeout_ms)
{
    pollfd state{socket_, POLLIN, 0};
    if (socket_ < 0 || ::poll(&state, 1, timeout_ms) != 1)
    {
        return false;
    }
    char       piece[8192];
    auto const count = ::recv(socket_, piece, sizeof piece, 0);
    if (count > 0)
    {
        buffer_.append(piece, static_cast<std::size_t>(count));
    }
    ended_ = count == 0;
    return count > 0;
}

raw_response raw_caller::read_head(int timeout_ms)
{
    raw_response response;
    response.complete = read_head(response, timeout_ms);
    return response;
}

bool raw_caller::read_head(raw_response& response, int timeout_ms)
{
    while (buffer_.find("\r\n\r\n") == std::string::npos)
    {
        if (!receive_some(timeout_ms))
        {
            return false;
        }
    }
    auto const head_end = buffer_.find("\r\n\r\n") + 4;
    auto const head = buffer_.substr(0, head_end);
    buffer_.erase(0, head_end);
    response.status = std::stoi(head.substr(9, 3));
    for (auto at = head.find("\r\n") + 2; at + 2 < head.size();)
    {
        auto const end = head.find("\r\n", at);
        auto const colon = head.find(": ", at);
        auto       name = head.substr(at, colon - at);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        response.fields[name] = head.substr(colon + 2, end - colon - 2);
        at = end + 2;
    }
    return true;
}

raw_response raw_caller::read(int timeout_ms)
{
    raw_response response;
    if (!read_head(response, timeout_ms))
    {
        return response;
    }
    if (response.fields["transfer-encoding"] == "chunked")
    {
        while (true)
        {
            while (buffer_.find("\r\n") == std::string::npos)
            {
                if (!receive_some(timeout_ms))
                {
                    return response;
                }
            }
            auto const line = buffer_.find("\r\n");
            auto const length = std::stoul(buffer_.substr(0, line), nullptr, 16);
            while (buffer_.size() < line + 2 + length + 2)
            {
                if (!receive_some(timeout_ms))
                {
                    return response;
                }
            }
            response.body += buffer_.substr(line + 2, length);
            buffer_.erase(0, line + 2 + length + 2);
            if (length == 0)
            {
                response.complete = true;
                return response;
            }
        }
    }
    constexpr int no_content = 204;
    response.framed = response.fields.count("content-length") > 0 ||
                      response.fields["connection"] != "close" ||
                      response.status == no_content;
    if (!response.framed)
    {
        while (receive_some(timeout_ms))
        {
        }
        response.complete = ended_;
        response.body = std::exchange(buffer_, {});
        return response;
    }
    auto const length = std::stoul("0" + response.fields["content-length"]);
    while (buffer_.size() < length && receive_some(timeout_ms))
    {
    }
    response.complete = buffer_.size() >= length;
    response.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return response;
}

std::string raw_caller::read_until(std::string const& text, int timeout_ms)
{
    while (buffer_.find(text) == std::string::npos && receive_some(timeout_ms))
    {
    }
    return buffer_;
}

bool raw_caller::closed(int timeout_ms)
{
    auto const before = buffer_.size();
    while (receive_some(timeout_ms))
    {
    }
    return buffer_.size() == before;
}

std::string make_request(request_options const& options)
{
    auto const length = std::to_string(options.body.size());
    return options.method + " " + options.path +
           " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + options.id +
           "\r\nDeadline-Ms: " + std::to_string(options.deadline_ms) + "\r\n" +
           (options.key.empty() ? "" : "Authorization: Bearer " + options.key + "\r\n") +
           options.fields + "Content-Length: " + length + "\r\n\r\n" + options.body;
}

raw_response ask(int port, request_options const& options)
{
    raw_caller caller(port);
    caller.send(make_request(options));
    return caller.read();
}

} // namespace marigoldcrank::tests
