// Cost model of one engine: batching, prefill and decode throughput, prefix cache, role.
//
// Index: 1 engine_costs, 2 model_call, 3 step_result, 4 engine_model
//
// The engine runs in steps, as in continuous batching: a step decodes one token of every
// stream in the batch and computes at most chunk_tokens prompt tokens.
#ifndef MARIGOLDCRANK_MODEL_ENGINE_MODEL_HPP
#define MARIGOLDCRANK_MODEL_ENGINE_MODEL_HPP

#include "domain/backend_server.hpp"
#include "policy/prefix_index.hpp"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace marigoldcrank::model
{

/// Parameters of the cost model; docs/notes/policy.md lists them in a table.
struct engine_costs
{
    std::int64_t prefill_us = 50;            // 50      a prompt token, microseconds
    std::int64_t step_us = 15'000;           // 15000   a step, microseconds
    std::int64_t stream_us = 250;            // 250     a stream in a step, microseconds
    std::int64_t chunk_tokens = 2'000;       // 2000    maximum of prompt tokens in a step
    std::int64_t batch = 64;                 // 64      maximum of streams, mixed role
    std::int64_t prefill_role_us = 40;       // 40      a prompt token in the prefill role
    std::int64_t decode_role_batch = 96;     // 96      maximum of streams, decode role
    std::int64_t cache_tokens = 200'000;     // 200000  tokens in the prefix cache
    std::int64_t handoff_us = 10'000;        // 10000   a handoff of KV cache, us
    std::int64_t handoff_token_us = 20;      // 20      added for each token, us
    std::int64_t role_change_us = 4'000'000; // 4 s     to change the role
    std::int64_t restart_us = 5'000'000;     // 5 s     to restart after a crash
    std::int64_t start_us = 20'000'000;      // 20 s    from order to service

    bool operator==(engine_costs const&) const = default;
};

/// A call as submitted to an engine.
struct model_call
{
    std::uint32_t id = 0;
    std::int64_t  priority = 0; // lower values run first
    std::int64_t  prompt = 0;   // tokens to compute, before prefix hits
    std::int32_t  prefix = -1;
    std::int64_t  prefix_tokens = 0;
    bool          poison = false;
    bool          imported = false; // its KV cache was imported: decode only
};

/// Outcome of one step.
struct step_result
{
    std::vector<std::uint32_t> first_tokens; // calls whose prefill ended
    std::vector<std::uint32_t> tokens;       // streams that produced a token
    bool                       crashed = false;
};

/// Simulates one engine: its queue, batch and prefix cache.
class engine_model
{
public:
    engine_model(engine_costs const& costs, std::uint32_t index);

    void submit(model_call const& call);

    /// Removes a call from the queue or the batch.
    void remove(std::uint32_t call);

    /// Begins a step. Returns its duration in microseconds, or 0 if there is no work.
    std::int64_t begin_step();

    /// Ends the step in progress. A call whose prefill is complete joins the batch.
    /// Changes of shared prefixes in the cache are appended to `events`.
    step_result end_step(std::vector<cache_event>& events);

    /// Returns all calls at the engine and drops them together with the cache.
    std::vector<std::uint32_t> crash();

    engine_work  load() const;
    std::int64_t batch() const noexcept;
    bool         idle() const noexcept;
    bool         stepping() const noexcept;

    engine_role  role = engine_role::mixed;
    std::int64_t slow_factor = 1;

private:
    struct pending
    {
        model_call   call;
        std::int64_t prefill_left = 0; // prompt tokens to compute
        bool         started = false;
    };
    using queue_position = std::tuple<std::int64_t, std::uint64_t>; // priority, arrival

    std::int64_t schedule_prefill();
    void         start(pending& entry);
    void         cache_prompt(model_call const& call, std::vector<cache_event>& events);
    void         insert_cached(std::int64_t key, std::int64_t tokens,
                               std::vector<cache_event>& events);

    engine_costs const&               costs_;
    std::uint32_t                     index_;
    std::uint64_t                     arrivals_ = 0;
    std::map<queue_position, pending> waiting_;
    std::vector<std::uint32_t>        decoding_;
    std::vector<queue_position> computed_; // calls whose prefill this step completes
    std::int64_t                chunk_ = 0;
    bool                        stepping_ = false;
    // Prefix cache, least recently used last. Keys >= 0 are shared prefixes, negative
    // keys are the unshared parts of prompts.
    std::list<std::pair<std::int64_t, std::int64_t>> lru_;
    std::map<std::int64_t, decltype(lru_)::iterator> cached_;
    std::int64_t                                     cached_tokens_ = 0;
    std::int64_t                                     next_unshared_key_ = -1;
    std::uint64_t                                    sequence_ = 0;
};

} // namespace marigoldcrank::model

#endif
