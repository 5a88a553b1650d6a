// Fold of usage records.
//
// Index: 1 counted sequences, 2 folding, 3 views, 4 snapshot
#include "ledger/usage_fold.hpp"

#include "wire.pb.h"

namespace marigoldcrank
{

// 1. Counted sequences

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

usage_fold::counted_sequences& usage_fold::sequences_of(incarnation_name const& name)
{
    auto const [place, added] = counted_.try_emplace(name);
    if (added)
    {
        incarnation_order_.push_back(name);
    }
    if (incarnation_order_.size() > max_incarnations)
    {
        counted_.erase(incarnation_order_.front());
        incarnation_order_.pop_front();
    }
    return place->second;
}

// 2. Folding

bool usage_fold::apply(wire::usage_batch const& batch)
{
    if (batch.sequence() == 0)
    {
        return false;
    }
    auto& sequences = sequences_of({batch.node(), batch.incarnation()});
    auto  sequence = batch.sequence();
    bool  any = false;
    for (auto const& delta : batch.deltas())
    {
        auto const own = sequence++;
        // A delta can arrive repeatedly under the same number: its VM appends it again
        // after a lost response, a peer appends it for a VM that has failed, or an old
        // append takes effect late.
        if (sequences.contains(own))
        {
            continue;
        }
        sequences.add(own);
        auto& totals = open_[{delta.workspace(), delta.model()}];
        totals.prompt_tokens += delta.prompt_tokens();
        totals.output_tokens += delta.output_tokens();
        totals.calls += delta.calls();
        any = true;
    }
    return any;
}

bool usage_fold::apply(std::uint64_t offset, wire::window_seal const& seal)
{
    if (seal.window() != last_sealed_ + 1)
    {
        return false;
    }
    last_sealed_ = seal.window();
    sealed_[last_sealed_] = {last_sealed_, offset, seal.ended_at_unix_ms(),
                             std::move(open_)};
    open_.clear();
    forget_reported();
    return true;
}

bool usage_fold::apply(wire::usage_reported const& mark)
{
    if (mark.window() <= last_reported_ || mark.window() > last_sealed_)
    {
        return false;
    }
    last_reported_ = mark.window();
    forget_reported();
    return true;
}

void usage_fold::forget_reported()
{
    while (!sealed_.empty() && sealed_.begin()->first <= last_reported_ &&
           sealed_.begin()->first + max_reported_windows <= last_sealed_)
    {
        sealed_.erase(sealed_.begin());
    }
}

// 3. Views

std::uint64_t usage_fold::last_sealed() const noexcept
{
    return last_sealed_;
}

std::uint64_t usage_fold::last_reported() const noexcept
{
    return last_reported_;
}

std::map<std::uint64_t, sealed_window> const& usage_fold::sealed() const noexcept
{
    return sealed_;
}

std::size_t usage_fold::incarnations() const noexcept
{
    return counted_.size();
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

// 4. Snapshot

namespace
{
using figure_list = google::protobuf::RepeatedPtrField<wire::usage_figure_entry>;

void write_table(usage_table const& table, figure_list& list)
{
    for (auto const& [key, totals] : table)
    {
        auto* entry = list.Add();
        entry->set_workspace(key.first);
        entry->set_model(key.second);
        entry->set_prompt_tokens(totals.prompt_tokens);
        entry->set_output_tokens(totals.output_tokens);
        entry->set_calls(totals.calls);
    }
}

usage_table read_table(figure_list const& list)
{
    usage_table table;
    for (auto const& entry : list)
    {
        table[{entry.workspace(), entry.model()}] = {
            entry.prompt_tokens(), entry.output_tokens(), entry.calls()};
    }
    return table;
}
} // namespace

void usage_fold::save(wire::usage_state_snapshot& state) const
{
    for (auto const& name : incarnation_order_)
    {
        auto const& sequences = counted_.at(name);
        auto*       entry = state.add_counted();
        entry->set_node(name.first);
        entry->set_incarnation(name.second);
        entry->set_through(sequences.through);
        entry->mutable_above()->Add(sequences.above.begin(), sequences.above.end());
    }
    write_table(open_, *state.mutable_open());
    for (auto const& [number, window] : sealed_)
    {
        auto* entry = state.add_sealed();
        entry->set_window(number);
        entry->set_sealed_at(window.sealed_at);
        entry->set_ended_at_unix_ms(window.ended_at_unix_ms);
        write_table(window.figures, *entry->mutable_figures());
    }
    state.set_last_sealed(last_sealed_);
    state.set_last_reported(last_reported_);
}

usage_fold usage_fold::restored(wire::usage_state_snapshot const& state)
{
    usage_fold fold;
    for (auto const& entry : state.counted())
    {
        auto& sequences = fold.sequences_of({entry.node(), entry.incarnation()});
        sequences.through = entry.through();
        sequences.above.insert(entry.above().begin(), entry.above().end());
    }
    fold.open_ = read_table(state.open());
    for (auto const& entry : state.sealed())
    {
        fold.sealed_[entry.window()] = {entry.window(), entry.sealed_at(),
                                        entry.ended_at_unix_ms(),
                                        read_table(entry.figures())};
    }
    fold.last_sealed_ = state.last_sealed();
    fold.last_reported_ = state.last_reported();
    return fold;
}

} // namespace marigoldcrank
