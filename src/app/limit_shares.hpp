// Limits of workspaces in tokens a minute, shared by all entry VMs.
//
// Index: limit_shares
#ifndef MARIGOLDCRANK_APP_LIMIT_SHARES_HPP
#define MARIGOLDCRANK_APP_LIMIT_SHARES_HPP

#include "domain/configuration.hpp"
#include "policy/limit_book.hpp"
#include "policy/quota_bucket.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Meters what a workspace uses here against this entry VM's share of its limit. A call
/// is admitted while the meter is not in debt and may put it there, since its output is
/// known only afterwards: over time the share holds, at any moment it is overrun by no
/// more than the calls in progress. Safe to use from several threads.
class limit_shares
{
public:
    limit_shares(limit_terms terms, std::uint64_t first_ask);

    /// Takes the limits of the rules in force.
    void configure(configuration const& config);

    /// Fails with refusal over_limit, which says when the debt will be paid.
    leaf::result<void> admit(std::string const& workspace, std::int64_t tokens,
                             boot_clock::time_point now);

    /// Counts tokens that are known only after admission.
    void charge(std::string const& workspace, std::int64_t tokens);

    /// What to ask peers for now; each ask goes to one peer. Call it with each heartbeat.
    std::vector<limit_ask> asks(boot_clock::time_point now);

    std::optional<limit_grant> lend(limit_ask const& ask, boot_clock::time_point now);
    void                       take(limit_grant const& grant, boot_clock::time_point now);

private:
    struct meter
    {
        std::int64_t                limit = 0;   // tokens a minute; 0 for none
        std::int64_t                offered = 0; // tokens since the last ask
        std::int64_t                demand = 0;  // tokens a minute, smoothed
        std::optional<quota_bucket> bucket;      // none: not used yet
        boot_clock::time_point      asked_at{};
    };

    /// The bucket of this VM's share as it is now.
    quota_bucket& bucket_of(std::string const& workspace, meter& own,
                            boot_clock::time_point now);

    std::mutex                   mutex_;
    limit_book                   book_;
    std::map<std::string, meter> meters_;
};

} // namespace marigoldcrank

#endif
