// ForwardRun: admission of a request and attempts at servers. Index of sections: [ADMISSION], [ATTEMPTS]. The stages are in run_stages.cpp, what the
// owners of engines are asked in run_placement.cpp, software versions of servers in run_versions.cpp, streamed replies in run_streams.cpp, plain replies,
// refusals and the end of a request in run_answers.cpp.
#include "forwarding/run.h"

#include <algorithm>
#include <utility>

namespace vanillanotch
{

namespace
{
constexpr std::chrono::milliseconds DefaultTimeout{30000}; // time limit when the caller states no deadline; a shorter timeout of the route still applies
constexpr int MostUrgent = 0;
constexpr int LeastUrgent = 9;

InstanceCallOutcome callOutcomeOf(const UpstreamFailure &failure)
{
    switch (failure.code) {
    case ErrorCode::CallerDisconnected:
    case ErrorCode::Overloaded: // this node had no memory for the reply
    case ErrorCode::StreamUnread: // the stream's version could not be recorded
        return InstanceCallOutcome::Inconclusive;
    case ErrorCode::ConnectFailed:
        return InstanceCallOutcome::Unreachable;
    default:
        return InstanceCallOutcome::Failed;
    }
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}
} // namespace

ForwardRun::ForwardRun(ForwardDependencies &dependencies, const ForwardSettings &settings, FrontExchange &exchange, RunContext context)
    : m_dependencies(dependencies)
    , m_settings(settings)
    , m_exchange(exchange)
    , m_context(context)
    , m_progress(makeRef<WakeupSignal>())
{
}

void ForwardRun::refuseWaiting()
{
    m_refuseWaiting = true;
    m_progress->raise();
}

ForwardRun::~ForwardRun()
{
    releaseResults();
}

Duration ForwardRun::remaining() const
{
    return m_deadline - m_dependencies.clock.now();
}

void ForwardRun::execute()
{
    if (const auto admitted = admit(); !admitted) {
        refuse(admitted.error().code);
        return;
    }
    if (queuedBeyondTarget()) {
        answerFailure(ErrorCode::ServersLimited); // no stage does work in vain
    } else {
        m_queuePlace.emplace(m_dependencies.instances, m_service, m_priority);
        if (const auto stagesResult = runStages(); !stagesResult) {
            answerFailure(stagesResult.error().code);
        } else {
            runAttempts();
        }
        m_queuePlace.reset();
    }
    if (m_outcome.answeredByServer && !isServerFailure(m_outcome.status)) {
        m_dependencies.crashGuard.recordCompletion(m_dependencies.crashGuard.idle() ? partTraits() : allTraits());
        const TimePoint now = m_dependencies.clock.now();
        m_context.totalTimes.record(m_route->name, now - m_exchange.arrived());
        m_context.serverTimes.record(m_route->name, now - m_stagesDoneAt);
    }
    logOutcome();
}

//-----------------------------------------------------------------------------
// [ADMISSION]
//-----------------------------------------------------------------------------

ForwardRun::StepResult ForwardRun::admit()
{
    auto request = m_dependencies.codec.decodeRequest(m_exchange.head());
    if (!request) {
        return tl::unexpected(request.error());
    }
    m_request = std::move(*request);
    m_deployment = m_dependencies.deployments.current();
    if (!m_deployment) {
        return fail(ErrorCode::NotReady);
    }
    m_route = m_deployment->route(m_request.host, m_exchange.path());
    if (m_route == nullptr) {
        return fail(m_dependencies.deployments.keysTrusted(suspendAwareNow()) ? ErrorCode::UnknownRoute : ErrorCode::ConfigurationStale);
    }
    if (auto authenticated = authenticate(); !authenticated) {
        return authenticated;
    }
    // Stage calls carry both in JSON, where other bytes can't be written.
    if (!m_route->stages.empty() && !(isValidUtf8(m_request.attemptId) && isValidUtf8(m_request.pieceKey))) {
        return fail(ErrorCode::MalformedRequest);
    }
    const TimePoint arrived = m_exchange.arrived();
    m_deadline = arrived + std::min(m_request.timeLeft.value_or(DefaultTimeout), m_route->timeout) - m_settings.answerMargin;
    if (!fitsIntoStop(m_context.totalTimes)) {
        return fail(ErrorCode::ShuttingDown);
    }
    // The target counts from the caller's first try, so the time spent on earlier tries is subtracted.
    const auto timeSpent = m_request.timeLeft ? m_dependencies.statedDeadlines.estimateSpent(m_route->name, *m_request.timeLeft) : std::chrono::milliseconds(0);
    m_target = arrived + m_route->targetLatency - timeSpent;
    chooseService();
    if (auto bound = bindVersion(); !bound) {
        return bound;
    }
    const auto placed = checkPlaces();
    return placed ? checkCrashes() : placed;
}

ForwardRun::StepResult ForwardRun::authenticate()
{
    m_priority = m_route->priority;
    m_scope.restrictTo(m_route->allowedRegions, m_settings.regions);
    if (!m_deployment->requiresApiKey()) {
        return {};
    }
    const AccountSpec *account = m_request.apiKey.empty() ? nullptr : m_deployment->accountOf(m_request.apiKey);
    if (account == nullptr) {
        if (m_route->anonymous && m_request.apiKey.empty()) {
            return {};
        }
        // A node that may have missed a configuration can't tell whether an unknown key is wrong or was added in that configuration.
        const bool trusted = m_dependencies.deployments.keysTrusted(suspendAwareNow());
        return fail(!trusted ? ErrorCode::ConfigurationStale : m_request.apiKey.empty() ? ErrorCode::MissingCredentials : ErrorCode::UnknownCredentials);
    }
    if (!m_dependencies.deployments.keysTrusted(suspendAwareNow())) {
        return fail(ErrorCode::ConfigurationStale);
    }
    m_account = account->name;
    m_scope.restrictTo(account->allowedRegions, m_settings.regions);
    m_priority = account->priority.value_or(m_priority);
    return {};
}

// During a planned stop: whether the request will probably end before the stop does; `times` says how long the rest of it usually takes. Bounds
// the deadline by the end of the stop.
bool ForwardRun::fitsIntoStop(const RouteTimes &times)
{
    const auto window = m_context.stop.window();
    if (!window || m_deadline <= window->endBy) {
        return true;
    }
    m_deadline = window->endBy;
    const Duration usual = times.usualTime(m_route->name).value_or(Duration::zero());
    return m_exchange.arrived() <= window->takesUntil && m_dependencies.clock.now() + usual <= window->endBy;
}

void ForwardRun::chooseService()
{
    double total = 0;
    for (const WeightedService &candidate : m_route->services) {
        total += candidate.weight;
    }
    thread_local std::mt19937_64 generator{std::random_device{}()};
    double draw = std::uniform_real_distribution<double>(0, total)(generator);
    m_service = m_route->services.front().service;
    for (const WeightedService &candidate : m_route->services) {
        if (draw < candidate.weight) {
            m_service = candidate.service;
            break;
        }
        draw -= candidate.weight;
    }
    // The shared parts of the prompt determine which instances have the beginning of the prompt cached. A prompt of only one part has no
    // shared parts, so its one part is used instead.
    std::string shared;
    const std::size_t sharedParts = m_request.prompt.size() > 1 ? m_request.prompt.size() - 1 : m_request.prompt.size();
    for (std::size_t i = 0; i < sharedParts; ++i) {
        shared += m_request.prompt[i].id + ",";
    }
    m_affinity = shared.empty() ? 0 : stableHash(shared);
}

Result<void> ForwardRun::checkCrashes()
{
    if (m_dependencies.crashGuard.idle()) {
        return {};
    }
    const auto admission = m_dependencies.crashGuard.admit(allTraits());
    if (!admission) {
        return tl::unexpected(admission.error());
    }
    m_isProbe = *admission == CrashGuard::Admission::Probe;
    return {};
}

RequestTraits ForwardRun::partTraits() const
{
    RequestTraits traits;
    for (std::size_t i = 0; i + 1 < m_request.prompt.size(); ++i) {
        traits.parts.push_back(std::to_string(stableHash(m_request.prompt[i].id)));
    }
    return traits;
}

RequestTraits ForwardRun::allTraits() const
{
    RequestTraits traits = partTraits();
    std::string text = m_account + "\n" + m_exchange.head().method + " " + m_exchange.head().target + "\n" + promptIds() + "\n";
    text.reserve(text.size() + m_exchange.body().size());
    traits.whole = std::to_string(stableHash(text.append(m_exchange.body())));
    return traits;
}

//-----------------------------------------------------------------------------
// [ATTEMPTS]
//-----------------------------------------------------------------------------

void ForwardRun::runAttempts()
{
    m_dependencies.retryBudget.recordFirstCall(m_service);
    for (;;) {
        if (m_exchange.cancelled()) {
            return;
        }
        if (!m_streamStarted && !fitsIntoStop(m_context.serverTimes)) {
            answerFailure(ErrorCode::ShuttingDown);
            return;
        }
        if (remaining() < m_settings.minTimeLeft) {
            answerFailure(ErrorCode::DeadlineExceeded);
            return;
        }
        if (!m_isProbe && !m_dependencies.crashGuard.idle() && m_dependencies.crashGuard.blocks(allTraits())) {
            answerFailure(ErrorCode::SuspectRefused);
            return;
        }
        const AttemptOutcome outcome = attempt();
        if (outcome == AttemptOutcome::Answered) {
            return;
        }
        m_mayHaveRun = m_mayHaveRun || outcome != AttemptOutcome::NotRun;
        if (!mayRepeat(outcome)) {
            answerFailure(m_lastError);
            return;
        }
    }
}

bool ForwardRun::mayRepeat(AttemptOutcome outcome)
{
    if (m_isProbe && m_sentCount > 0) {
        return false; // a probe costs one server at most
    }
    if (std::exchange(m_repetitionGranted, false)) {
        return !m_exchange.cancelled() && remaining() >= m_settings.minTimeLeft;
    }
    const bool allowed = outcome == AttemptOutcome::NotRun || m_route->repeatable();
    const bool cannotSucceed = m_lastError == ErrorCode::InputsGone || m_lastError == ErrorCode::NoFitServer;
    if (m_exchange.cancelled() || !allowed || cannotSucceed || remaining() < m_settings.minTimeLeft) {
        return false;
    }
    if (m_lastError == ErrorCode::ServersLimited) {
        return awaitLimits();
    }
    if (m_lastError == ErrorCode::ConnectFailed) {
        // Nothing was sent, so the repetition takes nothing from the retry budget. The number of connections is limited only because each failed one
        // costs time, so 2 more than maxAttempts are allowed, also where there are fewer instances.
        return ++m_failedConnections < 2 + m_route->maxAttempts;
    }
    const unsigned limit = outcome == AttemptOutcome::NotRun ? m_route->maxAttempts + 1 : m_route->maxAttempts;
    return m_sentCount < limit && m_dependencies.retryBudget.tryTake(m_service);
}

// True when the limits that servers state leave no room for this request before its target, after those that were admitted before it.
bool ForwardRun::queuedBeyondTarget() const
{
    const TimePoint now = m_dependencies.clock.now();
    const Duration engineTime = streaming() ? m_dependencies.engineTimeEstimator.estimate(m_service, ownTokens()) + m_settings.engineMargin : Duration::zero();
    const Duration wait = m_dependencies.instances.limitedForNext(m_service, m_priority, serverScope());
    const bool late = now + wait > std::max(m_target - engineTime, now + m_settings.limitedWaitWhenLate);
    if (late) {
        logEvent(LogLevel::Info, "request.limited_on_arrival",
                 {{"request", m_request.attemptId},
                  {"service", m_service},
                  {"priority", m_priority},
                  {"wait_ms", wait},
                  {"target_in_ms", m_target - now},
                  {"engine_ms", engineTime}});
        m_dependencies.metrics.counter("vanillanotch_limited_on_arrival_total").add();
    }
    return late;
}

// True when no server that could take the request may get one until its target has passed. A request whose target has passed already, for
// example that of a caller who was refused before, waits for a short time.
bool ForwardRun::limitedBeyondTarget() const
{
    const TimePoint now = m_dependencies.clock.now();
    return now + m_dependencies.instances.limitedFor(m_service, serverScope()) > std::max(m_target, now + m_settings.limitedWaitWhenLate);
}

// All servers that could take the request are limited. Waits until one may get a request, unless that would take too long: then the caller is
// refused at once, so that it can come back later.
bool ForwardRun::awaitLimits()
{
    if (limitedBeyondTarget() || m_refuseWaiting) {
        return false;
    }
    const auto woken = awaitSignal(*m_progress, m_exchange, m_dependencies.clock.now() + m_dependencies.instances.limitedFor(m_service, serverScope()));
    return !m_refuseWaiting && (woken || woken.error().code != ErrorCode::CallerDisconnected);
}

// A server has been silent for a while. True: the request may go to another server, and the retry budget has been charged for that.
// False: silence is no reason to give up the only answer that may still come, so this attempt goes on until the deadline.
bool ForwardRun::grantRepetition()
{
    m_lastError = ErrorCode::ServerTimeout;
    m_repetitionGranted = mayRepeat(AttemptOutcome::Unknown);
    return m_repetitionGranted;
}

unsigned ForwardRun::ownTokens() const
{
    return m_request.prompt.empty() ? 0 : m_request.prompt.back().tokens;
}

std::string ForwardRun::promptIds() const
{
    std::string ids;
    for (const PromptPart &part : m_request.prompt) {
        ids += (ids.empty() ? "" : ",") + part.id;
    }
    return ids;
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
    call.resumeAfter = m_lastEventId.empty() ? m_request.resumeAfter : m_lastEventId;
    call.weightsVersion = m_streamStarted ? m_weightsVersion : std::string();
    return call;
}

// Returns the time until which the head of the server's reply is awaited. If the request may still be sent to another server after this
// attempt, this time can be before the deadline, so that time is left for the other server.
TimePoint ForwardRun::firstReplyLimit() const
{
    if (!m_route->repeatable() || m_sentCount >= m_route->maxAttempts) {
        return m_deadline;
    }
    const auto targetTimeout = std::chrono::duration_cast<Duration>(m_route->targetLatency * m_settings.firstReplyTargetFactor);
    const Duration shortest = streaming() ? m_settings.streamSilenceLimit : m_settings.minFirstReplyTimeout;
    return std::min(m_deadline, m_dependencies.clock.now() + std::max<Duration>(shortest, targetTimeout));
}

ForwardRun::AttemptOutcome ForwardRun::attempt()
{
    ChoiceInput input = choiceInput();
    input.avoid = m_tried;
    input.scope = serverScope();
    input.acceptsSlow = m_streamStarted; // the caller has a part of the answer
    const ServiceSpec *service = m_deployment->service(m_service);
    const bool engine = service != nullptr && service->engine;
    if (auto demand = engine ? placementDemand() : std::nullopt) {
        if (auto placed = m_dependencies.placement.place(*demand, m_exchange)) {
            input.wanted = *placed;
            m_placed = std::move(demand);
        }
    }
    auto lease = m_dependencies.instances.acquire(input, engine ? m_dependencies.engineChoice : m_dependencies.serverChoice);
    const std::string chosen = lease ? lease->instance().id : std::string();
    m_ownerChose = m_placed.has_value() && chosen == input.wanted;
    if (m_placed && chosen != input.wanted) {
        m_placed.reset(); // the owner stops counting it when it hears nothing of it
    }
    if (!lease) {
        m_lastError = lease.error().code;
        return AttemptOutcome::NotRun;
    }
    m_queuePlace.reset();
    const InstanceSpec instance = lease->instance();
    m_lastInstance = instance.id;
    m_tried.insert(instance.id);
    UpstreamCall call(m_dependencies.upstream);
    const TimePoint began = m_dependencies.clock.now();
    if (const auto opened = call.open(instance.address, m_deadline, m_exchange); !opened) {
        return handleFailure(opened.error(), *lease, began);
    }
    ++m_sentCount;
    beginRecord(instance);
    const TimePoint replyLimit = firstReplyLimit();
    auto head = call.exchange(m_dependencies.codec.encodeCall(prepareCall(instance)), replyLimit, m_exchange);
    if (!head && head.error().code == ErrorCode::ServerTimeout && replyLimit < m_deadline && !grantRepetition()) {
        head = call.awaitHead(m_deadline, m_exchange);
    }
    m_replyHeadBytes = head ? head->headers.heldBytes() : 0;
    const AttemptOutcome outcome = head ? readReply(call, *head, *lease, began) : handleFailure(head.error(), *lease, began);
    reportPlacement(std::nullopt, InstanceCallOutcome::Inconclusive); // unless it was reported above
    if (outcome == AttemptOutcome::Unknown && m_lastError == ErrorCode::ConnectionLost) {
        reportCrash(instance);
    }
    return outcome;
}

bool ForwardRun::serverEnded(const UpstreamCall &call, const InstanceSpec &instance) const
{
    return call.bodyEndsWithConnection()
        && UpstreamCall::refused(m_dependencies.upstream, instance.address, m_dependencies.clock.now() + m_settings.crashCheckTimeout);
}

// The connection to the instance was lost before the answer's end. The instance has crashed if nothing listens at its address any more.
void ForwardRun::reportCrash(const InstanceSpec &instance) const
{
    if (UpstreamCall::refused(m_dependencies.upstream, instance.address, m_dependencies.clock.now() + m_settings.crashCheckTimeout)) {
        m_dependencies.crashGuard.recordCrash(instance.process(), allTraits());
    }
}

ForwardRun::AttemptOutcome ForwardRun::handleFailure(const UpstreamFailure &failure, InstanceLease &lease, TimePoint began)
{
    const Duration took = m_dependencies.clock.now() - began;
    m_lastError = failure.code;
    lease.finish(callOutcomeOf(failure), Duration::zero());
    reportPlacement(std::nullopt, callOutcomeOf(failure));
    logEvent(LogLevel::Info, "request.attempt_failed",
             {{"request", m_request.attemptId},
              {"instance", m_lastInstance},
              {"error", failure.code},
              {"sent", failure.maybeSent ? 1 : 0},
              {"begun", m_streamStarted ? 1 : 0},
              {"parts", promptIds()},
              {"took_ms", took},
              {"left_ms", remaining()}});
    m_dependencies.metrics.counter("vanillanotch_attempt_failures_total", "code=\"" + std::to_string(static_cast<int>(failure.code)) + "\"").add();
    if (failure.code == ErrorCode::CallerDisconnected) {
        m_outcome.code = ErrorCode::CallerDisconnected;
        return AttemptOutcome::Answered;
    }
    return failure.maybeSent ? AttemptOutcome::Unknown : AttemptOutcome::NotRun;
}

ForwardRun::AttemptOutcome ForwardRun::readReply(UpstreamCall &call, const ReplyHead &head, InstanceLease &lease, TimePoint began)
{
    const ReplyFacts facts = m_dependencies.codec.readReply(head, m_request.attemptId);
    if (facts.otherAttempt) {
        return handleFailure(UpstreamFailure{ErrorCode::AttemptMismatch, true, false}, lease, began);
    }
    if (!facts.wrongInstance) {
        m_dependencies.instances.recordStatement(m_lastInstance, facts.statement);
        lease.recordReply(facts.load);
    }
    if (facts.notExecuted || facts.wrongInstance) {
        m_lastError = facts.wrongInstance ? ErrorCode::WrongInstance : head.status == 409 ? ErrorCode::InputsGone : ErrorCode::ServerBusy;
        const auto callOutcome = facts.wrongInstance ? InstanceCallOutcome::Unreachable : InstanceCallOutcome::Busy;
        lease.finish(callOutcome, Duration::zero());
        reportPlacement(std::nullopt, callOutcome);
        logEvent(LogLevel::Info, "request.not_executed", {{"request", m_request.attemptId}, {"instance", m_lastInstance}, {"status", head.status}});
        return AttemptOutcome::NotRun;
    }
    const bool success = isSuccess(head.status);
    if (!facts.sameAttempt || (success && (!facts.hasSeal || facts.contentEncoded))) {
        return handleFailure(UpstreamFailure{ErrorCode::InvalidReply, true, false}, lease, began);
    }
    if (m_streamStarted && !(success && facts.eventStream)) {
        lease.finish(InstanceCallOutcome::Failed, Duration::zero());
        m_lastError = ErrorCode::ServerRejected; // only events can follow what the caller has got
        return AttemptOutcome::Failed;
    }
    if (success && streaming()) {
        return relayStream(call, head, facts, lease, began);
    }
    return relayPlain(call, head, lease, began);
}

} // namespace vanillanotch
