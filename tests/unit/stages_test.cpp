// Work in pieces: batches, room for results, failures, owners.
#include "stages/stages.h"

#include <CppUTest/TestHarness.h>

using namespace vanillanotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr Duration TestLimit = seconds(20);
const TimePoint Now = TimePoint(seconds(1000));

StageTask orderOf(const std::string &request, unsigned pieces)
{
    StageTask order;
    order.request = request;
    order.service = "s";
    order.pieces = pieces;
    order.pieceKey = "key";
    order.target = Now + milliseconds(800);
    order.deadline = Now + seconds(8);
    return order;
}

PendingPieces workOf(const StageTask &order, TimePoint since = Now)
{
    PendingPieces work;
    work.run = makeRef<StageRun>(order, makeRef<WakeupSignal>());
    for (unsigned piece = 0; piece < order.pieces; ++piece) {
        work.pieces.push_back(order.pieces - 1 - piece);
    }
    work.since = since;
    return work;
}

std::string requestsOf(const std::vector<BatchPick> &picks)
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
    StageInstanceView lane{"dc1", 1, 0};
    EarliestFreeTimes nearby;
    std::vector<PendingPieces> queue;

    void teardown() override
    {
        queue.clear();
    }
    std::string plan(std::size_t batch, TimePoint now = Now)
    {
        return requestsOf(planBatch(queue, lane, nearby, batch, now, settings));
    }
};

TEST(Batches, WhatCanMeetItsTargetGoesBeforeWhatCannot)
{
    StageTask late = orderOf("late", 1);
    late.target = Now - milliseconds(10);
    StageTask soon = orderOf("soon", 1);
    soon.target = Now + milliseconds(300);
    queue = {workOf(late), workOf(orderOf("later", 1)), workOf(soon)};
    STRCMP_EQUAL("soon0 later0 ", plan(2).c_str());
    STRCMP_EQUAL("late0 ", plan(2).c_str());
}

TEST(Batches, WhatCannotBeDoneInTimeIsRefusedOnceMuchGoesBeforeIt)
{
    const StageThroughput speed{10, milliseconds(100)}; // pieces a second
    queue = {workOf(orderOf("first", 3)), workOf(orderOf("second", 4)), workOf(orderOf("third", 1))};
    const auto shed = shedLate(queue, speed, Now, settings); // targets are 800 ms away
    LONGS_EQUAL(1, static_cast<long>(shed.size()));
    STRCMP_EQUAL("third", shed.front().run->task().request.c_str()); // 0.7 s go before it
    CHECK(shed.front().expectedWait == milliseconds(700));
    LONGS_EQUAL(2, static_cast<long>(queue.size())); // the second is done in 0.8 s: late, but soon
    CHECK(shedLate(queue, speed, Now, settings).empty());
}

TEST(Batches, LateWorkIsRefusedInTheEndWhileOnTimeWorkWaits)
{
    const StageThroughput speed{10, milliseconds(100)};
    StageTask late = orderOf("late", 1);
    late.target = Now - settings.shed.overdueThreshold - milliseconds(1);
    queue = {workOf(late), workOf(orderOf("fresh", 2))};
    CHECK(shedLate(queue, speed, Now, settings).empty()); // 200 ms of other work: its turn comes
    queue.push_back(workOf(orderOf("more", 1)));
    const auto shed = shedLate(queue, speed, Now, settings);
    LONGS_EQUAL(1, static_cast<long>(shed.size()));
    STRCMP_EQUAL("late", shed.front().run->task().request.c_str());
}

TEST(Batches, TheLastStageOfAChainIsNotRefused)
{
    const StageThroughput speed{10, milliseconds(100)};
    StageTask last = orderOf("last", 1);
    last.target = Now - seconds(3);
    last.endsChain = true;
    queue = {workOf(orderOf("much", 8)), workOf(last)};
    CHECK(shedLate(queue, speed, Now, settings).empty());
}

