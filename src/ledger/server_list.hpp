// The backend servers as the store lists them, held through outages of the store.
//
// Index: 1 server_list_options, 2 server_list
//
// Failure guarded against: entries lapse while the store is away, because servers can't
// renew them. Read back at once, the list would be empty and every call refused though
// all servers run. So entries found missing by the first read after an outage stay usable
// until `hold` after its end; those still missing then are gone. An entry that vanishes
// soon after may have lapsed late, or been removed by a server that leaves: it is held
// too, but so shortly that a leaving server gets no work for longer than is allowed.
#ifndef MARIGOLDCRANK_LEDGER_SERVER_LIST_HPP
#define MARIGOLDCRANK_LEDGER_SERVER_LIST_HPP

#include "domain/backend_server.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigoldcrank
{

struct server_list_options
{
    millis hold{2000};       // 2000  ms; live servers have written again within this
    millis late_lapse{1000}; // 1000  ms after an outage in which entries may still lapse
    millis late_hold{700};   // 700   ms; with the pause between reads less than the two
                             //       seconds after which a leaving server gets no work

    bool operator==(server_list_options const&) const = default;
};

/// Pure: time is passed in. Not shared between threads.
class server_list
{
public:
    explicit server_list(server_list_options options = {});

    /// Takes in a server's newest entry. True if something other than time has changed.
    bool put(backend_server const& server);

    /// The entry has vanished, or holds nothing that can be used.
    bool drop(std::string const& id, boot_clock::time_point now);

    /// A whole listing: what it lacks has vanished.
    void replace(std::vector<backend_server> const& all, boot_clock::time_point now);

    /// A read of the store failed, or was answered again.
    void store_lost();
    void store_answered(boot_clock::time_point now);

    /// All that was written during an outage has been taken in.
    void caught_up();

    /// False once the hold of an entry that has vanished is over.
    bool usable(std::string const& id, boot_clock::time_point now) const;

    /// Ends the hold of entries that stayed away; the ids that are gone by that.
    std::vector<std::string> expire(boot_clock::time_point now);

    std::map<std::string, backend_server> const& servers() const noexcept;

private:
    /// Until when an entry that vanishes now stays usable; `now` if it doesn't.
    boot_clock::time_point hold_until(boot_clock::time_point now) const;

    server_list_options                           options_;
    std::map<std::string, backend_server>         servers_;
    std::map<std::string, boot_clock::time_point> lapsed_; // held until then
    bool                                          lost_ = false;
    bool                                          catching_up_ = false;
    std::optional<boot_clock::time_point>         back_;
};

} // namespace marigoldcrank

#endif
