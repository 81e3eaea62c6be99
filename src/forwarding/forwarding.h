// vanillanotch forwarding library: sends a caller's HTTP request to one backend server and returns the server's reply.
//
// A route may declare stages: work that other backend servers do before the request itself is sent. A stage is split into pieces; the
// server that computes a piece stores its result and names it by a handle. An instance is a running copy of a backend server; a service is
// the set of all instances that run the same backend server. A node is one vanillanotch process. A model engine is a backend server that
// generates from a prompt and caches prompts by prefix.
//
// Index of sections:
//   [TYPES]     CallerRequest, ServerCall, ReplyFacts
//   [CODEC]     RequestCodec: converts between HTTP headers and these types
//   [RETRIES]   ServiceRetryBudget: limits how many calls to a service this node repeats
//   [ESTIMATES] EngineTimeEstimator: time until an engine's first event; StatedDeadlines: time that a caller spent on earlier tries;
//               RouteTimes: how long the requests of a route take
//   [STOP]      StopWindow, PlannedStop: which requests are still taken while this node stops
//   [EVENTS]    scanEvents: complete events of a stream
//   [SERVICE]   ForwardService: entry point for the front end
//
// Rules this aggregate enforces:
//   - a request that must not be repeated is sent again only when the server states that it did not run it;
//   - a successful reply is returned only if it is complete, belongs to this try of the caller and carries the header by which a backend
//     server marks its own replies (its seal);
//   - the statuses 429, 503 and 408 are sent only when the request has not run and will not run;
//   - a resumable stream, once begun, gets servers of one software version only, in one answer and over the caller's tries;
//   - during a planned stop, no request is passed on that would probably still run at the end of the stop.
#pragma once

#include "base/base.h"
#include "continuity/continuity.h"
#include "crashes/crashes.h"
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
    std::string attemptId; // id, a new one each time the caller tries
    std::string host;
    std::string apiKey; // empty: none was sent
    std::optional<std::chrono::milliseconds> timeLeft; // time until the caller's deadline; nullopt: not stated
    std::vector<PromptPart> prompt; // the last part belongs to this request or its session only; the parts before it are shared by several requests
    std::vector<unsigned> pieces; // number of pieces of each stage, by the stage's index in the route
    // Key, sent by the caller, by which servers find the caller's data. Stages that use no results of earlier stages compute their pieces from
    // that data.
    std::string pieceKey;
    std::string resumeAfter; // id of the last event that the caller has; empty: the stream starts from the beginning
    std::string resumedStream; // attemptId of the attempt that brought the first event of a stream that the caller takes up; empty: not stated
};

struct ServerCall {
    const RequestHead *head = nullptr; // head of the caller's request
    std::string_view body;
    std::string host;
    std::string instance; // id of the chosen instance; sent with the call, so that another instance that now has the address can refuse the call
    std::string account; // name of the client account; empty: none
    std::chrono::milliseconds timeLeft{0};
    std::optional<int> urgency; // 0 is the most urgent; nullopt: not sent
    std::vector<std::string> inputs; // handles of the results of the stages that no other stage depends on
    bool hasStages = false; // the route has stages, so `inputs` is sent even when it is empty
    std::string resumeAfter;
    std::string weightsVersion; // version of the model weights with which a resumed stream must be continued; empty: any
};

struct ReplyFacts {
    bool sameAttempt = false; // the reply names the CallerRequest::attemptId that was sent
    bool otherAttempt = false; // the reply names another one, so it isn't the answer to this call, whatever it says
    bool hasSeal = false; // the reply has the header by which a backend server marks its own replies
    bool notExecuted = false; // the server states that it did not run the request
    bool wrongInstance = false; // the called instance is no longer at its address: another instance got the call and refused it
    bool eventStream = false; // the body is declared as a stream of events
    bool contentEncoded = false; // the body has a content encoding, which the caller did not ask for
    bool closesConnection = false; // the server closes the connection after this reply
    std::string weightsVersion;
    std::optional<ReportedLoad> load;
    InstanceStatement statement;
};

//-----------------------------------------------------------------------------
// [CODEC]
//-----------------------------------------------------------------------------

