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
//   [TASKS]     StageTask, StageRun: the work of one stage for one request, and its execution
//   [CHANNEL]   StageChannel: one call to one instance for several pieces; StagePeerChannel: calls to other nodes
//   [BATCHES]   planBatch: which waiting pieces an instance gets next; shedLate: which ones are refused
//   [BACKLOG]   StageBacklog: how long tasks wait at other nodes; lateStep: which requests are refused before their first stage
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
#include "transport/transport.h"

#include <tuple>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [TASKS]
//-----------------------------------------------------------------------------

// One group of the instances of a service, scheduled together by one node. The data centres that hold instances of the
// service are sorted by name; the one at position p, counted from 0, belongs to group p modulo `count`.
struct InstanceGroup {
    std::size_t index = 0; // from 0
    std::size_t count = 1; // number of groups of the service
};

// The work of one stage for one request, as handed to a scheduler.
// Largest number of pieces of one request, in all of its stages. Each takes memory at the node while the request runs.
constexpr unsigned MaxPiecesPerRequest = 4096;

struct StageTask {
    std::string request; // id of the request, a new one each time the caller tries
    std::size_t stage = 0; // index of the stage in the route
    std::string service;
    unsigned pieces = 0;
    InstanceGroup group;
    std::string pieceKey; // for a stage without inputs: key, sent by the caller, by which an instance finds the data that it computes the pieces from
    std::vector<std::string> inputs; // handles of results of earlier stages; empty: the pieces are computed from the data of `pieceKey`
    DataCentreScope scope; // instances elsewhere get no pieces
    std::string dataCentre; // preferred one: where the inputs are stored or the results will be read; empty: any
    std::size_t crossDataCentreBytes = 0; // bytes sent between data centres when the pieces run outside `dataCentre`
    std::size_t resultBytes = 0; // approximate size of the result of one piece, bytes
    TimePoint target{}; // when the pieces must be done so that the answer can meet the route's target latency; a later answer is worth less
    TimePoint deadline{};
    int priority = 0; // 0 is the most urgent
    // The stage reads results of earlier stages, and no other stage depends on it. Most of the request's work has been done by then, so this
    // task is never refused as late (shed).
    bool endsChain = false;
    std::string crashTrait; // RequestTraits::whole of the request; empty: not stated
    bool isProbe = false; // see CrashGuard::Admission: the pieces are sent once, also while the trait is blocked
};

// One execution of a stage task. Thread-safe.
class StageRun : public RefCounted<StageRun>
{
public:
    StageRun(StageTask task, Ref<WakeupSignal> progress); // `progress` is raised when the run has completed or failed

    const StageTask &task() const
    {
        return m_task;
    }
    void assignGroup(const InstanceGroup &group) // call it before other threads use the run
    {
        m_task.group = group;
    }
    void cancel(); // no further piece is sent; raises cancelSignal()
    bool cancelled() const;
    // Raised by cancel(), so that a thread that waits on a socket for this run can stop.
    Ref<WakeupSignal> cancelSignal();

    // Handles of the results, by piece, once all pieces are done, or the error with which the run failed. nullopt: neither has
    // happened yet; for a cancelled run it may never happen.
    std::optional<Result<std::vector<std::string>>> outcome() const;

    // The following methods are for the StageExecutor that runs the task.
    // Stores the handle of a piece's result. False: the run has ended, was cancelled or already has this piece, so the caller must
    // release the result.
    bool completePiece(unsigned piece, const std::string &handle);
    void fail(ErrorCode code);
    // An instance has crashed that had pieces of this run: from now on they are sent apart from those of other requests, so that another crash shows
    // which request causes it.
    void isolate();
    bool isolated() const;
    unsigned countAttempt(unsigned piece); // counts one call in which the piece was sent; returns the count including this one
    // The handles of the completed pieces of a failed or cancelled run, which the caller must release; each handle is returned once.
    // Empty for other runs.
    std::vector<std::string> takeUnused();

private:
    StageTask m_task;
    const Ref<WakeupSignal> m_progress;
    mutable RankedMutex m_mutex{LockRank::Leaf};
    std::vector<std::string> m_handles; // by piece; empty: not done
    std::vector<unsigned> m_attempts;
    unsigned m_missing; // pieces that are not done
    std::optional<ErrorCode> m_error;
    bool m_cancelled = false;
    std::atomic<bool> m_isolated{false};
    Ref<WakeupSignal> m_cancelSignal;
};

