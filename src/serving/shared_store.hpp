// The store, whose records are read through other VMs in a large fleet.
//
// Index: shared_store
#ifndef MARIGOLDCRANK_SERVING_SHARED_STORE_HPP
#define MARIGOLDCRANK_SERVING_SHARED_STORE_HPP

#include "policy/retry_gate.hpp"
#include "serving/record_link.hpp"

#include <algorithm>
#include <map>

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
    void share(record_link* link)
    {
        link_ = link;
    }

    boost::asio::awaitable<store_result<std::uint64_t>>
    append(unsigned lane, std::string const& topic,
           std::vector<std::string> const& records, std::optional<std::uint64_t> at)
    {
        auto const  sent = boot_clock::now();
        auto        result = co_await store_.append(lane, topic, records, at);
        auto const* offset = std::get_if<std::uint64_t>(&result);
        if (link_ != nullptr && offset != nullptr && at)
        {
            // Nothing was appended unseen, so VMs that ask this one learn of it here. A
            // holder reads its topic after a failure only, and they would all read the
            // store for themselves.
            log_chunk const own{
                .from = *offset, .end = *offset + records.size(), .records = records};
            link_->absorb(topic, own, sent);
        }
        co_return result;
    }

    boost::asio::awaitable<store_result<keyed_page>>
    newest(unsigned lane, std::string const& topic, std::string const& after)
    {
        return store_.newest(lane, topic, after);
    }

    boost::asio::awaitable<store_result<log_chunk>>
    read(unsigned lane, std::string const& topic, std::uint64_t from, millis wait)
    {
        if (link_ != nullptr && link_->has_relays())
        {
            wait = std::min(wait, relayed_wait);
            records_query query{topic, from, wait};
            auto          answer = co_await link_->ask(std::move(query));
            if (answer)
            {
                co_return std::move(*answer);
            }
        }
        auto const sent = boot_clock::now();
        auto&      gate = gates_[topic];
        bool const lost =
            link_ != nullptr && link_->has_relays() && link_->relays_lost_store();
        if (gate.holds_back(lost, sent))
        {
            co_return store_failure{store_fault::unreachable, 0};
        }
        auto        result = co_await store_.read(lane, topic, from, wait);
        auto const* chunk = std::get_if<log_chunk>(&result);
        note(gate, result);
        if (link_ != nullptr && chunk != nullptr)
        {
            link_->absorb(topic, *chunk, sent);
        }
        co_return result;
    }

private:
    // 500   ms; longest wait for news at a relay. What a reader knows gets as old as two
    //       of these waits and two of the relay's own: 2.4 s, of the 4 s after which keys
    //       aren't believed any more. The rest is for a silent relay and a read of the
    //       store in its place. At 1500 ms one call in seven was refused for stale keys
    static constexpr millis relayed_wait{500};

    /// History that is gone is an answer.
    static void note(retry_gate& gate, store_result<log_chunk> const& result)
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
    std::map<std::string, retry_gate> gates_; // by topic; for reads beside the relays
};

} // namespace marigoldcrank

#endif
