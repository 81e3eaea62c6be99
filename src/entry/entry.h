// vanillanotch entry library: builds a node of vanillanotch-entryd from its parts, starts it and stops it. This daemon runs on the
// existing platform of the organisation that deploys it, which provides the store and the load balancer. platform/platform.h adapts to
// that platform's formats and calls.
#pragma once

#include "peerhttp/peerhttp.h"
#include "platform/platform.h"
#include "wire/wire.h"

namespace vanillanotch
{

// Receives the rows of the table, in the platform's store, in which the operator keeps the configuration. Decodes the row that holds the
// configuration document and puts the result in force in the DeploymentTable. Other rows of the table state evacuated data centres; they are passed
// on to the InstanceTable, before the configuration that was read with them comes into force.
class DeploymentListener final : public TableListener
{
public:
    DeploymentListener(DeploymentTable &table, InstanceTable &instances, MetricsRegistry &metrics);
    void snapshot(const StoredRows &rows, TimePoint asOf, Duration storeWorksFor) override;
    void changes(const StoredRows &rows, TimePoint asOf, Duration storeWorksFor) override;
    // `listener` is called whenever a new version of the configuration has come into force. Set it once, before the first rows come.
    void setInstalledListener(std::function<void()> listener);
    // `source` returns documents that are in force at other nodes and newer than this version. It is asked when the store's copy may be an older one than they
    // have seen: at the first read, and in each new era. Set it once, before the first rows come.
    void setPeerSource(std::function<std::vector<std::string>(std::uint64_t version)> source);

private:
    void install(const std::string &document, std::uint64_t rowVersion);
    void applyEvacuations(const StoredRows &rows, TimePoint asOf);
    void applyConfiguration(const StoredRows &rows, TimePoint asOf);

    DeploymentTable &m_table;
    InstanceTable &m_instances;
    bool m_askPeers = true; // other nodes may know of a newer configuration
    std::uint64_t m_era = 0; // of the table's latest rows; 0: none yet
    std::set<std::string> m_evacuated; // data centres, by the table's rows
    std::map<std::string, TimePoint> m_held; // data centres whose evacuation the store's copy has forgotten: until when it holds all the same
    Counter &m_invalid; // documents that can't be decoded
    bool m_seen = false; // true: the latest whole read of the table, or a change after it, had a configuration document, valid or not
    std::function<void()> m_listener;
    std::function<std::vector<std::string>(std::uint64_t version)> m_peerSource = [](std::uint64_t /*version*/) {
        return std::vector<std::string>();
    };
};

// Receives the rows of the table in which instances of backend servers register, and passes them on to the InstanceTable.
class InstanceListener final : public TableListener
{
public:
    InstanceListener(InstanceTable &table, MetricsRegistry &metrics);
    void snapshot(const StoredRows &rows, TimePoint asOf, Duration storeWorksFor) override;
    void changes(const StoredRows &rows, TimePoint asOf, Duration storeWorksFor) override;
    // `listener` is called with the store's era at each answer. Set it once, before the first rows come.
    void setEraListener(std::function<void(std::uint64_t era)> listener);

private:
    std::optional<InstanceSpec> decode(const StoredRow &row); // nullopt: the entry can't be decoded; logged and counted

    InstanceTable &m_table;
    Counter &m_invalid; // entries that can't be decoded
    TimePoint m_asOf{}; // of the latest rows (suspend-aware clock); zero: none yet
    std::function<void(std::uint64_t era)> m_eraListener = [](std::uint64_t /*era*/) {
    };
};

// Receives the rows of the members' table, in which each node publishes the address for calls from other nodes, and passes them on to the
// MemberTable.
class MemberListener final : public TableListener
{
public:
    // `onRead` is called after each read of the whole table, `onChanged` after each answer with rows, `onSelfMissing` when this node's own row
    // isn't in the table any more, or not yet. All run on the thread of the watch.
    MemberListener(MemberTable &table, std::function<void()> onRead, std::function<void()> onChanged, std::function<void()> onSelfMissing);
    bool hasRead() const // the whole table was read since the start; until then this node doesn't know whether there are others
    {
        return m_hasRead;
    }
    bool selfListed() const // this node's own row was in the table when it was seen last
    {
        return m_selfListed;
    }
    void snapshot(const StoredRows &rows, TimePoint asOf, Duration storeWorksFor) override;
    void changes(const StoredRows &rows, TimePoint asOf, Duration storeWorksFor) override;

private:
    void remove(const std::string &name);
    MemberRecord asListedNow(MemberRecord record) const; // newer than the known one, if that says that the member has left

