// Fold of the log records about non-idempotent calls: which request holds each
// idempotency key, and the result of its call.
//
// Index: 1 call_phase, 2 call_entry, 3 call_fold
#ifndef MARIGOLDCRANK_LEDGER_CALL_FOLD_HPP
#define MARIGOLDCRANK_LEDGER_CALL_FOLD_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace marigoldcrank::wire
{
class call_batch;
class call_intent;
class call_release;
class call_result;
class call_state_snapshot;
} // namespace marigoldcrank::wire

namespace marigoldcrank
{

/// State of the call whose request holds a key. Snapshots store the numeric value.
enum class call_phase
{
    intended, // the owner may dispatch the call, or has dispatched it
    answered, // the response is stored
    unknown   // dispatched; the outcome can't be determined any more
};

/// The request that holds a key, and the response to it.
struct call_entry
{
    std::string   request_id;
    std::string   owner; // entry VM and incarnation; "" if the log lacks the intent
    std::string   body_hash;
    call_phase    phase = call_phase::intended;
    std::uint32_t status = 0;
    std::string   content_type;
    std::string   body;
    bool          body_left_out = false;
    std::uint64_t last_offset = 0; // offset of the newest record about this request

    bool operator==(call_entry const&) const = default;
};

/// Entries by key hash. The first intent for a key holds the key until it is released.
/// All readers of the log see the same first intent, so at most one entry VM dispatches
/// the call. Value type.
class call_fold
{
public:
    /// Each overload folds one record and returns true if the state changed.
    bool apply(std::uint64_t offset, wire::call_intent const& intent);
    bool apply(std::uint64_t offset, wire::call_release const& release);
    bool apply(std::uint64_t offset, wire::call_result const& result);
    bool apply(std::uint64_t offset, wire::call_batch const& batch);

    /// Removes entries and releases whose newest record lies before `offset`, the start
    /// of the retained log.
    void forget_before(std::uint64_t offset);

    /// The request that holds the key; nothing if the key is free.
    std::optional<call_entry> find(std::string const& key_hash) const;

    std::size_t size() const noexcept;

    /// Snapshot of the state; a restored fold continues exactly as this one would.
    void             save(wire::call_state_snapshot& state) const;
    static call_fold restored(wire::call_state_snapshot const& state);

    bool operator==(call_fold const&) const = default;

private:
    /// Only the newest responses are stored with their bodies.
    static constexpr std::size_t max_stored_bodies = 1024;

    void record_body(std::string const& key_hash, call_entry& entry);

    std::map<std::string, call_entry>               entries_;
    std::map<std::string, std::uint64_t>            released_; // request id to offset
    std::set<std::pair<std::uint64_t, std::string>> bodies_;   // offset and key hash
};

} // namespace marigoldcrank

#endif
