// One entry VM's account of its share of each workspace limit, with loans between VMs.
//
// Index: 1 limit_terms, 2 limit_ask, limit_grant, 3 limit_book
//
// Each of N entry VMs permanently owns one Nth of every limit and lends parts of it for a
// fixed time. The borrower counts this time from before it sends the query. The lender
// counts it from the grant and adds the bound on clock drift. A loan therefore ends at
// the borrower first, also when messages are lost or late or the network is partitioned,
// and the shares in use never add up to more than the limit. A process that has just
// started doesn't know the loans of its earlier run, so it uses only the part that is
// never lent until the longest possible loan has ended. An entry VM without demand of its
// own lends all that it may lend, so the shares follow the demand.
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

/// Terms of loans. They must be equal on all entry VMs.
struct limit_terms
{
    std::int64_t entries = 1;           // 1     entry VMs that share every limit
    std::int64_t reserved_percent = 25; // 25    part of the own share never lent, %
    millis       loan{4'000};           // 4000  length of a loan, ms
    millis       drift{200};            // 200   bound on clock drift over a loan, ms

    bool operator==(limit_terms const&) const = default;
};

/// Query for a loan, in tokens per minute.
struct limit_ask
{
    std::string   workspace;
    std::uint64_t ask = 0; // number of the query at its sender
    std::int64_t  wanted = 0;

    bool operator==(limit_ask const&) const = default;
};

/// Reply to one query, which grants a loan.
struct limit_grant
{
    std::string   workspace;
    std::uint64_t ask = 0;
    std::int64_t  amount = 0;

    bool operator==(limit_grant const&) const = default;
};

/// This VM's shares of all workspace limits, and its loans to and from other VMs. Not
/// thread-safe.
class limit_book
{
public:
    /// `first_ask` must differ between runs of the process: a grant for a query of an
    /// earlier run would otherwise be matched to a later query with the same number.
    limit_book(limit_terms terms, boot_clock::time_point started,
               std::uint64_t first_ask);

    /// Sets a workspace's limit, in tokens per minute; 0: none. A lowered limit takes
    /// effect here at once; loans given under the old limit run until their end.
    void set_limit(std::string const& workspace, std::int64_t limit);

    /// What this entry VM may use now, in tokens per minute: its own share, less what it
    /// has lent, plus what it has borrowed.
    std::int64_t usable(std::string const& workspace, boot_clock::time_point now);

    /// Sets this entry VM's own recent demand, in tokens per minute.
    void set_demand(std::string const& workspace, std::int64_t demand);

    /// The query to send to one peer, if the demand exceeds what is usable.
    std::optional<limit_ask> ask(std::string const&     workspace,
                                 boot_clock::time_point now);

    /// Replies to a peer's query. There is no grant if nothing can be lent.
    std::optional<limit_grant> lend(limit_ask const& ask, boot_clock::time_point now);

    /// Records a grant as borrowed. Unsolicited, repeated and late grants are ignored.
    void take(limit_grant const& grant, boot_clock::time_point now);

private:
    struct loan
    {
        std::int64_t           amount;
        boot_clock::time_point until;
    };
    struct workspace_account
    {
        std::int64_t                                    limit = 0;
        std::int64_t                                    demand = 0;
        std::vector<loan>                               lent;
        std::vector<loan>                               borrowed;
        std::map<std::uint64_t, boot_clock::time_point> asked; // send time by query
    };

    std::int64_t own_share(workspace_account const& account) const;
    std::int64_t sum(std::vector<loan>& loans, boot_clock::time_point now) const;

    limit_terms                              terms_;
    boot_clock::time_point                   started_;
    std::uint64_t                            next_ask_;
    std::map<std::string, workspace_account> accounts_;
};

} // namespace marigoldcrank

#endif
