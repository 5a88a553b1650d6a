// The VMs that open connections to servers for VMs without links of their own.
//
// Index: 1 server_proxy, 2 proxy_list_options, 3 proxy_tally, 4 proxy_list
#ifndef MARIGOLDCRANK_POLICY_PROXY_LIST_HPP
#define MARIGOLDCRANK_POLICY_PROXY_LIST_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace marigoldcrank
{

/// The offer of one VM to open connections.
struct server_proxy
{
    std::string           address;     // "IP:PORT"
    std::string           data_centre; // of the VM
    std::set<std::string> without;     // services whose servers the VM doesn't reach

    auto operator<=>(server_proxy const&) const = default;
};

struct proxy_list_options
{
    millis max_age{1000}; // 1000  ms; an offer that isn't repeated for longer has ended

    bool operator==(proxy_list_options const&) const = default;
};

/// Numbers of current offers.
struct proxy_tally
{
    std::int64_t current = 0;
    std::int64_t without = 0; // of VMs without links to the service
    std::int64_t avoided = 0; // of VMs with links that are left out for a while

    bool operator==(proxy_tally const&) const = default;
};

/// Offers of other VMs. No I/O; the caller passes the time.
class proxy_list
{
public:
    explicit proxy_list(proxy_list_options options = {}) : options_(options) {}

    /// Records an offer that was received now.
    void receive(server_proxy const& offer, boot_clock::time_point now)
    {
        auto& entry = entries_[offer.address];
        entry.offer = offer;
        entry.received_at = now;
    }

    /// Leaves a VM out until `until`, because it didn't reply or had no room.
    void avoid(std::string const& address, boot_clock::time_point until)
    {
        auto const found = entries_.find(address);
        if (found != entries_.end())
        {
            found->second.avoided_until = until;
        }
    }

    /// A VM that reaches the servers of `service` and isn't in `tried`, by `random`
    /// among those of the data centre `near`, or of all if there is none. Null: none.
    server_proxy const* choose(std::string const& service, std::string const& near,
                               std::set<std::string> const& tried, std::uint64_t random,
                               boot_clock::time_point now) const
    {
        std::vector<server_proxy const*> close;
        std::vector<server_proxy const*> distant;
        for (auto const& [address, entry] : entries_)
        {
            bool const usable = is_current(entry, now) && now >= entry.avoided_until &&
                                entry.offer.without.count(service) == 0 &&
                                tried.count(address) == 0;
            if (usable)
            {
                (entry.offer.data_centre == near ? close : distant)
                    .push_back(&entry.offer);
            }
        }
        auto const& from = close.empty() ? distant : close;
        return from.empty() ? nullptr : from[random % from.size()];
    }

    proxy_tally tally(std::string const& service, boot_clock::time_point now) const
    {
        proxy_tally result;
        for (auto const& [address, entry] : entries_)
        {
            bool const without = entry.offer.without.count(service) > 0;
            result.current += is_current(entry, now) ? 1 : 0;
            result.without += is_current(entry, now) && without ? 1 : 0;
            result.avoided +=
                is_current(entry, now) && !without && now < entry.avoided_until ? 1 : 0;
        }
        return result;
    }

    /// Up to `count` current offers that follow the one at a place chosen by `random`, of
    /// the VMs in `data_centre` only unless it is empty.
    std::vector<server_proxy> sample(std::size_t count, std::string const& data_centre,
                                     std::uint64_t          random,
                                     boot_clock::time_point now) const
    {
        std::vector<server_proxy> offers;
        for (auto const& [address, entry] : entries_)
        {
            if (is_current(entry, now) &&
                (data_centre.empty() || entry.offer.data_centre == data_centre))
            {
                offers.push_back(entry.offer);
            }
        }
        std::vector<server_proxy> result;
        for (std::size_t step = 0; step < std::min(count, offers.size()); ++step)
        {
            result.push_back(offers[(random % offers.size() + step) % offers.size()]);
        }
        return result;
    }

    /// Drops offers that have ended.
    void expire(boot_clock::time_point now)
    {
        std::erase_if(entries_,
                      [&](auto const& each) { return !is_current(each.second, now); });
    }

private:
    struct known_offer
    {
        server_proxy           offer;
        boot_clock::time_point received_at{};
        boot_clock::time_point avoided_until{};
    };

    bool is_current(known_offer const& value, boot_clock::time_point now) const
    {
        return now - value.received_at <= options_.max_age;
    }

    proxy_list_options                 options_;
    std::map<std::string, known_offer> entries_; // by address
};

} // namespace marigoldcrank

#endif
