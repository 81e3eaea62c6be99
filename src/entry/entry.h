// vanillanotch entry library: wiring of a node on the users' platform, and its life from start to stop.
#pragma once

#include "peerhttp/peerhttp.h"
#include "platform/platform.h"
#include "wire/wire.h"

namespace vanillanotch
{

// Follows the operator's table.
class DeploymentListener final : public TableListener
{
public:
    DeploymentListener(DeploymentTable &table, MetricsRegistry &metrics);
    void snapshot(const StoredRows &rows, TimePoint asOf, bool afterTrouble) override;
    void changes(const StoredRows &rows, TimePoint asOf, bool afterTrouble) override;
    void setInstalledListener(std::function<void()> listener); // set once, before use

private:
    DeploymentTable &m_table;
    Counter &m_invalid;
    bool m_seen = false; // the store holds a configuration, and the newest one was read or tried
    std::function<void()> m_listener;
};

// Follows the servers' table.
class InstanceListener final : public TableListener
{
public:
    InstanceListener(InstanceTable &table, MetricsRegistry &metrics);
    void snapshot(const StoredRows &rows, TimePoint asOf, bool afterTrouble) override;
    void changes(const StoredRows &rows, TimePoint asOf, bool afterTrouble) override;

private:
    std::optional<InstanceSpec> decode(const StoredRow &row);

    InstanceTable &m_table;
    Counter &m_invalid;
};

// Follows the table in which nodes say where they are.
class MemberListener final : public TableListener
{
public:
    explicit MemberListener(MemberTable &table);
    void snapshot(const StoredRows &rows, TimePoint asOf, bool afterTrouble) override;
    void changes(const StoredRows &rows, TimePoint asOf, bool afterTrouble) override;

private:
    MemberTable &m_table;
};

class CallersHandler final : public FrontHandler
{
public:
    CallersHandler(ForwardService &service, DeploymentTable &deployments);
    void serve(FrontExchange &exchange) override;
    std::string describeError(ErrorCode code) override;
    FrontLimits limits() override;

private:
    ForwardService &m_service;
    DeploymentTable &m_deployments;
};

// Answers the balancer.
class ReadinessHandler final : public FrontHandler
{
public:
    ReadinessHandler(DeploymentTable &deployments, const std::atomic<bool> &leaving);
    void serve(FrontExchange &exchange) override;
    std::string describeError(ErrorCode code) override;
    FrontLimits limits() override;

private:
    DeploymentTable &m_deployments;
    const std::atomic<bool> &m_leaving;
    std::atomic<bool> m_wasReady{false};
};

class EntryNode
{
public:
    explicit EntryNode(const EntrySettings &settings);
    ~EntryNode();
    Result<void> start(); // ListenFailed
    void stop(); // graceful: serves on until the balancer has noticed, then finishes what runs

private:
    void announce(); // tells the other nodes through the store; tries again until it is known to have worked
    RelayedStore::Choice chooseRelay() const;
    void waitUntil(TimePoint time, const std::function<bool()> &done);

    const EntrySettings m_settings;
    SystemClock m_clock;
    MetricsRegistry m_metrics;
    UpstreamSettings m_upstream;
    GrowingPool m_pool;
    WorkerPool m_background;
    TimerQueue m_timers;
    DeploymentTable m_deployments;
    InstanceTable m_instances;
    MemberTable m_members;
    ServiceRetryBudget m_allowance;
    EngineTimeEstimator m_engineTimes;
    StatedDeadlines m_statedDeadlines;
    std::unique_ptr<StateStore> m_store;
    std::unique_ptr<RelayChannel> m_relays;
    RelayedStore m_relayedStore;
    StoreFailureTracker m_trouble;
    TableCache m_deploymentCache;
    TableCache m_instanceCache;
    TableCache m_memberCache;
    std::unique_ptr<RequestCodec> m_codec;
    std::unique_ptr<StageChannel> m_stageChannel;
    std::unique_ptr<StagePeerChannel> m_stagePeers;
    std::unique_ptr<ChoicePolicy> m_serverChoice;
    std::unique_ptr<ChoicePolicy> m_engineChoice;
    ResultReleaser m_releaser;
    StageScheduler m_scheduler;
    OwnerStageExecutor m_stages;
    ForwardService m_service;
    DeploymentListener m_deploymentListener;
    InstanceListener m_instanceListener;
    MemberListener m_memberListener;
    TableWatch m_deploymentWatch;
    TableWatch m_instanceWatch;
    TableWatch m_memberWatch;
    std::atomic<bool> m_leaving{false};
    CallersHandler m_callersHandler;
    ReadinessHandler m_readinessHandler;
    PeerHandler m_peerHandler;
    std::unique_ptr<FrontServer> m_callers;
    std::unique_ptr<FrontServer> m_readiness;
    std::unique_ptr<FrontServer> m_peers;
};

} // namespace vanillanotch
