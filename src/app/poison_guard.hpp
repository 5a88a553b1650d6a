// Shares suspected requests and server reservations among all entry VMs.
//
// Index: poison_guard
#ifndef MARIGOLDCRANK_APP_POISON_GUARD_HPP
#define MARIGOLDCRANK_APP_POISON_GUARD_HPP

#include "policy/mass_loss.hpp"
#include "policy/poison_list.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace marigoldcrank::wire
{
class peer_message;
class poison_suspect;
class solo_run;
} // namespace marigoldcrank::wire

namespace marigoldcrank
{

/// A request may crash each server that runs it, and its caller may send it again, also
/// through another entry VM. After a crash, every request in flight on that server is
/// suspected, identified by the hash of its content. A suspect runs again only alone on a
/// reserved server, so that a second crash identifies the request that causes it and
/// affects no other request. Thread-safe.
class poison_guard
{
public:
    using broadcaster = std::function<void(wire::peer_message&)>;

    poison_guard(std::string node, poison_options options, broadcaster broadcast);

    poison_verdict evaluate(std::string const& content) const;

    /// Records that a server crashed while it ran this content; `crash` is unique per
    /// attempt.
    void note_crash(std::string const& server, std::string const& content,
                    std::string const& crash);

    /// Records that the content ran to its end; `alone` if nothing else ran on the
    /// server.
    void record_completion(std::string const& content, bool alone);

    /// Merges an update of a peer.
    void take(wire::poison_suspect const& update);
    void take(std::string const& peer, wire::solo_run const& update);

    /// Messages to send to a peer at its heartbeat: all suspects during the first
    /// heartbeats of each incarnation, because messages to a process that has just
    /// started may be lost; none afterwards.
    std::vector<wire::peer_message> updates_for(std::string const& peer,
                                                std::string const& incarnation);

    /// Number of suspected contents.
    std::uint64_t suspects() const;

    /// Reserves a server for one suspect until `release` or `until`. Returns false if the
    /// server, or half of its group, is already reserved.
    bool reserve(std::string const& server, std::set<std::string> const& group,
                 boot_clock::time_point until);
    void release(std::string const& server);

    /// True if a peer with precedence (a smaller VM name) has reserved the server too.
    bool contested(std::string const& server) const;

    /// Servers that must not receive other requests at present.
    std::set<std::string> reserved() const;
    bool                  reserved(std::string const& server) const;

private:
    struct reservation
    {
        std::string            holder; // entry VM
        boot_clock::time_point until{};
    };

    /// Number of heartbeats received from an incarnation of a peer.
    struct announcement
    {
        std::string incarnation;
        int         heartbeats = 0;
    };

    void broadcast_suspect(std::string const& content) const;
    void broadcast_reservation(std::string const& server, millis duration) const;
    bool is_reserved(std::string const& server, boot_clock::time_point now) const;

    std::string                                     node_;
    broadcaster                                     broadcast_;
    mutable std::mutex                              mutex_;
    poison_list                                     list_;
    mass_loss                                       losses_;
    std::map<std::string, std::vector<reservation>> reserved_;      // by server
    std::map<std::string, announcement>             announcements_; // by peer
};

} // namespace marigoldcrank

#endif
