// Usage of this process on its way into the log.
//
// Index: usage_recorder
#ifndef MARIGOLDCRANK_APP_USAGE_RECORDER_HPP
#define MARIGOLDCRANK_APP_USAGE_RECORDER_HPP

#include "app/log_writer.hpp"

#include <algorithm>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Deltas wait in memory until a batch of them was read back from the log. A batch keeps
/// its sequence number over all tries, so that a lost answer never counts it twice.
template <platform_log_port Log>
class usage_recorder
{
public:
    usage_recorder(log_writer<Log>& writer, std::string node, std::string incarnation)
        : writer_(writer), node_(std::move(node)), incarnation_(std::move(incarnation))
    {
    }

    void add(wire::usage_delta delta)
    {
        std::lock_guard const lock(mutex_);
        fresh_.push_back(std::move(delta));
    }

    /// Appends what waits. Called by one thread. True if nothing waits any more.
    bool flush(millis timeout)
    {
        cut_batch();
        while (!unsettled_.empty())
        {
            auto const outcome = writer_.append_as(unsettled_.front(), timeout);
            if (!outcome)
            {
                return false;
            }
            std::lock_guard const lock(mutex_);
            unsettled_.pop_front();
        }
        return true;
    }

    /// Deltas not yet known to be in the log.
    std::size_t waiting() const
    {
        std::lock_guard const lock(mutex_);
        std::size_t           count = fresh_.size();
        for (auto const& record : unsettled_)
        {
            count += static_cast<std::size_t>(record.usage().deltas_size());
        }
        return count;
    }

private:
    void cut_batch()
    {
        std::lock_guard const lock(mutex_);
        if (fresh_.empty())
        {
            return;
        }
        wire::log_record record;
        auto*            batch = record.mutable_usage();
        batch->set_node(node_);
        batch->set_incarnation(incarnation_);
        batch->set_sequence(++sequence_);
        record.set_record_id(node_ + "/" + incarnation_ + "/" +
                             std::to_string(sequence_));
        for (auto& delta : fresh_)
        {
            *batch->add_deltas() = std::move(delta);
        }
        fresh_.clear();
        unsettled_.push_back(std::move(record));
    }

    log_writer<Log>&               writer_;
    std::string                    node_;
    std::string                    incarnation_;
    mutable std::mutex             mutex_;
    std::vector<wire::usage_delta> fresh_;
    std::deque<wire::log_record>   unsettled_;
    std::uint64_t                  sequence_ = 0;
};

} // namespace marigoldcrank

#endif
