// Publishes the notices of prompts that this VM sends, and passes on those of others.
//
// Index: send_announcer
#ifndef MARIGOLDCRANK_SERVING_SEND_ANNOUNCER_HPP
#define MARIGOLDCRANK_SERVING_SEND_ANNOUNCER_HPP

#include "policy/load_relay.hpp"
#include "policy/recent_sends.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <unordered_set>
#include <vector>

namespace marigoldcrank
{

class digest_link;
class entry_state;

/// Collects notices for some milliseconds and publishes them together (notice_route): a
/// member to its relays, these to the relays of other data centres, and the first of them
/// to their members.
class send_announcer
{
public:
    /// All arguments must outlive this object.
    send_announcer(boost::asio::io_context& loop, entry_state& state, digest_link& link);
    send_announcer(send_announcer const&) = delete;
    send_announcer& operator=(send_announcer const&) = delete;

    void announce(send_notice const& notice);

    /// Records notices of other VMs, and passes them on if this VM is a relay.
    void receive(digest_scope scope, std::vector<send_notice> const& notices);

private:
    void add(digest_scope scope, send_notice const& notice);
    void publish();

    entry_state&                                         state_;
    digest_link&                                         link_;
    boost::asio::steady_timer                            timer_;
    std::map<digest_scope, std::vector<send_notice>>     pending_;
    std::multimap<boot_clock::time_point, std::uint64_t> own_ends_;
    // Numbers of notices that may come back from relays.
    std::unordered_set<std::uint64_t> own_;
};

} // namespace marigoldcrank

#endif
