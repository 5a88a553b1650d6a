// The calls that wait at this VM: their order by service, their timers and their number.
//
// Index: 1 call_queue_limits, 2 call_queue, 3 queue_place
#ifndef MARIGOLDCRANK_SERVING_CALL_QUEUE_HPP
#define MARIGOLDCRANK_SERVING_CALL_QUEUE_HPP

#include "policy/wait_queue.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace marigoldcrank
{

struct call_queue_limits
{
    std::int64_t calls = 0; // waiting at once, of all services
    std::int64_t bytes = 0; // of their requests

    bool operator==(call_queue_limits const&) const = default;
};

class queue_place;

class call_queue
{
public:
    call_queue() = default;
    call_queue(call_queue const&) = delete;
    call_queue& operator=(call_queue const&) = delete;

    /// A place for a call whose request has `bytes`; null if the limits are reached or
    /// the VM is stopping.
    std::unique_ptr<queue_place> enter(std::string const& service, waiting_call call,
                                       std::int64_t                        bytes,
                                       call_queue_limits const&            limits,
                                       boost::asio::any_io_executor const& executor);

    /// The order of the calls to a service.
    wait_queue& order(std::string const& service);

    /// Wakes the next call to `service`: one of its servers may be free now.
    void wake_next(std::string const& service);

    /// Wakes all calls, which must then leave, and lets no more enter.
    void stop();

    bool         stopped() const noexcept;
    std::int64_t size() const noexcept;

private:
    friend class queue_place;

    struct service_queue
    {
        wait_queue                                                    order;
        std::map<wait_queue::call_number, boost::asio::steady_timer*> timers;
        boot_clock::time_point                                        woken_at{};
    };

    std::map<std::string, service_queue> services_;
    std::int64_t                         calls_ = 0;
    std::int64_t                         bytes_ = 0;
    bool                                 stopped_ = false;
};

/// One waiting call. It leaves the queue on destruction.
class queue_place
{
public:
    queue_place(call_queue& queue, std::string service, waiting_call call,
                std::int64_t bytes, boost::asio::any_io_executor const& executor);
    ~queue_place();
    queue_place(queue_place const&) = delete;
    queue_place& operator=(queue_place const&) = delete;

    /// Resumes after `time`, or earlier if the call is woken.
    boost::asio::awaitable<void> wait(millis time);

    void wake();

    /// Whether no other waiting call goes before this one.
    bool is_next(boot_clock::time_point now) const;

    waiting_call const& call() const noexcept;

private:
    call_queue&               queue_;
    std::string               service_;
    waiting_call              call_;
    std::int64_t              bytes_;
    boost::asio::steady_timer timer_;
    wait_queue::call_number   number_;
};

} // namespace marigoldcrank

#endif
