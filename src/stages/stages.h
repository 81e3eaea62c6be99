// vanillanotch stages library: schedules the stages of a request at the instances of backend servers. A stage is work that must be done
// before the request itself can run. A stage is split into pieces, and one call to an instance may hold pieces of several requests. An
// instance is a running copy of a backend server; a service is the set of all instances that run the same backend server, as configured
// (ServiceSpec). An instance has a slot for each call that it runs at the same time. The instance stores the result of each piece and names
// the result by a handle. Later stages, and the server of the request itself, read the result by its handle until the result is released or
// its lifetime ends. The owner of a service, or of a group of its instances (InstanceGroup), is the node that schedules the pieces there
// for all nodes. A node is one vanillanotch process; it runs on an entry VM, a VM that receives callers' requests. The other nodes are its
// peers. The nodes that are known are listed as members in a MemberTable. A route is the configured entry that a request matches by host
// and path; it lists the stages. The declared time of a call is computed from the StageCapacity of the service and the number of pieces in
// the call.
//
// Index of sections:
//   runs.h      StageTask, StageRun: the work of one stage for one request, and its execution
//   [CHANNEL]   StageChannel: one call to one instance for several pieces; StagePeerChannel: calls to other nodes
//   batches.h   planBatch, shedLate: which waiting pieces an instance gets next, which ones are refused; StageBacklog, lateStep: work at other nodes
//   [RESULTS]   ResultReleaser: releases results that are no longer needed
//   [SCHEDULER] StageScheduler: queues of pieces, and the state of the instances that this node schedules
//   [OWNERS]    OwnerStageExecutor: one node schedules each service or instance group; the other nodes send their tasks to it
//
// Rules this aggregate enforces:
//   - a request whose pieces have crashed instances is found, and sent to no further ones (crashes/crashes.h);
//   - a piece is completed once, with a result that was made for its request, its stage and its index among the pieces of the stage;
//   - this node never has more calls running at an instance than the instance has slots;
//   - pieces of a cancelled request are not sent, and its results are released.
#pragma once

#include "base/base.h"
#include "crashes/crashes.h"
#include "deployment/deployment.h"
#include "fleet/fleet.h"
#include "instances/instances.h"
#include "placement/placement.h"
#include "stages/batches.h"
#include "transport/transport.h"

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [CHANNEL]
//-----------------------------------------------------------------------------

struct PieceCall {
    const StageTask *task = nullptr;
    unsigned piece = 0;
};

enum class PieceError {
    None,
    DeadlineExceeded, // the deadline of the piece's task has passed
    InputMissing, // a result that the piece reads as input no longer exists
    ResultStorageFull, // the instance has no storage for the result
    Failed // any other failure; the piece may be sent again
};

struct PieceOutcome {
    std::string handle; // of the result; empty: the piece failed
    PieceError error = PieceError::None;
};

struct BatchReply {
    std::vector<PieceOutcome> outcomes; // one for each piece of the call, in the same order
    std::optional<ReportedLoad> load;
    InstanceStatement statement;
};

// Why a call to an instance failed, and what the instance said of itself if it answered.
struct StageCallFailure : UpstreamFailure {
    StageCallFailure(const UpstreamFailure &failure, InstanceStatement said = {})
        : UpstreamFailure(failure)
        , statement(said)
    {
    }
    InstanceStatement statement;
    bool crashed = false; // the connection was lost, and the instance accepts no other one
};

class StageChannel
{
public:
    virtual ~StageChannel() = default;
    // Runs the pieces at the instance in one call, and blocks until the instance has replied. The tasks' deadlines are sent as the time
    // that is left at `now`. The call times out at `until`.
    // Errors: ConnectFailed, ConnectionLost, ServerTimeout, InvalidReply, ServerBusy, WrongInstance.
    virtual tl::expected<BatchReply, StageCallFailure> run(const InstanceSpec &instance, const std::vector<PieceCall> &pieces, TimePoint now,
                                                           TimePoint until) = 0;
    virtual Result<void> release(const std::string &address, const std::vector<std::string> &handles, TimePoint until) = 0;
};

