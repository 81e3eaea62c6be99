// Evacuated data centres and home regions: rows of the operator's table as they arrive, and which instances may then get work. Hand-driven clock.
// Only tasks from other nodes come over loopback sockets.
#include "entry/entry.h"
#include "local_ledger.h"
#include "memory_stream_ledger.h"
#include "peerhttp/peer_call.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <numeric>

using namespace vanillanotch;
using namespace vanillanotch::test;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{
const std::string Service = "s";
const std::string Configuration = R"({"Version":1,"Routes":[],"Services":[]})";

StoredRows rowsOf(const std::vector<std::string> &keys, bool removed = false)
{
    StoredRows rows;
    for (const std::string &key : keys) {
        rows.rows.push_back(StoredRow{key, key == "config" ? Configuration : "{}", 1, removed});
    }
    return rows;
}

// Instance `index`, in a data centre of three: dc1, dc2, dc3, dc1, ...
InstanceSpec makeInstance(int index)
{
    const std::string number = std::to_string(index);
    return InstanceSpec{"i" + number, Service, "10.0.0.1:8" + number, "dc" + std::to_string(1 + index % 3), 8, false, 1};
}
} // namespace

// Data centres dc1, dc2 and dc3 with two instances each.
TEST_GROUP(Evacuations)
{
    ManualClock clock;
    MetricsRegistry metrics;
    DeploymentTable deployments{FreshnessSettings{}};
    InstanceTable instances{clock, InstanceSettings{}};
    DeploymentListener listener{deployments, instances, metrics};
    std::unique_ptr<ChoicePolicy> choice = makeShortestTimeChoice();

    void setup() override
    {
        for (int i = 0; i < 6; ++i) {
            instances.upsert(makeInstance(i));
        }
    }
    void snapshot(const std::vector<std::string> &keys)
    {
        listener.snapshot(rowsOf(keys), suspendAwareNow(), Duration::max());
    }
    void change(const std::string &key, bool removed = false)
    {
        listener.changes(rowsOf({key}, removed), suspendAwareNow(), Duration::max());
    }
    // The data centres that get work, over all ways by which it is sent: attempts (also repeated ones and those of resumed streams), the choice in
    // advance, and stage calls.
    std::string served()
    {
        std::set<std::string> attempts;
        std::set<std::string> previews;
        for (std::uint64_t prompt = 0; prompt < 200; ++prompt) {
            ChoiceInput input;
            input.service = Service;
            input.affinity = prompt;
            input.acceptsSlow = prompt % 2 == 0;
            input.avoid = prompt % 3 == 0 ? std::set<std::string>{"i0", "i1"} : std::set<std::string>{};
            if (const auto lease = instances.acquire(input, *choice)) {
                attempts.insert(lease->instance().dataCentre);
            }
            if (const auto preview = instances.preview(input, *choice)) {
                previews.insert(preview->dataCentre);
            }
        }
        const auto list = instances.usableInstances(Service)->dataCentres;
        CHECK(attempts == previews);
        CHECK(attempts == std::set<std::string>(list.begin(), list.end()));
        std::string text;
        for (const std::string &dataCentre : attempts) {
            text += dataCentre + " ";
        }
        return text;
    }
};

// Guards against work for an evacuated data centre on any way, and against one that stays evacuated when the row is gone.
TEST(Evacuations, AnEvacuatedDataCentreGetsNoWorkUntilItIsTakenBack)
{
    snapshot({"config"});
    STRCMP_EQUAL("dc1 dc2 dc3 ", served().c_str());
    change("evacuate/dc2");
    STRCMP_EQUAL("dc1 dc3 ", served().c_str());
    CHECK_FALSE(instances.usable("i1"));
    LONGS_EQUAL(1, static_cast<long>(instances.evacuatedCount()));
    // An instance that registers anew while its data centre is evacuated gets nothing either.
    instances.upsert(InstanceSpec{"i1", Service, "10.0.0.1:91", "dc2", 8, false, 2});
    STRCMP_EQUAL("dc1 dc3 ", served().c_str());
    CHECK(instances.findByAddress("10.0.0.1:91").has_value()); // results stored there can still be read
    change("evacuate/dc2", true);
    clock.advance(minutes(1));
    STRCMP_EQUAL("dc1 dc2 dc3 ", served().c_str());
    LONGS_EQUAL(0, static_cast<long>(instances.evacuatedCount()));
}

