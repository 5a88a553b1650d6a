// Fold of the calls that may not be repeated: which try of a key runs, and what came of
// it.
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

/// What is known of the try that holds a key.
enum class call_phase
{
    intended, // its owner may dispatch it, or has done so
    answered, // the answer is kept
    unknown   // dispatched, and its outcome will never be known
};

/// The try that holds a key, and its answer.
struct call_entry
{
    std::string   request_id;
    std::string   owner; // entry VM and incarnation; "" if its intent has expired
    std::string   body_hash;
    call_phase    phase = call_phase::intended;
    std::uint32_t status = 0;
    std::string   content_type;
    std::string   body;
    bool          body_left_out = false;
    std::uint64_t last_offset = 0; // of its newest record

    bool operator==(call_entry const&) const = default;
};

/// By key hash. The first intent for a key holds it until it is released; every reader of
/// the log sees the same first one, which is why at most one entry VM dispatches a call.
/// Value type.
class call_fold
{
public:
    /// Each returns true if it changed anything.
    bool apply(std::uint64_t offset, wire::call_intent const& intent);
    bool apply(std::uint64_t offset, wire::call_release const& release);
    bool apply(std::uint64_t offset, wire::call_result const& result);
    bool apply(std::uint64_t offset, wire::call_batch const& batch);

    /// Forgets what the log itself has forgotten.
    void forget_before(std::uint64_t offset);

    /// The try that holds the key.
    std::optional<call_entry> find(std::string const& key_hash) const;

    std::size_t size() const noexcept;

    void             save(wire::call_state_snapshot& state) const;
    static call_fold restored(wire::call_state_snapshot const& state);

    bool operator==(call_fold const&) const = default;

private:
    static constexpr std::size_t bodies_kept = 1024; // of the newest answers

    void note_body(std::string const& key_hash, call_entry& entry);

    std::map<std::string, call_entry>               entries_;
    std::map<std::string, std::uint64_t>            released_; // request id to offset
    std::set<std::pair<std::uint64_t, std::string>> bodies_;   // offset and key hash
};

} // namespace marigoldcrank

#endif