TEST(Batches, TheSpeedOfLanesIsMeasuredOnceWorkHasWaited)
{
    ThroughputMeter meter;
    meter.markIdle(Now);
    meter.recordStarted(Now + milliseconds(100), 30);
    DOUBLES_EQUAL(100, meter.piecesPerSecond(100, Now + milliseconds(900)), 0.01);
    meter.recordStarted(Now + milliseconds(1050), 30);
    DOUBLES_EQUAL(60, meter.piecesPerSecond(100, Now + milliseconds(1060)), 0.01);
    DOUBLES_EQUAL(25, meter.piecesPerSecond(100, Now + seconds(5)), 0.01); // a stall
    meter.markIdle(Now + seconds(6)); // after a quiet time the lanes are as declared
    DOUBLES_EQUAL(100, meter.piecesPerSecond(100, Now + seconds(6)), 0.01);
}

TEST(Batches, ResultsOfAFailedRunAreGivenUpOnce)
{
    StageRun run(orderOf("r", 2), makeRef<WakeupSignal>());
    CHECK(run.completePiece(0, "10.0.0.1:80/a"));
    CHECK(run.takeUnused().empty()); // still wanted
    run.fail(ErrorCode::Overloaded);
    CHECK(!run.completePiece(1, "10.0.0.1:80/b"));
    const auto unused = run.takeUnused();
    LONGS_EQUAL(1, static_cast<long>(unused.size()));
    STRCMP_EQUAL("10.0.0.1:80/a", unused.front().c_str());
    CHECK(run.takeUnused().empty());
}

TEST(Batches, PriorityShiftsTheOrderByItsStep)
{
    StageTask urgent = orderOf("urgent", 1);
    urgent.target += settings.priorityStep;
    StageTask plain = orderOf("plain", 1);
    plain.priority = 2;
    queue = {workOf(plain), workOf(urgent)};
    STRCMP_EQUAL("urgent0 plain0 ", plan(2).c_str());
}

TEST(Batches, ARequestIsSplitOnlyWhileAnotherWholeBatchWaits)
{
    queue = {workOf(orderOf("a", 3)), workOf(orderOf("b", 2))};
    STRCMP_EQUAL("a0 a1 a2 ", plan(4).c_str());
    queue = {workOf(orderOf("a", 3)), workOf(orderOf("b", 2)), workOf(orderOf("c", 3))};
    STRCMP_EQUAL("a0 a1 a2 b0 ", plan(4).c_str());
}

TEST(Batches, WorkLargerThanABatchIsDoneInParts)
{
    queue = {workOf(orderOf("a", 5))};
    STRCMP_EQUAL("a0 a1 a2 ", plan(3).c_str());
    STRCMP_EQUAL("a3 a4 ", plan(3).c_str());
}

TEST(Batches, NothingIsMadeThatHasNoRoom)
{
    StageTask large = orderOf("large", 2);
    large.resultBytes = 1000;
    queue = {workOf(large), workOf(orderOf("small", 1))};
    lane.freeResultBytes = 1500;
    STRCMP_EQUAL("small0 ", plan(4).c_str());
    lane.freeResultBytes = 2000;
    STRCMP_EQUAL("large0 large1 ", plan(4).c_str());
}

TEST(Batches, LargeMovesWaitForALaneNearby)
{
    StageTask far = orderOf("far", 1);
    far.dataCentre = "dc2";
    far.crossDataCentreBytes = settings.largeTransferBytes;
    queue = {workOf(far)};
    nearby["dc2"] = Now + settings.localFreeWithin;
    STRCMP_EQUAL("", plan(4).c_str());
    nearby["dc2"] = Now + settings.localFreeWithin + milliseconds(1); // too far off
    STRCMP_EQUAL("far0 ", plan(4).c_str());
    queue = {workOf(far)};
    nearby["dc2"] = Now + settings.localMaxWait + settings.localFreeWithin; // it has waited long enough by then
    STRCMP_EQUAL("far0 ", plan(4, Now + settings.localMaxWait).c_str());
    queue = {workOf(far)};
    nearby.clear();
    STRCMP_EQUAL("far0 ", plan(4).c_str());
}