// Guards against an evacuation that ends the one before it, and against rows of the table that were missed and stay in force.
TEST(Evacuations, TwoDataCentresInTurnAndASnapshotThatReplacesTheSet)
{
    snapshot({"evacuate/dc1", "config"});
    change("evacuate/dc3");
    STRCMP_EQUAL("dc2 ", served().c_str());
    change("evacuate/dc1", true);
    clock.advance(minutes(1));
    STRCMP_EQUAL("dc1 dc2 ", served().c_str());
    snapshot({"config", "evacuate/dc2"}); // the removal of dc3's row was missed
    clock.advance(minutes(1));
    STRCMP_EQUAL("dc1 dc3 ", served().c_str());
}

// Guards against a node that forgets the evacuation while it has no contact with the store.
TEST(Evacuations, TheLastKnownSetHoldsWhileTheStoreIsSilent)
{
    snapshot({"config", "evacuate/dc1"});
    clock.advance(minutes(30));
    STRCMP_EQUAL("dc2 dc3 ", served().c_str());
    listener.changes(StoredRows{}, suspendAwareNow(), seconds(0)); // the store is back, and nothing has changed
    STRCMP_EQUAL("dc2 dc3 ", served().c_str());
}

// Guards against an evacuation that is lifted since the store has come back from an older copy without its row (EVAC): it holds until the operator writes or
// lifts it again, but not for ever; in one era, a row that isn't there any more was removed.
TEST(Evacuations, AnEvacuationOutlastsAnOlderCopy)
{
    const auto receive = [this](std::uint64_t era, const std::vector<std::string> &keys, TimePoint asOf) {
        StoredRows rows = rowsOf(keys);
        rows.position = StorePosition(era, 10);
        listener.snapshot(rows, asOf, seconds(0));
        clock.advance(minutes(1));
    };
    const TimePoint start = suspendAwareNow();
    receive(1, {"config", "evacuate/dc1"}, start);
    receive(2, {"config"}, start + seconds(1));
    receive(2, {"config"}, start + seconds(2));
    STRCMP_EQUAL("dc2 dc3 ", served().c_str());
    receive(3, {"config"}, start + seconds(3));
    STRCMP_EQUAL("dc2 dc3 ", served().c_str());
    change("evacuate/dc1");
    STRCMP_EQUAL("dc2 dc3 ", served().c_str());
    change("evacuate/dc1", true);
    clock.advance(minutes(1));
    STRCMP_EQUAL("dc1 dc2 dc3 ", served().c_str());
    receive(4, {"config", "evacuate/dc3"}, start + seconds(4));
    receive(4, {"config"}, start + seconds(5));
    STRCMP_EQUAL("dc1 dc2 dc3 ", served().c_str());
    receive(4, {"config", "evacuate/dc3"}, start + seconds(6));
    receive(5, {"config"}, start + seconds(7));
    receive(5, {"config"}, start + seconds(36));
    STRCMP_EQUAL("dc1 dc2 ", served().c_str());
    receive(5, {"config"}, start + seconds(38));
    STRCMP_EQUAL("dc1 dc2 dc3 ", served().c_str());
}

// Guards against a node that takes requests with a configuration of this snapshot before the evacuations of the same snapshot are in force.
TEST(Evacuations, ASnapshotsEvacuationsTakeEffectBeforeItsConfiguration)
{
    std::size_t evacuatedAtInstall = 0;
    listener.setInstalledListener([&] {
        evacuatedAtInstall = instances.evacuatedCount();
    });
    snapshot({"config", "evacuate/dc1"});
    LONGS_EQUAL(1, static_cast<long>(evacuatedAtInstall));
}

