// Fold of usage records.
#include "ledger/usage_fold.hpp"

#include "wire.pb.h"

namespace marigoldcrank
{

bool usage_fold::counted_sequences::contains(std::uint64_t sequence) const
{
    return sequence <= through || above.count(sequence) != 0;
}

void usage_fold::counted_sequences::add(std::uint64_t sequence)
{
    above.insert(sequence);
    while (!above.empty() && *above.begin() == through + 1)
    {
        ++through;
        above.erase(above.begin());
    }
}

bool usage_fold::apply(wire::usage_batch const& batch)
{
    auto& sequences = counted_[{batch.node(), batch.incarnation()}];
    if (sequences.contains(batch.sequence()))
    {
        return false;
    }
    sequences.add(batch.sequence());
    for (auto const& delta : batch.deltas())
    {
        auto& figure = open_[{delta.workspace(), delta.model()}];
        figure.prompt_tokens += delta.prompt_tokens();
        figure.output_tokens += delta.output_tokens();
        figure.calls += delta.calls();
    }
    return true;
}

bool usage_fold::apply(std::uint64_t offset, wire::window_seal const& seal)
{
    if (seal.window() != last_sealed() + 1)
    {
        return false;
    }
    sealed_[seal.window()] = {seal.window(), offset, seal.ended_at_unix_ms(),
                              std::move(open_)};
    open_.clear();
    return true;
}

std::uint64_t usage_fold::last_sealed() const noexcept
{
    return sealed_.empty() ? 0 : sealed_.rbegin()->first;
}

std::map<std::uint64_t, sealed_window> const& usage_fold::sealed() const noexcept
{
    return sealed_;
}

usage_table const& usage_fold::open() const noexcept
{
    return open_;
}

bool usage_fold::counted(std::string const& node, std::string const& incarnation,
                         std::uint64_t sequence) const
{
    auto const found = counted_.find({node, incarnation});
    return found != counted_.end() && found->second.contains(sequence);
}

} // namespace marigoldcrank
