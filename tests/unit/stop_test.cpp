// Planned stops of a node: what it has taken from other nodes. The nodes' calls run over loopback sockets.
#include "local_ledger.h"
#include "peerhttp/peerhttp.h"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace vanillanotch;
using namespace vanillanotch::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
class UnusedChannel final : public StageChannel
{
public:
    tl::expected<BatchReply, StageCallFailure> run(const InstanceSpec & /*instance*/, const std::vector<PieceCall> & /*pieces*/, TimePoint /*now*/,
                                                   TimePoint /*until*/) override
    {
        return tl::unexpected(StageCallFailure({ErrorCode::ServerBusy, false, false}));
    }
    Result<void> release(const std::string & /*address*/, const std::vector<std::string> & /*handles*/, TimePoint /*until*/) override
    {
        return {};
    }
};

class AmpleBudget final : public RetryBudget
{
public:
    void recordFirstCall(const std::string & /*service*/) override
    {
    }
    bool tryTake(const std::string & /*service*/) override
    {
        return true;
    }
};
} // namespace

TEST_GROUP(Stop)
{
    SystemClock clock;
    DeploymentTable deployments{FreshnessSettings{}};
    InstanceTable instances{clock, InstanceSettings{}};
    UnusedChannel channel;
    AmpleBudget budget;
    CrashTable crashes{clock};
    LocalLedger ledger;
    CrashGuard crashGuard{crashes, ledger};
    MetricsRegistry metrics;
    UpstreamSettings upstream;
    std::atomic<bool> leaving{false};
    GrowingPool pool{16};
    WorkerPool background{1};
    TimerQueue timers{background};

    void teardown() override
    {
        timers.stop();
        pool.stop();
    }
};

// Guards against stage work that waits at a stopping node until that ends: its sender learns in time to have it done elsewhere. The service has no
// instance, so that the task can't end.
TEST(Stop, AStoppingNodeGivesStageTasksBack)
{
    ResultReleaser releaser(channel, timers, pool);
    StageScheduler scheduler(StageDependencies{clock, deployments, instances, channel, budget, crashGuard, releaser, pool, timers, metrics});
    PlacementOwner placement(clock, instances, deployments, metrics);
    PeerHandler handler(scheduler, placement, RelayedTables{}, leaving, metrics);
    FrontServer server("peers", "127.0.0.1:0", handler, pool);
    const auto sender = makeStagePeerChannel(upstream);
    StageTask task;
    task.request = "a1";
    task.service = "stage";
    task.pieces = 1;
    task.target = clock.now() + seconds(5);
    task.deadline = task.target;
    StageTaskReply reply;
    std::atomic<bool> ended{false};
    std::thread waiting([&] {
        NeverCancelled neverCancelled;
        reply = sender->run(server.address(), task, clock.now(), seconds(5), neverCancelled, [] {
            return true;
        });
        ended = true;
    });
    std::this_thread::sleep_for(milliseconds(300));
    CHECK_FALSE(ended);
    leaving = true;
    const TimePoint returnedAt = clock.now();
    handler.returnTasks();
    waiting.join();
    CHECK(clock.now() - returnedAt < seconds(1));
    CHECK(!reply.handles && reply.handles.error().code == ErrorCode::PeerUnavailable);
    server.stop();
}