// Guards against an operator's slip that takes servers away, and against names that count as a data centre.
TEST(Evacuations, AnUnknownDataCentreHasNoEffect)
{
    snapshot({"config", "evacuate/dc9", "evacuate/", "evacuatedc1", "evacuate"});
    STRCMP_EQUAL("dc1 dc2 dc3 ", served().c_str());
    LONGS_EQUAL(0, static_cast<long>(instances.evacuatedCount()));
    instances.synchronise({});
    CHECK_FALSE(instances.noneLeft(Service));
}

// Guards against requests that wait for their deadline although no server may get them.
TEST(Evacuations, WhenAllAreEvacuatedNoneIsLeft)
{
    snapshot({"config", "evacuate/dc1", "evacuate/dc2"});
    CHECK_FALSE(instances.noneLeft(Service));
    change("evacuate/dc3");
    STRCMP_EQUAL("", served().c_str());
    CHECK(instances.noneLeft(Service));
    CHECK(instances.limitedFor(Service) == Duration::zero());
    ChoiceInput input;
    input.service = Service;
    CHECK(instances.acquire(input, *choice).error().code == ErrorCode::NoFitServer);
    change("evacuate/dc1", true);
    CHECK_FALSE(instances.noneLeft(Service));
}

//-----------------------------------------------------------------------------
// A data centre whose evacuation is lifted
//-----------------------------------------------------------------------------

namespace
{
constexpr milliseconds Step{20}; // of the clock; each node sends one request in a step
constexpr milliseconds ReplyTime{300};
constexpr int Bins = 10; // in which requests are counted, over the time in which a data centre gets its load back
constexpr std::size_t Nodes = 12;

std::size_t sum(const std::vector<std::size_t> &counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::size_t{0});
}
} // namespace

// Nodes that send requests to three data centres with four instances each, and learn at the same moment that dc2 is taken back.
TEST_GROUP(Restored)
{
    ManualClock clock;
    InstanceSettings settings;
    std::vector<std::unique_ptr<InstanceTable>> nodes;
    std::deque<std::pair<TimePoint, InstanceLease>> running;

    void setup() override
    {
        for (std::size_t node = 0; node < Nodes; ++node) {
            nodes.push_back(std::make_unique<InstanceTable>(clock, settings));
            for (int i = 0; i < 12; ++i) {
                nodes.back()->upsert(makeInstance(i));
            }
            nodes.back()->setEvacuated({"dc2"});
        }
    }
    void teardown() override
    {
        running.clear();
    }
    // Requests to dc2 by bin; `affinities`: number of prompts, 0: requests without a prompt.
    std::vector<std::size_t> send(ChoicePolicy & policy, std::uint64_t affinities, Duration time)
    {
        std::vector<std::size_t> counts(Bins, 0);
        const TimePoint begin = clock.now();
        std::uint64_t next = 0;
        for (; clock.now() - begin < time; clock.advance(Step)) {
            while (!running.empty() && running.front().first <= clock.now()) {
                running.pop_front();
            }
            for (const auto &node : nodes) {
                ChoiceInput input;
                input.service = Service;
                input.affinity = affinities == 0 ? 0 : 1 + next++ % affinities;
                auto lease = node->acquire(input, policy);
                CHECK(lease.has_value());
                counts.at(static_cast<std::size_t>((clock.now() - begin) * Bins / time)) += lease->instance().dataCentre == "dc2" ? 1 : 0;
                running.emplace_back(clock.now() + ReplyTime, std::move(*lease));
            }
        }
        return counts;
    }
    // The load comes back without a step: little at first, and in no tenth of the time much more than in the one before.
    void checkRise(ChoicePolicy & policy, std::uint64_t affinities)
    {
        LONGS_EQUAL(0, static_cast<long>(sum(send(policy, affinities, seconds(1)))));
        for (const auto &node : nodes) {
            node->setEvacuated({});
        }
        const auto rise = send(policy, affinities, settings.restoreDuration);
        const auto usual = static_cast<double>(sum(send(policy, affinities, settings.restoreDuration))) / Bins;
        CHECK(usual > 0);
        CHECK(static_cast<double>(rise.front()) < 0.15 * usual);
        CHECK(static_cast<double>(rise.back()) > 0.6 * usual);
        for (std::size_t bin = 1; bin < rise.size(); ++bin) {
            CHECK(static_cast<double>(rise[bin]) < static_cast<double>(rise[bin - 1]) + 0.45 * usual);
        }
    }
};

