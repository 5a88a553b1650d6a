// Exchanges load digests and records of the store with other entry VMs, as the relay plan
// says.
//
// Index: 1 peer_exchange, 2 server_entries_format, 3 keyed_format
#ifndef MARIGOLDCRANK_SERVING_PEER_EXCHANGE_HPP
#define MARIGOLDCRANK_SERVING_PEER_EXCHANGE_HPP

#include "serving/digest_link.hpp"
#include "serving/entry_state.hpp"
#include "serving/origin_link.hpp"
#include "serving/owner_link.hpp"
#include "serving/quota_gate.hpp"
#include "serving/record_link.hpp"
#include "serving/send_announcer.hpp"
#include "serving/send_permit.hpp"

#include <map>
#include <memory>
#include <set>

namespace marigoldcrank
{

class peer_exchange
{
public:
    /// Throws zmq::error_t if an address can't be bound.
    peer_exchange(boost::asio::io_context& loop, entry_state& state,
                  record_link::format_source format_of);
    ~peer_exchange();
    peer_exchange(peer_exchange const&) = delete;
    peer_exchange& operator=(peer_exchange const&) = delete;

    /// Makes the relay plan for these VMs, and connects to the VMs that it names. `told`
    /// is the number of VMs as relays tell it, 0 if they don't.
    void follow(std::set<vm_contact> const& vms, std::int64_t told);

    /// Publishes digests, and replies to queries that have waited long enough.
    void publish_digests();

    /// Null if this VM has no address for records.
    record_link* records()
    {
        return records_.get();
    }

private:
    void receive(load_digest digest, digest_extras const& extras);
    /// Logs the plan if it or the number of VMs that it was made from has changed.
    void log_plan(relay_plan const& plan, std::int64_t vms);
    void update_relayed(bool relayed);

    entry_state&                       state_;
    std::unique_ptr<zmq::context_t>    context_;
    std::unique_ptr<record_link>       records_;
    std::unique_ptr<owner_link>        owners_;  // null if `records_` is
    std::unique_ptr<quota_gate>        quotas_;  // null if `records_` is
    std::unique_ptr<limit_owner>       limits_;  // null if `records_` is
    std::unique_ptr<origin_link>       origins_; // null if `records_` is
    digest_link                        digests_;
    send_announcer                     announcer_;
    relay_plan                         plan_;
    std::map<std::string, std::string> incarnations_; // of VMs heard, by address
    std::uint64_t                      rounds_ = 0;
    std::int64_t                       listed_vms_ = 0;  // VMs in the last relay plan
    std::int64_t                       planned_vms_ = 0; // VMs known when it was made
};

/// Format of the topic of servers' entries. Most records only report that the server is
/// alive, so they aren't passed on.
template <class Codec>
topic_format server_entries_format()
{
    return {.read = &Codec::keyed,
            .write = &Codec::keyed_text,
            .is_change = [](keyed_record const& before, keyed_record const& after)
            {
                auto const server = [](keyed_record const& record)
                {
                    return record.value ? Codec::server(record.key, *record.value)
                                        : std::nullopt;
                };
                return before.value.has_value() != after.value.has_value() ||
                       server(before) != server(after);
            }};
}

/// Format of a topic of which every record counts as a change of its key.
template <class Codec>
topic_format keyed_format()
{
    return {.read = &Codec::keyed, .write = &Codec::keyed_text};
}

} // namespace marigoldcrank

#endif
