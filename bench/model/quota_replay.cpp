// A workspace's calls, call by call.
//
// Index: 1 calls, 2 audit, 3 homes
#include "quota_replay.hpp"

#include "policy/quota_owner.hpp"
#include "policy/quota_queries.hpp"

#include <map>

namespace marigoldcrank
{

namespace
{

// 1. Calls

struct played_call
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

std::vector<played_call> draw_calls(quota_load const& load, int vms, std::uint64_t seed)
{
    std::mt19937_64                    random(seed);
    std::uniform_int_distribution<int> any_vm(0, vms - 1);
    std::exponential_distribution<>    apart(1.0);
    std::lognormal_distribution<>      size(-0.5, 1.0); // mean 1
    std::vector<played_call>           calls;
    constexpr double                   second_ms = 1000;
    double const usual = load.usual * static_cast<double>(load.quota.rate) /
                         static_cast<double>(load.mean_units) / second_ms;
    double at = 0;
    while (at < static_cast<double>(load.length.count()))
    {
        millis const now{static_cast<std::int64_t>(at)};
        bool const   peak = within(now, load.peak_begin, load.peak_end);
        at += apart(random) / (usual * (peak ? load.peak : 1));
        auto const units = static_cast<std::int64_t>(
            size(random) * static_cast<double>(load.mean_units));
        calls.push_back({millis{static_cast<std::int64_t>(at)}, any_vm(random),
                         std::clamp<std::int64_t>(units, 1, load.most_units)});
    }
    return calls;
}

// 2. Audit

/// Compares what ran with an exact bucket and with the bound on every window.
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

    void add(played_call const& call, bool ran, double wait_ms)
    {
        bool const owed = !exact_.take(call.units, time_of(call.at));
        owed_ += owed ? static_cast<double>(call.units) : 0;
        missed_ += owed && !ran ? static_cast<double>(call.units) : 0;
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
        most_ = std::max(most_, window_);
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
        return {.overrun = most_ / bound,
                .refused = missed_ / owed_,
                .wait_ms = wait_ms_ / calls_,
                .messages = messages / seconds,
                .granted = ran_ / owed_};
    }

private:
    quota_load              load_;
    quota_bucket            exact_;
    std::deque<played_call> recent_; // of one window
    double                  window_ = 0;
    double                  most_ = 0;
    double                  owed_ = 0;
    double                  missed_ = 0;
    double                  ran_ = 0;
    double                  wait_ms_ = 0;
    double                  calls_ = 0;
};

} // namespace

// 3. Homes

namespace
{

// 500   ms without a digest, after which a VM isn't heard any more
constexpr millis digest_life{500};
// 150   ms; what VMs that don't keep quotas know of them is older by so much
constexpr millis relayed{150};
// 150   ms until a question is given up
constexpr millis question_patience{150};
// 1000  ms; a silent VM is left alone for so long
constexpr millis silent_pause{1000};
// 2000  ms; without power
constexpr millis power_off{2000};

/// The first VMs may keep the quota, VM 0 is the home. A cut takes every third VM, and
/// the home by turns.
class played_homes
{
public:
    played_homes(quota_load const& load, quota_trouble const& trouble, std::uint64_t seed)
        : load_(load), trouble_(trouble), random_(seed),
          homes_(home_count, quota_owner{replayed_terms}), share_(home_count),
          silent_(static_cast<std::size_t>(trouble.vms)), cut_home_(seed % 2 == 0)
    {
        note_shares(millis{0});
    }

    /// Whether the call may run; `wait_ms` is what the answers took.
    bool admit(played_call const& call, double& wait_ms)
    {
        restart_if_due(call.at);
        note_shares(call.at);
        quota_queries queries{order(call.vm, call.at)};
        bool          granted = false;
        while (!queries.address().empty())
        {
            int const  home = std::stoi(queries.address());
            auto const answer = ask(call, home, queries.left(), wait_ms);
            if (!answer)
            {
                silent_[slot(call.vm)][home] = call.at + silent_pause;
                queries.take(quota_reply::silent);
                continue;
            }
            silent_[slot(call.vm)].erase(home);
            granted = answer->outcome == quota_outcome::granted;
            queries.take(answer->outcome == quota_outcome::declined
                             ? quota_reply::declined
                             : quota_reply::decided,
                         answer->home);
        }
        return queries.decided() ? granted : admit_alone(call);
    }

    double messages = 0;

private:
    static constexpr int home_count = 6;

    static std::size_t slot(int index)
    {
        return static_cast<std::size_t>(index);
    }

    bool in_cut(int vm) const
    {
        return vm == 0 ? cut_home_ : vm % 3 == 2;
    }