    MemberTable &m_table;
    const std::function<void()> m_onRead;
    const std::function<void()> m_onChanged;
    const std::function<void()> m_onSelfMissing;
    std::atomic<bool> m_selfListed{false};
    std::atomic<bool> m_hasRead{false};
};

// Table of the platform's store in which the nodes share what they know of requests that crash servers.
extern const std::string CrashesTable;
RowWrite encodeCrashRow(const CrashRow &row); // a Probe row must be new
Result<CrashRow> decodeCrashRow(const StoredRow &row); // errors: DocumentInvalid

// Writes to CrashesTable. Rows that come within a short time are written in one call, which is repeated until it succeeds.
class StoreCrashLedger final : public CrashLedger
{
public:
    StoreCrashLedger(StateStore &store, GrowingPool &pool, TimerQueue &timers);
    void share(const CrashReport &report) override;
    void shareCleared(const std::string &trait) override;
    bool claimProbe(const std::string &trait, unsigned probe) override;

private:
    void enqueue(RowWrite row);
    void planWrite(Duration pause);
    void write(); // writes what waits, at most StateStore::MaxRowsOfWrite rows

    StateStore &m_store;
    GrowingPool &m_pool;
    TimerQueue &m_timers;
    RankedMutex m_mutex{LockRank::TableCaches};
    std::deque<RowWrite> m_waiting;
    bool m_planned = false; // write() is about to run, or runs
    Duration m_retryPause; // after the next failure; used by write() only
};

// Keeps the software versions of streams in tables of the platform's store, a row for each stream and for each service's default version.
class StoreStreamLedger final : public StreamLedger
{
public:
    explicit StoreStreamLedger(RowStore &store);
    Result<std::optional<std::string>> versionOf(const std::string &stream, Duration timeout) override;
    Result<void> record(const std::string &stream, const std::string &version, bool replaces, Duration timeout) override;
    std::vector<StreamVersion> recordAll(const std::vector<StreamVersion> &streams, Duration timeout) override;
    Result<DefaultVersion> defaultOf(const std::string &service, Duration timeout) override;
    Result<void> replaceDefault(const std::string &service, const DefaultVersion &replaced, const std::string &version, Duration timeout) override;
    // Removes records that were there at the call before; calls must be further apart than a stream lasts. For one node at a time, and one thread.
    void removeOld(Duration timeout);

private:
    RowStore &m_store;
    std::map<std::string, StorePosition> m_seen; // when each row was written, by key, at the latest call
};

// Receives the rows of CrashesTable and passes them on to the CrashTable.
class CrashListener final : public TableListener
{
public:
    CrashListener(CrashTable &table, CrashLedger &ledger); // `ledger` gets what the table has lost
    void snapshot(const StoredRows &rows, TimePoint asOf, Duration storeWorksFor) override;
    void changes(const StoredRows &rows, TimePoint asOf, Duration storeWorksFor) override;

private:
    CrashTable &m_table;
    CrashLedger &m_ledger;
};

// Serves callers' requests: passes them to the ForwardService.
class ForwardHandler final : public FrontHandler
{
public:
    ForwardHandler(ForwardService &service, DeploymentTable &deployments);
    void serve(FrontExchange &exchange) override;
    std::string describeError(ErrorCode code) override;
    FrontLimits limits() override;

private:
    ForwardService &m_service;
    DeploymentTable &m_deployments;
};

// Answers the load balancer's readiness checks: 200 while new connections may come to this node, else 503. A request that isn't such a check gets 404.
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
    std::atomic<bool> m_wasReady{false}; // whether this node was ready at the previous check; a change is logged
};

// What the callers, the load balancer's readiness checks and the other nodes may use of a VM, each for itself, so that none of them takes it all.
struct NodeCapacity {
    FrontCapacity callers;
    FrontCapacity readiness;
    FrontCapacity peers;
    std::size_t runningRequests = 0; // of callers, at the same time
};
// Divides the VM's memory (bytes) and the process's descriptors.
NodeCapacity planCapacity(std::size_t memory, std::size_t descriptors);
// The smaller of the stated number of descriptors (0: none is stated) and of the process's limit.
std::size_t descriptorLimit(std::size_t stated);

