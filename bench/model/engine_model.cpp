// Cost model of one engine: queue, steps and prefix cache.
#include "engine_model.hpp"

#include <algorithm>

namespace marigoldcrank::model
{

engine_model::engine_model(engine_costs const& costs, std::uint32_t index)
    : costs_(costs), index_(index)
{
}

// 1. Calls

void engine_model::submit(model_call const& call)
{
    waiting_.emplace(queue_position{call.imported ? -1 : call.priority, arrivals_++},
                     pending{call, call.imported ? 0 : call.prompt, false});
}

void engine_model::remove(std::uint32_t call)
{
    std::erase(decoding_, call);
    for (auto entry = waiting_.begin(); entry != waiting_.end(); ++entry)
    {
        if (entry->second.call.id == call)
        {
            std::erase(computed_, entry->first);
            waiting_.erase(entry);
            return;
        }
    }
}

std::int64_t engine_model::batch() const noexcept
{
    return role == engine_role::decode ? costs_.decode_role_batch : costs_.batch;
}

// 2. Steps

/// Prefix hits are looked up when the prefill starts, not on arrival.
void engine_model::start(pending& entry)
{
    entry.started = true;
    auto const found = cached_.find(entry.call.prefix);
    if (entry.call.prefix >= 0 && found != cached_.end() && !entry.call.imported)
    {
        lru_.splice(lru_.begin(), lru_, found->second);
        entry.prefill_left =
            std::max<std::int64_t>(1, entry.prefill_left - entry.call.prefix_tokens);
    }
}

std::int64_t engine_model::schedule_prefill()
{
    auto         budget = costs_.chunk_tokens;
    auto         free_slots = batch() - static_cast<std::int64_t>(decoding_.size());
    std::int64_t taken = 0;
    computed_.clear();
    for (auto& [where, entry] : waiting_)
    {
        if (free_slots <= 0 || (budget <= 0 && !entry.call.imported))
        {
            break;
        }
        if (!entry.started)
        {
            start(entry);
        }
        auto const now = std::min(budget, entry.prefill_left);
        entry.prefill_left -= now;
        budget -= now;
        taken += now;
        --free_slots;
        if (entry.prefill_left == 0)
        {
            computed_.push_back(where);
        }
    }
    return taken;
}

std::int64_t engine_model::begin_step()
{
    if (decoding_.empty() && waiting_.empty())
    {
        return 0;
    }
    chunk_ = schedule_prefill();
    stepping_ = true;
    auto const token_us =
        role == engine_role::prefill ? costs_.prefill_role_us : costs_.prefill_us;
    auto const streams = static_cast<std::int64_t>(decoding_.size());
    return (costs_.step_us + streams * costs_.stream_us + chunk_ * token_us) *
           slow_factor;
}

step_result engine_model::end_step(std::vector<cache_event>& events)
{
    step_result result;
    stepping_ = false;
    result.tokens = decoding_;
    for (auto const& where : computed_)
    {
        auto const found = waiting_.find(where);
        auto const call = found->second.call;
        waiting_.erase(found);
        result.crashed = result.crashed || call.poison;
        decoding_.push_back(call.id);
        if (!call.imported)
        {
            cache_prompt(call, events);
            result.first_tokens.push_back(call.id);
        }
    }
    computed_.clear();
    return result;
}

std::vector<std::uint32_t> engine_model::crash()
{
    auto calls = decoding_;
    for (auto const& [where, entry] : waiting_)
    {
        calls.push_back(entry.call.id);
    }
    decoding_.clear();
    waiting_.clear();
    computed_.clear();
    lru_.clear();
    cached_.clear();
    cached_tokens_ = 0;
    stepping_ = false;
    return calls;
}

engine_work engine_model::load() const
{
    engine_work work{static_cast<std::int64_t>(decoding_.size() + waiting_.size()),
                     stepping_ ? chunk_ : 0};
    for (auto const& [where, entry] : waiting_)
    {
        work.prefill_tokens += entry.prefill_left;
    }
    return work;
}

bool engine_model::idle() const noexcept
{
    return decoding_.empty() && waiting_.empty();
}

bool engine_model::stepping() const noexcept
{
    return stepping_;
}

// 3. Prefix cache

void engine_model::insert_cached(std::int64_t key, std::int64_t tokens,
                                 std::vector<cache_event>& events)
{
    auto const found = cached_.find(key);
    if (found != cached_.end())
    {
        lru_.splice(lru_.begin(), lru_, found->second);
        return;
    }
    lru_.emplace_front(key, tokens);
    cached_[key] = lru_.begin();
    cached_tokens_ += tokens;
    if (key >= 0)
    {
        events.push_back(
            {index_, ++sequence_, true, static_cast<std::uint64_t>(key), tokens});
    }
    while (cached_tokens_ > costs_.cache_tokens)
    {
        auto const [old, size] = lru_.back();
        lru_.pop_back();
        cached_.erase(old);
        cached_tokens_ -= size;
        if (old >= 0)
        {
            events.push_back(
                {index_, ++sequence_, false, static_cast<std::uint64_t>(old), size});
        }
    }
}

void engine_model::cache_prompt(model_call const& call, std::vector<cache_event>& events)
{
    auto const shared = call.prefix >= 0 ? call.prefix_tokens : 0;
    if (call.prefix >= 0)
    {
        insert_cached(call.prefix, shared, events);
    }
    insert_cached(next_unshared_key_--, std::max<std::int64_t>(1, call.prompt - shared),
                  events);
}

} // namespace marigoldcrank::model
