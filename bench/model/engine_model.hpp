// Cost model of one engine: batching, prefill and decode throughput, prefix cache, role.
//
// Index: 1 engine_costs, 2 model_call, 3 step_result, 4 engine_model
//
// Time passes in steps of the batch, as in continuous batching: a step decodes one token
// of every stream in the batch and computes up to a chunk of prompt tokens.
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

/// The model's numbers; docs/notes/policy.md shows them in one table.
struct engine_costs
{
    std::int64_t prefill_us = 50;        // 50      a prompt token, microseconds
    std::int64_t step_us = 15'000;       // 15000   a step, microseconds
    std::int64_t stream_us = 250;        // 250     a stream in a step, microseconds
    std::int64_t chunk_tokens = 2'000;   // 2000    prompt tokens of a step at most
    std::int64_t batch = 64;             // 64      streams at once, mixed role
    std::int64_t prefill_role_us = 40;   // 40      a prompt token in the prefill role
    std::int64_t decode_role_batch = 96; // 96      streams at once in the decode role
    std::int64_t cache_tokens = 200'000; // 200000  prompt tokens kept for prefix hits
    std::int64_t move_us = 10'000;       // 10000   to move KV cache, microseconds
    std::int64_t move_token_us = 20;     // 20      the same, for each token
    std::int64_t change_us = 4'000'000;  // 4 s     without service in a role change
    std::int64_t restart_us = 5'000'000; // 5 s     to restart after a crash
    std::int64_t start_us = 20'000'000;  // 20 s    from order to service of a VM

    bool operator==(engine_costs const&) const = default;
};

/// What an engine is asked to do.
struct model_call
{
    std::uint32_t id = 0;
    std::int64_t  priority = 0; // lower first
    std::int64_t  prompt = 0;   // tokens to compute, before prefix hits
    std::int32_t  prefix = -1;
    std::int64_t  prefix_tokens = 0;
    bool          poison = false;
    bool          imported = false; // its KV cache was moved here: decode only
};

/// What one step did.
struct step_result
{
    std::vector<std::uint32_t> first_tokens; // calls whose prompt is computed
    std::vector<std::uint32_t> tokens;       // streams that got a token
    bool                       crashed = false;
};

/// One engine.
class engine_model
{
public:
    engine_model(engine_costs const& costs, std::uint32_t index);

    void submit(model_call const& call);

    /// Removes a call, wherever it is.
    void remove(std::uint32_t call);

    /// Begins a step; its duration, or 0 if there is nothing to do.
    std::int64_t begin_step();

    /// Ends the step begun. A call whose prompt was computed joins the batch.
    step_result end_step(std::vector<cache_event>& events);

    /// All calls that it holds; it then holds none and its cache is empty.
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
        std::int64_t left = 0; // prompt tokens to compute
        bool         started = false;
    };
    using place = std::tuple<std::int64_t, std::uint64_t>; // priority, arrival

    std::int64_t take_prompts();
    void         start(pending& entry);
    void         store(model_call const& call, std::vector<cache_event>& events);
    void keep(std::int64_t key, std::int64_t tokens, std::vector<cache_event>& events);

    engine_costs const&        costs_;
    std::uint32_t              index_;
    std::uint64_t              arrivals_ = 0;
    std::map<place, pending>   waiting_;
    std::vector<std::uint32_t> decoding_;
    std::vector<place>         computed_; // prompts that this step completes
    std::int64_t               chunk_ = 0;
    bool                       stepping_ = false;
    // Prefix cache: keys >= 0 are shared prefixes, others are the rest of prompts.
    std::list<std::pair<std::int64_t, std::int64_t>>    recent_;
    std::map<std::int64_t, decltype(recent_)::iterator> cached_;
    std::int64_t                                        held_ = 0;
    std::int64_t                                        next_rest_ = -1;
    std::uint64_t                                       sequence_ = 0;
};

} // namespace marigoldcrank::model

#endif
