// Detection of slow engines.
#include "policy/progress_tracker.hpp"

#include "policy/engine_view.hpp"

#include <algorithm>

namespace marigoldcrank
{

namespace
{
constexpr std::int64_t averaged_observations = 8; // the weight of a new one is 1/8
constexpr std::int64_t max_ratio = 64 * engine_view::nominal_speed;
constexpr std::int64_t percent = 100;
constexpr millis       halving_interval{5'000}; // 5000 ms without an observation
constexpr std::size_t  min_engines = 3;         // with fewer, the median means nothing
} // namespace

progress_tracker::progress_tracker(route_options options) : options_(options) {}

void progress_tracker::observe(std::uint32_t engine, std::int64_t elapsed_us,
                               std::int64_t expected_us, boot_clock::time_point now)
{
    if (engine >= engines_.size())
    {
        engines_.resize(engine + 1);
    }
    auto&      own = engines_[engine];
    auto const ratio = std::clamp<std::int64_t>(
        elapsed_us * engine_view::nominal_speed / std::max<std::int64_t>(1, expected_us),
        1, max_ratio);
    own.ratio =
        own.ratio == 0 ? ratio : own.ratio + (ratio - own.ratio) / averaged_observations;
    own.observed = now;
}

void progress_tracker::refresh()
{
    std::vector<std::int64_t> ratios;
    for (auto const& engine : engines_)
    {
        if (engine.ratio != 0)
        {
            ratios.push_back(engine.ratio);
        }
    }
    median_ = 0;
    if (ratios.size() >= min_engines)
    {
        auto const middle =
            ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
        std::nth_element(ratios.begin(), middle, ratios.end());
        median_ = *middle;
    }
}

std::int64_t progress_tracker::slowdown(std::uint32_t          engine,
                                        boot_clock::time_point now) const
{
    if (median_ == 0 || engine >= engines_.size())
    {
        return engine_view::nominal_speed;
    }
    auto const& own = engines_[engine];
    auto const  halvings =
        std::clamp<std::int64_t>((now - own.observed) / halving_interval, 0, 30);
    auto const relative = (own.ratio * engine_view::nominal_speed / median_) >> halvings;
    bool const slow =
        relative * percent > options_.slow_percent * engine_view::nominal_speed;
    return slow ? relative : engine_view::nominal_speed;
}

} // namespace marigoldcrank
