// Permission to send a request to a backend server, by what the server has stated.
//
// Index: 1 send_permit, 2 request_permit, 3 limit_owner
#ifndef MARIGOLDCRANK_SERVING_SEND_PERMIT_HPP
#define MARIGOLDCRANK_SERVING_SEND_PERMIT_HPP

#include "policy/bucket_owner.hpp"
#include "serving/entry_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <utility>

namespace marigoldcrank
{

class owner_link;

/// Allows one request to one server. Every request to a server needs one, whatever it is
/// for, and only request_permit() issues them.
class send_permit
{
public:
    std::string const& server() const noexcept
    {
        return server_;
    }

    bool operator==(send_permit const&) const = default;

private:
    friend boost::asio::awaitable<std::optional<send_permit>>
    request_permit(entry_state& state, std::string server);

    explicit send_permit(std::string server) : server_(std::move(server)) {}

    std::string server_;
};

/// Returns nothing if the server must not get a request now: it is leaving, has asked for
/// a pause, gets its first requests after one, or has reached its limit. It is then on
/// hold in `state.holds`, or listed as leaving, so that the next choice leaves it out.
/// Queries the owner of the server's limit if the server states one.
boost::asio::awaitable<std::optional<send_permit>> request_permit(entry_state& state,
                                                                  std::string  server);

/// Replies to queries for the limits of servers that this VM owns.
class limit_owner
{
public:
    /// Both arguments must outlive this object.
    limit_owner(entry_state& state, owner_link& owners);
    limit_owner(limit_owner const&) = delete;
    limit_owner& operator=(limit_owner const&) = delete;

    /// Drops the buckets of servers that are no longer listed.
    void forget_servers();

private:
    bucket_answer reply(bucket_query const& query);

    entry_state& state_;
    owner_link&  owners_;
    bucket_owner buckets_;
};

} // namespace marigoldcrank

#endif
