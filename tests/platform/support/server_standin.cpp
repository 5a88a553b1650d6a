// Responses of the stand-in and its record of requests.
#include "platform/support/server_standin.hpp"

#include <cstdio>

namespace marigoldcrank::tests
{

server_standin::server_standin(int port, std::string id)
    : id_(std::move(id)), port_(port),
      server_(port, [this](wire_request const& request, wire_connection& connection)
              { return handle(request, connection); })
{
}

void server_standin::handle_next(behaviour respond)
{
    std::lock_guard lock{mutex_};
    next_behaviours_.push_back(std::move(respond));
}

void server_standin::handle_always(behaviour respond)
{
    std::lock_guard lock{mutex_};
    default_behaviour_ = std::move(respond);
}

std::vector<wire_request> server_standin::received_requests() const
{
    std::lock_guard lock{mutex_};
    return arrivals_;
}

std::string const& server_standin::id() const
{
    return id_;
}

int server_standin::port() const
{
    return port_;
}

std::size_t server_standin::connections() const
{
    return server_.connections();
}

std::string server_standin::signed_response(wire_request const& request,
                                            std::string const& body, int status)
{
    return wire_response(status,
                         "Request-Id: " + request.field("request-id") +
                             "\r\nInstance-Signature: signed\r\n",
                         body);
}

std::string server_standin::prefill_response(wire_request const& request,
                                             std::string const&  fields)
{
    return wire_response(200,
                         "Request-Id: " + request.field("request-id") + "\r\n" + fields,
                         R"({"kv_handle":"h1","tokens":9000,"version":1})");
}

std::string server_standin::not_executed_response(wire_request const& request)
{
    return wire_response(
        503, "Not-Executed: 1\r\nRequest-Id: " + request.field("request-id") + "\r\n",
        "");
}

std::string server_standin::misdirected_response(wire_request const& request,
                                                 std::string const&  responder,
                                                 std::string const&  fields)
{
    return wire_response(421,
                         "Instance-Id: " + responder + "\r\nRequest-Id: " +
                             request.field("request-id") + "\r\n" + fields,
                         "");
}

std::string server_standin::stream_head(wire_request const& request)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " +
           request.field("request-id") +
           "\r\nInstance-Signature: signed\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string server_standin::without_framing(std::string response)
{
    for (std::string const name : {"Transfer-Encoding: ", "Content-Length: "})
    {
        auto const field = response.find(name);
        if (field < response.find("\r\n\r\n"))
        {
            response.erase(field, response.find("\r\n", field) + 2 - field);
        }
    }
    return response;
}

std::string server_standin::chunk(std::string const& bytes)
{
    char length[20];
    std::snprintf(length, sizeof length, "%zx\r\n", bytes.size());
    return length + bytes + "\r\n";
}

std::string server_standin::event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) +
           "\n\n";
}

bool server_standin::handle(wire_request const& request, wire_connection& connection)
{
    if (request.target == health_target)
    {
        connection.send(wire_response(200, "Instance-Id: " + id_ + "\r\n", ""));
        return true;
    }
    behaviour respond;
    {
        std::lock_guard lock{mutex_};
        arrivals_.push_back(request);
        if (!next_behaviours_.empty())
        {
            respond = std::move(next_behaviours_.front());
            next_behaviours_.pop_front();
        }
        else
        {
            respond = default_behaviour_;
        }
    }
    auto const expected = request.field("expect-instance");
    if (!expected.empty() && expected != id_)
    {
        connection.send(misdirected_response(request, id_));
        return true;
    }
    if (respond)
    {
        return respond(request, connection);
    }
    connection.send(signed_response(request, "served by " + id_));
    return true;
}

} // namespace marigoldcrank::tests
