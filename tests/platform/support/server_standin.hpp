// A stand-in of a backend server: answers as the test says, and records what has reached
// it.
//
// Index: 1 arrival, 2 server_standin, 3 answers
#ifndef MARIGOLDCRANK_TESTS_PLATFORM_SERVER_STANDIN_HPP
#define MARIGOLDCRANK_TESTS_PLATFORM_SERVER_STANDIN_HPP

#include "platform/support/wire_server.hpp"

#include <deque>

namespace marigoldcrank::tests
{

class server_standin
{
public:
    using behaviour = wire_server::handler;

    /// `id` is the incarnation that requests must name.
    server_standin(int port, std::string id);

    /// The next request is handled so; without any it is served well.
    void next(behaviour handle);

    /// From now on all requests are handled so.
    void always(behaviour handle);

    std::vector<wire_request> arrivals() const;
    std::string const&        id() const;
    int                       port() const;
    std::size_t               connections() const;

    /// A signed answer with the request's id.
    static std::string served(wire_request const& request, std::string const& body,
                              int status = 200);

    /// A server's word that it hasn't run the request.
    static std::string turned_away(wire_request const& request);

    /// The head of a signed event stream in chunks.
    static std::string stream_head(wire_request const& request);

    /// One chunk.
    static std::string chunk(std::string const& bytes);

    /// Event `number` of a stream.
    static std::string event(int number);

private:
    bool handle(wire_request const& request, wire_connection& connection);

    std::string               id_;
    int                       port_;
    mutable std::mutex        mutex_;
    std::vector<wire_request> arrivals_;
    std::deque<behaviour>     next_;
    behaviour                 always_;
    wire_server               server_; // last: its threads use what stands above
};

} // namespace marigoldcrank::tests

#endif
