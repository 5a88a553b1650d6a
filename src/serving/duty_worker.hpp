// Appends usage counts on every VM, and does the duties on the VM that holds the lease:
// sealing and reporting usage windows, and ordering servers and engine roles.
//
// Index: duty_worker: usage, lease, sealing, reporting
#ifndef MARIGOLDCRANK_SERVING_DUTY_WORKER_HPP
#define MARIGOLDCRANK_SERVING_DUTY_WORKER_HPP

#include "ledger/usage_windows.hpp"
#include "policy/retry_gate.hpp"
#include "ports/duty_port.hpp"
#include "ports/log_store_port.hpp"
#include "serving/entry_state.hpp"
#include "serving/fleet_orders.hpp"
#include "serving/loop_sleep.hpp"

#include <cmath>
#include <optional>
#include <set>
#include <tuple>

namespace marigoldcrank
{

template <log_store_port Store, duty_port Duties>
class duty_worker
{
public:
    duty_worker(entry_state& state, Store& store, Duties& duties, duty_times times = {})
        : state_(state), store_(store), duties_(duties), times_(times),
          log_(state.incarnation, duty_lease_options{state.settings.lease, times.margin},
               boot_clock::now()),
          fleet_(state, duties, log_, times)
    {
    }

    /// Appends this VM's usage counts to the usage log, window by window. A relay also
    /// appends the counts that it received from its members; a member whose counts are
    /// already in the log saves its own append.
    boost::asio::awaitable<void> run_usage()
    {
        auto const started = boot_clock::now();
        if (state_.settings.first_start)
        {
            start_usage_log(0);
        }
        co_await append_usage(current_window());
        if (state_.settings.first_start)
        {
            co_await loop_sleep(times_.startup_wait);
        }
        while (true)
        {
            auto const pause = state_.reads_via_peers && !state_.is_first_relay
                                   ? times_.member_usage_delay
                                   : times_.usage_delay;
            auto const past = state_.usage.window_of(state_.unix_ms() - pause.count());
            auto const now = boot_clock::now();
            bool const often = log_.held_until(now) || state_.serves_peers ||
                               now - started < times_.discovery;
            bool const closing = past > appended_before_;
            // VMs that start together may each read the log before the others have
            // appended, and until they know of each other each takes all servers for its
            // own.
            bool const alone = state_.known_vms <= 1 && state_.settings.peers.port != 0 &&
                               now - started < times_.startup_discovery;
            auto const pause_between = !often  ? state_.settings.usage_window
                                       : alone ? usage_poll
                                       : state_.reads_via_peers
                                           ? times_.relayed_usage_poll
                                           : times_.renew;
            bool const retries = !pending_.empty() && append_gate_.open(now);
            if (closing || retries || now - usage_read_at_ >= pause_between)
            {
                usage_read_at_ = now;
                bool more = true;
                while (more)
                {
                    more = co_await read_usage();
                }
            }
            if (closing || retries)
            {
                appended_before_ = past;
                co_await append_usage(past);
            }
            co_await loop_sleep(usage_poll);
        }
    }

    static std::string duty_topic()
    {
        return "duty";
    }

    static std::string usage_topic()
    {
        return "usage";
    }

    /// The VMs that append usage.
    std::set<vm_contact> vms() const
    {
        return state_.usage_known.contacts();
    }

    /// Whether the usage log was read up to its end, from far enough back to tell of all
    /// VMs. Otherwise VMs would choose different relays.
    bool knows_vms() const
    {
        bool const window_passed =
            usage_started_ && boot_clock::now() - usage_started_at_ >= window_time;
        return usage_read_once_ && (usage_complete_ || window_passed);
    }

    /// Appends all counts, including those of the open window, before the process ends.
    boost::asio::awaitable<void> append_all_usage()
    {
        return append_usage(current_window() + 1);
    }

    /// Follows the lease, claims it when it is free, and does the duties while holding
    /// it.
    boost::asio::awaitable<void> run_duties()
    {
        while (true)
        {
            bool const held = log_.held_until(boot_clock::now()).has_value();
            bool       waited = false;
            if (held)
            {
                co_await perform_duties();
            }
            else
            {
                waited = co_await follow_lease();
            }
            log_lease_change();
            fleet_.update_changing();
            if (!waited)
            {
                co_await loop_sleep(poll_interval());
            }
        }
    }

private:
    /// Occupies the lane of the usage log, also if the call on it throws.
    class lane_use
    {
    public:
        explicit lane_use(bool& busy) : busy_(busy)
        {
            busy_ = true;
        }

