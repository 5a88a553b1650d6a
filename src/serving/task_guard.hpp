// Keeps an exception in one task from ending others, or the process.
//
// Index: 1 failure_sink, 2 describe_failure, 3 spawn_task, 4 run_loop, 5 background_tasks
#ifndef MARIGOLDCRANK_SERVING_TASK_GUARD_HPP
#define MARIGOLDCRANK_SERVING_TASK_GUARD_HPP

#include "domain/boot_clock.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <deque>
#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace marigoldcrank
{

/// Takes the name of a task that failed, and why.
using failure_sink = std::function<void(std::string_view task, std::string_view cause)>;

std::string describe_failure(std::exception_ptr const& failure);

/// Starts a task that nobody waits for. `name` is a literal.
template <class Executor>
void spawn_task(Executor&& executor, std::string_view name, failure_sink sink,
                boost::asio::awaitable<void> work)
{
    boost::asio::co_spawn(std::forward<Executor>(executor), std::move(work),
                          [name, sink = std::move(sink)](std::exception_ptr const& end)
                          {
                              if (end)
                              {
                                  sink(name, describe_failure(end));
                              }
                          });
}

/// Runs the loop until it is stopped or has no work. A handler that throws outside a
/// coroutine, as within a read of a library, takes its own task with it; the others go
/// on, after `on_lost`.
void run_loop(boost::asio::io_context& loop, failure_sink const& sink,
              std::function<void()> const& on_lost);

/// Tasks that last as long as the loop. One that throws starts again after a pause.
class background_tasks
{
public:
    using make_task = std::function<boost::asio::awaitable<void>()>;

    background_tasks(boost::asio::io_context& loop, failure_sink sink,
                     millis pause = millis{1000});

    /// `name` is a literal.
    void start(std::string_view name, make_task make);

    /// Starts the tasks again that were destroyed with a handler that threw.
    void restart_lost();

private:
    struct task
    {
        std::string_view   name;
        make_task          make;
        std::weak_ptr<int> alive;         // expires with the coroutine
        bool               ended = false; // without an exception
    };

    void launch(task& value, millis delay);

    boost::asio::io_context& loop_;
    failure_sink             sink_;
    millis                   pause_;
    std::deque<task>         tasks_; // handlers refer to its elements
};

} // namespace marigoldcrank

#endif
