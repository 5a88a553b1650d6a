// Beliefs of the daemon.
#include "serving/entry_state.hpp"

namespace marigoldcrank
{

namespace
{

// 8  tenths of a key's life are used; the rest covers the way of a call to its server
constexpr std::int64_t used_tenths = 8;
constexpr std::int64_t tenths = 10;
// 16  VMs among which the deployment's retries are divided: above any number of entry VMs
// of
//     today, so that the sum of all shares stays below the bound. A larger deployment is
//     divided by its own number once VMs know each other.
constexpr std::int64_t sharing_vms = 16;

} // namespace

namespace
{

std::string format_address(socket_address const& value)
{
    return value.port == 0 ? "" : value.host + ":" + std::to_string(value.port);
}

} // namespace

entry_state::entry_state(entry_settings value, std::string incarnation_name)
    : settings(std::move(value)), incarnation(std::move(incarnation_name)),
      usage(incarnation, format_address(settings.peers), settings.usage_window),
      log({.lines_per_s = settings.log_lines_per_s, .sample = settings.log_sample}),
      random_(std::random_device{}())
{
}

bool entry_state::keys_fresh(boot_clock::time_point now) const
{
    return !settings.keys_fail_closed ||
           now - view.read_sent < settings.key_life * used_tenths / tenths;
}

bool entry_state::ready(boot_clock::time_point now) const
{
    return !draining && view.rules != nullptr && !servers.servers().empty() &&
           keys_fresh(now);
}

std::vector<candidate> entry_state::candidates(std::string const&           service,
                                               std::set<std::string> const& tried,
                                               boot_clock::time_point       now) const
{
    std::vector<candidate> result;
    for (auto const& [id, server] : servers.servers())
    {
        bool const barred = server.leaving || tried.count(id) > 0 ||
                            changing.count(id) > 0 || !servers.usable(id, now);
        if (server.group != service || barred)
        {
            continue;
        }
        auto const load = loads.find(id);
        candidate  each{.server = &server,
                        .load = peers.at(id, now),
                        .suspect = health.suspect(id, now)};
        if (load != loads.end())
        {
            each.load.add(load->second);
        }
        result.push_back(each);
    }
    return result;
}

retry_budget& entry_state::budget(std::string const& service)
{
    retry_budget_options const share{
        .percent = settings.retry_percent * used_tenths / tenths,
        .burst = std::max<std::int64_t>(settings.retry_slack / sharing_vms, 1)};
    return budgets_.try_emplace(service, share).first->second;
}

std::uint64_t entry_state::ticket()
{
    return random_();
}

load_share::load_share(entry_state& state, std::string server, std::int64_t rank,
                       std::int64_t prompt_tokens)
    : state_(state), server_(std::move(server)), rank_(rank_index(rank)),
      tokens_(prompt_tokens)
{
    auto& load = state_.loads[server_];
    ++load.running;
    load.prompt_backlog[rank_] += tokens_;
}

load_share::~load_share()
{
    prompt_read();
    auto const found = state_.loads.find(server_);
    if (found != state_.loads.end() && --found->second.running <= 0)
    {
        state_.loads.erase(found);
    }
}

void load_share::prompt_read()
{
    state_.loads[server_].prompt_backlog[rank_] -= tokens_;
    tokens_ = 0;
}

} // namespace marigoldcrank
