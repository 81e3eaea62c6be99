// Stage tasks that run in pieces: batches, shedding, storage for results, failures, owners of instance groups. A piece is a part of a
// task that can run separately; one call to an instance runs a batch of pieces of one or several tasks. To shed a task is to refuse it
// because it would miss its target time. The owner of an instance group is the node that plans the batches of these instances.
#include "local_ledger.h"
#include "stages/stages.h"

#include <CppUTest/TestHarness.h>

using namespace vanillanotch;
using namespace vanillanotch::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr Duration TestTimeout = seconds(20);
const TimePoint Now = TimePoint(seconds(1000));

StageTask makeTask(const std::string &request, unsigned pieces)
{
    StageTask stageTask;
    stageTask.request = request;
    stageTask.service = "s";
    stageTask.pieces = pieces;
    stageTask.pieceKey = "key";
    stageTask.target = Now + milliseconds(800);
    stageTask.deadline = Now + seconds(8);
    return stageTask;
}

PendingPieces makePending(const StageTask &stageTask, TimePoint since = Now)
{
    PendingPieces pending;
    pending.run = makeRef<StageRun>(stageTask, makeRef<WakeupSignal>());
    for (unsigned piece = 0; piece < stageTask.pieces; ++piece) {
        pending.pieces.push_back(stageTask.pieces - 1 - piece);
    }
    pending.waitingSince = since;
    return pending;
}

std::string formatPicks(const std::vector<BatchPick> &picks)
{
    std::string text;
    for (const BatchPick &pick : picks) {
        text += pick.run->task().request + std::to_string(pick.piece) + " ";
    }
    return text;
}
} // namespace

TEST_GROUP(Batches)
{
    BatchSettings settings;
    StageInstanceView instanceView{"dc1", 1, 0};
    EarliestFreeTimes earliestFree;
    std::vector<PendingPieces> queue;

    void teardown() override
    {
        queue.clear();
    }
    std::string plan(std::size_t maxBatch, TimePoint now = Now)
    {
        return formatPicks(planBatch(queue, instanceView, earliestFree, maxBatch, now, settings));
    }
};

// Guards against tasks that miss their target because tasks that have already missed theirs run before them.
TEST(Batches, TasksThatCanMeetTheirTargetGoFirst)
{
    StageTask late = makeTask("late", 1);
    late.target = Now - milliseconds(10);
    StageTask soon = makeTask("soon", 1);
    soon.target = Now + milliseconds(300);
    queue = {makePending(late), makePending(makeTask("later", 1)), makePending(soon)};
    STRCMP_EQUAL("soon0 later0 ", plan(2).c_str());
    STRCMP_EQUAL("late0 ", plan(2).c_str());
}

// Guards against work for tasks that will be late anyway, and against shedding a task that is late mostly because of its own size.
TEST(Batches, ALateTaskIsShedWhenMuchOtherWorkGoesBeforeIt)
{
    const StageThroughput throughput{10, milliseconds(100)}; // 10 pieces per second, 100 ms per batch
    queue = {makePending(makeTask("first", 3)), makePending(makeTask("second", 4)), makePending(makeTask("third", 1))};
    const auto shed = shedLate(queue, throughput, Now, settings); // the targets of the tasks are 800 ms after Now
    LONGS_EQUAL(1, static_cast<long>(shed.size()));
    STRCMP_EQUAL("third", shed.front().run->task().request.c_str()); // 0.7 s of other work (3 + 4 pieces) goes before it
    CHECK(shed.front().expectedWait == milliseconds(700));
    LONGS_EQUAL(2, static_cast<long>(queue.size())); // "second" ends after 0.8 s, but only 0.3 s of other work goes before it (limit: 0.5 s)
    CHECK(shedLate(queue, throughput, Now, settings).empty());
}

// Guards against a task that waits on after its target has long passed, while the instances have enough on-time work.
TEST(Batches, AnOverdueTaskIsShedWhenEnoughOnTimeWorkWaits)
{
    const StageThroughput throughput{10, milliseconds(100)};
    StageTask late = makeTask("late", 1);
    late.target = Now - settings.shed.overdueThreshold - milliseconds(1);
    queue = {makePending(late), makePending(makeTask("fresh", 2))};
    CHECK(shedLate(queue, throughput, Now, settings).empty()); // 200 ms of on-time work wait, which does not exceed onTimeBacklog: the late task stays
    queue.push_back(makePending(makeTask("more", 1)));
    const auto shed = shedLate(queue, throughput, Now, settings);
    LONGS_EQUAL(1, static_cast<long>(shed.size()));
    STRCMP_EQUAL("late", shed.front().run->task().request.c_str());
}