        ~lane_use()
        {
            busy_ = false;
        }

        lane_use(lane_use const&) = delete;
        lane_use& operator=(lane_use const&) = delete;

    private:
        bool& busy_;
    };

    std::int64_t current_window() const
    {
        return state_.usage.window_of(state_.unix_ms());
    }

    boost::asio::awaitable<void> append_usage(std::int64_t before)
    {
        while (usage_lane_busy_) // a lane allows one call at a time
        {
            co_await loop_sleep(lane_poll);
        }
        for (auto const& record : state_.usage.take_before(before))
        {
            if (!state_.reads_via_peers || !state_.usage_known.holds(record))
            {
                pending_.push_back(record);
            }
        }
        if (state_.serves_peers)
        {
            for (auto const& record : state_.usage_known.unlogged_before(before))
            {
                pending_.push_back(record);
            }
        }
        drop_appended();
        if (pending_.empty())
        {
            co_return;
        }
        auto const               count = pending_.size();
        std::vector<std::string> texts;
        for (auto const& record : pending_)
        {
            texts.push_back(format_usage_record(record));
        }
        std::optional<lane_use> lane{std::in_place, usage_lane_busy_};
        auto const              result =
            co_await store_.append(usage_lane, usage_topic(), texts, std::nullopt);
        lane.reset();
        auto const* offset = std::get_if<std::uint64_t>(&result);
        bool const  appended = offset != nullptr;
        if (appended && !usage_started_)
        {
            usage_anchor_ = *offset;
            start_usage_log(*offset > recent_records ? *offset - recent_records : 0);
        }
        if (!appended)
        {
            // The relay of a member also appends the member's counts, which it has from
            // digests, so a member can retry less often.
            bool const member = state_.reads_via_peers && !state_.is_first_relay;
            append_gate_.limit(member ? slow_retries : retry_gate_options{});
            append_gate_.failed(boot_clock::now());
        }
        if (appended)
        {
            append_gate_.succeeded();
            pending_.erase(pending_.begin(),
                           pending_.begin() + static_cast<std::ptrdiff_t>(count));
        }
        state_.counters.add(appended ? "usage_appends_total"
                                     : "usage_append_failures_total");
    }

    /// Drops counts that are in the log already. Otherwise, after an outage of the store,
    /// every VM of a large fleet would append what its relay has appended for it
    /// meanwhile.
    void drop_appended()
    {
        std::erase_if(
            pending_, [&](usage_record const& record)
            { return state_.reads_via_peers && state_.usage_known.holds(record); });
    }

    static constexpr unsigned     duty_lane = 2;
    static constexpr unsigned     usage_lane = 3;
    static constexpr std::int64_t retained_windows = 8; // windows; more than are ever due
    // 64    records before its first one from which a VM reads: four windows of the
    // largest
    //       fleet without relays. Larger ones are known by more writers
    static constexpr std::uint64_t recent_records = 64;
    // 32    KiB of records per read of a VM that doesn't know the size of the fleet
    static constexpr std::size_t first_read_kb = 32;
    // 6000  ms; a window of usage and its delay, in which every VM adds a record
    static constexpr millis window_time{6000};
    // 4     windows; older ones are sealed
    static constexpr std::int64_t sealed_after = 4;
    static constexpr millis       lane_poll{
        20}; // 20   ms; between checks whether the lane is free
    static constexpr millis usage_poll{
        300}; // 300  ms; between checks for a closed window

    // Lease

    /// Time until the next read of the duty log. It is shorter while the holder is
    /// silent, so that another VM takes over soon after the lease ends.
    millis poll_interval() const
    {
        auto const now = boot_clock::now();
        if (log_.held_until(now))
        {
            return times_.renew;
        }
        if (log_.record_age(now) > times_.renew * 2)
        {
            return times_.poll_silent_holder;
        }
        return state_.serves_peers ? times_.relay_poll : times_.poll;
    }

