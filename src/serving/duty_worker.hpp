// Usage on every VM, and the duties of the one that holds the lease.
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

    /// Hands over counts, window by window. A relay hands over what it has heard of its
    /// members too; a member whose counts are in the log by then saves its append.
    boost::asio::awaitable<void> run_usage()
    {
        auto const started = boot_clock::now();
        if (state_.settings.first_start)
        {
            begin_usage(0);
        }
        co_await hand_over(current_window());
        if (state_.settings.first_start)
        {
            co_await loop_sleep(times_.join);
        }
        while (true)
        {
            auto const pause = state_.relayed && !state_.leads ? times_.member_hand_over
                                                               : times_.hand_over;
            auto const past = state_.usage.window_of(state_.day_ms() - pause.count());
            auto const now = boot_clock::now();
            bool const often =
                log_.held_until(now) || state_.relays || now - started < times_.meeting;
            bool const closing = past > handed_before_;
            auto const pause_between = !often           ? state_.settings.usage_window
                                       : state_.relayed ? times_.relayed_usage
                                                        : times_.renew;
            bool const retries = !waiting_.empty() && append_gate_.open(now);
            if (closing || retries || now - usage_looked_ >= pause_between)
            {
                usage_looked_ = now;
                co_await read_usage();
            }
            if (closing || retries)
            {
                handed_before_ = past;
                co_await hand_over(past);
            }
            co_await loop_sleep(usage_look);
        }
    }

    static std::string duty_topic()
    {
        return "duty";
    }

    /// The VMs that hand over usage.
    std::set<vm_contact> vms() const
    {
        return state_.usage_known.contacts();
    }

    /// Hands over all counts, those of the open window too: the process is about to end.
    boost::asio::awaitable<void> hand_over_all()
    {
        return hand_over(current_window() + 1);
    }

    /// Follows the lease, takes it when it is free, and does the duties while it is held.
    boost::asio::awaitable<void> run_duties()
    {
        while (true)
        {
            bool const held = log_.held_until(boot_clock::now()).has_value();
            bool       waited = false;
            if (held)
            {
                co_await hold();
            }
            else
            {
                waited = co_await follow();
            }
            note_change();
            fleet_.share_changes();
            if (!waited)
            {
                co_await loop_sleep(next_look());
            }
        }
    }

