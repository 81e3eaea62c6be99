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

bool ForwardRun::asksOwner() const
{
    return !m_request.prompt.empty() && m_dependencies.instances.uneven(m_service);
}

std::string ForwardRun::engineDataCentre() const
{
    std::map<std::string, EngineDataCentre> byName;
    const InstanceListRef engines = m_dependencies.instances.usableInstances(m_service);
    for (const InstanceSpec &engine : engines->specs) {
        if (m_scope.allows(engine.dataCentre)) {
            ++byName[engine.dataCentre].engines;
        }
    }
    std::vector<EngineDataCentre> dataCentres;
    for (const auto &[name, found] : byName) {
        dataCentres.push_back(EngineDataCentre{name, found.engines, m_dependencies.instances.restoredShare(name)});
    }
    return homeDataCentre(m_affinity, dataCentres);
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
