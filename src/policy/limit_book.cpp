// Shares of limits and the loans between entry VMs.
#include "policy/limit_book.hpp"

#include <algorithm>

namespace marigoldcrank
{

namespace
{
constexpr std::int64_t percent = 100;
}

limit_book::limit_book(limit_terms terms, boot_clock::time_point started,
                       std::uint64_t first_ask)
    : terms_(terms), started_(started), next_ask_(first_ask)
{
}

void limit_book::set_limit(std::string const& workspace, std::int64_t limit)
{
    accounts_[workspace].limit = limit;
}

void limit_book::set_demand(std::string const& workspace, std::int64_t demand)
{
    accounts_[workspace].demand = demand;
}

std::int64_t limit_book::own_share(workspace_account const& account) const
{
    return account.limit / std::max<std::int64_t>(1, terms_.entries);
}

std::int64_t limit_book::sum(std::vector<loan>& loans, boot_clock::time_point now) const
{
    std::erase_if(loans, [&](loan const& each) { return now >= each.until; });
    std::int64_t total = 0;
    for (auto const& each : loans)
    {
        total += each.amount;
    }
    return total;
}

std::int64_t limit_book::usable(std::string const& workspace, boot_clock::time_point now)
{
    auto&      account = accounts_[workspace];
    auto const own = own_share(account);
    bool const recently_started = now < started_ + terms_.loan + terms_.drift;
    auto const available =
        recently_started ? own * terms_.reserved_percent / percent : own;
    return std::max<std::int64_t>(0, available - sum(account.lent, now)) +
           sum(account.borrowed, now);
}

std::optional<limit_ask> limit_book::ask(std::string const&     workspace,
                                         boot_clock::time_point now)
{
    auto&      account = accounts_[workspace];
    auto const shortfall = account.demand - usable(workspace, now);
    std::erase_if(account.asked,
                  [&](auto const& each) { return now >= each.second + terms_.loan; });
    if (account.limit == 0 || shortfall <= 0)
    {
        return std::nullopt;
    }
    auto const number = next_ask_++;
    account.asked[number] = now;
    return limit_ask{workspace, number, shortfall};
}

std::optional<limit_grant> limit_book::lend(limit_ask const&       ask,
                                            boot_clock::time_point now)
{
    auto&      account = accounts_[ask.workspace];
    auto const own = own_share(account);
    bool const recently_started = now < started_ + terms_.loan + terms_.drift;
    auto const lent = sum(account.lent, now);
    auto const lendable = own - own * terms_.reserved_percent / percent - lent;
    auto const spare = own - lent - account.demand;
    auto const amount = std::min({ask.wanted, lendable, spare});
    if (recently_started || amount <= 0)
    {
        return std::nullopt;
    }
    account.lent.push_back({amount, now + terms_.loan + terms_.drift});
    return limit_grant{ask.workspace, ask.ask, amount};
}

void limit_book::take(limit_grant const& grant, boot_clock::time_point now)
{
    auto&      account = accounts_[grant.workspace];
    auto const asked = account.asked.find(grant.ask);
    if (asked == account.asked.end() || now >= asked->second + terms_.loan)
    {
        return;
    }
    account.borrowed.push_back({grant.amount, asked->second + terms_.loan});
    account.asked.erase(asked);
}

} // namespace marigoldcrank