// All parts of a node, in order of construction; destruction goes the other way.
class EntryNode
{
public:
    explicit EntryNode(const EntrySettings &settings);
    ~EntryNode();
    // Binds the addresses, starts to follow the store's tables, and has this node's row written to the members' table in the background.
    // ListenFailed: an address can't be bound.
    Result<void> start();
    // Stops gracefully: reports not ready and goes on serving until the load balancer has noticed, then closes idle connections and waits
    // for the running requests. Returns when none runs any more, or else shortly before the settings' stopLimit has passed since the call.
    void stop();

private:
    void publishNodes(); // tells the parts that divide something among the nodes which ones there are
    std::vector<MemberRecord> otherNodes() const; // that are alive
    std::function<void(std::string_view)> statementReader(const std::string &server); // TunnelServing::observe
    std::vector<std::string> configurationsOfPeers(std::uint64_t newerThan); // documents in force at some other nodes
    void followTables(); // starts to follow the tables of the configuration and of backend servers, once
    void beginAnnouncing(); // has announce() run on the pool, unless it is about to run already
    void announce(); // writes this node's row to the members' table; after a failure it repeats the write until the store confirms it or the node stops
    void registerGauges(const std::string &server, const FrontServer &front); // of one of the servers; `server`: its label
    bool removesExpiredRows() const; // whether that is this node's duty
    void removeExpiredRows();
    void waitUntil(TimePoint time, const std::function<bool()> &done); // returns at that time, or earlier when done() is true

    const EntrySettings m_settings;
    SystemClock m_clock;
    MetricsRegistry m_metrics;
    UpstreamSettings m_upstream;
    const NodeCapacity m_capacity;
    GrowingPool m_pool; // calls of stages, to the store and to other nodes
    GrowingPool m_callerPool; // callers' requests
    GrowingPool m_peerPool; // calls from other nodes
    GrowingPool m_readinessPool; // the load balancer's checks
    WorkerPool m_background;
    TimerQueue m_timers;
    DeploymentTable m_deployments;
    InstanceTable m_instances;
    MemberTable m_members;
    ServiceRetryBudget m_retryBudget;
    EngineTimeEstimator m_engineTimes;
    StatedDeadlines m_statedDeadlines;
    std::unique_ptr<StateStore> m_store;
    std::unique_ptr<RowStore> m_rowStore;
    std::unique_ptr<RelayChannel> m_relayChannel;
    RelayedStore m_relayedStore;
    StoreHealth m_storeHealth;
    TableCache m_deploymentCache;
    TableCache m_instanceCache;
    TableCache m_memberCache;
    TableCache m_crashCache;
    std::unique_ptr<RequestCodec> m_codec;
    std::unique_ptr<TunnelChannel> m_tunnelChannel;
    Reachability m_reachability;
    GatewayChooser m_gateways;
    DirectDialer m_directDialer;
    TunnelDialer m_serverDialer;
    const UpstreamSettings m_serverUpstream; // m_upstream for calls to backend servers
    TunnelGate m_tunnelGate;
    TunnelServing m_tunnelServing;
    std::unique_ptr<StageChannel> m_stageChannel;
    std::unique_ptr<StagePeerChannel> m_stagePeers;
    std::unique_ptr<ChoicePolicy> m_serverChoice;
    std::unique_ptr<ChoicePolicy> m_engineChoice;
    CrashTable m_crashes;
    StoreCrashLedger m_crashLedger;
    CrashGuard m_crashGuard;
    StoreStreamLedger m_streamLedger;
    std::unique_ptr<DeploymentPeerChannel> m_deploymentPeers;
    std::unique_ptr<StreamPeerChannel> m_streamPeerChannel;
    StreamPeers m_streamPeers;
    StreamVersions m_streamVersions;
    ResultReleaser m_releaser;
    StageScheduler m_scheduler;
    OwnerStageExecutor m_stages;
    std::unique_ptr<PlacementChannel> m_placementChannel;
    PlacementOwner m_placementOwner;
    OwnedPlacement m_placement;
    ForwardService m_service;
    DeploymentListener m_deploymentListener;
    InstanceListener m_instanceListener;
    MemberListener m_memberListener;
    CrashListener m_crashListener;
    TableWatch m_deploymentWatch;
    TableWatch m_instanceWatch;
    TableWatch m_memberWatch;
    TableWatch m_crashWatch;
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_following{false}; // followTables() was called
    std::atomic<bool> m_announcing{false}; // a write of this node's row is under way or will be repeated
    ForwardHandler m_forwardHandler;
    ReadinessHandler m_readinessHandler;
    PeerHandler m_peerHandler;
    std::unique_ptr<FrontServer> m_callerServer;
    std::unique_ptr<FrontServer> m_readinessServer;
    std::unique_ptr<FrontServer> m_peerServer;
};

} // namespace vanillanotch
