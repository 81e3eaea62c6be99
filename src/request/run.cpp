// Index of sections: [LISTENER] [EXECUTE] [KEYS] [STAGES] [ATTEMPTS]
#include "request/run.h"

#include <algorithm>

namespace vanillanotch
{

namespace
{
// The first-byte timeout of an idempotent call is at least FirstByteFactor times the expected time of its stage, and at least the stage's time
// budget divided by AttemptsInBudget, so that about so many attempts fit.
constexpr int FirstByteFactor = 4;
constexpr int AttemptsInBudget = 3;

// [LISTENER] Passes the tokens of a call on to the caller's AnswerSink and counts them, so that the next attempt can continue after the last
// delivered token.
class TokenForwarder final : public StageListener
{
public:
    TokenForwarder(AnswerSink &sink, std::string &streamed, unsigned &count, Counter &total)
        : m_sink(sink)
        , m_streamedText(streamed)
        , m_count(count)
        , m_total(total)
    {
    }
    bool token(std::string_view text) override
    {
        m_streamedText += text;
        ++m_count;
        m_total.add();
        return m_sink.token(text);
    }
    void flush() override
    {
        m_sink.flush();
    }
    bool cancelled() override
    {
        return m_sink.callerDisconnected();
    }
    int callerSocket() const override
    {
        return m_sink.callerSocket();
    }

private:
    AnswerSink &m_sink;
    std::string &m_streamedText;
    unsigned &m_count;
    Counter &m_total;
};

ServerCallOutcome outcomeOfCall(const CallFailure &failure)
{
    switch (failure.code) {
    case ErrorCode::ServerBusy:
        return ServerCallOutcome::Busy;
    case ErrorCode::CallerDisconnected:
    case ErrorCode::DeadlineExceeded:
        return ServerCallOutcome::Inconclusive;
    case ErrorCode::ServerRejected:
        return failure.requestInvalid ? ServerCallOutcome::Inconclusive : ServerCallOutcome::Failed;
    default:
        // A call on a reused connection may fail only because the server has closed that connection while it was idle. This says nothing about the
        // server's health.
        return failure.reusedConnection && failure.code == ErrorCode::ConnectionLost ? ServerCallOutcome::Inconclusive : ServerCallOutcome::Failed;
    }
}
} // namespace

//-----------------------------------------------------------------------------
// [EXECUTE]
//-----------------------------------------------------------------------------

RequestRun::RequestRun(RequestDependencies &dependencies, const RequestSettings &settings, RunInput input, AnswerSink &sink)
    : m_dependencies(dependencies)
    , m_settings(settings)
    , m_input(std::move(input))
    , m_sink(sink)
    , m_pipeline(m_input.request->pipeline())
    , m_key{m_input.request->account(), m_input.idempotencyKey}
{
    m_data.input = m_input.input;
}

tl::unexpected<Refusal> RequestRun::refuse(ErrorCode code, std::string detail)
{
    return tl::unexpected<Refusal>(m_input.request->refuse(code, std::move(detail)));
}

Duration RequestRun::remaining() const
{
    return m_input.request->deadline() - m_dependencies.clock.now();
}

tl::expected<Answer, Refusal> RequestRun::execute()
{
    auto prepared = prepare();
    if (!prepared) {
        return tl::unexpected(std::move(prepared.error()));
    }
    if (prepared->has_value()) {
        m_input.request->finish();
        return std::move(**prepared);
    }
    if (auto ran = runStages(); !ran) {
        releaseKey();
        return tl::unexpected(std::move(ran.error()));
    }
    return conclude();
}

Answer RequestRun::composeAnswer() const
{
    Answer answer;
    answer.request = m_input.request->id();
    answer.pipeline = m_pipeline.name;
    answer.revision = m_input.request->configuration().revision();
    answer.preset = m_input.request->configuration().preset().name;
    answer.data = m_data;
    answer.stages = m_reports;
    answer.time = m_dependencies.clock.now() - m_input.request->arrived();
    return answer;
}

tl::expected<Answer, Refusal> RequestRun::conclude()
{
    Answer answer = composeAnswer();
    m_dependencies.suspects.remove(m_input.fingerprint);
    if (m_reservation) {
        // Records the answer in the journal. The non-idempotent stage has taken effect, so the answer is returned even if that fails.
        const auto finished = m_dependencies.journal.finish(*m_reservation, m_dependencies.codec.encodeAnswer(answer));
        if (!finished) {
            m_dependencies.metrics.counter("vanillanotch_journal_unfinished_total").add();
            logEvent(LogLevel::Warning, "journal.finish_failed", {{"request", answer.request}, {"error", finished.error().code}});
        }
    } else if (m_pipeline.recordAnswer) {
        const auto recorded = m_dependencies.answers.recordAnswer(m_key, RecordedAnswer{m_input.bodyDigest, m_dependencies.codec.encodeAnswer(answer)});
        if (!recorded) {
            return refuse(ErrorCode::PlatformUnavailable, "the answer could not be recorded");
        }
        auto first = decodeRecordedAnswer(recorded->answer);
        if (!first) {
            return tl::unexpected(std::move(first.error()));
        }
        if ((*first)->request != answer.request) { // the answer of another request with this key was recorded first: return that one
            answer = std::move(**first);
        }
    }
    m_input.request->finish();
    return answer;
}

//-----------------------------------------------------------------------------
// [KEYS]
//-----------------------------------------------------------------------------

tl::expected<std::optional<Answer>, Refusal> RequestRun::prepare()
{
    if (m_pipeline.nonIdempotentStage() != nullptr) {
        auto reserved = reserveKey();
        if (!reserved || reserved->has_value()) {
            return reserved;
        }
    } else if (m_pipeline.recordAnswer) {
        auto found = findRecordedAnswer();
        if (!found || found->has_value()) {
            return found;
        }
    }
    if (auto resumed = resumeFromCheckpoint(); !resumed) {
        return tl::unexpected(std::move(resumed.error()));
    }
    return std::optional<Answer>();
}

tl::expected<std::optional<Answer>, Refusal> RequestRun::decodeRecordedAnswer(const std::string &bytes)
{
    auto answer = m_dependencies.codec.decodeAnswer(bytes);
    if (!answer) {
        // A request with this key has run, so the refusal's outcome must not be not_run. For this error code it is always outcome_unknown.
        return refuse(ErrorCode::KeyOutcomeUnknown, "the recorded answer can't be read");
    }
    answer->repeated = true;
    return std::optional<Answer>(std::move(*answer));
}

tl::expected<std::optional<Answer>, Refusal> RequestRun::reserveKey()
{
    auto reserved = m_dependencies.journal.reserve(m_key, m_input.bodyDigest, remaining());
    if (!reserved) {
        return refuse(reserved.error().code, reserved.error().detail);
    }
    if (reserved->answer) {
        return decodeRecordedAnswer(*reserved->answer);
    }
    m_reservation = std::move(reserved->reservation);
    return std::optional<Answer>();
}

tl::expected<std::optional<Answer>, Refusal> RequestRun::findRecordedAnswer()
{
    auto found = m_dependencies.answers.findAnswer(m_key);
    if (!found) {
        return refuse(ErrorCode::PlatformUnavailable, "recorded answers can't be looked up now");
    }
    if (!found->has_value()) {
        return std::optional<Answer>();
    }
    if ((*found)->bodyDigest != m_input.bodyDigest) {
        return refuse(ErrorCode::KeyReused, "the key was used before with another body");
    }
    return decodeRecordedAnswer((*found)->answer);
}

RequestRun::StepResult RequestRun::resumeFromCheckpoint()
{
    const bool storesCheckpoints = std::any_of(m_pipeline.stages.begin(), m_pipeline.stages.end(), [](const StageSpec &stage) {
        return stage.keepResult;
    });
    if (!storesCheckpoints) {
        return {};
    }
    const auto found = m_dependencies.answers.findCheckpoint(m_key);
    if (!found || !found->has_value()) {
        // No checkpoint, or it can't be read now: all stages run from the first one. Those that an earlier request has run are repeated, which is
        // safe since they are idempotent: if the non-idempotent stage may have been sent, reserveKey() has refused the request or returned the answer.
        return {};
    }
    const StageCheckpoint &checkpoint = **found;
    if (checkpoint.bodyDigest != m_input.bodyDigest) {
        return refuse(ErrorCode::KeyReused, "the key was used before with another body");
    }
    m_firstStage = std::min(checkpoint.stagesDone, m_pipeline.stages.size());
    m_data = checkpoint.data;
    m_dependencies.metrics.counter("vanillanotch_requests_resumed_total").add();
    return {};
}

RequestRun::StepResult RequestRun::recordStarted(const std::string &attempt)
{
    if (m_startRecorded) {
        return {}; // an earlier attempt of this stage has recorded the start already, and its call was not sent
    }
    if (const auto started = m_dependencies.journal.start(*m_reservation, attempt); !started) {
        return refuse(started.error().code, started.error().detail);
    }
    m_startRecorded = true;
    return {};
}

void RequestRun::releaseKey()
{
    if (!m_reservation) {
        return;
    }
    const bool effectPossible = m_startRecorded && m_input.request->nonIdempotentSent();
    if (effectPossible) {
        return; // the journal row stays `started`: whether the stage took effect can be found out only by an operator or from the backend server
    }
    // The idempotency key is released on a worker thread, so that the refusal is sent to the caller without waiting for the platform.
    m_dependencies.workers.post([&journal = m_dependencies.journal, reservation = *m_reservation]() mutable {
        const auto released = journal.release(reservation);
        if (!released) {
            logEvent(LogLevel::Debug, "journal.release_failed", {{"error", released.error().code}});
        }
    });
}

RequestRun::StepResult RequestRun::checkpointStage(std::size_t index)
{
    if (!m_pipeline.stages[index].keepResult) {
        return {};
    }
    const auto saved = m_dependencies.answers.saveCheckpoint(m_key, StageCheckpoint{m_input.bodyDigest, index + 1, m_data});
    if (!saved) { // the request continues: the checkpoint is needed only when the request is repeated, for instance after this node has failed
        m_dependencies.metrics.counter("vanillanotch_results_not_kept_total").add();
    }
    return {};
}

//-----------------------------------------------------------------------------
// [STAGES]
//-----------------------------------------------------------------------------

RequestRun::StepResult RequestRun::runStages()
{
    for (std::size_t index = m_firstStage; index < m_pipeline.stages.size(); ++index) {
        if (auto ran = runStage(index); !ran) {
            return ran;
        }
        if (auto saved = checkpointStage(index); !saved) {
            return saved;
        }
    }
    return {};
}

bool RequestRun::mayRetry(const StageSpec &stage, std::size_t index, const CallFailure &failure, int attempts)
{
    if (failure.code == ErrorCode::CallerDisconnected || failure.code == ErrorCode::DeadlineExceeded || failure.requestInvalid) {
        return false;
    }
    if (!stage.idempotent && failure.maybeSent) {
        return false;
    }
    if (failure.reusedConnection && failure.code == ErrorCode::ConnectionLost && attempts <= 1) {
        return true; // the server has probably closed the idle connection: this retry isn't taken from the retry budget
    }
    return m_dependencies.retries.tryTake(retryInput(index, attempts));
}

RetryInput RequestRun::retryInput(std::size_t index, int attempts) const
{
    RetryInput input;
    input.attempts = attempts;
    input.remaining = remaining();
    // Only half of the expected time of this stage and the later ones must remain until the deadline: the average that the expectation comes from may
    // be too high, and a late answer costs no more than a refusal.
    input.requiredTime = m_dependencies.estimates.expectedFrom(m_pipeline, index) / 2;
    input.retryShare = m_input.request->configuration().preset().retryShare;
    return input;
}

RequestRun::StepResult RequestRun::runStage(std::size_t index)
{
    const StageSpec &stage = m_pipeline.stages[index];
    const TimePoint began = m_dependencies.clock.now();
    StageReport report;
    report.stage = stage.name;
    m_triedServers.clear();
    m_streamedText.clear();
    m_streamedTokens = 0;
    m_streamedVersion.reset();
    m_freshConnection = !stage.idempotent; // on an idle connection that the server has closed, a non-idempotent call would fail with unknown outcome
    m_dependencies.retries.countFirstAttempt(m_input.request->configuration().preset().retryShare);
    for (;;) {
        if (remaining() < m_settings.minTimeLeft) {
            return refuse(ErrorCode::DeadlineExceeded, "the deadline passed before stage " + stage.name);
        }
        ++report.attempts;
        auto attempted = attemptStage(index, report);
        if (!attempted) {
            return tl::unexpected(std::move(attempted.error()));
        }
        if (!attempted->has_value()) {
            break;
        }
        const CallFailure &failure = **attempted;
        if (m_dependencies.suspects.refuses(m_input.fingerprint)) {
            return refuse(ErrorCode::SuspectRefused, "backend servers died while they ran this request");
        }
        if (!mayRetry(stage, index, failure, report.attempts)) {
            return refuse(failure.code, "stage " + stage.name + ": " + failure.detail);
        }
        m_freshConnection = true;
        m_dependencies.metrics.counter("vanillanotch_retries_total", "stage=\"" + stage.name + "\"").add();
    }
    report.time = m_dependencies.clock.now() - began;
    m_dependencies.estimates.record(m_pipeline, stage, report.time);
    m_dependencies.costs.addStage(m_pipeline.name, stage.name, report.cost, report.time);
    m_reports.push_back(std::move(report));
    return {};
}

//-----------------------------------------------------------------------------
// [ATTEMPTS]
//-----------------------------------------------------------------------------

StageCall RequestRun::prepareCall(const StageSpec &stage, const BackendServerSpec &server, std::size_t index, int attempts) const
{
    const Duration expected = m_dependencies.estimates.expected(m_pipeline, stage);
    const Duration later = m_dependencies.estimates.expectedFrom(m_pipeline, index + 1);
    const Duration budget = stageBudget(remaining(), expected, later);
    StageCall call;
    call.request = m_input.request->id();
    call.address = server.address;
    call.stage = &stage;
    call.data = &m_data;
    call.idempotencyKey = stage.idempotent ? std::string() : m_input.idempotencyKey;
    call.deadline = m_input.request->deadline();
    call.freshConnection = m_freshConnection;
    call.resumeAfterTokens = m_streamedTokens;
    // A call that may be repeated times out early, while there is time for another attempt. Any other one gets all the time until the
    // deadline: silence is no reason to give up the only answer that may still come.
    const bool repeatable = stage.idempotent && m_dependencies.retries.wouldAllow(retryInput(index, attempts));
    const Duration early = std::max({Duration(m_settings.minFirstByteTimeout), FirstByteFactor * expected, budget / AttemptsInBudget});
    call.firstByteTimeout = repeatable ? early : remaining();
    call.tokenTimeout = repeatable ? Duration(m_settings.tokenTimeout) : remaining();
    return call;
}

tl::expected<std::optional<CallFailure>, Refusal> RequestRun::attemptStage(std::size_t index, StageReport &report)
{
    const StageSpec &stage = m_pipeline.stages[index];
    AcquireInput wanted;
    wanted.capability = stage.capability;
    wanted.avoid = m_triedServers;
    wanted.softwareVersion = m_streamedVersion;
    // A suspect, a request that was in flight when a server crashed, runs alone on a server, so that a further crash affects no other request.
    wanted.exclusive = m_dependencies.suspects.isSuspect(m_input.fingerprint);
    wanted.routing.slack =
        stageBudget(remaining(), m_dependencies.estimates.expected(m_pipeline, stage), m_dependencies.estimates.expectedFrom(m_pipeline, index + 1));
    wanted.routing.costWeight = m_input.request->configuration().preset().costWeight;
    // The wait for a free server ends when half of the expected time of this stage and the later ones is left, as mayRetry() requires for a retry.
    wanted.waitDeadline = m_input.request->deadline() - m_dependencies.estimates.expectedFrom(m_pipeline, index) / 2;
    wanted.cancelled = [this] {
        return m_sink.callerDisconnected();
    };
    auto lease = m_dependencies.servers.acquire(wanted);
    if (!lease) {
        return refuse(lease.error().code, lease.error().detail);
    }
    m_triedServers.insert(lease->server().name);
    StageCall call = prepareCall(stage, lease->server(), index, report.attempts);
    call.attempt = m_input.request->beginAttempt(stage, lease->server().name, m_dependencies.clock.now());
    if (!stage.idempotent) {
        if (auto started = recordStarted(call.attempt); !started) {
            return tl::unexpected(std::move(started.error()));
        }
    }
    TokenForwarder listener(m_sink, m_streamedText, m_streamedTokens, m_dependencies.metrics.counter("vanillanotch_tokens_total"));
    const TimePoint began = m_dependencies.clock.now();
    auto reply = m_dependencies.channel.call(call, listener);
    const TimePoint ended = m_dependencies.clock.now();
    if (m_streamedTokens > 0 && !m_streamedVersion) {
        m_streamedVersion = lease->server().softwareVersion;
    }
    if (reply) {
        m_input.request->endAttempt(stage, true, std::nullopt, ended);
        recordSuccess(stage, *lease, *reply, report, ended - began);
        return std::optional<CallFailure>();
    }
    m_input.request->endAttempt(stage, reply.error().maybeSent, reply.error().code, ended);
    recordFailure(stage, *lease, reply.error(), ended - began);
    return std::optional<CallFailure>(std::move(reply.error()));
}

void RequestRun::recordSuccess(const StageSpec &stage, ServerLease &lease, StageReply &reply, StageReport &report, Duration time)
{
    const Duration serviceTime = reply.serviceTime.value_or(time);
    report.server = lease.server().name;
    report.cost += lease.server().pricePerSecond * std::chrono::duration<double>(serviceTime).count();
    m_dependencies.servers.setLeaving(report.server, reply.leaving);
    lease.finish(ServerCallOutcome::Succeeded, time, reply.load);
    m_data = std::move(reply.data);
    if (stage.kind == StageKind::Generation) {
        m_data.text = m_streamedText;
        m_data.tokens = m_streamedTokens;
    }
    m_dependencies.metrics.histogram("vanillanotch_stage_seconds", "stage=\"" + stage.name + "\"").record(time);
}

void RequestRun::recordFailure(const StageSpec &stage, ServerLease &lease, const CallFailure &failure, Duration time)
{
    const std::string server = lease.server().name;
    const std::string address = lease.server().address;
    if (failure.leaving) {
        m_dependencies.servers.setLeaving(server, true);
    }
    lease.finish(outcomeOfCall(failure), time, failure.load);
    m_dependencies.metrics.counter("vanillanotch_call_failures_total", "code=\"" + std::to_string(static_cast<int>(failure.code)) + "\"").add();
    if (failure.code == ErrorCode::ServerTimeout) {
        m_dependencies.channel.discardIdleConnections(address);
        // The time until the timeout is recorded as a time of the stage. Otherwise the average time of a stage that has become slow would not grow,
        // and all calls of the stage would time out.
        m_dependencies.estimates.record(m_pipeline, stage, time);
    }
    // A server is taken for crashed if the connection was lost after the call may have been sent, and it accepts no new connection. A server that
    // closed only this connection still runs.
    const bool serverCrashed = failure.code == ErrorCode::ConnectionLost && failure.maybeSent && !m_dependencies.channel.acceptsConnections(address);
    if (serverCrashed) {
        m_dependencies.suspects.recordServerCrash(m_input.fingerprint, server);
        logEvent(LogLevel::Warning, "server.died", {{"server", server}, {"request", m_input.request->id()}, {"stage", stage.name}});
    }
}

} // namespace vanillanotch
