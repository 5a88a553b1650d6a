// The store, whose records are read through other VMs in a large fleet.
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

/// Reads are asked of relays while there are any, else of the store, and then kept for
/// VMs that ask this one. Appends and whole listings always go to the store.
template <log_store_port Store>
class shared_store
{
public:
    explicit shared_store(Store& store) : store_(store) {}

    /// Without a link every read goes to the store. The link must outlive all calls.
    void set_link(record_link* link)
    {
        link_ = link;
    }

    /// Reads of `topic` go to the store while `direct`: a VM that appends at its end must
    /// know that end as it is now.
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

    /// Answers of other VMs for `topic` count only up to this age, at a VM that passes
    /// them on.
    void limit_age(std::string const& topic, millis max_age)
    {
        max_ages_[topic] = max_age;
    }

    /// Whether other VMs ask this one. Load answered: the VM that reads for hundreds of
    /// others is slow for once. If all found its answers too old and read the store,
    /// they would use up its bandwidth and stay at it; so only the few do that the
    /// others hear from.
    void passes_on(bool asked)
    {
        passes_on_ = asked;
    }

    /// Whether digests go through relays. If not, the fleet is small: topics with a limit
    /// of age are read by each VM for itself. Failure guarded against: the store turns
    /// away the VM that reads for the others, and they use a leaving server, or rules
    /// that have been replaced, for longer than is allowed.
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
            // Nothing was appended unseen, so VMs that ask this one learn of it here. A
            // holder reads its topic after a failure only, and they would all read the
            // store for themselves.
            log_chunk const own{
                .from = *offset, .end = *offset + records.size(), .records = records};
            link_->merge(topic, own, sent);
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
    // 700   ms; longest wait for news at a relay. What a member knows is no older than
    //       this wait, the same of its relay and 600 ms of the fleet's reader: 2 s, of
    //       the 4 s after which keys aren't believed any more. The rest is for a silent
    //       relay and a read of the store in its place
    static constexpr millis max_relay_wait{700};

    bool reads_via_relays(std::string const& topic) const
    {
        bool const own = !relays_used_ && max_ages_.count(topic) > 0;
        return link_ != nullptr && link_->has_relays() &&
               direct_topics_.count(topic) == 0 && !own;
    }

    boost::asio::awaitable<store_result<log_chunk>>
    read_store(unsigned lane, std::string const& topic, std::uint64_t from, millis wait)
    {
        auto const sent = boot_clock::now();
        auto&      gate = gates_.try_emplace(topic, patient_retries).first->second;
        bool const lost = reads_via_relays(topic) && link_->relays_lost_store();
        if (gate.holds_back(lost, sent))
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
            // The store answers without records only after the whole wait.
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

    /// History that is gone is an answer.
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
    std::set<std::string>             direct_topics_; // topics
    std::map<std::string, millis>     max_ages_;      // by topic
    bool                              passes_on_ = false;
    bool                              relays_used_ = false;
    std::map<std::string, retry_gate> gates_; // by topic; for reads beside the relays
    store_tally                       tally_;
};

} // namespace marigoldcrank

#endif