    /// True if no pause is needed before the next step: the read has waited for new
    /// records, or the lease was claimed.
    boost::asio::awaitable<bool> follow_lease()
    {
        bool const may_wait = state_.serves_peers || state_.reads_via_peers;
        auto const read = co_await read_log(may_wait ? poll_interval() : millis{0});
        bool const known = read == read_step::complete;
        bool const waited = may_wait && read != read_step::failed;
        // The log as read through another VM may lack the last renewal, so a conditional
        // append would mostly fail.
        bool const outdated = !known || state_.reads_via_peers;
        if (outdated || !log_.may_claim(boot_clock::now()) || state_.draining)
        {
            co_return waited;
        }
        std::vector<duty_record> claim{
            duty_record{.kind = duty_kind::claim, .holder = state_.incarnation}};
        // The new holder acts at once, since windows may be due after an outage of the
        // store.
        co_return co_await append(std::move(claim));
    }

    boost::asio::awaitable<void> perform_duties()
    {
        if (state_.draining)
        {
            co_return; // the lease runs out, and another VM takes over
        }
        std::vector<duty_record> records{
            duty_record{.kind = duty_kind::renew,
                        .holder = state_.incarnation,
                        .window = reported_up_to_,
                        .reported_after = reported_windows_}};
        for (auto& seal : due_seals())
        {
            records.push_back(std::move(seal));
        }
        for (auto& announcement : fleet_.announcements())
        {
            records.push_back(std::move(announcement));
        }
        if (co_await append(std::move(records)))
        {
            co_await report_sealed();
            co_await fleet_.send_orders();
        }
    }

    /// Appends only if the log has not grown since it was last read. False if the append
    /// failed or its result is unknown.
    boost::asio::awaitable<bool> append(std::vector<duty_record> records)
    {
        auto const               now = boot_clock::now();
        auto const               number = log_.begin_append(now);
        std::vector<std::string> texts;
        for (auto& record : records)
        {
            record.number = number;
            texts.push_back(format_duty_record(record));
        }
        auto const result =
            co_await store_.append(duty_lane, duty_topic(), texts, log_.end());
        auto const* offset = std::get_if<std::uint64_t>(&result);
        if (offset == nullptr)
        {
            // An append without a response may have taken effect, which only a read
            // shows.
            co_await read_log(millis{0});
            co_return false;
        }
        for (std::size_t at = 0; at < records.size(); ++at)
        {
            log_.apply(records[at], *offset + at, boot_clock::now());
        }
        co_return true;
    }

    enum class read_step
    {
        failed,
        partial, // more records follow
        complete // read up to the end
    };

    boost::asio::awaitable<read_step> read_log(millis wait)
    {
        auto result = co_await store_.read(duty_lane, duty_topic(), log_.end(), wait);
        if (auto const* failure = std::get_if<store_failure>(&result))
        {
            if (failure->fault == store_fault::trimmed && failure->offset > 0)
            {
                log_.skip(failure->offset - 1, boot_clock::now());
            }
            co_return read_step::failed;
        }
        auto const& chunk = std::get<log_chunk>(result);
        for (std::size_t at = 0; at < chunk.records.size(); ++at)
        {
            auto const record = parse_duty_record(chunk.records[at]);
            if (record)
            {
                log_.apply(*record, chunk.offset_at(at), boot_clock::now());
            }
            else
            {
                log_.skip(chunk.offset_at(at), boot_clock::now());
            }
        }
        bool const whole = chunk.next() >= chunk.end;
        if (whole)
        {
            co_return read_step::complete;
        }
        co_return read_step::partial;
    }

    void log_lease_change()
    {
        auto const now = boot_clock::now();
        bool const held = log_.held_until(now).has_value();
        if (held == held_)
        {
            return;
        }
        held_ = held;
        state_.holds_duties = held;
        state_.log.write(event_line{held ? "lease_held" : "lease_lost"}
                             .add("epoch", static_cast<std::int64_t>(log_.epoch()))
                             .add("holder", log_.holder())
                             .add("end", static_cast<std::int64_t>(log_.end())),
                         now);
    }

    // Sealing

