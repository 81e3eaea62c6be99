// The data centres whose servers a request may use.
#include "forwarding/run.h"

namespace vanillanotch
{

ForwardRun::StepResult ForwardRun::checkPlaces() const
{
    if (m_dependencies.instances.noneLeft(m_service, serverScope())) {
        return fail(m_softwareVersion ? ErrorCode::StreamVersionGone : ErrorCode::NoFitServer);
    }
    for (std::size_t stage = 0; stage < m_route->stages.size(); ++stage) {
        const bool hasPieces = stage < m_request.pieces.size() && m_request.pieces[stage] > 0;
        if (hasPieces && m_dependencies.instances.noneLeft(m_route->stages[stage].service, m_scope)) {
            return fail(ErrorCode::NoFitServer);
        }
    }
    return {};
}

} // namespace vanillanotch
