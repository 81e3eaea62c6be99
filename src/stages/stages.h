// vanillanotch stages library: work in pieces that must be done before a request can run.
//
// Index of sections:
//   [ORDERS]    StageOrder, StageRun: one stage of one request, and how far it is
//   [CHANNEL]   StageChannel: one call of several pieces at one instance
//   [BATCHES]   planBatch: which waiting pieces an instance does next
//   [SCHEDULER] StageScheduler: queues and lanes of the instances that this node drives
//   [OWNERS]    OwnedStages: each service is scheduled at one node, the others hand it their orders
//   [RESULTS]   ResultReleaser: frees results that nobody needs any more
//
// Rules this aggregate enforces:
//   - a piece is answered once, with a result made for its request, stage and position;
//   - an instance has no more calls from this node than it has slots;
//   - pieces of a request that was given up are not sent any more, and their results are freed.
#pragma once

#include "base/base.h"
#include "deployment/deployment.h"
#include "fleet/fleet.h"
#include "instances/instances.h"
#include "transport/transport.h"

#include <tuple>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [ORDERS]
//-----------------------------------------------------------------------------

// The instances that one node schedules: those in the data centres whose position, by name, falls into the group.
struct InstanceGroup {
    std::size_t index = 0;
    std::size_t count = 1;
};

struct StageTask {
    std::string request; // the caller's attempt
    std::size_t stage = 0; // position in the route
    std::string service;
    unsigned pieces = 0;
    InstanceGroup group;
    std::string pieceKey; // what the pieces are made from; for a stage that needs no other
    std::vector<std::string> inputs; // results of the stages before; empty: made from the key
    std::string dataCentre; // where its inputs lie or its results are wanted; empty: anywhere
    std::size_t crossDataCentreBytes = 0; // that cross data centres when it is done elsewhere
    std::size_t resultBytes = 0; // approximate, of one piece
    TimePoint target{}; // done by then, the request can still earn its full credit
    TimePoint deadline{};
    int priority = 0; // 0 is the highest
    bool endsChain = false; // the last of a chain of stages: most of its work is done
};

class StageRun : public RefCounted<StageRun>
{
public:
    StageRun(StageTask order, Ref<WakeupSignal> progress);

    const StageTask &task() const
    {
        return m_order;
    }
    void assignGroup(const InstanceGroup &lanes) // before the run is handed to other threads
    {
        m_order.group = lanes;
    }
    void cancel(); // no piece is sent any more; `cancelSignal` is raised
    bool cancelled() const;
    // Raised by cancel(): lets a thread that waits on a socket for this run stop.
    Ref<WakeupSignal> cancelSignal();

    // Results in the order of pieces once all are there; nullopt: still running.
    std::optional<Result<std::vector<std::string>>> outcome() const;

    // For executors. False: the run has ended or is cancelled, so nobody will use the result.
    bool completePiece(unsigned piece, const std::string &handle);
    void fail(ErrorCode code);
    unsigned countAttempt(unsigned piece); // returns how often the piece has been sent
    std::vector<std::string> takeUnused(); // results of a run that failed or was cancelled; each is returned once

private:
    StageTask m_order;
    const Ref<WakeupSignal> m_progress;
    mutable RankedMutex m_mutex{LockRank::Leaf};
    std::vector<std::string> m_handles; // empty: not done
    std::vector<unsigned> m_attempts;
    unsigned m_missing;
    std::optional<ErrorCode> m_error;
    bool m_cancelled = false;
    Ref<WakeupSignal> m_cancelSignal;
};

// The group of a data centre among those that hold instances of a service.
std::size_t instanceGroupOf(const std::vector<InstanceSpec> &instances, const std::string &dataCentre, std::size_t groups);

class StageExecutor
{
public:
    virtual ~StageExecutor() = default;
    virtual void submit(const Ref<StageRun> &run) = 0; // returns at once
};

//-----------------------------------------------------------------------------
// [CHANNEL]
//-----------------------------------------------------------------------------

struct PieceCall {
    const StageTask *task = nullptr;
    unsigned piece = 0;
};

enum class PieceFault { None, DeadlineExceeded, InputMissing, ResultStorageFull, Failed };

struct PieceOutcome {
    std::string handle; // empty: see the fault
    PieceFault fault = PieceFault::None;
};

struct BatchReply {
    std::vector<PieceOutcome> outcomes; // as many as pieces were asked for, in their order
    std::optional<ReportedLoad> load;
};