struct StageTaskReply {
    Result<std::vector<std::string>> handles = fail(ErrorCode::PeerUnavailable); // of the results, by piece, or the error with which the run failed
    std::optional<Duration> expectedWait; // of a new task at the owner; nullopt: not stated
};

// Sends one stage task to another node, which runs all of it.
class StagePeerChannel
{
public:
    virtual ~StagePeerChannel() = default;
    // Blocks until the peer has answered.
    // CallerDisconnected: the run was cancelled here. PeerUnavailable: the call failed. The task's target and deadline are sent as the
    // time that is left at `now`.
    // After each `silenceLimit` without an answer `alive` is called; when it returns false, the call ends with PeerUnavailable.
    virtual StageTaskReply run(const std::string &peerAddress, const StageTask &task, TimePoint now, Duration silenceLimit, CancellationWatch &cancellation,
                               const std::function<bool()> &alive) = 0;
    virtual Result<void> release(const std::string &peerAddress, const std::vector<std::string> &handles, TimePoint until) = 0;
    virtual bool isAlive(const std::string &peerAddress, TimePoint until) = 0; // liveness check: true if the peer answers before `until`
};

//-----------------------------------------------------------------------------
// [RESULTS]
//-----------------------------------------------------------------------------

// Takes the handles of results that are no longer needed, and has the results released.
class ResultSink
{
public:
    virtual ~ResultSink() = default;
    virtual void release(const std::vector<std::string> &handles) = 0;
};

class ResultListener
{
public:
    virtual ~ResultListener() = default;
    virtual void onReleased(const std::vector<std::string> &handles) = 0; // called after these results were released, so their storage is free again
};

struct ReleaseSettings {
    // Handles are collected for this long, then released in one call to each instance. Short, because storage for results is scarce.
    std::chrono::milliseconds interval{10};
    std::chrono::milliseconds callTimeout{1000}; // timeout of one release call
};

// Releases results at the instances that made them.
class ResultReleaser final : public ResultSink
{
public:
    ResultReleaser(StageChannel &channel, TimerQueue &timers, GrowingPool &pool, ReleaseSettings settings = {});
    void release(const std::vector<std::string> &handles) override;
    void setListener(ResultListener *listener); // call it once, before use

private:
    void flush();

    ResultListener *m_listener = nullptr;
    StageChannel &m_channel;
    TimerQueue &m_timers;
    GrowingPool &m_pool;
    const ReleaseSettings m_settings;
    RankedMutex m_mutex{LockRank::Results};
    std::map<std::string, std::vector<std::string>> m_byAddress; // handles to be released, by instance address
    bool m_scheduled = false;
};

// Address of the instance that made the result, as named in its handle; empty: the handle names none.
std::string addressOfHandle(const std::string &handle);

//-----------------------------------------------------------------------------
// [SCHEDULER]
//-----------------------------------------------------------------------------

// Limits how many calls this node repeats after a failure. Counted for each service.
class RetryBudget
{
public:
    virtual ~RetryBudget() = default;
    virtual void recordFirstCall(const std::string &service) = 0;
    virtual bool tryTake(const std::string &service) = 0; // takes one repeated call from the budget; false: the budget is used up for now
};

struct StageDependencies {
    const Clock &clock;
    DeploymentTable &deployments;
    InstanceTable &instances;
    StageChannel &channel;
    RetryBudget &retryBudget;
    CrashGuard &crashGuard;
    ResultReleaser &releaser;
    GrowingPool &pool;
    TimerQueue &timers;
    MetricsRegistry &metrics;
};

