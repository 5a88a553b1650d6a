// Appends the usage of this process to the log, and stores a copy at a peer meanwhile.
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

/// Identity of this process, and its timeout for handoffs of usage.
struct recorder_options
{
    std::string node;
    std::string incarnation;
    millis      handoff{100}; // 100  wait for the acknowledgement of one peer
};

/// Each delta has its own sequence number. It stays in memory until the ledger has
/// counted it; meanwhile a peer holds a copy, for the case that this process fails.
/// Thread-safe, except that `flush` must be called by one thread only.
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

    /// Adds a delta; called before the response to the caller ends. Returns true once a
    /// peer holds a copy, and false after a bounded wait: the call must not fail because
    /// its usage is stored less safely.
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

    /// Handles a peer's acknowledgement that it holds a delta.
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
                found->second.custodian = peer;
            }
        }
        acknowledged_.notify_all();
    }

    /// Appends the deltas that the ledger has not counted. Called by one thread. True if
    /// no delta is waiting afterwards.
    bool flush(millis timeout)
    {
        erase_counted();
        for (auto const& batch : batches())
        {
            if (!append_batch(writer_, batch, timeout))
            {
                return false;
            }
        }
        erase_counted();
        return waiting() == 0;
    }

    /// Hands deltas whose custodian is gone to another peer.
    void hand_off_again(boot_clock::time_point now)
    {
        auto const custodians = roster_.custodians(now, 0);
        for (auto const sequence : without_custodian(custodians))
        {
            send(custodians.front(), sequence);
        }
    }

    /// Number of deltas that are not yet known to be in the log.
    std::size_t waiting() const
    {
        std::lock_guard const lock(mutex_);
        return waiting_.size();
    }

private:
    static constexpr std::size_t max_peers_tried = 2; // before a response ends

    struct waiting_delta
    {
        wire::usage_delta delta;
        std::string       custodian; // ""  peer that holds a copy
    };

    bool hand_off(std::uint64_t sequence)
    {
        auto const custodians = roster_.custodians(boot_clock::now(), sequence);
        for (std::size_t index = 0; index < std::min(max_peers_tried, custodians.size());
             ++index)
        {
            send(custodians[index], sequence);
            std::unique_lock lock(mutex_);
            if (acknowledged_.wait_for(lock, options_.handoff,
                                       [&] { return has_custodian(sequence); }))
            {
                return true;
            }
            lock.unlock();
            roster_.record_failure(custodians[index], boot_clock::now());
        }
        return false;
    }

    /// Requires the lock. Also true for a delta that the ledger has counted.
    bool has_custodian(std::uint64_t sequence) const
    {
        auto const found = waiting_.find(sequence);
        return found == waiting_.end() || !found->second.custodian.empty();
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

    std::vector<std::uint64_t>
    without_custodian(std::vector<std::string> const& custodians) const
    {
        std::vector<std::uint64_t> result;
        std::lock_guard const      lock(mutex_);
        for (auto const& [sequence, entry] : waiting_)
        {
            bool const kept = std::find(custodians.begin(), custodians.end(),
                                        entry.custodian) != custodians.end();
            if (!kept && !custodians.empty())
            {
                result.push_back(sequence);
            }
        }
        return result;
    }

    void erase_counted()
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
        batch_splitter        splitter(options_.node, options_.incarnation);
        std::lock_guard const lock(mutex_);
        for (auto const& [sequence, entry] : waiting_)
        {
            splitter.add(sequence, entry.delta);
        }
        return std::move(splitter).batches();
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

/// Appends a batch and waits until it is read back. False if the outcome is unknown.
template <platform_log_port Log>
bool append_batch(log_writer<Log>& writer, wire::usage_batch const& batch, millis timeout)
{
    wire::log_record record;
    *record.mutable_usage() = batch;
    return writer.append(record, timeout).has_value();
}

} // namespace marigoldcrank

#endif
