// Tasks that fail, and the loop that goes on.
#include "serving/task_guard.hpp"

#include "serving/loop_sleep.hpp"

#include <boost/asio/post.hpp>

namespace marigoldcrank
{

namespace
{

/// `alive` lives as long as the coroutine.
boost::asio::awaitable<void> run_after(millis delay, background_tasks::make_task make,
                                       std::shared_ptr<int> alive)
{
    static_cast<void>(alive);
    if (delay.count() > 0)
    {
        co_await loop_sleep(delay);
    }
    co_await make();
}

} // namespace

std::string describe_failure(std::exception_ptr const& failure)
{
    try
    {
        std::rethrow_exception(failure);
    }
    catch (std::exception const& error)
    {
        return error.what();
    }
    catch (...)
    {
        return "unknown exception";
    }
}

void run_loop(boost::asio::io_context& loop, failure_sink const& sink,
              std::function<void()> const& on_lost)
{
    bool runs = true;
    while (runs)
    {
        try
        {
            loop.run();
            runs = false;
        }
        catch (...)
        {
            sink("handler", describe_failure(std::current_exception()));
            on_lost();
        }
    }
}

background_tasks::background_tasks(boost::asio::io_context& loop, failure_sink sink,
                                   millis pause)
    : loop_(loop), sink_(std::move(sink)), pause_(pause)
{
}

void background_tasks::start(std::string_view name, make_task make)
{
    tasks_.push_back({name, std::move(make), {}});
    launch(tasks_.back(), millis{0});
}

void background_tasks::restart_lost()
{
    // The loop destroys the coroutines of a handler that threw; this comes after it.
    boost::asio::post(loop_,
                      [this]
                      {
                          for (auto& each : tasks_)
                          {
                              if (!each.ended && each.alive.expired())
                              {
                                  sink_(each.name, "lost with a handler");
                                  launch(each, pause_);
                              }
                          }
                      });
}

void background_tasks::launch(task& value, millis delay)
{
    auto alive = std::make_shared<int>();
    value.alive = alive;
    auto work = run_after(delay, value.make, std::move(alive));
    boost::asio::co_spawn(loop_, std::move(work),
                          [this, &value](std::exception_ptr const& end)
                          {
                              value.ended = !end;
                              if (end)
                              {
                                  sink_(value.name, describe_failure(end));
                              }
                              if (end && value.alive.expired())
                              {
                                  launch(value, pause_);
                              }
                          });
}

} // namespace marigoldcrank
