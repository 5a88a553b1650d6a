// Keyed calls that may not be repeated: claims, releases and results in the log.
//
// Index: 1 call_book_options, 2 call_claim, 3 call_book: claims, 4 call_book: group
//        commit, 5 call_book: what must reach the log
#ifndef MARIGOLDCRANK_APP_CALL_BOOK_HPP
#define MARIGOLDCRANK_APP_CALL_BOOK_HPP

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

struct call_book_options
{
    millis      claim_wait{1500};  // 1500   longest wait for an intent to be read back
    millis      outage_pause{200}; // 200    between tries of a log that failed
    std::size_t kept_body = 65536; // 65536  bytes of an answer kept for a second try

    bool operator==(call_book_options const&) const = default;
};

/// What a try may do.
enum class claim_verdict
{
    granted,        // dispatch it, then settle or release it
    answered,       // an earlier try ran: give its answer
    key_reused,     // the key belongs to another body
    in_progress,    // an earlier try runs
    owner_lost,     // an earlier try has no known outcome
    log_unavailable // nothing may be dispatched
};

struct call_claim
{
    claim_verdict verdict = claim_verdict::log_unavailable;
    call_entry    entry; // of the earlier try

    bool operator==(call_claim const&) const = default;
};

/// Safe to use from several threads. `flush` is called by one, again and again.
template <platform_log_port Log>
class call_book
{
public:
    using liveness = std::function<bool(std::string const& owner)>;

    call_book(log_writer<Log>& writer, ledger_store& store, std::string self,
              liveness alive, call_book_options options)
        : writer_(writer), store_(store), self_(std::move(self)),
          alive_(std::move(alive)), options_(options)
    {
    }

    // 3. Claims

    /// Asks the log for the right to dispatch. `intent` has all but the owner.
    call_claim claim(wire::call_intent intent)
    {
        intent.set_owner(self_);
        if (auto const earlier = find(intent.key_hash()))
        {
            return judge(*earlier, intent);
        }
        if (log_is_out())
        {
            return {};
        }
        {
            std::lock_guard const lock(mutex_);
            running_.insert(intent.request_id());
        }
        auto const until = boot_clock::now() + options_.claim_wait;
        bool       sent = false;
        if (!commit_intent(intent, until, sent))
        {
            // The intent may take effect at any later time. It was not dispatched and
            // never will be; the release lets the next try of this key run.
            give_up(intent, sent);
            return {};
        }
        auto const holder = find(intent.key_hash());
        if (holder && holder->request_id == intent.request_id())
        {
            return {claim_verdict::granted, *holder};
        }
        leave(intent.request_id());
        return holder ? judge(*holder, intent)
                      : call_claim{claim_verdict::in_progress, {}};
    }

    /// The granted try was answered, or its outcome is unknown (status 0). Returns once
    /// the log has taken the result or failed to; then it is tried again by `flush`.
    void settle(wire::call_intent const& intent, wire::call_result result)
    {
        result.set_key_hash(intent.key_hash());
        result.set_request_id(intent.request_id());
        result.set_body_hash(intent.body_hash());
        if (result.body().size() > options_.kept_body)
        {
            result.clear_body();
            result.set_body_left_out(true);
        }
        owed_step owed;
        owed.result = std::move(result);
        owe(intent.request_id(), std::move(owed));
        commit_owed(options_.outage_pause);
    }

    /// The granted try was not dispatched, and never will be.
    void release(wire::call_intent const& intent)
    {
        owe_release(intent);
        commit_owed(options_.outage_pause);
    }

    /// Tries what the log still has to take. True if nothing is left.
    bool flush(millis timeout)
    {
        commit_owed(timeout);
        std::lock_guard const lock(mutex_);
        return owed_.empty();
    }

private:
    struct queued_intent
    {
        wire::call_intent intent;
        std::string       record_id; // of the batch that it was sent in; "" before
    };

    struct owed_step
    {
        std::optional<wire::call_result>  result;
        std::optional<wire::call_release> release;
        std::string                       record_id; // as above; "" again if it was lost
    };

    std::optional<call_entry> find(std::string const& key_hash) const
    {
        return store_.with_ledger([&](ledger const& value)
                                  { return value.calls().find(key_hash); });
    }

