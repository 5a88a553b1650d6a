// Learns how fast each server is, relative to the mean of its service.
//
// Index: 1 pace_options, 2 pace_sample, 3 pace_change, 4 server_paces
//
// Engines of one service differ in speed by more than two times, and servers turn slow
// for a second. A VM of many sees each server rarely, so VMs add up their samples
// (pace_sums). A sample is compared with a baseline of its VM, so that what is common to
// all servers of a service, such as a slow VM or a far data centre, doesn't count.
#ifndef MARIGOLDCRANK_POLICY_SERVER_PACES_HPP
#define MARIGOLDCRANK_POLICY_SERVER_PACES_HPP

#include "domain/boot_clock.hpp"
#include "policy/pace_sums.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marigoldcrank
{

struct pace_options
{
    // 30 and 1.5  s; time constants of the lasting and of the recent samples
    double lasting_s = 30;
    double recent_s = 1.5;
    // 1 and 1.5   samples; weight of pace 1 against the lasting samples, and of the
    //             lasting mean against the recent samples
    double lasting_prior = 1;
    double recent_prior = 1.5;
    // 5     ms; added to times, so that differences of connecting and scheduling, which
    //       callers don't notice, don't look like differences of servers
    double noise_ms = 5;
    // 4     times; bound of samples and paces, both ways
    double max_ratio = 4;
    // 1.15  times, and 2 standard errors; a pace nearer to 1 counts as 1
    double dead_band = 1.15;
    double dead_band_errors = 2;
    // 0.05  variance of a baseline's logarithms at which samples count half
    double half_weight_variance = 0.05;
    // 8     samples; weight of a predicted baseline. A baseline without a prediction is
    //       used after so many samples
    double baseline_prior = 8;
    // 60    samples; largest weight of a baseline, so that it follows changes
    double baseline_samples = 60;
    // 64 and 256  servers in the digest of a VM, and in that of several VMs
    std::size_t max_own = 64;
    std::size_t max_summed = 256;

    bool operator==(pace_options const&) const = default;
};

/// One call's time at one server.
struct pace_sample
{
    std::string server;
    std::string service;
    std::string kind;            // calls of one kind are comparable with each other
    bool        remote = false;  // the server is in another data centre
    double      expected_ms = 0; // time at a server of pace 1; 0: no prediction
    double      wait_ms = 0;     // predicted wait before it
    double      took_ms = 0;     // observed, with the wait
    double      weight = 1;      // 0 to 1; how much the time says about the server
};

/// A server's pace that has left or entered the dead band, or crossed it.
struct pace_change
{
    std::string server;
    std::string service;
    double      pace = 1;
    double      samples = 0; // weight of the samples of all VMs
    millis      own_age{-1}; // of this VM's newest sample; -1: none lately
};

/// Paces by the samples of this VM and of others. No I/O; the caller passes the time.
class server_paces
{
public:
    explicit server_paces(pace_options options = {}) : options_(options) {}

    void record(pace_sample const& sample, boot_clock::time_point now);

    /// The sums of this VM, bounded, for its digest.
    server_pace_sums own(boot_clock::time_point now);

    /// Computes the paces from own samples and the sums of others. `service_of` returns
    /// the service of a listed server, or an empty text; `size_of` the number of servers
    /// of a service. Returns what has changed.
    template <class ServiceOf, class SizeOf>
    std::vector<pace_change> update(server_pace_sums others, ServiceOf&& service_of,
                                    SizeOf&& size_of, boot_clock::time_point now)
    {
        std::map<std::string, service_estimates> services;
        for (auto const& [server, sums] : total(std::move(others), now))
        {
            std::string const service = service_of(server);
            if (!service.empty())
            {
                services[service].estimates[server] = {
                    log_pace(sums), dead_band(sums),
                    sums.lasting.mean(0, options_.lasting_prior), sums.lasting.weight};
            }
        }
        for (auto& [service, each] : services)
        {
            each.size = size_of(service);
        }
        return apply(services, now);
    }

    /// The speed of a server relative to the mean of its service; 1 if unknown.
    double pace(std::string const& server) const
    {
        auto const found = paces_.find(server);
        return found == paces_.end() ? 1 : found->second.pace;
    }

    /// The same by the lasting samples alone.
    double lasting(std::string const& server) const
    {
        auto const found = lasting_.find(server);
        return found == lasting_.end() ? 1 : found->second;
    }

    /// The servers with most samples, for the digest of a data centre.
    server_pace_sums most_sampled(server_pace_sums sums) const;

    /// The servers whose pace isn't 1, for the digest of the fleet. The members of a
    /// relay hear no other digest, so these sums are relative to the mean of the service.
    server_pace_sums differing(server_pace_sums const& sums) const;

    /// Drops what is known about a server that is gone or has restarted.
    void forget(std::string const& server);

private:
    /// Mean and variance of the logarithms of one kind of calls at this VM.
    struct baseline
    {
        double weight = 0;
        double mean = 0;
        double variance = 0;
        double samples = 0;
    };

    struct own_sums
    {
        pace_sums              sums;
        boot_clock::time_point decayed_at{};
        boot_clock::time_point sampled_at{};
    };

    struct estimate
    {
        double log_pace = 0;
        double dead_band = 0; // logarithm
        double lasting = 0;   // logarithm
        double weight = 0;
    };

    struct service_estimates
    {
        std::map<std::string, estimate> estimates; // by server
        std::int64_t                    size = 0;  // servers of the service
    };

    struct known_pace
    {
        std::string service;
        double      pace = 1;
    };

    using baseline_key = std::tuple<std::string, std::string, bool>;

    void             decay(own_sums& entry, boot_clock::time_point now) const;
    double           log_pace(pace_sums const& sums) const;
    double           dead_band(pace_sums const& sums) const;
    double           clip(double log_ratio) const;
    server_pace_sums total(server_pace_sums others, boot_clock::time_point now);
    std::vector<pace_change>
    apply(std::map<std::string, service_estimates> const& services,
          boot_clock::time_point                          now);

    /// The change of a server's pace to `value`; nothing if it stays on its side of 1.
    std::optional<pace_change> change_of(std::string const& server,
                                         std::string const& service, double value,
                                         double                 samples,
                                         boot_clock::time_point now) const;

    pace_options                                options_;
    std::map<std::string, own_sums>             own_;         // by server
    std::map<baseline_key, baseline>            baselines_;   // of this VM
    std::unordered_map<std::string, known_pace> paces_;       // those that aren't 1
    std::unordered_map<std::string, double>     lasting_;     // those that aren't 1
    std::unordered_map<std::string, double>     mean_shifts_; // by sampled server
};

} // namespace marigoldcrank

#endif