TEST(Batches, ASlowLaneTakesOnlyWhatHasWaited)
{
    lane.slowness = 3;
    queue = {workOf(orderOf("a", 1))};
    STRCMP_EQUAL("", plan(4).c_str());
    STRCMP_EQUAL("a0 ", plan(4, Now + settings.slowInstanceWait).c_str());
}

TEST(Batches, CancelledWorkIsDropped)
{
    queue = {workOf(orderOf("a", 1)), workOf(orderOf("b", 1))};
    queue.front().run->cancel();
    STRCMP_EQUAL("b0 ", plan(4).c_str());
    CHECK(queue.size() <= 1);
}

TEST(Batches, EveryInstanceIsInExactlyOneGroup)
{
    std::vector<InstanceSpec> instances(5);
    for (std::size_t i = 0; i < instances.size(); ++i) {
        instances[i].dataCentre = "dc" + std::to_string(i);
    }
    for (const std::size_t groups : {std::size_t{1}, std::size_t{2}, std::size_t{3}, std::size_t{9}}) {
        for (const InstanceSpec &spec : instances) {
            CHECK(instanceGroupOf(instances, spec.dataCentre, groups) < std::min<std::size_t>(groups, 5));
        }
        CHECK(instanceGroupOf(instances, "elsewhere", groups) < std::min<std::size_t>(groups, 5));
    }
}

TEST_GROUP(Runs){};

TEST(Runs, APieceIsAnsweredOnceAndTheResultIsInOrder)
{
    const auto run = makeRef<StageRun>(orderOf("a", 2), makeRef<WakeupSignal>());
    CHECK(run->completePiece(1, "x:1/b"));
    CHECK_FALSE(run->completePiece(1, "x:1/c"));
    CHECK_FALSE(run->outcome().has_value());
    CHECK(run->completePiece(0, "x:1/a"));
    const std::vector<std::string> expected = {"x:1/a", "x:1/b"};
    CHECK(**run->outcome() == expected);
    run->fail(ErrorCode::Overloaded); // too late to matter
    CHECK(run->outcome()->has_value());
}

TEST(Runs, ACancelledRunTakesNoResult)
{
    const auto run = makeRef<StageRun>(orderOf("a", 1), makeRef<WakeupSignal>());
    run->cancel();
    CHECK_FALSE(run->completePiece(0, "x:1/a"));
}

//-----------------------------------------------------------------------------
// The scheduler, with a channel that answers from a function
//-----------------------------------------------------------------------------

namespace
{
class FakeChannel final : public StageChannel
{
public:
    using Answer = std::function<tl::expected<BatchReply, UpstreamFailure>(const InstanceSpec &, const std::vector<PieceCall> &)>;
    Answer answer;
    std::atomic<int> calls{0};
    RankedMutex mutex{LockRank::Leaf};
    std::vector<std::string> released;

    tl::expected<BatchReply, UpstreamFailure> run(const InstanceSpec &instance, const std::vector<PieceCall> &pieces, TimePoint /*now*/,
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

class EndlessAllowance final : public RetryBudget
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
        reply.outcomes.push_back(PieceOutcome{instance.address + "/" + piece.task->request + "-" + std::to_string(piece.piece), PieceFault::None});
    }
    return reply;
}

class FakePeers final : public StagePeerChannel
{
public:
    std::atomic<int> orders{0};
    std::atomic<bool> dead{false};
    Result<std::vector<std::string>> run(const std::string & /*peer*/, const StageTask &order, TimePoint /*now*/, Duration /*patience*/,
                                         CancellationWatch & /*canceller*/, const std::function<bool()> & /*alive*/) override
    {
        ++orders;
        return dead ? Result<std::vector<std::string>>(fail(ErrorCode::PeerUnavailable)) : std::vector<std::string>(order.pieces, "peer:1/r");
    }
    Result<void> release(const std::string & /*peer*/, const std::vector<std::string> & /*handles*/, TimePoint /*until*/) override
    {
        return {};
    }
    bool isAlive(const std::string & /*peer*/, TimePoint /*until*/) override
    {
        return !dead;
    }
};
} // namespace

