#include "instances/instances.h"

#include <algorithm>
#include <cmath>

namespace vanillanotch
{

namespace
{
constexpr int HeldSamples = 32; // about as many requests count for the average time for which a slot is taken
// Shares of an instance's slots: those that the requests of all prefixes should take where several instances are preferred for a popular one, and the
// limits of the popular one's part. Above the first, instances would refuse prompts by their load (0.85) now and then.
constexpr double InstanceShare = 0.7;
constexpr double MinPrefixShare = 0.2;
constexpr double MaxPrefixShare = 0.6;

double remainingShare(Duration age, Duration halfLife)
{
    return std::exp2(-std::chrono::duration<double>(age) / std::chrono::duration<double>(halfLife));
}
} // namespace

void InstanceSpeed::recordTime(Duration time, Duration expected, const SpeedSettings &settings, TimePoint now)
{
    if (time <= Duration::zero() || expected <= Duration::zero()) {
        return;
    }
    const double ratio = std::chrono::duration<double>(time) / std::chrono::duration<double>(expected) / statedFactor(settings, now);
    const double kept = remainingShare(now - m_measuredAt, settings.halfLife);
    m_weight = m_weight * kept + 1;
    m_logFactors = m_logFactors * kept + std::log(std::clamp(ratio, 1 / settings.maxRatio, settings.maxRatio));
    m_measuredAt = now;
}

void InstanceSpeed::recordSlowdown(double slowdown, TimePoint now)
{
    m_slowdown = slowdown;
    m_slowdownAt = now;
}

double InstanceSpeed::learntFactor(const SpeedSettings &settings, TimePoint now) const
{
    if (m_weight == 0) {
        return 1;
    }
    const double kept = remainingShare(now - m_measuredAt, settings.halfLife);
    return std::exp(m_logFactors * kept / (m_weight * kept + settings.usualWeight));
}

double InstanceSpeed::statedFactor(const SpeedSettings &settings, TimePoint now) const
{
    const Duration age = now - m_slowdownAt;
    if (m_slowdown == 1 || age > settings.slowdownMaxAge) {
        return 1;
    }
    return std::pow(m_slowdown, remainingShare(age, settings.slowdownHalfLife));
}

void RecentPrefixes::record(std::uint64_t affinity, TimePoint now)
{
    const auto known = std::find_if(m_prefixes.begin(), m_prefixes.end(), [affinity](const auto &prefix) {
        return prefix.first == affinity;
    });
    if (known != m_prefixes.end()) {
        known->second = now;
    } else if (m_prefixes.size() < MaxCount) {
        m_prefixes.emplace_back(affinity, now);
    } else {
        *std::min_element(m_prefixes.begin(), m_prefixes.end(), [](const auto &a, const auto &b) {
            return a.second < b.second;
        }) = {affinity, now};
    }
}

bool RecentPrefixes::contains(std::uint64_t affinity, TimePoint now) const
{
    return std::any_of(m_prefixes.begin(), m_prefixes.end(), [affinity, now](const auto &prefix) {
        return prefix.first == affinity && now - prefix.second < MaxAge;
    });
}

double PrefixDemand::Count::weightAt(TimePoint now) const
{
    return weight * std::exp(-std::chrono::duration<double>(now - at) / std::chrono::duration<double>(Span));
}

void PrefixDemand::countRequest(std::uint64_t affinity, TimePoint now)
{
    m_all = Count{m_all.weightAt(now) + 1, now};
    if (affinity == 0) {
        return;
    }
    if (m_prefixes.size() >= MaxPrefixes && m_prefixes.find(affinity) == m_prefixes.end()) {
        m_prefixes.erase(std::min_element(m_prefixes.begin(), m_prefixes.end(), [now](const auto &a, const auto &b) {
            return a.second.weightAt(now) < b.second.weightAt(now);
        }));
    }
    Count &count = m_prefixes[affinity];
    count = Count{count.weightAt(now) + 1, now};
}

void PrefixDemand::recordHeld(Duration time)
{
    m_heldTime = m_heldTime == Duration::zero() ? time : m_heldTime + (time - m_heldTime) / HeldSamples;
}

std::size_t PrefixDemand::preferredCount(std::uint64_t affinity, const FleetSize &fleet, TimePoint now) const
{
    const auto found = m_prefixes.find(affinity);
    if (!m_uneven || found == m_prefixes.end() || fleet.instances == 0) {
        return 1;
    }
    // The slots that all nodes' requests take, by Little's law. A few requests may have come together by chance, so a prefix counts with one standard
    // deviation less than was counted.
    const double weight = found->second.weightAt(now);
    const double perWeight = static_cast<double>(fleet.nodes) * (std::chrono::duration<double>(m_heldTime) / std::chrono::duration<double>(Span));
    const double taken = std::max(0.0, weight - std::sqrt(weight)) * perWeight;
    const double others = std::max(0.0, m_all.weightAt(now) * perWeight - taken) / static_cast<double>(fleet.slots);
    const double slotsEach = static_cast<double>(fleet.slots) / static_cast<double>(fleet.instances);
    const double wanted = std::clamp(InstanceShare - others, MinPrefixShare, MaxPrefixShare) * slotsEach;
    return static_cast<std::size_t>(std::clamp(std::ceil(taken / wanted), 1.0, static_cast<double>(fleet.instances)));
}

ChoiceInput InstanceTable::withPreferredCountLocked(const ChoiceInput &input, const std::vector<InstanceView> &views, TimePoint now) const
{
    ChoiceInput result = input;
    if (const auto demand = m_demands.find(input.service); demand != m_demands.end() && input.affinity != 0) {
        FleetSize fleet{std::max<std::size_t>(1, m_nodes.size()), views.size(), 0};
        for (const InstanceView &view : views) {
            fleet.slots += std::max(1U, view.spec->slots);
        }
        result.preferredCount = demand->second.preferredCount(input.affinity, fleet, now);
    }
    return result;
}

void InstanceTable::recordFirstEvent(const std::string &id, Duration time, Duration expected, std::uint64_t affinity)
{
    const Lock lock(m_mutex);
    if (const auto found = m_entries.find(id); found != m_entries.end()) {
        const TimePoint now = m_clock.now();
        recordTimeLocked(found->second, time, now);
        found->second.speed.recordTime(time, expected, m_settings.speed, now);
        if (affinity != 0) {
            found->second.prefixes.record(affinity, now);
        }
    }
}

void InstanceTable::recordHeld(const std::string &service, TimePoint begun)
{
    const Lock lock(m_mutex);
    m_demands[service].recordHeld(m_clock.now() - begun);
}

} // namespace vanillanotch