struct SchedulerSettings {
    BatchSettings batches;
    std::chrono::milliseconds busyBackoff{60}; // no call to an instance for this long after the instance was overloaded or had no storage for a result
    std::chrono::milliseconds failureBackoff{1000}; // no call to an instance for this long after a call to it failed
    // While pieces wait in a queue, for example for a nearer or faster instance, the scheduler looks again after this time whether they can
    // be sent.
    std::chrono::milliseconds recheckInterval{40};
    double usableStorageShare = 0.95; // share of an instance's result storage that is used; less than 1 because result sizes are approximate
    // Timeout of a call: this many times its declared time, plus callTimeoutBase. More than 5, because a slow server takes five times the
    // declared time.
    double callTimeoutFactor = 6;
    std::chrono::milliseconds callTimeoutBase{600}; // fixed part of the timeout of a call
    // An instance that has no storage for a result although this node knows of free storage holds results that this node doesn't know of, for
    // example those that a former owner had made there. They are taken to be released with this half-life.
    std::chrono::milliseconds unknownResultsHalfLife{300};
    std::chrono::milliseconds slownessHalfLife{3000}; // after a measurement, an instance's slowness moves back towards 1 with this half-life
};

// Queues the pieces of stage tasks and sends them in batches to the instances of their services. To plan a queue is to decide which of its
// pieces are sent to which free instance. Thread-safe.
class StageScheduler final : public StageExecutor, public ResultListener
{
public:
    StageScheduler(StageDependencies dependencies, SchedulerSettings settings = {});
    void submit(const Ref<StageRun> &run) override;
    Duration expectedWait(const std::string &service, const std::string &dataCentre) override; // in the queues of all groups, whatever the data centre
    Duration expectedWait(const std::string &service, const InstanceGroup &group) const; // of a new task that isn't late
    void instancesChanged(); // to be called when instances may have become usable; plans all queues that have waiting pieces
    void release(const std::vector<std::string> &handles); // releases results at their instances, whichever node's task made them
    void onReleased(const std::vector<std::string> &handles) override;
    std::size_t waitingPieces() const; // in all queues of this node

private:
    struct InstanceState {
        unsigned calls = 0; // number of calls that are running
        TimePoint freeAt{}; // expected end of the call that was started last
        TimePoint blockedUntil{}; // no call before then
        double slowness = 1; // moving average of measured call time / declared call time
        TimePoint measuredAt{}; // when the slowness was measured
        std::size_t reservedBytes = 0; // results of the running calls, approximate
        std::size_t storedBytes = 0; // results made and not yet released, approximate
        std::size_t unknownBytes = 0; // estimated size of further results, at the moment unknownAt
        TimePoint unknownAt{};
        // Expiry time and handle, in the order in which the calls ended. Results that were released in the meantime are still listed.
        std::deque<std::pair<TimePoint, std::string>> storedResults;
    };
    struct StoredResult {
        std::string instance;
        std::size_t bytes = 0;
    };
    struct TaskQueue {
        void add(PendingPieces &&entry, TimePoint now);