class StageChannel
{
public:
    virtual ~StageChannel() = default;
    // Errors: ConnectFailed, ConnectionLost, ServerTimeout, InvalidReply, ServerBusy, WrongInstance.
    virtual tl::expected<BatchReply, UpstreamFailure> run(const InstanceSpec &instance, const std::vector<PieceCall> &pieces, TimePoint now,
                                                          TimePoint until) = 0;
    virtual Result<void> release(const std::string &address, const std::vector<std::string> &handles, TimePoint until) = 0;
};

// One order at another node. The run's outcome is the whole answer.
class StagePeerChannel
{
public:
    virtual ~StagePeerChannel() = default;
    // `alive` is asked each time when nothing has come for `patience`; false ends the call with PeerUnavailable.
    virtual Result<std::vector<std::string>> run(const std::string &peerAddress, const StageTask &order, TimePoint now, Duration patience,
                                                 CancellationWatch &canceller, const std::function<bool()> &alive) = 0;
    virtual Result<void> release(const std::string &peerAddress, const std::vector<std::string> &handles, TimePoint until) = 0;
    virtual bool isAlive(const std::string &peerAddress, TimePoint until) = 0; // asks for a sign of life
};

//-----------------------------------------------------------------------------
// [BATCHES]
//-----------------------------------------------------------------------------

// When work that can't meet its target is refused; until then it waits behind what still can.
struct ShedSettings {
    std::chrono::milliseconds waitThreshold{500}; // this much other work goes before it
    std::chrono::milliseconds overdueThreshold{1500}; // or its target passed this long ago,
    std::chrono::milliseconds onTimeBacklog{200}; // and this much work that is still on time waits
};

struct BatchSettings {
    std::chrono::milliseconds localMaxWait{250}; // work waits at most this long for a lane in its data centre
    std::chrono::milliseconds localFreeWithin{90}; // and only while one will be free within this time,
    std::chrono::milliseconds localFreeWithinPerPriority{60}; // longer by this for each rank of priority: moving costs the same for all
    double localWaitShare = 0.25; // and at most this share of the time to its target
    std::size_t largeTransferBytes = 500'000; // bytes; moving more between data centres costs more than a short wait
    double slowInstanceFactor = 2.0; // times the declared time: beyond it a lane is taken only when others keep work waiting
    std::chrono::milliseconds slowInstanceWait{250}; // work that has waited this long goes to a slow lane as well
    std::chrono::milliseconds priorityStep{250}; // of later target for each rank of priority
    std::chrono::milliseconds latePenalty{2500}; // what can't meet its target any more waits for what still can
    ShedSettings shed;
    unsigned maxAttempts = 3; // calls that one piece may be part of
};

// Work of one run that waits for a lane.
struct PendingPieces {
    Ref<StageRun> run;
    std::vector<unsigned> pieces;
    TimePoint since{};
};

struct StageInstanceView {
    std::string dataCentre;
    double slowness = 1; // measured / declared time
    std::size_t freeResultBytes = 0; // for results; 0: not stated
};

// When a lane of a data centre is expected to be free; absent: it has none.
using EarliestFreeTimes = std::map<std::string, TimePoint>;

struct BatchPick {
    Ref<StageRun> run;
    unsigned piece = 0;
    TimePoint since{}; // it waited from then on
};

// Orders work: what can still meet its target by target and priority, then the rest.
bool moreUrgent(const StageTask &a, const StageTask &b, TimePoint now, const BatchSettings &settings);

// What the lanes of a queue do together, in pieces a second.
struct StageThroughput {
    double piecesPerSecond = 0;
    Duration batchTime{}; // of a whole batch
};

// Measures the speed of lanes while work waits: room for results can hold them below what they declare. Not thread-safe.
class ThroughputMeter
{
public:
    void markIdle(TimePoint now); // until now
    void recordStarted(TimePoint now, std::size_t pieces);
    double piecesPerSecond(double declared, TimePoint now); // the declared speed until work has waited for a whole window

private:
    static constexpr std::chrono::milliseconds Window{1000}; // several calls of each lane
    static constexpr double LeastShare = 0.25; // of the declared speed; a stall of a moment is no speed

    TimePoint m_waitingSince{};
    std::deque<std::pair<TimePoint, std::size_t>> m_started;
};

struct ShedRun {
    Ref<StageRun> run;
    Duration expectedWait{}; // that was expected
};