// Index of the InstanceGroup that holds the instances in `dataCentre`. `dataCentres`: those that hold instances of the service, sorted by
// name; `groups`: number of its groups. For another data centre, the position p (see InstanceGroup) is the number of names in
// `dataCentres` that sort before its own.
std::size_t instanceGroupOf(const std::vector<std::string> &dataCentres, const std::string &dataCentre, std::size_t groups);

// The group that a task in `group` is to wait in: its own while that holds instances within the task's scope, else the one of its preferred data
// centre, else any. `dataCentres`: as above. nullopt: no group holds instances within the scope.
std::optional<std::size_t> groupWithInstances(const StageTask &task, const InstanceGroup &group, const std::vector<std::string> &dataCentres);

class StageExecutor
{
public:
    virtual ~StageExecutor() = default;
    virtual void submit(const Ref<StageRun> &run) = 0; // doesn't block
    // How long a new task of the service that prefers the data centre would wait for its turn; zero: not at all, or not known.
    virtual Duration expectedWait(const std::string &service, const std::string &dataCentre) = 0;
};

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
// [BATCHES]
//-----------------------------------------------------------------------------

// When late work is refused (shed). Pieces in a queue are late when, at the expected throughput, they can't be done by the target of their
// task. Pieces whose target has passed are also sorted further back in the queue (BatchSettings::latePenalty). Late pieces are shed when the
// pieces ahead of them take longer than waitThreshold. They are also shed when their target passed longer ago than overdueThreshold and the
// queued pieces whose target has not passed take longer than onTimeBacklog.
struct ShedSettings {
    std::chrono::milliseconds waitThreshold{500}; // limit of the expected time for the pieces ahead
    std::chrono::milliseconds overdueThreshold{1500}; // limit of the time since the target
    std::chrono::milliseconds onTimeBacklog{200}; // limit of the expected time for the queued pieces whose target has not passed
};

struct BatchSettings {
    std::chrono::milliseconds localMaxWait{250}; // longest wait of pieces for an instance in their preferred data centre
    // Pieces wait for an instance in their preferred data centre only if one there is expected to be free within this time.
    std::chrono::milliseconds localFreeWithin{90};
    // Added to localFreeWithin for each step of priority below the most urgent: less urgent work waits longer, because a transfer between data
    // centres costs the same at every priority.
    std::chrono::milliseconds localFreeWithinPerPriority{60};
    // Longest wait for an instance in the preferred data centre, as a share of the time from the start of the wait until the target. The
    // shorter of this and localMaxWait applies.
    double localWaitShare = 0.25;
    // Pieces wait for an instance in their preferred data centre only if running them elsewhere would transfer at least this many bytes
    // between data centres. A transfer of this size costs more than a short wait.
    std::size_t largeTransferBytes = 500'000;
    double slowInstanceFactor = 2.0; // an instance that takes more than this many times the declared time counts as slow
    std::chrono::milliseconds slowInstanceWait{250}; // slow instances are used only when some piece in the queue has waited this long
    std::chrono::milliseconds priorityStep{250}; // each step of priority below the most urgent counts as a target that is this much later
    // Work that has missed its target is sorted as if its target were this far in the future, so that it waits for work that can still
    // meet its target.
    std::chrono::milliseconds latePenalty{2500};
    ShedSettings shed;
    unsigned maxAttempts = 3; // maximum number of calls for one piece; not counted: calls that sent nothing or in which a result found no storage
};

// Pieces of one run that wait for a free instance.
struct PendingPieces {
    Ref<StageRun> run;
    std::vector<unsigned> pieces;
    TimePoint waitingSince{}; // when the pieces began to wait
};

// One instance, as input to planBatch().
struct StageInstanceView {
    std::string dataCentre;
    double slowness = 1; // moving average of measured call time / declared call time
    std::size_t freeResultBytes = 0; // free storage for results, bytes; 0: no limit stated
};

// By data centre: the earliest time at which one of its instances is expected to be free. Data centres without instances are absent.
using EarliestFreeTimes = std::map<std::string, TimePoint>;

