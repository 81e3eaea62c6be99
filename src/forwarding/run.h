// Handles one forwarded request from its admission to its answer. Private to the forwarding library.
#pragma once

#include "forwarding/forwarding.h"

#include <random>

namespace vanillanotch
{

// Result of a request, for the log and the counters.
struct ForwardOutcome {
    int status = 0; // HTTP status that the caller got; 0: no complete answer
    ErrorCode code = ErrorCode::CallerDisconnected; // why the request failed; meaningless if the status is the server's own
    bool answeredByServer = false;
};

// What the requests of a node share beside ForwardDependencies.
struct RunContext {
    const PlannedStop &stop;
    RouteTimes &totalTimes; // see ForwardService
    RouteTimes &serverTimes;
};

// True for 5xx: the request may succeed at another server.
inline bool isServerFailure(int status)
{
    return status >= 500;
}

// Memory for a reply that is being read, beside what the request holds otherwise. Waits for it, `until` at the latest.
class ReplyMemory final : public MemoryGrant
{
public:
    ReplyMemory(FrontExchange &exchange, std::size_t otherBytes, TimePoint until)
        : m_exchange(exchange)
        , m_otherBytes(otherBytes)
        , m_until(until)
    {
    }
    bool hold(std::size_t bytes) override
    {
        return m_exchange.hold(m_otherBytes + bytes, m_until);
    }

private:
    FrontExchange &m_exchange;
    const std::size_t m_otherBytes;
    const TimePoint m_until;
};

// Handles one request; execute() blocks the calling thread until the request has ended.
class ForwardRun
{
public:
    ForwardRun(ForwardDependencies &dependencies, const ForwardSettings &settings, FrontExchange &exchange, RunContext context);
    ~ForwardRun();
    ForwardRun(const ForwardRun &) = delete;
    ForwardRun &operator=(const ForwardRun &) = delete;

    void execute();
    void refuseWaiting(); // see ForwardService; may be called by any thread while execute() runs

private:
    using StepResult = Result<void>;
    // Result of one attempt at one server.
    enum class AttemptOutcome {
        Answered, // the caller has its final answer or has disconnected
        NotRun, // no server ran the request in this attempt, so another attempt may be made
        Unknown, // the server may have run the request
        Failed, // the server ran the request and replied with a failure (status 5xx)
    };

    // [ADMISSION]
    StepResult admit();
    StepResult authenticate();
    bool fitsIntoStop(const RouteTimes &times);
    void chooseService();
    StepResult checkPlaces() const; // NoFitServer: no server is left to the request or to one of its stages
    Result<void> checkCrashes();
    RequestTraits partTraits() const; // without the whole request, whose hash takes time
    RequestTraits allTraits() const;

    // [VERSIONS]
    StepResult bindVersion();
    InstanceScope serverScope() const;
    void beginRecord(const InstanceSpec &instance);
    bool awaitRecord(const InstanceSpec &instance);

    // [STAGES]
    StepResult runStages();
    void submitReady();
    bool mayStart(std::size_t stage) const;
    bool hasSuccessor(std::size_t stage) const;
    Duration timeOfSuccessors(std::size_t stage) const;
    Duration timeOfPredecessors(std::size_t stage) const;
    Duration declaredTime(std::size_t stage) const;
    TimePoint targetOf(std::size_t stage) const;
    bool wouldBeLate() const;
    StageTask taskFor(std::size_t stage, unsigned pieces) const;
    StepResult collectResults();
    void choosePreferredDataCentre();
    std::vector<std::string> handlesOf(const std::vector<std::size_t> &stages) const;
    std::vector<std::string> finalHandles() const;
    void releaseResults();

