// cpp-httplib's server with a bounded number of connections.
//
// Index: 1 overflow_queue, 2 http_server_options, 3 configure, refusal bodies
#ifndef MARIGOLDCRANK_ADAPTERS_HTTP_SERVER_HPP
#define MARIGOLDCRANK_ADAPTERS_HTTP_SERVER_HPP

#include "domain/boot_clock.hpp"
#include "domain/failure.hpp"

#include <httplib.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace marigoldcrank
{

/// Serves connections with a fixed number of threads and refuses the rest at once with a
/// few more: an unbounded queue would hold callers without an answer.
class overflow_queue : public httplib::TaskQueue
{
public:
    overflow_queue(std::size_t threads, std::size_t overflow_threads);
    ~overflow_queue() override;

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

    /// True on a thread that only refuses.
    static bool refusing() noexcept;

private:
    struct lane;
    void run(lane& own, bool refuses);

    std::unique_ptr<lane>    serving_;
    std::unique_ptr<lane>    refusing_;
    std::vector<std::thread> threads_;
};

struct http_server_options
{
    std::size_t threads = 256;        // 256      connections served at once
    std::size_t overflow_threads = 4; // 4        connections refused at once
    std::size_t max_body = 4194304;   // 4194304  bytes of one request body
    millis      silence{10000};       // 10000    a caller that reads nothing, ms
};

/// Binds the server's port, with room for a burst of new connections.
bool bind_port(httplib::Server& server, http_server_options const& options,
               std::string const& host, int port);

/// Sets sockets, limits and the queue of a server.
void configure(httplib::Server& server, http_server_options const& options);

/// The HTTP status of a refusal.
int status_of(refusal_cause cause) noexcept;

/// The error object of a refusal, as callers of the language model API expect it, with
/// `fate` and `retry_after` beside the standard fields.
std::string refusal_body(refusal const& value, std::string const& request_id);

/// Fills the whole answer: status, body, Retry-After.
void write_refusal(httplib::Response& response, refusal const& value,
                   std::string const& request_id);

} // namespace marigoldcrank

#endif
