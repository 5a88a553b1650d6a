// Simulation of a workspace's calls against its quota.
//
// Index: 1 calls, 2 audit, 3 owners
#include "quota_replay.hpp"

#include "policy/bucket_owner.hpp"
#include "policy/owner_queries.hpp"

#include <map>

namespace marigoldcrank
{

namespace
{

// 1. Calls

struct simulated_call
{
    millis       at{0};
    int          vm = 0;
    std::int64_t units = 0;
};

boot_clock::time_point time_of(millis at)
{
    return boot_clock::time_point{at};
}

bool within(millis at, millis begin, millis end)
{
    return at >= begin && at < end;
}

std::vector<simulated_call> draw_calls(quota_load const& load, int vms,
                                       std::uint64_t seed)
{
    std::mt19937_64                    random(seed);
    std::uniform_int_distribution<int> any_vm(0, vms - 1);
    std::exponential_distribution<>    apart(1.0);
    std::lognormal_distribution<>      size(-0.5, 1.0); // mean 1
    std::vector<simulated_call>        calls;
    constexpr double                   second_ms = 1000;
    double const usual_load = load.usual_load * static_cast<double>(load.quota.rate) /
                              static_cast<double>(load.mean_units) / second_ms;
    double at = 0;
    while (at < static_cast<double>(load.length.count()))
    {
        millis const now{static_cast<std::int64_t>(at)};
        bool const   peak = within(now, load.peak_begin, load.peak_end);
        at += apart(random) / (usual_load * (peak ? load.peak : 1));
        auto const units = static_cast<std::int64_t>(
            size(random) * static_cast<double>(load.mean_units));
        calls.push_back({millis{static_cast<std::int64_t>(at)}, any_vm(random),
                         std::clamp<std::int64_t>(units, 1, load.max_units)});
    }
    return calls;
}

// 2. Audit

/// Compares the units that ran with an exact bucket and with the bound on each window.
class quota_audit
{
public:
    explicit quota_audit(quota_load const& load)
        : load_(load), exact_({.rate = static_cast<double>(load.quota.rate),
                               .capacity = static_cast<double>(load.quota.burst),
                               .start = static_cast<double>(load.quota.burst)},
                              time_of(millis{0}))
    {
    }

    void add(simulated_call const& call, bool ran, double wait_ms)
    {
        bool const owed = !exact_.take(call.units, time_of(call.at));
        within_quota_ += owed ? static_cast<double>(call.units) : 0;
        refused_within_quota_ += owed && !ran ? static_cast<double>(call.units) : 0;
        wait_ms_ += wait_ms;
        ++calls_;
        if (ran)
        {
            ran_ += static_cast<double>(call.units);
            window_ += static_cast<double>(call.units);
            recent_.push_back(call);
        }
        while (!recent_.empty() && recent_.front().at <= call.at - replayed_terms.window)
        {
            window_ -= static_cast<double>(recent_.front().units);
            recent_.pop_front();
        }
        max_window_ = std::max(max_window_, window_);
    }

    quota_figures figures(double messages) const
    {
        constexpr double second_ms = 1000;
        auto const       seconds = static_cast<double>(load_.length.count()) / second_ms;
        auto const       window_s =
            static_cast<double>(replayed_terms.window.count()) / second_ms;
        auto const bound = static_cast<double>(load_.quota.rate) * window_s +
                           static_cast<double>(load_.quota.burst) +
                           static_cast<double>(replayed_terms.tolerance(load_.quota));
        return {.overrun = max_window_ / bound,
                .refused = refused_within_quota_ / within_quota_,
                .wait_ms = wait_ms_ / calls_,
                .messages = messages / seconds,
                .granted = ran_ / within_quota_};
    }

private:
    quota_load                 load_;
    token_bucket               exact_;
    std::deque<simulated_call> recent_; // calls of the current window
    double                     window_ = 0;
    double                     max_window_ = 0;
    double                     within_quota_ = 0;
    double                     refused_within_quota_ = 0;
    double                     ran_ = 0;
    double                     wait_ms_ = 0;
    double                     calls_ = 0;
};

} // namespace

// 3. Owners

namespace
{

// 500   ms; without a digest for this long, a VM counts as silent
constexpr millis digest_lifetime{500};
// 150   ms; added age of the digests at VMs that own no quotas
constexpr millis relay_delay{150};
// 150   ms; timeout of a query
constexpr millis query_timeout{150};
// 1000  ms; backoff from a VM that sent no reply
constexpr millis silence_backoff{1000};
// 2000  ms; duration of a power loss
constexpr millis power_off{2000};

/// The first VMs can own the quota; VM 0 is the owner at first. A partition separates
/// every third VM, and VM 0 if the seed is even.
class simulated_owners
{
public:
    simulated_owners(quota_load const& load, quota_faults const& faults,
                     std::uint64_t seed)
        : load_(load), faults_(faults), random_(seed), owners_(owner_count),
          share_(owner_count), silent_(static_cast<std::size_t>(faults.vms)),
          owner_partitioned_(seed % 2 == 0)
    {
        update_shares(millis{0});
    }

    /// Returns whether the call may run. Adds the time of the queries to `wait_ms`.
    bool admit(simulated_call const& call, double& wait_ms)
    {
        restart_if_due(call.at);
        update_shares(call.at);
        owner_queries queries{order(call.vm, call.at)};
        bool          granted = false;
        while (!queries.address().empty())
        {
            int const  owner = std::stoi(queries.address());
            auto const answer = query(call, owner, queries.left(), wait_ms);
            if (!answer)
            {
                silent_[slot(call.vm)][owner] = call.at + silence_backoff;
                queries.take(query_result::silent);
                continue;
            }
            silent_[slot(call.vm)].erase(owner);
            granted = answer->outcome == bucket_outcome::granted;
            queries.take(answer->outcome == bucket_outcome::declined
                             ? query_result::declined
                             : query_result::decided,
                         answer->owner);
        }
        return queries.decided() ? granted : admit_isolated(call);
    }