// Converts between HTTP and the types above. `attempt` is CallerRequest::attemptId of the request concerned.
class RequestCodec
{
public:
    virtual ~RequestCodec() = default;
    virtual Result<CallerRequest> decodeRequest(const RequestHead &head) const = 0; // errors: MalformedRequest, InvalidDeadline
    virtual std::string encodeCall(const ServerCall &call) const = 0; // the whole HTTP request
    virtual ReplyFacts readReply(const ReplyHead &head, const std::string &attempt) const = 0;
    virtual Headers replyHeaders(const ReplyHead &head) const = 0; // headers of the server's reply that the caller gets
    // `retryAfter`: sent as the header Retry-After, in seconds with three decimals; nullopt: not sent.
    virtual Headers refusalHeaders(const std::string &attempt, std::optional<std::chrono::milliseconds> retryAfter) const = 0;
};

//-----------------------------------------------------------------------------
// [RETRIES]
//-----------------------------------------------------------------------------

// Limits the repeated calls to one service within the last `window`.
struct RetryBudgetSettings {
    double ratio = 0.2; // repeated calls allowed for each first call
    double extraPerWindow = 54; // repeated calls allowed within the window beyond those by `ratio`, for all nodes together
    std::chrono::milliseconds window{10000};
    double usedShare = 0.7; // each node uses only this share of its budget; less than 1 because each node counts on its own
};

class ServiceRetryBudget final : public RetryBudget
{
public:
    // `nodes` returns the number of nodes, among which RetryBudgetSettings::extraPerWindow is divided evenly. nullopt: this node doesn't know them yet, so it
    // has no part of that; otherwise each node that doesn't know the others would take all of it.
    ServiceRetryBudget(const Clock &clock, RetryBudgetSettings settings, std::function<std::optional<std::size_t>()> nodes);
    void recordFirstCall(const std::string &service) override;
    bool tryTake(const std::string &service) override;

private:
    struct Window {
        std::deque<TimePoint> firstCalls;
        std::deque<TimePoint> repeatedCalls;
    };
    static void removeOlder(std::deque<TimePoint> &times, TimePoint before);

    const Clock &m_clock;
    const RetryBudgetSettings m_settings;
    const std::function<std::optional<std::size_t>()> m_nodes;
    RankedMutex m_mutex{LockRank::Estimates};
    std::map<std::string, Window> m_windows;
};

//-----------------------------------------------------------------------------
// [ESTIMATES]
//-----------------------------------------------------------------------------

struct EngineTimeSettings {
    // Estimate until minSamples is reached. Measured medians of the time until the first event are between 110 and 440 ms.
    std::chrono::milliseconds defaultTime{400};
    std::chrono::milliseconds minimum{50}; // lowest estimate
    std::chrono::milliseconds maximum{2000}; // highest estimate
    double pastWeight = 0.98; // weight of all earlier samples when a new one is added: about the last 50 samples count
    double minSamples = 8; // the estimate is used from this weighted count of samples on
    // Limits of timePerToken(); the default applies until prompts of different lengths were measured.
    std::chrono::microseconds defaultTimePerToken{20};
    std::chrono::microseconds minTimePerToken{10};
    std::chrono::microseconds maxTimePerToken{150};
};

// Estimates the time from a call to an engine until its first event, from the number of tokens in the prompt's last part (`ownTokens`).
// Uses one linear regression for each service; older samples weigh less.
// Thread-safe.
class EngineTimeEstimator
{
public:
    explicit EngineTimeEstimator(EngineTimeSettings settings = {});
    void record(const std::string &service, unsigned ownTokens, Duration took);
    Duration estimate(const std::string &service, unsigned ownTokens) const;
    std::optional<Duration> measuredEstimate(const std::string &service, unsigned ownTokens) const; // nullopt: fewer than minSamples
    Duration timePerToken(const std::string &service) const;

private:
    struct Sums {
        double weight = 0; // weighted count of samples
        double x = 0; // tokens
        double y = 0; // seconds
        double xx = 0;
        double xy = 0;

        std::optional<double> secondsPerToken() const; // nullopt: all samples have about the same number of tokens
    };

