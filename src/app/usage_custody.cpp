// Custody of other nodes' usage, and splitting of usage into batches.
//
// Index: 1 usage_custody, 2 batch_splitter
#include "app/usage_custody.hpp"

namespace marigoldcrank
{

// 1. usage_custody

void usage_custody::take(wire::usage_batch const& batch, boot_clock::time_point now)
{
    std::lock_guard const lock(mutex_);
    auto&                 own = held_[{batch.node(), batch.incarnation()}];
    auto                  sequence = batch.sequence();
    for (auto const& delta : batch.deltas())
    {
        own.try_emplace(sequence++, held_delta{delta, now});
    }
}

void usage_custody::erase_counted(usage_fold const& counted)
{
    std::lock_guard const lock(mutex_);
    for (auto each = held_.begin(); each != held_.end();)
    {
        auto const& name = each->first;
        std::erase_if(each->second, [&](auto const& entry)
                      { return counted.counted(name.first, name.second, entry.first); });
        each = each->second.empty() ? held_.erase(each) : std::next(each);
    }
}

std::vector<wire::usage_batch> usage_custody::overdue(boot_clock::time_point now,
                                                      millis                 hold,
                                                      liveness const&        alive) const
{
    std::vector<wire::usage_batch> result;
    std::lock_guard const          lock(mutex_);
    for (auto const& [name, deltas] : held_)
    {
        auto const wait = alive(name.first, name.second) ? hold * live_node_factor : hold;
        batch_splitter splitter(name.first, name.second);
        for (auto const& [sequence, held] : deltas)
        {
            if (now - held.received_at >= wait)
            {
                splitter.add(sequence, held.delta);
            }
        }
        for (auto& batch : std::move(splitter).batches())
        {
            result.push_back(std::move(batch));
        }
    }
    return result;
}

std::size_t usage_custody::size() const
{
    std::lock_guard const lock(mutex_);
    std::size_t           count = 0;
    for (auto const& [name, deltas] : held_)
    {
        count += deltas.size();
    }
    return count;
}

// 2. batch_splitter

batch_splitter::batch_splitter(std::string node, std::string incarnation)
    : node_(std::move(node)), incarnation_(std::move(incarnation))
{
}

void batch_splitter::add(std::uint64_t sequence, wire::usage_delta const& delta)
{
    bool const full =
        !batches_.empty() && batches_.back().deltas_size() >= max_batch_deltas;
    if (batches_.empty() || full || sequence != next_)
    {
        auto& batch = batches_.emplace_back();
        batch.set_node(node_);
        batch.set_incarnation(incarnation_);
        batch.set_sequence(sequence);
    }
    *batches_.back().add_deltas() = delta;
    next_ = sequence + 1;
}

std::vector<wire::usage_batch> batch_splitter::batches() &&
{
    return std::move(batches_);
}

} // namespace marigoldcrank
