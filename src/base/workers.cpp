#include "base/base.h"

namespace vanillanotch
{

WorkerPool::WorkerPool(std::size_t workers)
{
    m_threads.reserve(workers);
    for (std::size_t i = 0; i < workers; ++i) {
        m_threads.emplace_back([this] {
            run();
        });
    }
}

WorkerPool::~WorkerPool()
{
    {
        const Lock lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

void WorkerPool::post(std::function<void()> task)
{
    {
        const Lock lock(m_mutex);
        m_tasks.push_back(std::move(task));
    }
    m_wake.notify_one();
}

std::size_t WorkerPool::queued() const
{
    const Lock lock(m_mutex);
    return m_tasks.size();
}

void WorkerPool::run()
{
    for (;;) {
        std::function<void()> task;
        {
            Lock lock(m_mutex);
            m_wake.wait(lock, [this] {
                return m_stopping || !m_tasks.empty();
            });
            if (m_tasks.empty()) {
                return;
            }
            task = std::move(m_tasks.front());
            m_tasks.pop_front();
        }
        task();
    }
}

GrowingPool::GrowingPool(std::size_t limit)
    : m_limit(limit)
{
}

GrowingPool::~GrowingPool()
{
    stop();
}

void GrowingPool::stop()
{
    std::vector<std::thread> threads;
    {
        const Lock lock(m_mutex);
        m_stopping = true;
        threads.swap(m_threads);
    }
    m_wake.notify_all();
    for (std::thread &thread : threads) {
        thread.join();
    }
}

void GrowingPool::post(std::function<void()> task)
{
    const Lock lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (!m_stopping && m_tasks.size() > m_idle && m_threads.size() < m_limit) {
        m_threads.emplace_back([this] {
            run();
        });
    } else {
        m_wake.notify_one();
    }
}

std::size_t GrowingPool::threadCount() const
{
    const Lock lock(m_mutex);
    return m_threads.size();
}

void GrowingPool::run()
{
    Lock lock(m_mutex);
    for (;;) {
        ++m_idle;
        m_wake.wait(lock, [this] {
            return m_stopping || !m_tasks.empty();
        });
        --m_idle;
        if (m_tasks.empty()) {
            return;
        }
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

void Latch::countDown()
{
    const Lock lock(m_mutex);
    if (--m_count == 0) {
        m_wake.notify_all();
    }
}

bool Latch::wait(Duration timeout)
{
    assertNoLockHeld("a thread waits for other threads");
    Lock lock(m_mutex);
    return m_wake.wait_for(lock, timeout, [this] {
        return m_count == 0;
    });
}

TimerQueue::TimerQueue(WorkerPool &pool)
    : m_pool(pool)
    , m_thread([this] {
        run();
    })
{
}

TimerQueue::~TimerQueue()
{
    stop();
    m_thread.join();
}

void TimerQueue::after(Duration delay, std::function<void()> task)
{
    {
        const Lock lock(m_mutex);
        if (m_stopping) {
            return;
        }
        m_timers.push(Timer{std::chrono::steady_clock::now() + delay, std::move(task)});
    }
    m_wake.notify_one();
}

void TimerQueue::every(Duration interval, std::function<void()> task)
{
    after(interval, [this, interval, task = std::move(task)] {
        task();
        every(interval, task);
    });
}

void TimerQueue::stop()
{
    {
        const Lock lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
}

void TimerQueue::run()
{
    Lock lock(m_mutex);
    while (!m_stopping) {
        if (m_timers.empty()) {
            m_wake.wait(lock);
            continue;
        }
        const TimePoint due = m_timers.top().due;
        if (due > std::chrono::steady_clock::now()) {
            m_wake.wait_until(lock, due);
            continue;
        }
        std::function<void()> task = m_timers.top().task;
        m_timers.pop();
        lock.unlock();
        m_pool.post(std::move(task));
        lock.lock();
    }
}

} // namespace vanillanotch
