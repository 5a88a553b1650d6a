// Freshness of keys, candidate servers, and this VM's shares of loads and budgets.
#include "serving/entry_state.hpp"

#include "serving/send_announcer.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <utility>

namespace marigoldcrank
{

namespace
{

// 8     tenths of the life of a key are used; the rest covers the way of a call to its
//       server
constexpr std::int64_t safe_tenths = 8;
constexpr std::int64_t tenths = 10;
// 5/4   of the known VMs are assumed to share the deployment's retries, because starting
//       VMs are counted by the others only after their first window
constexpr std::int64_t known_vms_parts = 4;
constexpr std::int64_t assumed_vms_parts = 5;
// 100   VMs assumed while none is known; more than present deployments have
constexpr std::int64_t default_vms = 100;
// 256   servers of a service; of more a call considers a few: the time to look at all of
//       them would be a large part of its objective on a tenth of a core
constexpr std::size_t max_considered_servers = 256;
// 4, 2 and 8 servers of a role that a call considers at random from the whole service and
//       from its own data centre, and of those that have parts of its prompt cached
constexpr int         drawn_anywhere = 4;
constexpr int         drawn_near = 2;
constexpr std::size_t drawn_holders = 8;
// 2000  ms; the retries that the calls of this time add are kept in reserve. A failure is
//       seen by few VMs at once, and the slack alone gives each of them one or two
constexpr millis reserve_span{2000};
// 500   ms; a VM without a digest for so long, the time of three digests and a late one,
//       is taken for silent
constexpr millis peer_timeout{500};
// 450   ms; age of a load that a member sends to its relay, this to another relay, and
//       that one to its members
constexpr millis relayed_digest_age = digest_interval * 3;

} // namespace

namespace
{

/// The pause that a response asks for. Its end is compared with the time of day only
/// here; the pause itself runs by the boot clock.
std::optional<millis> pause_of(response_facts const& facts)
{
    if (!facts.pause_end_unix_ms)
    {
        return facts.pause;
    }
    auto const now = static_cast<std::int64_t>(unix_millis());
    return std::clamp(millis{*facts.pause_end_unix_ms - now}, millis{0},
                      max_server_pause);
}

bool is_blocked(crash_watch const& crashes, std::string const& content,
                boot_clock::time_point now)
{
    return crashes.evaluate({.content = content}, now) != crash_verdict::may_run;
}

/// Keys of parts, separated by commas.
std::string format_parts(std::vector<part_key> const& parts)
{
    std::string result;
    for (auto const part : parts)
    {
        std::array<char, 17> text{};
        std::snprintf(text.data(), text.size(), "%016llx",
                      static_cast<unsigned long long>(part));
        result.append(result.empty() ? "" : ",").append(text.data());
    }
    return result;
}

vm_contact contact_of(entry_settings const& settings)
{
    return {.digests = format_address(settings.peers),
            .records = format_address(settings.records),
            .data_centre = settings.data_centre,
            .capacity = settings.capacity};
}

} // namespace

entry_state::entry_state(entry_settings value, std::string incarnation_name)
    : settings(std::move(value)), incarnation(std::move(incarnation_name)),
      servers({.min_outage = 2 * settings.renewal}),
      most_connections(plan_connections(settings.descriptors, settings.memory)),
      pool({.max_total = most_connections.idle_servers}),
      held(std::make_shared<held_memory>(held_options_for(settings))),
      contact(contact_of(settings)), usage(incarnation, contact, settings.usage_window),
      prefixes(prefix_options_for(settings.memory)),
      log({.lines_per_s = settings.log_lines_per_s, .sample = settings.log_sample}),
      crashes({.vm = incarnation}), random_(std::random_device{}())
{
    crashes.watch_restarts_from(boot_clock::now());
}

bool entry_state::keys_fresh(boot_clock::time_point now) const
{
    return !settings.keys_fail_closed ||
           view.age(now) < settings.key_life * safe_tenths / tenths;
}

bool entry_state::ready(boot_clock::time_point now) const
{
    return !draining && view.rules != nullptr && !servers.servers().empty() &&
           keys_fresh(now);
}

bool entry_state::may_get_work(backend_server const&        server,
                               std::set<std::string> const& tried,
                               boot_clock::time_point       now) const
{
    return !server.leaving && tried.count(server.id) == 0 &&
           changing.count(server.id) == 0 && servers.usable(server.id, now) &&
           !holds.held(server.id, now);
}

candidate entry_state::candidate_of(backend_server const&  server,
                                    boot_clock::time_point now)
{
    candidate  result{.server = &server,
                      .load = peers.at(server.id, now),
                      .avoided = health.avoided(server.id, now),
                      .pace = settings.paces ? paces.pace(server.id) : 1};
    auto const load = loads.find(server.id);
    if (load != loads.end())
    {
        result.load.add(load->second);
    }
    result.load.prefill_tokens += sends.tokens_at(server.id, now);
    return result;
}

std::vector<candidate> entry_state::candidates(server_scope const&          scope,
                                               std::set<std::string> const& tried,
                                               boot_clock::time_point       now)
{
    std::vector<candidate> result;
    for (auto const& [id, server] : servers.servers())
    {
        if (scope.contains(server) && may_get_work(server, tried, now))
        {
            result.push_back(candidate_of(server, now));
        }
    }
    return result;
}

bool entry_state::draws_candidates(std::string const& service) const
{
    auto const& index = servers.index();
    return index.size(service, engine_ring::prefill) +
               index.size(service, engine_ring::others) >
           max_considered_servers;
}

std::vector<candidate> entry_state::draw_candidates(std::string const&           service,
                                                    std::set<std::string> const& tried,
                                                    caller_call const&           call,
                                                    boot_clock::time_point       now)
{
    std::map<std::string, candidate> drawn;
    std::string                      any; // a server at random
    auto const                       add = [&](backend_server const* server)
    {
        return server == nullptr
                   ? nullptr
                   : &drawn.try_emplace(server->id, candidate_of(*server, now))
                          .first->second;
    };
    auto const usable = [&](backend_server const& server)
    {
        return may_get_work(server, tried, now);
    };
    auto const near = [&](backend_server const& server)
    {
        return server.data_centre == settings.data_centre && usable(server);
    };
    auto const sound = [&](backend_server const& server)
    {
        return usable(server) && !health.avoided(server.id, now);
    };
    auto const& index = servers.index();
    for (auto const ring : {engine_ring::prefill, engine_ring::others})
    {
        for (int count = 0; count < drawn_anywhere; ++count)
        {
            auto const* server = index.first_from(service, ring, tie_break(), usable);
            add(server);
            any = server == nullptr ? any : server->id;
        }
        for (int count = 0; count < drawn_near; ++count)
        {
            add(index.first_from(service, ring, tie_break(), near));
        }
        auto const  shared = call.shared_prefix_id();
        auto const  hash = part_hash(shared);
        auto* const chosen =
            shared.empty() ? nullptr : add(index.first_from(service, ring, hash, sound));
        if (chosen != nullptr)
        {
            chosen->rendezvous = true;
        }
    }
    auto const holders = settings.directory
                             ? prefixes.holders_of(call.prompt, any, drawn_holders, now)
                             : std::vector<std::string>{};
    for (auto const& id : holders)
    {
        auto const listed = servers.servers().find(id);
        if (listed != servers.servers().end() && listed->second.group == service &&
            usable(listed->second))
        {
            add(&listed->second);
        }
    }
    std::vector<candidate> result;
    for (auto& [id, each] : drawn)
    {
        auto const cached = settings.directory ? prefixes.cached_at(id, call.prompt, now)
                                               : cached_tokens{};
        each.cached = cached.all;
        each.ready = cached.ready;
        result.push_back(each);
    }
    return result;
}

void entry_state::announce_send(std::string const& server, std::int64_t tokens,
                                millis life)
{
    bool const worth = sends.worth_publishing(tokens, life);
    if (announcer != nullptr && settings.announce_sends && worth)
    {
        announcer->announce({tie_break(), server, tokens, life});
    }
}

bool entry_state::has_kept_version(backend_server const& server) const
{
    auto const listed = servers.servers().find(server.id);
    return listed == servers.servers().end() || listed->second.version == server.version;
}

std::optional<millis> entry_state::first_hold_end(server_scope const&    scope,
                                                  boot_clock::time_point now) const
{
    std::optional<millis> first;
    for (auto const& [id, server] : servers.servers())
    {
        auto const end = holds.end(id, now);
        if (!scope.contains(server) || server.leaving || !end)
        {
            continue;
        }
        auto const left = std::chrono::ceil<millis>(*end - now);
        first = first ? std::min(*first, left) : left;
    }
    return first;
}

std::int64_t entry_state::staying_servers(std::string const& service) const
{
    return servers.index().staying(service);
}

void entry_state::record_versions(boot_clock::time_point now)
{
    for (auto const& [service, counts] : servers.index().versions())
    {
        versions.record(service, counts, now);
    }
}

millis entry_state::stream_span(std::string const& service, millis life)
{
    auto& longest = stream_spans[service];
    longest = std::max(longest, life);
    return longest;
}

millis entry_state::longest_patience(std::string const& service) const
{
    auto longest = default_caller_patience;
    if (view.rules)
    {
        for (auto const& each : view.rules->routes())
        {
            longest =
                each.has_target(service) ? std::max(longest, each.timeout) : longest;
        }
    }
    return std::min(longest, max_stream_life);
}

std::optional<std::string> entry_state::only_version(std::string const&     service,
                                                     millis                 span,
                                                     boot_clock::time_point now)
{
    record_versions(now);
    auto const listed = servers.index().versions().find(service);
    if (listed == servers.index().versions().end() || listed->second.size() != 1)
    {
        return std::nullopt;
    }
    if (versions.mixed(service, span, now))
    {
        return std::nullopt;
    }
    // A VM that has just started knows no earlier lists. If no server has come within the
    // span, and the records show no version that has left, there was only this one.
    auto const began = unix_ms() - span.count();
    auto const older = [&](auto const& each)
    {
        auto const& server = each.second;
        return server.group != service ||
               (server.born_unix_ms > 0 && server.born_unix_ms < began);
    };
    auto const& all = servers.servers();
    auto const& version = listed->second.begin()->first;
    bool const  recorded =
        settings.first_start || proves_only_version(recorded_versions, service, version);
    bool const proven = recorded && std::all_of(all.begin(), all.end(), older);
    return proven ? std::optional{version} : versions.only_version(service, span, now);
}

millis entry_state::digest_age() const
{
    return relays_used() ? relayed_digest_age : digest_interval;
}

bool entry_state::relays_used() const
{
    return known_vms > settings.mesh;
}

bool entry_state::is_live(std::string const& records, boot_clock::time_point now) const
{
    auto const found = last_heard.find(records);
    return records == contact.records ||
           (found != last_heard.end() && now - found->second <= peer_timeout);
}

void entry_state::forget_silent_peers(boot_clock::time_point now)
{
    std::erase_if(last_heard,
                  [&](auto const& each) { return now - each.second > peer_timeout; });
}

vm_work entry_state::own_work(boot_clock::time_point now)
{
    vm_work work{.loads = loads, .vms = 1};
    for (auto& [service, meter] : meters)
    {
        work.demands[service] = meter.demand(now);
    }
    if (settings.paces)
    {
        work.paces = paces.own(now);
    }
    for (auto& [service, meter] : callers_work)
    {
        work.works[service] = meter.work(now);
    }
    return work;
}

service_work entry_state::offered_work(std::string const&     service,
                                       boot_clock::time_point now)
{
    auto sum = peers.work(service, now);
    sum.add(callers_work[service].work(now));
    return sum;
}

std::vector<usage_record> entry_state::recent_usage()
{
    return usage.recent(usage.window_of(unix_ms()));
}

work_demand entry_state::demand(std::string const& service, boot_clock::time_point now)
{
    auto sum = peers.demand(service, now);
    sum.add(meters[service].demand(now));
    return sum;
}

void entry_state::follow_speeds(boot_clock::time_point now)
{
    auto const passed = now - std::exchange(followed_at_, now);
    if (!settings.share_prefill_times || !settings.learn_prefill_times)
    {
        return;
    }
    for (auto& [service, meter] : meters)
    {
        meter.follow(demand(service, now), passed);
    }
}

void entry_state::count_call(std::string const& service, boot_clock::time_point now)
{
    recent_calls_.try_emplace(service, reserve_span).first->second.add(now);
    budget(service).admit();
}

retry_budget& entry_state::budget(std::string const& service)
{
    constexpr std::int64_t hundred = 100;
    auto const             vms =
        known_vms == 0 ? default_vms : known_vms * assumed_vms_parts / known_vms_parts;
    auto const percent = settings.retry_percent * safe_tenths / tenths;
    auto const recent = recent_calls_.find(service);
    auto const calls =
        recent == recent_calls_.end()
            ? 0
            : static_cast<std::int64_t>(recent->second.count(boot_clock::now()));
    auto const slack =
        std::max<std::int64_t>(settings.retry_slack / std::max<std::int64_t>(vms, 1), 1);
    retry_budget_options const share{.percent = percent,
                                     .burst = slack + calls * percent / hundred};
    auto& budget = budgets_.try_emplace(service, share).first->second;
    budget.limit(share);
    return budget;
}

void entry_state::record_response(std::string const& server, response_facts const& facts,
                                  boot_clock::time_point sent)
{
    auto const now = boot_clock::now();
    if (!facts.unreadable.empty())
    {
        counters.add("unreadable_server_fields_total");
        log.write(event_line{"server_field_unreadable"}
                      .add("server", server)
                      .add("field", facts.unreadable),
                  now);
    }
    if (facts.leaving && servers.mark_leaving(server))
    {
        log.write(event_line{"server_leaving"}.add("server", server), now);
    }
    if (auto const pause = pause_of(facts))
    {
        counters.add("server_pauses_total");
        log.write(event_line{"server_pause"}.add("server", server).add("for_ms", *pause),
                  now);
        holds.hold(server, now + *pause);
        ramps.insert_or_assign(server, return_ramp{holds.end(server, now).value_or(now)});
    }
    if (facts.rate_limit_valid &&
        limits.record(server, {.rate = facts.rate_limit, .sent = sent, .arrived = now}))
    {
        log_limit(server, "response");
    }
}

void entry_state::record_survival(std::string const&     server,
                                  boot_clock::time_point connected,
                                  boot_clock::time_point sent)
{
    auto const now = boot_clock::now();
    log_withdrawn(crashes.record_response(server, connected, sent, now),
                  "older_connection", now);
}

void entry_state::record_completion(call_features const&   call,
                                    boot_clock::time_point sent)
{
    auto const now = boot_clock::now();
    log_withdrawn(crashes.record_completion(call, sent, now), "served", now);
}

void entry_state::update_crashes(boot_clock::time_point now)
{
    log_withdrawn(crashes.withdraw_disproved(servers.listed_since(now), now),
                  "no_restart", now);
    std::map<std::vector<part_key>, int> suspected;
    for (auto const& each : crashes.suspects())
    {
        suspected[each.parts] = each.crashes;
        auto const known = suspected_parts_.find(each.parts);
        if (known == suspected_parts_.end() || known->second != each.crashes)
        {
            counters.add("suspected_parts_total", "event=\"parts_blocked\"");
            log.write(event_line{"parts_blocked"}
                          .add("parts", format_parts(each.parts))
                          .add("crashes", each.crashes)
                          .add("sound", each.sound ? 1 : 0),
                      now);
        }
    }
    for (auto const& [parts, count] : suspected_parts_)
    {
        if (suspected.count(parts) == 0)
        {
            counters.add("suspected_parts_total", "event=\"parts_freed\"");
            log.write(event_line{"parts_freed"}.add("parts", format_parts(parts)), now);
        }
    }
    suspected_parts_ = std::move(suspected);
}

void entry_state::log_withdrawn(std::vector<crash_update> const& withdrawn,
                                std::string_view cause, boot_clock::time_point now)
{
    for (auto const& each : withdrawn)
    {
        log_crash("crash_withdrawn", each, now, cause);
    }
}

void entry_state::record_failure(std::string const& server, bool lost,
                                 boot_clock::time_point now)
{
    bool const avoided = health.avoided(server, now);
    health.failed(server, lost, now);
    if (lost && !avoided)
    {
        log_loss(server, update_source::own, now);
    }
}

bool entry_state::links_lost(std::string const& service) const
{
    auto const found = links.find(service);
    return found != links.end() && found->second.lost();
}

std::set<std::string> entry_state::services_without_links() const
{
    std::set<std::string> result;
    for (auto const& [service, watch] : links)
    {
        if (watch.lost())
        {
            result.insert(service);
        }
    }
    return result;
}

void entry_state::record_connection(backend_server const& server)
{
    if (links[server.group].record_connection(server.id))
    {
        log.write(event_line{"links_restored"}.add("service", server.group),
                  boot_clock::now());
    }
}

void entry_state::record_connect_failure(backend_server const&  server,
                                         link_failure           failure,
                                         boot_clock::time_point began)
{
    auto const now = boot_clock::now();
    auto const servers_listed = static_cast<std::size_t>(
        std::max<std::int64_t>(staying_servers(server.group), 1));
    auto& watch = links[server.group];
    if (watch.record_failure(server.id, servers_listed, failure, began, now))
    {
        // Earlier failures over these links were taken for failures of servers.
        for (auto const& [id, each] : servers.servers())
        {
            if (each.group == server.group)
            {
                health.withdraw_loss(id);
            }
        }
        log.write(
            event_line{"links_lost"}
                .add("service", server.group)
                .add("fault", failure == link_failure::refused ? "refused" : "timeout"),
            now);
    }
    if (!watch.lost())
    {
        record_failure(server.id, true, now);
    }
}

void entry_state::receive_loss(std::string const& server, millis left,
                               update_source source, boot_clock::time_point now)
{
    // 2     ages of a digest; until a VM's next attempt at a server has become known
    constexpr int attempt_news_ages = 2;
    bool const    avoided = health.avoided(server, now);
    health.receive(server, left, source, now, attempt_news_ages * digest_age());
    if (!avoided)
    {
        log_loss(server, source, now);
    }
}

void entry_state::log_crash(std::string_view event, crash_update const& crash,
                            boot_clock::time_point now, std::string_view cause)
{
    counters.add("suspected_crashes_total", "event=\"" + std::string{event} + "\"");
    log.write(event_line{event}
                  .add("content", crash.content)
                  .add("server", crash.server)
                  .add("id", crash.call_id)
                  .add("parts", format_parts(crash.parts))
                  .add("blocked", is_blocked(crashes, crash.content, now) ? 1 : 0)
                  .add("cause", cause),
              now);
}

void entry_state::log_loss(std::string const& server, update_source learned_from,
                           boot_clock::time_point now)
{
    constexpr std::array<std::string_view, 3> names{"own", "centre", "others"};
    auto const name = names.at(static_cast<std::size_t>(learned_from));
    counters.add("server_losses_total", "from=\"" + std::string{name} + "\"");
    log.write(event_line{"server_lost"}.add("server", server).add("from", name), now);
}

void entry_state::receive(limit_update const& update, update_source source,
                          boot_clock::time_point now)
{
    if (limits.receive(update, source, now))
    {
        log_limit(update.server, "peer");
    }
}

void entry_state::log_limit(std::string const& server, std::string_view learned_from)
{
    constexpr double milli = 1000;
    auto const       rate = limits.rate(server);
    log.write(event_line{"server_limit"}
                  .add("server", server)
                  .add("limited", rate ? 1 : 0)
                  .add("rate_milli", rate ? std::llround(*rate * milli) : 0)
                  .add("from", learned_from),
              boot_clock::now());
}

void entry_state::update_paces(boot_clock::time_point now)
{
    if (!settings.paces)
    {
        return;
    }
    auto const service_of = [&](std::string const& id)
    {
        auto const listed = servers.servers().find(id);
        return listed == servers.servers().end() ? std::string{} : listed->second.group;
    };
    auto const changes = paces.update(
        peers.paces(now), service_of,
        [&](std::string const& service) { return staying_servers(service); }, now);
    for (auto const& each : changes)
    {
        log_pace(each, now);
    }
}

void entry_state::log_pace(pace_change const& change, boot_clock::time_point now)
{
    std::string const turned = change.pace < 1   ? "slow"
                               : change.pace > 1 ? "fast"
                                                 : "usual";
    counters.add("server_pace_changes_total",
                 "service=\"" + change.service + "\",pace=\"" + turned + "\"");
    // Many servers change at once when the sums of a data centre come or go.
    constexpr std::int64_t max_lines = 4; // a second
    if (now - pace_lines_from_ >= std::chrono::seconds{1})
    {
        pace_lines_from_ = now;
        pace_lines_ = 0;
    }
    if (++pace_lines_ > max_lines)
    {
        return;
    }
    constexpr double milli = 1000;
    log.write(event_line{"server_pace"}
                  .add("server", change.server)
                  .add("service", change.service)
                  .add("pace_milli", std::llround(change.pace * milli))
                  .add("samples_milli", std::llround(change.samples * milli))
                  .add("own_age_ms", change.own_age),
              now);
}

void entry_state::forget_server(std::string const& server)
{
    paces.forget(server);
    crashes.server_ended(server, boot_clock::now());
    health.forget(server);
    limits.forget(server);
    holds.forget(server);
    ramps.erase(server);
    isolated_limits.erase(server);
}

void entry_state::count_closed(std::string const& port, std::string const& phase)
{
    ++closed_connections[{port, phase}];
    counters.add("connections_closed_total",
                 "port=\"" + port + "\",phase=\"" + phase + "\"");
}

std::int64_t entry_state::unix_ms()
{
    return day.read(boot_clock::now(), static_cast<std::int64_t>(unix_millis()));
}

std::string content_hash(caller_call const& call, std::string const& body)
{
    constexpr std::size_t digits = 17;
    auto const            start = XXH3_64bits(call.target.data(), call.target.size());
    auto const caller = XXH3_64bits_withSeed(call.key.data(), call.key.size(), start);
    auto const all = XXH3_64bits_withSeed(body.data(), body.size(), caller);
    std::array<char, digits> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(all));
    return text.data();
}