// Takes out of `queue` what would not be done in time and only after long. Work that ends a chain stays: most of it is done.
std::vector<ShedRun> shedLate(std::vector<PendingPieces> &queue, const StageThroughput &speed, TimePoint now, const BatchSettings &settings);

// Takes at most `batch` pieces out of `queue`, the most urgent first; work is split only
// while another whole batch waits. Cancelled work is dropped.
std::vector<BatchPick> planBatch(std::vector<PendingPieces> &queue, const StageInstanceView &lane, const EarliestFreeTimes &nearby, std::size_t batch,
                                 TimePoint now, const BatchSettings &settings);

//-----------------------------------------------------------------------------
// [RESULTS]
//-----------------------------------------------------------------------------

// Takes results that nobody needs any more.
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
    virtual void onReleased(const std::vector<std::string> &handles) = 0; // their room is there again
};

struct ReleaseSettings {
    std::chrono::milliseconds interval{10}; // results of this long are freed together; room for them is scarce
    std::chrono::milliseconds callTimeout{1000};
};

// Frees results at their makers.
class ResultReleaser final : public ResultSink
{
public:
    ResultReleaser(StageChannel &channel, TimerQueue &timers, GrowingPool &pool, ReleaseSettings settings = {});
    void release(const std::vector<std::string> &handles) override;
    void setListener(ResultListener *listener); // set once, before use

private:
    void flush();

    ResultListener *m_listener = nullptr;
    StageChannel &m_channel;
    TimerQueue &m_timers;
    GrowingPool &m_pool;
    const ReleaseSettings m_settings;
    RankedMutex m_mutex{LockRank::Results};
    std::map<std::string, std::vector<std::string>> m_byAddress;
    bool m_scheduled = false;
};

// The address that a result's handle names; empty: it names none.
std::string addressOfHandle(const std::string &handle);

//-----------------------------------------------------------------------------
// [SCHEDULER]
//-----------------------------------------------------------------------------

// Extra calls that this node may make, by service.
class RetryBudget
{
public:
    virtual ~RetryBudget() = default;
    virtual void recordFirstCall(const std::string &service) = 0;
    virtual bool tryTake(const std::string &service) = 0; // false: none is left for now
};

struct StageDependencies {
    const Clock &clock;
    DeploymentTable &deployments;
    InstanceTable &instances;
    StageChannel &channel;
    RetryBudget &retryBudget;
    ResultReleaser &releaser;
    GrowingPool &pool;
    TimerQueue &timers;
    MetricsRegistry &metrics;
};

struct SchedulerSettings {
    BatchSettings batches;
    std::chrono::milliseconds busyBackoff{60}; // after an instance refused for load
    std::chrono::milliseconds failureBackoff{1000}; // after an instance was unreachable
    std::chrono::milliseconds recheckInterval{40}; // until work that waits by choice is looked at again
    double usableStorageShare = 0.95; // of an instance's room that is used; sizes are approximate
    double callTimeoutFactor = 6; // times the declared time of a call that it may take; a slow server takes five
    std::chrono::milliseconds callTimeoutBase{600}; // besides
    std::chrono::milliseconds slownessHalfLife{3000}; // half of a lane's slowness is forgotten in this time
};

class StageScheduler final : public StageExecutor, public ResultListener
{
public:
    StageScheduler(StageDependencies parts, SchedulerSettings settings = {});
    void submit(const Ref<StageRun> &run) override;
    void instancesChanged(); // looks for lanes that work waits for
    void release(const std::vector<std::string> &handles); // results that this node has ordered or not
    void onReleased(const std::vector<std::string> &handles) override;
    std::size_t waitingPieces() const; // pieces

private:
    struct Lane {
        unsigned calls = 0;
        TimePoint freeAt{}; // expected end of the running call
        TimePoint blockedUntil{};
        double slowness = 1;
        TimePoint measuredAt{};
        std::size_t promisedBytes = 0; // results of the running calls
        std::size_t heldBytes = 0; // results that nobody has freed
        std::deque<std::pair<TimePoint, std::string>> held; // by the end of their life; freed ones included
    };
    struct HeldResult {
        std::string instance;
        std::size_t bytes = 0;
    };
    struct LaneQueue {
        void add(PendingPieces &&waiting, TimePoint now);