private:
    std::int64_t current_window() const
    {
        return state_.usage.window_of(state_.day_ms());
    }

    boost::asio::awaitable<void> hand_over(std::int64_t before)
    {
        while (usage_lane_busy_) // the lane serves one call at a time
        {
            co_await loop_sleep(lane_look);
        }
        for (auto const& record : state_.usage.take_before(before))
        {
            if (!state_.relayed || !state_.usage_known.holds(record))
            {
                waiting_.push_back(record);
            }
        }
        if (state_.relays)
        {
            for (auto const& record : state_.usage_known.missing_before(before))
            {
                waiting_.push_back(record);
            }
        }
        forget_handed_over();
        if (waiting_.empty())
        {
            co_return;
        }
        auto const               count = waiting_.size();
        std::vector<std::string> texts;
        for (auto const& record : waiting_)
        {
            texts.push_back(format_usage_record(record));
        }
        usage_lane_busy_ = true;
        auto const result =
            co_await store_.append(usage_lane, usage_topic(), texts, std::nullopt);
        usage_lane_busy_ = false;
        auto const* offset = std::get_if<std::uint64_t>(&result);
        bool const  taken = offset != nullptr;
        if (taken && !usage_begun_)
        {
            begin_usage(*offset > recent_records ? *offset - recent_records : 0);
        }
        if (!taken)
        {
            // A member's relay has its counts from digests and appends them too.
            bool const member = state_.relayed && !state_.leads;
            append_gate_.limit(member ? patient_retries : retry_gate_options{});
            append_gate_.failed(boot_clock::now());
        }
        if (taken)
        {
            append_gate_.succeeded();
            waiting_.erase(waiting_.begin(),
                           waiting_.begin() + static_cast<std::ptrdiff_t>(count));
        }
        state_.counters.add(taken ? "usage_appends_total"
                                  : "usage_append_failures_total");
    }

    /// Load answered: after an outage of the store every VM of a large fleet would append
    /// what its relay has appended for it meanwhile.
    void forget_handed_over()
    {
        std::erase_if(waiting_, [&](usage_record const& record)
                      { return state_.relayed && state_.usage_known.holds(record); });
    }

    static constexpr unsigned     duty_lane = 2;
    static constexpr unsigned     usage_lane = 3;
    static constexpr std::int64_t kept_windows = 8; // windows; more than are ever due
    // 400 records; more than the VMs of a fleet, each of which tells of itself once a
    // window
    static constexpr std::uint64_t recent_records = 400;
    static constexpr millis        lane_look{
        20}; // 20   ms; between looks for the lane to be free
    static constexpr millis usage_look{300}; // 300  ms; between looks for a closed window

    static std::string usage_topic()
    {
        return "usage";
    }

    // Lease

    /// A holder that has fallen silent is watched more closely, to take over soon after
    /// its lease.
    millis next_look() const
    {
        auto const now = boot_clock::now();
        if (log_.held_until(now))
        {
            return times_.renew;
        }
        if (log_.silence(now) > times_.renew * 2)
        {
            return times_.close_look;
        }
        return state_.relays ? times_.relay_look : times_.look;
    }

    /// Whether no pause is needed: the read has waited for news, or the lease was taken.
    boost::asio::awaitable<bool> follow()
    {
        bool const waits = state_.relays || state_.relayed;
        auto const read = co_await catch_up(waits ? next_look() : millis{0});
        bool const known = read == read_step::whole;
        bool const waited = waits && read != read_step::failed;
        // Read through another VM the log may be older than the last renewal, and a
        // conditional append would mostly fail.
        bool const behind = !known || state_.relayed;
        if (behind || !log_.may_claim(boot_clock::now()) || state_.draining)
        {
            co_return waited;
        }
        std::vector<duty_record> claim{
            duty_record{.kind = duty_kind::claim, .holder = state_.incarnation}};
        // The new holder acts at once: windows may be due since an outage of the store.
        co_return co_await append(std::move(claim));
    }

    boost::asio::awaitable<void> hold()
    {
        if (state_.draining)
        {
            co_return; // the lease runs out, and another VM takes over
        }
        std::vector<duty_record> records{duty_record{.kind = duty_kind::renew,
                                                     .holder = state_.incarnation,
                                                     .window = reported_,
                                                     .later = done_}};
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
            co_await fleet_.act();
        }
    }

    /// Appends under the condition that nothing was appended unseen.
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
            // Without an answer it may have been appended: what was is read back.
            co_await catch_up(millis{0});
            co_return false;
        }
        for (std::size_t at = 0; at < records.size(); ++at)
        {
            log_.absorb(records[at], *offset + at, boot_clock::now());
        }
        co_return true;
    }

    enum class read_step
    {
        failed,
        part, // more records are there
        whole // up to the end
    };

    boost::asio::awaitable<read_step> catch_up(millis wait)
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
                log_.absorb(*record, chunk.from + at, boot_clock::now());
            }
            else
            {
                log_.skip(chunk.from + at, boot_clock::now());
            }
        }
        bool const whole = chunk.from + chunk.records.size() >= chunk.end;
        if (whole)
        {
            co_return read_step::whole;
        }
        co_return read_step::part;
    }

    void note_change()
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

    void begin_usage(std::uint64_t from)
    {
        usage_begun_ = true;
        usage_whole_ = from == 0;
        usage_next_ = from;
        usage_read_ = false;
        state_.log.write(event_line{"usage_log"}
                             .add("from", static_cast<std::int64_t>(from))
                             .add("whole", usage_whole_ ? 1 : 0),
                         boot_clock::now());
    }

    /// Load answered: hundreds of VMs lose power and start at once. If each read the
    /// whole history of counts, the store's bandwidth would be used up, reads of rules
    /// would run into their time-out, and their repeats would keep it so. A VM begins
    /// shortly before its own first record, which tells who is there; only the VMs that
    /// others ask, and the holder of the duties, read the rest.
    boost::asio::awaitable<void> read_usage()
    {
        bool const placed = state_.relays && state_.vms_known > 0;
        bool const held = log_.held_until(boot_clock::now()).has_value();
        if (usage_begun_ && !usage_whole_ && (placed || held))
        {
            begin_usage(0);
        }
        if (!usage_begun_)
        {
            co_return; // the first append tells where the log ends
        }
        while (usage_lane_busy_) // the lane serves one call at a time
        {
            co_await loop_sleep(lane_look);
        }
        usage_lane_busy_ = true;
        auto result =
            co_await store_.read(usage_lane, usage_topic(), usage_next_, millis{0});
        usage_lane_busy_ = false;
        if (auto const* failure = std::get_if<store_failure>(&result))
        {
            usage_next_ =
                failure->fault == store_fault::trimmed ? failure->offset : usage_next_;
            usage_read_ = false;
            co_return;
        }
        auto const& chunk = std::get<log_chunk>(result);
        for (auto const& text : chunk.records)
        {
            if (auto const record = parse_usage_record(text))
            {
                state_.usage_known.absorb(*record);
            }
        }
        usage_next_ = chunk.from + chunk.records.size();
        usage_read_ = usage_next_ >= chunk.end;
        auto const window = current_window();
        state_.usage_known.forget_before(window - kept_windows);
        state_.vms_known = static_cast<std::int64_t>(state_.usage_known.writers());
    }

    /// Windows whose counts are in and that nobody has sealed yet.
    std::vector<duty_record> due_seals()
    {
        std::vector<duty_record> seals;
        auto const               length = state_.settings.usage_window.count();
        auto const               now = state_.day_ms();
        auto const               last = (now - times_.seal.count()) / length - 1;
        auto const               first = (now - times_.too_old.count()) / length;
        if (!usage_read_ || !usage_whole_)
        {
            return seals;
        }
        for (auto window = first; window <= last; ++window)
        {
            auto       counts = state_.usage_known.of(window);
            bool const late = now - (window + 1) * length >= times_.seal_at_last.count();
            bool const due = late || state_.usage_known.complete(window);
            // A seal can be lost from the history; reports of this VM, and those that the
            // newest renewal tells of, can't. Two figures must not be reported.
            bool const sealed = log_.sealed().count(window) > 0 || done(window);
            bool const known = state_.usage_known.known(window);
            // Also without a single call: a window that isn't reported is missing.
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
        reported_ = std::max(reported_, log_.reported_up_to());
        std::vector<std::pair<std::int64_t, usage_counts>> due;
        for (auto const& [window, counts] : log_.sealed())
        {
            if (!done(window))
            {
                due.emplace_back(window, counts);
            }
        }
        for (auto const& [window, counts] : due)
        {
            auto const sender =
                duty_authority(log_, state_.settings.name, times_.call_slack);
            if (!sender)
            {
                break;
            }
            auto const outcome = co_await duties_.report_usage(*sender, window, counts);
            note_report(window, counts, *sender, outcome);
            if (outcome != duty_outcome::accepted)
            {
                break; // sealed, so the repeat will bear the same figures
            }
            done_.insert(window);
        }
        advance_mark();
    }

    /// Whether a window was reported, by this VM or by the holder before it.
    bool done(std::int64_t window) const
    {
        return window <= reported_ || done_.count(window) > 0 || log_.reported(window);
    }

    /// The mark that a successor goes by: all windows up to it are reported. One that
    /// still waits for counts holds it back, but not the reports of later ones.
    void advance_mark()
    {
        auto const length = state_.settings.usage_window.count();
        auto const oldest = (state_.day_ms() - times_.too_old.count()) / length;
        while (!done_.empty())
        {
            auto const next = *done_.begin();
            for (auto window = std::max(reported_ + 1, oldest); window < next; ++window)
            {
                if (state_.usage_known.known(window) && !done(window))
                {
                    return;
                }
            }
            reported_ = std::max(reported_, next);
            done_.erase(done_.begin());
        }
    }

    void note_report(std::int64_t window, usage_counts const& counts,
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
    std::vector<usage_record> waiting_; // that aren't known to be appended
    std::uint64_t             usage_next_ = 0;
    boot_clock::time_point    usage_looked_{};
    retry_gate                append_gate_;         // for records that wait
    bool                      usage_read_ = false;  // up to its end
    bool                      usage_begun_ = false; // `usage_next_` is known
    bool                      usage_whole_ = false; // read from the first record kept
    std::int64_t              handed_before_ = 0;   // windows before this one
    bool                      usage_lane_busy_ = false;
    bool                      held_ = false;
    std::int64_t              reported_ = 0; // all windows up to this one
    std::set<std::int64_t>    done_;         // reported later ones
    fleet_orders<Duties>      fleet_;
};

} // namespace marigoldcrank

#endif