        std::vector<PendingPieces> entries;
        bool recheckScheduled = false; // a timer will plan the queue again
        Duration onTimeWait{}; // expected time for the pieces whose target has not passed, when the queue was planned last
        ThroughputMeter throughput;
    };
    using QueueKey = std::tuple<std::string, std::size_t, std::size_t>; // service, index and count of the instance group
    struct Dispatch {
        InstanceSpec instance;
        std::vector<BatchPick> batch;
        StageCapacity capacity;
        std::size_t freeResultBytes = 0; // free result storage before the call, bytes; 0: no limit stated
        std::size_t leftWaiting = 0; // pieces still in the queue
    };
    double slownessOf(const InstanceState &state, TimePoint now) const;
    std::size_t freeResultBytes(const InstanceState &state, const StageCapacity &capacity, TimePoint now) const; // not 0
    void recordResultLocked(const std::string &instance, const std::string &handle, std::size_t bytes, Duration life);
    void removeResultLocked(const std::string &handle);
    void expireResultsLocked(InstanceState &state, TimePoint now);
    static QueueKey keyOf(const StageTask &task);
    std::vector<Ref<StageRun>> shedLocked(TaskQueue &queue, const StageCapacity &capacity, std::size_t instanceCount, TimePoint now);
    // Moves the pieces whose group holds no instances for them any more to one that does; returns the queues that they are in now. Where evacuations
    // or their scopes leave them no instance at all, their runs fail.
    std::set<QueueKey> regroupLocked(const QueueKey &key, TaskQueue &queue);
    // Largest batch for the instances of a data centre: smaller while that gets its load back after an evacuation.
    std::size_t maxBatchIn(const std::string &dataCentre, const InstanceList &instances, std::size_t maxBatch) const;
    void removeBlockedLocked(TaskQueue &queue); // fails the runs of requests that seem to crash instances
    bool recordCrash(const Dispatch &dispatch, const Ref<StageRun> &run); // false: the run has failed, so its pieces aren't sent again
    void failRun(const Ref<StageRun> &run, ErrorCode code); // also releases the results of the run's completed pieces
    std::vector<Dispatch> planLocked(const QueueKey &key, TaskQueue &queue, const StageCapacity &capacity);
    void dispatch(const QueueKey &key);
    void runBatch(const QueueKey &key, const Dispatch &dispatch);
    void handleReply(const QueueKey &key, const Dispatch &dispatch, const BatchReply &reply);
    void handleFailure(const QueueKey &key, const Dispatch &dispatch, const StageCallFailure &failure);
    void requeue(const QueueKey &key, const std::vector<BatchPick> &picks, bool charged);
    std::optional<StageCapacity> capacityOf(const std::string &service) const;

    StageDependencies m_dependencies;
    const SchedulerSettings m_settings;
    mutable RankedMutex m_mutex{LockRank::Stages};
    std::map<QueueKey, TaskQueue> m_queues;
    std::map<std::string, InstanceState> m_instanceStates; // by instance id
    std::unordered_map<std::string, StoredResult> m_storedResults; // by handle
};

//-----------------------------------------------------------------------------
// [OWNERS]
//-----------------------------------------------------------------------------

struct OwnerSettings {
    // With StageAssignment::OwnerGroups: the number of owners of a service is the number of its instances divided by this, rounded down, but
    // at least one and at most the number of data centres that hold instances of the service.
    std::size_t instancesPerOwner = 4;
    unsigned maxOwners = 4; // owners that are tried one after the other before this node runs the task itself
    std::chrono::milliseconds peerBackoff{2000}; // a peer that failed gets no task for this long; doubles with each further failure
    std::chrono::milliseconds maxPeerBackoff{16000};
    // A group this many of whose candidates failed a short time ago can probably not be reached at all; its tasks go to another group.
    std::size_t unreachableCandidates = 2;
    // A task goes to another group than that of its preferred data centre when it would wait this much less there. Work whose results or
    // inputs are large stays for longer, since their transfer is costly.
    std::chrono::milliseconds groupAdvantage{250};
    std::chrono::milliseconds largeTransferAdvantage{700};
    std::size_t largeTransferBytes = 500'000;
    std::chrono::milliseconds planLifetime{300}; // how long an OwnerPlan is used before it is made anew from the members and instances
    std::chrono::milliseconds releaseInterval{10}; // handles of results to be released are collected for this long, then sent in one call to each owner
    // Timeout of a release call to an owner. If the call fails, this node releases the results itself; those that are still not
    // released expire at their instance.
    std::chrono::milliseconds releaseTimeout{500};
    std::chrono::milliseconds peerSilenceLimit{700}; // an owner without a reply for this long gets a liveness check; stage calls take about a third of this
    std::chrono::milliseconds livenessTimeout{400}; // timeout of the liveness check; an owner that doesn't answer is treated as unavailable
};

