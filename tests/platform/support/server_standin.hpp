// Stand-in of a backend server: it responds as the test specifies and records the
// requests that it receives.
//
// Index: 1 server_standin
#ifndef MARIGOLDCRANK_TESTS_PLATFORM_SERVER_STANDIN_HPP
#define MARIGOLDCRANK_TESTS_PLATFORM_SERVER_STANDIN_HPP

#include "platform/support/wire_server.hpp"

#include <deque>

namespace marigoldcrank::tests
{

/// Refuses with 421 a request that names another incarnation than its own. Requests to
/// check its health aren't recorded.
class server_standin
{
public:
    static constexpr std::string_view health_target = "/healthz";

    using behaviour = wire_server::handler;

    /// `id` is the incarnation that the field Expect-Instance of a request must name.
    server_standin(int port, std::string id);

    /// Queues a behaviour for one request. Without any, a request gets a signed 200.
    void handle_next(behaviour respond);

    /// Sets the behaviour for all requests for which none is queued.
    void handle_always(behaviour respond);

    std::vector<wire_request> received_requests() const;
    std::string const&        id() const;
    int                       port() const;
    std::size_t               connections() const;

    /// A signed response with the request's id.
    static std::string signed_response(wire_request const& request,
                                       std::string const& body, int status = 200);

    /// A 503 response that says the request hasn't run.
    static std::string not_executed_response(wire_request const& request);

    /// A 421 response of the server `responder`; each line of `fields` has its line end.
    static std::string misdirected_response(wire_request const& request,
                                            std::string const&  responder,
                                            std::string const&  fields = {});

    /// The response to a prefill, with the handle `h1`; each line of `fields` has its
    /// line end.
    static std::string prefill_response(wire_request const& request,
                                        std::string const&  fields = {});

    /// The head of a signed event stream in chunked transfer coding.
    static std::string stream_head(wire_request const& request);

    /// A response or its head without the field that frames its body, so that the end of
    /// the connection ends it.
    static std::string without_framing(std::string response);

    /// One chunk of the chunked transfer coding.
    static std::string chunk(std::string const& bytes);

    /// Event `number` of a stream.
    static std::string event(int number);

private:
    bool handle(wire_request const& request, wire_connection& connection);

    std::string               id_;
    int                       port_;
    mutable std::mutex        mutex_;
    std::vector<wire_request> arrivals_;
    std::deque<behaviour>     next_behaviours_;
    behaviour                 default_behaviour_;
    wire_server               server_; // last: its threads use the members above
};

} // namespace marigoldcrank::tests

#endif