    // [ATTEMPTS]
    void runAttempts();
    bool mayRepeat(AttemptOutcome outcome);
    AttemptOutcome attempt();
    std::vector<PromptPrefix> promptPrefixes() const; // of the shared parts
    bool asksOwner() const; // for an engine
    std::string engineDataCentre() const; // whose owner is asked
    std::optional<PlacementDemand> placementDemand() const; // nullopt: the engines are alike, so that their owner isn't asked
    void reportPlacement(std::optional<Duration> firstEventAfter, InstanceCallOutcome outcome); // `outcome`: if there was no first event
    bool grantRepetition();
    bool queuedBeyondTarget() const;
    bool limitedBeyondTarget() const;
    bool awaitLimits();
    ChoiceInput choiceInput() const;
    unsigned ownTokens() const; // tokens of the prompt's last part, which belongs to this request or its session
    unsigned sharedTokens() const; // of all other parts
    std::string promptIds() const; // of all parts, separated by commas
    ServerCall prepareCall(const InstanceSpec &instance) const;
    TimePoint firstReplyLimit() const;
    AttemptOutcome readReply(UpstreamCall &call, const ReplyHead &head, InstanceLease &lease, TimePoint began);
    AttemptOutcome relayPlain(UpstreamCall &call, const ReplyHead &head, InstanceLease &lease, TimePoint began);
    std::size_t heldBytes() const; // what this request holds beside the reply that is being read
    AttemptOutcome relayStream(UpstreamCall &call, const ReplyHead &head, const ReplyFacts &facts, InstanceLease &lease, TimePoint began);
    bool forwardEvents(std::string &buffer, const ReplyHead &head, std::size_t bytes, std::optional<std::string> lastId);
    void recordFirstEvent(InstanceLease &lease, Duration time) const;
    // A reply that has ended in order with its connection may be a part only: its server's process may have been killed. True: nothing listens at its address.
    bool serverEnded(const UpstreamCall &call, const InstanceSpec &instance) const;
    void reportCrash(const InstanceSpec &instance) const;
    AttemptOutcome handleFailure(const UpstreamFailure &failure, InstanceLease &lease, TimePoint began);

    // [ANSWERS]
    void refuse(ErrorCode code);
    void answerFailure(ErrorCode code);
    void logOutcome() const;
    Duration remaining() const;
    bool streaming() const
    {
        return m_route->kind == RequestKind::Streaming;
    }

    struct StageState {
        Ref<StageRun> run;
        bool submitted = false;
        bool done = false;
        bool released = false;
        std::vector<std::string> handles;
    };

    ForwardDependencies &m_dependencies;
    const ForwardSettings &m_settings;
    FrontExchange &m_exchange;
    DeploymentRef m_deployment;
    CallerRequest m_request;
    const RouteSpec *m_route = nullptr;
    std::string m_service;
    std::string m_account;
    std::string m_crashTrait; // RequestTraits::whole; empty: the request has no stages
    DataCentreScope m_scope; // of the home regions of route and account
    std::optional<std::string> m_softwareVersion; // of the servers that may answer: the caller has a part of a stream of this version; nullopt: any
    Ref<StreamRecord> m_streamRecord; // of the version at which the stream is about to begin
    int m_priority = 0;
    std::atomic<bool> m_refuseWaiting{false};
    std::uint64_t m_affinity = 0; // hash of all parts of the prompt but the last, or of the only part; 0: no prompt
    TimePoint m_target{}; // by when the answer should be sent, to be within the route's target latency
    // By when sending the answer must have started: ForwardSettings::answerMargin before the caller's deadline or the route's timeout, whichever
    // is earlier. During a planned stop it isn't later than the end of that.
    TimePoint m_deadline{};

    const RunContext m_context;
    const Ref<WakeupSignal> m_progress; // raised when a stage has ended, and by refuseWaiting()
    std::vector<StageState> m_stages;
    std::string m_preferredDataCentre; // data centre of the engine that will probably be chosen; empty: none is preferred
    TimePoint m_stagesDoneAt{}; // when the attempts at servers may begin; zero: not yet

    std::optional<QueuePlace> m_queuePlace; // while the request is admitted and wasn't sent yet
    std::set<std::string> m_tried; // ids of the instances that were chosen in earlier attempts
    unsigned m_failedConnections = 0; // attempts whose connection failed, so that nothing was sent
    unsigned m_sentCount = 0; // attempts that connected to a server, so that the request may have been sent
    bool m_mayHaveRun = false; // some server may have run the request
    bool m_repetitionGranted = false; // mayRepeat() has allowed the next attempt before this one has ended
    bool m_ownerChose = false; // the engine of the current attempt
    bool m_isProbe = false; // see CrashGuard::Admission
    std::string m_lastInstance;
    std::optional<PlacementDemand> m_placed; // the placement of the current attempt, until it is reported
    ErrorCode m_lastError = ErrorCode::NoFitServer;
    bool m_streamStarted = false; // the caller has got the head of a stream
    std::size_t m_replyHeadBytes = 0; // memory of the head of the reply that is being read
    std::optional<std::pair<ReplyHead, std::string>> m_serverFailure; // failure reply of a server; sent to the caller if no later attempt succeeds
    std::string m_lastEventId;
    std::string m_weightsVersion;
    TimePoint m_firstEventAt{};
    ForwardOutcome m_outcome;
};

} // namespace vanillanotch
