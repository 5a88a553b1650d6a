// Follows the topics that the operators and the servers write into the store.
//
// Index: 1 store_codec, 2 follow_options, 3 rules_follower, 4 servers_follower
//
// Both followers start with the newest record of each key and then read on. When the
// whole system starts for the first time, they start with the first record, which other
// VMs have too. The store may drop old records at any time; then the followers read the
// newest ones again.
#ifndef MARIGOLDCRANK_SERVING_STORE_FOLLOWERS_HPP
#define MARIGOLDCRANK_SERVING_STORE_FOLLOWERS_HPP

#include "policy/read_progress.hpp"
#include "ports/log_store_port.hpp"
#include "serving/entry_state.hpp"
#include "serving/list_check.hpp"
#include "serving/loop_sleep.hpp"
#include "serving/record_link.hpp"

#include <concepts>
#include <optional>
#include <utility>
#include <vector>

namespace marigoldcrank
{

/// Names of the topics that others write, and parsers for their records.
template <class Codec>
concept store_codec = requires(std::string const& text, std::uint64_t offset)
{
    {
        Codec::rules_topic()
        } -> std::convertible_to<std::string>;
    {
        Codec::rules_key()
        } -> std::convertible_to<std::string>;
    {
        Codec::servers_topic()
        } -> std::convertible_to<std::string>;
    {
        Codec::keyed(text, offset)
        } -> std::same_as<std::optional<keyed_record>>;
    {
        Codec::rules(text)
        } -> std::same_as<std::optional<serving_rules>>;
    {
        Codec::server(text, text)
        } -> std::same_as<std::optional<backend_server>>;
};

struct follow_options
{
    // 1500  ms; longest wait for rules at the store. Keys are accepted for some seconds
    //       from the sending of the last answered read, so two of these waits and a
    //       second attempt on a new connection must fit into that time
    millis rules_wait{1500};
    // 600   ms; the same at a VM that other VMs query. Its rules are that old at most,
    //       and theirs older by two waits of their own
    millis relay_wait{600};
    // 900   ms; between reads of the servers' entries, which change all the time. A
    //       leaving server must get no new work two seconds after its notice
    millis servers_pause{900};
    // 400   ms; the same at a VM that reads them for others
    millis reader_pause{400};
    // 100   ms; the same while relays tell of changes
    millis relayed_pause{100};
    // 150 to 800 ms; pause after a failed read, doubled each time
    millis min_retry{150};
    millis max_retry{800};

    bool operator==(follow_options const&) const = default;
};

/// Exponential backoff with jitter for a failing read.
class retry_backoff
{
public:
    explicit retry_backoff(follow_options const& options)
        : options_(options), next_(options.min_retry)
    {
    }

    millis next(std::uint64_t tie_break)
    {
        auto const pause = next_;
        next_ = std::min(next_ * 2, options_.max_retry);
        // Random delay between half of the pause and all of it, so that VMs that failed
        // together don't retry together.
        return pause / 2 +
               millis{static_cast<std::int64_t>(
                   tie_break % static_cast<std::uint64_t>(pause.count() / 2 + 1))};
    }

    void reset()
    {
        next_ = options_.min_retry;
    }

private:
    follow_options options_;
    millis         next_;
};

template <log_store_port Store, store_codec Codec>
class rules_follower
{
public:
    rules_follower(entry_state& state, Store& store, follow_options options = {})
        : state_(state), store_(store), options_(options), backoff_(options),
          synced_(state.settings.first_start)
    {
    }

    boost::asio::awaitable<void> run()
    {
        while (true)
        {
            auto const failure = co_await next_read();
            if (!failure)
            {
                log_reachability(true, store_fault::unreachable);
                backoff_.reset();
                continue;
            }
            synced_ = synced_ && failure->fault != store_fault::trimmed;
            log_reachability(false, failure->fault);
            co_await loop_sleep(backoff_.next(state_.tie_break()));
        }
    }

private:
    static constexpr unsigned lane = 0;

    boost::asio::awaitable<std::optional<store_failure>> next_read()
    {
        return synced_ ? read_updates() : read_newest();
    }

