// Exchanges load digests and records of the store with other entry VMs, as the relay plan
// says.
//
// Index: 1 peer_exchange, 2 changed_entries
#ifndef MARIGOLDCRANK_SERVING_PEER_EXCHANGE_HPP
#define MARIGOLDCRANK_SERVING_PEER_EXCHANGE_HPP

#include "serving/digest_link.hpp"
#include "serving/entry_state.hpp"
#include "serving/owner_link.hpp"
#include "serving/quota_gate.hpp"
#include "serving/record_link.hpp"
#include "serving/send_permit.hpp"

#include <map>
#include <memory>
#include <set>

namespace marigoldcrank
{

class peer_exchange
{
public:
    using filter_factory = std::function<topic_mirror::change_filter(std::string const&)>;

    /// Throws zmq::error_t if an address can't be bound.
    peer_exchange(boost::asio::io_context& loop, entry_state& state,
                  filter_factory make_filter);
    ~peer_exchange();
    peer_exchange(peer_exchange const&) = delete;
    peer_exchange& operator=(peer_exchange const&) = delete;

    /// Makes the relay plan for these VMs, and connects to the VMs that it names.
    void follow(std::set<vm_contact> const& vms);

    /// Publishes digests, and replies to queries that have waited long enough.
    void publish_digests();

    /// Null if this VM has no address for records.
    record_link* records()
    {
        return records_.get();
    }

private:
    void receive(load_digest digest, digest_extras const& extras);
    void log_plan(relay_plan const& plan);
    void update_relayed(bool relayed);

    entry_state&                    state_;
    std::unique_ptr<zmq::context_t> context_;
    std::unique_ptr<record_link>    records_;
    std::unique_ptr<owner_link>     owners_; // null if `records_` is
    std::unique_ptr<quota_gate>     quotas_; // null if `records_` is
    std::unique_ptr<limit_owner>    limits_; // null if `records_` is
    digest_link                     digests_;
    relay_plan                      plan_;
    std::uint64_t                   rounds_ = 0;
    std::int64_t                    listed_vms_ = 0; // VMs in the last relay plan
};

/// Filter for entries of servers: passes records that change what is known of their
/// server. Without it every VM would decode each heartbeat of each server.
template <class Codec>
topic_mirror::change_filter changed_entries()
{
    return [known = std::map<std::string, std::optional<backend_server>>{}](
               std::string const& text) mutable
    {
        auto const record = Codec::keyed(text, 0);
        if (!record)
        {
            return false;
        }
        auto server =
            record->value ? Codec::server(record->key, *record->value) : std::nullopt;
        auto const [entry, added] = known.try_emplace(record->key, server);
        if (!added && entry->second == server)
        {
            return false;
        }
        entry->second = std::move(server);
        return true;
    };
}

} // namespace marigoldcrank

#endif
