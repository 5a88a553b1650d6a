// Options and services that all model calls of a process share.
//
// Index: 1 request_options, 2 shared_retry_budget, 3 model_parts
#ifndef MARIGOLDCRANK_APP_MODEL_PARTS_HPP
#define MARIGOLDCRANK_APP_MODEL_PARTS_HPP

#include "adapters/metrics.hpp"
#include "adapters/span_store.hpp"
#include "app/caller_request.hpp"
#include "app/poison_guard.hpp"
#include "app/server_directory.hpp"
#include "app/worker_pool.hpp"
#include "policy/retry_budget.hpp"
#include "ports/backend_port.hpp"
#include "wire.pb.h"

#include <functional>
#include <mutex>
#include <string>

namespace marigoldcrank
{

/// Options of model calls.
struct request_options
{
    std::string          data_centre = "dc-1"; // "dc-1"  of this entry VM
    std::int64_t         max_attempts = 3;     // 3       that may reach a server
    retry_budget_options retries{};            //         see retry_budget.hpp
    millis               solo_pause{10};       // 10      ms; between checks of a server
    millis               solo_settle{20};      // 20      ms; for a peer's claim to arrive

    bool operator==(request_options const&) const = default;
};

/// Thread-safe retry budget of the process.
class shared_retry_budget
{
public:
    explicit shared_retry_budget(retry_budget_options options) : budget_(options) {}

    void admit()
    {
        std::lock_guard const lock(mutex_);
        budget_.admit();
    }

    bool take()
    {
        std::lock_guard const lock(mutex_);
        return budget_.take(boot_clock::now());
    }

private:
    std::mutex   mutex_;
    retry_budget budget_;
};

/// Services and settings that a model call uses.
template <backend_port Backend>
struct model_parts
{
    Backend&                               backend;
    server_directory&                      directory;
    span_store&                            spans;
    metrics&                               counters;
    poison_guard&                          poison;
    shared_retry_budget&                   budget;
    worker_pool&                           cancels; // runs blocking cancel requests
    std::function<void(wire::usage_delta)> usage;
    std::function<key_state(std::string const& key_id)> keys; // empty: all are valid
    request_options                                     options;
};

} // namespace marigoldcrank

#endif
