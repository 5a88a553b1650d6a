// Test HTTP/1.1 server that sends raw bytes, so that tests can send malformed responses.
//
// Index: 1 wire_request, 2 wire_connection, 3 wire_server, 4 wire_response
#ifndef MARIGOLDCRANK_TESTS_PLATFORM_WIRE_SERVER_HPP
#define MARIGOLDCRANK_TESTS_PLATFORM_WIRE_SERVER_HPP

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace marigoldcrank::tests
{

/// A request as received, with the names of its header fields in lower case.
struct wire_request
{
    std::string method;
    std::string target;
    std::string head; // all bytes of the request line and header
    std::multimap<std::string, std::string> fields;
    std::string                             body;

    /// The value of a header field or query parameter; empty if there is none.
    std::string field(std::string_view name) const;
    std::string query(std::string const& name) const;
    std::string path() const;
};

/// One accepted connection.
class wire_connection
{
public:
    explicit wire_connection(int socket);
    ~wire_connection();

    /// Reads a request; of one with the field Answer-Early only the head. Returns false
    /// if the connection has ended.
    bool read(wire_request& request);
    void send(std::string const& bytes);
    /// Sends with a small buffer. Returns false as soon as nothing could be sent for
    /// `patience`, because the peer doesn't read.
    bool send_patiently(std::string const& bytes, std::chrono::milliseconds patience);
    void reset(); // closes with a TCP reset
    /// Ends what it sends in order, and reads until the peer closes.
    void finish();
    void close();
    bool closed_by_peer() const;

private:
    std::atomic<int> socket_;
    std::string      buffer_;
};

/// Accepts connections in one thread and serves each in a thread of its own. The handler
/// returns false to close the connection.
class wire_server
{
public:
    using handler = std::function<bool(wire_request const&, wire_connection&)>;

    wire_server(int port, handler handle);
    ~wire_server();

    /// The number of connections accepted so far, closed ones included.
    std::size_t connections() const;

private:
    void accept_all();
    void serve(std::shared_ptr<wire_connection> connection);

    handler                                       handle_;
    int                                           socket_ = -1;
    std::atomic<bool>                             stopping_{false};
    mutable std::mutex                            mutex_;
    std::vector<std::shared_ptr<wire_connection>> connections_;
    std::vector<std::thread>                      threads_;
    std::thread                                   acceptor_;
};

/// A response with a Content-Length; each line of `fields` has its line end.
std::string wire_response(int status, std::string const& fields, std::string const& body);

} // namespace marigoldcrank::tests

#endif
