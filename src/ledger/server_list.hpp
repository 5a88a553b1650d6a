// The backend servers listed in the store; entries stay usable through store outages.
//
// Index: 1 server_list_options, 2 server_list
//
// Entries expire during an outage, because servers can't renew them. If the first listing
// after the outage were applied as it is, the list would be empty and every call refused,
// although all servers run. So entries that this listing lacks stay usable until `hold`
// after the end of the outage; those still missing then are removed. News that are late,
// or another VM that has lost the store, are no outage: what is missing then was removed.
// An entry that disappears soon afterwards may have expired late, or may have been
// removed by a server that is leaving. It is held too, but only so long that a leaving
// server gets no work after the time allowed.
#ifndef MARIGOLDCRANK_LEDGER_SERVER_LIST_HPP
#define MARIGOLDCRANK_LEDGER_SERVER_LIST_HPP

#include "domain/backend_server.hpp"
#include "ledger/server_index.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigoldcrank
{

struct server_list_options
{
    /// 2000  ms after an outage; live servers renew their entries within this.
    millis hold{2000};

    /// 1000  ms after an outage in which entries may still expire.
    millis late_expiry{1000};

    /// 700  ms; with the interval between two reads less than the 2 s after which a
    /// leaving server may get no work.
    millis late_hold{700};

    /// 2400  ms between two answered reads; in less time servers renew their entries, so
    /// that none expires.
    millis min_outage{2400};

    bool operator==(server_list_options const&) const = default;
};

/// Pure: time is passed in. Not thread-safe.
class server_list
{
public:
    explicit server_list(server_list_options options = {});
    server_list(server_list const&) = delete; // the index points into it
    server_list& operator=(server_list const&) = delete;

    /// Adds or replaces a server's entry, which ends its hold. True if the entry is new
    /// or has changed.
    bool put(backend_server const& server);

    /// Removes or holds an entry that was deleted from the store or can't be parsed, as
    /// records read at the store at `as_of` tell. True if this changed anything.
    bool drop(std::string const& id, boot_clock::time_point now,
              boot_clock::time_point as_of);
    bool drop(std::string const& id, boot_clock::time_point now)
    {
        return drop(id, now, now);
    }

    /// Applies a complete listing; entries that it lacks are dropped.
    void replace(std::vector<backend_server> const& all, boot_clock::time_point now);

    /// Marks a server that says itself that it is leaving. Its entries count as leaving
    /// until it restarts, since the store may have older ones. True if that is new.
    bool mark_leaving(std::string const& id);

    /// Called when the store is known to be away, not only silent to this VM: an outage
    /// may have begun after the last change that the list has.
    void store_lost();

    /// Called when a read of the store succeeds, whose records are as of `as_of`; ends an
    /// outage. Returns how long no read was answered; nothing if no outage was on.
    std::optional<boot_clock::duration> store_answered(boot_clock::time_point now,
                                                       boot_clock::time_point as_of);
    std::optional<boot_clock::duration> store_answered(boot_clock::time_point now)
    {
        return store_answered(now, now);
    }

    /// Since when the list has been complete without a gap in which entries may expire;
    /// none during one.
    std::optional<boot_clock::time_point>
    listed_since(boot_clock::time_point now) const noexcept;

    /// Called when all changes made during an outage have been applied.
    void caught_up();

    /// Records that the list has all changes made up to `as_of`, by the store.
    void complete_up_to(boot_clock::time_point as_of);

    /// Up to when the list is known to have all changes, by the store.
    boot_clock::time_point as_of() const noexcept
    {
        return complete_up_to_;
    }

    /// How long ago the list was known to be complete.
    boot_clock::duration age(boot_clock::time_point now) const noexcept
    {
        return now - complete_up_to_;
    }

    /// False once the hold of a missing entry is over.
    bool usable(std::string const& id, boot_clock::time_point now) const;

    /// Whether the entry is missing in the store and still usable.
    bool holds(std::string const& id) const
    {
        return hold_ends_.count(id) > 0;
    }

    /// Number of entries that are missing in the store and still usable.
    std::size_t held() const noexcept
    {
        return hold_ends_.size();
    }

    /// Removes the entries whose hold is over; returns their ids.
    std::vector<std::string> expire(boot_clock::time_point now);

    std::map<std::string, backend_server> const& servers() const noexcept;

    /// The same servers by service and role.
    server_index const& index() const noexcept
    {
        return index_;
    }

private:
    void erase(std::string const& id);

    /// Until when an entry that is dropped now stays usable; `now` if it isn't held.
    boot_clock::time_point hold_until(boot_clock::time_point now,
                                      boot_clock::time_point as_of) const;

    /// Whether entries may have expired because the store answered nobody until `as_of`.
    bool may_have_expired(boot_clock::time_point as_of) const
    {
        return as_of - lost_from_ >= options_.min_outage;
    }

    server_list_options                           options_;
    std::map<std::string, backend_server>         servers_;
    server_index                                  index_;
    std::map<std::string, boot_clock::time_point> hold_ends_; // of missing entries
    std::map<std::string, std::int64_t> leaving_; // start of the incarnation that leaves
    bool                                store_lost_ = false; // an outage may be on
    boot_clock::time_point              lost_from_{}; // last answered read before it
    bool                                catching_up_ = false;
    std::optional<boot_clock::time_point> store_returned_at_; // end of the last outage
    boot_clock::time_point                complete_up_to_{};
    boot_clock::time_point                complete_since_{};
};

} // namespace marigoldcrank

#endif
