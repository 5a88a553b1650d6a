// Fold of the calls that may not be repeated.
#include "ledger/call_fold.hpp"

#include "wire.pb.h"

namespace marigoldcrank
{

bool call_fold::apply(std::uint64_t offset, wire::call_intent const& intent)
{
    // An append that was given up on can take effect after the release that its owner
    // wrote for it. Nobody will dispatch it, so it must not hold the key.
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
    // Its intent may have expired from the log before a reader started: the result alone
    // holds the key as well.
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
    return true;
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

} // namespace marigoldcrank