// Guards against losing the work of all earlier stages by shedding the last one.
TEST(Batches, TheLastStageOfAChainIsNotShed)
{
    const StageThroughput throughput{10, milliseconds(100)};
    StageTask last = makeTask("last", 1);
    last.target = Now - seconds(3);
    last.endsChain = true;
    queue = {makePending(makeTask("much", 8)), makePending(last)};
    CHECK(shedLate(queue, throughput, Now, settings).empty());
}

// Guards against expected waits that are too short because the instances run slower than declared. The measurement counts only after pieces
// have waited for a whole window of 1 s.
TEST(Batches, ThroughputIsMeasuredOnceWorkHasWaited)
{
    ThroughputMeter meter;
    meter.markIdle(Now);
    meter.recordStarted(Now + milliseconds(100), 30);
    DOUBLES_EQUAL(100, meter.piecesPerSecond(100, Now + milliseconds(900)), 0.01);
    meter.recordStarted(Now + milliseconds(1050), 30);
    DOUBLES_EQUAL(60, meter.piecesPerSecond(100, Now + milliseconds(1060)), 0.01);
    // Nothing was started for a whole window (a stall): a quarter of the declared throughput is assumed.
    DOUBLES_EQUAL(25, meter.piecesPerSecond(100, Now + seconds(5)), 0.01);
    meter.markIdle(Now + seconds(6)); // the queue was empty until now: the declared throughput is returned again
    DOUBLES_EQUAL(100, meter.piecesPerSecond(100, Now + seconds(6)), 0.01);
}

// Guards against results of a failed run that fill an instance's storage, or are released twice.
TEST(Batches, ResultsOfAFailedRunAreReturnedForReleaseOnce)
{
    StageRun run(makeTask("r", 2), makeRef<WakeupSignal>());
    CHECK(run.completePiece(0, "10.0.0.1:80/a"));
    CHECK(run.takeUnused().empty()); // the run has not ended, so the result of piece 0 is still needed
    run.fail(ErrorCode::Overloaded);
    CHECK(!run.completePiece(1, "10.0.0.1:80/b"));
    const auto unused = run.takeUnused();
    LONGS_EQUAL(1, static_cast<long>(unused.size()));
    STRCMP_EQUAL("10.0.0.1:80/a", unused.front().c_str());
    CHECK(run.takeUnused().empty());
}

// Guards against a wrong weight of the priority: each level above 0, the most urgent, counts as a target that is
// one priorityStep later. So priority 0 with a target one step later goes before priority 2.
TEST(Batches, EachPriorityLevelCountsAsAFixedDelayOfTheTarget)
{
    StageTask urgent = makeTask("urgent", 1);
    urgent.target += settings.priorityStep;
    StageTask plain = makeTask("plain", 1);
    plain.priority = 2;
    queue = {makePending(plain), makePending(urgent)};
    STRCMP_EQUAL("urgent0 plain0 ", plan(2).c_str());
}

// Guards against needless splits, which delay a task, and against batches that are not full although much work waits.
TEST(Batches, ATaskIsSplitOnlyWhileAnotherWholeBatchWaits)
{
    queue = {makePending(makeTask("a", 3)), makePending(makeTask("b", 2))};
    STRCMP_EQUAL("a0 a1 a2 ", plan(4).c_str());
    queue = {makePending(makeTask("a", 3)), makePending(makeTask("b", 2)), makePending(makeTask("c", 3))};
    STRCMP_EQUAL("a0 a1 a2 b0 ", plan(4).c_str());
}

// Guards against a task that never runs because it has more pieces than a batch may have.
TEST(Batches, ATaskLargerThanABatchIsSplit)
{
    queue = {makePending(makeTask("a", 5))};
    STRCMP_EQUAL("a0 a1 a2 ", plan(3).c_str());
    STRCMP_EQUAL("a3 a4 ", plan(3).c_str());
}

// Guards against calls whose results an instance has no room for (2 pieces of 1000 bytes, 1500 bytes free).
TEST(Batches, ATaskRunsOnlyWhereItsResultsFit)
{
    StageTask large = makeTask("large", 2);
    large.resultBytes = 1000;
    queue = {makePending(large), makePending(makeTask("small", 1))};
    instanceView.freeResultBytes = 1500;
    STRCMP_EQUAL("small0 ", plan(4).c_str());
    instanceView.freeResultBytes = 2000;
    STRCMP_EQUAL("large0 large1 ", plan(4).c_str());
}

