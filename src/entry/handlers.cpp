#include "entry/entry.h"

namespace vanillanotch
{

namespace
{
constexpr Duration ReadinessReplyTimeout = std::chrono::seconds(1); // timeout for sending the reply to a readiness check
}

ForwardHandler::ForwardHandler(ForwardService &service, DeploymentTable &deployments)
    : m_service(service)
    , m_deployments(deployments)
{
}

void ForwardHandler::serve(FrontExchange &exchange)
{
    m_service.serve(exchange);
}

std::string ForwardHandler::describeError(ErrorCode code)
{
    return describeRefusal(code);
}

FrontLimits ForwardHandler::limits()
{
    const DeploymentRef deployment = m_deployments.current();
    return deployment ? deployment->limits() : FrontLimits{};
}

ReadinessHandler::ReadinessHandler(DeploymentTable &deployments, const std::atomic<bool> &leaving)
    : m_deployments(deployments)
    , m_leaving(leaving)
{
}

void ReadinessHandler::serve(FrontExchange &exchange)
{
    const bool ready = !m_leaving && m_deployments.ready(suspendAwareNow());
    if (m_wasReady.exchange(ready) != ready) {
        logEvent(LogLevel::Info, "node.readiness",
                 {{"ready", ready ? 1 : 0}, {"leaving", m_leaving ? 1 : 0}, {"proof_age_ms", m_deployments.confirmationAge(suspendAwareNow())}});
    }
    const bool isReadinessPath = platform::isReadinessProbe(exchange.head());
    (void)exchange.reply(!isReadinessPath ? 404 : ready ? 200 : 503, Headers{}, {}, std::chrono::steady_clock::now() + ReadinessReplyTimeout);
}

std::string ReadinessHandler::describeError(ErrorCode code)
{
    return describeRefusal(code);
}

FrontLimits ReadinessHandler::limits()
{
    return FrontLimits{};
}

} // namespace vanillanotch
