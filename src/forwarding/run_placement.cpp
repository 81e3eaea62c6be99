// ForwardRun: what the owner of a data centre's engines is asked and told.
#include "forwarding/run.h"

#include <utility>

namespace vanillanotch
{

std::vector<PromptPrefix> ForwardRun::promptPrefixes() const
{
    std::vector<PromptPrefix> prefixes;
    std::string ids;
    for (std::size_t i = 0; i + 1 < m_request.prompt.size(); ++i) {
        ids += m_request.prompt[i].id + ",";
        prefixes.push_back(PromptPrefix{stableHash(ids), m_request.prompt[i].tokens});
    }
    return prefixes;
}

// The data centre is that of the engine which this node would choose, so that all nodes ask the same owner for the same shared parts.
std::optional<PlacementDemand> ForwardRun::placementDemand()
{
    if (m_request.prompt.empty() || !m_dependencies.instances.uneven(m_service)) {
        return std::nullopt;
    }
    ChoiceInput input;
    input.service = m_service;
    input.affinity = m_affinity;
    input.avoid = m_tried;
    input.scope = m_scope;
    input.scope = m_scope;
    const auto preferred = m_dependencies.instances.preview(input, m_dependencies.engineChoice);
    if (!preferred) {
        return std::nullopt;
    }
    const auto targetIn = toMilliseconds(m_target - m_dependencies.clock.now());
    return PlacementDemand{
        m_request.attemptId + "/" + std::to_string(m_tried.size()), m_service, preferred->dataCentre, promptPrefixes(), ownTokens(), m_tried, targetIn};
}

void ForwardRun::reportPlacement(std::optional<Duration> firstEventAfter, InstanceCallOutcome outcome)
{
    if (const auto placed = std::exchange(m_placed, std::nullopt)) {
        PlacementReport report{placed->attempt, placed->service, m_lastInstance, std::nullopt, outcome};
        if (firstEventAfter) {
            report.firstEventAfter = std::chrono::duration_cast<std::chrono::microseconds>(*firstEventAfter);
        }
        m_dependencies.placement.report(placed->dataCentre, report);
    }
}

} // namespace vanillanotch
