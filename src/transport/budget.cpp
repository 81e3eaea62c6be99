#include "transport/budget.h"

#include <algorithm>

namespace vanillanotch
{

MemoryBudget::MemoryBudget(const BudgetLimits &limits)
    : m_limits(limits)
{
}

bool MemoryBudget::tryTake(std::size_t bytes, std::size_t held)
{
    const std::size_t wanted = held + bytes;
    const std::size_t limit = wanted <= m_limits.smallHolder ? m_limits.total : m_limits.total - std::min(m_limits.reserve, m_limits.total);
    if (wanted > m_limits.perHolder) {
        return false;
    }
    std::size_t used = m_used;
    do {
        if (used + bytes > limit) {
            return false;
        }
    } while (!m_used.compare_exchange_weak(used, used + bytes));
    return true;
}

void MemoryBudget::giveBack(std::size_t bytes)
{
    m_used -= bytes;
    m_released += bytes;
    if (m_waiting > 0) {
        const Lock lock(m_mutex);
        m_wake.notify_all();
    }
}

std::size_t MemoryBudget::takeReleased(std::size_t threshold)
{
    return m_released > threshold ? m_released.exchange(0) : 0;
}

void MemoryBudget::awaitRelease(TimePoint until)
{
    assertNoLockHeld("a thread waits for memory");
    ++m_waiting;
    {
        Lock lock(m_mutex);
        m_wake.wait_until(lock, until);
    }
    --m_waiting;
}

MemoryReservation::MemoryReservation(MemoryBudget &budget)
    : m_budget(budget)
{
}

MemoryReservation::~MemoryReservation()
{
    (void)resize(0);
}

bool MemoryReservation::resize(std::size_t bytes)
{
    if (bytes > m_bytes) {
        if (!m_budget.tryTake(bytes - m_bytes, m_bytes)) {
            return false;
        }
    } else if (bytes < m_bytes) {
        m_budget.giveBack(m_bytes - bytes);
    }
    m_bytes = bytes;
    return true;
}

void freeMemory(std::string &text)
{
    std::string().swap(text);
}

bool growWithin(std::string &text, std::size_t bytes, std::size_t limit, std::size_t others, MemoryGrant &memory)
{
    constexpr std::size_t MinCapacity = 1024;
    if (bytes <= text.capacity()) {
        return true;
    }
    const std::size_t capacity = std::min(std::max({bytes, 2 * text.capacity(), MinCapacity}), std::max(limit, bytes));
    if (!memory.hold(others + capacity)) {
        return false;
    }
    std::string grown;
    grown.reserve(capacity);
    grown.append(text);
    text.swap(grown);
    return true;
}

namespace
{
constexpr std::size_t SmallBytes = 8 * 1024; // connections that hold less aren't closed for memory, since that would close many for little

class LongestStalledFirst final : public EvictionPolicy
{
public:
    explicit LongestStalledFirst(Duration minStall)
        : m_minStall(minStall)
    {
    }

    std::vector<int> choose(std::vector<StalledConnection> connections, const EvictionNeed &need) const override
    {
        connections.erase(std::remove_if(connections.begin(), connections.end(),
                                         [&](const StalledConnection &connection) {
                                             return connection.stalled < m_minStall || (need.bytes > 0 && connection.bytes < SmallBytes);
                                         }),
                          connections.end());
        std::sort(connections.begin(), connections.end(), [](const StalledConnection &a, const StalledConnection &b) {
            return a.idle != b.idle ? a.idle : a.stalled > b.stalled;
        });
        std::vector<int> chosen;
        std::size_t bytes = 0;
        for (const StalledConnection &connection : connections) {
            if (bytes >= need.bytes && chosen.size() >= need.connections) {
                break;
            }
            bytes += connection.bytes;
            chosen.push_back(connection.descriptor);
        }
        return chosen;
    }

private:
    const Duration m_minStall;
};
} // namespace

std::unique_ptr<EvictionPolicy> makeLongestStalledFirst(Duration minStall)
{
    return std::make_unique<LongestStalledFirst>(minStall);
}

} // namespace vanillanotch
