// Work that waits at other nodes, and which requests are refused because of it.
#include "stages/stages.h"

#include <algorithm>

namespace vanillanotch
{

void StageBacklog::record(const std::string &service, const InstanceGroup &group, Duration wait, TimePoint now)
{
    m_records[{service, group.index, group.count}] = Record{wait, now};
}

Duration StageBacklog::expectedWait(const std::string &service, const InstanceGroup &group, TimePoint now) const
{
    const auto found = m_records.find({service, group.index, group.count});
    if (found == m_records.end() || now - found->second.at > MaxAge) {
        return Duration::zero();
    }
    return std::max(Duration::zero(), found->second.wait - (now - found->second.at));
}

std::size_t StageBacklog::groupFor(const std::string &service, const InstanceGroup &preferred, Duration advantage, TimePoint now) const
{
    std::size_t best = preferred.index;
    Duration shortest = expectedWait(service, preferred, now) - advantage;
    for (std::size_t index = 0; index < preferred.count; ++index) {
        if (const Duration wait = expectedWait(service, InstanceGroup{index, preferred.count}, now); wait < shortest) {
            best = index;
            shortest = wait;
        }
    }
    return best;
}

std::optional<std::size_t> lateStep(const std::vector<ChainStep> &chain, TimePoint now, const ShedSettings &settings)
{
    const auto late = std::find_if(chain.begin(), chain.end(), [&](const ChainStep &step) {
        return step.wait > settings.waitThreshold && now + step.before + step.wait + step.own > step.target;
    });
    return late == chain.end() ? std::nullopt : std::optional(static_cast<std::size_t>(late - chain.begin()));
}

} // namespace vanillanotch
