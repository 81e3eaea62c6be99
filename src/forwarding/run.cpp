// Index of sections: [ADMISSION], [ATTEMPTS], [STREAMS], [ANSWERS]; stages are in run_stages.cpp
#include "forwarding/run.h"

#include <algorithm>

namespace vanillanotch
{

namespace
{
constexpr std::size_t PartialEventLimit = 1024 * 1024; // bytes of one event
constexpr std::chrono::milliseconds UnstatedDeadline{30000}; // for a caller that states none
constexpr int MostUrgent = 0;
constexpr int LeastUrgent = 9;

InstanceCallOutcome verdictOf(const UpstreamFailure &failure)
{
    switch (failure.code) {
    case ErrorCode::CallerGone:
        return InstanceCallOutcome::Inconclusive;
    case ErrorCode::ConnectFailed:
        return InstanceCallOutcome::Unreachable;
    default:
        return InstanceCallOutcome::Failed;
    }
}

// 5xx of a server: another one may do better.
bool isServerFailure(int status)
{
    return status >= 500;
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

// Statuses by which we would promise that nothing ran.
bool isPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}
} // namespace

ForwardRun::ForwardRun(ForwardDependencies &parts, const ForwardSettings &settings, FrontExchange &exchange)
    : m_parts(parts)
    , m_settings(settings)
    , m_exchange(exchange)
{
}

ForwardRun::~ForwardRun()
{
    releaseResults();
}

Duration ForwardRun::remaining() const
{
    return m_deadline - m_parts.clock.now();
}

void ForwardRun::execute()
{
    if (const auto admitted = admit(); !admitted) {
        refuse(admitted.error().code);
        return;
    }
    if (const auto staged = runStages(); !staged) {
        giveUp(staged.error().code);
    } else {
        attempts();
    }
    logEnd();
}

//-----------------------------------------------------------------------------
// [ADMISSION]
//-----------------------------------------------------------------------------

ForwardRun::Step ForwardRun::admit()
{
    auto request = m_parts.codec.decodeRequest(m_exchange.head());
    if (!request) {
        return tl::unexpected(request.error());
    }
    m_request = std::move(*request);
    m_deployment = m_parts.deployments.current();
    if (!m_deployment) {
        return fail(ErrorCode::NotReady);
    }
    m_route = m_deployment->route(m_request.host, m_exchange.path());
    if (m_route == nullptr) {
        return fail(m_parts.deployments.keysTrusted(suspendAwareNow()) ? ErrorCode::UnknownRoute : ErrorCode::ConfigurationStale);
    }
    if (auto known = authenticate(); !known) {
        return known;
    }
    const TimePoint arrived = m_exchange.arrived();
    m_deadline = arrived + std::min(m_request.timeLeft.value_or(UnstatedDeadline), m_route->timeout) - m_settings.answerMargin;
    // The target counts from the caller's first try.
    const auto spent = m_request.timeLeft ? m_parts.statedDeadlines.estimateSpent(m_route->name, *m_request.timeLeft) : std::chrono::milliseconds(0);
    m_target = arrived + m_route->targetLatency - spent;
    chooseService();
    return {};
}

ForwardRun::Step ForwardRun::authenticate()
{
    m_priority = m_route->priority;
    if (!m_deployment->requiresApiKey()) {
        return {};
    }
    const AccountSpec *account = m_request.apiKey.empty() ? nullptr : m_deployment->accountOf(m_request.apiKey);
    if (account == nullptr) {
        if (m_route->anonymous) {
            return {};
        }
        // A node that has missed a configuration can't tell a wrong key from a new one.
        const bool trusted = m_parts.deployments.keysTrusted(suspendAwareNow());
        return fail(!trusted ? ErrorCode::ConfigurationStale : m_request.apiKey.empty() ? ErrorCode::MissingCredentials : ErrorCode::UnknownCredentials);
    }
    if (!m_parts.deployments.keysTrusted(suspendAwareNow())) {
        return fail(ErrorCode::ConfigurationStale);
    }
    m_account = account->name;
    m_priority = account->priority.value_or(m_priority);
    return {};
}

void ForwardRun::chooseService()
{
    double total = 0;
    for (const WeightedService &part : m_route->services) {
        total += part.weight;
    }
    thread_local std::mt19937_64 generator{std::random_device{}()};
    double drawn = std::uniform_real_distribution<double>(0, total)(generator);
    m_service = m_route->services.front().service;
    for (const WeightedService &part : m_route->services) {
        if (drawn < part.weight) {
            m_service = part.service;
            break;
        }
        drawn -= part.weight;
    }
    // The shared parts decide where a prompt's cache is; a prompt of one part is its own.
    std::string shared;
    const std::size_t parts = m_request.prompt.size() > 1 ? m_request.prompt.size() - 1 : m_request.prompt.size();
    for (std::size_t i = 0; i < parts; ++i) {
        shared += m_request.prompt[i].id + ",";
    }
    m_affinity = shared.empty() ? 0 : stableHash(shared);
}

//-----------------------------------------------------------------------------
// [ATTEMPTS]
//-----------------------------------------------------------------------------

void ForwardRun::attempts()
{
    m_parts.retryBudget.recordFirstCall(m_service);
    for (;;) {
        if (m_exchange.cancelled()) {
            return;
        }
        if (remaining() < m_settings.minTimeLeft) {
            giveUp(ErrorCode::DeadlineExceeded);
            return;
        }
        const Verdict verdict = attempt();
        if (verdict == Verdict::Answered) {
            return;
        }
        m_mayHaveRun = m_mayHaveRun || verdict != Verdict::NotRun;
        if (!mayRepeat(verdict)) {
            giveUp(m_lastError);
            return;
        }
    }
}

bool ForwardRun::mayRepeat(Verdict verdict)
{
    const bool allowed = verdict == Verdict::NotRun || m_route->repeatable();
    const bool hopeless = m_lastError == ErrorCode::InputsGone || m_lastError == ErrorCode::NoFitServer;
    if (m_exchange.cancelled() || !allowed || hopeless || remaining() < m_settings.minTimeLeft) {
        return false;
    }
    if (m_lastError == ErrorCode::ConnectFailed) {
        return m_tried.size() < 2 + m_route->maxAttempts; // nothing was sent; a bound on the time spent
    }
    const unsigned limit = verdict == Verdict::NotRun ? m_route->maxAttempts + 1 : m_route->maxAttempts;
    return m_sent < limit && m_parts.retryBudget.tryTake(m_service);
}

unsigned ForwardRun::ownTokens() const
{
    return m_request.prompt.empty() ? 0 : m_request.prompt.back().tokens;
}

ServerCall ForwardRun::prepareCall(const InstanceSpec &instance) const
{
    ServerCall call;
    call.head = &m_exchange.head();
    call.body = m_exchange.body();
    call.host = m_request.host;
    call.instance = instance.id;
    call.account = m_account;
    call.timeLeft = std::max(std::chrono::milliseconds(1), toMilliseconds(remaining()));
    if (streaming()) {
        call.urgency = std::clamp(m_priority, MostUrgent, LeastUrgent);
    }
    call.hasStages = !m_route->stages.empty();
    call.inputs = finalHandles();
    call.resumeAfter = m_lastEvent.empty() ? m_request.resumeAfter : m_lastEvent;
    call.weightsVersion = m_started ? m_weightsVersion : std::string();
    return call;
}

// A request that may run elsewhere isn't left with a silent server until its deadline.
TimePoint ForwardRun::firstReplyLimit() const
{
    if (!m_route->repeatable() || m_sent >= m_route->maxAttempts) {
        return m_deadline;
    }
    const auto patience = std::chrono::duration_cast<Duration>(m_route->targetLatency * m_settings.firstReplyTargetFactor);
    return std::min(m_deadline, m_parts.clock.now() + std::max<Duration>(m_settings.minFirstReplyTimeout, patience));
}

ForwardRun::Verdict ForwardRun::attempt()
{
    ChoiceInput input;
    input.service = m_service;
    input.affinity = m_affinity;
    input.avoid = m_tried;
    const ServiceSpec *service = m_deployment->service(m_service);
    auto lease = m_parts.instances.acquire(input, service != nullptr && service->engine ? m_parts.engineChoice : m_parts.serverChoice);
    if (!lease) {
        m_lastError = lease.error().code;
        return Verdict::NotRun;
    }
    const InstanceSpec instance = lease->instance();
    m_lastInstance = instance.id;
    m_tried.insert(instance.id);
    UpstreamCall call(m_parts.upstream);
    const TimePoint began = m_parts.clock.now();
    if (const auto opened = call.open(instance.address, m_deadline, m_exchange); !opened) {
        return failed(opened.error(), *lease, began);
    }
    ++m_sent;
    const auto head = call.exchange(m_parts.codec.encodeCall(prepareCall(instance)), firstReplyLimit(), m_exchange);
    if (!head) {
        return failed(head.error(), *lease, began);
    }
    return readReply(call, *head, *lease, began);
}

ForwardRun::Verdict ForwardRun::failed(const UpstreamFailure &failure, InstanceLease &lease, TimePoint began)
{
    const Duration took = m_parts.clock.now() - began;
    m_lastError = failure.code;
    lease.finish(verdictOf(failure), Duration::zero(), std::nullopt);
    logEvent(LogLevel::Info, "request.attempt_failed",
             {{"request", m_request.attemptId},
              {"instance", m_lastInstance},
              {"error", failure.code},
              {"sent", failure.maybeSent ? 1 : 0},
              {"took_ms", took},
              {"left_ms", remaining()}});
    m_parts.metrics.counter("vanillanotch_attempt_failures_total", "code=\"" + std::to_string(static_cast<int>(failure.code)) + "\"").add();
    if (failure.code == ErrorCode::CallerGone) {
        m_end.code = ErrorCode::CallerGone;
        return Verdict::Answered;
    }
    return failure.maybeSent ? Verdict::Unknown : Verdict::NotRun;
}

ForwardRun::Verdict ForwardRun::readReply(UpstreamCall &call, const ReplyHead &head, InstanceLease &lease, TimePoint began)
{
    const ReplyFacts facts = m_parts.codec.readReply(head, m_request.attemptId);
    if (facts.notExecuted || facts.wrongInstance) {
        m_lastError = facts.wrongInstance ? ErrorCode::WrongInstance : head.status == 409 ? ErrorCode::InputsGone : ErrorCode::ServerBusy;
        lease.finish(facts.wrongInstance ? InstanceCallOutcome::Unreachable : InstanceCallOutcome::Busy, Duration::zero(), facts.load);
        logEvent(LogLevel::Info, "request.not_executed", {{"request", m_request.attemptId}, {"instance", m_lastInstance}, {"status", head.status}});
        return Verdict::NotRun;
    }
    const bool success = isSuccess(head.status);
    if (!facts.sameAttempt || (success && (!facts.sealed || facts.contentEncoded))) {
        return failed(UpstreamFailure{ErrorCode::InvalidReply, true, false}, lease, began);
    }
    if (success && streaming()) {
        return relayStream(call, head, facts, lease, began);
    }
    return relayPlain(call, head, lease, began);
}

ForwardRun::Verdict ForwardRun::relayPlain(UpstreamCall &call, const ReplyHead &head, InstanceLease &lease, TimePoint began)
{
    auto body = call.readAll(m_settings.maxReplyBytes, m_deadline, m_exchange);
    if (!body) {
        return failed(body.error(), lease, began);
    }
    const ReplyFacts facts = m_parts.codec.readReply(head, m_request.attemptId);
    const Duration took = m_parts.clock.now() - began;
    if (isServerFailure(head.status)) {
        lease.finish(InstanceCallOutcome::Failed, took, facts.load);
        m_lastError = ErrorCode::ServerRejected;
        if (facts.sealed && !isPromise(head.status)) {
            m_failure.emplace(head, std::move(*body));
        }
        return Verdict::Failed;
    }
    lease.finish(InstanceCallOutcome::Succeeded, took, facts.load);
    if (isPromise(head.status)) {
        m_lastError = ErrorCode::ServerRejected; // without saying that it did not run: it may have
        return Verdict::Unknown;
    }
    m_end = ForwardOutcome{head.status, ErrorCode::ServerRejected, true};
    (void)m_exchange.reply(head.status, m_parts.codec.answerHeaders(head), *body, m_deadline + m_settings.answerMargin);
    return Verdict::Answered;
}

//-----------------------------------------------------------------------------
// [STREAMS]
//-----------------------------------------------------------------------------

// Passes whole events on, so that a stream that breaks within one can go on elsewhere. False: the caller has gone.
bool ForwardRun::forwardEvents(std::string &buffer, const ReplyHead &head, TimePoint began, bool complete)
{
    const std::size_t end = buffer.rfind("\n\n");
    const std::size_t whole = complete ? buffer.size() : end == std::string::npos ? 0 : end + 2;
    if (whole == 0) {
        return true;
    }
    const std::string_view events = std::string_view(buffer).substr(0, whole);
    if (const std::size_t id = events.rfind("id:"); id != std::string_view::npos && (id == 0 || events[id - 1] == '\n')) {
        std::string_view value = events.substr(id + 3);
        value = value.substr(0, value.find('\n'));
        while (!value.empty() && (value.front() == ' ' || value.back() == '\r')) {
            value = value.front() == ' ' ? value.substr(1) : value.substr(0, value.size() - 1);
        }
        m_lastEvent = value;
    }
    const TimePoint until = m_deadline + m_settings.answerMargin;
    bool there = false;
    if (!m_started) {
        m_started = true;
        m_firstEvent = m_parts.clock.now();
        m_parts.engineTimes.record(m_service, ownTokens(), m_firstEvent - began);
        there = m_exchange.beginStream(head.status, m_parts.codec.answerHeaders(head), events, until);
        releaseResults(); // the engine has read its inputs
    } else {
        there = m_exchange.streamBytes(events, until);
    }
    buffer.erase(0, whole);
    return there;
}

ForwardRun::Verdict ForwardRun::relayStream(UpstreamCall &call, const ReplyHead &head, const ReplyFacts &facts, InstanceLease &lease, TimePoint began)
{
    if (!m_started) {
        m_weightsVersion = facts.weightsVersion;
    }
    std::string buffer;
    TimePoint gapLimit = m_started ? m_parts.clock.now() + m_settings.streamSilenceLimit : firstReplyLimit();
    for (;;) {
        const bool resumable = m_route->resumable && m_sent < m_route->maxAttempts;
        const auto complete = call.readBody(buffer, resumable ? std::min(gapLimit, m_deadline) : m_deadline, m_exchange);
        if (!complete) {
            return failed(complete.error(), lease, began);
        }
        if (buffer.size() > PartialEventLimit) {
            return failed(UpstreamFailure{ErrorCode::InvalidReply, true, false}, lease, began);
        }
        if (!forwardEvents(buffer, head, began, *complete)) {
            return failed(UpstreamFailure{ErrorCode::CallerGone, true, false}, lease, began);
        }
        gapLimit = m_parts.clock.now() + m_settings.streamSilenceLimit;
        if (*complete) {
            break;
        }
    }
    if (!m_started) { // a stream without events
        (void)m_exchange.beginStream(head.status, m_parts.codec.answerHeaders(head), {}, m_deadline);
    }
    lease.finish(InstanceCallOutcome::Succeeded, m_firstEvent - began, facts.load);
    m_end = ForwardOutcome{head.status, ErrorCode::ServerRejected, true};
    (void)m_exchange.endStream(m_deadline + m_settings.answerMargin);
    return Verdict::Answered;
}

//-----------------------------------------------------------------------------
// [ANSWERS]
//-----------------------------------------------------------------------------

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
    default:
        break;
    }
    m_end = ForwardOutcome{status, code, false};
    (void)m_exchange.reply(status, m_parts.codec.refusalHeaders(m_request.attemptId, retryAfter), describeRefusal(code),
                           m_parts.clock.now() + std::chrono::seconds(1));
    m_parts.metrics.counter("vanillanotch_refusals_total", "code=\"" + std::to_string(static_cast<int>(code)) + "\"").add();
    logEvent(LogLevel::Info, "request.refused",
             {{"request", m_request.attemptId},
              {"code", code},
              {"status", status},
              {"version", m_deployment ? m_deployment->version() : std::uint64_t{0}},
              {"proof_age_ms", m_parts.deployments.confirmationAge(suspendAwareNow())}});
}