    boost::asio::awaitable<std::optional<store_failure>> read_newest()
    {
        std::string after;
        millis      age{0};
        auto const  sent = boot_clock::now();
        while (true)
        {
            auto result = co_await store_.newest(lane, Codec::rules_topic(), after);
            if (auto const* failure = std::get_if<store_failure>(&result))
            {
                co_return *failure;
            }
            auto const& page = std::get<keyed_page>(result);
            age = std::max(age, page.age);
            for (auto const& record : page.records)
            {
                apply(record);
            }
            // Later pages may lack changes up to their end, so reading goes on from the
            // end of the first one.
            next_ = after.empty() ? page.end : next_;
            if (!page.more || page.records.empty())
            {
                synced_ = true;
                state_.view.progress.record(next_, next_, sent - age);
                co_return std::nullopt;
            }
            after = page.records.back().key;
        }
    }

    boost::asio::awaitable<std::optional<store_failure>> read_updates()
    {
        bool const answers_peers = state_.serves_peers && state_.relays_used();
        auto const longest = answers_peers ? options_.relay_wait : options_.rules_wait;
        auto const wait = lost_ ? millis{0} : longest;
        auto const sent = boot_clock::now();
        auto       result = co_await store_.read(lane, Codec::rules_topic(), next_, wait);
        if (auto const* failure = std::get_if<store_failure>(&result))
        {
            co_return *failure;
        }
        auto const& chunk = std::get<log_chunk>(result);
        for (std::size_t at = 0; at < chunk.records.size(); ++at)
        {
            if (auto const record = Codec::keyed(chunk.records[at], chunk.offset_at(at)))
            {
                apply(*record);
            }
        }
        next_ = chunk.next();
        log_backlog(chunk);
        state_.view.progress.record(next_, chunk.end, sent - chunk.age);
        co_return std::nullopt;
    }

    /// Logs a read that ended before the end of the topic.
    void log_backlog(log_chunk const& chunk)
    {
        if (chunk.next() >= chunk.end)
        {
            return;
        }
        auto const now = boot_clock::now();
        auto const number = [](std::uint64_t offset)
        {
            return static_cast<std::int64_t>(offset);
        };
        state_.log.write(event_line{"rules_backlog"}
                             .add("from", number(chunk.from))
                             .add("next", number(chunk.next()))
                             .add("end", number(chunk.end))
                             .add("relayed", chunk.relayed ? 1 : 0)
                             .add("read_age_ms", chunk.age)
                             .add("age_ms", state_.view.age(now)),
                         now);
    }

    /// Applies only newer versions, in whatever order records are read.
    void apply(keyed_record const& record)
    {
        if (record.key != Codec::rules_key() || !record.value)
        {
            return;
        }
        auto       rules = Codec::rules(*record.value);
        auto const now = boot_clock::now();
        if (!rules)
        {
            state_.log.write(event_line{"rules_unreadable"}.add(
                                 "offset", static_cast<std::int64_t>(record.offset)),
                             now);
            return;
        }
        bool const newer =
            !state_.view.rules || rules->version() > state_.view.rules->version();
        if (!newer)
        {
            return;
        }
        carry_over_quotas(*rules);
        auto const version = static_cast<std::int64_t>(rules->version());
        state_.log.write(
            event_line{"rules"}
                .add("version", version)
                .add("offset", static_cast<std::int64_t>(record.offset))
                .add("routes", static_cast<std::int64_t>(rules->routes().size())),
            now);
        log_faults(*rules);
        state_.view.rules = std::make_shared<serving_rules const>(std::move(*rules));
    }

    /// Logs the numbers that aren't taken as they are stated, the first ones by name.
    void log_faults(serving_rules const& rules)
    {
        constexpr std::size_t most_logged = 8;
        auto const&           faults = rules.faults();
        for (std::size_t at = 0; at < std::min(faults.size(), most_logged); ++at)
        {
            auto const& fault = faults[at];
            state_.log.write(
                event_line{"rules_number"}
                    .add("version", static_cast<std::int64_t>(rules.version()))
                    .add("field", fault.field)
                    .add("stated", fault.stated)
                    .add("used", fault.used ? std::to_string(*fault.used) : "none")
                    .add("of", static_cast<std::int64_t>(faults.size())),
                boot_clock::now());
        }
    }

