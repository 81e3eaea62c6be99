// One forwarded request from its admission to its answer; private to the forwarding library.
#pragma once

#include "forwarding/forwarding.h"

#include <random>

namespace vanillanotch
{

// How a request ended, for the log and the counters.
struct ForwardOutcome {
    int status = 0; // 0: the caller got no complete answer
    ErrorCode code = ErrorCode::CallerGone; // for status other than the server's
    bool answeredByServer = false;
};

// Runs on the calling thread from the first byte to the last.
class ForwardRun
{
public:
    ForwardRun(ForwardDependencies &parts, const ForwardSettings &settings, FrontExchange &exchange);
    ~ForwardRun();
    ForwardRun(const ForwardRun &) = delete;
    ForwardRun &operator=(const ForwardRun &) = delete;

    void execute();

private:
    using Step = Result<void>;
    // What an attempt has come to.
    enum class Verdict {
        Answered, // the caller has its final answer, or is gone
        NotRun, // another server may run it
        Unknown, // it may have run
        Failed, // it ran and failed
    };

    // [ADMISSION]
    Step admit();
    Step authenticate();
    void chooseService();

    // [STAGES]
    Step runStages();
    void submitReady();
    bool mayStart(std::size_t stage) const;
    bool isFollowed(std::size_t stage) const;
    Duration timeAfter(std::size_t stage) const;
    StageTask orderFor(std::size_t stage, unsigned pieces) const;
    Step collect();
    void planHome();
    std::vector<std::string> handlesOf(const std::vector<std::size_t> &stages) const;
    std::vector<std::string> finalHandles() const;
    void releaseResults();

    // [ATTEMPTS]
    void attempts();
    bool mayRepeat(Verdict verdict);
    Verdict attempt();
    unsigned ownTokens() const; // of the prompt's last part
    ServerCall prepareCall(const InstanceSpec &instance) const;
    TimePoint firstReplyLimit() const;
    Verdict readReply(UpstreamCall &call, const ReplyHead &head, InstanceLease &lease, TimePoint began);
    Verdict relayPlain(UpstreamCall &call, const ReplyHead &head, InstanceLease &lease, TimePoint began);
    Verdict relayStream(UpstreamCall &call, const ReplyHead &head, const ReplyFacts &facts, InstanceLease &lease, TimePoint began);
    bool forwardEvents(std::string &buffer, const ReplyHead &head, TimePoint began, bool complete);
    Verdict failed(const UpstreamFailure &failure, InstanceLease &lease, TimePoint began);

    // [ANSWERS]
    void refuse(ErrorCode code);
    void giveUp(ErrorCode code);
    void logEnd() const;
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

    ForwardDependencies &m_parts;
    const ForwardSettings &m_settings;
    FrontExchange &m_exchange;
    DeploymentRef m_deployment;
    CallerRequest m_request;
    const RouteSpec *m_route = nullptr;
    std::string m_service;
    std::string m_account;
    int m_priority = 0;
    std::uint64_t m_affinity = 0;
    TimePoint m_target{};
    TimePoint m_deadline{};

    Ref<WakeupSignal> m_progress;
    std::vector<StageState> m_stages;
    std::string m_homeDataCentre;
    TimePoint m_stagesDone{};

    std::set<std::string> m_tried;
    unsigned m_sent = 0; // servers that a request was sent to
    bool m_mayHaveRun = false;
    std::string m_lastInstance;
    ErrorCode m_lastError = ErrorCode::NoFitServer;
    std::optional<std::pair<ReplyHead, std::string>> m_failure; // a server's own failure, passed on when nothing better comes
    bool m_started = false; // the caller has the head of a stream
    std::string m_lastEvent;
    std::string m_weightsVersion;
    TimePoint m_firstEvent{};
    ForwardOutcome m_end;
};

} // namespace vanillanotch
