// Access to the store that reads records through other VMs in a large fleet.
//
// Index: shared_store
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

    /// Sets the maximum age of relayed records of `topic` at a VM that passes them on.
    void limit_age(std::string const& topic, millis max_age)
    {
        max_ages_[topic] = max_age;
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

    boost::asio::awaitable<store_result<keyed_page>>
    newest(unsigned lane, std::string const& topic, std::string const& after)
    {
        ++tally_.of(topic).listings;
        return store_.newest(lane, topic, after);
    }

    boost::asio::awaitable<store_result<log_chunk>>
    read(unsigned lane, std::string const& topic, std::uint64_t from, millis wait)
    {
        auto const sent = boot_clock::now();
        if (reads_via_relays(topic))
        {
            wait = std::min(wait, max_relay_wait);
            records_query query{topic, from, wait};
            auto const    limit = max_ages_.find(topic);
            query.max_age = limit == max_ages_.end() ? query.max_age : limit->second;
            query.accept_older = !passes_on_;
            auto answer = co_await link_->fetch(std::move(query));
            if (answer)
            {
                ++tally_.of(topic).relayed;
                link_->merge(topic, *answer, sent - answer->age);
                co_return std::move(*answer);
            }
        }
        co_return co_await read_store(lane, topic, from, wait);
    }

private:
    // 700   ms; longest wait for new records at a relay. The records of a member are no
    //       older than this wait, the same wait of its relay and 600 ms of the VM that
    //       reads for the fleet: 2 s of the 4 s after which keys are no longer accepted.
    //       The rest is for a silent relay and the read of the store that replaces it
    static constexpr millis max_relay_wait{700};

    bool reads_via_relays(std::string const& topic) const
    {
        bool const reads_itself = !relays_used_ && max_ages_.count(topic) > 0;
        return link_ != nullptr && link_->has_relays() &&
               direct_topics_.count(topic) == 0 && !reads_itself;
    }

    boost::asio::awaitable<store_result<log_chunk>>
    read_store(unsigned lane, std::string const& topic, std::uint64_t from, millis wait)
    {
        auto const sent = boot_clock::now();
        auto&      gate = gates_.try_emplace(topic, slow_retries).first->second;
        bool const lost = reads_via_relays(topic) && link_->relays_lost_store();
        if (gate.must_wait(lost, sent))
        {
            co_return store_failure{store_fault::unreachable, 0};
        }
        auto  result = co_await store_.read(lane, topic, from, wait);
        auto* chunk = std::get_if<log_chunk>(&result);
        update_gate(gate, result);
        ++tally_.of(topic).reads;
        tally_.of(topic).failed += chunk == nullptr ? 1 : 0;
        if (chunk != nullptr)
        {
            // The store returns no records only after the full wait.
            bool const waited =
                chunk->records.empty() && boot_clock::now() - sent >= wait;
            chunk->age = waited ? -wait : millis{0};
        }
        if (link_ != nullptr && chunk != nullptr)
        {
            link_->merge(topic, *chunk, sent - chunk->age);
        }
        co_return result;
    }

    /// A read of trimmed records counts as answered.
    static void update_gate(retry_gate& gate, store_result<log_chunk> const& result)
    {
        auto const* failure = std::get_if<store_failure>(&result);
        if (failure != nullptr && failure->fault != store_fault::trimmed)
        {
            gate.failed(boot_clock::now());
        }
        else
        {
            gate.succeeded();
        }
    }

    Store&                            store_;
    record_link*                      link_ = nullptr;
    std::set<std::string>             direct_topics_; // read from the store
    std::map<std::string, millis>     max_ages_;      // by topic
    bool                              passes_on_ = false;
    bool                              relays_used_ = false;
    std::map<std::string, retry_gate> gates_; // by topic; for reads of the store
    store_tally                       tally_;
};

} // namespace marigoldcrank

#endif