    /// Keeps the last quota where a new one is unreadable, so that its workspace doesn't
    /// become unlimited.
    void carry_over_quotas(serving_rules& rules)
    {
        auto const none = std::make_shared<serving_rules const>();
        auto const last = state_.view.rules ? state_.view.rules : none;
        for (auto const& name : rules.carry_over_quotas(*last))
        {
            state_.log.write(
                event_line{"quota_unreadable"}
                    .add("workspace", name)
                    .add("version", static_cast<std::int64_t>(rules.version())),
                boot_clock::now());
        }
    }

    void log_reachability(bool reachable, store_fault fault)
    {
        if (lost_ == !reachable)
        {
            return;
        }
        lost_ = !reachable;
        auto const now = boot_clock::now();
        state_.log.write(event_line{reachable ? "store_regained" : "store_lost"}
                             .add("topic", Codec::rules_topic())
                             .add("fault", static_cast<std::int64_t>(fault))
                             .add("age_ms", state_.view.age(now)),
                         now);
    }

    entry_state&   state_;
    Store&         store_;
    follow_options options_;
    retry_backoff  backoff_;
    std::uint64_t  next_ = 0;
    bool           synced_; // `next_` continues the last read
    bool           lost_ = false;
};

template <log_store_port Store, store_codec Codec>
class servers_follower
{
public:
    servers_follower(entry_state& state, Store& store, follow_options options = {})
        : state_(state), store_(store), options_(options), backoff_(options),
          synced_(state.settings.first_start)
    {
    }

    boost::asio::awaitable<void> run()
    {
        auto const executor = co_await boost::asio::this_coro::executor;
        while (true)
        {
            auto const failure = co_await next_read();
            auto const now = boot_clock::now();
            confirm_old_list(state_, executor);
            if (failure)
            {
                synced_ = synced_ && failure->fault != store_fault::trimmed;
                log_lost(*failure);
                // Another look at the relays costs the store nothing.
                bool const asked = failure->fault != store_fault::not_asked;
                co_await loop_sleep(asked ? backoff_.next(state_.tie_break())
                                          : options_.min_retry);
                continue;
            }
            log_regained();
            backoff_.reset();
            for (auto const& id : state_.servers.expire(now))
            {
                forget(id, "lapsed");
            }
            write_lines();
            // A relay has already waited for new records; the pause gathers those that
            // follow.
            co_await loop_sleep(pause());
        }
    }

    /// Reads the changes at the store, whatever relays tell. False if that failed, which
    /// says nothing about the store to others: only the way to this VM may be lost.
    boost::asio::awaitable<bool> confirm()
    {
        store_result<log_chunk> last;
        co_return co_await confirm_by(
            [this] { return store_.read_at_store(confirming_lane, topic_, next_); },
            last);
    }

    /// Asks other VMs for the changes, in records of at most `max_age`.
    boost::asio::awaitable<vms_answer> confirm_at_vms(millis max_age)
    {
        keepers_reply last{.answer = vms_answer::none_newer};
        bool const    complete = co_await confirm_by(
            [this, max_age] { return store_.read_at_vms(topic_, next_, max_age); }, last);
        if (complete)
        {
            co_return vms_answer::newer;
        }
        co_return last.answer == vms_answer::newer ? vms_answer::none_newer : last.answer;
    }

private:
    static constexpr unsigned lane = 1;

    static constexpr unsigned confirming_lane = 6;

    // 400   ms; longest wait for a listing before a confirmation, and between looks
    static constexpr millis max_listing_wait{400};
    static constexpr millis listing_poll{20};

    static log_chunk const* chunk_in(store_result<log_chunk> const& result)
    {
        return std::get_if<log_chunk>(&result);
    }

    static log_chunk const* chunk_in(keepers_reply const& reply)
    {
        return reply.chunk ? &*reply.chunk : nullptr;
    }

    /// Applies the changes that `read` returns until there are no more. `last` is what it
    /// returned last.
    template <class Read, class Result>
    boost::asio::awaitable<bool> confirm_by(Read read, Result& last)
    {
        co_await wait_for_listing();
        bool complete = false;
        while (synced_ && !complete)
        {
            auto const sent = boot_clock::now();
            last = co_await read();
            auto const* chunk = chunk_in(last);
            if (chunk == nullptr || !synced_)
            {
                co_return false;
            }
            auto const before = next_;
            auto const as_of = sent - chunk->age;
            note_store(chunk->store_lost, as_of);
            apply(*chunk, as_of);
            write_lines();
            complete = next_ >= chunk->end;
            if (!complete && next_ == before)
            {
                co_return false; // no records, though the topic has more
            }
        }
        co_return complete;
    }

