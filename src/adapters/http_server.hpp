// Configures cpp-httplib servers: a bounded number of connections, timeouts, and the
// responses that refuse a call.
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

/// Task queue of the server. A fixed number of threads serves connections, one each; a
/// few more threads refuse all further connections at once. An unbounded queue would
/// leave callers waiting without a response.
class overflow_queue : public httplib::TaskQueue
{
public:
    overflow_queue(std::size_t threads, std::size_t overflow_threads);
    ~overflow_queue() override;

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

    /// True on a thread that only refuses connections.
    static bool is_refusing() noexcept;

private:
    struct thread_group;
    void run(thread_group& group, bool refuses);

    std::unique_ptr<thread_group> serving_;
    std::unique_ptr<thread_group> refusing_;
    std::vector<std::thread>      threads_;
};

struct http_server_options
{
    std::size_t threads = 256;            // 256      connections served at once
    std::size_t overflow_threads = 4;     // 4        threads that refuse connections
    std::size_t max_body_bytes = 4194304; // 4194304  bytes of one request body
    millis      write_timeout{10000};     // 10000    ms a caller may read nothing
};

/// Applies the options, binds the port and listens with a backlog for a burst of new
/// connections. False if the port can't be used.
bool bind_port(httplib::Server& server, http_server_options const& options,
               std::string const& host, int port);

/// Applies the options: socket options, size and time limits, and the task queue.
void configure(httplib::Server& server, http_server_options const& options);

/// HTTP status of a refusal.
int status_of(refusal_cause cause) noexcept;

/// JSON error object of a refusal, as callers of the language model API expect it, with
/// `fate` and `retry_after` in addition to the standard fields.
std::string refusal_body(refusal const& value, std::string const& request_id);

/// Fills the complete response: status, body, Retry-After and X-Request-Id.
void write_refusal(httplib::Response& response, refusal const& value,
                   std::string const& request_id);

} // namespace marigoldcrank

#endif
