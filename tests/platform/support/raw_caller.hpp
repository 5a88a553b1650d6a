// Test HTTP client that sends raw bytes and reports exactly what it receives.
//
// Index: 1 raw_response, 2 signed_by_server, 3 raw_caller, 4 request_options,
// 5 make_request, 6 ask
#ifndef MARIGOLDCRANK_TESTS_PLATFORM_RAW_CALLER_HPP
#define MARIGOLDCRANK_TESTS_PLATFORM_RAW_CALLER_HPP

#include <map>
#include <string>

namespace marigoldcrank::tests
{

struct raw_response
{
    int  status = 0;       // 0: no response
    bool complete = false; // false: it ended before its framing says, or with a reset
    bool framed = true;    // false: only the end of the connection ends it
    std::map<std::string, std::string> fields; // header fields; names in lower case
    std::string                        body;   // without chunk framing
};

/// True if a response carries a server's signature field.
bool signed_by_server(raw_response const& response);

/// One connection to a port on the loopback address.
class raw_caller
{
public:
    /// `receive_buffer`: of its socket, in bytes; 0: the system's default.
    explicit raw_caller(int port, int receive_buffer = 0);
    ~raw_caller();
    raw_caller(raw_caller const&) = delete;
    raw_caller& operator=(raw_caller const&) = delete;

    /// False if not all bytes were accepted, as the connection has ended.
    bool send(std::string const& bytes);

    /// Reads the next response. `timeout_ms` bounds each wait for more bytes; if it
    /// passes, the response is returned as far as it was read.
    raw_response read(int timeout_ms = 15000);

    /// Reads the next response, to a HEAD request.
    raw_response read_head(int timeout_ms = 15000);

    /// Reads until the unread bytes contain `text`, and returns them without consuming
    /// them.
    std::string read_until(std::string const& text, int timeout_ms = 15000);

    /// True if the connection ends or `timeout_ms` passes before further bytes arrive.
    bool closed(int timeout_ms = 15000);

    void close();

private:
    /// Reads the status and the fields. False if the connection ends before.
    bool read_head(raw_response& response, int timeout_ms);
    bool receive_some(int timeout_ms);

    int         socket_ = -1;
    bool        ended_ = false; // the peer has closed the connection in order
    std::string buffer_;
};

struct request_options
{
    std::string method = "POST";
    std::string path = "/repeat/x";
    std::string id = "call-1";
    std::string key = "key-north";
    std::string fields; // further header lines, each with its line end
    std::string body = "hello";
    int         deadline_ms = 5000;
};

/// The bytes of an HTTP/1.1 request to host `shop.example`.
std::string make_request(request_options const& options);

/// Sends one request on a new connection and returns its response.
raw_response ask(int port, request_options const& options);

} // namespace marigoldcrank::tests

#endif
