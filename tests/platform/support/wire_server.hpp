// A server of raw HTTP/1.1 bytes, so that tests can send answers no library would.
//
// Index: 1 wire_request, 2 wire_connection, 3 wire_server
#ifndef MARIGOLDCRANK_TESTS_PLATFORM_WIRE_SERVER_HPP
#define MARIGOLDCRANK_TESTS_PLATFORM_WIRE_SERVER_HPP

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace marigoldcrank::tests
{

/// A request as it was read; names of fields in lower case.
struct wire_request
{
    std::string                             method;
    std::string                             target;
    std::string                             head; // all bytes of the head
    std::multimap<std::string, std::string> fields;
    std::string                             body;

    std::string field(std::string const& name) const;
    std::string query(std::string const& name) const;
    std::string path() const;
};

/// One accepted connection.
class wire_connection
{
public:
    explicit wire_connection(int socket);
    ~wire_connection();

    bool read(wire_request& request); // false: the other side has closed
    void send(std::string const& bytes);
    void reset(); // ends it with a reset
    void close();
    bool closed_by_peer() const;

private:
    std::atomic<int> socket_;
    std::string      buffer_;
};

/// A thread accepts, and each connection has a thread of its own. The handler returns
/// false to end the connection.
class wire_server
{
public:
    using handler = std::function<bool(wire_request const&, wire_connection&)>;

    wire_server(int port, handler handle);
    ~wire_server();

    std::size_t connections() const;

private:
    void accept_all();
    void serve(std::shared_ptr<wire_connection> connection);

    handler                                       handle_;
    int                                           socket_ = -1;
    std::atomic<bool>                             stopping_{false};
    mutable std::mutex                            mutex_;
    std::vector<std::shared_ptr<wire_connection>> open_;
    std::vector<std::thread>                      threads_;
    std::thread                                   acceptor_;
};

/// An answer with a length.
std::string wire_answer(int status, std::string const& fields, std::string const& body);

} // namespace marigoldcrank::tests

#endif
