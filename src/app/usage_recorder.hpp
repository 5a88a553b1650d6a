// Usage of this process on its way into the log.
//
// Index: 1 recorder_options, 2 usage_recorder
#ifndef MARIGOLDCRANK_APP_USAGE_RECORDER_HPP
#define MARIGOLDCRANK_APP_USAGE_RECORDER_HPP

#include "app/log_writer.hpp"
#include "app/peer_roster.hpp"
#include "app/usage_custody.hpp"
#include "ports/peer_port.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace marigoldcrank
{

struct recorder_options
{
    std::string node;
    std::string incarnation;
    millis      handoff{100}; // 100  wait for one peer's acknowledgement
};

/// Every delta has a number of its own. It waits in memory until the ledger has counted
/// it, and a peer keeps a copy meanwhile. All members are safe to call from any thread.
template <platform_log_port Log, peer_port Peers>
class usage_recorder
{
public:
    usage_recorder(log_writer<Log>& writer, ledger_store& store, Peers& peers,
                   peer_roster& roster, recorder_options options)
        : writer_(writer), store_(store), peers_(peers), roster_(roster),
          options_(std::move(options))
    {
    }

    /// Takes a delta; called before its answer ends. Returns once a peer keeps a copy, or
    /// after a bounded wait if none answers: a caller must not lose a whole answer
    /// because a bill is less safe. True if a peer has it.
    bool add(wire::usage_delta delta)
    {
        std::uint64_t sequence = 0;
        {
            std::lock_guard const lock(mutex_);
            sequence = ++last_sequence_;
            waiting_[sequence] = {std::move(delta), ""};
        }
        return hand_off(sequence);
    }

    /// A peer says that it keeps a delta.
    void acknowledged(std::string const& peer, wire::usage_handoff_ack const& ack)
    {
        if (ack.node() != options_.node || ack.incarnation() != options_.incarnation)
        {
            return;
        }
        {
            std::lock_guard const lock(mutex_);
            auto const            found = waiting_.find(ack.sequence());
            if (found != waiting_.end())
            {
                found->second.keeper = peer;
            }
        }
        acknowledged_.notify_all();
    }

    /// Appends what the ledger has not counted. Called by one thread. True if nothing
    /// waits any more.
    bool flush(millis timeout)
    {
        forget_counted();
        for (auto const& batch : batches())
        {
            if (!append_batch(writer_, batch, timeout))
            {
                return false;
            }
        }
        forget_counted();
        return waiting() == 0;
    }

    /// Deltas whose keeper is gone are handed to another peer.
    void hand_off_again(boot_clock::time_point now)
    {
        auto const keepers = roster_.keepers(now, 0);
        for (auto const sequence : unkept(keepers))
        {
            send(keepers.front(), sequence);
        }
    }

    /// Deltas not yet known to be in the log.
    std::size_t waiting() const
    {
        std::lock_guard const lock(mutex_);
        return waiting_.size();
    }

private:
    static constexpr std::size_t tries = 2; // peers asked before an answer ends

    struct waiting_delta
    {
        wire::usage_delta delta;
        std::string       keeper; // ""  the peer that has a copy
    };

    bool hand_off(std::uint64_t sequence)
    {
        auto const keepers = roster_.keepers(boot_clock::now(), sequence);
        for (std::size_t index = 0; index < std::min(tries, keepers.size()); ++index)
        {
            send(keepers[index], sequence);
            std::unique_lock lock(mutex_);
            if (acknowledged_.wait_for(lock, options_.handoff,
                                       [&] { return is_kept(sequence); }))
            {
                return true;
            }
            lock.unlock();
            roster_.failed(keepers[index], boot_clock::now());
        }
        return false;
    }

    /// Under the lock. A delta that the ledger has counted is safe as well.
    bool is_kept(std::uint64_t sequence) const
    {
        auto const found = waiting_.find(sequence);
        return found == waiting_.end() || !found->second.keeper.empty();
    }

    void send(std::string const& peer, std::uint64_t sequence)
    {
        wire::peer_message message;
        message.set_from(options_.node);
        message.set_incarnation(options_.incarnation);
        auto* batch = message.mutable_handoff();
        batch->set_node(options_.node);
        batch->set_incarnation(options_.incarnation);
        batch->set_sequence(sequence);
        {
            std::lock_guard const lock(mutex_);
            auto const            found = waiting_.find(sequence);
            if (found == waiting_.end())
            {
                return;
            }
            *batch->add_deltas() = found->second.delta;
        }
        peers_.send(peer, message);
    }

    std::vector<std::uint64_t> unkept(std::vector<std::string> const& keepers) const
    {
        std::vector<std::uint64_t> result;
        std::lock_guard const      lock(mutex_);
        for (auto const& [sequence, entry] : waiting_)
        {
            bool const kept =
                std::find(keepers.begin(), keepers.end(), entry.keeper) != keepers.end();
            if (!kept && !keepers.empty())
            {
                result.push_back(sequence);
            }
        }
        return result;
    }

    void forget_counted()
    {
        store_.with_ledger(
            [&](ledger const& value)
            {
                std::lock_guard const lock(mutex_);
                return std::erase_if(waiting_,
                                     [&](auto const& entry) {
                                         return value.usage().counted(
                                             options_.node, options_.incarnation,
                                             entry.first);
                                     });
            });
    }

    std::vector<wire::usage_batch> batches() const
    {
        batch_cutter          cutter(options_.node, options_.incarnation);
        std::lock_guard const lock(mutex_);
        for (auto const& [sequence, entry] : waiting_)
        {
            cutter.add(sequence, entry.delta);
        }
        return std::move(cutter).batches();
    }

    log_writer<Log>&                       writer_;
    ledger_store&                          store_;
    Peers&                                 peers_;
    peer_roster&                           roster_;
    recorder_options                       options_;
    mutable std::mutex                     mutex_;
    std::condition_variable                acknowledged_;
    std::map<std::uint64_t, waiting_delta> waiting_;
    std::uint64_t                          last_sequence_ = 0;
};

/// Appends a batch and waits until it was read back. False: its fate is unknown.
template <platform_log_port Log>
bool append_batch(log_writer<Log>& writer, wire::usage_batch const& batch, millis timeout)
{
    wire::log_record record;
    *record.mutable_usage() = batch;
    return writer.append(record, timeout).has_value();
}

} // namespace marigoldcrank

#endif
