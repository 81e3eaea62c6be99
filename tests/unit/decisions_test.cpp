// Decisions about configuration, members, backend servers (routing, health), limits, retries and suspects; lock order and escaping of log values.
// No nodes or stand-ins are started.
#include "account/account.h"
#include "fakes.h"
#include "fleet/fleet.h"
#include "pipeline/pipeline.h"
#include "request/request.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <sys/wait.h>
#include <unistd.h>

using namespace vanillanotch;
using namespace vanillanotch::test;

namespace
{
BackendServerSpec serverSpec(const std::string &name, double price = 1, unsigned concurrency = 2)
{
    BackendServerSpec spec;
    spec.name = name;
    spec.dataCentre = "dc1";
    spec.address = "127.0.0.1:1";
    spec.capabilities = {"model"};
    spec.concurrency = concurrency;
    spec.pricePerSecond = price;
    return spec;
}

std::vector<Entry> smallConfiguration(const std::vector<BackendServerSpec> &servers)
{
    std::vector<Entry> entries{Entry{DataCentreSpec{"dc1", "test", std::chrono::microseconds(1500)}}};
    for (const BackendServerSpec &server : servers) {
        entries.push_back(Entry{server});
    }
    entries.push_back(Entry{PresetSpec{"ordinary"}});
    entries.push_back(Entry{PresetSpec{"peak"}});
    entries.push_back(Entry{PresetInForce{"ordinary"}});
    return entries;
}

AcquireInput acquireInput(const Clock &clock, Duration wait = Duration::zero())
{
    AcquireInput input;
    input.capability = "model";
    input.waitDeadline = clock.now() + wait;
    input.routing.slack = std::chrono::seconds(5);
    return input;
}

MemberRecord member(int index, const std::string &dataCentre = "dc1")
{
    MemberRecord record;
    record.name = "n" + std::to_string(1000 + index);
    record.dataCentre = dataCentre;
    record.peerAddress = "127.0.0.1:" + std::to_string(index + 1);
    record.incarnation = 1;
    return record;
}
} // namespace

//-----------------------------------------------------------------------------
// Configuration
//-----------------------------------------------------------------------------

TEST_GROUP(ConfigurationDecisions){};

// Guards against errors that are reported one at a time: three violations (unknown data centre, concurrency 0, unknown preset in force)
// must all be in one result.
TEST(ConfigurationDecisions, AnInvalidConfigurationIsRefusedWithEveryViolation)
{
    std::vector<Entry> entries = smallConfiguration({serverSpec("s1")});
    BackendServerSpec invalid = serverSpec("s2");
    invalid.dataCentre = "nowhere";
    invalid.concurrency = 0;
    entries.push_back(Entry{invalid});
    entries.push_back(Entry{PresetInForce{"none"}});
    const auto built = Configuration::build(1, entries);
    CHECK(!built.has_value());
    LONGS_EQUAL(3, static_cast<long>(built.error().size()));
}

// Guards against a node that returns to an older configuration or skips a change, when a revision arrives late (4 after 5) or before its
// predecessor (7 before 6).
TEST(ConfigurationDecisions, TheRevisionNeverDecreasesAndAChangeAfterAGapIsNotApplied)
{
    ConfigurationTable table;
    CHECK(table.install(*Configuration::build(5, smallConfiguration({serverSpec("s1")}))));
    CHECK(!table.install(*Configuration::build(4, smallConfiguration({serverSpec("s1")}))));
    Change change;
    change.revision = 7;
    change.upserts.push_back(Entry{PresetInForce{"peak"}});
    CHECK(!table.install(change).has_value());
    change.revision = 6;
    LONGS_EQUAL(6, static_cast<long>(*table.install(change)));
    STRCMP_EQUAL("peak", table.current()->preset().name.c_str());
    LONGS_EQUAL(1, static_cast<long>(table.changesSince(5)->size()));
    CHECK(!table.changesSince(3).has_value());
}