// The final answer of a request that was admitted and not served.
void ForwardRun::giveUp(ErrorCode code)
{
    m_end.code = code;
    if (m_exchange.cancelled() || code == ErrorCode::CallerGone) {
        m_end.code = ErrorCode::CallerGone;
        return;
    }
    if (m_started) {
        m_exchange.abort(); // nothing that ends early may look complete
        return;
    }
    const TimePoint until = m_parts.clock.now() + std::chrono::seconds(1);
    if (m_failure) {
        m_end = ForwardOutcome{m_failure->first.status, code, true};
        (void)m_exchange.reply(m_failure->first.status, m_parts.codec.answerHeaders(m_failure->first), m_failure->second, until);
        return;
    }
    const bool late = code == ErrorCode::DeadlineExceeded || code == ErrorCode::ServerTimeout;
    m_end.status = !m_mayHaveRun ? 503 : late ? 504 : 502;
    const auto retryAfter =
        !m_mayHaveRun ? std::optional(code == ErrorCode::Overloaded ? m_settings.overloadedRetryAfter : m_settings.retryAfter) : std::nullopt;
    (void)m_exchange.reply(m_end.status, m_parts.codec.refusalHeaders(m_request.attemptId, retryAfter), describeRefusal(code), until);
    m_parts.metrics.counter("vanillanotch_refusals_total", "code=\"" + std::to_string(static_cast<int>(code)) + "\"").add();
}