TEST_GROUP(Scheduler)
{
    SystemClock clock;
    DeploymentTable deployments{FreshnessSettings{}};
    InstanceTable instances{clock, InstanceSettings{}};
    FakeChannel channel;
    EndlessAllowance allowance;
    GrowingPool pool{16};
    WorkerPool background{1};
    TimerQueue timers{background};
    MetricsRegistry metrics;
    ResultReleaser releaser{channel, timers, pool};
    StageDependencies parts{clock, deployments, instances, channel, allowance, releaser, pool, timers, metrics};
    StageScheduler scheduler{parts};
    Ref<WakeupSignal> progress = makeRef<WakeupSignal>();

    void setup() override
    {
        ServiceSpec service;
        service.name = "s";
        service.stage = StageCapacity{1, 0, 4, milliseconds(1), std::chrono::microseconds(100), 0, seconds(4)};
        (void)deployments.install(
            makeRef<Deployment>(1, std::vector<RouteSpec>{}, std::vector<ServiceSpec>{service}, std::vector<AccountSpec>{}, FrontLimits{}));
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
        StageTask order = orderOf(request, pieces);
        order.target = clock.now() + seconds(1);
        order.deadline = clock.now() + seconds(15);
        const auto run = makeRef<StageRun>(order, progress);
        executor.submit(run);
        return run;
    }
    bool ends(const Ref<StageRun> &run)
    {
        NeverCancelled nobody;
        const TimePoint until = clock.now() + TestLimit;
        while (!run->outcome() && awaitSignal(*progress, nobody, until)) { }
        return run->outcome().has_value();
    }
};

TEST(Scheduler, PiecesComeBackInOrder)
{
    const auto run = submit(scheduler, "a", 6); // more than one batch
    CHECK(ends(run));
    STRCMP_EQUAL("127.0.0.1:1/a-0", (**run->outcome()).front().c_str());
    STRCMP_EQUAL("127.0.0.1:1/a-5", (**run->outcome()).back().c_str());
    LONGS_EQUAL(2, channel.calls);
}

TEST(Scheduler, AFailedCallIsDoneAgainElsewhere)
{
    addInstance("i2");
    channel.answer = [](const InstanceSpec &instance, const std::vector<PieceCall> &pieces) -> tl::expected<BatchReply, UpstreamFailure> {
        if (instance.id == "i1") {
            return tl::unexpected(UpstreamFailure{ErrorCode::ConnectionLost, true, false});
        }
        return handlesFor(instance, pieces);
    };
    for (int i = 0; i < 5; ++i) {
        const auto run = submit(scheduler, "a" + std::to_string(i), 2);
        CHECK(ends(run));
        CHECK(run->outcome()->has_value());
    }
}

TEST(Scheduler, WithoutAnAllowanceAFailureIsFinal)
{
    allowance.allowed = false;
    channel.answer = [](const InstanceSpec & /*instance*/, const std::vector<PieceCall> & /*pieces*/) -> tl::expected<BatchReply, UpstreamFailure> {
        return tl::unexpected(UpstreamFailure{ErrorCode::ServerBusy, true, false});
    };
    const auto run = submit(scheduler, "a", 1);
    CHECK(ends(run));
    CHECK(run->outcome()->error().code == ErrorCode::Overloaded);
    LONGS_EQUAL(1, channel.calls);
}

