// Runs calls that carry an idempotency key at most once: writes their claims, releases
// and results to the log.
//
// Index: 1 idempotency_log_options, 2 call_claim, 3 idempotency_log: claims,
//        4 idempotency_log: group commit, 5 idempotency_log: pending writes
#ifndef MARIGOLDCRANK_APP_IDEMPOTENCY_LOG_HPP
#define MARIGOLDCRANK_APP_IDEMPOTENCY_LOG_HPP

#include "app/ledger_store.hpp"
#include "app/log_writer.hpp"
#include "domain/boot_clock.hpp"
#include "domain/span.hpp"
#include "ports/platform_port.hpp"
#include "wire.pb.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace marigoldcrank
{

struct idempotency_log_options
{
    millis      max_claim_wait{1500};    // 1500   ms; longest wait to read an intent back
    millis      append_retry_pause{200}; // 200    ms; between appends to a failing log
    std::size_t max_stored_body = 65536; // 65536  bytes; larger responses are not stored

    bool operator==(idempotency_log_options const&) const = default;
};

/// Whether an attempt under an idempotency key may be dispatched.
enum class claim_verdict
{
    granted,        // dispatch it, then call settle or release
    answered,       // an earlier attempt ran: return its response
    key_reused,     // the key was used with another body
    in_progress,    // an earlier attempt is still running
    owner_lost,     // the outcome of an earlier attempt is unknown
    log_unavailable // the log took no claim: do not dispatch
};

struct call_claim
{
    claim_verdict verdict = claim_verdict::log_unavailable;
    call_entry    entry; // of the earlier attempt, or of this one if granted

    bool operator==(call_claim const&) const = default;
};

/// Thread-safe. One thread is expected to call `flush` periodically. `is_alive` tells
/// whether the VM that owns a claim still runs.
template <platform_log_port Log>
class idempotency_log
{
public:
    using liveness = std::function<bool(std::string const& owner)>;

    idempotency_log(log_writer<Log>& writer, ledger_store& store, std::string self,
                    liveness is_alive, idempotency_log_options options)
        : writer_(writer), store_(store), self_(std::move(self)),
          is_alive_(std::move(is_alive)), options_(options)
    {
    }

    // 3. Claims

    /// Writes a claim for the key to the log and reads it back. `intent` has every field
    /// except the owner.
    call_claim claim(wire::call_intent intent)
    {
        intent.set_owner(self_);
        auto const earlier = find(intent.key_hash());
        auto       verdict = earlier ? decide(*earlier, intent) : call_claim{};
        if (earlier && !may_be_outdated(*earlier))
        {
            return verdict;
        }
        if (log_is_failing())
        {
            return verdict;
        }
        {
            std::lock_guard const lock(mutex_);
            running_.insert(intent.request_id());
        }
        auto const deadline = boot_clock::now() + options_.max_claim_wait;
        bool       sent = false;
        if (!commit_intent(intent, deadline, sent))
        {
            // The intent may still reach the log later. The call was not and never will
            // be dispatched, so a release lets the next attempt with this key run.
            withdraw_claim(intent, sent);
            return verdict;
        }
        auto const holder = find(intent.key_hash());
        if (holder && holder->request_id == intent.request_id())
        {
            return {claim_verdict::granted, *holder};
        }
        remove_running(intent.request_id());
        return holder ? decide(*holder, intent)
                      : call_claim{claim_verdict::in_progress, {}};
    }

    /// Records the response of a granted attempt, or an unknown outcome (status 0).
    /// Returns after the result was read back or the attempt to write it failed; `flush`
    /// then retries.
    void settle(wire::call_intent const& intent, wire::call_result result)
    {
        result.set_key_hash(intent.key_hash());
        result.set_request_id(intent.request_id());
        result.set_body_hash(intent.body_hash());
        if (result.body().size() > options_.max_stored_body)
        {
            result.clear_body();
            result.set_body_left_out(true);
        }
        pending_write pending;
        pending.result = std::move(result);
        add_pending(intent.request_id(), std::move(pending));
        commit_pending(options_.append_retry_pause);
    }

    /// Gives up a granted claim whose call was not dispatched and never will be.
    void release(wire::call_intent const& intent)
    {
        add_pending_release(intent);
        commit_pending(options_.append_retry_pause);
    }

    /// Retries all pending writes. Returns true if none is left.
    bool flush(millis timeout)
    {
        commit_pending(timeout);
        std::lock_guard const lock(mutex_);
        return pending_writes_.empty();
    }

private:
    struct queued_intent
    {
        wire::call_intent intent;
        std::string       record_id; // of the record that it was sent in; "" before
    };

    struct pending_write
    {
        std::optional<wire::call_result>  result;
        std::optional<wire::call_release> release;
        std::string record_id; // as above; "" again if it was not read back
    };

    std::optional<call_entry> find(std::string const& key_hash) const
    {
        return store_.with_ledger([&](ledger const& value)
                                  { return value.calls().find(key_hash); });
    }

    call_claim decide(call_entry const& entry, wire::call_intent const& intent) const
    {
        if (entry.body_hash != intent.body_hash())
        {
            return {claim_verdict::key_reused, entry};
        }
        switch (entry.phase)
        {
        case call_phase::answered:
            return {claim_verdict::answered, entry};
        case call_phase::unknown:
            return {claim_verdict::owner_lost, entry};
        case call_phase::intended:
            break;
        }
        bool const running = entry.owner == self_ ? is_running_here(entry.request_id)
                                                  : is_alive_(entry.owner);
        return {running ? claim_verdict::in_progress : claim_verdict::owner_lost, entry};
    }

    /// Whether the log may hold the result of an earlier attempt that was not read yet.
    /// Another VM returns its response once it has read its own result back, and a repeat
    /// may arrive here sooner. The intent of the repeat, once read back, shows that every
    /// earlier record was read.
    bool may_be_outdated(call_entry const& entry) const
    {
        return entry.phase == call_phase::intended && entry.owner != self_;
    }

    bool is_running_here(std::string const& request_id) const
    {
        std::lock_guard const lock(mutex_);
        return running_.count(request_id) != 0 || pending_writes_.count(request_id) != 0;
    }

    void remove_running(std::string const& request_id)
    {
        std::lock_guard const lock(mutex_);
        running_.erase(request_id);
    }

    void withdraw_claim(wire::call_intent const& intent, bool sent)
    {
        if (sent)
        {
            add_pending_release(intent);
            return;
        }
        remove_running(intent.request_id());
    }

    void add_pending_release(wire::call_intent const& intent)
    {
        pending_write pending;
        pending.release.emplace();
        pending.release->set_key_hash(intent.key_hash());
        pending.release->set_request_id(intent.request_id());
        add_pending(intent.request_id(), std::move(pending));
    }

    void add_pending(std::string const& request_id, pending_write step)
    {
        std::lock_guard const lock(mutex_);
        pending_writes_[request_id] = std::move(step);
        running_.erase(request_id);
    }

    // 4. Group commit

    /// Queues the intent; this thread, or another one that is already appending, writes
    /// all queued intents in one record. Returns true once the record was read back.
    /// `sent` is set to whether the log may have received the intent.
    bool commit_intent(wire::call_intent const& intent, boot_clock::time_point deadline,
                       bool& sent)
    {
        auto const& id = intent.request_id();
        {
            std::lock_guard const lock(mutex_);
            queued_intents_[id] = {intent, ""};
        }
        std::string record_id;
        {
            // While one thread appends, others queue their intents; the next append takes
            // all of them.
            std::unique_lock append_lock(append_mutex_, std::defer_lock);
            if (append_lock.try_lock_for(remaining(deadline)))
            {
                append_queued();
            }
            std::lock_guard const lock(mutex_);
            record_id = queued_intents_[id].record_id;
            queued_intents_.erase(id);
        }
        sent = !record_id.empty();
        bool const read_back =
            sent && store_.wait_for(record_id, remaining(deadline)).has_value();
        finish_pending(record_id, read_back);
        return read_back;
    }

    /// Appends all queued intents and unsent pending writes as one record. Returns the id
    /// of the record, or "" if there was nothing to write.
    std::string append_queued()
    {
        wire::log_record record;
        {
            std::lock_guard const lock(mutex_);
            auto const            id = random_id(record_id_digits);
            auto* const           batch = record.mutable_calls();
            for (auto& [request, pending] : pending_writes_)
            {
                add(pending, id, *batch);
            }
            for (auto& [request, queued] : queued_intents_)
            {
                if (queued.record_id.empty())
                {
                    queued.record_id = id;
                    *batch->add_intents() = queued.intent;
                }
            }
            record.set_record_id(id);
        }
        if (record.calls().ByteSizeLong() == 0)
        {
            return {};
        }
        record_append_result(writer_.send(record));
        return record.record_id();
    }

    static void add(pending_write& pending, std::string const& record_id,
                    wire::call_batch& batch)
    {
        if (!pending.record_id.empty())
        {
            return;
        }
        pending.record_id = record_id;
        if (pending.result)
        {
            *batch.add_results() = *pending.result;
        }
        if (pending.release)
        {
            *batch.add_releases() = *pending.release;
        }
    }

    static millis remaining(boot_clock::time_point deadline)
    {
        auto const left = deadline - boot_clock::now();
        return std::max(millis{0}, std::chrono::duration_cast<millis>(left));
    }

    // 5. Pending writes

    /// True if new claims are refused without trying the log. While writes are pending,
    /// `flush` probes the log; otherwise a claim probes it after each pause.
    bool log_is_failing() const
    {
        std::lock_guard const lock(mutex_);
        return append_failed_ &&
               (!pending_writes_.empty() || boot_clock::now() < refuse_until_);
    }

    void record_append_result(bool appended)
    {
        std::lock_guard const lock(mutex_);
        append_failed_ = !appended;
        refuse_until_ = boot_clock::now() + options_.append_retry_pause;
    }

    /// Appends all pending writes and removes those that were read back. A repeated write
    /// has no effect in the fold.
    void commit_pending(millis timeout)
    {
        auto const  deadline = boot_clock::now() + timeout;
        std::string record_id;
        {
            std::unique_lock append_lock(append_mutex_, std::defer_lock);
            if (!append_lock.try_lock_for(timeout))
            {
                return;
            }
            record_id = append_queued();
        }
        if (record_id.empty())
        {
            return;
        }
        finish_pending(record_id,
                       store_.wait_for(record_id, remaining(deadline)).has_value());
    }

    /// Removes the pending writes of a record that was read back. If it was not, they are
    /// sent again with the next record. Any append carries pending writes, including that
    /// of an intent.
    void finish_pending(std::string const& record_id, bool read_back)
    {
        std::lock_guard const lock(mutex_);
        for (auto each = pending_writes_.begin(); each != pending_writes_.end();)
        {
            bool const in_record = each->second.record_id == record_id;
            if (in_record && !read_back)
            {
                each->second.record_id.clear();
            }
            each = in_record && read_back ? pending_writes_.erase(each) : std::next(each);
        }
    }

    static constexpr std::size_t record_id_digits = 24;

    log_writer<Log>&                     writer_;
    ledger_store&                        store_;
    std::string                          self_;
    liveness                             is_alive_;
    idempotency_log_options              options_;
    std::timed_mutex                     append_mutex_;
    mutable std::mutex                   mutex_;
    std::map<std::string, queued_intent> queued_intents_; // by request id
    std::map<std::string, pending_write> pending_writes_; // by request id
    std::set<std::string>                running_; // attempts being claimed or dispatched
    bool                                 append_failed_ = false; // the last append failed
    boot_clock::time_point               refuse_until_{};
};

} // namespace marigoldcrank

#endif