// Guards against needless transfers between data centres, and against waiting too long for an instance in the preferred one (dc2).
TEST(Batches, LargeTransfersWaitForALocalInstance)
{
    StageTask far = makeTask("far", 1);
    far.dataCentre = "dc2";
    far.crossDataCentreBytes = settings.largeTransferBytes;
    queue = {makePending(far)};
    earliestFree["dc2"] = Now + settings.localFreeWithin;
    STRCMP_EQUAL("", plan(4).c_str());
    earliestFree["dc2"] = Now + settings.localFreeWithin + milliseconds(1); // the local instance would be free too late
    STRCMP_EQUAL("far0 ", plan(4).c_str());
    queue = {makePending(far)};
    // The local instance would be free soon enough, but the task has already waited as long as it may.
    earliestFree["dc2"] = Now + settings.localMaxWait + settings.localFreeWithin;
    STRCMP_EQUAL("far0 ", plan(4, Now + settings.localMaxWait).c_str());
    queue = {makePending(far)};
    earliestFree.clear();
    STRCMP_EQUAL("far0 ", plan(4).c_str());
}

// Guards against tasks that run on a slow instance although a faster one may soon be free.
TEST(Batches, ASlowInstanceTakesOnlyTasksThatHaveWaited)
{
    instanceView.slowness = 3;
    queue = {makePending(makeTask("a", 1))};
    STRCMP_EQUAL("", plan(4).c_str());
    STRCMP_EQUAL("a0 ", plan(4, Now + settings.slowInstanceWait).c_str());
}

// Guards against pieces of a cancelled task that are still run or stay in the queue.
TEST(Batches, CancelledTasksAreRemoved)
{
    queue = {makePending(makeTask("a", 1)), makePending(makeTask("b", 1))};
    queue.front().run->cancel();
    STRCMP_EQUAL("b0 ", plan(4).c_str());
    CHECK(queue.size() <= 1);
}

// Guards against an instance whose group does not exist, also with more groups than data centres or in an unknown data centre.
TEST(Batches, EveryInstanceIsInExactlyOneGroup)
{
    const std::vector<std::string> dataCentres = {"dc0", "dc1", "dc2", "dc3", "dc4"};
    for (const std::size_t groups : {std::size_t{1}, std::size_t{2}, std::size_t{3}, std::size_t{9}}) {
        std::set<std::size_t> used;
        for (const std::string &dataCentre : dataCentres) {
            used.insert(instanceGroupOf(dataCentres, dataCentre, groups));
        }
        LONGS_EQUAL(static_cast<long>(std::min<std::size_t>(groups, 5)), static_cast<long>(used.size()));
        CHECK(*used.rbegin() < std::min<std::size_t>(groups, 5));
        CHECK(instanceGroupOf(dataCentres, "elsewhere", groups) < std::min<std::size_t>(groups, 5));
    }
}

TEST_GROUP(Owners)
{
    std::vector<MemberRecord> members;
    const std::vector<OwnedService> services = {{"a", 3, {"dc0", "dc1", "dc2"}}, {"b", 3, {"dc0", "dc1", "dc2"}}, {"c", 1, {"dc0", "dc1", "dc2"}}};

    void setup() override
    {
        for (int i = 0; i < 66; ++i) {
            MemberRecord member;
            member.name = "n" + std::to_string(i);
            member.dataCentre = "dc" + std::to_string(i % 3);
            member.cores = i < 6 ? 0.5 : 0.12;
            members.push_back(member);
        }
    }
};

// A burst of stage tasks: an owner on a small VM can't keep up with the tasks of all nodes, so that they take it for unavailable, and
// several nodes schedule the same instances. Every group has an owner on a large VM, and no such VM owns many more groups than another.
TEST(Owners, BurstsOfTasksAreScheduledByTheLargeVms)
{
    std::map<std::string, int> owned;
    for (const auto &[service, groups] : planOwners(services, members, 4)) {
        for (const auto &candidates : groups) {
            LONGS_EQUAL(4, static_cast<long>(candidates.size()));
            CHECK(candidates.front().cores > 0.4);
            ++owned[candidates.front().name];
        }
    }
    for (const auto &[name, count] : owned) {
        CHECK(count <= 2); // seven groups over six large VMs, two for each data centre
    }
}