// Guards against a step: the servers look idle to all nodes at the same moment.
TEST(Restored, RequestsWithoutAPromptComeBackOverTime)
{
    const auto policy = makeLeastOutstandingChoice();
    checkRise(*policy, 0);
}

// Guards against prompts that all return to their engines in the data centre in one moment.
TEST(Restored, PromptsReturnToTheirEnginesOverTime)
{
    const auto policy = makePrefixAffinityChoice();
    checkRise(*policy, 500);
}

// Guards against one popular prompt that moves all its requests at once.
TEST(Restored, APopularPromptReturnsOverTime)
{
    std::uint64_t popular = 0; // a prompt whose requests go to dc2
    const auto policy = makePrefixAffinityChoice();
    InstanceTable usual(clock, settings);
    for (int i = 0; i < 12; ++i) {
        usual.upsert(makeInstance(i));
    }
    ChoiceInput input;
    input.service = Service;
    do {
        input.affinity = ++popular;
    } while (usual.preview(input, *policy)->dataCentre != "dc2");
    for (const auto &node : nodes) {
        node->setEvacuated({});
    }
    std::vector<int> bins(Bins, 0);
    for (int &count : bins) {
        clock.advance(settings.restoreDuration / Bins);
        for (int i = 0; i < 1000; ++i) {
            count += nodes.at(static_cast<std::size_t>(i) % Nodes)->preview(input, *policy)->dataCentre == "dc2" ? 1 : 0;
        }
    }
    LONGS_EQUAL(1000, bins.back());
    int before = 0;
    for (const int count : bins) {
        CHECK(count < before + 500);
        before = count;
    }
}

// Guards against requests that are refused because all servers that are left have just been taken back, and against an evacuation that is
// weakened by an earlier one.
TEST(Restored, ADataCentreThatIsAloneServesAtOnceAndAnEvacuationHoldsAgain)
{
    const auto policy = makeShortestTimeChoice();
    nodes.front()->setEvacuated({"dc1", "dc2", "dc3"});
    nodes.front()->setEvacuated({"dc1", "dc3"});
    ChoiceInput input;
    input.service = Service;
    for (int i = 0; i < 100; ++i) {
        CHECK(nodes.front()->acquire(input, *policy).has_value());
        clock.advance(milliseconds(10));
    }
    nodes.front()->setEvacuated({"dc2"});
    for (int i = 0; i < 100; ++i) {
        CHECK(nodes.front()->acquire(input, *policy)->instance().dataCentre != "dc2");
    }
}

//-----------------------------------------------------------------------------
// Home regions
//-----------------------------------------------------------------------------

TEST_GROUP(Homes)
{
    const DataCentreRegions regions{{"dc1", "north"}, {"dc2", "south"}, {"dc3", "south"}, {"dc4", ""}};
    DataCentreScope scopeOf(const std::set<std::string> &route, const std::set<std::string> &account)
    {
        DataCentreScope scope;
        scope.restrictTo(route, regions);
        scope.restrictTo(account, regions);
        return scope;
    }
};

// Guards against a restriction of the route that takes the place of the account's, or the other way round.
TEST(Homes, ThoseOfRouteAndAccountBothApply)
{
    CHECK_FALSE(scopeOf({}, {}).dataCentres().has_value());
    CHECK(scopeOf({}, {}).allows("dc9"));
    for (const auto &scope : {scopeOf({"south"}, {}), scopeOf({}, {"south"}), scopeOf({"south"}, {"north", "south"}), scopeOf({"north", "south"}, {"south"})}) {
        CHECK(scope.allows("dc2") && scope.allows("dc3"));
        CHECK_FALSE(scope.allows("dc1"));
    }
    CHECK_FALSE(scopeOf({"south"}, {"north"}).allows("dc1"));
    CHECK_FALSE(scopeOf({"south"}, {"north"}).allows("dc2"));
}

