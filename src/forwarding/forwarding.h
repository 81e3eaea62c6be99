// vanillanotch forwarding library: a caller's own HTTP request, passed on to one backend server and answered from there.
//
// Index of sections:
//   [TYPES]     CallerRequest, ServerCall, ReplyFacts
//   [CODEC]     RequestCodec: headers to types and back
//   [ALLOWANCE] ServiceAllowance: this node's part of the retry budget
//   [ESTIMATES] EngineTimes, StatedDeadlines: what is known of a request's remaining time before it runs
//   [SERVICE]   ForwardService: what the front end calls
//
// Rules this aggregate enforces:
//   - a request that may not be repeated is sent again only when the server says that it did not run it;
//   - a success is passed on only whole, for this attempt, and with the server's seal;
//   - 429, 503 and 408 are answered only when the request has not run and will not run.
#pragma once

#include "base/base.h"
#include "deployment/deployment.h"
#include "instances/instances.h"
#include "stages/stages.h"
#include "transport/transport.h"

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [TYPES]
//-----------------------------------------------------------------------------

struct PromptPart {
    std::string id;
    unsigned tokens = 0;
};

struct CallerRequest {
    std::string attemptId; // id, new for each try of the caller
    std::string host;
    std::string apiKey; // empty: none
    std::optional<std::chrono::milliseconds> timeLeft; // nullopt: not stated
    std::vector<PromptPart> prompt; // the last part is the request's or its session's own
    std::vector<unsigned> pieces; // of each stage
    std::string pieceKey;
    std::string resumeAfter; // event id; empty: from the start
};

struct ServerCall {
    const RequestHead *head = nullptr; // the caller's
    std::string_view body;
    std::string host;
    std::string instance; // that is expected at the address
    std::string account; // client account; empty: none
    std::chrono::milliseconds timeLeft{0};
    std::optional<int> urgency; // 0 is first
    std::vector<std::string> inputs; // results of the stages
    bool hasStages = false; // the route has stages, so inputs are stated even when there are none
    std::string resumeAfter;
    std::string weightsVersion; // a resumed stream must go on with the same; empty: any
};

struct ReplyFacts {
    bool sameAttempt = false;
    bool sealed = false;
    bool notExecuted = false; // the server says that it did not run the request
    bool wrongInstance = false;
    bool contentEncoded = false; // not the bytes that the caller asked for
    bool closesConnection = false;
    std::string weightsVersion;
    std::optional<ReportedLoad> load;
};

//-----------------------------------------------------------------------------
// [CODEC]
//-----------------------------------------------------------------------------

class RequestCodec
{
public:
    virtual ~RequestCodec() = default;
    virtual Result<CallerRequest> decodeRequest(const RequestHead &head) const = 0; // MalformedRequest, InvalidDeadline
    virtual std::string encodeCall(const ServerCall &call) const = 0; // the whole HTTP request
    virtual ReplyFacts readReply(const ReplyHead &head, const std::string &attempt) const = 0;
    virtual Headers answerHeaders(const ReplyHead &head) const = 0; // what the caller gets of the server's
    virtual Headers refusalHeaders(const std::string &attempt, std::optional<std::chrono::milliseconds> retryAfter) const = 0;
};

//-----------------------------------------------------------------------------
// [ALLOWANCE]
//-----------------------------------------------------------------------------

struct RetryBudgetSettings {
    double ratio = 0.2; // repeated calls / requests
    double extra = 54; // repeated calls in a window besides, at all nodes together
    std::chrono::milliseconds window{10000};
    double usedShare = 0.7; // part of the budget that is used: nodes count apart
};

class ServiceRetryBudget final : public RetryBudget
{
public:
    // `nodes`: how many nodes share the extra calls.
    ServiceRetryBudget(const Clock &clock, RetryBudgetSettings settings, std::function<std::size_t()> nodes);
    void recordFirstCall(const std::string &service) override;
    bool tryTake(const std::string &service) override;

private:
    struct Window {
        std::deque<TimePoint> firsts;
        std::deque<TimePoint> repeats;
    };
    static void forget(std::deque<TimePoint> &times, TimePoint before);

    const Clock &m_clock;
    const RetryBudgetSettings m_settings;
    const std::function<std::size_t()> m_nodes;
    RankedMutex m_mutex{LockRank::Estimates};
    std::map<std::string, Window> m_windows;
};

//-----------------------------------------------------------------------------
// [ESTIMATES]
//-----------------------------------------------------------------------------

