// ForwardRun: plain replies, refusals, failure replies, and what is logged at the end of a request.
#include "forwarding/run.h"

#include <algorithm>

namespace vanillanotch
{

namespace
{
// True for the statuses that tell the caller that the request did not run. A server's reply with one of them is not passed on as it is,
// because the request may have run although the server sent that status.
bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}
} // namespace

std::size_t ForwardRun::heldBytes() const
{
    const std::size_t kept = m_serverFailure ? m_serverFailure->first.headers.heldBytes() + m_serverFailure->second.capacity() : 0;
    return m_settings.bytesOfRun + m_exchange.body().size() + m_replyHeadBytes + kept;
}

ForwardRun::AttemptOutcome ForwardRun::relayPlain(UpstreamCall &call, const ReplyHead &head, InstanceLease &lease, TimePoint began)
{
    ReplyMemory memory(m_exchange, heldBytes(), m_deadline);
    auto body = call.readAll(m_settings.maxReplyBytes, m_deadline, m_exchange, memory);
    if (!body) {
        return handleFailure(body.error(), lease, began);
    }
    if (serverEnded(call, lease.instance())) {
        return handleFailure(UpstreamFailure{ErrorCode::ConnectionLost, true, false}, lease, began);
    }
    const ReplyFacts facts = m_dependencies.codec.readReply(head, m_request.attemptId);
    const Duration took = m_dependencies.clock.now() - began;
    if (isServerFailure(head.status)) {
        lease.finish(InstanceCallOutcome::Failed, took);
        m_lastError = ErrorCode::ServerRejected;
        if (facts.hasSeal && !promisesNotRun(head.status)) {
            m_serverFailure.emplace(head, std::move(*body));
        }
        return AttemptOutcome::Failed;
    }
    lease.finish(InstanceCallOutcome::Succeeded, took);
    if (promisesNotRun(head.status)) {
        m_lastError = ErrorCode::ServerRejected; // the server did not state that the request did not run, so the request may have run
        return AttemptOutcome::Unknown;
    }
    m_outcome = ForwardOutcome{head.status, ErrorCode::ServerRejected, true};
    (void)m_exchange.replyLong(head.status, m_dependencies.codec.replyHeaders(head), std::move(*body), m_deadline + m_settings.answerMargin);
    return AttemptOutcome::Answered;
}

void ForwardRun::refuse(ErrorCode code)
{
    int status = 503;
    std::optional<std::chrono::milliseconds> retryAfter = m_settings.retryAfter;
    switch (code) {
    case ErrorCode::MalformedRequest:
    case ErrorCode::InvalidDeadline:
        status = 400;
        retryAfter.reset();
        break;
    case ErrorCode::MissingCredentials:
    case ErrorCode::UnknownCredentials:
        status = 401;
        retryAfter.reset();
        break;
    case ErrorCode::UnknownRoute:
        status = 404;
        retryAfter.reset();
        break;
    case ErrorCode::SuspectRefused:
        retryAfter = m_settings.suspectRetryAfter;
        break;
    case ErrorCode::NoFitServer:
    case ErrorCode::StreamUnknown:
    case ErrorCode::StreamVersionGone:
        retryAfter = m_settings.unplacedRetryAfter;
        break;
    default:
        break;
    }
    m_outcome = ForwardOutcome{status, code, false};
    (void)m_exchange.reply(status, m_dependencies.codec.refusalHeaders(m_request.attemptId, retryAfter), describeRefusal(code),
                           m_dependencies.clock.now() + std::chrono::seconds(1));
    m_dependencies.metrics.counter("vanillanotch_refusals_total", "code=\"" + std::to_string(static_cast<int>(code)) + "\"").add();
    logEvent(LogLevel::Info, "request.refused",
             {{"request", m_request.attemptId},
              {"code", code},
              {"status", status},
              {"version", m_deployment ? m_deployment->version() : std::uint64_t{0}},
              {"proof_age_ms", m_dependencies.deployments.confirmationAge(suspendAwareNow())}});
}

// Ends a request that was admitted and that no server has answered successfully: sends a failure reply, or closes the connection when a
// stream has started. Sends nothing when the caller has disconnected.
void ForwardRun::answerFailure(ErrorCode code)
{
    m_outcome.code = code;
    if (m_exchange.cancelled() || code == ErrorCode::CallerDisconnected) {
        m_outcome.code = ErrorCode::CallerDisconnected;
        return;
    }
    if (m_streamStarted) {
        m_exchange.abort(); // closes the connection, so that the caller can't take the part it got for a complete stream
        return;
    }
    const TimePoint sendLimit = m_dependencies.clock.now() + std::chrono::seconds(1);
    if (m_serverFailure) {
        m_outcome = ForwardOutcome{m_serverFailure->first.status, code, true};
        (void)m_exchange.reply(m_serverFailure->first.status, m_dependencies.codec.replyHeaders(m_serverFailure->first), m_serverFailure->second, sendLimit);
        return;
    }
    const bool timedOut = code == ErrorCode::DeadlineExceeded || code == ErrorCode::ServerTimeout;
    m_outcome.status = !m_mayHaveRun ? 503 : timedOut ? 504 : 502;
    const auto retryPause = code == ErrorCode::Overloaded  ? m_settings.overloadedRetryAfter
        : code == ErrorCode::SuspectRefused                ? m_settings.suspectRetryAfter
        : code == ErrorCode::NoFitServer && !checkPlaces() ? m_settings.unplacedRetryAfter
        : code == ErrorCode::ServersLimited
        ? std::max(m_settings.retryAfter, toMilliseconds(m_dependencies.instances.limitedForNext(m_service, m_priority, serverScope())))
        : m_settings.retryAfter;
    const auto retryAfter = m_mayHaveRun ? std::nullopt : std::optional(retryPause);
    (void)m_exchange.reply(m_outcome.status, m_dependencies.codec.refusalHeaders(m_request.attemptId, retryAfter), describeRefusal(code), sendLimit);
    m_dependencies.metrics.counter("vanillanotch_refusals_total", "code=\"" + std::to_string(static_cast<int>(code)) + "\"").add();
}

void ForwardRun::logOutcome() const
{
    const TimePoint now = m_dependencies.clock.now();
    const Duration stagesTime = m_stagesDoneAt == TimePoint{} ? Duration::zero() : m_stagesDoneAt - m_exchange.arrived();
    const Duration firstEventTime = m_firstEventAt == TimePoint{} ? Duration::zero() : m_firstEventAt - m_exchange.arrived();
    logEvent(LogLevel::Info, "request.ended",
             {{"request", m_request.attemptId},
              {"route", m_route->name},
              {"version", m_deployment->version()},
              {"service", m_service},
              {"instance", m_lastInstance},
              {"prompt", m_request.prompt.empty() ? std::string() : m_request.prompt.front().id},
              {"prompt_parts", static_cast<std::uint64_t>(m_request.prompt.size())},
              {"sent", m_sentCount},
              {"placed", m_ownerChose ? 1 : 0},
              {"status", m_outcome.status},
              {"code", m_outcome.answeredByServer ? 0 : static_cast<int>(m_outcome.code)},
              {"staged_ms", stagesTime},
              {"first_ms", firstEventTime},
              {"took_ms", now - m_exchange.arrived()},
              {"left_ms", remaining()}});
    m_dependencies.metrics.histogram("vanillanotch_request_seconds", "route=\"" + m_route->name + "\"").record(now - m_exchange.arrived());
    m_dependencies.metrics.counter("vanillanotch_requests_total", "status=\"" + std::to_string(m_outcome.status) + "\"").add();
}

} // namespace vanillanotch