    const EngineTimeSettings m_settings;
    mutable RankedMutex m_mutex{LockRank::Estimates};
    std::map<std::string, Sums> m_sums; // by service
};

struct StatedDeadlineSettings {
    std::chrono::milliseconds roundingStep{100}; // deadlines are rounded down to a multiple of this before they are compared
    std::size_t samplesPerRoute = 64; // number of the latest deadlines that are kept for a route
    double usualShare = 0.1; // a deadline is usual when at least this share of the route's kept deadlines equal it
    // Route names change with configurations. A new route beyond this many removes all routes, which then start again without samples.
    std::size_t maxRoutes = 1000;
};

// Estimates how long a caller has been trying. Callers state a deadline as the time that is left until it. The estimate is the deadline
// that callers of the route usually state at their first try, minus the deadline stated now. A caller that tries again states the time it
// has left. A caller whose deadline is short at its first try is mistaken for one that tries again: its target, the time by which its
// answer should be sent, is set too early. Its work then counts as late sooner, and queues run late work after work that can still meet its
// target. Without queues this has no effect. Thread-safe.
class StatedDeadlines
{
public:
    explicit StatedDeadlines(StatedDeadlineSettings settings = {});
    // Records the stated deadline, as time left, and returns the time that the caller has probably spent on earlier tries: the longest
    // usual deadline of the route (see usualShare) minus the stated one. 0: no usual deadline is longer than the stated one.
    std::chrono::milliseconds estimateSpent(const std::string &route, std::chrono::milliseconds stated);

private:
    const StatedDeadlineSettings m_settings;
    RankedMutex m_mutex{LockRank::Estimates};
    std::map<std::string, std::deque<std::chrono::milliseconds>> m_recent; // rounded deadlines, the newest last, by route
};

struct RouteTimeSettings {
    std::size_t samplesPerRoute = 64; // number of the latest requests whose times are kept for a route
    double usualShare = 0.95; // this share of the kept requests took no longer than the usual time
    std::size_t maxRoutes = 1000; // as StatedDeadlineSettings::maxRoutes
};

// How long the latest requests of each route took. Thread-safe.
class RouteTimes
{
public:
    explicit RouteTimes(RouteTimeSettings settings = {});
    void record(const std::string &route, Duration took);
    std::optional<Duration> usualTime(const std::string &route) const; // see usualShare; nullopt: no request of the route has ended yet

private:
    const RouteTimeSettings m_settings;
    mutable RankedMutex m_mutex{LockRank::Estimates};
    std::map<std::string, std::deque<Duration>> m_recent; // the newest last, by route
};

//-----------------------------------------------------------------------------
// [STOP]
//-----------------------------------------------------------------------------

struct StopWindow {
    TimePoint takesUntil{}; // of the requests that arrive later, only those are taken whose deadline is before endBy
    TimePoint endBy{}; // each request that is taken ends by then
};

// The planned stop of this node. Thread-safe.
class PlannedStop
{
public:
    void begin(const StopWindow &window);
    std::optional<StopWindow> window() const; // nullopt: the node isn't stopping

private:
    mutable RankedMutex m_mutex{LockRank::Leaf};
    std::optional<StopWindow> m_window;
};

//-----------------------------------------------------------------------------
// [EVENTS]
//-----------------------------------------------------------------------------

// The complete events at the beginning of a part of an event stream. An empty line ends an event; lines end with LF or CR LF.
struct EventScan {
    std::size_t completeBytes = 0; // of the complete events; the bytes after them belong to an event that isn't complete yet
    std::optional<std::string> lastId; // value of the last line "id:" of the complete events; nullopt: they have none
};
EventScan scanEvents(std::string_view part);

//-----------------------------------------------------------------------------
// [SERVICE]
//-----------------------------------------------------------------------------

