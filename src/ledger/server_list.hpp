// The backend servers as the store lists them, held through outages of the store.
//
// Index: 1 server_list_options, 2 server_list
//
// Failure guarded against: entries lapse while the store is away, because servers can't
// renew them. Read back at once, the list would be empty and every call refused though
// all servers run. So entries that vanish during an outage, or within `hold` of its end,
// stay usable until `hold` after its end; those still missing then are gone.
#ifndef MARIGOLDCRANK_LEDGER_SERVER_LIST_HPP
#define MARIGOLDCRANK_LEDGER_SERVER_LIST_HPP

#include "domain/backend_server.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marigoldcrank
{

struct server_list_options
{
    millis hold{2000}; // 2000  ms; live servers have written again within this

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

    /// Ends the hold of entries that stayed away; the ids that are gone by that.
    std::vector<std::string> expire(boot_clock::time_point now);

    std::map<std::string, backend_server> const& servers() const noexcept;

private:
    bool holding(boot_clock::time_point now) const;

    server_list_options                   options_;
    std::map<std::string, backend_server> servers_;
    std::set<std::string>                 lapsed_;
    bool                                  lost_ = false;
    std::optional<boot_clock::time_point> back_;
};

} // namespace marigoldcrank

#endif