// Guards against lost or doubled revisions when two operators write at once and the store refuses a call, loses the answer or delays a
// write.
TEST(ConfigurationDecisions, RevisionsHaveNoGapsWhenTwoOperatorsWriteToAFaultyStore)
{
    // Each of the 200 seeds gives another sequence of faults: 30 % of the calls have a fault.
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        ManualClock clock;
        Platform platform = makeMemoryPlatform();
        FaultyTable faulty(*platform.table, seed, 30);
        const auto store = makeTableConfigurationStore(faulty, *platform.objects);
        const auto reliableStore = makeTableConfigurationStore(*platform.table, *platform.objects);
        ConfigurationTable tableA;
        ConfigurationTable tableB;
        ConfigurationService a(*store, tableA, clock);
        ConfigurationService b(*store, tableB, clock);
        std::uint64_t accepted = 0;
        for (int round = 0; round < 6; ++round) {
            accepted += a.replaceAll(smallConfiguration({serverSpec("s1", round + 1)}), 0, "a", "").has_value() ? 1 : 0;
            accepted += b.usePreset(round % 2 == 0 ? "peak" : "ordinary", "b").has_value() ? 1 : 0;
        }
        // Whichever calls or answers were lost: the log of changes holds each revision from 1 to the head exactly once.
        const Revision head = *reliableStore->readHead();
        const auto log = reliableStore->readChanges(0, 100);
        LONGS_EQUAL(head, static_cast<Revision>(log->size()));
        for (std::size_t i = 0; i < log->size(); ++i) {
            LONGS_EQUAL(i + 1, (*log)[i].revision);
        }
        ConfigurationTable freshTable;
        ConfigurationService freshService(*reliableStore, freshTable, clock);
        LONGS_EQUAL(head, *freshService.catchUp());
        CHECK(accepted > 0);
    }
}

//-----------------------------------------------------------------------------
// Members
//-----------------------------------------------------------------------------

TEST_GROUP(MemberDecisions){};

// Guards against members that a pushed change does not reach, or reaches twice: each member passes it on to up to 4 others, and these
// are responsible for separate ranges of the member list.
TEST(MemberDecisions, ThePushTreeReachesEveryMemberOnce)
{
    for (const int size : {1, 2, 3, 7, 40, 117, 300}) {
        std::vector<MemberRecord> members;
        for (int i = 0; i < size; ++i) {
            members.push_back(member(i));
        }
        std::map<std::string, int> reached;
        int depth = 0;
        std::vector<std::pair<std::string, std::string>> level{{members[static_cast<std::size_t>(size) / 2].name, ""}};
        while (!level.empty()) {
            std::vector<std::pair<std::string, std::string>> next;
            for (const auto &[name, end] : level) {
                ++reached[name];
                for (const PushTarget &target : pushTargets(members, name, end, 4)) {
                    next.emplace_back(target.child.name, target.rangeEnd);
                }
            }
            level = std::move(next);
            ++depth;
        }
        LONGS_EQUAL(size, static_cast<long>(reached.size()));
        for (const auto &[name, times] : reached) {
            LONGS_EQUAL(1, times);
        }
        CHECK(depth <= 7);
    }
}

// Guards against a duty (a task that only some members carry out) that is left with too few holders, or changes the other holders too,
// when one of its 3 holders leaves.
TEST(MemberDecisions, ADutyKeepsItsNumberOfHoldersWhenOneLeaves)
{
    std::vector<MemberRecord> members;
    for (int i = 0; i < 117; ++i) {
        members.push_back(member(i));
    }
    const auto holders = [&members] {
        std::set<std::string> names;
        for (const MemberRecord &record : members) {
            if (holdsDuty(members, record.name, "root", 3)) {
                names.insert(record.name);
            }
        }
        return names;
    };
    const std::set<std::string> holdersBefore = holders();
    LONGS_EQUAL(3, static_cast<long>(holdersBefore.size()));
    members.erase(std::find_if(members.begin(), members.end(), [&holdersBefore](const MemberRecord &record) {
        return record.name == *holdersBefore.begin();
    }));
    const std::set<std::string> holdersAfter = holders();
    LONGS_EQUAL(3, static_cast<long>(holdersAfter.size()));
    LONGS_EQUAL(2, std::count_if(holdersAfter.begin(), holdersAfter.end(), [&holdersBefore](const std::string &name) {
                    return holdersBefore.count(name) == 1;
                }));
}