struct BatchPick {
    Ref<StageRun> run;
    unsigned piece = 0;
    TimePoint waitingSince{}; // when the piece began to wait
};

// True when `a` goes before `b`: sorted by target, adjusted by priorityStep and latePenalty (see BatchSettings), then by deadline.
bool moreUrgent(const StageTask &a, const StageTask &b, TimePoint now, const BatchSettings &settings);

// Combined throughput of all instances that take pieces from a queue.
struct StageThroughput {
    double piecesPerSecond = 0;
    Duration batchTime{}; // declared time of a call with a full batch
};

// Measures the throughput of a queue's instances while pieces wait. It can be below the declared one, for example while the instances
// have no free storage for results.
// Not thread-safe.
class ThroughputMeter
{
public:
    void markIdle(TimePoint now); // to be called when pieces come into an empty queue: the waiting time starts at `now`
    void recordStarted(TimePoint now, std::size_t pieces);
    // Pieces per second that were started in the last window, but at least MinimumShare of `declared`, which is the declared throughput.
    // Returns `declared` until pieces have waited for a whole window.
    double piecesPerSecond(double declared, TimePoint now);

private:
    static constexpr std::chrono::milliseconds Window{1000}; // length of the window; long enough for several calls of each instance
    static constexpr double MinimumShare = 0.25; // lowest result as a share of `declared`: a short stall must not count as no throughput

    TimePoint m_waitingSince{};
    std::deque<std::pair<TimePoint, std::size_t>> m_started;
};

struct ShedRun {
    Ref<StageRun> run;
    Duration expectedWait{}; // expected time until the run would have started
};

// Removes and returns runs that would miss their target, under the conditions of ShedSettings. Runs with StageTask::endsChain stay.
std::vector<ShedRun> shedLate(std::vector<PendingPieces> &queue, const StageThroughput &throughput, TimePoint now, const BatchSettings &settings);

// Removes and returns at most `maxBatch` pieces, the most urgent first. The pieces of a run are split over two batches only when
// there are more of them than one batch holds, or when enough pieces for two full batches wait. Cancelled runs are removed from the queue.
// Pieces that wait for an instance in their preferred data centre stay in the queue. A slow instance gets no pieces until some piece has
// waited for slowInstanceWait. The pieces of an isolated run (StageRun::isolate()) are in a batch of their own. The results of a batch fit into the instance's
// free storage.
std::vector<BatchPick> planBatch(std::vector<PendingPieces> &queue, const StageInstanceView &view, const EarliestFreeTimes &earliestFree, std::size_t maxBatch,
                                 TimePoint now, const BatchSettings &settings);

//-----------------------------------------------------------------------------
// [BACKLOG]
//-----------------------------------------------------------------------------

// What this node knows of the work that waits at the owners of instance groups. Not thread-safe.
class StageBacklog
{
public:
    void record(const std::string &service, const InstanceGroup &group, Duration wait, TimePoint now);
    // The recorded wait, less the time since then; zero: nothing was recorded within MaxAge.
    Duration expectedWait(const std::string &service, const InstanceGroup &group, TimePoint now) const;
    // The group that a task of the service is to go to: `preferred`, or the one with the shortest wait if that is shorter by more than
    // `advantage`.
    std::size_t groupFor(const std::string &service, const InstanceGroup &preferred, Duration advantage, TimePoint now) const;

    static constexpr std::chrono::milliseconds MaxAge{1500};

private:
    struct Record {
        Duration wait{};
        TimePoint at{};
    };
    std::map<std::tuple<std::string, std::size_t, std::size_t>, Record> m_records; // by service, index and count of the group
};

// One stage of a request, as input to lateStep().
struct ChainStep {
    Duration before{}; // declared time of the stages before it
    Duration wait{}; // expected wait for its turn
    Duration own{}; // declared time of its call
    TimePoint target{}; // as StageTask::target
};

// Index of the first step that would be refused as late under the conditions of ShedSettings; nullopt: none. Such a request is refused
// before its first stage, so that no work is done for it in vain.
std::optional<std::size_t> lateStep(const std::vector<ChainStep> &chain, TimePoint now, const ShedSettings &settings);

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
