// vanillanotch daemon: builds a node from its parts, starts it and stops it. Makes no decisions of its own.
#pragma once

#include "backend/backend.h"
#include "frontend/frontend.h"
#include "peer/peer.h"

namespace vanillanotch
{

// All parts of a node, in order of construction; destruction goes the other way.
class Node
{
public:
    // The platform and the channel to backend servers are passed in, so that --demo can run on in-memory ones.
    Node(const NodeSettings &settings, Platform platform, std::unique_ptr<BackendChannel> channel, std::unique_ptr<MetricsRegistry> metrics);
    ~Node();
    // Binds the addresses and starts the timers; the node becomes ready later, once it has a configuration. ListenFailed: an address
    // can't be bound.
    Result<void> start();
    void stop(); // sends peers a leave notice, goes on serving for NodeSettings::balancerGrace, then waits up to NodeSettings::drainLimit for running requests
    // Host and port, as bound. Valid after start().
    std::string callerAddress() const;
    std::string operatorAddress() const;
    std::string peerAddress() const;
    ConfigurationService &configuration()
    {
        return m_configurationService;
    }
    RequestService &requests()
    {
        return *m_requestService;
    }

private:
    void startTimers();
    void registerGauges();
    void trimHeap(); // gives freed memory back to the system when there may be much of it
    void logPressure(); // writes a log line when callers' connections were closed or refused for lack of places or memory since the last call
    double accountShare() const; // share of each client account's rate that this node may serve, 0 to 1

    NodeSettings m_settings;
    SystemClock m_clock;
    std::unique_ptr<MetricsRegistry> m_metrics;
    Platform m_platform;
    std::unique_ptr<BackendChannel> m_backendChannel;
    std::unique_ptr<JournalStore> m_journalStore;
    std::unique_ptr<AnswerStore> m_answerStore;
    std::unique_ptr<ConfigurationStore> m_configurationStore;
    std::unique_ptr<AnswerCodec> m_codec;
    std::unique_ptr<AdmissionPolicy> m_admissionPolicy;
    std::unique_ptr<RetryPolicy> m_retryPolicy;
    std::unique_ptr<BackoffSleeper> m_backoffSleeper;
    ConfigurationTable m_configurations;
    std::atomic<Revision> m_heapTrimmedAtRevision{0}; // revision of the configuration that was in force when the heap was last trimmed
    std::atomic<std::uint64_t> m_heapTrimmedAtBytes{0}; // HttpServerUsage::releasedBytes of the callers' server at that time
    ConfigurationService m_configurationService;
    BackendServerTable m_servers;
    AccountTable m_accounts;
    StageEstimates m_estimates;
    Journal m_journal;
    RequestTable m_requests;
    SuspectTable m_suspects;
    CostTable m_costs;
    std::unique_ptr<PeerChannel> m_peerChannel;
    std::unique_ptr<PeerServer> m_peerServer;
    std::unique_ptr<MemberTable> m_members;
    std::unique_ptr<RequestService> m_requestService;
    std::unique_ptr<ControlPlane> m_control;
    std::unique_ptr<DutyStore> m_dutyStore;
    std::unique_ptr<EngineChannel> m_engineChannel;
    std::unique_ptr<DutyLease> m_engineOrdersLease;
    std::unique_ptr<EngineOrders> m_engineOrders;
    std::unique_ptr<CallerHandler> m_callerHandler;
    std::unique_ptr<OperatorHandler> m_operatorHandler;
    std::function<HttpServerUsage()> m_callerUsage; // of m_callerServer; the workers call it, which end after that server
    HttpServerUsage m_loggedUsage; // at the last call of logPressure(), which only one timer makes
    WorkerPool m_workers;
    TimerQueue m_timers;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_operatorServer;
};

} // namespace vanillanotch
