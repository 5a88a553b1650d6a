// Token limits of workspaces (tokens per minute), shared by all entry VMs.
//
// Index: limit_shares
#ifndef MARIGOLDCRANK_APP_LIMIT_SHARES_HPP
#define MARIGOLDCRANK_APP_LIMIT_SHARES_HPP

#include "domain/configuration.hpp"
#include "policy/limit_book.hpp"
#include "policy/token_bucket.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// Meters the tokens that a workspace uses on this entry VM against the share of its
/// limit that this VM holds. A call is admitted while the meter is not in debt. The call
/// may put the meter into debt, since its output is known only afterwards. On average the
/// share holds; at any moment it is exceeded by at most the calls in progress.
/// Thread-safe.
class limit_shares
{
public:
    limit_shares(limit_terms terms, std::uint64_t first_ask);

    /// Applies the limits of the configuration in force.
    void configure(configuration const& config);

    /// Charges the tokens of a new call. Fails with refusal over_limit, whose retry time
    /// is when the debt will be paid.
    leaf::result<void> admit(std::string const& workspace, std::int64_t tokens,
                             boot_clock::time_point now);

    /// Charges tokens that are known only after admission.
    void charge(std::string const& workspace, std::int64_t tokens);

    /// Requests to peers for parts of their shares; each one goes to one peer. Call at
    /// each heartbeat.
    std::vector<limit_ask> asks(boot_clock::time_point now);

    std::optional<limit_grant> lend(limit_ask const& ask, boot_clock::time_point now);
    void                       take(limit_grant const& grant, boot_clock::time_point now);

private:
    struct meter
    {
        std::int64_t                limit = 0;   // tokens per minute; 0: no limit
        std::int64_t                offered = 0; // tokens since asked_at
        std::int64_t                demand = 0;  // tokens per minute, smoothed
        std::optional<token_bucket> bucket;      // none: not used yet
        boot_clock::time_point      asked_at{};
    };

    /// The bucket of the workspace, adjusted to the current share of this VM.
    token_bucket& bucket_of(std::string const& workspace, meter& workspace_meter,
                            boot_clock::time_point now);

    std::mutex                   mutex_;
    limit_book                   book_;
    std::map<std::string, meter> meters_;
};

} // namespace marigoldcrank

#endif
