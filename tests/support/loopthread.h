#pragma once

#include "snipeferry/net/eventloop.h"

#include <future>
#include <thread>
#include <type_traits>

namespace snipeferry::testing {

/** An event loop on a thread of its own, for tests whose other side blocks. Everything on the loop is touched through call(). */
class LoopThread
{
public:
    LoopThread()
        : m_thread([this] { m_loop.run(); })
    {
    }

    ~LoopThread()
    {
        m_loop.post([this] { m_loop.stop(); });
        m_thread.join();
    }

    LoopThread(const LoopThread &) = delete;
    LoopThread &operator=(const LoopThread &) = delete;

    net::EventLoop &loop()
    {
        return m_loop;
    }

    /** @brief Runs a function on the loop's thread and gives its result. */
    template<typename Function>
    std::invoke_result_t<Function> call(Function function)
    {
        std::packaged_task<std::invoke_result_t<Function>()> task(std::move(function));
        std::future<std::invoke_result_t<Function>> result = task.get_future();
        m_loop.post([&task] { task(); });
        return result.get();
    }

private:
    net::EventLoop m_loop;
    std::thread m_thread;
};

} // namespace snipeferry::testing