// A data centre that is cut off schedules its own instances. All candidates of a group are members of the data centre of its instances.
TEST(Owners, ADataCentreThatIsCutOffOwnsItsInstances)
{
    const auto plan = planOwners(services, members, 4);
    for (std::size_t group = 0; group < 3; ++group) {
        for (const MemberRecord &candidate : plan.at("a").at(group)) {
            STRCMP_EQUAL(("dc" + std::to_string(group)).c_str(), candidate.dataCentre.c_str());
        }
    }
    for (MemberRecord &member : members) { // without members there, other data centres own the group
        member.dataCentre = member.dataCentre == "dc1" ? "dc2" : member.dataCentre;
    }
    LONGS_EQUAL(4, static_cast<long>(planOwners(services, members, 4).at("a").at(1).size()));
}

// Guards against nodes that schedule the same instances because a member that left has changed the owners of other groups.
TEST(Owners, AMemberThatLeavesMovesFewGroups)
{
    const auto before = planOwners(services, members, 4);
    for (MemberRecord &leaving : members) {
        leaving.state = MemberState::Left;
        int moved = 0;
        for (const auto &[service, groups] : planOwners(services, members, 4)) {
            for (std::size_t group = 0; group < groups.size(); ++group) {
                CHECK(groups[group].front().name != leaving.name);
                moved += groups[group].front().name != before.at(service).at(group).front().name ? 1 : 0;
            }
        }
        leaving.state = MemberState::Alive;
        CHECK(moved <= 3);
    }
}

TEST_GROUP(Backlog){};

// A burst of requests with a chain of stages whose second one is full: they are refused before the first stage, so that nothing is done for
// them in vain. A short wait, or one that leaves enough time, refuses nobody.
TEST(Backlog, ABurstAtALaterStageRefusesRequestsBeforeTheirFirst)
{
    const auto chainWith = [](milliseconds wait) {
        return std::vector<ChainStep>{{milliseconds(0), milliseconds(0), milliseconds(300), Now + milliseconds(1500)},
                                      {milliseconds(300), wait, milliseconds(400), Now + milliseconds(1900)},
                                      {milliseconds(700), milliseconds(0), milliseconds(400), Now + milliseconds(2300)}};
    };
    CHECK_FALSE(lateStep(chainWith(milliseconds(0)), Now, ShedSettings{}).has_value());
    CHECK_FALSE(lateStep(chainWith(milliseconds(1100)), Now, ShedSettings{}).has_value());
    CHECK(lateStep(chainWith(milliseconds(1300)), Now, ShedSettings{}) == std::optional<std::size_t>(1));
    CHECK_FALSE(lateStep(chainWith(milliseconds(450)), Now + milliseconds(1200), ShedSettings{}).has_value()); // late already, but not for want of capacity
}

// One data centre gets a burst while its neighbours are idle: tasks go to a neighbour when they wait much less there.
TEST(Backlog, WorkOfAFullDataCentreGoesToAnIdleNeighbour)
{
    StageBacklog backlog;
    const InstanceGroup preferred{1, 3};
    LONGS_EQUAL(1, static_cast<long>(backlog.groupFor("s", preferred, milliseconds(250), Now)));
    backlog.record("s", preferred, milliseconds(900), Now);
    backlog.record("s", InstanceGroup{0, 3}, milliseconds(300), Now);
    backlog.record("s", InstanceGroup{2, 3}, milliseconds(100), Now);
    LONGS_EQUAL(2, static_cast<long>(backlog.groupFor("s", preferred, milliseconds(250), Now)));
    LONGS_EQUAL(1, static_cast<long>(backlog.groupFor("s", preferred, milliseconds(1000), Now)));
    LONGS_EQUAL(1, static_cast<long>(backlog.groupFor("other", preferred, milliseconds(250), Now)));
    // The wait shrinks as the work is done, and is forgotten when it is old.
    CHECK(backlog.expectedWait("s", preferred, Now + milliseconds(400)) == milliseconds(500));
    CHECK(backlog.expectedWait("s", preferred, Now + StageBacklog::MaxAge + milliseconds(1)) == milliseconds(0));
}

TEST_GROUP(StageRuns){};

// Guards against a second result that replaces the first, and against results in the order of their arrival.
TEST(StageRuns, APieceIsCompletedOnceAndResultsAreInPieceOrder)
{
    const auto run = makeRef<StageRun>(makeTask("a", 2), makeRef<WakeupSignal>());
    CHECK(run->completePiece(1, "x:1/b"));
    CHECK_FALSE(run->completePiece(1, "x:1/c"));
    CHECK_FALSE(run->outcome().has_value());
    CHECK(run->completePiece(0, "x:1/a"));
    const std::vector<std::string> expected = {"x:1/a", "x:1/b"};
    CHECK(**run->outcome() == expected);
    run->fail(ErrorCode::Overloaded); // no effect: the run has already succeeded
    CHECK(run->outcome()->has_value());
}