// Guards against a late update that makes a node announce an older configuration revision (5 after 6).
TEST(MemberDecisions, ANodeNeverReportsALowerRevisionThanBefore)
{
    ManualClock clock;
    MemberTable table(clock, MembershipSettings{}, member(0));
    table.updateSelf(MemberState::Alive, 6);
    table.updateSelf(MemberState::Alive, 5);
    LONGS_EQUAL(6, static_cast<long>(table.self().revision));
}

// Guards against sending work to a node that leaves. The platform's VM list lags behind, and old records arrive late: both may still
// show a member as alive after the record with its state Leaving has arrived.
TEST(MemberDecisions, ANewerRecordWinsAndAnOutdatedVmListDoesNotReviveAMember)
{
    ManualClock clock;
    MemberTable table(clock, MembershipSettings{}, member(0));
    table.addListed({member(1)});
    MemberRecord leaving = member(1);
    leaving.version = 2;
    leaving.state = MemberState::Leaving;
    table.merge({leaving});
    table.merge({member(1)});
    table.addListed({member(1)});
    LONGS_EQUAL(1, static_cast<long>(table.usable("dc1").size()));
    LONGS_EQUAL(1, static_cast<long>(table.aliveCount()));
}

//-----------------------------------------------------------------------------
// Backend servers
//-----------------------------------------------------------------------------

TEST_GROUP(ServerDecisions){};

// Guards against new calls to a server that the platform, or setLeaving(), has declared as leaving.
TEST(ServerDecisions, ALeavingServerGetsNoNewWork)
{
    ManualClock clock;
    BackendServerTable table(clock, "dc1", HealthSettings{}, makeDeadlineCostRouting());
    table.reconcile(**Configuration::build(1, smallConfiguration({serverSpec("s1"), serverSpec("s2", 9)})));
    table.replacePlatformLeaving({"s1"});
    for (int i = 0; i < 2; ++i) {
        auto lease = table.acquire(acquireInput(clock));
        STRCMP_EQUAL("s2", lease->server().name.c_str());
    }
    CHECK(table.setLeaving("s2", true));
    LONGS_EQUAL(static_cast<int>(ErrorCode::NoFitServer), static_cast<int>(table.acquire(acquireInput(clock)).error().code));
}

// Guards against servers of an old configuration that come back because revision 5 is applied after revision 6.
TEST(ServerDecisions, AnOlderConfigurationThatArrivesLateChangesNothing)
{
    ManualClock clock;
    BackendServerTable table(clock, "dc1", HealthSettings{}, makeDeadlineCostRouting());
    table.reconcile(**Configuration::build(6, smallConfiguration({serverSpec("new")})));
    table.reconcile(**Configuration::build(5, smallConfiguration({serverSpec("old")})));
    STRCMP_EQUAL("new", table.acquire(acquireInput(clock))->server().name.c_str());
}

// Guards against more calls at once than the servers allow: with all 4 slots taken, a fifth call fails, because
// its time to wait is 0 here.
TEST(ServerDecisions, ConcurrencyIsNeverExceeded)
{
    ManualClock clock;
    BackendServerTable table(clock, "dc1", HealthSettings{}, makeDeadlineCostRouting());
    table.reconcile(**Configuration::build(1, smallConfiguration({serverSpec("s1"), serverSpec("s2")})));
    std::vector<ServerLease> leases;
    for (int i = 0; i < 4; ++i) {
        leases.push_back(std::move(*table.acquire(acquireInput(clock))));
    }
    LONGS_EQUAL(static_cast<int>(ErrorCode::DeadlineExceeded), static_cast<int>(table.acquire(acquireInput(clock)).error().code));
    leases.pop_back();
    CHECK(table.acquire(acquireInput(clock)).has_value());
}