    void start_usage_log(std::uint64_t from)
    {
        usage_started_at_ = usage_started_ ? usage_started_at_ : boot_clock::now();
        usage_started_ = true;
        usage_complete_ = from == 0;
        usage_next_ = from;
        usage_read_ = false;
        state_.log.write(event_line{"usage_log"}
                             .add("from", static_cast<std::int64_t>(from))
                             .add("whole", usage_complete_ ? 1 : 0),
                         boot_clock::now());
    }

    /// Reads new records of the usage log. True if more follow.
    ///
    /// When hundreds of VMs start at once, and each reads the records of all, the reads
    /// use up the store's bandwidth, reads of rules time out, and their retries keep the
    /// store overloaded. A VM therefore starts reading shortly before its own first
    /// record, and goes on at the store only in a small fleet. Only VMs that others
    /// query, and the holder of the lease, read the windows that are not sealed yet.
    boost::asio::awaitable<bool> read_usage()
    {
        bool const serves_others = state_.serves_peers && state_.known_vms > 0;
        bool const held = log_.held_until(boot_clock::now()).has_value();
        if (usage_started_ && !usage_complete_ && (serves_others || held))
        {
            extend_usage_log();
        }
        if (!usage_started_)
        {
            co_return false; // the first append returns the end of the log
        }
        while (usage_lane_busy_) // a lane allows one call at a time
        {
            co_await loop_sleep(lane_poll);
        }
        std::optional<lane_use> lane{std::in_place, usage_lane_busy_};
        auto                    result =
            co_await store_.read(usage_lane, usage_topic(), usage_next_, millis{0},
                                 reads_whole_log() ? default_read_kb : first_read_kb);
        lane.reset();
        if (auto const* failure = std::get_if<store_failure>(&result))
        {
            usage_next_ =
                failure->fault == store_fault::trimmed ? failure->offset : usage_next_;
            usage_read_ = false;
            co_return false;
        }
        auto const& chunk = std::get<log_chunk>(result);
        for (auto const& text : chunk.records)
        {
            if (auto const record = parse_usage_record(text))
            {
                usage_complete_ =
                    usage_complete_ || record->window < current_window() - sealed_after;
                state_.usage_known.apply(*record);
            }
        }
        bool const progress = chunk.next() > usage_next_;
        usage_next_ = chunk.next();
        usage_read_ = usage_next_ >= chunk.end;
        usage_read_once_ = usage_read_once_ || usage_read_;
        auto const window = current_window();
        state_.usage_known.forget_before(window - retained_windows);
        state_.known_vms = static_cast<std::int64_t>(state_.usage_known.writers());
        // A member of a large fleet reads on through its relays.
        bool const may_read_on =
            !state_.relays_used() || reads_whole_log() || state_.reads_via_peers;
        co_return progress && !usage_read_ && may_read_on;
    }

    /// Whether this VM passes the records of a large fleet on, and has found the first
    /// one. A VM that knows no other yet is no relay: it must not read what all have
    /// written.
    bool reads_whole_log() const
    {
        return usage_complete_ && state_.is_relay;
    }

    /// Reads the usage log again from further back, until it has a sealed window.
    void extend_usage_log()
    {
        usage_back_ *= 4;
        start_usage_log(usage_anchor_ > usage_back_ ? usage_anchor_ - usage_back_ : 0);
    }

    /// Builds the seals of the windows that are due: all VMs have appended their counts
    /// or are late with them, and no seal or report of the window exists.
    std::vector<duty_record> due_seals()
    {
        std::vector<duty_record> seals;
        auto const               length = state_.settings.usage_window.count();
        auto const               now = state_.unix_ms();
        auto const               last = (now - times_.seal.count()) / length - 1;
        auto const               first = (now - times_.max_seal_age.count()) / length;
        if (!usage_read_ || !usage_complete_)
        {
            return seals;
        }
        for (auto window = first; window <= last; ++window)
        {
            auto       counts = state_.usage_known.of(window);
            bool const late = now - (window + 1) * length >= times_.seal_timeout.count();
            bool const due = late || state_.usage_known.complete(window);
            // The log may lose a seal when it is trimmed. Windows that this VM has
            // reported, or that the newest renewal lists as reported, are remembered
            // separately, so that no window is reported with two different figures.
            bool const sealed = log_.sealed().count(window) > 0 || is_reported(window);
            bool const known = state_.usage_known.known(window);
            // Windows without calls are sealed too, since a window that isn't reported
            // counts as missing.
            if (due && known && !sealed)
            {
                seals.push_back({.kind = duty_kind::seal,
                                 .holder = state_.incarnation,
                                 .window = window,
                                 .counts = std::move(counts)});
            }
        }
        return seals;
    }