    /// The pause until the next read.
    millis pause() const
    {
        if (relayed_)
        {
            return options_.relayed_pause;
        }
        bool const reads_for_others = state_.serves_peers && state_.relays_used();
        return reads_for_others ? options_.reader_pause : options_.servers_pause;
    }

    /// Waits for a listing in progress, without which changes can't be read.
    boost::asio::awaitable<void> wait_for_listing()
    {
        auto const until = boot_clock::now() + max_listing_wait;
        while (!synced_ && boot_clock::now() < until)
        {
            co_await loop_sleep(listing_poll);
        }
    }

    boost::asio::awaitable<std::optional<store_failure>> next_read()
    {
        return synced_ ? read_updates() : read_newest();
    }

    boost::asio::awaitable<std::optional<store_failure>> read_newest()
    {
        std::vector<backend_server> all;
        std::string                 after;
        millis                      age{0};
        auto const                  sent = boot_clock::now();
        while (true)
        {
            auto result = co_await store_.newest(lane, Codec::servers_topic(), after);
            if (auto const* failure = std::get_if<store_failure>(&result))
            {
                co_return *failure;
            }
            auto const& page = std::get<keyed_page>(result);
            if (page.relayed && page.end < next_)
            {
                // An older state would take a leaving server back into use.
                co_return store_failure{store_fault::not_asked, 0};
            }
            age = std::max(age, page.age);
            for (auto const& record : page.records)
            {
                if (auto server = Codec::server(record.key, *record.value))
                {
                    all.push_back(std::move(*server));
                }
            }
            // Later pages may lack changes up to their end, so reading goes on from the
            // end of the first one.
            next_ = after.empty() ? page.end : next_;
            if (!page.more || page.records.empty())
            {
                break;
            }
            after = page.records.back().key;
        }
        synced_ = true;
        record_progress(next_, sent - age);
        // The listing is applied only now that the store is known to be back.
        note_store(false, sent - age);
        if (!std::exchange(watches_restarts_, true))
        {
            state_.crashes.watch_restarts_from(sent);
        }
        for (auto const& server : all)
        {
            forget_former(server);
        }
        state_.servers.replace(all, boot_clock::now());
        state_.servers.caught_up();
        state_.log.write(
            event_line{"servers"}.add("count", static_cast<std::int64_t>(all.size())),
            boot_clock::now());
        co_return std::nullopt;
    }

    boost::asio::awaitable<std::optional<store_failure>> read_updates()
    {
        auto const sent = boot_clock::now();
        auto       result = co_await store_.read(lane, Codec::servers_topic(), next_,
                                           state_.reads_via_peers ? options_.servers_pause
                                                                        : millis{0});
        if (auto const* failure = std::get_if<store_failure>(&result))
        {
            co_return *failure;
        }
        auto const& chunk = std::get<log_chunk>(result);
        auto const  as_of = sent - chunk.age;
        relayed_ = chunk.relayed;
        note_store(chunk.store_lost, as_of);
        apply(chunk, as_of);
        if (next_ >= chunk.end)
        {
            state_.servers.caught_up();
        }
        co_return std::nullopt;
    }

    /// Records a read that states where the topic ended as of `as_of`.
    void record_progress(std::uint64_t end, boot_clock::time_point as_of)
    {
        progress_.record(next_, end, as_of);
        state_.servers.complete_up_to(progress_.known_as_of());
    }

    /// Applies the changes of a chunk. Two reads may be in progress at once, and an older
    /// change must not replace a newer one.
    void apply(log_chunk const& chunk, boot_clock::time_point as_of)
    {
        for (std::size_t at = 0; at < chunk.records.size(); ++at)
        {
            auto const offset = chunk.offset_at(at);
            if (offset < next_)
            {
                continue;
            }
            if (auto const record = Codec::keyed(chunk.records[at], offset))
            {
                apply(*record, as_of);
            }
        }
        next_ = std::max(next_, chunk.next());
        record_progress(chunk.end, as_of);
    }

