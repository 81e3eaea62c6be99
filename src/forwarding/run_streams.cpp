// ForwardRun: streamed replies.
#include "forwarding/run.h"

#include <algorithm>

namespace vanillanotch
{

namespace
{
constexpr std::size_t SmallBuffer = 64 * 1024; // bytes of events that a stream keeps allocated
constexpr std::size_t StreamReadBytes = 2 * Connection::ReceiveBytes; // room for one read and for what came with the head
constexpr std::size_t PartialEventLimit = 1024 * 1024; // maximum size of an incomplete event, bytes
} // namespace

// Sends the first `bytes` of `buffer` to the caller and removes them from it. Only complete events are sent before the end of the stream, so
// that a stream that breaks within an event can be resumed at another server after the last complete one. `lastId`: see EventScan. Returns
// false when the caller has disconnected.
bool ForwardRun::forwardEvents(std::string &buffer, const ReplyHead &head, std::size_t bytes, std::optional<std::string> lastId)
{
    if (bytes == 0) {
        return true;
    }
    const std::string_view events = std::string_view(buffer).substr(0, bytes);
    m_lastEventId = lastId ? std::move(*lastId) : m_lastEventId;
    const TimePoint sendLimit = m_deadline + m_settings.answerMargin;
    bool callerConnected = false;
    if (!m_streamStarted) {
        m_streamStarted = true;
        m_firstEventAt = m_dependencies.clock.now();
        callerConnected = m_exchange.beginStream(head.status, m_dependencies.codec.replyHeaders(head), events, sendLimit);
        releaseResults(); // the engine has read the results of the stages by its first event
    } else {
        callerConnected = m_exchange.streamBytes(events, sendLimit);
    }
    buffer.erase(0, bytes);
    if (buffer.empty() && buffer.capacity() > SmallBuffer) {
        freeMemory(buffer); // a single long event must not take memory until the stream ends
        (void)m_exchange.tryHold(heldBytes());
    }
    return callerConnected;
}

// What an instance's time is compared with is estimated before it is recorded itself. Where it isn't known whether the shared parts of the prompt were in
// the cache, the time says nothing of the instance's speed.
void ForwardRun::recordFirstEvent(InstanceLease &lease, Duration time) const
{
    EngineTimeEstimator &estimator = m_dependencies.engineTimeEstimator;
    const bool comparable = sharedTokens() == 0 || lease.hasPrefix();
    lease.recordFirstEvent(time, comparable ? estimator.measuredEstimate(m_service, ownTokens()).value_or(Duration::zero()) : Duration::zero());
    estimator.record(m_service, ownTokens(), time);
}

ForwardRun::AttemptOutcome ForwardRun::relayStream(UpstreamCall &call, const ReplyHead &head, const ReplyFacts &facts, InstanceLease &lease, TimePoint began)
{
    if (!m_streamStarted) {
        m_weightsVersion = facts.weightsVersion;
    }
    std::string buffer;
    // When the stream counts as silent. Only a complete event moves it: a server may be stuck although it sends a byte now and then.
    TimePoint silentAt = m_streamStarted ? m_dependencies.clock.now() + m_settings.streamSilenceLimit : firstReplyLimit();
    bool hasEvents = false; // of this server
    bool mayMove = m_route->resumable && m_sentCount < m_route->maxAttempts;
    ReplyMemory memory(m_exchange, heldBytes(), m_deadline);
    for (bool complete = false; !complete;) {
        if (!growWithin(buffer, buffer.size() + StreamReadBytes, PartialEventLimit + StreamReadBytes, 0, memory)) {
            return handleFailure(UpstreamFailure{ErrorCode::Overloaded, true, false}, lease, began);
        }
        const auto read = call.readBody(buffer, mayMove ? std::min(silentAt, m_deadline) : m_deadline, m_exchange);
        if (!read && read.error().code != ErrorCode::ServerTimeout) {
            return handleFailure(read.error(), lease, began);
        }
        complete = read && *read;
        const EventScan scan = scanEvents(buffer);
        if (scan.lastId && scan.lastId->size() > m_settings.maxEventIdBytes) {
            return handleFailure(UpstreamFailure{ErrorCode::InvalidReply, true, false}, lease, began);
        }
        hasEvents = hasEvents || scan.completeBytes > 0;
        // Without a length or chunks, a stream that ends within an event or before the first one has broken off.
        const bool brokeOff = scan.completeBytes < buffer.size() || !hasEvents;
        if (complete && call.bodyEndsWithConnection() && brokeOff) {
            return handleFailure(UpstreamFailure{ErrorCode::ConnectionLost, true, false}, lease, began);
        }
        const bool started = m_streamStarted;
        const std::size_t bytes = complete ? buffer.size() : scan.completeBytes;
        if (!started && bytes > 0 && !awaitRecord(lease.instance())) {
            return handleFailure(UpstreamFailure{ErrorCode::StreamUnread, true, false}, lease, began);
        }
        if (!forwardEvents(buffer, head, bytes, scan.lastId)) {
            return handleFailure(UpstreamFailure{ErrorCode::CallerDisconnected, true, false}, lease, began);
        }
        if (m_streamStarted && !started) {
            m_softwareVersion = lease.instance().softwareVersion;
            recordFirstEvent(lease, m_firstEventAt - began);
            reportPlacement(m_firstEventAt - began, InstanceCallOutcome::Succeeded);
        }
        if (buffer.size() > PartialEventLimit) {
            return handleFailure(UpstreamFailure{ErrorCode::InvalidReply, true, false}, lease, began);
        }
        const TimePoint now = m_dependencies.clock.now();
        if (scan.completeBytes > 0 && now < m_deadline + m_settings.streamOverrun) {
            silentAt = now + m_settings.streamSilenceLimit;
        } else if (!complete && (now >= m_deadline || (mayMove && now >= silentAt))) {
            mayMove = now < m_deadline && grantRepetition();
            if (mayMove || now >= m_deadline) {
                return handleFailure(UpstreamFailure{ErrorCode::ServerTimeout, true, false}, lease, began);
            }
        }
    }
    if (serverEnded(call, lease.instance())) {
        return handleFailure(UpstreamFailure{ErrorCode::ConnectionLost, true, false}, lease, began); // perhaps before the last event
    }
    if (!m_streamStarted) { // the stream ended without any event
        (void)m_exchange.beginStream(head.status, m_dependencies.codec.replyHeaders(head), {}, m_deadline);
    }
    lease.finish(InstanceCallOutcome::Succeeded, Duration::zero());
    m_outcome = ForwardOutcome{head.status, ErrorCode::ServerRejected, true};
    (void)m_exchange.endStream(m_deadline + m_settings.answerMargin);
    return AttemptOutcome::Answered;
}

} // namespace vanillanotch