    bool apart(int left, int right, millis at) const
    {
        return within(at, trouble_.cut_begin, trouble_.cut_end) &&
               in_cut(left) != in_cut(right);
    }

    bool lives(int home, millis at) const
    {
        bool const dark = trouble_.restart.count() > 0 &&
                          within(at, trouble_.restart, trouble_.restart + power_off);
        bool const lost =
            home == 0 && trouble_.home_lost.count() > 0 && at >= trouble_.home_lost;
        return !dark && !lost;
    }

    /// Whether digests of `home` have come to `vm` lately.
    bool hears(int vm, int home, millis at) const
    {
        return vm == home || (lives(home, at) && !apart(vm, home, at));
    }

    /// Whom a VM would ask: silent ones last.
    std::vector<std::string> order(int vm, millis at)
    {
        std::vector<std::string> result;
        for (int home = 0; home < home_count; ++home)
        {
            if (hears(vm, home, at - digest_life - relayed))
            {
                result.push_back(std::to_string(home));
            }
        }
        std::stable_partition(result.begin(), result.end(),
                              [&](std::string const& home)
                              { return at >= silent_[slot(vm)][std::stoi(home)]; });
        return result;
    }

    std::optional<quota_answer> ask(played_call const& call, int home,
                                    std::string const& left, double& wait_ms)
    {
        bool const own = call.vm == home;
        messages += own ? 0 : 1;
        bool const lost =
            !own && std::bernoulli_distribution(trouble_.lost_asks)(random_);
        if (lost || !lives(home, call.at) || apart(call.vm, home, call.at))
        {
            wait_ms += static_cast<double>(question_patience.count());
            return std::nullopt;
        }
        messages += own ? 0 : 1;
        wait_ms += own ? 0 : static_cast<double>(trouble_.round_trip.count());
        return homes_[slot(home)].answer({"w", call.units, left}, load_.quota,
                                         view(home, call.at), time_of(call.at));
    }

    owner_view view(int home, millis at) const
    {
        owner_view result{
            .listed = true, .stopping = false, .predecessor = {}, .share = 1};
        result.share = share_[slot(home)].value();
        for (int other = 0; other < home && result.predecessor.empty(); ++other)
        {
            if (hears(home, other, at - digest_life))
            {
                result.predecessor = std::to_string(other);
            }
        }
        return result;
    }

    /// Digests tell of VMs a few times a second.
    void note_shares(millis at)
    {
        constexpr millis digest_pause{150};
        if (at < noted_ + digest_pause)
        {
            return;
        }
        noted_ = at;
        for (int home = 0; home < home_count; ++home)
        {
            std::int64_t heard = 0;
            for (int vm = 0; vm < trouble_.vms; ++vm)
            {
                heard += hears(home, vm, at - digest_life) ? 1 : 0;
            }
            share_[slot(home)].note(heard, trouble_.vms, time_of(at));
        }
    }

    /// Nobody who keeps the bucket can be asked: this VM's even share of the rate.
    bool admit_alone(played_call const& call)
    {
        auto const bounds =
            isolated_bounds(load_.quota, replayed_terms, 1.0 / trouble_.vms);
        auto const now = time_of(call.at);
        auto const own = alone_.try_emplace(call.vm, bounds, now).first;
        return !own->second.take(call.units, now);
    }

    void restart_if_due(millis at)
    {
        if (trouble_.restart.count() > 0 && !restarted_ &&
            at >= trouble_.restart + power_off)
        {
            restarted_ = true;
            homes_.assign(home_count, quota_owner{replayed_terms});
        }
    }

    quota_load                         load_;
    quota_trouble                      trouble_;
    std::mt19937_64                    random_;
    std::vector<quota_owner>           homes_;
    std::vector<fleet_share>           share_;
    std::vector<std::map<int, millis>> silent_; // by VM and home: until then
    std::map<int, quota_bucket>        alone_;
    millis                             noted_{-1000};
    bool                               cut_home_ = false;
    bool                               restarted_ = false;
};

} // namespace

quota_figures play_homes(quota_load const& load, quota_trouble const& trouble,
                         std::uint64_t seed)
{
    played_homes fleet(load, trouble, seed);
    quota_audit  audit(load);
    for (auto const& call : draw_calls(load, trouble.vms, seed))
    {
        bool const dark = trouble.restart.count() > 0 &&
                          within(call.at, trouble.restart, trouble.restart + power_off);
        double     wait_ms = 0;
        bool const ran = !dark && fleet.admit(call, wait_ms);
        audit.add(call, ran, wait_ms);
    }
    return audit.figures(fleet.messages);
}

} // namespace marigoldcrank
