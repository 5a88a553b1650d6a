// Suspected requests of all entry VMs, and the servers kept free for them.
//
// Index: 1 poison_guard, 2 solo_place
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

/// Now and then one request crashes each server that runs it, and its caller sends it
/// again, through another entry VM as well. Every request that was in flight on a crashed
/// server is suspected, by the hash of its content; it runs again only alone on its
/// server, so that a second crash names the guilty one and hits no other request. Safe to
/// use from several threads.
class poison_guard
{
public:
    using broadcaster = std::function<void(wire::peer_message&)>;

    poison_guard(std::string node, poison_options options, broadcaster broadcast);

    poison_verdict evaluate(std::string const& content) const;

    /// A server crashed while it ran this content; `crash` is unique to the attempt.
    void note_crash(std::string const& server, std::string const& content,
                    std::string const& crash);

    /// The content ran to its end; `alone` if nothing else ran beside it.
    void record_completion(std::string const& content, bool alone);

    /// News of a peer.
    void take(wire::poison_suspect const& news);
    void take(std::string const& peer, wire::solo_run const& news);

    /// What to tell a peer at its heartbeat: all that is suspected during the first
    /// heartbeats of each incarnation, since messages to a process that has just started
    /// may be lost; nothing afterwards.
    std::vector<wire::peer_message> news_for(std::string const& peer,
                                             std::string const& incarnation);

    /// Contents suspected at present.
    std::uint64_t suspects() const;

    /// Keeps a server free for one suspect, until `release` or the time is up. False if
    /// it or half of its group is kept already.
    bool reserve(std::string const& server, std::set<std::string> const& group,
                 boot_clock::time_point until);
    void release(std::string const& server);

    /// True if a peer with precedence wants the server for a suspect of its own.
    bool contested(std::string const& server) const;

    /// Servers that get no other work at present.
    std::set<std::string> reserved() const;
    bool                  reserved(std::string const& server) const;

private:
    struct reservation
    {
        std::string            holder; // entry VM
        boot_clock::time_point until{};
    };

    /// How many heartbeats of an incarnation were heard.
    struct newcomer
    {
        std::string incarnation;
        int         beats = 0;
    };

    void broadcast_suspect(std::string const& content) const;
    void broadcast_solo(std::string const& server, millis duration) const;
    bool held(std::string const& server, boot_clock::time_point now) const;

    std::string                                     node_;
    broadcaster                                     broadcast_;
    mutable std::mutex                              mutex_;
    poison_list                                     list_;
    mass_loss                                       losses_;
    std::map<std::string, std::vector<reservation>> reserved_; // by server
    std::map<std::string, newcomer>                 heard_;    // by peer
};

} // namespace marigoldcrank

#endif
