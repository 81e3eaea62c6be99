#include "forwarding/forwarding.h"

namespace vanillanotch
{

ServiceRetryBudget::ServiceRetryBudget(const Clock &clock, RetryBudgetSettings settings, std::function<std::optional<std::size_t>()> nodes)
    : m_clock(clock)
    , m_settings(settings)
    , m_nodes(std::move(nodes))
{
}

void ServiceRetryBudget::removeOlder(std::deque<TimePoint> &times, TimePoint before)
{
    while (!times.empty() && times.front() < before) {
        times.pop_front();
    }
}

void ServiceRetryBudget::recordFirstCall(const std::string &service)
{
    const TimePoint now = m_clock.now();
    const Lock lock(m_mutex);
    Window &window = m_windows[service];
    window.firstCalls.push_back(now);
    removeOlder(window.firstCalls, now - m_settings.window);
}

bool ServiceRetryBudget::tryTake(const std::string &service)
{
    const std::optional<std::size_t> nodes = m_nodes();
    const double extra = nodes ? m_settings.extraPerWindow / static_cast<double>(std::max<std::size_t>(1, *nodes)) : 0;
    const TimePoint now = m_clock.now();
    const Lock lock(m_mutex);
    Window &window = m_windows[service];
    removeOlder(window.firstCalls, now - m_settings.window);
    removeOlder(window.repeatedCalls, now - m_settings.window);
    const double budget = m_settings.ratio * static_cast<double>(window.firstCalls.size()) + extra;
    if (static_cast<double>(window.repeatedCalls.size()) + 1 > budget * m_settings.usedShare) {
        return false;
    }
    window.repeatedCalls.push_back(now);
    return true;
}

} // namespace vanillanotch
