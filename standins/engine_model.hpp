// Model of an engine for its stand-in: tokens, prefix cache, role and batch.
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

/// Speed, capacity and delays of the simulated engine.
struct engine_options
{
    std::int64_t prefill_per_s = 20000; // 20000  prompt tokens computed a second
    std::int64_t decode_us = 2000;      // 2000   us between tokens of one stream
    std::int64_t batch = 64;            // 64     streams at once; others wait by priority
    std::int64_t cache_tokens = 200000; // 200000 prompt tokens the prefix cache holds
    std::int64_t load_lag_ms = 100;     // 100    ms between updates of the load report
    std::int64_t event_lag_ms = 300;    // 300    ms until a cache event can be read
    std::int64_t event_gap = 0;         // 0      every n-th cache event is lost; 0: none
    std::int64_t role_change_ms = 2000; // 2000   ms; calls get 503 during a role change
    bool         checks_fencing = true; // yes    refuses orders with an old fencing token
};

/// Returns token `index` of the response to a prompt. It depends on nothing else, so that
/// another engine can resume the response.
std::string generate_token(std::uint64_t prompt_hash, std::uint64_t index);

/// LRU cache of prompt prefixes by hash, limited by their tokens. It records an event for
/// each stored or evicted prefix, which can be read late or get lost, as the options say.
class prefix_cache
{
public:
    prefix_cache(std::int64_t capacity, std::int64_t event_lag_ms,
                 std::int64_t event_gap);

    /// Returns how many tokens at the start of the prompt are cached, then stores all its
    /// prefixes.
    std::int64_t lookup_and_store(std::string const& prompt, std::int64_t now_ms);

    /// Returns the events with sequence >= from that are at least event_lag_ms old.
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

/// Role, models and adapters that orders have set. Refuses an order whose fencing token
/// is lower than the highest received, unless checks_fencing is false.
class applied_orders
{
public:
    explicit applied_orders(bool checks_fencing);

    /// Applies an order {id, fence, kind, value} and returns the HTTP status: 200, 400 if
    /// it is malformed, 409 if it is refused. A change of role takes role_change_ms.
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

/// Slots of the batch, assigned by priority (lower first), then by arrival.
class batch_slots
{
public:
    explicit batch_slots(std::int64_t batch);

    /// Blocks until the request has a slot. Returns false if it was cancelled meanwhile.
    bool acquire(std::string const& request_id, std::int64_t priority,
                 std::int64_t prompt_tokens);

    /// Subtracts a prompt from the prefill tokens that load() reports.
    void finish_prefill(std::int64_t prompt_tokens);

    /// Frees the slot of a request that has ended.
    void release(std::string const& request_id);

    /// Ends a waiting or running request; other ids are ignored.
    void cancel(std::string const& request_id);
    bool is_cancelled(std::string const& request_id);

    /// Cancels all waiting and running requests, as a restart would.
    void cancel_all();

    /// Returns the counts of running and waiting requests and their prefill tokens.
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