// Guards against a result that nobody releases because it arrived after the run was cancelled.
TEST(StageRuns, ACancelledRunAcceptsNoResult)
{
    const auto run = makeRef<StageRun>(makeTask("a", 1), makeRef<WakeupSignal>());
    run->cancel();
    CHECK_FALSE(run->completePiece(0, "x:1/a"));
}

//-----------------------------------------------------------------------------
// The scheduler, with a fake channel whose answers come from a function that the test sets
//-----------------------------------------------------------------------------

namespace
{
class FakeChannel final : public StageChannel
{
public:
    using Answer = std::function<tl::expected<BatchReply, StageCallFailure>(const InstanceSpec &, const std::vector<PieceCall> &)>;
    Answer answer;
    std::atomic<int> calls{0};
    RankedMutex mutex{LockRank::Leaf};
    std::vector<std::string> released;

    tl::expected<BatchReply, StageCallFailure> run(const InstanceSpec &instance, const std::vector<PieceCall> &pieces, TimePoint /*now*/,
                                                   TimePoint /*until*/) override
    {
        ++calls;
        return answer(instance, pieces);
    }
    Result<void> release(const std::string & /*address*/, const std::vector<std::string> &handles, TimePoint /*until*/) override
    {
        const Lock lock(mutex);
        released.insert(released.end(), handles.begin(), handles.end());
        return {};
    }
};

// Grants every retry, or none when `allowed` is false.
class TestRetryBudget final : public RetryBudget
{
public:
    void recordFirstCall(const std::string & /*service*/) override
    {
    }
    bool tryTake(const std::string & /*service*/) override
    {
        return allowed;
    }
    std::atomic<bool> allowed{true};
};

BatchReply handlesFor(const InstanceSpec &instance, const std::vector<PieceCall> &pieces)
{
    BatchReply reply;
    for (const PieceCall &piece : pieces) {
        reply.outcomes.push_back(PieceOutcome{instance.address + "/" + piece.task->request + "-" + std::to_string(piece.piece), PieceError::None});
    }
    return reply;
}

// Stands for the other nodes: whichever of them owns a group completes every task at once, or fails when `unavailable` is set.
class FakePeers final : public StagePeerChannel
{
public:
    std::atomic<int> receivedTasks{0};
    std::atomic<bool> unavailable{false};
    StageTaskReply run(const std::string & /*peer*/, const StageTask &stageTask, TimePoint /*now*/, Duration /*silenceLimit*/,
                       CancellationWatch & /*canceller*/, const std::function<bool()> & /*alive*/) override
    {
        ++receivedTasks;
        StageTaskReply reply;
        if (!unavailable) {
            reply.handles = std::vector<std::string>(stageTask.pieces, "peer:1/r");
        }
        return reply;
    }
    Result<void> release(const std::string & /*peer*/, const std::vector<std::string> & /*handles*/, TimePoint /*until*/) override
    {
        return {};
    }
    bool isAlive(const std::string & /*peer*/, TimePoint /*until*/) override
    {
        return !unavailable;
    }
};
} // namespace

TEST_GROUP(Scheduler)
{
    SystemClock clock;
    DeploymentTable deployments{FreshnessSettings{}};
    InstanceTable instances{clock, InstanceSettings{}};
    FakeChannel channel;
    TestRetryBudget retryBudget;
    CrashTable crashes{clock};
    LocalLedger ledger;
    CrashGuard crashGuard{crashes, ledger};
    GrowingPool pool{16};
    WorkerPool background{1};
    TimerQueue timers{background};
    MetricsRegistry metrics;
    ResultReleaser releaser{channel, timers, pool};
    StageDependencies dependencies{clock, deployments, instances, channel, retryBudget, crashGuard, releaser, pool, timers, metrics};
    StageScheduler scheduler{dependencies};
    Ref<WakeupSignal> progress = makeRef<WakeupSignal>();
    // Latches of calls to `channel`. They outlive the pool's threads, which may still be in a call when a test's body has ended.
    Latch called{1};
    Latch proceed{1};

    void setup() override
    {
        ServiceSpec service;
        service.name = "s";
        // One slot, no queue, at most 4 pieces in a batch; a call takes 1 ms + 0.1 ms for each piece; instances keep results for 4 s.
        service.stage = StageCapacity{1, 0, 4, milliseconds(1), std::chrono::microseconds(100), 0, seconds(4)};
        (void)deployments.install(makeRef<Deployment>(1, std::vector<RouteSpec>{}, std::vector<ServiceSpec>{service}, std::nullopt, FrontLimits{}));
        channel.answer = [](const InstanceSpec &instance, const std::vector<PieceCall> &pieces) {
            return handlesFor(instance, pieces);
        };
        addInstance("i1");
    }
    void teardown() override
    {
        timers.stop();
        pool.stop();
    }
    void addInstance(const std::string &id)
    {
        InstanceSpec spec;
        spec.id = id;
        spec.service = "s";
        spec.address = "127.0.0.1:" + id.substr(1);
        spec.dataCentre = "dc1";
        instances.upsert(spec);
    }
    Ref<StageRun> submit(StageExecutor & executor, const std::string &request, unsigned pieces)
    {
        StageTask stageTask = makeTask(request, pieces);
        stageTask.target = clock.now() + seconds(1);
        stageTask.deadline = clock.now() + seconds(15);
        const auto run = makeRef<StageRun>(stageTask, progress);
        executor.submit(run);
        return run;
    }
    bool awaitEnd(const Ref<StageRun> &run)
    {
        NeverCancelled neverCancelled;
        const TimePoint until = clock.now() + TestTimeout;
        while (!run->outcome() && awaitSignal(*progress, neverCancelled, until)) { }
        return run->outcome().has_value();
    }
};