struct ForwardSettings {
    std::chrono::milliseconds answerMargin{25}; // sending the final answer starts at the latest this long before the request's deadline
    std::chrono::milliseconds minTimeLeft{10}; // no further attempt at a server is made with less time left until the deadline
    // A resumable stream without a complete event for this long is resumed at another server, if the retry budget allows it; else it goes on.
    // A sound server may be silent for a second or somewhat more, and would then work on besides the other one.
    std::chrono::milliseconds streamSilenceLimit{2000};
    // How long a server whose connection was lost has for accepting or refusing another one, which tells whether it has crashed.
    std::chrono::milliseconds crashCheckTimeout{100};
    std::chrono::milliseconds streamOverrun{250}; // a stream whose events go on beyond its deadline is ended this long after it
    // Shortest timeout for the head of a server's reply to a repeatable request that isn't a stream (for streams: streamSilenceLimit); after the
    // timeout the request is sent to another server, if the retry budget allows it. The last attempt waits until the deadline.
    std::chrono::milliseconds minFirstReplyTimeout{500};
    // The same timeout as a multiple of RouteSpec::targetLatency; the longer of this and minFirstReplyTimeout applies.
    double firstReplyTargetFactor = 1.2;
    std::chrono::milliseconds retryAfter{150}; // Retry-After of a reply with status 503: another node may be able to serve the caller at once
    std::chrono::milliseconds overloadedRetryAfter{2500}; // Retry-After of a reply with status 503 when the stages have more work than they can do in time
    std::chrono::milliseconds suspectRetryAfter{10000}; // Retry-After of a reply with status 503 to a request that seems to crash servers
    DataCentreRegions regions; // for requests with home regions
    // Retry-After of a reply with status 503 when evacuations or home regions leave no server. Every node then refuses, until an operator changes that.
    std::chrono::milliseconds unplacedRetryAfter{5000};
    std::chrono::milliseconds limitedWaitWhenLate{300}; // how long a request whose target has passed may wait for limited servers
    std::chrono::milliseconds engineMargin{250}; // added to the expected time until an engine's first event when the target of a stage is computed
    std::size_t maxEventIdBytes = 1024; // longest id of an event, which is kept for resuming the stream; a longer one counts as a failure of the attempt
    std::size_t maxReplyBytes = 8 * 1024 * 1024; // largest body of a reply that isn't streamed, bytes; a larger reply counts as a failure of the attempt
    std::size_t maxRunningRequests = 400; // largest number of requests running at the same time, each on a thread of its own; further ones get status 503
    // Counted for each running request beside its body: the stack of its thread, what it receives from its server, and its small allocations.
    std::size_t bytesOfRun = 48 * 1024;
};

struct ForwardDependencies {
    const Clock &clock;
    DeploymentTable &deployments;
    InstanceTable &instances;
    RequestCodec &codec;
    StageExecutor &stages;
    ResultSink &unusedResults;
    RetryBudget &retryBudget;
    EngineTimeEstimator &engineTimeEstimator;
    StatedDeadlines &statedDeadlines;
    CrashGuard &crashGuard;
    StreamVersions &streamVersions;
    EnginePlacement &placement;
    ChoicePolicy &serverChoice; // for backend servers that aren't model engines
    ChoicePolicy &engineChoice; // for model engines
    const UpstreamSettings &upstream;
    MetricsRegistry &metrics;
};

class ForwardRun;

// Thread-safe. serve() handles one request and blocks the calling thread until it has ended.
class ForwardService
{
public:
    ForwardService(ForwardDependencies dependencies, ForwardSettings settings);
    void serve(FrontExchange &exchange);
    // For a planned stop: requests that would probably not end within the window are refused, also those that were admitted before and
    // haven't been sent to a server yet. The others end by its end, whatever their deadlines.
    void beginStopping(const StopWindow &window);
    // For the end of a planned stop: refuses the requests that wait for their stages, as not run. Those that a server runs go on.
    void refuseWaiting();
    std::size_t runningCount() const
    {
        return m_running;
    }

private:
    class Registration;

    ForwardDependencies m_dependencies;
    const ForwardSettings m_settings;
    std::atomic<std::size_t> m_running{0};
    PlannedStop m_stop;
    RouteTimes m_totalTimes; // from a request's arrival to its end
    RouteTimes m_serverTimes; // from its first attempt at a server to its end
    RankedMutex m_mutex{LockRank::Requests};
    std::set<ForwardRun *> m_runs; // that are being executed
};

// JSON body of a refusal: number and name of the error code.
std::string describeRefusal(ErrorCode code);

} // namespace vanillanotch