// Guards against a failing server that keeps getting calls, and against many calls at once to a server that may still be failing when its
// quarantine ends: until one probe has succeeded, there is no second call.
TEST(ServerDecisions, AFailingServerIsQuarantinedAndProbedByOneCall)
{
    ManualClock clock;
    BackendServerTable table(clock, "dc1", HealthSettings{}, makeDeadlineCostRouting());
    table.reconcile(**Configuration::build(1, smallConfiguration({serverSpec("s1")})));
    for (int i = 0; i < 3; ++i) {
        table.acquire(acquireInput(clock))->finish(ServerCallOutcome::Failed, std::chrono::milliseconds(1), std::nullopt);
    }
    LONGS_EQUAL(static_cast<int>(ErrorCode::NoFitServer), static_cast<int>(table.acquire(acquireInput(clock)).error().code));
    clock.advance(std::chrono::milliseconds(501)); // the first quarantine takes 500 ms
    auto probe = table.acquire(acquireInput(clock));
    CHECK(probe.has_value());
    CHECK(!table.acquire(acquireInput(clock)).has_value());
    probe->finish(ServerCallOutcome::Succeeded, std::chrono::milliseconds(1), std::nullopt);
    CHECK(table.acquire(acquireInput(clock)).has_value());
}

// Guards against saving cost when little time is left until the deadline (slack), or when costWeight 0 says that cost does not count.
TEST(ServerDecisions, TheCheaperServerIsChosenOnlyWithEnoughSlackAndACostWeight)
{
    const auto policy = makeDeadlineCostRouting();
    ServerView cheap;
    cheap.concurrency = 4;
    cheap.expectedTime = std::chrono::milliseconds(200);
    cheap.pricePerSecond = 1;
    ServerView fast = cheap;
    fast.expectedTime = std::chrono::milliseconds(50);
    fast.pricePerSecond = 20;
    RoutingInput input;
    input.costWeight = 0.8;
    input.slack = std::chrono::seconds(2);
    LONGS_EQUAL(0, static_cast<long>(policy->choose(input, {cheap, fast})));
    input.slack = std::chrono::milliseconds(150);
    LONGS_EQUAL(1, static_cast<long>(policy->choose(input, {cheap, fast})));
    input.slack = std::chrono::seconds(2);
    input.costWeight = 0;
    LONGS_EQUAL(1, static_cast<long>(policy->choose(input, {cheap, fast})));
}

//-----------------------------------------------------------------------------
// Limits, retries, suspects
//-----------------------------------------------------------------------------

TEST_GROUP(LimitDecisions){};

// Guards against a client account that uses more than its share: concurrency 2, 10 requests per second, burst 2.
TEST(LimitDecisions, AnAccountIsLimitedToItsRateAndConcurrency)
{
    ManualClock clock;
    AccountTable table(clock);
    ClientAccountSpec account;
    account.name = "a";
    account.requestsPerSecond = 10;
    account.burst = 2;
    account.concurrency = 2;
    {
        auto first = table.admit(account, 1);
        auto second = table.admit(account, 1);
        CHECK(first.has_value() && second.has_value());
        LONGS_EQUAL(static_cast<int>(ErrorCode::AccountConcurrencyExceeded), static_cast<int>(table.admit(account, 1).error().code));
    }
    LONGS_EQUAL(static_cast<int>(ErrorCode::AccountRateExceeded), static_cast<int>(table.admit(account, 1).error().code));
    clock.advance(std::chrono::milliseconds(101)); // at 10 requests per second, one more is allowed every 100 ms
    CHECK(table.admit(account, 1).has_value());
    CHECK(!table.admit(account, 1).has_value());
}