// Guards against servers whose region nobody has stated.
TEST(Homes, AnUnknownDataCentreOrRegionIsNotAllowed)
{
    CHECK_FALSE(scopeOf({"south"}, {}).allows("dc9"));
    CHECK_FALSE(scopeOf({"south"}, {}).allows("dc4"));
    CHECK_FALSE(scopeOf({"west"}, {}).allows("dc1"));
    DataCentreScope withoutRegions;
    withoutRegions.restrictTo({"south"}, {});
    CHECK_FALSE(withoutRegions.allows("dc2"));
}

// Guards against restrictions that the operator's document states and that are not in force, also under a type that can't be read.
TEST(Homes, AreReadFromRoutesAndAccounts)
{
    const auto document = [](const std::string &route, const std::string &account) {
        return platform::decodeDeployment(R"({"Version":1,"Services":[],"Routes":[{"Host":"h","Prefix":"/a/","Kind":"idempotent","Service":"s")" + route
                                          + R"(}],"Tenants":[{"Name":"t","ApiKeys":["k"])" + account + "}]}");
    };
    const auto both = document(R"(,"AllowedRegions":["north","south"])", R"(,"AllowedRegions":["south"])");
    CHECK(both.has_value());
    CHECK((*both)->route("h", "/a/x")->allowedRegions == (std::set<std::string>{"north", "south"}));
    CHECK((*both)->accountOf("k")->allowedRegions == std::set<std::string>{"south"});
    for (const char *none : {"", R"(,"AllowedRegions":[])", R"(,"AllowedRegions":null)"}) {
        CHECK(document(none, none).has_value());
        CHECK((*document(none, none))->route("h", "/a/x")->allowedRegions.empty());
    }
    CHECK_FALSE(document(R"(,"AllowedRegions":"north")", "").has_value());
    CHECK_FALSE(document("", R"(,"AllowedRegions":[7])").has_value());
}

// Guards against settings from the platform's template that can't be read, and against regions that are lost or taken from a wrong entry.
TEST(Homes, RegionsComeFromTheSettings)
{
    const std::string others = "node: n\ndata_centre: dc1\ncaller_address: a:1\nreadiness_address: a:2\npeer_address: a:3\nstore_address: a:4\n";
    const auto settings = parseEntrySettingsYaml(others + R"(regions: {"dc1":"north","dc 2":"south"})", "f");
    CHECK(settings.has_value());
    CHECK(settings->regions == (DataCentreRegions{{"dc1", "north"}, {"dc 2", "south"}}));
    for (const char *none : {"", "regions: {}", "regions: null", "regions:"}) {
        CHECK(parseEntrySettingsYaml(others + none, "f").value().regions.empty());
    }
    for (const char *odd : {"regions: north", "regions: [north]", R"(regions: {"dc1":{}})", R"(regions: {"dc1":"north","dc1":"south"})"}) {
        CHECK_FALSE_TEXT(parseEntrySettingsYaml(others + odd, "f").has_value(), odd);
    }
}

