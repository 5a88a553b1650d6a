// Access to the store that reads records through other VMs in a large fleet.
//
// Index: 1 store_fallback, 2 relay_terms, 3 shared_store
#ifndef MARIGOLDCRANK_SERVING_SHARED_STORE_HPP
#define MARIGOLDCRANK_SERVING_SHARED_STORE_HPP

#include "policy/retry_gate.hpp"
#include "serving/record_link.hpp"
#include "serving/store_tally.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace marigoldcrank
{

/// When a member of a large fleet reads a topic from the store. Every VM or server adds
/// to some topics; if each VM also read them from the store, the bytes would grow with
/// the square of the size of the fleet.
enum class store_fallback
{
    relays_silent, // if no relay replies
    never
};

/// How a topic is read through relays.
struct relay_terms
{
    // 2500  ms; of relayed records at a VM that passes them on
    millis max_age{2500};
    // 700   ms; longest wait for new records. The rules of a member are no older than
    //       this wait, the same wait of its relay and 600 ms of the VM that reads for
    //       the fleet: 2 s of the 4 s after which keys are no longer accepted
    millis wait{700};
    // 0     ms; also replies without a change if so much newer; 0: never
    millis newer{0};
    // true  reads of the store wait for new records, too. What they return counts from
    //       the time they were sent, so it is older by the wait
    bool store_waits = true;

    bool operator==(relay_terms const&) const = default;
};

/// Reads go to relays while there are any, else to the store. The records are then kept
/// for the VMs that query this one. Appends and complete listings always go to the store.
template <log_store_port Store>
class shared_store
{
public:
    explicit shared_store(Store& store) : store_(store) {}

    /// Sets the link to the relays; null sends every read to the store. The link must
    /// outlive all calls.
    void set_link(record_link* link)
    {
        link_ = link;
        for (auto const& [topic, answers] : answers_)
        {
            link_->testify(topic, *answers);
        }
    }

    /// Sets where to record whether the store answers this VM's reads of `topic`. It must
    /// outlive all calls. Other VMs are told.
    void watch_answers(std::string const& topic, answer_watch& answers)
    {
        answers_[topic] = &answers;
    }

    /// Sets how the records of topics are read. Required before the first listing.
    void set_formats(record_link::format_source format_of)
    {
        format_of_ = std::move(format_of);
    }

    /// Sends reads of `topic` to the store while `direct`: a VM that appends at the end
    /// of the topic must know its current end.
    void read_directly(std::string const& topic, bool direct)
    {
        if (direct)
        {
            direct_topics_.insert(topic);
        }
        else
        {
            direct_topics_.erase(topic);
        }
    }

    /// Sets when a member of a large fleet may read `topic` from the store instead of its
    /// relays; by default always.
    void set_fallback(std::string const& topic, store_fallback when)
    {
        fallbacks_[topic] = when;
    }

    /// Sets how `topic` is read through relays. Its age counts, so that VMs of a small
    /// fleet read it themselves.
    void set_terms(std::string const& topic, relay_terms const& terms)
    {
        terms_[topic] = terms;
    }

    /// Sets whether other VMs query this one. When the VM that reads for hundreds of
    /// others is slow, all of them would find its records too old, read the store, use up
    /// its bandwidth and never recover. Only VMs that pass records on therefore enforce
    /// the maximum age; the others accept older records if no relay has newer ones.
    void passes_on(bool queried)
    {
        passes_on_ = queried;
    }

    /// Sets whether digests go through relays. If not, the fleet is small, and each VM
    /// reads topics with a maximum age itself. Otherwise, when the store refuses the VM
    /// that reads for the others, they would use a leaving server, or rules that have
    /// been replaced, for longer than is allowed.
    void relays_used(bool used)
    {
        relays_used_ = used;
    }

    store_tally& tally()
    {
        return tally_;
    }

    boost::asio::awaitable<store_result<std::uint64_t>>
    append(unsigned lane, std::string const& topic,
           std::vector<std::string> const& records, std::optional<std::uint64_t> at)
    {
        auto const  sent = boot_clock::now();
        auto        result = co_await store_.append(lane, topic, records, at);
        auto const* offset = std::get_if<std::uint64_t>(&result);
        ++tally_.of(topic).appends;
        tally_.of(topic).failed += offset == nullptr ? 1 : 0;
        if (link_ != nullptr && offset != nullptr && at)
        {
            // The append was conditional, so no record lies between, and the VMs that
            // query this one can get the new records from here. A holder reads its topic
            // only after a failure, so otherwise they would all read the store.
            log_chunk const appended{
                .from = *offset, .end = *offset + records.size(), .records = records};
            link_->merge(topic, appended, sent);
        }
        co_return result;
    }

    /// The newest record of each key; from relays in one page, from the store in several.
    boost::asio::awaitable<store_result<keyed_page>>
    newest(unsigned lane, std::string const& topic, std::string const& after)
    {
        auto const sent = boot_clock::now();
        if (after.empty() && reads_via_relays(topic))
        {
            auto state = co_await link_->fetch_state(topic);
            if (state)
            {
                held_topics_.insert(topic);
                ++tally_.of(topic).relayed;
                state->records.relayed = true;
                if (passes_on_)
                {
                    link_->replace(topic, state->records, sent - state->age);
                }
                co_return page_of(topic, *state);
            }
        }
        if (must_wait(topic, sent) || !may_list(topic, sent))
        {
            co_return not_asked(topic);
        }
        ++tally_.of(topic).listings;
        note_sent(topic, sent);
        auto        result = co_await store_.newest(lane, topic, after);
        auto const* page = std::get_if<keyed_page>(&result);
        note_end(topic, std::get_if<store_failure>(&result));
        update_gate(topic, page != nullptr);
        note_store(topic, std::get_if<store_failure>(&result));
        tally_.of(topic).failed += page == nullptr ? 1 : 0;
        if (page != nullptr)
        {
            held_topics_.insert(topic);
            collect(topic, *page, after.empty(), sent);
        }
        co_return result;
    }

    boost::asio::awaitable<store_result<log_chunk>>
    read(unsigned lane, std::string const& topic, std::uint64_t from, millis wait,
         std::size_t max_kb = default_read_kb)
    {
        auto const sent = boot_clock::now();
        if (lacks_state(topic))
        {
            co_return store_failure{store_fault::trimmed, 0};
        }
        auto const found = terms_.find(topic);
        auto const terms = found == terms_.end() ? relay_terms{} : found->second;
        if (reads_via_relays(topic))
        {
            records_query query{.topic = topic,
                                .from = from,
                                .wait = std::min(wait, terms.wait),
                                .max_age = terms.max_age,
                                .accept_older = !passes_on_,
                                .known_as_of = known_as_of_[topic],
                                .newer = terms.newer};
            wait = query.wait;
            auto answer = co_await link_->fetch(std::move(query));
            if (answer && answer->trimmed)
            {
                co_return store_failure{store_fault::trimmed, 0};
            }
            if (answer)
            {
                held_topics_.insert(topic);
                ++tally_.of(topic).relayed;
                merge(topic, *answer, sent - answer->age);
                co_return std::move(*answer);
            }
        }
        if (!may_fall_back(topic))
        {
            co_return not_asked(topic);
        }
        co_return co_await read_store(lane, topic, from,
                                      terms.store_waits ? wait : millis{0}, max_kb);
    }

    /// Reads at the store, also while relays reply. A failure isn't told to other VMs.
    boost::asio::awaitable<store_result<log_chunk>>
    read_at_store(unsigned lane, std::string const& topic, std::uint64_t from)
    {
        auto const sent = boot_clock::now();
        note_sent(topic, sent);
        auto        result = co_await store_.read(lane, topic, from, millis{0});
        auto const* chunk = std::get_if<log_chunk>(&result);
        note_end(topic, std::get_if<store_failure>(&result));
        ++tally_.of(topic).reads;
        tally_.of(topic).failed += chunk == nullptr ? 1 : 0;
        if (chunk != nullptr)
        {
            merge(topic, *chunk, sent);
        }
        co_return result;
    }

    /// Reads at other VMs that hold records of at most `max_age`, also while relays
    /// reply.
    boost::asio::awaitable<keepers_reply> read_at_vms(std::string const& topic,
                                                      std::uint64_t from, millis max_age)
    {
        if (link_ == nullptr)
        {
            co_return keepers_reply{};
        }
        auto const    sent = boot_clock::now();
        records_query query{.topic = topic, .from = from, .max_age = max_age};
        auto          reply = co_await link_->ask_keepers(std::move(query));
        if (reply.chunk)
        {
            ++tally_.of(topic).relayed;
            merge(topic, *reply.chunk, sent - reply.chunk->age);
        }
        co_return reply;
    }

private:
    // 5000  ms; a VM that starts waits for its relays to have the state of a topic
    static constexpr millis max_state_wait{5000};

    // 500 and 2000 ms; pause of a member between failed reads of the store. Hundreds of
    //       members may have lost their relays at once
    static constexpr retry_gate_options member_retries{.initial_pause = millis{500},
                                                       .max_pause = millis{2000}};

    bool reads_via_relays(std::string const& topic) const
    {
        bool const reads_itself = !relays_used_ && terms_.count(topic) > 0;
        return link_ != nullptr && link_->has_relays() &&
               direct_topics_.count(topic) == 0 && !reads_itself;
    }

    /// The failure of a read that relays don't answer and that this VM doesn't send to
    /// the store.
    store_failure not_asked(std::string const& topic) const
    {
        bool const lost = link_ != nullptr && link_->store_lost(topic);
        return {lost ? store_fault::unreachable : store_fault::not_asked, 0};
    }

    /// Relays that reply with old records read the store themselves, so their members
    /// need only wait. If hundreds of members read records of thousands of servers,
    /// nobody would get them in time.
    bool may_fall_back(std::string const& topic) const
    {
        auto const found = fallbacks_.find(topic);
        bool const member = relays_used_ && !passes_on_;
        if (!member || found == fallbacks_.end())
        {
            return true;
        }
        bool const silent = link_ == nullptr || !link_->replied();
        return found->second == store_fallback::relays_silent && silent;
    }

    /// Whether this VM may list a topic at the store. A listing of thousands of servers
    /// is large, and after a loss of all VMs each of them needs one, so members wait for
    /// their relays to have it.
    bool may_list(std::string const& topic, boot_clock::time_point now)
    {
        bool const member = relays_used_ && !passes_on_;
        // A VM that returns from a cut may still use servers that have left meanwhile.
        if (!member || fallbacks_.count(topic) == 0 || held_topics_.count(topic) > 0)
        {
            return true;
        }
        auto const since = state_wanted_.try_emplace(topic, now).first->second;
        return now - since >= max_state_wait;
    }

    boost::asio::awaitable<store_result<log_chunk>>
    read_store(unsigned lane, std::string const& topic, std::uint64_t from, millis wait,
               std::size_t max_kb)
    {
        auto const sent = boot_clock::now();
        if (must_wait(topic, sent))
        {
            co_return not_asked(topic);
        }
        note_sent(topic, sent + wait);
        auto        result = co_await store_.read(lane, topic, from, wait, max_kb);
        auto*       chunk = std::get_if<log_chunk>(&result);
        auto const* failure = std::get_if<store_failure>(&result);
        note_end(topic, failure);
        // A read of trimmed records was answered.
        update_gate(topic, failure == nullptr || failure->fault == store_fault::trimmed);
        note_store(topic, failure);
        ++tally_.of(topic).reads;
        tally_.of(topic).failed += chunk == nullptr ? 1 : 0;
        if (chunk != nullptr)
        {
            // The store returns no records only after the full wait.
            bool const waited =
                chunk->records.empty() && boot_clock::now() - sent >= wait;
            chunk->age = waited ? -wait : millis{0};
        }
        if (chunk != nullptr)
        {
            merge(topic, *chunk, sent - chunk->age);
        }
        co_return result;
    }

    /// Keeps the records for the VMs that query this one.
    void merge(std::string const& topic, log_chunk const& chunk,
               boot_clock::time_point as_of)
    {
        auto& known = known_as_of_[topic];
        known = chunk.next() >= chunk.end ? std::max(known, as_of) : known;
        if (link_ != nullptr)
        {
            link_->merge(topic, chunk, as_of);
        }
    }

    /// Whether a call to the store must wait after one that failed. VMs that pass records
    /// on retry at once, unless their relays have lost the store too.
    bool must_wait(std::string const& topic, boot_clock::time_point now)
    {
        bool const follows = reads_via_relays(topic);
        bool const lost = follows && link_->relays_lost_store(topic);
        bool const member = relays_used_ && !passes_on_;
        auto&      gate = gates_.try_emplace(topic, slow_retries).first->second;
        gate.limit(member && !lost ? member_retries : slow_retries);
        return gate.must_wait(lost || member, now);
    }

    /// Keeps for the VMs that query this one whether the store was away.
    void note_store(std::string const& topic, store_failure const* failure)
    {
        if (link_ != nullptr)
        {
            link_->note_store(topic, failure != nullptr && shows_outage(failure->fault));
        }
    }

    void note_sent(std::string const& topic, boot_clock::time_point due)
    {
        auto const found = answers_.find(topic);
        if (found != answers_.end())
        {
            found->second->sent(due);
        }
    }

    /// Records how a read of the store has ended; without a failure it was answered.
    void note_end(std::string const& topic, store_failure const* failure)
    {
        auto const found = answers_.find(topic);
        if (found == answers_.end())
        {
            return;
        }
        if (failure != nullptr && shows_outage(failure->fault))
        {
            found->second->failed(boot_clock::now());
        }
        else
        {
            found->second->answered();
        }
    }

    void update_gate(std::string const& topic, bool answered)
    {
        auto& gate = gates_.try_emplace(topic, slow_retries).first->second;
        if (answered)
        {
            gate.succeeded();
        }
        else
        {
            gate.failed(boot_clock::now());
        }
    }

    /// Whether other VMs query this one for a topic of which it doesn't hold the state,
    /// as after it became a relay. The follower then lists the state.
    bool lacks_state(std::string const& topic) const
    {
        return link_ != nullptr && passes_on_ && relays_used_ && format_of_(topic).read &&
               !link_->holds_state(topic);
    }

    keyed_page page_of(std::string const& topic, keyed_state const& state) const
    {
        auto const format = format_of_(topic);
        keyed_page page{.end = state.records.next(), .age = state.age, .relayed = true};
        for (std::size_t at = 0; at < state.records.records.size(); ++at)
        {
            auto record =
                format.read(state.records.records[at], state.records.offset_at(at));
            if (record && record->value)
            {
                page.records.push_back(std::move(*record));
            }
        }
        return page;
    }

    /// Collects the pages of a listing for the VMs that query this one.
    void collect(std::string const& topic, keyed_page const& page, bool first,
                 boot_clock::time_point sent)
    {
        auto const format = format_of_(topic);
        if (link_ == nullptr || !format.write)
        {
            return;
        }
        auto& listing = listings_[topic];
        if (first)
        {
            // Later pages may lack changes up to their end.
            listing = {log_chunk{.end = page.end, .covered = page.end}, sent};
        }
        for (auto const& record : page.records)
        {
            listing.records.records.push_back(format.write(record));
            listing.records.offsets.push_back(record.offset);
        }
        if (!page.more || page.records.empty())
        {
            link_->replace(topic, listing.records, listing.sent);
            listings_.erase(topic);
        }
    }

    struct partial_listing
    {
        log_chunk              records;
        boot_clock::time_point sent{}; // of the first page
    };

    Store&                                        store_;
    record_link*                                  link_ = nullptr;
    std::set<std::string>                         direct_topics_; // read from the store
    std::map<std::string, store_fallback>         fallbacks_;     // by topic
    std::map<std::string, relay_terms>            terms_;         // by topic
    std::map<std::string, boot_clock::time_point> known_as_of_;   // by topic
    std::map<std::string, answer_watch*>          answers_;       // by topic
    bool                                          passes_on_ = false;
    bool                                          relays_used_ = false;
    std::map<std::string, retry_gate>      gates_;    // by topic; for reads of the store
    std::map<std::string, partial_listing> listings_; // by topic
    std::map<std::string, boot_clock::time_point>
                          state_wanted_; // by topic; since when the relays lack the state
    std::set<std::string> held_topics_;  // read by this VM before
    record_link::format_source format_of_;
    store_tally                tally_;
};

} // namespace marigoldcrank

#endif
