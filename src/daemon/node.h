// vanillanotch daemon: wiring of one node. Decides nothing.
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
    // The platform and the channel to backend servers are given, so that --demo can run on in-memory ones.
    Node(const NodeSettings &settings, Platform platform, std::unique_ptr<BackendChannel> channel, std::unique_ptr<MetricsRegistry> metrics);
    ~Node();
    Result<void> start(); // binds, then looks for a configuration; returns while the node is getting ready
    void stop(); // graceful: running requests finish, peers are told
    std::string callerAddress() const;
    std::string operatorAddress() const;
    std::string peerAddress() const;
    ConfigurationService &configuration()
    {
        return m_configurationService;
    }
    RequestService &requests()
    {
        return *m_service;
    }

private:
    void startTimers();
    double accountShare() const;

    NodeSettings m_settings;
    SystemClock m_clock;
    std::unique_ptr<MetricsRegistry> m_metrics;
    Platform m_platform;
    std::unique_ptr<BackendChannel> m_channel;
    std::unique_ptr<JournalStore> m_journalStore;
    std::unique_ptr<AnswerStore> m_kept;
    std::unique_ptr<ConfigurationStore> m_configurationStore;
    std::unique_ptr<AnswerCodec> m_codec;
    std::unique_ptr<AdmissionPolicy> m_admission;
    std::unique_ptr<RetryPolicy> m_retries;
    std::unique_ptr<BackoffSleeper> m_pause;
    ConfigurationTable m_configurations;
    std::atomic<Revision> m_trimmedRevision{0};
    ConfigurationService m_configurationService;
    BackendServerTable m_servers;
    AccountTable m_accounts;
    StageEstimates m_estimates;
    Journal m_journal;
    RequestTable m_requests;
    SuspectTable m_suspects;
    CostTable m_costs;
    std::unique_ptr<PeerChannel> m_peers;
    std::unique_ptr<PeerServer> m_peerServer;
    std::unique_ptr<MemberTable> m_members;
    std::unique_ptr<RequestService> m_service;
    std::unique_ptr<ControlPlane> m_duties;
    std::unique_ptr<DutyStore> m_dutyStore;
    std::unique_ptr<EngineChannel> m_engines;
    std::unique_ptr<DutyLease> m_ordersDuty;
    std::unique_ptr<EngineOrders> m_orders;
    std::unique_ptr<CallerHandler> m_callerHandler;
    std::unique_ptr<OperatorHandler> m_operatorHandler;
    WorkerPool m_workers;
    TimerQueue m_timers;
    SocketWatchdog m_watchdog;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_operatorServer;
};

} // namespace vanillanotch
