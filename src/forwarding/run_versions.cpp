// ForwardRun: the software version of the servers at which a stream may go on.
#include "forwarding/run.h"

namespace vanillanotch
{

// A caller that takes up a stream is bound to the version that began it.
ForwardRun::StepResult ForwardRun::bindVersion()
{
    const bool takesUp = streaming() && m_route->resumable && (!m_request.resumeAfter.empty() || !m_request.resumedStream.empty());
    if (!takesUp) {
        return {};
    }
    auto version = m_dependencies.streamVersions.versionOf(StreamTakeUp{m_service, m_request.resumedStream});
    const auto result = version ? m_dependencies.instances.someUsable(m_service, InstanceScope::ofVersion(*version)) ? "continued" : "version_gone"
                                : errorName(version.error().code);
    m_dependencies.metrics.counter("vanillanotch_streams_taken_up_total", "result=\"" + std::string(result) + "\"").add();
    if (!version) {
        return tl::unexpected(version.error());
    }
    m_softwareVersion = std::move(*version);
    return {};
}

InstanceScope ForwardRun::serverScope() const
{
    InstanceScope scope(m_scope);
    if (m_softwareVersion) {
        scope.softwareVersion = m_softwareVersion;
    } else if (m_streamRecord && m_streamRecord->replaces()) {
        scope.softwareVersion = m_streamRecord->version(); // a third version could not be told from a late write of the second
    } else if (streaming() && m_route->resumable) {
        scope.softwareVersion = m_dependencies.streamVersions.requiredVersion(m_service);
    }
    return scope;
}

void ForwardRun::beginRecord(const InstanceSpec &instance)
{
    if (!streaming() || !m_route->resumable || m_softwareVersion) {
        return;
    }
    m_streamRecord = m_dependencies.streamVersions.begin(m_service, m_request.attemptId, instance.softwareVersion, m_streamRecord, m_progress);
}

// False: the stream must not begin at this server, since a take-up would take it for one of another version.
bool ForwardRun::awaitRecord(const InstanceSpec &instance)
{
    if (!streaming() || !m_route->resumable || m_softwareVersion) {
        return true;
    }
    while (m_streamRecord && m_streamRecord->state() == StreamRecord::State::Pending) {
        if (!awaitSignal(*m_progress, m_exchange, m_deadline)) {
            return false;
        }
    }
    const bool written = !m_streamRecord || m_streamRecord->state() == StreamRecord::State::Written;
    const bool mayBegin = written || (!m_streamRecord->replaces() && m_dependencies.streamVersions.mayBeginUnrecorded(m_service, instance.softwareVersion));
    if (!mayBegin) {
        return false;
    }
    m_dependencies.streamVersions.remember(m_service, StreamVersion{m_request.attemptId, instance.softwareVersion}, m_streamRecord);
    return true;
}

} // namespace vanillanotch