// Guards against mixed-up results when a task has more pieces than one batch.
TEST(Scheduler, ResultsOfSeveralBatchesAreInPieceOrder)
{
    const auto run = submit(scheduler, "a", 6); // two batches, as a batch has 4 pieces at most
    CHECK(awaitEnd(run));
    STRCMP_EQUAL("127.0.0.1:1/a-0", (**run->outcome()).front().c_str());
    STRCMP_EQUAL("127.0.0.1:1/a-5", (**run->outcome()).back().c_str());
    LONGS_EQUAL(2, channel.calls);
}

// Guards against runs that fail although another instance works: instance i1 loses every connection.
TEST(Scheduler, AFailedCallIsRetriedAtAnotherInstance)
{
    addInstance("i2");
    channel.answer = [](const InstanceSpec &instance, const std::vector<PieceCall> &pieces) -> tl::expected<BatchReply, StageCallFailure> {
        if (instance.id == "i1") {
            return tl::unexpected(StageCallFailure({ErrorCode::ConnectionLost, true, false}));
        }
        return handlesFor(instance, pieces);
    };
    for (int i = 0; i < 5; ++i) {
        const auto run = submit(scheduler, "a" + std::to_string(i), 2);
        CHECK(awaitEnd(run));
        CHECK(run->outcome()->has_value());
    }
}

// Guards against requests whose pieces crash one instance after the other (BUDGET), and against blaming those that were in the same call: after the first
// crash the pieces of each request are sent apart. A repetition under another id reaches no instance any more.
TEST(Scheduler, ARequestWhosePiecesCrashInstancesReachesThreeAtMost)
{
    for (int i = 2; i <= 8; ++i) {
        addInstance("i" + std::to_string(i));
    }
    std::atomic<int> crashed{0};
    std::atomic<std::size_t> mostInFirstCrash{0};
    channel.answer = [&](const InstanceSpec &instance, const std::vector<PieceCall> &pieces) -> tl::expected<BatchReply, StageCallFailure> {
        const bool deadly = std::any_of(pieces.begin(), pieces.end(), [](const PieceCall &piece) {
            return piece.task->crashTrait == "deadly";
        });
        if (deadly) {
            mostInFirstCrash = std::max(mostInFirstCrash.load(), pieces.size());
            ++crashed;
            StageCallFailure failure({ErrorCode::ConnectionLost, true, false});
            failure.crashed = true;
            return tl::unexpected(failure);
        }
        return handlesFor(instance, pieces);
    };
    const auto submitTo = [this](const std::string &request, const std::string &trait) {
        StageTask stageTask = makeTask(request, 1);
        stageTask.target = clock.now() + seconds(5);
        stageTask.deadline = clock.now() + seconds(15);
        stageTask.crashTrait = trait;
        const auto run = makeRef<StageRun>(stageTask, progress);
        scheduler.submit(run);
        return run;
    };
    instances.synchronise({}); // until all wait, so that they share a call
    std::vector<Ref<StageRun>> sound;
    for (int i = 0; i < 3; ++i) {
        sound.push_back(submitTo("sound" + std::to_string(i), "sound" + std::to_string(i)));
    }
    const auto first = submitTo("d1", "deadly");
    for (int i = 1; i <= 8; ++i) {
        addInstance("i" + std::to_string(i));
    }
    scheduler.instancesChanged();
    for (const auto &run : sound) {
        CHECK(awaitEnd(run));
        CHECK(run->outcome()->has_value());
        CHECK_FALSE(crashGuard.blocks(RequestTraits{{}, run->task().crashTrait}));
    }
    CHECK(awaitEnd(first));
    CHECK(first->outcome()->error().code == ErrorCode::SuspectRefused);
    LONGS_EQUAL(3, crashed);
    LONGS_EQUAL(4, static_cast<long>(mostInFirstCrash));
    const auto repeated = submitTo("d2", "deadly");
    CHECK(awaitEnd(repeated));
    CHECK(repeated->outcome()->error().code == ErrorCode::SuspectRefused);
    LONGS_EQUAL(3, crashed);
}

