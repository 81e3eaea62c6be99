#include "forwarding/forwarding.h"

#include <algorithm>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// EngineTimeEstimator
//-----------------------------------------------------------------------------

EngineTimeEstimator::EngineTimeEstimator(EngineTimeSettings settings)
    : m_settings(settings)
{
}

void EngineTimeEstimator::record(const std::string &service, unsigned ownTokens, Duration took)
{
    const double x = ownTokens;
    const double y = std::chrono::duration<double>(took).count();
    const Lock lock(m_mutex);
    Sums &sums = m_sums[service];
    for (double *sum : {&sums.weight, &sums.x, &sums.y, &sums.xx, &sums.xy}) {
        *sum *= m_settings.pastWeight;
    }
    sums.weight += 1;
    sums.x += x;
    sums.y += y;
    sums.xx += x * x;
    sums.xy += x * y;
}

std::optional<double> EngineTimeEstimator::Sums::secondsPerToken() const
{
    const double meanTokens = x / weight;
    const double variance = xx / weight - meanTokens * meanTokens;
    const double covariance = xy / weight - meanTokens * y / weight;
    return variance > 1 ? std::optional(std::max(0.0, covariance / variance)) : std::nullopt; // a negative slope is noise: more tokens never take less time
}

Duration EngineTimeEstimator::estimate(const std::string &service, unsigned ownTokens) const
{
    return measuredEstimate(service, ownTokens).value_or(m_settings.defaultTime);
}

std::optional<Duration> EngineTimeEstimator::measuredEstimate(const std::string &service, unsigned ownTokens) const
{
    const Lock lock(m_mutex);
    const auto found = m_sums.find(service);
    if (found == m_sums.end() || found->second.weight < m_settings.minSamples) {
        return std::nullopt;
    }
    const Sums &sums = found->second;
    const std::chrono::duration<double> time(sums.y / sums.weight + sums.secondsPerToken().value_or(0) * (ownTokens - sums.x / sums.weight));
    return std::clamp<Duration>(std::chrono::duration_cast<Duration>(time), m_settings.minimum, m_settings.maximum);
}

Duration EngineTimeEstimator::timePerToken(const std::string &service) const
{
    const Lock lock(m_mutex);
    const auto found = m_sums.find(service);
    const auto measured = found == m_sums.end() || found->second.weight < m_settings.minSamples ? std::nullopt : found->second.secondsPerToken();
    if (!measured) {
        return m_settings.defaultTimePerToken;
    }
    return std::clamp<Duration>(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(*measured)), m_settings.minTimePerToken,
                                m_settings.maxTimePerToken);
}

//-----------------------------------------------------------------------------
// StatedDeadlines
//-----------------------------------------------------------------------------

StatedDeadlines::StatedDeadlines(StatedDeadlineSettings settings)
    : m_settings(settings)
{
}

std::chrono::milliseconds StatedDeadlines::estimateSpent(const std::string &route, std::chrono::milliseconds stated)
{
    const std::chrono::milliseconds rounded = stated / m_settings.roundingStep * m_settings.roundingStep;
    const Lock lock(m_mutex);
    if (m_recent.size() >= m_settings.maxRoutes && m_recent.find(route) == m_recent.end()) {
        m_recent.clear();
    }
    std::deque<std::chrono::milliseconds> &recent = m_recent[route];
    recent.push_back(rounded);
    if (recent.size() > m_settings.samplesPerRoute) {
        recent.pop_front();
    }
    // A deadline is usual if at least usualShare of the route's kept deadlines equal it. A caller that tries again states only the time it
    // has left, and callers that were all told to retry after the same time can make such a shorter deadline usual as well. So the longest
    // usual deadline counts as the one that callers state at their first try.
    std::chrono::milliseconds longest = rounded;
    for (const std::chrono::milliseconds value : recent) {
        const auto occurrences = std::count(recent.begin(), recent.end(), value);
        if (value > longest && static_cast<double>(occurrences) >= m_settings.usualShare * static_cast<double>(recent.size())) {
            longest = value;
        }
    }
    return longest - rounded;
}

//-----------------------------------------------------------------------------
// RouteTimes
//-----------------------------------------------------------------------------

RouteTimes::RouteTimes(RouteTimeSettings settings)
    : m_settings(settings)
{
}

void RouteTimes::record(const std::string &route, Duration took)
{
    const Lock lock(m_mutex);
    if (m_recent.size() >= m_settings.maxRoutes && m_recent.find(route) == m_recent.end()) {
        m_recent.clear();
    }
    std::deque<Duration> &recent = m_recent[route];
    recent.push_back(took);
    if (recent.size() > m_settings.samplesPerRoute) {
        recent.pop_front();
    }
}

std::optional<Duration> RouteTimes::usualTime(const std::string &route) const
{
    std::vector<Duration> times;
    {
        const Lock lock(m_mutex);
        if (const auto found = m_recent.find(route); found != m_recent.end()) {
            times.assign(found->second.begin(), found->second.end());
        }
    }
    if (times.empty()) {
        return std::nullopt;
    }
    const auto index = static_cast<std::ptrdiff_t>(static_cast<double>(times.size() - 1) * m_settings.usualShare);
    std::nth_element(times.begin(), times.begin() + index, times.end());
    return *(times.begin() + index);
}

} // namespace vanillanotch
