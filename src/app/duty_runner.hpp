// Runs the order-giving duties of one entry VM, each with its own lease and threads.
//
// Index: 1 duty_options, 2 duty_runner
#ifndef MARIGOLDCRANK_APP_DUTY_RUNNER_HPP
#define MARIGOLDCRANK_APP_DUTY_RUNNER_HPP

#include "app/engine_controller.hpp"
#include "app/server_directory.hpp"
#include "app/vm_orderer.hpp"
#include "policy/drained_servers.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>

namespace marigoldcrank
{

/// Identity, timing and platform address that the duties of one entry VM use.
struct duty_options
{
    std::string     data_centre; // this entry VM may control its engines
    std::string     holder;      // node and incarnation, written into the log
    lease_durations lease;
    order_durations orders;
    orderer_options platform;
};

/// A watcher thread starts the duties that the configuration or an open order calls for,
/// and marks draining servers. Each duty has one thread for its lease and one for its
/// orders, so that an engine that hangs during a query does not block lease renewal.
template <platform_log_port Log, vm_list_port List, order_port Orders,
          engine_state_port Engines, backend_port Backend>
class duty_runner
{
public:
    duty_runner(log_writer<Log>& writer, ledger_store& store, List& list, Orders& orders,
                Engines& engines, Backend& backend, server_directory& directory,
                span_store& spans, duty_options options)
        : writer_(writer), store_(store), list_(list), orders_(orders), engines_(engines),
          backend_(backend), directory_(directory), spans_(spans),
          options_(std::move(options)), watcher_([this] { watch(); })
    {
    }

    ~duty_runner()
    {
        stop();
    }

    /// Ends all duties and releases their leases, so that a successor need not wait for
    /// them to expire.
    void release_duties()
    {
        end_threads();
        for (auto const& [name, owned] : duties_)
        {
            owned->lease.release();
        }
    }

    /// Ends all duties without releasing their leases, which then expire.
    void stop()
    {
        end_threads();
        stopping_ = true;
        if (watcher_.joinable())
        {
            watcher_.join();
        }
    }

private:
    static constexpr millis watch_interval{20};
    static constexpr millis duty_interval{20};

    /// A duty: its lease, its orders, and the function that performs one step of its
    /// work.
    struct duty
    {
        duty(duty_runner& owner, std::string const& name)
            : lease(owner.writer_, owner.store_, name, owner.options_.holder,
                    owner.options_.lease),
              journal(owner.writer_, owner.store_, lease, owner.orders_, owner.spans_,
                      owner.options_.holder, owner.options_.orders)
        {
        }

        lease_keeper<Log>                           lease;
        order_journal<Log, Orders>                  journal;
        std::function<void(boot_clock::time_point)> work;
        std::thread                                 lease_thread;
        std::thread                                 work_thread;
    };

    void watch()
    {
        while (!stopping_)
        {
            directory_.set_draining(draining());
            if (!ending_)
            {
                for (auto const& name : wanted_duties())
                {
                    start_duty(name);
                }
            }
            std::this_thread::sleep_for(watch_interval);
        }
    }

    /// Servers to leave out of routing, because an open order of any holder will take
    /// them out of service. Every entry VM leaves out the same servers.
    std::set<std::string> draining() const
    {
        std::map<std::string, std::uint64_t> ordered;
        for (auto const& [target, entry] : open_orders())
        {
            leaf::try_handle_all(
                [&, &found = entry]() -> leaf::result<void>
                {
                    BOOST_LEAF_AUTO(wanted, parse_order(found.wanted));
                    ordered[wanted.server] = found.offset;
                    return {};
                },
                [] {});
        }
        return drained_servers(directory_.all(), std::move(ordered));
    }

    std::map<std::string, open_order> open_orders() const
    {
        return store_.with_ledger([](ledger const& value)
                                  { return value.orders().open(); });
    }

    /// Duties that the configuration calls for, and duties that still have open orders.
    std::set<std::string> wanted_duties() const
    {
        std::set<std::string> names;
        auto const            access = store_.access();
        if (access->config)
        {
            for (auto const& [group, rule] : access->config->roles)
            {
                names.insert(controller_duty(group, options_.data_centre));
            }
            if (!access->config->groups.empty())
            {
                names.insert(orderer_duty);
            }
        }
        for (auto const& [target, entry] : open_orders())
        {
            if (entry.duty == orderer_duty || !group_of(entry.duty).empty())
            {
                names.insert(entry.duty);
            }
        }
        return names;
    }

    /// The group of a controller's duty in this data centre; empty for any other duty.
    std::string group_of(std::string const& name) const
    {
        auto const prefix = std::string{"controller/"};
        auto const suffix = "/" + options_.data_centre;
        bool const own = name.size() > prefix.size() + suffix.size() &&
                         name.rfind(prefix, 0) == 0 && name.ends_with(suffix);
        return own ? name.substr(prefix.size(),
                                 name.size() - prefix.size() - suffix.size())
                   : "";
    }

    void start_duty(std::string const& name)
    {
        std::lock_guard const lock(mutex_);
        if (ending_ || duties_.count(name) != 0)
        {
            return;
        }
        auto added = std::make_unique<duty>(*this, name);
        added->work = work_of(name, added->journal);
        added->lease_thread =
            std::thread([this, own = added.get()] { keep_lease(*own); });
        added->work_thread = std::thread([this, own = added.get()] { run_work(*own); });
        duties_.emplace(name, std::move(added));
    }

    std::function<void(boot_clock::time_point)>
    work_of(std::string const& name, order_journal<Log, Orders>& journal)
    {
        if (name == orderer_duty)
        {
            auto orderer = std::make_shared<vm_orderer<Log, List, Orders, Backend>>(
                journal, store_, list_, backend_, options_.platform);
            return [orderer](boot_clock::time_point now)
            {
                orderer->step(now);
            };
        }
        auto controller =
            std::make_shared<engine_controller<Log, List, Orders, Engines, Backend>>(
                journal, store_, list_, engines_, backend_, group_of(name),
                options_.data_centre);
        return [controller](boot_clock::time_point now)
        {
            controller->step(now);
        };
    }

    void keep_lease(duty& own)
    {
        while (!ending_)
        {
            own.lease.step(boot_clock::now());
            std::this_thread::sleep_for(duty_interval);
        }
    }

    void run_work(duty& own)
    {
        while (!ending_)
        {
            own.work(boot_clock::now());
            std::this_thread::sleep_for(duty_interval);
        }
    }

    void end_threads()
    {
        std::lock_guard const lock(mutex_);
        ending_ = true;
        for (auto const& [name, owned] : duties_)
        {
            for (auto* thread : {&owned->lease_thread, &owned->work_thread})
            {
                if (thread->joinable())
                {
                    thread->join();
                }
            }
        }
    }

    log_writer<Log>&                             writer_;
    ledger_store&                                store_;
    List&                                        list_;
    Orders&                                      orders_;
    Engines&                                     engines_;
    Backend&                                     backend_;
    server_directory&                            directory_;
    span_store&                                  spans_;
    duty_options                                 options_;
    std::atomic<bool>                            stopping_{false}; // ends the watcher
    std::atomic<bool>                            ending_{false};   // ends the duties
    std::mutex                                   mutex_;
    std::map<std::string, std::unique_ptr<duty>> duties_;
    std::thread                                  watcher_;
};

} // namespace marigoldcrank

#endif