// Guards against retries beyond the budget, which would load a busy service even more.
TEST(Scheduler, WithoutRetryBudgetAFailureIsFinal)
{
    retryBudget.allowed = false;
    channel.answer = [](const InstanceSpec & /*instance*/, const std::vector<PieceCall> & /*pieces*/) -> tl::expected<BatchReply, StageCallFailure> {
        return tl::unexpected(StageCallFailure({ErrorCode::ServerBusy, true, false}));
    };
    const auto run = submit(scheduler, "a", 1);
    CHECK(awaitEnd(run));
    CHECK(run->outcome()->error().code == ErrorCode::Overloaded);
    LONGS_EQUAL(1, channel.calls);
}

// Guards against runs that fail because an instance's storage for results is full for a short time.
TEST(Scheduler, APieceWhoseResultDoesNotFitIsRetriedLater)
{
    std::atomic<int> refusals{2};
    channel.answer = [&refusals](const InstanceSpec &instance, const std::vector<PieceCall> &pieces) -> tl::expected<BatchReply, StageCallFailure> {
        BatchReply reply = handlesFor(instance, pieces);
        if (refusals.fetch_sub(1) > 0) {
            reply.outcomes.front() = PieceOutcome{{}, PieceError::ResultStorageFull};
        }
        return reply;
    };
    const auto run = submit(scheduler, "a", 2);
    CHECK(awaitEnd(run));
    CHECK(run->outcome()->has_value());
}

// A new owner doesn't know of the results that the former one had made: while an instance has no storage, it isn't called again and again,
// since each such call costs the instance its time.
TEST(Scheduler, AnInstanceFullOfAFormerOwnersResultsIsSpared)
{
    ServiceSpec service;
    service.name = "s";
    service.stage = StageCapacity{1, 0, 4, milliseconds(1), std::chrono::microseconds(100), 1000, seconds(4)};
    (void)deployments.install(makeRef<Deployment>(2, std::vector<RouteSpec>{}, std::vector<ServiceSpec>{service}, std::nullopt, FrontLimits{}));
    const TimePoint freeAt = clock.now() + milliseconds(900);
    channel.answer = [this, freeAt](const InstanceSpec &instance, const std::vector<PieceCall> &pieces) -> tl::expected<BatchReply, StageCallFailure> {
        BatchReply reply = handlesFor(instance, pieces);
        if (clock.now() < freeAt) {
            reply.outcomes.assign(pieces.size(), PieceOutcome{{}, PieceError::ResultStorageFull});
        }
        return reply;
    };
    StageTask task = makeTask("a", 1);
    task.resultBytes = 400;
    task.target = clock.now() + seconds(60);
    task.deadline = clock.now() + seconds(60);
    const auto run = makeRef<StageRun>(task, progress);
    scheduler.submit(run);
    CHECK(awaitEnd(run));
    CHECK(run->outcome()->has_value());
    CHECK(channel.calls <= 6); // without the estimate one call each 60 ms: 15
}

// Guards against useless retries when the results of an earlier stage are gone.
TEST(Scheduler, AMissingInputEndsTheRun)
{
    channel.answer = [](const InstanceSpec & /*instance*/, const std::vector<PieceCall> &pieces) -> tl::expected<BatchReply, StageCallFailure> {
        return BatchReply{std::vector<PieceOutcome>(pieces.size(), PieceOutcome{{}, PieceError::InputMissing}), std::nullopt, {}};
    };
    const auto run = submit(scheduler, "a", 1);
    CHECK(awaitEnd(run));
    CHECK(run->outcome()->error().code == ErrorCode::InputsGone);
}