// Guards against retries that multiply the load when every call fails: of 1000 first attempts at most 10 + 0.1 x 1000 = 110 are retried.
TEST(LimitDecisions, RetriesStayWithinTheirBudget)
{
    const auto policy = makeBudgetedRetry(4, 10); // at most 4 attempts for each stage; the budget starts full: 10 retries
    RetryInput input;
    input.attempts = 1;
    input.remaining = std::chrono::seconds(1);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) { // each first attempt adds 0.1 retries to the budget and then asks for one retry
        policy->countFirstAttempt(0.1);
        retries += policy->tryTake(input) ? 1 : 0;
    }
    CHECK(retries <= 110);
    CHECK(retries >= 100);
}

// Guards against slow answers that are given up although no retry is left: before a call, a request asks whether one would be allowed.
TEST(LimitDecisions, AskingForARetryTakesNone)
{
    const auto policy = makeBudgetedRetry(2, 1);
    RetryInput input;
    input.attempts = 1;
    input.remaining = std::chrono::seconds(1);
    CHECK(policy->wouldAllow(input));
    CHECK(policy->wouldAllow(input));
    CHECK(policy->tryTake(input));
    CHECK_FALSE(policy->wouldAllow(input)); // the budget of one is used up
    policy->countFirstAttempt(1);
    CHECK(policy->wouldAllow(input));
    input.attempts = 2;
    CHECK_FALSE(policy->wouldAllow(input));
    input.attempts = 1;
    input.requiredTime = std::chrono::seconds(2);
    CHECK_FALSE(policy->wouldAllow(input));
}

// Guards against a request that crashes one server after the other. A suspect is the fingerprint (digest of client account, pipeline
// and input) of requests during which servers crashed. Such requests are refused once three different servers have crashed: here this node
// saw two crash and learns of the third from another node's mark.
TEST(LimitDecisions, ASuspectIsRefusedAfterCrashingThreeServersUntilItExpires)
{
    ManualClock clock;
    SuspectTable table(clock);
    int notifications = 0;
    table.setMarkListener([&notifications](const SuspectMark & /*mark*/) {
        ++notifications;
    });
    for (const char *server : {"s1", "s1", "s2"}) {
        table.recordServerCrash("f", server);
    }
    CHECK(table.isSuspect("f"));
    CHECK(!table.refuses("f"));
    table.merge({SuspectMark{"f", {"s3"}, std::chrono::seconds(30)}});
    CHECK(table.refuses("f"));
    LONGS_EQUAL(2, notifications);
    clock.advance(std::chrono::seconds(61)); // the mark expires 60 s after the last crash
    CHECK(!table.refuses("f"));
    CHECK(!table.isSuspect("f"));
}

//-----------------------------------------------------------------------------
// Base library: lock order, log values
//-----------------------------------------------------------------------------

TEST_GROUP(BaseLibrary){};

// Guards against deadlocks: a thread that holds a mutex may only lock mutexes of a higher rank, otherwise the process aborts. Runs in a
// child process, as the test itself must not abort.
TEST(BaseLibrary, LockingALowerRankAborts)
{
    const pid_t child = ::fork();
    if (child == 0) {
        std::signal(SIGABRT, SIG_DFL);
        RankedMutex low(LockRank::Configuration);
        RankedMutex high(LockRank::Requests);
        const Lock first(high);
        const Lock second(low);
        ::_exit(0);
    }
    int status = 0;
    ::waitpid(child, &status, 0);
    CHECK(WIFSIGNALED(status));
    LONGS_EQUAL(SIGABRT, WTERMSIG(status));
}

// Guards against forged log lines: a value with a line feed must not begin a new line.
TEST(BaseLibrary, LogValuesCannotInjectALine)
{
    STRCMP_EQUAL("\"a\\x0aevent=forged\"", escapeLogValue("a\nevent=forged").c_str());
    STRCMP_EQUAL("plain", escapeLogValue("plain").c_str());
    STRCMP_EQUAL("\"\"", escapeLogValue("").c_str());
}