        std::vector<PendingPieces> work;
        bool recheckDue = false;
        ThroughputMeter speed;
    };
    using QueueKey = std::tuple<std::string, std::size_t, std::size_t>; // service, lane group
    struct Dispatch {
        InstanceSpec instance;
        std::vector<BatchPick> batch;
        StageCapacity capacity;
        std::size_t roomBytes = 0; // before the call; 0: not stated
        std::size_t leftWaiting = 0; // pieces of the queue
    };
    double slownessOf(const Lane &lane, TimePoint now) const;
    void holdLocked(const std::string &instance, const std::string &handle, std::size_t bytes, Duration life);
    void freeLocked(const std::string &handle);
    void forgetExpiredLocked(Lane &lane, TimePoint now);
    static QueueKey keyOf(const StageTask &order);
    std::vector<Ref<StageRun>> shedLocked(LaneQueue &queue, const StageCapacity &capacity, std::size_t lanes, TimePoint now);
    void failRun(const Ref<StageRun> &run, ErrorCode code); // and gives its results up
    std::vector<Dispatch> planLocked(const QueueKey &key, LaneQueue &queue, const StageCapacity &capacity);
    void dispatch(const QueueKey &key);
    void runBatch(const QueueKey &key, const Dispatch &dispatch);
    void settle(const QueueKey &key, const Dispatch &dispatch, const BatchReply &reply);
    void recover(const QueueKey &key, const Dispatch &dispatch, const UpstreamFailure &failure);
    void requeue(const QueueKey &key, const std::vector<BatchPick> &picks, bool counts);
    std::optional<StageCapacity> capacityOf(const std::string &service) const;

    StageDependencies m_parts;
    const SchedulerSettings m_settings;
    mutable RankedMutex m_mutex{LockRank::Stages};
    std::map<QueueKey, LaneQueue> m_queues;
    std::map<std::string, Lane> m_lanes; // by instance
    std::unordered_map<std::string, HeldResult> m_held; // by handle
};

//-----------------------------------------------------------------------------
// [OWNERS]
//-----------------------------------------------------------------------------

struct OwnerSettings {
    std::size_t instancesPerOwner = 6; // instances that one node schedules, about; more are split among several
    unsigned maxOwners = 3; // that an order is handed to, one after the other, before this node does it
    std::chrono::milliseconds peerBackoff{2000}; // a peer that failed isn't asked again for this long
    std::chrono::milliseconds releaseInterval{10}; // results of this long are given up together
    std::chrono::milliseconds releaseTimeout{500}; // for telling an owner; results end by themselves some time later
    std::chrono::milliseconds peerSilenceLimit{700}; // an owner that has answered nothing for this long is asked for a sign of life; calls take a third
    std::chrono::milliseconds livenessTimeout{400}; // for that answer; without it the owner is taken for gone
};

// How orders are spread over the nodes.
enum class StageAssignment {
    EachNode, // every node calls the instances for itself
    Owners, // a service's orders go to its owner by rendezvous hashing
    OwnerGroups, // as Owners, with several owners where a service has many instances
};

// Orders go to the owners of their services, and so do results that are given up: the owners keep count of the room for them.
class OwnerStageExecutor final : public StageExecutor, public ResultSink
{
public:
    OwnerStageExecutor(StageDependencies parts, StageScheduler &local, StagePeerChannel &peers, MemberTable &members, StageAssignment sharing,
                       OwnerSettings settings = {});
    void submit(const Ref<StageRun> &run) override;
    void release(const std::vector<std::string> &handles) override;

private:
    InstanceGroup groupFor(const std::string &service, const std::string &dataCentre) const;
    std::optional<MemberRecord> ownerOf(const std::string &service, const InstanceGroup &lanes) const; // nullopt: this node
    void handOver(const Ref<StageRun> &run, unsigned owners);
    void flush();
    void runAtPeer(const Ref<StageRun> &run, const MemberRecord &owner, unsigned owners);
    void heard(const std::string &member);
    bool alive(const MemberRecord &member);

    StageDependencies m_parts;
    StageScheduler &m_local;
    StagePeerChannel &m_peers;
    MemberTable &m_members;
    const StageAssignment m_sharing;
    const OwnerSettings m_settings;
    mutable RankedMutex m_mutex{LockRank::StageOwners};
    std::map<std::string, TimePoint> m_pausedUntil; // by member
    std::map<std::string, TimePoint> m_heardAt; // by member
    std::vector<std::string> m_unused; // results to be given up
    bool m_flushDue = false;
};

} // namespace vanillanotch
