// A caller that sends raw bytes and says exactly what came back.
//
// Index: 1 raw_answer, 2 signed_by_server, 3 raw_caller, 4 make_request
#ifndef MARIGOLDCRANK_TESTS_PLATFORM_RAW_CALLER_HPP
#define MARIGOLDCRANK_TESTS_PLATFORM_RAW_CALLER_HPP

#include <map>
#include <string>

namespace marigoldcrank::tests
{

struct raw_answer
{
    int  status = 0;                           // 0: no answer
    bool whole = false;                        // its framing says that it has ended well
    std::map<std::string, std::string> fields; // names in lower case
    std::string                        body;   // without chunk framing
};

/// Whether an answer bears the signature of a server.
bool signed_by_server(raw_answer const& answer);

class raw_caller
{
public:
    explicit raw_caller(int port);
    ~raw_caller();
    raw_caller(raw_caller const&) = delete;
    raw_caller& operator=(raw_caller const&) = delete;

    void send(std::string const& bytes);

    /// The next answer; `timeout_ms` only bounds a failure.
    raw_answer read(int timeout_ms = 15000);

    /// Reads until the body holds so much, without waiting for its end.
    std::string read_until(std::string const& text, int timeout_ms = 15000);

    /// True if the other side closes before it sends anything more.
    bool closed(int timeout_ms = 15000);

    void close();

private:
    bool more(int timeout_ms);

    int         socket_ = -1;
    std::string buffer_;
};

struct request_options
{
    std::string method = "POST";
    std::string path = "/repeat/x";
    std::string id = "call-1";
    std::string key = "key-north";
    std::string fields; // further lines, each with its line end
    std::string body = "hello";
    int         deadline_ms = 5000;
};

std::string make_request(request_options const& options);

/// One request on a connection of its own.
raw_answer ask(int port, request_options const& options);

} // namespace marigoldcrank::tests

#endif
