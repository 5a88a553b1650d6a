// What the engine's stand-in computes: tokens, batch, prefix cache, role, orders.
//
// Index: 1 engine_options, 2 prefix_cache, 3 applied_orders, 4 batch_slots
#ifndef MARIGOLDCRANK_STANDINS_ENGINE_MODEL_HPP
#define MARIGOLDCRANK_STANDINS_ENGINE_MODEL_HPP

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace marigoldcrank::standins
{

/// Options of an engine.
struct engine_options
{
    std::int64_t prefill_per_s = 20000; // 20000  prompt tokens a second
    std::int64_t decode_us = 2000; // 2000   between tokens of one stream, microseconds
    std::int64_t batch = 64;       // 64     streams at once; more wait by priority
    std::int64_t cache_tokens = 200000; // 200000 prompt tokens kept for prefix hits
    std::int64_t load_lag_ms = 100;     // 100    age of a load report
    std::int64_t event_lag_ms = 300;    // 300    age at which cache events appear
    std::int64_t event_gap = 0; // 0      every n-th cache event is lost; 0 for none
    std::int64_t role_change_ms = 2000; // 2000   without service during a role change
    bool checks_fencing = true; // yes    refuses orders with an old fencing number
};

/// Token `index` of the answer to a prompt: the same on every engine, so that another can
/// resume the answer.
std::string token_of(std::uint64_t prompt_hash, std::uint64_t index);

/// Recently used prefixes by hash, limited by their tokens; publishes late, gappy events.
class prefix_cache
{
public:
    prefix_cache(std::int64_t capacity, std::int64_t event_lag_ms,
                 std::int64_t event_gap);

    /// Prompt tokens that need not be computed; the prompt is kept afterwards.
    std::int64_t lookup_and_store(std::string const& prompt, std::int64_t now_ms);

    /// Events with sequence >= from that are old enough to be seen.
    nlohmann::json events(std::uint64_t from, std::int64_t now_ms);

    bool contains(std::string const& prefix_hash);
    void import(std::string const& prefix_hash, std::int64_t tokens, std::int64_t now_ms);

private:
    struct entry
    {
        std::string  hash;
        std::int64_t tokens;
    };
    struct event
    {
        std::uint64_t sequence;
        std::int64_t  at_ms;
        bool          stored;
        std::string   hash;
        std::int64_t  tokens;
    };

    void store(std::string const& hash, std::int64_t tokens, std::int64_t now_ms);
    void publish(bool stored, entry const& subject, std::int64_t now_ms);

    std::int64_t                                      capacity_;
    std::int64_t                                      event_lag_ms_;
    std::int64_t                                      event_gap_;
    std::mutex                                        mutex_;
    std::list<entry>                                  by_recency_; // newest first
    std::map<std::string, std::list<entry>::iterator> by_hash_;
    std::int64_t                                      cached_tokens_ = 0;
    std::uint64_t                                     sequence_ = 0;
    std::list<event>                                  events_;
};

/// Role, models and adapters as ordered; refuses old fencing numbers if it checks them.
class applied_orders
{
public:
    explicit applied_orders(bool checks_fencing);

    /// Applies an order {id, fence, kind, value}; returns the HTTP status.
    int apply(nlohmann::json const& order, std::int64_t now_ms,
              std::int64_t role_change_ms);

    nlohmann::json state(std::int64_t now_ms);
    std::string    role();
    bool           is_changing_role(std::int64_t now_ms);

private:
    bool                               checks_fencing_;
    std::mutex                         mutex_;
    std::uint64_t                      highest_fence_ = 0;
    std::string                        role_ = "mixed";
    std::int64_t                       role_change_until_ms_ = 0;
    std::map<std::string, std::string> loaded_; // kind (model, adapter, version) to value
    std::set<std::string>              applied_ids_;
};

/// Places in the batch, given by priority (lower first), then by arrival.
class batch_slots
{
public:
    explicit batch_slots(std::int64_t batch);

    /// Waits for a place. False if the request was cancelled meanwhile.
    bool acquire(std::string const& request_id, std::int64_t priority,
                 std::int64_t prompt_tokens);
    void finish_prefill(std::int64_t prompt_tokens);
    void release(std::string const& request_id);
    void cancel(std::string const& request_id);
    bool is_cancelled(std::string const& request_id);

    /// Cuts everything that runs, as a restart would.
    void cancel_all();

    nlohmann::json load();

private:
    std::int64_t                                     batch_;
    std::mutex                                       mutex_;
    std::condition_variable                          changed_;
    std::set<std::pair<std::int64_t, std::uint64_t>> waiting_;
    std::uint64_t                                    arrivals_ = 0;
    std::int64_t                                     running_ = 0;
    std::int64_t                                     prefill_tokens_ = 0;
    std::set<std::string>                            active_;
    std::set<std::string>                            cancelled_;
};

} // namespace marigoldcrank::standins

#endif
