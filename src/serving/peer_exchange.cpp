// Applies the relay plan, and publishes and receives digests.
#include "serving/peer_exchange.hpp"

#include "serving/tunnel_server.hpp"

#include <zmq.hpp>

namespace marigoldcrank
{

namespace
{

// 3     rounds; one digest in three includes usage counts. A killed VM loses 450 ms of
//       its counts, a tenth of a window, of which 0.05 may be missing over all VMs
constexpr std::uint64_t usage_interval = 3;
// 3     rounds between updates of paces, which cost some allocations a server and are
// most
//       of a digest's bytes; samples count for ten rounds and more
constexpr std::uint64_t paces_interval = 3;
// 16    rounds between removals of expired entries
constexpr std::uint64_t expiry_interval = 16;

/// The sources whose observations a digest includes: the digest of a VM only its own,
/// that of a data centre those of its VMs, that of the fleet all.
update_source widest_source(digest_scope scope)
{
    switch (scope)
    {
    case digest_scope::vm:
        return update_source::own;
    case digest_scope::centre:
        return update_source::centre;
    case digest_scope::fleet:
        break;
    }
    return update_source::others;
}

// 16    offers in a digest of several VMs; the next digests have others
constexpr std::size_t max_offers = 16;

/// The VMs that open connections for others: this one, and those whose digests the scope
/// adds up.
std::vector<server_proxy> proxies_for(digest_scope scope, entry_state& state,
                                      boot_clock::time_point now)
{
    auto const&               centre = state.settings.data_centre;
    std::vector<server_proxy> result;
    if (scope != digest_scope::vm)
    {
        result =
            state.proxies.sample(max_offers, scope == digest_scope::centre ? centre : "",
                                 state.tie_break(), now);
    }
    if (offers_tunnels(state))
    {
        result.push_back({format_address(state.settings.tunnels), centre,
                          state.services_without_links()});
    }
    return result;
}

std::vector<prefix_update> prefixes_for(digest_scope                    scope,
                                        prefix_updates_by_source const& prefix_updates)
{
    std::vector<prefix_update> result;
    for (auto const& [source, updates] : prefix_updates)
    {
        if (source <= widest_source(scope))
        {
            result.insert(result.end(), updates.begin(), updates.end());
        }
    }
    return result;
}

/// Members leave it to their relays to publish what blocks calls, since these publish it
/// to all VMs.
template <class Published>
bool is_for(digest_scope scope, Published const& update, bool mesh)
{
    bool const standing = update.standing && (mesh || scope != digest_scope::vm);
    return standing || update.source <= widest_source(scope);
}

std::vector<crash_update> crashes_for(digest_scope                        scope,
                                      std::vector<published_crash> const& crash_updates,
                                      bool                                mesh)
{
    std::vector<crash_update> result;
    for (auto const& each : crash_updates)
    {
        if (is_for(scope, each, mesh))
        {
            result.push_back(each.crash);
        }
    }
    return result;
}

std::vector<block_trial> trials_for(digest_scope                        scope,
                                    std::vector<published_trial> const& trials, bool mesh)
{
    std::vector<block_trial> result;
    for (auto const& each : trials)
    {
        if (is_for(scope, each, mesh))
        {
            result.push_back(each.trial);
        }
    }
    return result;
}

std::vector<sound_part> sound_parts_for(digest_scope                       scope,
                                        std::vector<published_part> const& part_updates)
{
    std::vector<sound_part> result;
    for (auto const& each : part_updates)
    {
        if (each.source <= widest_source(scope))
        {
            result.push_back(each.part);
        }
    }
    return result;
}

} // namespace

peer_exchange::peer_exchange(boost::asio::io_context& loop, entry_state& state,
                             record_link::format_source format_of)
    : state_(state), context_(std::make_unique<zmq::context_t>(1)),
      records_(state.contact.records.empty()
                   ? nullptr
                   : std::make_unique<record_link>(loop, *context_, state.contact.records,
                                                   std::move(format_of))),
      owners_(records_ ? std::make_unique<owner_link>(loop, *context_, state, *records_)
                       : nullptr),
      quotas_(owners_ ? std::make_unique<quota_gate>(state, *owners_) : nullptr),
      limits_(owners_ ? std::make_unique<limit_owner>(state, *owners_) : nullptr),
      origins_(owners_ ? std::make_unique<origin_link>(loop, *context_, state, *owners_,
                                                       *records_)
                       : nullptr),
      digests_(
          loop, *context_, state.contact.digests,
          [this](load_digest digest, digest_extras const& extras)
          { receive(std::move(digest), extras); },
          [this](digest_scope scope, std::vector<send_notice> const& notices)
          { announcer_.receive(scope, notices); }),
      announcer_(loop, state, digests_)
{
    state_.announcer = &announcer_;
    state_.quotas = quotas_.get();
    state_.owners = owners_.get();
    state_.keepers = origins_.get();
    if (records_)
    {
        records_->watch([this](std::string const& records)
                        { return state_.is_live(records, boot_clock::now()); });
    }
}

peer_exchange::~peer_exchange()
{
    state_.announcer = nullptr;
    state_.quotas = nullptr;
    state_.owners = nullptr;
    state_.keepers = nullptr;
}

void peer_exchange::publish_digests()
{
    digests_.receive_pending();
    auto const    now = boot_clock::now();
    digest_extras extras{.records = state_.contact.records};
    state_.fleet.note(state_.peers.vms(now) + 1, listed_vms_, now);
    auto const prefix_updates = state_.prefixes.take_updates();
    state_.update_crashes(now);
    state_.crashes.spread_over(state_.peers.vms(now) + 1);
    auto const crash_updates = state_.crashes.take_updates(now);
    auto const part_updates = state_.crashes.take_part_updates(now);
    auto const trials = state_.crashes.take_trials(now);
    ++rounds_;
    if (rounds_ % expiry_interval == 0)
    {
        state_.prefixes.expire(now);
        state_.forget_silent_peers(now);
        std::erase_if(incarnations_, [&](auto const& each)
                      { return state_.last_heard.count(each.first) == 0; });
        state_.proxies.expire(now);
    }
    bool const with_paces = rounds_ % paces_interval == 0;
    if (with_paces)
    {
        state_.update_paces(now);
    }
    state_.follow_speeds(now);
    for (auto& digest : state_.peers.digests(state_.own_work(now), now))
    {
        if (!with_paces)
        {
            digest.work.paces.clear();
            digest.work.keeps_paces = true;
        }
        else if (digest.scope != digest_scope::vm)
        {
            digest.work.paces = digest.scope == digest_scope::centre
                                    ? state_.paces.most_sampled(digest.work.paces)
                                    : state_.paces.differing(digest.work.paces);
        }
        bool const own = digest.scope == digest_scope::vm;
        extras.usage = own && rounds_ % usage_interval == 0 ? state_.recent_usage()
                                                            : std::vector<usage_record>{};
        extras.prefixes = prefixes_for(digest.scope, prefix_updates);
        extras.crashes = crashes_for(digest.scope, crash_updates, plan_.mesh);
        extras.sound_parts = sound_parts_for(digest.scope, part_updates);
        extras.trials = trials_for(digest.scope, trials, plan_.mesh);
        extras.avoided = state_.health.updates(widest_source(digest.scope), now);
        extras.limits = state_.limits.updates(widest_source(digest.scope), now);
        extras.proxies = proxies_for(digest.scope, state_, now);
        extras.heard = digest.scope == digest_scope::fleet && owners_
                           ? owners_->live_owners(now)
                           : std::vector<std::string>{};
        digests_.publish(digest, extras);
    }
    if (origins_)
    {
        origins_->update();
    }
    if (records_)
    {
        records_->tick();
        update_relayed(records_->relayed());
    }
}

void peer_exchange::receive(load_digest digest, digest_extras const& extras)
{
    auto const now = boot_clock::now();
    auto const scope = digest.scope;
    auto const vm = digest.vm;
    if (!state_.peers.merge(std::move(digest), now))
    {
        return;
    }
    if (std::exchange(incarnations_[extras.records], vm) != vm)
    {
        state_.crashes.republish(); // it may have just started
    }
    state_.last_heard[extras.records] = now;
    for (auto const& each : extras.heard)
    {
        state_.last_heard[each] = now;
    }
    auto const source =
        scope == digest_scope::vm ? update_source::centre : update_source::others;
    for (auto const& each : extras.crashes)
    {
        if (state_.crashes.merge(each, source, now))
        {
            state_.log_crash("content_blocked", each, now);
        }
    }
    for (auto const& each : extras.sound_parts)
    {
        state_.crashes.merge(each, source, now);
    }
    for (auto const& each : extras.trials)
    {
        state_.crashes.merge(each, source, now);
    }
    for (auto const& [server, left] : extras.avoided)
    {
        if (state_.settings.share_server_losses)
        {
            state_.receive_loss(server, left, source, now);
        }
    }
    for (auto const& each : extras.limits)
    {
        state_.receive(each, source, now);
    }
    for (auto const& each : extras.proxies)
    {
        if (each.address != format_address(state_.settings.tunnels))
        {
            state_.proxies.receive(each, now);
        }
    }
    for (auto const& each : extras.prefixes)
    {
        state_.prefixes.receive(each, source, now);
    }
    for (auto const& each : extras.usage)
    {
        state_.usage_known.receive(each);
    }
}

void peer_exchange::follow(std::set<vm_contact> const& vms, std::int64_t told)
{
    auto plan = plan_relays(vms, state_.contact,
                            {.mesh = static_cast<std::size_t>(state_.settings.mesh),
                             .vms = static_cast<std::size_t>(told)});
    log_plan(plan, static_cast<std::int64_t>(vms.size() +
                                             (vms.count(state_.contact) > 0 ? 0 : 1)));
    digests_.follow(plan.digests, received_scopes(plan));
    // A VM of a large fleet that knows no other is no relay yet.
    bool const alone = vms.empty() && told > state_.settings.mesh;
    state_.serves_peers = plan.serves_records && !alone;
    state_.is_relay = plan.relay && !alone;
    state_.is_first_relay = plan.first_relay && !alone;
    state_.peers.follow(plan, state_.incarnation, state_.settings.data_centre);
    listed_vms_ = std::max(static_cast<std::int64_t>(vms.size()), told);
    if (owners_)
    {
        owners_->follow(plan.owners);
        origins_->follow(plan.owners);
        quotas_->forget_workspaces();
        limits_->forget_servers();
    }
    if (records_)
    {
        auto sources = plan.records;
        sources.insert(sources.end(), plan.backups.begin(), plan.backups.end());
        records_->follow(sources);
        auto keepers = plan.owners;
        std::erase(keepers, state_.contact.records);
        records_->set_keepers(keepers);
        records_->serve(state_.serves_peers);
    }
    plan_ = std::move(plan);
}

void peer_exchange::update_relayed(bool relayed)
{
    if (relayed == state_.reads_via_peers)
    {
        return;
    }
    state_.reads_via_peers = relayed;
    state_.log.write(event_line{relayed ? "relays_regained" : "relays_lost"}
                         .add("keys_age_ms", state_.view.age(boot_clock::now()))
                         .add("relays", static_cast<std::int64_t>(plan_.records.size())),
                     boot_clock::now());
}

void peer_exchange::log_plan(relay_plan const& plan, std::int64_t vms)
{
    bool const same_vms = std::exchange(planned_vms_, vms) == vms;
    if (same_vms && plan.mesh == plan_.mesh &&
        plan.serves_records == plan_.serves_records && plan.records == plan_.records)
    {
        return;
    }
    state_.log.write(
        event_line{"relays"}
            .add("mesh", plan.mesh ? 1 : 0)
            .add("relay", plan.relay ? 1 : 0)
            .add("answers", plan.serves_records ? 1 : 0)
            .add("digests_from", static_cast<std::int64_t>(plan.digests.size()))
            .add("records_from", plan.records.empty() ? "" : plan.records.front())
            .add("vms", vms),
        boot_clock::now());
}

} // namespace marigoldcrank