struct EngineTimeSettings {
    std::chrono::milliseconds defaultTime{400}; // before enough was measured; measured medians lie between 110 and 440 ms
    std::chrono::milliseconds minimum{50};
    std::chrono::milliseconds maximum{2000};
    double pastWeight = 0.98; // weight of the past for each new sample: some 50 samples count
    double minSamples = 8;
};

// Time from an engine's call to its first event, by the tokens of the prompt's own part: a decayed linear regression for
// each service. Thread-safe.
class EngineTimeEstimator
{
public:
    explicit EngineTimeEstimator(EngineTimeSettings settings = {});
    void record(const std::string &service, unsigned ownTokens, Duration took);
    Duration estimate(const std::string &service, unsigned ownTokens) const;

private:
    struct Sums {
        double weight = 0;
        double x = 0; // tokens
        double y = 0; // seconds
        double xx = 0;
        double xy = 0;
    };

    const EngineTimeSettings m_settings;
    mutable RankedMutex m_mutex{LockRank::Estimates};
    std::map<std::string, Sums> m_sums; // by service
};

struct StatedDeadlineSettings {
    std::chrono::milliseconds roundingStep{100}; // deadlines are compared in these
    std::size_t samplesPerRoute = 64; // requests of a route
    double usualShare = 0.1; // of these: callers begin with it
    std::size_t maxRoutes = 1000; // names change with configurations: beyond this many, all are learnt anew
};

// Tells first tries from later ones: callers of a route begin with like deadlines, and one who comes back states what is
// left. A caller whose own deadline is shorter is taken for one who comes back: it waits longer, only where work waits. Thread-safe.
class StatedDeadlines
{
public:
    explicit StatedDeadlines(StatedDeadlineSettings settings = {});
    // Remembers the deadline and returns the time that the caller has spent before, by the longest usual one of late.
    std::chrono::milliseconds estimateSpent(const std::string &route, std::chrono::milliseconds stated);

private:
    const StatedDeadlineSettings m_settings;
    RankedMutex m_mutex{LockRank::Estimates};
    std::map<std::string, std::deque<std::chrono::milliseconds>> m_recent; // by route
};

//-----------------------------------------------------------------------------
// [SERVICE]
//-----------------------------------------------------------------------------

struct ForwardSettings {
    std::chrono::milliseconds answerMargin{25}; // the final answer is on its way this long before the deadline
    std::chrono::milliseconds minTimeLeft{10}; // no call is made with less time left
    std::chrono::milliseconds streamSilenceLimit{1500}; // silence after which a resumable stream goes on elsewhere; pauses beyond 400 ms are late already
    std::chrono::milliseconds minFirstReplyTimeout{500}; // an idempotent request waits at least this long for its first server
    double firstReplyTargetFactor = 1.2; // and this many times the route's target
    std::chrono::milliseconds retryAfter{150}; // for a caller whom another node may serve at once
    std::chrono::milliseconds overloadedRetryAfter{2500}; // when the stages have more than they can do in time
    std::chrono::milliseconds engineMargin{250}; // over the expected time until an engine's first event
    std::size_t maxReplyBytes = 8 * 1024 * 1024; // bytes of a plain reply
    std::size_t maxRunningRequests = 400; // requests at the same time; each holds a worker
    std::size_t maxTotalBodyBytes = 48 * 1024 * 1024; // bytes of all requests' bodies
};

struct ForwardDependencies {
    const Clock &clock;
    DeploymentTable &deployments;
    InstanceTable &instances;
    RequestCodec &codec;
    StageExecutor &stages;
    ResultSink &unusedResults;
    RetryBudget &retryBudget;
    EngineTimeEstimator &engineTimes;
    StatedDeadlines &statedDeadlines;
    ChoicePolicy &serverChoice; // for plain services
    ChoicePolicy &engineChoice; // for model engines
    const UpstreamSettings &upstream;
    MetricsRegistry &metrics;
};

class ForwardService
{
public:
    ForwardService(ForwardDependencies parts, ForwardSettings settings);
    void serve(FrontExchange &exchange);
    std::size_t running() const
    {
        return m_running;
    }

private:
    ForwardDependencies m_parts;
    const ForwardSettings m_settings;
    std::atomic<std::size_t> m_running{0};
    std::atomic<std::size_t> m_bodyBytes{0};
};

// JSON body of a refusal: the numbered code and its name.
std::string describeRefusal(ErrorCode code);

} // namespace vanillanotch