std::uint64_t entry_state::tie_break()
{
    return random_();
}

placement_options entry_state::placement_settings() const
{
    placement_options options;
    options.fetch = settings.fetch;
    options.rendezvous_margin = settings.use_rendezvous ? options.rendezvous_margin : 0;
    options.allow_handoff = settings.allow_handoff;
    return options;
}

load_share::load_share(entry_state& state, std::string server, std::int64_t prompt_tokens)
    : state_(state), server_(std::move(server)), tokens_(prompt_tokens)
{
    auto& load = state_.loads[server_];
    ++load.running;
    load.prefill_tokens += tokens_;
}

load_share::~load_share()
{
    prefill_done();
    auto const found = state_.loads.find(server_);
    if (found != state_.loads.end() && --found->second.running <= 0)
    {
        state_.loads.erase(found);
    }
}

void load_share::prefill_done()
{
    state_.loads[server_].prefill_tokens -= tokens_;
    tokens_ = 0;
    auto const listed = state_.servers.servers().find(server_);
    if (state_.waiting.size() > 0 && listed != state_.servers.servers().end())
    {
        state_.waiting.wake_next(listed->second.group);
    }
}

failure_sink entry_state::failures()
{
    return [this](std::string_view task, std::string_view cause)
    {
        counters.add("task_failures_total", "task=\"" + std::string{task} + "\"");
        log.write(event_line{"task_failed"}.add("task", task).add("cause", cause),
                  boot_clock::now());
    };
}

} // namespace marigoldcrank
