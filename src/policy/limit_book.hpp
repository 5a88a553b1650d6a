// Limits shared by the entry VMs: one entry VM's book of its shares.
//
// Index: 1 limit_terms, 2 limit_ask, limit_grant, 3 limit_book
//
// Each of N entry VMs owns one Nth of every limit for good and lends from that by time. A
// borrower counts a loan from before it sent the ask; the lender counts it from when it
// granted, plus the drift bound, so a loan ends at the borrower first, whatever was lost,
// late or cut off in between. Hence the shares in use never add up to more than the
// limit. A process that has just started forgot its loans: it uses only what may never be
// lent, until the longest loan has run out. An entry VM in none of whose shares a
// workspace has demand lends freely, so shares follow demand.
#ifndef MARIGOLDCRANK_POLICY_LIMIT_BOOK_HPP
#define MARIGOLDCRANK_POLICY_LIMIT_BOOK_HPP

#include "domain/boot_clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// The same on all entry VMs.
struct limit_terms
{
    std::int64_t entries = 1;           // 1     entry VMs that share every limit
    std::int64_t reserved_percent = 25; // 25    of the own share that is never lent
    millis       loan{4'000};           // 4000  length of a loan, ms
    millis       drift{200};            // 200   bound on clock drift over a loan, ms

    bool operator==(limit_terms const&) const = default;
};

/// Asks for a loan, in tokens a minute.
struct limit_ask
{
    std::string   workspace;
    std::uint64_t ask = 0; // names the ask at its sender
    std::int64_t  wanted = 0;

    bool operator==(limit_ask const&) const = default;
};

/// Lends; the answer to one ask.
struct limit_grant
{
    std::string   workspace;
    std::uint64_t ask = 0;
    std::int64_t  amount = 0;

    bool operator==(limit_grant const&) const = default;
};

/// Not safe to use from several threads.
class limit_book
{
public:
    /// `first_ask` must differ between runs of the process: a grant for an ask of an
    /// earlier run would else be counted from a later ask of the same number.
    limit_book(limit_terms terms, boot_clock::time_point started,
               std::uint64_t first_ask);

    /// Sets or changes a workspace's limit, in tokens a minute; 0 for none. A lowered
    /// limit counts at once here; loans given under the old one run out.
    void set_limit(std::string const& workspace, std::int64_t limit);

    /// What this entry VM may use now, in tokens a minute.
    std::int64_t usable(std::string const& workspace, boot_clock::time_point now);

    /// This entry VM's own recent demand, in tokens a minute.
    void set_demand(std::string const& workspace, std::int64_t demand);

    /// The ask to send to one peer, if demand exceeds what is usable.
    std::optional<limit_ask> ask(std::string const&     workspace,
                                 boot_clock::time_point now);

    /// Answers a peer's ask; nothing to lend gives no grant.
    std::optional<limit_grant> lend(limit_ask const& ask, boot_clock::time_point now);

    /// Takes a grant. One that nobody asked for, a repeated or a late one counts nothing.
    void take(limit_grant const& grant, boot_clock::time_point now);

private:
    struct loan
    {
        std::int64_t           amount;
        boot_clock::time_point until;
    };
    struct workspace_book
    {
        std::int64_t                                    limit = 0;
        std::int64_t                                    demand = 0;
        std::vector<loan>                               lent;
        std::vector<loan>                               borrowed;
        std::map<std::uint64_t, boot_clock::time_point> asked; // when each was sent
    };

    std::int64_t own_share(workspace_book const& book) const;
    std::int64_t sum(std::vector<loan>& loans, boot_clock::time_point now) const;

    limit_terms                           terms_;
    boot_clock::time_point                started_;
    std::uint64_t                         next_ask_;
    std::map<std::string, workspace_book> books_;
};

} // namespace marigoldcrank

#endif