    static std::int64_t total(usage_counts const& counts)
    {
        std::int64_t sum = 0;
        for (auto const& [workspace, count] : counts)
        {
            sum += count;
        }
        return sum;
    }

    // Reporting

    boost::asio::awaitable<void> report_sealed()
    {
        reported_up_to_ = std::max(reported_up_to_, log_.reported_up_to());
        std::vector<std::pair<std::int64_t, usage_counts>> due;
        for (auto const& [window, counts] : log_.sealed())
        {
            if (!is_reported(window))
            {
                due.emplace_back(window, counts);
            }
        }
        for (auto const& [window, counts] : due)
        {
            auto const sender =
                duty_authority(log_, state_.settings.name, times_.min_lease_left);
            if (!sender)
            {
                break;
            }
            auto const outcome = co_await duties_.report_usage(*sender, window, counts);
            log_report(window, counts, *sender, outcome);
            if (outcome != duty_outcome::accepted)
            {
                break; // the window is sealed, so the retry reports the same figures
            }
            reported_windows_.insert(window);
        }
        advance_reported();
    }

    /// Whether a window was reported, by this VM or by the holder before it.
    bool is_reported(std::int64_t window) const
    {
        return window <= reported_up_to_ || reported_windows_.count(window) > 0 ||
               log_.reported(window);
    }

    /// Advances `reported_up_to_`, which renewals pass on to a successor: all windows up
    /// to it are reported. A window that still waits for counts holds it back, but
    /// doesn't delay the reports of later windows.
    void advance_reported()
    {
        auto const length = state_.settings.usage_window.count();
        auto const oldest = (state_.unix_ms() - times_.max_seal_age.count()) / length;
        while (!reported_windows_.empty())
        {
            auto const next = *reported_windows_.begin();
            for (auto window = std::max(reported_up_to_ + 1, oldest); window < next;
                 ++window)
            {
                if (state_.usage_known.known(window) && !is_reported(window))
                {
                    return;
                }
            }
            reported_up_to_ = std::max(reported_up_to_, next);
            reported_windows_.erase(reported_windows_.begin());
        }
    }

    void log_report(std::int64_t window, usage_counts const& counts,
                    duty_sender const& sender, duty_outcome outcome)
    {
        state_.log.write(event_line{"usage_report"}
                             .add("window", window)
                             .add("requests", total(counts))
                             .add("epoch", static_cast<std::int64_t>(sender.epoch))
                             .add("outcome", static_cast<std::int64_t>(outcome)),
                         boot_clock::now());
    }

    entry_state&              state_;
    Store&                    store_;
    Duties&                   duties_;
    duty_times                times_;
    duty_log                  log_;
    std::vector<usage_record> pending_;        // not known to be appended
    std::uint64_t             usage_next_ = 0; // next offset to read
    boot_clock::time_point    usage_read_at_{};
    retry_gate                append_gate_;             // limits retries of `pending_`
    bool                      usage_read_ = false;      // the log is read up to its end
    bool                      usage_read_once_ = false; // it was, at some time
    boot_clock::time_point    usage_started_at_{};
    bool                      usage_started_ = false; // `usage_next_` is set
    bool          usage_complete_ = false;      // read from the first unsealed window on
    std::uint64_t usage_anchor_ = 0;            // offset of the first own record
    std::uint64_t usage_back_ = recent_records; // records before it that are read
    std::int64_t  appended_before_ = 0;         // windows before it are appended
    bool          usage_lane_busy_ = false;
    bool          held_ = false;
    std::int64_t  reported_up_to_ = 0; // last of the windows reported without a gap
    std::set<std::int64_t> reported_windows_; // reported windows after that one
    fleet_orders<Duties>   fleet_;
};

} // namespace marigoldcrank

#endif
