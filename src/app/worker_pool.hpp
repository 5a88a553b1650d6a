// Fixed pool of threads for work that blocks on engines.
//
// Index: worker_pool
#ifndef MARIGOLDCRANK_APP_WORKER_POOL_HPP
#define MARIGOLDCRANK_APP_WORKER_POOL_HPP

#include <tbb/concurrent_queue.h>

#include <cstddef>
#include <functional>
#include <thread>
#include <vector>

namespace marigoldcrank
{

/// Has as many threads as there are callers served at once, so that accepted work never
/// waits for a thread.
class worker_pool
{
public:
    explicit worker_pool(std::size_t threads)
    {
        for (std::size_t index = 0; index < threads; ++index)
        {
            threads_.emplace_back([this] { run(); });
        }
    }

    ~worker_pool()
    {
        for (std::size_t index = 0; index < threads_.size(); ++index)
        {
            work_.push({});
        }
        for (auto& thread : threads_)
        {
            thread.join();
        }
    }

    /// Queues `work` for the next free thread; `work` must not be empty.
    void post(std::function<void()> work)
    {
        work_.push(std::move(work));
    }

private:
    void run()
    {
        std::function<void()> work;
        for (work_.pop(work); work; work_.pop(work))
        {
            work();
        }
    }

    tbb::concurrent_bounded_queue<std::function<void()>> work_;
    std::vector<std::thread>                             threads_;
};

} // namespace marigoldcrank

#endif