void ForwardRun::logEnd() const
{
    const TimePoint now = m_parts.clock.now();
    const Duration staged = m_stagesDone == TimePoint{} ? Duration::zero() : m_stagesDone - m_exchange.arrived();
    const Duration first = m_firstEvent == TimePoint{} ? Duration::zero() : m_firstEvent - m_exchange.arrived();
    logEvent(LogLevel::Info, "request.ended",
             {{"request", m_request.attemptId},
              {"route", m_route->name},
              {"version", m_deployment->version()},
              {"service", m_service},
              {"instance", m_lastInstance},
              {"prompt", m_request.prompt.empty() ? std::string() : m_request.prompt.front().id},
              {"prompt_parts", static_cast<std::uint64_t>(m_request.prompt.size())},
              {"sent", m_sent},
              {"status", m_end.status},
              {"code", m_end.answeredByServer ? 0 : static_cast<int>(m_end.code)},
              {"staged_ms", staged},
              {"first_ms", first},
              {"took_ms", now - m_exchange.arrived()},
              {"left_ms", remaining()}});
    m_parts.metrics.histogram("vanillanotch_request_seconds", "route=\"" + m_route->name + "\"").record(now - m_exchange.arrived());
    m_parts.metrics.counter("vanillanotch_requests_total", "status=\"" + std::to_string(m_end.status) + "\"").add();
}

} // namespace vanillanotch
