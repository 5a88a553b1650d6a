// Starts model calls on worker threads.
//
// Index: request_path
#ifndef MARIGOLDCRANK_APP_REQUEST_PATH_HPP
#define MARIGOLDCRANK_APP_REQUEST_PATH_HPP

#include "app/model_run.hpp"

#include <memory>

namespace marigoldcrank
{

/// Serves all model calls of the process. Thread-safe.
template <backend_port Backend>
class request_path
{
public:
    using usage_sink = std::function<void(wire::usage_delta)>;

    request_path(Backend& backend, server_directory& directory, span_store& spans,
                 metrics& counters, worker_pool& workers, poison_guard& poison,
                 usage_sink usage, request_options options)
        : workers_(workers), budget_(options.retries),
          cancels_(cancel_threads), parts_{backend,           directory,        spans,
                                           counters,          poison,           budget_,
                                           cancels_,          std::move(usage), {},
                                           std::move(options)}
    {
    }

    /// Sets the check of key states, which runs before each dispatch and with each token.
    /// Call before the first request.
    void watch_keys(std::function<key_state(std::string const&)> const& check)
    {
        parts_.keys = check;
    }

    /// Starts a model call; its tokens and its end arrive on the returned stream.
    std::shared_ptr<response_stream> start(model_request request)
    {
        auto stream = std::make_shared<response_stream>();
        workers_.post([this, stream, request = std::move(request)]
                      { model_run<Backend>(parts_, request, *stream).run(); });
        return stream;
    }

private:
    static constexpr std::size_t cancel_threads = 4;

    worker_pool&         workers_;
    shared_retry_budget  budget_;
    worker_pool          cancels_;
    model_parts<Backend> parts_;
};

} // namespace marigoldcrank

#endif
