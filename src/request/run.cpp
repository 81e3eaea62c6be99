// Index of sections: [LISTENER] [EXECUTE] [KEYS] [STAGES] [ATTEMPTS]
#include "request/run.h"

#include <algorithm>

namespace vanillanotch
{

namespace
{
constexpr int FirstByteFactor = 4; // times the expected time
constexpr int TriesInBudget = 3; // a stage's budget holds this many bounded waits

// [LISTENER] Counts tokens so that a further attempt goes on behind the last one delivered.
class TokenForwarder final : public StageListener
{
public:
    TokenForwarder(AnswerSink &sink, std::string &streamed, unsigned &count, Counter &total)
        : m_sink(sink)
        , m_streamed(streamed)
        , m_count(count)
        , m_total(total)
    {
    }
    bool token(std::string_view text) override
    {
        m_streamed += text;
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
    std::string &m_streamed;
    unsigned &m_count;
    Counter &m_total;
};

ServerCallOutcome verdictOf(const CallFailure &failure)
{
    switch (failure.code) {
    case ErrorCode::ServerBusy:
        return ServerCallOutcome::Busy;
    case ErrorCode::CallerGone:
    case ErrorCode::DeadlineExceeded:
        return ServerCallOutcome::Inconclusive;
    case ErrorCode::ServerRejected:
        return failure.requestInvalid ? ServerCallOutcome::Inconclusive : ServerCallOutcome::Failed;
    default:
        // A reused connection may have gone stale while idle: that says nothing about the server.
        return failure.reusedConnection && failure.code == ErrorCode::ConnectionLost ? ServerCallOutcome::Inconclusive : ServerCallOutcome::Failed;
    }
}
} // namespace

//-----------------------------------------------------------------------------
// [EXECUTE]
//-----------------------------------------------------------------------------

RequestRun::RequestRun(RequestDependencies &parts, const RequestSettings &settings, RunInput input, AnswerSink &sink)
    : m_parts(parts)
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
    return m_input.request->deadline() - m_parts.clock.now();
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
    answer.time = m_parts.clock.now() - m_input.request->arrived();
    return answer;
}

tl::expected<Answer, Refusal> RequestRun::conclude()
{
    Answer answer = composeAnswer();
    m_parts.suspects.remove(m_input.fingerprint);
    if (m_reservation) {
        // The effect has happened: its answer is given whatever the platform says now.
        const auto finished = m_parts.journal.finish(*m_reservation, m_parts.codec.encodeAnswer(answer));
        if (!finished) {
            m_parts.metrics.counter("vanillanotch_journal_unfinished_total").add();
            logEvent(LogLevel::Warning, "journal.finish_failed", {{"request", answer.request}, {"error", finished.error().code}});
        }
    } else if (m_pipeline.recordAnswer) {
        const auto recorded = m_parts.answers.recordAnswer(m_key, RecordedAnswer{m_input.bodyDigest, m_parts.codec.encodeAnswer(answer)});
        if (!recorded) {
            return refuse(ErrorCode::PlatformUnavailable, "the answer could not be recorded");
        }
        auto first = repeated(recorded->answer);
        if (!first) {
            return tl::unexpected(std::move(first.error()));
        }
        if ((*first)->request != answer.request) { // another request with this key was recorded first
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
        auto found = findRecorded();
        if (!found || found->has_value()) {
            return found;
        }
    }
    if (auto resumed = resumeKept(); !resumed) {
        return tl::unexpected(std::move(resumed.error()));
    }
    return std::optional<Answer>();
}

tl::expected<std::optional<Answer>, Refusal> RequestRun::repeated(const std::string &bytes)
{
    auto answer = m_parts.codec.decodeAnswer(bytes);
    if (!answer) {
        return refuse(ErrorCode::KeyOutcomeUnknown, "the recorded answer can't be read"); // it ran: never not_run
    }
    answer->repeated = true;
    return std::optional<Answer>(std::move(*answer));
}

tl::expected<std::optional<Answer>, Refusal> RequestRun::reserveKey()
{
    auto reserved = m_parts.journal.reserve(m_key, m_input.bodyDigest, remaining());
    if (!reserved) {
        return refuse(reserved.error().code, reserved.error().detail);
    }
    if (reserved->answer) {
        return repeated(*reserved->answer);
    }
    m_reservation = std::move(reserved->reservation);
    return std::optional<Answer>();
}

tl::expected<std::optional<Answer>, Refusal> RequestRun::findRecorded()
{
    auto found = m_parts.answers.findAnswer(m_key);
    if (!found) {
        return refuse(ErrorCode::PlatformUnavailable, "recorded answers can't be looked up now");
    }
    if (!found->has_value()) {
        return std::optional<Answer>();
    }
    if ((*found)->bodyDigest != m_input.bodyDigest) {
        return refuse(ErrorCode::KeyReused, "the key was used before with another body");
    }
    return repeated((*found)->answer);
}

RequestRun::Step RequestRun::resumeKept()
{
    const bool keeps = std::any_of(m_pipeline.stages.begin(), m_pipeline.stages.end(), [](const StageSpec &stage) {
        return stage.keepResult;
    });
    if (!keeps) {
        return {};
    }
    const auto found = m_parts.answers.findCheckpoint(m_key);
    if (!found || !found->has_value()) {
        return {}; // unreadable now: the stages before run again, they are idempotent
    }
    const StageCheckpoint &kept = **found;
    if (kept.bodyDigest != m_input.bodyDigest) {
        return refuse(ErrorCode::KeyReused, "the key was used before with another body");
    }
    m_firstStage = std::min(kept.stagesDone, m_pipeline.stages.size());
    m_data = kept.data;
    m_parts.metrics.counter("vanillanotch_requests_resumed_total").add();
    return {};
}

RequestRun::Step RequestRun::startEffect(const std::string &attempt)
{
    if (m_effectStarted) {
        return {}; // an earlier attempt of this stage sent nothing
    }
    if (const auto started = m_parts.journal.start(*m_reservation, attempt); !started) {
        return refuse(started.error().code, started.error().detail);
    }
    m_effectStarted = true;
    return {};
}

void RequestRun::releaseKey()
{
    if (!m_reservation) {
        return;
    }
    const bool effectPossible = m_effectStarted && m_input.request->nonIdempotentSent();
    if (effectPossible) {
        return; // the row stays `started`: only a person or the server can tell
    }
    // Off the caller's path: its refusal doesn't depend on it.
    m_parts.workers.post([&journal = m_parts.journal, reservation = *m_reservation]() mutable {
        const auto released = journal.release(reservation);
        if (!released) {
            logEvent(LogLevel::Debug, "journal.release_failed", {{"error", released.error().code}});
        }
    });
}

RequestRun::Step RequestRun::keepStage(std::size_t index)
{
    if (!m_pipeline.stages[index].keepResult) {
        return {};
    }
    const auto kept = m_parts.answers.saveCheckpoint(m_key, StageCheckpoint{m_input.bodyDigest, index + 1, m_data});
    if (!kept) { // the request goes on: only a node's death would now cost the work again
        m_parts.metrics.counter("vanillanotch_results_not_kept_total").add();
    }
    return {};
}

//-----------------------------------------------------------------------------
// [STAGES]
//-----------------------------------------------------------------------------

RequestRun::Step RequestRun::runStages()
{
    for (std::size_t index = m_firstStage; index < m_pipeline.stages.size(); ++index) {
        if (auto ran = runStage(index); !ran) {
            return ran;
        }
        if (auto kept = keepStage(index); !kept) {
            return kept;
        }
    }
    return {};
}

bool RequestRun::mayRetry(const StageSpec &stage, std::size_t index, const CallFailure &failure, int attempts)
{
    if (failure.code == ErrorCode::CallerGone || failure.code == ErrorCode::DeadlineExceeded || failure.requestInvalid) {
        return false;
    }
    if (!stage.idempotent && failure.maybeSent) {
        return false;
    }
    if (failure.reusedConnection && failure.code == ErrorCode::ConnectionLost && attempts <= 1) {
        return true; // a stale idle connection: not charged to the budget
    }
    RetryInput input;
    input.attempts = attempts;
    input.remaining = remaining();
    // Half of the expected time: the average may be high, and a late answer costs no more than a refusal.
    input.expectedTime = m_parts.estimates.expectedFrom(m_pipeline, index) / 2;
    input.retryShare = m_input.request->configuration().preset().retryShare;
    return m_parts.retries.allows(input);
}

RequestRun::Step RequestRun::runStage(std::size_t index)
{
    const StageSpec &stage = m_pipeline.stages[index];
    const TimePoint began = m_parts.clock.now();
    StageReport report;
    report.stage = stage.name;
    m_tried.clear();
    m_streamed.clear();
    m_streamedTokens = 0;
    m_freshConnection = !stage.idempotent; // a stale connection would leave the outcome unknown
    m_parts.retries.countFirstAttempt(m_input.request->configuration().preset().retryShare);
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
        if (m_parts.suspects.refuses(m_input.fingerprint)) {
            return refuse(ErrorCode::SuspectRefused, "backend servers died while they ran this request");
        }
        if (!mayRetry(stage, index, failure, report.attempts)) {
            return refuse(failure.code, "stage " + stage.name + ": " + failure.detail);
        }
        m_freshConnection = true;
        m_parts.metrics.counter("vanillanotch_retries_total", "stage=\"" + stage.name + "\"").add();
    }
    report.time = m_parts.clock.now() - began;
    m_parts.estimates.record(m_pipeline, stage, report.time);
    m_parts.costs.addStage(m_pipeline.name, stage.name, report.cost, report.time);
    m_reports.push_back(std::move(report));
    return {};
}

//-----------------------------------------------------------------------------
// [ATTEMPTS]
//-----------------------------------------------------------------------------

StageCall RequestRun::prepareCall(const StageSpec &stage, const BackendServerSpec &server, std::size_t index) const
{
    const Duration expected = m_parts.estimates.expected(m_pipeline, stage);
    const Duration later = m_parts.estimates.expectedFrom(m_pipeline, index + 1);
    const Duration budget = stageBudget(remaining(), expected, later);
    StageCall call;
    call.request = m_input.request->id();
    call.address = server.address;
    call.stage = &stage;
    call.data = &m_data;
    call.idempotencyKey = stage.idempotent ? std::string() : m_input.idempotencyKey;
    call.deadline = m_input.request->deadline();
    call.tokenTimeout = m_settings.tokenTimeout;
    call.freshConnection = m_freshConnection;
    call.resumeTokens = m_streamedTokens;
    // An idempotent call is given up early, while there is time for another; the other kind is waited for.
    const Duration early = std::max({Duration(m_settings.minFirstByteTimeout), FirstByteFactor * expected, budget / TriesInBudget});
    call.firstByteTimeout = stage.idempotent ? early : remaining();
    return call;
}

tl::expected<std::optional<CallFailure>, Refusal> RequestRun::attemptStage(std::size_t index, StageReport &report)
{
    const StageSpec &stage = m_pipeline.stages[index];
    AcquireInput wanted;
    wanted.capability = stage.capability;
    wanted.avoid = m_tried;
    wanted.exclusive = m_parts.suspects.isSuspect(m_input.fingerprint);
    wanted.routing.slack = stageBudget(remaining(), m_parts.estimates.expected(m_pipeline, stage), m_parts.estimates.expectedFrom(m_pipeline, index + 1));
    wanted.routing.costWeight = m_input.request->configuration().preset().costWeight;
    wanted.waitDeadline = m_input.request->deadline() - m_parts.estimates.expectedFrom(m_pipeline, index) / 2;
    wanted.cancelled = [this] {
        return m_sink.callerDisconnected();
    };
    auto lease = m_parts.servers.acquire(wanted);
    if (!lease) {
        return refuse(lease.error().code, lease.error().detail);
    }
    m_tried.insert(lease->server().name);
    StageCall call = prepareCall(stage, lease->server(), index);
    call.attempt = m_input.request->beginAttempt(stage, lease->server().name, m_parts.clock.now());
    if (!stage.idempotent) {
        if (auto started = startEffect(call.attempt); !started) {
            return tl::unexpected(std::move(started.error()));
        }
    }
    TokenForwarder listener(m_sink, m_streamed, m_streamedTokens, m_parts.metrics.counter("vanillanotch_tokens_total"));
    const TimePoint began = m_parts.clock.now();
    auto reply = m_parts.channel.call(call, listener);
    const TimePoint ended = m_parts.clock.now();
    if (reply) {
        m_input.request->endAttempt(stage, true, std::nullopt, ended);
        noteSuccess(stage, *lease, *reply, report, ended - began);
        return std::optional<CallFailure>();
    }
    m_input.request->endAttempt(stage, reply.error().maybeSent, reply.error().code, ended);
    noteFailure(stage, *lease, reply.error(), ended - began);
    return std::optional<CallFailure>(std::move(reply.error()));
}

void RequestRun::noteSuccess(const StageSpec &stage, ServerLease &lease, StageReply &reply, StageReport &report, Duration time)
{
    const Duration serviceTime = reply.serviceTime.value_or(time);
    report.server = lease.server().name;
    report.cost += lease.server().pricePerSecond * std::chrono::duration<double>(serviceTime).count();
    m_parts.servers.setLeaving(report.server, reply.leaving);
    lease.finish(ServerCallOutcome::Succeeded, time, reply.load);
    m_data = std::move(reply.data);
    if (stage.kind == StageKind::Generation) {
        m_data.text = m_streamed;
        m_data.tokens = m_streamedTokens;
    }
    m_parts.metrics.histogram("vanillanotch_stage_seconds", "stage=\"" + stage.name + "\"").record(time);
}

void RequestRun::noteFailure(const StageSpec &stage, ServerLease &lease, const CallFailure &failure, Duration time)
{
    const std::string server = lease.server().name;
    const std::string address = lease.server().address;
    if (failure.leaving) {
        m_parts.servers.setLeaving(server, true);
    }
    lease.finish(verdictOf(failure), time, failure.load);
    m_parts.metrics.counter("vanillanotch_call_failures_total", "code=\"" + std::to_string(static_cast<int>(failure.code)) + "\"").add();
    if (failure.code == ErrorCode::ServerTimeout) {
        m_parts.channel.discardIdleConnections(address);
        m_parts.estimates.record(m_pipeline, stage, time); // a slow stage's average must grow, or every call would be given up
    }
    const bool died = failure.code == ErrorCode::ConnectionLost && failure.maybeSent && !m_parts.channel.acceptsConnections(address);
    if (died) {
        m_parts.suspects.recordServerCrash(m_input.fingerprint, server);
        logEvent(LogLevel::Warning, "server.died", {{"server", server}, {"request", m_input.request->id()}, {"stage", stage.name}});
    }
}

} // namespace vanillanotch