    call_claim judge(call_entry const& entry, wire::call_intent const& intent) const
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
        bool const runs =
            entry.owner == self_ ? runs_here(entry.request_id) : alive_(entry.owner);
        return {runs ? claim_verdict::in_progress : claim_verdict::owner_lost, entry};
    }

    bool runs_here(std::string const& request_id) const
    {
        std::lock_guard const lock(mutex_);
        return running_.count(request_id) != 0 || owed_.count(request_id) != 0;
    }

    void leave(std::string const& request_id)
    {
        std::lock_guard const lock(mutex_);
        running_.erase(request_id);
    }

    void give_up(wire::call_intent const& intent, bool sent)
    {
        if (sent)
        {
            owe_release(intent);
            return;
        }
        leave(intent.request_id());
    }

    void owe_release(wire::call_intent const& intent)
    {
        owed_step owed;
        owed.release.emplace();
        owed.release->set_key_hash(intent.key_hash());
        owed.release->set_request_id(intent.request_id());
        owe(intent.request_id(), std::move(owed));
    }

    void owe(std::string const& request_id, owed_step step)
    {
        std::lock_guard const lock(mutex_);
        owed_[request_id] = std::move(step);
        running_.erase(request_id);
    }

    // 4. Group commit

    /// Queues the intent and has it appended, by this thread or by another that appends
    /// for all that wait. True once it was read back. `sent` tells whether the log may
    /// have got it.
    bool commit_intent(wire::call_intent const& intent, boot_clock::time_point until,
                       bool& sent)
    {
        auto const& id = intent.request_id();
        {
            std::lock_guard const lock(mutex_);
            waiting_[id] = {intent, ""};
        }
        std::string record_id;
        {
            // While one thread appends, the others gather here: the next append takes
            // all of them.
            std::unique_lock turn(append_turn_, std::defer_lock);
            if (turn.try_lock_for(remaining(until)))
            {
                append_waiting();
            }
            std::lock_guard const lock(mutex_);
            record_id = waiting_[id].record_id;
            waiting_.erase(id);
        }
        sent = !record_id.empty();
        bool const read_back =
            sent && store_.wait_for(record_id, remaining(until)).has_value();
        conclude_owed(record_id, read_back);
        return read_back;
    }

    /// One append for all that waits. Returns the record's id; "" if nothing waited.
    std::string append_waiting()
    {
        wire::log_record record;
        {
            std::lock_guard const lock(mutex_);
            auto const            id = random_id(record_id_digits);
            auto* const           batch = record.mutable_calls();
            for (auto& [request, owed] : owed_)
            {
                add(owed, id, *batch);
            }
            for (auto& [request, queued] : waiting_)
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
        note_append(writer_.send(record));
        return record.record_id();
    }

    static void add(owed_step& owed, std::string const& record_id,
                    wire::call_batch& batch)
    {
        if (!owed.record_id.empty())
        {
            return;
        }
        owed.record_id = record_id;
        if (owed.result)
        {
            *batch.add_results() = *owed.result;
        }
        if (owed.release)
        {
            *batch.add_releases() = *owed.release;
        }
    }

    static millis remaining(boot_clock::time_point until)
    {
        auto const left = until - boot_clock::now();
        return std::max(millis{0}, std::chrono::duration_cast<millis>(left));
    }

    // 5. What must reach the log

    /// While the log is out a new call is refused at once. What is owed tries the log
    /// again; if nothing is, a call does so now and then.
    bool log_is_out() const
    {
        std::lock_guard const lock(mutex_);
        return failed_ && (!owed_.empty() || boot_clock::now() < out_until_);
    }

    void note_append(bool taken)
    {
        std::lock_guard const lock(mutex_);
        failed_ = !taken;
        out_until_ = boot_clock::now() + options_.outage_pause;
    }

    /// Appends all that is owed; what was read back is owed no more. A repeat has no
    /// effect in the fold.
    void commit_owed(millis timeout)
    {
        auto const  until = boot_clock::now() + timeout;
        std::string record_id;
        {
            std::unique_lock turn(append_turn_, std::defer_lock);
            if (!turn.try_lock_for(timeout))
            {
                return;
            }
            record_id = append_waiting();
        }
        if (record_id.empty())
        {
            return;
        }
        conclude_owed(record_id,
                      store_.wait_for(record_id, remaining(until)).has_value());
    }

    /// What was owed travels with any append, that of an intent as well; if the record
    /// was not read back it must go with the next one.
    void conclude_owed(std::string const& record_id, bool read_back)
    {
        std::lock_guard const lock(mutex_);
        for (auto each = owed_.begin(); each != owed_.end();)
        {
            bool const of_this = each->second.record_id == record_id;
            if (of_this && !read_back)
            {
                each->second.record_id.clear();
            }
            each = of_this && read_back ? owed_.erase(each) : std::next(each);
        }
    }

    static constexpr std::size_t record_id_digits = 24;

    log_writer<Log>&                     writer_;
    ledger_store&                        store_;
    std::string                          self_;
    liveness                             alive_;
    call_book_options                    options_;
    std::timed_mutex                     append_turn_;
    mutable std::mutex                   mutex_;
    std::map<std::string, queued_intent> waiting_;        // by request id
    std::map<std::string, owed_step>     owed_;           // by request id
    std::set<std::string>                running_;        // tries claimed or dispatched
    bool                                 failed_ = false; // the last append
    boot_clock::time_point               out_until_{};
};

} // namespace marigoldcrank

#endif