    double messages = 0;

private:
    static constexpr int owner_count = 6;

    static std::size_t slot(int index)
    {
        return static_cast<std::size_t>(index);
    }

    bool in_partition(int vm) const
    {
        return vm == 0 ? owner_partitioned_ : vm % 3 == 2;
    }

    bool partitioned(int left, int right, millis at) const
    {
        return within(at, faults_.partition_begin, faults_.partition_end) &&
               in_partition(left) != in_partition(right);
    }

    bool is_running(int owner, millis at) const
    {
        bool const powered_off = faults_.restart.count() > 0 &&
                                 within(at, faults_.restart, faults_.restart + power_off);
        bool const lost =
            owner == 0 && faults_.owner_lost.count() > 0 && at >= faults_.owner_lost;
        return !powered_off && !lost;
    }

    /// Whether `vm` receives the digests of `owner`.
    bool hears_from(int vm, int owner, millis at) const
    {
        return vm == owner || (is_running(owner, at) && !partitioned(vm, owner, at));
    }

    /// Returns the owners that a VM queries, in order: those that sent no reply come
    /// last.
    std::vector<std::string> order(int vm, millis at)
    {
        std::vector<std::string> result;
        for (int owner = 0; owner < owner_count; ++owner)
        {
            if (hears_from(vm, owner, at - digest_lifetime - relay_delay))
            {
                result.push_back(std::to_string(owner));
            }
        }
        std::stable_partition(result.begin(), result.end(),
                              [&](std::string const& owner)
                              { return at >= silent_[slot(vm)][std::stoi(owner)]; });
        return result;
    }

    std::optional<bucket_answer> query(simulated_call const& call, int owner,
                                       std::string const& left, double& wait_ms)
    {
        bool const own = call.vm == owner;
        messages += own ? 0 : 1;
        bool const lost =
            !own && std::bernoulli_distribution(faults_.lost_query_share)(random_);
        if (lost || !is_running(owner, call.at) || partitioned(call.vm, owner, call.at))
        {
            wait_ms += static_cast<double>(query_timeout.count());
            return std::nullopt;
        }
        messages += own ? 0 : 1;
        wait_ms += own ? 0 : static_cast<double>(faults_.round_trip.count());
        auto const here = view(owner, call.at);
        return owners_[slot(owner)].answer(
            {.key = "w", .units = call.units, .left = left},
            shared_bounds(load_.quota, replayed_terms, here.share), here,
            time_of(call.at));
    }

    owner_view view(int owner, millis at) const
    {
        owner_view result{
            .listed = true, .stopping = false, .predecessor = {}, .share = 1};
        result.share = share_[slot(owner)].value();
        for (int other = 0; other < owner && result.predecessor.empty(); ++other)
        {
            if (hears_from(owner, other, at - digest_lifetime))
            {
                result.predecessor = std::to_string(other);
            }
        }
        return result;
    }

    /// Counts the VMs heard by each owner, once per interval of the digests.
    void update_shares(millis at)
    {
        constexpr millis digest_pause{150};
        if (at < shares_updated_ + digest_pause)
        {
            return;
        }
        shares_updated_ = at;
        for (int owner = 0; owner < owner_count; ++owner)
        {
            std::int64_t heard = 0;
            for (int vm = 0; vm < faults_.vms; ++vm)
            {
                heard += hears_from(owner, vm, at - digest_lifetime) ? 1 : 0;
            }
            share_[slot(owner)].note(heard, faults_.vms, time_of(at));
        }
    }

    /// No owner can be queried: the VM admits calls up to its even share of the rate.
    bool admit_isolated(simulated_call const& call)
    {
        auto const bounds =
            isolated_bounds(load_.quota, replayed_terms, 1.0 / faults_.vms);
        auto const now = time_of(call.at);
        auto const own = isolated_buckets_.try_emplace(call.vm, bounds, now).first;
        return !own->second.take(call.units, now);
    }

    void restart_if_due(millis at)
    {
        if (faults_.restart.count() > 0 && !restarted_ &&
            at >= faults_.restart + power_off)
        {
            restarted_ = true;
            owners_.assign(owner_count, bucket_owner{});
        }
    }

    quota_load                         load_;
    quota_faults                       faults_;
    std::mt19937_64                    random_;
    std::vector<bucket_owner>          owners_;
    std::vector<fleet_share>           share_;
    std::vector<std::map<int, millis>> silent_; // by VM and owner: end of the backoff
    std::map<int, token_bucket>        isolated_buckets_;
    millis                             shares_updated_{-1000};
    bool                               owner_partitioned_ = false;
    bool                               restarted_ = false;
};

} // namespace

quota_figures simulate_quota(quota_load const& load, quota_faults const& faults,
                             std::uint64_t seed)
{
    simulated_owners fleet(load, faults, seed);
    quota_audit      audit(load);
    for (auto const& call : draw_calls(load, faults.vms, seed))
    {
        bool const powered_off =
            faults.restart.count() > 0 &&
            within(call.at, faults.restart, faults.restart + power_off);
        double     wait_ms = 0;
        bool const ran = !powered_off && fleet.admit(call, wait_ms);
        audit.add(call, ran, wait_ms);
    }
    return audit.figures(fleet.messages);
}

} // namespace marigoldcrank