// How stage tasks are assigned to the nodes.
enum class StageAssignment {
    EachNode, // each node schedules its own tasks and calls the instances itself
    Owners, // all tasks of a service go to one node, chosen by rendezvous hashing
    OwnerGroups, // like Owners, but a service with many instances has one owner for each instance group
};

// The instances of one service, as input to planOwners().
struct OwnedService {
    std::string name;
    std::size_t groups = 1;
    std::vector<std::string> dataCentres; // that hold its instances, sorted by name
};

// The members that may schedule each instance group, in the order in which they are to do it: by service and index of the group. Prefers
// members of the data centres that hold the group's instances, so that a data centre that is cut off has owners of its own, and among
// them those with at least half of the cores of the largest one: a small VM can't schedule for all others in a burst. Groups are spread
// evenly over these members. At most `limit` members for a group. Every node makes the same plan from the same members.
std::map<std::string, std::vector<std::vector<MemberRecord>>> planOwners(const std::vector<OwnedService> &services, const std::vector<MemberRecord> &members,
                                                                         std::size_t limit);

// Sends stage tasks to the owners of their services or instance groups. Handles of results to be released are sent to the owners as well,
// because the owner tracks how much storage for results is in use at each instance.
class OwnerStageExecutor final : public StageExecutor, public ResultSink, public EngineOwnerLookup
{
public:
    OwnerStageExecutor(StageDependencies dependencies, StageScheduler &local, StagePeerChannel &peers, MemberTable &members, StageAssignment assignment,
                       OwnerSettings settings = {});
    void submit(const Ref<StageRun> &run) override;
    Duration expectedWait(const std::string &service, const std::string &dataCentre) override;
    void release(const std::vector<std::string> &handles) override;
    void publishOwned(); // tells the InstanceTable which instances this node calls as the first candidate for owner; to be called about once a second
    std::optional<MemberRecord> engineOwner(const std::string &service, const std::string &dataCentre) override;

private:
    struct OwnerPlan : RefCounted<OwnerPlan> {
        std::map<std::string, OwnedService> services; // by name
        std::map<std::string, std::vector<std::vector<MemberRecord>>> candidates; // result of planOwners()
        TimePoint madeAt{};
    };
    Ref<const OwnerPlan> currentPlan();
    std::size_t pausedCandidates(const std::vector<MemberRecord> &candidates) const; // how many of them failed a short time ago
    InstanceGroup groupFor(const std::string &service, const std::string &dataCentre, std::size_t crossDataCentreBytes, const DataCentreScope &scope = {});
    InstanceGroup preferredGroup(const OwnerPlan &plan, const std::string &service, const std::string &dataCentre) const;
    // nullopt: this node is the owner. `scoped`: of a restricted task, which members that don't heed scopes don't get.
    std::optional<MemberRecord> ownerOf(const std::string &service, const InstanceGroup &group, bool scoped = false);
    void dispatchToOwner(const Ref<StageRun> &run, unsigned ownersLeft); // `ownersLeft`: number of owners that may still be tried
    void flush();
    void runAtPeer(const Ref<StageRun> &run, const MemberRecord &owner, unsigned ownersLeft);
    void recordReply(const std::string &member);
    bool alive(const MemberRecord &member);

    StageDependencies m_dependencies;
    StageScheduler &m_local;
    StagePeerChannel &m_peers;
    MemberTable &m_members;
    const StageAssignment m_assignment;
    const OwnerSettings m_settings;
    mutable RankedMutex m_mutex{LockRank::StageOwners};
    Ref<const OwnerPlan> m_plan;
    StageBacklog m_backlog; // of the groups that other nodes own
    struct PeerState {
        TimePoint pausedUntil{}; // it gets no task before this time
        unsigned failures = 0; // in a row
        TimePoint lastReplyAt{};
    };
    std::map<std::string, PeerState> m_peerStates; // by member name
    std::vector<std::string> m_unused; // handles of results to be released
    bool m_flushScheduled = false;
};

} // namespace vanillanotch