// Guards against a request that reaches a server outside its scope, also when that is the only one that is free, and against a request that waits in
// a busy loop because servers that it may not use are free.
TEST(Evacuations, ARequestUsesOnlyInstancesWithinItsScope)
{
    ChoiceInput input;
    input.service = Service;
    input.scope = DataCentreScope({"dc1", "dc9"});
    for (std::uint64_t prompt = 0; prompt < 100; ++prompt) {
        input.affinity = prompt;
        input.avoid = prompt % 2 == 0 ? std::set<std::string>{"i0", "i3"} : std::set<std::string>{};
        STRCMP_EQUAL("dc1", instances.acquire(input, *choice)->instance().dataCentre.c_str());
        STRCMP_EQUAL("dc1", instances.preview(input, *choice)->dataCentre.c_str());
    }
    InstanceStatement pause;
    pause.pause = seconds(7);
    instances.recordStatement("i0", pause);
    instances.recordStatement("i3", pause);
    CHECK(instances.acquire(input, *choice).error().code == ErrorCode::ServersLimited);
    CHECK(instances.limitedFor(Service, input.scope) == seconds(7));
    CHECK(instances.limitedForNext(Service, 0, input.scope) == seconds(7));
    CHECK(instances.limitedFor(Service) == Duration::zero());
    instances.setEvacuated({"dc1"});
    CHECK(instances.noneLeft(Service, input.scope));
    CHECK_FALSE(instances.noneLeft(Service));
    CHECK(instances.acquire(input, *choice).error().code == ErrorCode::NoFitServer);
}

//-----------------------------------------------------------------------------
// Pieces that wait when the instances of their group disappear
//-----------------------------------------------------------------------------