// Guards against a caller that waits for a task that cannot meet its target, as a larger task takes up the only slot.
TEST(Scheduler, ATaskThatWouldBeLateIsShedAtOnce)
{
    channel.answer = [this](const InstanceSpec &instance, const std::vector<PieceCall> &pieces) -> tl::expected<BatchReply, StageCallFailure> {
        (void)proceed.wait(TestTimeout);
        return handlesFor(instance, pieces);
    };
    StageTask big = makeTask("big", 4000); // 1000 batches of 1.4 ms are 1.4 s of work for the only slot
    big.target = clock.now() + seconds(60);
    big.deadline = clock.now() + seconds(60);
    const auto first = makeRef<StageRun>(big, makeRef<WakeupSignal>());
    scheduler.submit(first);
    const auto late = submit(scheduler, "late", 1);
    CHECK(awaitEnd(late));
    CHECK(late->outcome()->error().code == ErrorCode::Overloaded);
    first->cancel();
    proceed.countDown();
}

// Guards against results that fill an instance's storage: the run is cancelled while its call is under way.
TEST(Scheduler, AResultOfACancelledRunIsReleased)
{
    channel.answer = [this](const InstanceSpec &instance, const std::vector<PieceCall> &pieces) -> tl::expected<BatchReply, StageCallFailure> {
        called.countDown();
        (void)proceed.wait(TestTimeout);
        return handlesFor(instance, pieces);
    };
    const auto run = submit(scheduler, "a", 1);
    CHECK(called.wait(TestTimeout));
    run->cancel();
    proceed.countDown();
    const TimePoint until = clock.now() + TestTimeout;
    std::size_t released = 0;
    WakeupSignal neverRaised;
    NeverCancelled neverCancelled;
    while (released == 0 && clock.now() < until) {
        (void)awaitSignal(neverRaised, neverCancelled, clock.now() + milliseconds(5));
        const Lock lock(channel.mutex);
        released = channel.released.size();
    }
    LONGS_EQUAL(1, static_cast<long>(released));
}

// Guards against tasks that fail, or wait for an unavailable owner, although this node can run them.
TEST(Scheduler, ATaskGoesToItsOwnerOrRunsHereWhenTheOwnerIsUnavailable)
{
    FakePeers peers;
    MemberRecord self;
    self.name = "n1";
    self.cores = 0.001; // members with less than half of the largest cores come last
    MemberTable members(clock, MembershipSettings{}, self);
    MemberRecord other;
    other.name = "n2";
    other.cores = 1;
    members.merge({other});
    OwnerStageExecutor ownerExecutor(dependencies, scheduler, peers, members, StageAssignment::Owners);
    const auto first = submit(ownerExecutor, "a", 2);
    CHECK(awaitEnd(first));
    LONGS_EQUAL(1, peers.receivedTasks);
    LONGS_EQUAL(0, channel.calls);
    peers.unavailable = true;
    const auto second = submit(ownerExecutor, "b", 2);
    CHECK(awaitEnd(second));
    LONGS_EQUAL(1, channel.calls);
    const auto third = submit(ownerExecutor, "c", 1); // after its failure with "b" the owner is not called again during the backoff time
    CHECK(awaitEnd(third));
    LONGS_EQUAL(2, peers.receivedTasks);
}

// Guards against cold stage servers that nobody calls, or that several nodes call at their full rate: the owner of their group calls them.
TEST(Scheduler, TheOwnerCallsColdInstances)
{
    InstanceSettings settings;
    settings.node = "n1";
    for (const bool ownsThem : {false, true}) {
        InstanceTable table(clock, settings);
        table.setColdRules({{"s", ColdRule{milliseconds(0), 8, true}}});
        InstanceSpec spec{"i1", "s", "127.0.0.1:1", "dc1", 1, false, 1};
        spec.coldRemaining = seconds(500);
        table.synchronise({spec});
        table.setNodes({NodePlace{"n1", "dc1"}, NodePlace{"n2", "dc1"}});
        MemberRecord self;
        self.name = "n1";
        self.cores = ownsThem ? 1 : 0.001; // members with less than half of the largest cores come last
        MemberTable members(clock, MembershipSettings{}, self);
        MemberRecord other;
        other.name = "n2";
        other.cores = ownsThem ? 0.001 : 1;
        members.merge({other});
        FakePeers peers;
        OwnerStageExecutor ownerExecutor(StageDependencies{clock, deployments, table, channel, retryBudget, crashGuard, releaser, pool, timers, metrics},
                                         scheduler, peers, members, StageAssignment::Owners);
        ownerExecutor.publishOwned();
        CHECK(ownsThem == (table.callableAt("i1") < clock.now() + seconds(10)));
    }
}
