// Entry and exit of waiting calls, and what wakes them.
#include "serving/call_queue.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace marigoldcrank
{

namespace
{

// 10    ms; least time between two wakes of a service's next call, each of which looks at
//       all servers
constexpr millis wake_interval{10};

} // namespace

// 2. call_queue

std::unique_ptr<queue_place>
call_queue::enter(std::string const& service, waiting_call call, std::int64_t bytes,
                  call_queue_limits const&            limits,
                  boost::asio::any_io_executor const& executor)
{
    if (stopped_ || calls_ >= limits.calls || bytes_ + bytes > limits.bytes)
    {
        return nullptr;
    }
    return std::make_unique<queue_place>(*this, service, std::move(call), bytes,
                                         executor);
}

wait_queue& call_queue::order(std::string const& service)
{
    return services_[service].order;
}

void call_queue::wake_next(std::string const& service)
{
    auto const found = services_.find(service);
    auto const now = boot_clock::now();
    if (found == services_.end() || found->second.order.size() == 0 ||
        now - found->second.woken_at < wake_interval)
    {
        return;
    }
    auto const next = found->second.order.first(now);
    if (next)
    {
        found->second.woken_at = now;
        found->second.timers.at(*next)->cancel();
    }
}

void call_queue::stop()
{
    stopped_ = true;
    for (auto const& [name, service] : services_)
    {
        for (auto const& [number, timer] : service.timers)
        {
            timer->cancel();
        }
    }
}

bool call_queue::stopped() const noexcept
{
    return stopped_;
}

std::int64_t call_queue::size() const noexcept
{
    return calls_;
}

// 3. queue_place

queue_place::queue_place(call_queue& queue, std::string service, waiting_call call,
                         std::int64_t bytes, boost::asio::any_io_executor const& executor)
    : queue_(queue), service_(std::move(service)), call_(std::move(call)), bytes_(bytes),
      timer_(executor), number_(queue.services_[service_].order.push(call_))
{
    queue_.services_[service_].timers[number_] = &timer_;
    ++queue_.calls_;
    queue_.bytes_ += bytes_;
}

queue_place::~queue_place()
{
    auto& service = queue_.services_[service_];
    service.order.remove(number_);
    service.timers.erase(number_);
    --queue_.calls_;
    queue_.bytes_ -= bytes_;
    queue_.wake_next(service_);
}

boost::asio::awaitable<void> queue_place::wait(millis time)
{
    boost::system::error_code woken;
    timer_.expires_after(time);
    co_await timer_.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, woken));
}

void queue_place::wake()
{
    timer_.cancel();
}

bool queue_place::is_next(boot_clock::time_point now) const
{
    return queue_.services_[service_].order.first(now) == number_;
}

waiting_call const& queue_place::call() const noexcept
{
    return call_;
}

} // namespace marigoldcrank