namespace
{
constexpr Duration EndLimit = seconds(5); // real time for what the scheduler's threads do at once

class EchoChannel final : public StageChannel
{
public:
    std::atomic<std::size_t> largestBatch{0};
    RankedMutex mutex{LockRank::Leaf};
    std::set<std::string> dataCentres; // that got calls
    tl::expected<BatchReply, StageCallFailure> run(const InstanceSpec &instance, const std::vector<PieceCall> &pieces, TimePoint /*now*/,
                                                   TimePoint /*until*/) override
    {
        largestBatch = std::max(largestBatch.load(), pieces.size());
        {
            const Lock lock(mutex);
            dataCentres.insert(instance.dataCentre);
        }
        return BatchReply{std::vector<PieceOutcome>(pieces.size(), PieceOutcome{instance.address + "/" + instance.dataCentre, PieceError::None}), {}, {}};
    }
    Result<void> release(const std::string & /*address*/, const std::vector<std::string> & /*handles*/, TimePoint /*until*/) override
    {
        return {};
    }
};

class OpenBudget final : public RetryBudget
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

// Data centres dc0 to dc3 with one instance each, in four groups. The clock stands still; the pieces' deadline never comes.
TEST_GROUP(QueuedPieces)
{
    ManualClock clock;
    DeploymentTable deployments{FreshnessSettings{}};
    InstanceTable instances{clock, InstanceSettings{}};
    EchoChannel channel;
    OpenBudget budget;
    CrashTable crashes{clock};
    LocalLedger ledger;
    CrashGuard crashGuard{crashes, ledger};
    GrowingPool pool{8};
    WorkerPool background{1};
    TimerQueue timers{background};
    MetricsRegistry metrics;
    ResultReleaser releaser{channel, timers, pool};
    StageScheduler scheduler{StageDependencies{clock, deployments, instances, channel, budget, crashGuard, releaser, pool, timers, metrics}};
    Ref<WakeupSignal> progress = makeRef<WakeupSignal>();

    void setup() override
    {
        ServiceSpec service;
        service.name = Service;
        service.stage = StageCapacity{1, 0, 4, milliseconds(1), std::chrono::microseconds(100), 0, seconds(4)};
        (void)deployments.install(makeRef<Deployment>(1, std::vector<RouteSpec>{}, std::vector<ServiceSpec>{service}, std::nullopt, FrontLimits{}));
        instances.setChangeListener([this] {
            scheduler.instancesChanged();
        });
        for (int i = 0; i < 4; ++i) {
            const std::string number = std::to_string(i);
            instances.upsert(InstanceSpec{"i" + number, Service, "10.0.0.1:8" + number, "dc" + number, 1, false, 1});
        }
    }
    void teardown() override
    {
        timers.stop();
        pool.stop();
    }
    StageTask makeTask(unsigned pieces, const InstanceGroup &group, const DataCentreScope &scope = {}) const
    {
        StageTask task;
        task.request = "r";
        task.service = Service;
        task.pieces = pieces;
        task.pieceKey = "key";
        task.group = group;
        task.scope = scope;
        task.target = clock.now() + minutes(10);
        task.deadline = clock.now() + minutes(10);
        return task;
    }
    Ref<StageRun> submit(StageExecutor & executor, const StageTask &task)
    {
        const auto run = makeRef<StageRun>(task, progress);
        executor.submit(run);
        return run;
    }
    // A task in the group of data centre `index`, whose instance wants nothing for a while, so that the pieces wait.
    Ref<StageRun> queued(std::size_t index)
    {
        InstanceStatement statement;
        statement.pause = minutes(5);
        instances.recordStatement("i" + std::to_string(index), statement);
        StageTask task = makeTask(6, InstanceGroup{index, 4});
        task.dataCentre = "dc" + std::to_string(index);
        const auto run = submit(scheduler, task);
        LONGS_EQUAL(6, static_cast<long>(scheduler.waitingPieces()));
        return run;
    }
    bool ends(const Ref<StageRun> &run)
    {
        NeverCancelled neverCancelled;
        const TimePoint until = std::chrono::steady_clock::now() + EndLimit;
        while (!run->outcome() && awaitSignal(*progress, neverCancelled, until)) { }
        return run->outcome().has_value();
    }
};

// Guards against pieces that wait until their deadline in a group whose data centre was evacuated: also in the last group, whose index no data centre
// has any more.
TEST(QueuedPieces, MoveToAnotherGroupWhenTheirDataCentreIsEvacuated)
{
    const auto run = queued(3);
    instances.setEvacuated({"dc3"});
    CHECK(ends(run));
    CHECK(run->outcome()->has_value());
    LONGS_EQUAL(0, static_cast<long>(scheduler.waitingPieces()));
}

// Guards against the same when the data centre has lost all its servers without an evacuation, and no listener is told.
TEST(QueuedPieces, MoveToAnotherGroupWhenTheirDataCentreLosesItsServers)
{
    const auto run = queued(3);
    instances.remove("i3");
    CHECK(ends(run));
    CHECK(run->outcome()->has_value());
}

// Guards against pieces that end up in a group without instances when two data centres disappear one after the other.
TEST(QueuedPieces, TwoDataCentresInTurn)
{
    InstanceStatement pause;
    pause.pause = minutes(5);
    instances.recordStatement("i2", pause);
    const auto run = queued(3);
    instances.setEvacuated({"dc3"});
    instances.setEvacuated({"dc2", "dc3"});
    CHECK(ends(run));
    CHECK(run->outcome()->has_value());
}

// Guards against pieces that wait until their deadline although no instance may get them.
TEST(QueuedPieces, FailAtOnceWhenAllDataCentresAreEvacuated)
{
    const auto run = queued(1);
    instances.setEvacuated({"dc0", "dc1", "dc2", "dc3"});
    CHECK(ends(run));
    CHECK(run->outcome()->error().code == ErrorCode::NoFitServer);
}

// Guards against full batches for all servers of a data centre in the moment in which its evacuation is lifted.
TEST(QueuedPieces, BatchesGrowAfterAnEvacuation)
{
    instances.setEvacuated({"dc3"});
    instances.setEvacuated({});
    const auto largestBatch = [this] {
        CHECK(ends(submit(scheduler, makeTask(12, InstanceGroup{3, 4}))));
        return channel.largestBatch.exchange(0);
    };
    LONGS_EQUAL(1, static_cast<long>(largestBatch()));
    clock.advance(InstanceSettings{}.restoreDuration / 2);
    LONGS_EQUAL(2, static_cast<long>(largestBatch()));
    clock.advance(InstanceSettings{}.restoreDuration / 2);
    LONGS_EQUAL(4, static_cast<long>(largestBatch()));
}

// Guards against pieces that reach a data centre outside the scope of their request: in a group of its own, in one for all, and when the group has none
// within the scope.
TEST(QueuedPieces, ReachOnlyDataCentresWithinTheirScope)
{
    for (const std::size_t groups : {std::size_t{1}, std::size_t{2}, std::size_t{4}}) {
        const auto run = submit(scheduler, makeTask(40, InstanceGroup{0, groups}, DataCentreScope({"dc1"})));
        CHECK(ends(run));
        CHECK(run->outcome()->has_value());
    }
    const Lock lock(channel.mutex);
    CHECK(channel.dataCentres == std::set<std::string>{"dc1"});
}

// Guards against a scope that is lost between two nodes, and against tasks of nodes of an earlier version, which state none, that are refused.
TEST(QueuedPieces, TheScopeOfATaskHoldsAtItsOwner)
{
    const std::atomic<bool> leaving{false};
    SystemClock systemClock;
    PlacementOwner placement(systemClock, instances, deployments, metrics);
    MemoryStreamLedger streamLedger;
    NoStreamPeers noPeers;
    StreamVersions streams(systemClock, instances, streamLedger, noPeers.peers, pool, ContinuitySettings{}, metrics);
    PeerHandler handler(scheduler, placement, streams, deployments, RelayedTables{}, leaving, metrics);
    FrontServer server("peers", "127.0.0.1:0", handler, pool);
    const auto peers = makeStagePeerChannel(UpstreamSettings{});
    StageTask task = makeTask(1, InstanceGroup{}, DataCentreScope(std::set<std::string>{}));
    task.target = systemClock.now() + minutes(10);
    task.deadline = systemClock.now() + minutes(10);
    NeverCancelled neverCancelled;
    const auto alive = [] {
        return true;
    };
    const auto refused = peers->run(server.address(), task, systemClock.now(), seconds(5), neverCancelled, alive);
    CHECK(refused.handles.error().code == ErrorCode::NoFitServer);
    const std::string old = R"({"request":"r","stage":0,"service":"s","pieces":1,"lanes":[0,1],"key":"k","moved_bytes":0,"result_bytes":0,"data_centre":"",)"
                            R"("target_ms":60000,"deadline_ms":60000,"priority":0,"finishing":false})";
    const TimePoint until = systemClock.now() + seconds(5);
    const auto served = callPeer(UpstreamSettings{}, PeerCall{server.address(), "/v1/stage-orders", old, until, until}, neverCancelled, alive);
    CHECK(served.has_value() && served->body.find("handles") != std::string::npos);
    server.stop();
    pool.stop(); // its threads may still be in the server's handler when the answer has come
}

// Guards against pieces that reach another region through an owner of an earlier version, which doesn't heed scopes: they run at this node.
TEST(QueuedPieces, RestrictedTasksGoToNoOwnerThatDoesNotHeedScopes)
{
    MemberRecord self;
    self.name = "n1";
    self.cores = 0.001; // members with less than half of the largest cores come last
    MemberTable members(clock, MembershipSettings{}, self);
    const auto earlier = decodeMember("n2", R"({"data_centre":"dc0","peer_address":"127.0.0.1:1","incarnation":1,"cores":1})");
    members.merge({*earlier});
    const auto peers = makeStagePeerChannel(UpstreamSettings{});
    OwnerStageExecutor executor(StageDependencies{clock, deployments, instances, channel, budget, crashGuard, releaser, pool, timers, metrics}, scheduler,
                                *peers, members, StageAssignment::Owners, OwnerSettings{});
    const auto failures = [this] {
        return metrics.renderText().find("vanillanotch_stage_owner_failures_total") != std::string::npos;
    };
    for (const bool restricted : {true, false}) {
        CHECK(ends(submit(executor, makeTask(1, InstanceGroup{}, restricted ? DataCentreScope({"dc1"}) : DataCentreScope()))));
        CHECK(failures() != restricted);
    }
    CHECK(decodeMember("n1", encodeMember(*earlier)).has_value() && !decodeMember("n1", encodeMember(*earlier))->keepsScopes);
    self.keepsScopes = true;
    CHECK(decodeMember("n1", encodeMember(self))->keepsScopes);
    timers.stop();
    pool.stop(); // its threads use the executor
}
