// Keeps what blocks calls in the store, for VMs that start when no other is left.
//
// Index: crash_recorder
#ifndef MARIGOLDCRANK_SERVING_CRASH_RECORDER_HPP
#define MARIGOLDCRANK_SERVING_CRASH_RECORDER_HPP

#include "ledger/crash_entry.hpp"
#include "policy/crash_records.hpp"
#include "ports/log_store_port.hpp"
#include "serving/entry_state.hpp"
#include "serving/loop_sleep.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marigoldcrank
{

template <log_store_port Store, class Codec>
class crash_recorder
{
public:
    crash_recorder(entry_state& state, Store& store) : state_(state), store_(store) {}

    /// Reads the records, and then writes changes.
    boost::asio::awaitable<void> run()
    {
        bool answered = state_.settings.first_start;
        while (!answered)
        {
            answered = co_await read();
            if (!answered)
            {
                co_await loop_sleep(read_retry);
            }
        }
        has_read_ = true;
        records_.begin(blocks(boot_clock::now()));
        while (true)
        {
            auto const now = boot_clock::now();
            if (state_.crashes.revision() != seen_revision_)
            {
                seen_revision_ = state_.crashes.revision();
                records_.update(blocks(now), now);
            }
            auto const due = records_.due(now);
            if (!due.empty())
            {
                co_await write(due);
            }
            if (records_.begin_check(checks(now), now))
            {
                co_await check();
            }
            co_await loop_sleep(look_interval);
        }
    }

    /// Whether the records have been read, or none can exist.
    bool has_read() const noexcept
    {
        return has_read_;
    }

    static std::string topic()
    {
        return "keyed.crashes";
    }

private:
    using blocks_by_name = crash_records::blocks_by_name;

    static constexpr unsigned lane = 5;
    // 50    ms; between looks for changes
    static constexpr millis look_interval{50};
    // 500   ms; between attempts to read the records
    static constexpr millis read_retry{500};

    /// Of the VMs that hear each other, one compares the records with the blocks; of a
    /// large fleet, one in each data centre.
    bool checks(boot_clock::time_point now) const
    {
        if (state_.relays_used())
        {
            return state_.is_first_relay;
        }
        auto const& heard = state_.last_heard;
        return std::none_of(heard.begin(), heard.end(),
                            [&](auto const& each) {
                                return each.first < state_.contact.records &&
                                       state_.is_live(each.first, now);
                            });
    }

    blocks_by_name blocks(boot_clock::time_point now) const
    {
        blocks_by_name result;
        for (auto& each : state_.crashes.blocks(now))
        {
            auto const name = each.name;
            result.insert_or_assign(name, std::move(each));
        }
        return result;
    }

    /// Merges all records into what this VM knows. Returns those that can be read;
    /// nothing if the store didn't answer.
    boost::asio::awaitable<std::optional<blocks_by_name>> list()
    {
        blocks_by_name stored;
        std::string    after;
        while (true)
        {
            auto        result = co_await store_.newest(lane, topic(), after);
            auto const* page = std::get_if<keyed_page>(&result);
            if (page == nullptr)
            {
                co_return std::nullopt;
            }
            for (auto const& record : page->records)
            {
                if (auto const entry = parse_crash_entry(record.value.value_or("")))
                {
                    stored.insert_or_assign(record.key, merge(record.key, *entry));
                }
            }
            if (!page->more || page->records.empty())
            {
                co_return stored;
            }
            after = page->records.back().key;
        }
    }

    boost::asio::awaitable<bool> read()
    {
        auto const stored = co_await list();
        if (stored && !stored->empty())
        {
            state_.log.write(event_line{"crashes_read"}.add(
                                 "records", static_cast<std::int64_t>(stored->size())),
                             boot_clock::now());
        }
        co_return stored.has_value();
    }

    crash_block merge(std::string const& name, crash_entry const& entry)
    {
        auto const  now = boot_clock::now();
        auto const  unix_now = state_.unix_ms();
        crash_block result{.name = name, .as_of = now};
        for (auto const& each : entry.crashes)
        {
            auto const age = std::max<std::int64_t>(unix_now - each.ended_unix_ms, 0);
            result.crashes.push_back({.content = each.content,
                                      .server = each.server,
                                      .service = entry.service,
                                      .call_id = each.call_id,
                                      .parts = each.parts,
                                      .ran = each.ran,
                                      .age = millis{age},
                                      .others_served = entry.others_served});
            state_.crashes.merge(result.crashes.back(), update_source::others, now);
        }
        return result;
    }

    std::string text_of(crash_block const& block)
    {
        auto const waited =
            std::chrono::duration_cast<millis>(boot_clock::now() - block.as_of);
        auto const  as_of = state_.unix_ms() - waited.count();
        crash_entry entry{.service = block.crashes.front().service};
        for (auto const& each : block.crashes)
        {
            entry.others_served = entry.others_served || each.others_served;
            entry.crashes.push_back({.content = each.content,
                                     .server = each.server,
                                     .call_id = each.call_id,
                                     .parts = each.parts,
                                     .ended_unix_ms = as_of - each.age.count(),
                                     .ran = each.ran});
        }
        return format_crash_entry(entry);
    }

    boost::asio::awaitable<bool> write(std::vector<crash_record_change> changes)
    {
        std::vector<std::string> texts;
        for (auto const& each : changes)
        {
            keyed_record record{.key = each.name};
            if (each.block)
            {
                record.value = text_of(*each.block);
            }
            texts.push_back(Codec::keyed_text(record));
        }
        auto const result = co_await store_.append(lane, topic(), texts, std::nullopt);
        auto const now = boot_clock::now();
        bool const done = std::holds_alternative<std::uint64_t>(result);
        if (done)
        {
            records_.written(changes);
        }
        else
        {
            records_.write_failed(now);
        }
        log_written(changes, done, now);
        co_return done;
    }

    boost::asio::awaitable<void> check()
    {
        auto const stored = co_await list();
        if (!stored)
        {
            records_.check_again(boot_clock::now());
            co_return;
        }
        records_.update(blocks(boot_clock::now()), boot_clock::now());
        auto const changes = records_.changes(*stored);
        if (!changes.empty() && !co_await write(changes))
        {
            records_.check_again(boot_clock::now());
        }
    }

    void log_written(std::vector<crash_record_change> const& changes, bool done,
                     boot_clock::time_point now)
    {
        auto const removed =
            std::count_if(changes.begin(), changes.end(),
                          [](crash_record_change const& each) { return !each.block; });
        state_.log.write(
            event_line{"crashes_recorded"}
                .add("records", static_cast<std::int64_t>(changes.size()) - removed)
                .add("removed", static_cast<std::int64_t>(removed))
                .add("first", changes.front().name)
                .add("written", done ? 1 : 0),
            now);
    }

    entry_state&  state_;
    Store&        store_;
    crash_records records_;
    std::uint64_t seen_revision_ = 0;
    bool          has_read_ = false;
};

} // namespace marigoldcrank

#endif
