// Configuration of cpp-httplib servers with a bounded number of connections.
//
// Index: 1 overflow_queue, 2 configure, 3 refusals
#include "adapters/http_server.hpp"

#include <nlohmann/json.hpp>

#include <netinet/tcp.h>

#include <condition_variable>
#include <deque>
#include <mutex>

namespace marigoldcrank
{

// 1. overflow_queue

namespace
{
thread_local bool     refusing_thread = false;
constexpr std::size_t overflow_backlog = 256; // connections waiting to be refused
} // namespace

/// A group of threads and the tasks that wait for one of them.
struct overflow_queue::thread_group
{
    std::mutex                        mutex;
    std::condition_variable           changed;
    std::deque<std::function<void()>> tasks;
    std::size_t                       idle = 0;
    bool                              stopping = false;

    /// Takes the task if a thread is idle; returns false otherwise.
    bool try_enqueue(std::function<void()>& task)
    {
        std::lock_guard const lock(mutex);
        if (tasks.size() >= idle)
        {
            return false;
        }
        tasks.push_back(std::move(task));
        changed.notify_all();
        return true;
    }

    /// Waits until the group's backlog has room; meanwhile the kernel's own bounded
    /// backlog holds new connections.
    void wait_and_enqueue(std::function<void()>& task)
    {
        std::unique_lock lock(mutex);
        changed.wait(lock,
                     [&] { return stopping || tasks.size() < idle + overflow_backlog; });
        tasks.push_back(std::move(task));
        changed.notify_all();
    }
};

overflow_queue::overflow_queue(std::size_t threads, std::size_t overflow_threads)
    : serving_(std::make_unique<thread_group>()),
      refusing_(std::make_unique<thread_group>())
{
    serving_->idle = threads;
    refusing_->idle = overflow_threads;
    for (std::size_t index = 0; index < threads; ++index)
    {
        threads_.emplace_back([this] { run(*serving_, false); });
    }
    for (std::size_t index = 0; index < overflow_threads; ++index)
    {
        threads_.emplace_back([this] { run(*refusing_, true); });
    }
}

overflow_queue::~overflow_queue() = default;

void overflow_queue::enqueue(std::function<void()> task)
{
    if (!serving_->try_enqueue(task))
    {
        refusing_->wait_and_enqueue(task);
    }
}

void overflow_queue::shutdown()
{
    for (auto* group : {serving_.get(), refusing_.get()})
    {
        std::lock_guard const lock(group->mutex);
        group->stopping = true;
        group->changed.notify_all();
    }
    for (auto& thread : threads_)
    {
        thread.join();
    }
    threads_.clear();
}

bool overflow_queue::is_refusing() noexcept
{
    return refusing_thread;
}

void overflow_queue::run(thread_group& group, bool refuses)
{
    refusing_thread = refuses;
    std::unique_lock lock(group.mutex);
    while (true)
    {
        group.changed.wait(lock, [&] { return group.stopping || !group.tasks.empty(); });
        if (group.tasks.empty())
        {
            return;
        }
        auto task = std::move(group.tasks.front());
        group.tasks.pop_front();
        --group.idle;
        group.changed.notify_all();
        lock.unlock();
        task();
        task = nullptr;
        lock.lock();
        ++group.idle;
        group.changed.notify_all();
    }
}

// 2. configure

namespace
{
constexpr int listen_backlog = 1024; // maximum; the kernel may allow fewer
constexpr int keep_alive_s = 5;
constexpr int keep_alive_requests = 100'000;
constexpr int send_buffer_bytes = 128 * 1024;
constexpr int us_per_ms = 1000;
constexpr int ms_per_s = 1000;

/// Accepted sockets inherit these options from the listening one. TCP_USER_TIMEOUT ends
/// the connection of a caller that vanished without FIN, which acknowledges nothing, and
/// of one that is alive but reads nothing, whose window stays closed; the write timeout
/// ends the latter where the kernel does not. The bounded send buffer lets both timeouts
/// start after 128 KB. Otherwise the kernel would grow it to megabytes for each of
/// hundreds of connections.
void set_socket_options(int socket, millis write_timeout)
{
    int const          on = 1;
    unsigned int const limit = static_cast<unsigned int>(write_timeout.count());
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &send_buffer_bytes,
               sizeof send_buffer_bytes);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}
} // namespace

/// The library's backlog holds five connections. When more callers connect at once, as
/// after a failure that affects all of them, the kernel drops the rest; such a caller
/// waits a second and is then reset without a response. A second listen() with a larger
/// backlog, before the first accept, keeps them in the queue.
bool bind_port(httplib::Server& server, http_server_options const& options,
               std::string const& host, int port)
{
    int listener = -1;
    server.set_socket_options(
        [&listener, write_timeout = options.write_timeout](int socket)
        {
            listener = socket;
            set_socket_options(socket, write_timeout);
        });
    bool const bound = server.bind_to_port(host, port) && listener >= 0 &&
                       ::listen(listener, listen_backlog) == 0;
    configure(server, options);
    return bound;
}

void configure(httplib::Server& server, http_server_options const& options)
{
    server.new_task_queue = [options]
    {
        return new overflow_queue(options.threads, options.overflow_threads);
    };
    server.set_socket_options([write_timeout = options.write_timeout](int socket)
                              { set_socket_options(socket, write_timeout); });
    server.set_tcp_nodelay(true);
    server.set_payload_max_length(options.max_body_bytes);
    server.set_keep_alive_timeout(keep_alive_s);
    server.set_keep_alive_max_count(keep_alive_requests);
    server.set_write_timeout(options.write_timeout.count() / ms_per_s,
                             options.write_timeout.count() % ms_per_s * us_per_ms);
}

// 3. Refusals

int status_of(refusal_cause cause) noexcept
{
    switch (cause)
    {
    case refusal_cause::unauthenticated:
    case refusal_cause::key_withdrawn:
        return 401;
    case refusal_cause::malformed:
        return 400;
    case refusal_cause::too_large:
        return 413;
    case refusal_cause::unknown_model:
    case refusal_cause::unknown_service:
        return 404;
    case refusal_cause::key_reused:
        return 422;
    case refusal_cause::in_progress:
    case refusal_cause::owner_lost:
        return 409;
    case refusal_cause::over_limit:
        return 429;
    case refusal_cause::poison:
        return 422;
    case refusal_cause::deadline:
        return 504;
    case refusal_cause::backend_server_failed:
        return 502;
    case refusal_cause::no_configuration:
    case refusal_cause::no_backend_server:
    case refusal_cause::overloaded:
    case refusal_cause::draining:
    case refusal_cause::log_unavailable:
    case refusal_cause::cancelled:
        return 503;
    }
    return 500;
}

std::string refusal_body(refusal const& value, std::string const& request_id)
{
    using nlohmann::json;
    json const error = {{"message", std::string{"The request was refused: "} +
                                        name_of(value.cause) + "."},
                        {"type", name_of(value.cause)},
                        {"code", name_of(value.cause)},
                        {"fate", name_of(value.fate)},
                        {"retry_after", value.retry_after},
                        {"request_id", request_id}};
    return json{{"error", error}}.dump();
}

void write_refusal(httplib::Response& response, refusal const& value,
                   std::string const& request_id)
{
    response.status = status_of(value.cause);
    response.set_header("Retry-After", std::to_string(value.retry_after));
    response.set_header("X-Request-Id", request_id);
    response.set_content(refusal_body(value, request_id), "application/json");
}

} // namespace marigoldcrank
