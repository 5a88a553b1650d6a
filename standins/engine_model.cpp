// Model of an engine for its stand-in.
//
// Index: 1 tokens, 2 prefix_cache, 3 applied_orders, 4 batch_slots
#include "engine_model.hpp"

#include <xxhash.h>

#include <array>

namespace marigoldcrank::standins
{

using nlohmann::json;

// 1. Tokens

std::string generate_token(std::uint64_t prompt_hash, std::uint64_t index)
{
    static constexpr std::array        words{"well ",  "run ",   "throw ", "jump ",
                                      "medal ", "class ", "claim ", "ferry ",
                                      "toll ",  "rule ",  "paid ",  "line "};
    std::array<std::uint64_t, 2> const input{prompt_hash, index};
    return words[XXH64(input.data(), sizeof input, 0) % words.size()];
}

// 2. prefix_cache

namespace
{
constexpr std::size_t  block_bytes = 256; // prefixes end at multiples of this
constexpr std::int64_t bytes_per_token = 4;
constexpr std::size_t  max_events = 10'000;

std::string hash_text(char const* data, std::size_t size)
{
    return std::to_string(XXH64(data, size, 0));
}
} // namespace

prefix_cache::prefix_cache(std::int64_t capacity, std::int64_t event_lag_ms,
                           std::int64_t event_gap)
    : capacity_(capacity), event_lag_ms_(event_lag_ms), event_gap_(event_gap)
{
}

std::int64_t prefix_cache::lookup_and_store(std::string const& prompt,
                                            std::int64_t       now_ms)
{
    std::lock_guard const lock(mutex_);
    std::int64_t          hit = 0;
    bool                  contiguous = true;
    for (std::size_t end = block_bytes; end <= prompt.size(); end += block_bytes)
    {
        auto const hash = hash_text(prompt.data(), end);
        contiguous = contiguous && by_hash_.count(hash) != 0;
        if (contiguous)
        {
            hit = static_cast<std::int64_t>(end) / bytes_per_token;
        }
        store(hash, static_cast<std::int64_t>(block_bytes) / bytes_per_token, now_ms);
    }
    return hit;
}

void prefix_cache::store(std::string const& hash, std::int64_t tokens,
                         std::int64_t now_ms)
{
    auto const found = by_hash_.find(hash);
    if (found != by_hash_.end())
    {
        by_recency_.splice(by_recency_.begin(), by_recency_, found->second);
        return;
    }
    by_recency_.push_front({hash, tokens});
    by_hash_[hash] = by_recency_.begin();
    cached_tokens_ += tokens;
    publish(true, by_recency_.front(), now_ms);
    while (cached_tokens_ > capacity_ && !by_recency_.empty())
    {
        publish(false, by_recency_.back(), now_ms);
        cached_tokens_ -= by_recency_.back().tokens;
        by_hash_.erase(by_recency_.back().hash);
        by_recency_.pop_back();
    }
}

void prefix_cache::publish(bool stored, entry const& subject, std::int64_t now_ms)
{
    ++sequence_;
    bool const lost =
        event_gap_ > 0 && sequence_ % static_cast<std::uint64_t>(event_gap_) == 0;
    if (!lost)
    {
        events_.push_back({sequence_, now_ms, stored, subject.hash, subject.tokens});
    }
    if (events_.size() > max_events)
    {
        events_.pop_front();
    }
}

json prefix_cache::events(std::uint64_t from, std::int64_t now_ms)
{
    std::lock_guard const lock(mutex_);
    json                  list = json::array();
    for (auto const& value : events_)
    {
        if (value.sequence >= from && now_ms - value.at_ms >= event_lag_ms_)
        {
            list.push_back({{"sequence", value.sequence},
                            {"kind", value.stored ? "stored" : "evicted"},
                            {"prefix", value.hash},
                            {"tokens", value.tokens}});
        }
    }
    return list;
}

bool prefix_cache::contains(std::string const& prefix_hash)
{
    std::lock_guard const lock(mutex_);
    return by_hash_.count(prefix_hash) != 0;
}

void prefix_cache::import(std::string const& prefix_hash, std::int64_t tokens,
                          std::int64_t now_ms)
{
    std::lock_guard const lock(mutex_);
    store(prefix_hash, tokens, now_ms);
}

// 3. applied_orders

applied_orders::applied_orders(bool checks_fencing) : checks_fencing_(checks_fencing) {}

int applied_orders::apply(json const& order, std::int64_t now_ms,
                          std::int64_t role_change_ms)
{
    constexpr int status_ok = 200;
    constexpr int status_malformed = 400;
    constexpr int status_old_fence = 409;
    if (!order.is_object() || !order.value("kind", json()).is_string() ||
        !order.value("value", json()).is_string())
    {
        return status_malformed;
    }
    std::lock_guard const lock(mutex_);
    auto const            fence = order.value("fence", std::uint64_t{0});
    if (checks_fencing_ && fence < highest_fence_)
    {
        return status_old_fence;
    }
    highest_fence_ = std::max(highest_fence_, fence);
    // An order with a known id has been applied already: a repeated order succeeds.
    if (!applied_ids_.insert(order.value("id", "")).second)
    {
        return status_ok;
    }
    auto const kind = order["kind"].get<std::string>();
    auto const value = order["value"].get<std::string>();
    if (kind != "role")
    {
        loaded_[kind] = value;
    }
    else if (role_ != value)
    {
        role_ = value;
        role_change_until_ms_ = now_ms + role_change_ms;
    }
    return status_ok;
}

json applied_orders::state(std::int64_t now_ms)
{
    std::lock_guard const lock(mutex_);
    return {{"role", role_},
            {"changing", now_ms < role_change_until_ms_},
            {"loaded", loaded_},
            {"highest_fence", highest_fence_}};
}

std::string applied_orders::role()
{
    std::lock_guard const lock(mutex_);
    return role_;
}

bool applied_orders::is_changing_role(std::int64_t now_ms)
{
    std::lock_guard const lock(mutex_);
    return now_ms < role_change_until_ms_;
}

// 4. batch_slots

batch_slots::batch_slots(std::int64_t batch) : batch_(batch) {}

bool batch_slots::acquire(std::string const& request_id, std::int64_t priority,
                          std::int64_t prompt_tokens)
{
    std::unique_lock lock(mutex_);
    auto const       place = std::pair{priority, arrivals_++};
    waiting_.insert(place);
    prefill_tokens_ += prompt_tokens;
    active_.insert(request_id);
    changed_.wait(lock,
                  [&]
                  {
                      return cancelled_.count(request_id) != 0 ||
                             (running_ < batch_ && *waiting_.begin() == place);
                  });
    waiting_.erase(place);
    changed_.notify_all();
    if (cancelled_.erase(request_id) != 0)
    {
        active_.erase(request_id);
        prefill_tokens_ -= prompt_tokens;
        return false;
    }
    ++running_;
    return true;
}

void batch_slots::finish_prefill(std::int64_t prompt_tokens)
{
    std::lock_guard const lock(mutex_);
    prefill_tokens_ -= prompt_tokens;
}

void batch_slots::release(std::string const& request_id)
{
    std::lock_guard const lock(mutex_);
    --running_;
    active_.erase(request_id);
    cancelled_.erase(request_id);
    changed_.notify_all();
}

void batch_slots::cancel(std::string const& request_id)
{
    std::lock_guard const lock(mutex_);
    if (active_.count(request_id) != 0)
    {
        cancelled_.insert(request_id);
        changed_.notify_all();
    }
}

void batch_slots::cancel_all()
{
    std::lock_guard const lock(mutex_);
    cancelled_.insert(active_.begin(), active_.end());
    changed_.notify_all();
}

bool batch_slots::is_cancelled(std::string const& request_id)
{
    std::lock_guard const lock(mutex_);
    return cancelled_.count(request_id) != 0;
}

json batch_slots::load()
{
    std::lock_guard const lock(mutex_);
    return {{"running", running_},
            {"waiting", waiting_.size()},
            {"prefill_tokens", prefill_tokens_}};
}

} // namespace marigoldcrank::standins
