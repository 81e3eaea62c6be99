// ForwardRun: what the choice of an engine depends on; what the owner of a data centre's engines is asked and told.
#include "forwarding/run.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace vanillanotch
{

unsigned ForwardRun::sharedTokens() const
{
    unsigned tokens = 0;
    for (std::size_t i = 0; i + 1 < m_request.prompt.size(); ++i) {
        tokens += std::min(m_request.prompt[i].tokens, std::numeric_limits<unsigned>::max() - tokens);
    }
    return tokens;
}

ChoiceInput ForwardRun::choiceInput() const
{
    ChoiceInput input;
    input.service = m_service;
    input.affinity = m_affinity;
    if (streaming()) {
        input.expectedTime = m_dependencies.engineTimeEstimator.measuredEstimate(m_service, ownTokens()).value_or(Duration::zero());
        input.sharedTokens = sharedTokens();
        input.timePerToken = m_dependencies.engineTimeEstimator.timePerToken(m_service);
    }
    return input;
}

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

bool ForwardRun::asksOwner() const
{
    return !m_request.prompt.empty() && !serverScope().softwareVersion && m_dependencies.instances.uneven(m_service);
}

std::string ForwardRun::engineDataCentre() const
{
    const InstanceListRef engines = m_dependencies.instances.usableInstances(m_service);
    return homeDataCentre(m_affinity, *engines, m_scope, [this](const std::string &dataCentre) {
        return m_dependencies.instances.restoredShare(dataCentre);
    });
}

std::optional<PlacementDemand> ForwardRun::placementDemand() const
{
    const std::string dataCentre = asksOwner() ? engineDataCentre() : std::string();
    if (dataCentre.empty()) {
        return std::nullopt;
    }
    PlacementDemand demand;
    demand.attempt = m_request.attemptId + "/" + std::to_string(m_tried.size());
    demand.service = m_service;
    demand.dataCentre = dataCentre;
    demand.prefixes = promptPrefixes();
    demand.ownTokens = ownTokens();
    demand.avoid = m_tried;
    demand.targetIn = toMilliseconds(m_target - m_dependencies.clock.now());
    return demand;
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