TEST(Scheduler, APieceWithoutRoomWaitsAndIsDoneLater)
{
    std::atomic<int> refusals{2};
    channel.answer = [&refusals](const InstanceSpec &instance, const std::vector<PieceCall> &pieces) -> tl::expected<BatchReply, UpstreamFailure> {
        BatchReply reply = handlesFor(instance, pieces);
        if (refusals.fetch_sub(1) > 0) {
            reply.outcomes.front() = PieceOutcome{{}, PieceFault::ResultStorageFull};
        }
        return reply;
    };
    const auto run = submit(scheduler, "a", 2);
    CHECK(ends(run));
    CHECK(run->outcome()->has_value());
}

TEST(Scheduler, AMissingInputEndsTheRun)
{
    channel.answer = [](const InstanceSpec & /*instance*/, const std::vector<PieceCall> &pieces) -> tl::expected<BatchReply, UpstreamFailure> {
        return BatchReply{std::vector<PieceOutcome>(pieces.size(), PieceOutcome{{}, PieceFault::InputMissing}), std::nullopt};
    };
    const auto run = submit(scheduler, "a", 1);
    CHECK(ends(run));
    CHECK(run->outcome()->error().code == ErrorCode::InputsGone);
}

TEST(Scheduler, LateWorkBehindMuchOtherWorkEndsAtOnce)
{
    Latch go(1);
    channel.answer = [&go](const InstanceSpec &instance, const std::vector<PieceCall> &pieces) -> tl::expected<BatchReply, UpstreamFailure> {
        (void)go.wait(TestLimit);
        return handlesFor(instance, pieces);
    };
    StageTask big = orderOf("big", 4000); // 1.4 s of the one lane
    big.target = clock.now() + seconds(60);
    big.deadline = clock.now() + seconds(60);
    const auto first = makeRef<StageRun>(big, makeRef<WakeupSignal>());
    scheduler.submit(first);
    const auto late = submit(scheduler, "late", 1);
    CHECK(ends(late));
    CHECK(late->outcome()->error().code == ErrorCode::Overloaded);
    first->cancel();
    go.countDown();
}

TEST(Scheduler, AResultOfACancelledRunIsFreed)
{
    Latch asked(1);
    Latch go(1);
    channel.answer = [&](const InstanceSpec &instance, const std::vector<PieceCall> &pieces) -> tl::expected<BatchReply, UpstreamFailure> {
        asked.countDown();
        (void)go.wait(TestLimit);
        return handlesFor(instance, pieces);
    };
    const auto run = submit(scheduler, "a", 1);
    CHECK(asked.wait(TestLimit));
    run->cancel();
    go.countDown();
    const TimePoint until = clock.now() + TestLimit;
    std::size_t released = 0;
    WakeupSignal pause;
    NeverCancelled nobody;
    while (released == 0 && clock.now() < until) {
        (void)awaitSignal(pause, nobody, clock.now() + milliseconds(5));
        const Lock lock(channel.mutex);
        released = channel.released.size();
    }
    LONGS_EQUAL(1, static_cast<long>(released));
}

TEST(Scheduler, AnOrderGoesToItsOwnerAndToThisNodeWhenTheOwnersAreGone)
{
    FakePeers peers;
    MemberRecord self;
    self.name = "n1";
    self.cores = 0.001; // hardly ever an owner
    MemberTable members(clock, MembershipSettings{}, self);
    MemberRecord other;
    other.name = "n2";
    other.cores = 1;
    members.merge({other});
    OwnerStageExecutor owned(parts, scheduler, peers, members, StageAssignment::Owners);
    const auto first = submit(owned, "a", 2);
    CHECK(ends(first));
    LONGS_EQUAL(1, peers.orders);
    LONGS_EQUAL(0, channel.calls);
    peers.dead = true;
    const auto second = submit(owned, "b", 2);
    CHECK(ends(second));
    LONGS_EQUAL(1, channel.calls);
    const auto third = submit(owned, "c", 1); // the owner isn't asked again for a while
    CHECK(ends(third));
    LONGS_EQUAL(2, peers.orders);
}