    /// Forgets the cached prompts of an engine that has restarted or changed its role,
    /// and all that is known about one that has restarted.
    void forget_former(backend_server const& server)
    {
        auto const& known = state_.servers.servers();
        auto const  before = known.find(server.id);
        bool const  listed = before != known.end();
        bool const  restarted =
            listed && before->second.born_unix_ms != server.born_unix_ms;
        if (!listed || restarted || before->second.role != server.role)
        {
            state_.prefixes.forget(server.id);
        }
        if (restarted)
        {
            state_.forget_server(server.id);
        }
    }

    void apply(keyed_record const& record, boot_clock::time_point as_of)
    {
        auto const server =
            record.value ? Codec::server(record.key, *record.value) : std::nullopt;
        auto const now = boot_clock::now();
        if (!server)
        {
            if (state_.servers.drop(record.key, now, as_of))
            {
                forget(record.key, record.value ? "unreadable" : "removed");
            }
            return;
        }
        forget_former(*server);
        if (state_.servers.put(*server))
        {
            // A version may come and go within the changes of one read.
            state_.versions.record(server->group, {{server->version, 1}}, now);
            lines_.push_back(
                event_line{"server"}
                    .add("server", server->id)
                    .add("service", server->group)
                    .add("data_centre", server->data_centre)
                    .add("leaving", server->leaving ? 1 : 0)
                    .add("role", static_cast<std::int64_t>(server->role))
                    .add("offset", static_cast<std::int64_t>(record.offset)));
        }
    }

    /// Notes that a read got records as of `as_of`. Those of a VM that has lost the store
    /// don't show that it answers.
    void note_store(bool lost, boot_clock::time_point as_of)
    {
        if (lost)
        {
            return;
        }
        auto const now = boot_clock::now();
        auto const lasted = state_.servers.store_answered(now, as_of);
        if (lasted)
        {
            state_.log.write(
                event_line{"store_answered"}
                    .add("unanswered_ms", *lasted)
                    .add("held", static_cast<std::int64_t>(state_.servers.held())),
                now);
        }
    }

    void forget(std::string const& id, std::string_view cause)
    {
        bool const held = state_.servers.servers().count(id) > 0;
        lines_.push_back(event_line{held ? "server_held" : "server_gone"}
                             .add("server", id)
                             .add("cause", cause));
        if (!held)
        {
            state_.pool.drop(id);
            state_.forget_server(id);
        }
    }

    /// Logs the first failure after an answered read.
    void log_lost(store_failure const& failure)
    {
        if (lost_since_)
        {
            return;
        }
        auto const now = boot_clock::now();
        lost_since_ = now;
        state_.log.write(event_line{"servers_lost"}
                             .add("fault", store_fault_name(failure.fault))
                             .add("after_ms", now - answered_at_),
                         now);
    }

    void log_regained()
    {
        answered_at_ = boot_clock::now();
        auto const since = std::exchange(lost_since_, std::nullopt);
        if (since)
        {
            state_.log.write(event_line{"servers_regained"}
                                 .add("lost_ms", answered_at_ - *since)
                                 .add("relayed", relayed_ ? 1 : 0),
                             answered_at_);
        }
    }

    /// Writes the lines about the servers of the last read. Many at once, as at a start,
    /// become one line.
    void write_lines()
    {
        auto const now = boot_clock::now();
        if (lines_.size() > max_lines)
        {
            auto const changed = static_cast<std::int64_t>(lines_.size());
            auto const known = static_cast<std::int64_t>(state_.servers.servers().size());
            auto const held = state_.servers.held();
            lines_ = {event_line{"servers"}
                          .add("count", known)
                          .add("changed", changed)
                          .add("held", static_cast<std::int64_t>(held))};
        }
        for (auto const& line : std::exchange(lines_, {}))
        {
            state_.log.write(line, now);
        }
    }

    static constexpr std::size_t max_lines = 32; // of single servers per read

    entry_state&            state_;
    Store&                  store_;
    follow_options          options_;
    retry_backoff           backoff_;
    std::string const       topic_ = Codec::servers_topic(); // outlives all reads
    std::uint64_t           next_ = 0;
    read_progress           progress_;
    bool                    synced_; // `next_` continues the last read
    bool                    relayed_ = false;
    bool                    watches_restarts_ = false; // has listed the servers
    std::vector<event_line> lines_;                    // about servers, not written yet
    boot_clock::time_point  answered_at_ = boot_clock::now(); // the last answered read
    std::optional<boot_clock::time_point> lost_since_; // first failed read after it
};

} // namespace marigoldcrank

#endif
