// Fold of the log records about non-idempotent calls.
#include "ledger/call_fold.hpp"

#include "wire.pb.h"

#include <algorithm>

namespace marigoldcrank
{

namespace
{
/// Maps the stored number to a phase. A number that this version doesn't know was written
/// by a later version; its outcome counts as unknown.
call_phase phase_of(std::uint32_t number)
{
    return number == 0   ? call_phase::intended
           : number == 1 ? call_phase::answered
                         : call_phase::unknown;
}
} // namespace

bool call_fold::apply(std::uint64_t offset, wire::call_intent const& intent)
{
    // An append that its owner has abandoned can take effect after the owner's release of
    // the key. Nobody dispatches that call, so its intent must not hold the key.
    if (released_.count(intent.request_id()) != 0)
    {
        return false;
    }
    call_entry const entry{.request_id = intent.request_id(),
                           .owner = intent.owner(),
                           .body_hash = intent.body_hash(),
                           .last_offset = offset};
    return entries_.emplace(intent.key_hash(), entry).second;
}

bool call_fold::apply(std::uint64_t offset, wire::call_release const& release)
{
    released_[release.request_id()] = offset;
    auto const found = entries_.find(release.key_hash());
    bool const holds = found != entries_.end() &&
                       found->second.request_id == release.request_id() &&
                       found->second.phase == call_phase::intended;
    if (holds)
    {
        entries_.erase(found);
    }
    return holds;
}

bool call_fold::apply(std::uint64_t offset, wire::call_result const& result)
{
    // The intent may have been truncated from the log before this reader started. The
    // result alone then holds the key.
    auto& entry = entries_[result.key_hash()];
    if (entry.request_id.empty())
    {
        entry.request_id = result.request_id();
        entry.body_hash = result.body_hash();
    }
    if (entry.request_id != result.request_id() || entry.phase != call_phase::intended)
    {
        return false;
    }
    entry.phase = result.status() == 0 ? call_phase::unknown : call_phase::answered;
    entry.status = result.status();
    entry.content_type = result.content_type();
    entry.body = result.body();
    entry.body_left_out = result.body_left_out();
    entry.last_offset = offset;
    record_body(result.key_hash(), entry);
    return true;
}

/// Adds an entry's body to the index of bodies, and drops the oldest body once more than
/// `max_stored_bodies` are stored. Without this limit a snapshot would hold all response
/// bodies of the log's retention time. A repeated request whose body was dropped gets
/// only the status.
void call_fold::record_body(std::string const& key_hash, call_entry& entry)
{
    if (entry.body.empty())
    {
        return;
    }
    bodies_.insert({entry.last_offset, key_hash});
    if (bodies_.size() <= max_stored_bodies)
    {
        return;
    }
    auto const oldest = entries_.find(bodies_.begin()->second);
    if (oldest != entries_.end())
    {
        oldest->second.body.clear();
        oldest->second.body_left_out = true;
    }
    bodies_.erase(bodies_.begin());
}

bool call_fold::apply(std::uint64_t offset, wire::call_batch const& batch)
{
    bool changed = false;
    for (auto const& result : batch.results())
    {
        changed = apply(offset, result) || changed;
    }
    for (auto const& release : batch.releases())
    {
        changed = apply(offset, release) || changed;
    }
    for (auto const& intent : batch.intents())
    {
        changed = apply(offset, intent) || changed;
    }
    return changed;
}

void call_fold::forget_before(std::uint64_t offset)
{
    std::erase_if(entries_,
                  [&](auto const& each) { return each.second.last_offset < offset; });
    bodies_.erase(bodies_.begin(), bodies_.lower_bound({offset, ""}));
    std::erase_if(released_, [&](auto const& each) { return each.second < offset; });
}

std::optional<call_entry> call_fold::find(std::string const& key_hash) const
{
    auto const found = entries_.find(key_hash);
    return found == entries_.end() ? std::nullopt : std::optional{found->second};
}

std::size_t call_fold::size() const noexcept
{
    return entries_.size();
}

void call_fold::save(wire::call_state_snapshot& state) const
{
    for (auto const& [key, entry] : entries_)
    {
        auto* saved = state.add_entries();
        saved->set_key_hash(key);
        saved->set_request_id(entry.request_id);
        saved->set_owner(entry.owner);
        saved->set_body_hash(entry.body_hash);
        saved->set_phase(static_cast<std::uint32_t>(entry.phase));
        saved->set_status(entry.status);
        saved->set_content_type(entry.content_type);
        saved->set_body(entry.body);
        saved->set_body_left_out(entry.body_left_out);
        saved->set_last_offset(entry.last_offset);
    }
    for (auto const& [request_id, offset] : released_)
    {
        auto* saved = state.add_released();
        saved->set_request_id(request_id);
        saved->set_offset(offset);
    }
}

call_fold call_fold::restored(wire::call_state_snapshot const& state)
{
    call_fold value;
    for (auto const& saved : state.entries())
    {
        value.entries_[saved.key_hash()] = {.request_id = saved.request_id(),
                                            .owner = saved.owner(),
                                            .body_hash = saved.body_hash(),
                                            .phase = phase_of(saved.phase()),
                                            .status = saved.status(),
                                            .content_type = saved.content_type(),
                                            .body = saved.body(),
                                            .body_left_out = saved.body_left_out(),
                                            .last_offset = saved.last_offset()};
        value.record_body(saved.key_hash(), value.entries_[saved.key_hash()]);
    }
    for (auto const& saved : state.released())
    {
        value.released_[saved.request_id()] = saved.offset();
    }
    return value;
}

} // namespace marigoldcrank
