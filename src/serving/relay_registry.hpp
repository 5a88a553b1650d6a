// The relays of a large fleet as the store lists them, for VMs that start.
//
// Index: relay_registry
//
// A VM learns all others from the usage log, to which each of them adds a record in every
// window. When all VMs start at once, reading it takes the square of their number, and
// the reads time out and are repeated for ever. The registry has a few entries a data
// centre, so a VM that starts knows whom to ask after one or two calls, whatever the size
// of the fleet.
#ifndef MARIGOLDCRANK_SERVING_RELAY_REGISTRY_HPP
#define MARIGOLDCRANK_SERVING_RELAY_REGISTRY_HPP

#include "ledger/relay_entry.hpp"
#include "policy/relay_candidacy.hpp"
#include "policy/relay_plan.hpp"
#include "ports/log_store_port.hpp"
#include "serving/entry_state.hpp"
#include "serving/loop_sleep.hpp"

#include <array>
#include <map>
#include <set>

namespace marigoldcrank
{

template <log_store_port Store, class Codec>
class relay_registry
{
public:
    relay_registry(entry_state& state, Store& store)
        : state_(state), store_(store), started_(boot_clock::now()),
          first_delay_(candidacy_delay(state.contact, state.tie_break()))
    {
    }

    /// Lists the relays of a large fleet until the usage log tells of the VMs, and enters
    /// this VM while it is one, or there are too few.
    boost::asio::awaitable<void> run()
    {
        while (true)
        {
            if (listing_due(boot_clock::now()))
            {
                co_await list();
                co_await enter_if_needed();
            }
            if (entry_due(boot_clock::now()))
            {
                co_await enter();
                co_await drop_former();
            }
            co_await loop_sleep(look_interval);
        }
    }

    /// The VMs to plan with: those that the usage log tells of, or the listed relays
    /// while this VM of a large fleet hasn't read the log (`complete` is false). A relay
    /// needs the others as well.
    std::set<vm_contact> contacts(std::set<vm_contact> const& logged, bool complete)
    {
        logged_ = logged;
        log_complete_ = complete;
        if (!state_.relays_used() || complete)
        {
            return logged;
        }
        std::set<vm_contact> result;
        for (auto const& [name, entry] : known_)
        {
            result.insert(entry.contact);
        }
        bool const entered = known_.count(state_.settings.name) > 0;
        if (entered && would_be_relay(result, state_.contact, {}))
        {
            result.insert(logged.begin(), logged.end());
        }
        return result;
    }

    /// The size of the fleet as its relays tell it; 0 if not known.
    std::int64_t vms() const
    {
        std::int64_t most = 0;
        for (auto const& [name, entry] : known_)
        {
            most = std::max(most, entry.vms);
        }
        return most;
    }

    /// Whether this VM knows whom to query, so far as the store tells.
    bool listed() const
    {
        return !known_.empty();
    }

    static std::string topic()
    {
        return "keyed.relays";
    }

private:
    using entries = std::map<std::string, relay_entry>; // by name of the VM

    static constexpr unsigned lane = 4;
    // 150   ms; between looks
    static constexpr millis look_interval{150};
    // 700 to 5000 ms; pauses between listings. The first candidates may enter while
    // others
    //       list; later the list only changes when relays are replaced
    static constexpr std::array<millis, 3> listing_pauses{millis{700}, millis{2000},
                                                          millis{5000}};
    // 10000 ms; between entries of a relay
    static constexpr millis entry_pause{10000};

    bool listing_due(boot_clock::time_point now) const
    {
        bool const again = listed_at_ != boot_clock::time_point{};
        if (!state_.relays_used() || log_complete_ || (again && !unsettled()))
        {
            return false;
        }
        if (again)
        {
            return now - listed_at_ >= listing_pauses[place_];
        }
        return !state_.settings.first_start || now - started_ >= first_delay_;
    }

    bool entry_due(boot_clock::time_point now) const
    {
        return state_.is_relay && log_complete_ && now - entered_at_ >= entry_pause;
    }

    /// Whether the list may lack relays that matter to this VM: it entered itself, as
    /// others may have done since, or none of the listed relays replies.
    bool unsettled() const
    {
        return known_.count(state_.settings.name) > 0 || !state_.reads_via_peers;
    }

    boost::asio::awaitable<void> list()
    {
        bool const again = listed_at_ != boot_clock::time_point{};
        place_ = again ? std::min(place_ + 1, listing_pauses.size() - 1) : 0;
        listed_at_ = boot_clock::now();
        auto        result = co_await store_.newest(lane, topic(), "");
        auto const* page = std::get_if<keyed_page>(&result);
        if (page == nullptr)
        {
            co_return;
        }
        has_list_ = true;
        known_.clear();
        for (auto const& record : page->records)
        {
            if (auto entry = parse_relay_entry(record.value.value_or("")))
            {
                known_.insert_or_assign(record.key, std::move(*entry));
            }
        }
    }

    boost::asio::awaitable<void> enter_if_needed()
    {
        std::set<vm_contact> listed;
        for (auto const& [name, entry] : known_)
        {
            listed.insert(entry.contact);
        }
        bool const entered = known_.count(state_.settings.name) > 0;
        if (has_list_ && !entered && would_be_relay(listed, state_.contact, {}))
        {
            co_await enter();
        }
    }

    boost::asio::awaitable<void> enter()
    {
        entered_at_ = boot_clock::now();
        relay_entry const entry{.contact = state_.contact, .vms = state_.known_vms};
        keyed_record      record{.key = state_.settings.name};
        record.value = format_relay_entry(entry);
        co_await append(std::move(record));
        known_.insert_or_assign(state_.settings.name, entry);
    }

    /// Removes entries of this data centre that the usage log no longer tells of.
    boost::asio::awaitable<void> drop_former()
    {
        if (!state_.is_first_relay)
        {
            co_return;
        }
        co_await list();
        for (auto const& [name, entry] : entries{known_})
        {
            bool const near = entry.contact.data_centre == state_.settings.data_centre;
            if (near && logged_.count(entry.contact) == 0 && name != state_.settings.name)
            {
                keyed_record record{.key = name};
                co_await append(std::move(record));
                known_.erase(name);
            }
        }
    }

    boost::asio::awaitable<void> append(keyed_record record)
    {
        std::vector<std::string> const records{Codec::keyed_text(record)};
        auto const result = co_await store_.append(lane, topic(), records, std::nullopt);
        static_cast<void>(result); // appended again after the pause
    }

    entry_state&           state_;
    Store&                 store_;
    boot_clock::time_point started_;
    millis                 first_delay_; // of the first listing, if all start
    entries                known_;
    std::set<vm_contact>   logged_; // VMs that the usage log tells of
    boot_clock::time_point listed_at_{};
    boot_clock::time_point entered_at_{};
    std::size_t            place_ = 0;            // in listing_pauses
    bool                   log_complete_ = false; // the usage log has told of all VMs
    bool                   has_list_ = false;     // a listing succeeded
};

} // namespace marigoldcrank

#endif
