// Configuration in force (routes, trust in API keys), instances, watches of store tables, estimates, retry budgets and relays.
#include "deployment/deployment.h"
#include "fleet/fleet.h"
#include "forwarding/forwarding.h"
#include "instances/instances.h"
#include "watch/watch.h"

#include <CppUTest/TestHarness.h>

#include <limits>

using namespace vanillanotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
RouteSpec route(const std::string &prefix)
{
    RouteSpec spec;
    spec.name = prefix;
    spec.host = "h";
    spec.prefix = prefix;
    spec.services.push_back(WeightedService{"s", 1});
    return spec;
}

DeploymentRef deployment(std::uint64_t version)
{
    AccountSpec account;
    account.name = "t";
    account.apiKeys = {"key"};
    return makeRef<Deployment>(version, std::vector<RouteSpec>{route("/a/"), route("/a/b/")}, std::vector<ServiceSpec>{}, std::vector<AccountSpec>{account},
                               FrontLimits{});
}

InstanceSpec instance(const std::string &id, std::int64_t startedUnixMs = 0)
{
    InstanceSpec spec;
    spec.id = id;
    spec.service = "s";
    spec.address = "127.0.0.1:1";
    spec.dataCentre = "dc1";
    spec.startedUnixMs = startedUnixMs;
    return spec;
}

// Answers each call with the next entry of `answers`. The first call after the last entry counts `done` down; that call and all later
// calls fail.
class ScriptedStore final : public StateStore
{
public:
    std::vector<Result<StoredRows>> answers;
    std::vector<std::string> calls;
    std::vector<milliseconds> waits;
    Latch done{1};

    Result<StoredRows> readTable(const std::string & /*table*/, Duration /*timeout*/) override
    {
        return next("read");
    }
    Result<StoredRows> awaitChanges(const std::string & /*table*/, const StorePosition &after, milliseconds wait, Duration /*timeout*/) override
    {
        waits.push_back(wait);
        return next("after " + std::to_string(after.version()));
    }
    Result<void> writeRows(const std::string & /*table*/, const std::vector<RowWrite> & /*rows*/, Duration /*timeout*/) override
    {
        return {};
    }
    Result<void> removeRow(const std::string & /*table*/, const std::string & /*key*/, Duration /*timeout*/) override
    {
        return {};
    }

private:
    Result<StoredRows> next(const std::string &call)
    {
        if (m_next < answers.size()) {
            calls.push_back(call);
            return answers[m_next++];
        }
        if (!std::exchange(m_ended, true)) {
            done.countDown(); // only once: the watch continues to call
        }
        return fail(ErrorCode::PlatformUnavailable);
    }
    std::size_t m_next = 0;
    bool m_ended = false;
};

// Instances whose entries expired during an outage are registered again within this time after it.
constexpr seconds MissingEntryTime{2};

class RecordingListener final : public TableListener
{
public:
    std::vector<std::string> seen;
    void snapshot(const StoredRows &rows, TimePoint /*asOf*/, Duration storeWorksFor) override
    {
        seen.push_back("snapshot " + std::to_string(rows.position.version()) + (storeWorksFor < MissingEntryTime ? " after outage" : ""));
    }
    void changes(const StoredRows &rows, TimePoint /*asOf*/, Duration storeWorksFor) override
    {
        seen.push_back("changes " + std::to_string(rows.position.version()) + (storeWorksFor < MissingEntryTime ? " after outage" : ""));
    }
};

StoredRows rowsAt(std::uint64_t version)
{
    StoredRows rows;
    rows.position = StorePosition(1, version);
    return rows;
}
} // namespace

TEST_GROUP(Deployment){};

// Guards against requests that go to the wrong route: of the routes of a host, the one with the longest matching path prefix is used.
TEST(Deployment, TheLongestPrefixOfAHostWins)
{
    const DeploymentRef current = deployment(1);
    STRCMP_EQUAL("/a/b/", current->route("h", "/a/b/c")->name.c_str());
    STRCMP_EQUAL("/a/", current->route("h:80", "/a/bc")->name.c_str());
    CHECK(current->route("h", "/b/") == nullptr);
    CHECK(current->route("i", "/a/") == nullptr);
}

// Guards against a late answer that brings back an older configuration.
TEST(Deployment, AnOlderVersionIsNeverInstalled)
{
    DeploymentTable table{FreshnessSettings{}};
    CHECK(table.install(deployment(5)));
    CHECK_FALSE(table.install(deployment(4)));
    CHECK_FALSE(table.install(deployment(5)));
    LONGS_EQUAL(5, static_cast<long>(table.current()->version()));
}

// Guards against use of a revoked API key: a node that cannot confirm that its configuration is the newest must first stop being ready, and
// then stop trusting API keys.
TEST(Deployment, ApiKeysAreTrustedOnlyWhileTheConfirmationIsRecent)
{
    FreshnessSettings settings;
    settings.revocationBound = seconds(5); // by the default shares: ready for 3.5 s, API keys trusted for 4.5 s
    DeploymentTable table(settings);
    const TimePoint start = TimePoint(seconds(1000));
    CHECK_FALSE(table.keysTrusted(start));
    (void)table.install(deployment(1));
    table.confirmNewest(start);
    CHECK(table.ready(start + seconds(3)));
    CHECK_FALSE(table.ready(start + seconds(4)));
    CHECK(table.keysTrusted(start + seconds(4)));
    CHECK_FALSE(table.keysTrusted(start + milliseconds(4500)));
    table.confirmNewest(start - seconds(1)); // an older confirmation does not replace the newer one
    CHECK(table.ready(start + seconds(3)));
}

// Guards against data that counts as newer than it is, because an answer to a long poll arrives late.
TEST(Deployment, TheStoresClockGivesTheEarliestTimeOfAnAnswer)
{
    StoreClockMapping clock;
    const auto at = [](milliseconds time) {
        return TimePoint(seconds(100) + time);
    };
    // A quick call: sent at 0 ms, answer received at 10 ms; in the answer the store's clock says 50,000 ms.
    CHECK(clock.earliestAnswerTime(milliseconds(50000), at(milliseconds(0)), at(milliseconds(10))) == at(milliseconds(0)));
    // A long poll that the store answered 2 s after the first call by its clock; the answer took 3 s more to arrive.
    CHECK(clock.earliestAnswerTime(milliseconds(52000), at(milliseconds(20)), at(milliseconds(5000))) == at(milliseconds(2000)));
    // The store's clock started again from 0. The offset learned before no longer applies, so the result is the time at which the call was
    // sent.
    CHECK(clock.earliestAnswerTime(milliseconds(10), at(milliseconds(6000)), at(milliseconds(8000))) == at(milliseconds(6000)));
    // The result is never earlier than the call was sent and never later than its answer was received (here the latter limit applies).
    CHECK(clock.earliestAnswerTime(milliseconds(90000), at(milliseconds(9000)), at(milliseconds(9100))) == at(milliseconds(9100)));
}

TEST_GROUP(Instances)
{
    ManualClock clock;
    InstanceSettings settings;
    std::unique_ptr<InstanceTable> table;
    std::unique_ptr<ChoicePolicy> policy = makeShortestTimeChoice();
    ChoiceInput input;

    void setup() override
    {
        settings.dataCentre = "dc1";
        table = std::make_unique<InstanceTable>(clock, settings);
        input.service = "s";
    }
    void teardown() override
    {
        table.reset();
        policy.reset();
    }
};

// Guards against calls to an instance that is about to end or has left the registry.
TEST(Instances, ADrainingOrRemovedInstanceGetsNoCalls)
{
    InstanceSpec spec = instance("i");
    table->upsert(spec);
    CHECK(table->acquire(input, *policy).has_value());
    spec.draining = true;
    table->upsert(spec);
    CHECK(table->acquire(input, *policy).error().code == ErrorCode::NoFitServer);
    table->upsert(instance("i"));
    table->remove("i");
    CHECK(table->acquire(input, *policy).error().code == ErrorCode::NoFitServer);
}

// Guards against dropping healthy instances whose entries expired only because the registry had failed (the argument `true` of remove()).
TEST(Instances, AnEntryMissingAfterARegistryOutageIsKeptForTheGracePeriod)
{
    table->upsert(instance("i"));
    table->remove("i", Duration::zero());
    CHECK(table->usable("i"));
    clock.advance(settings.missingEntryGrace + milliseconds(1));
    CHECK_FALSE(table->usable("i")); // the entry is still missing after the grace period
    table->upsert(instance("i"));
    CHECK(table->usable("i"));
    InstanceSpec leaving = instance("i");
    leaving.draining = true;
    table->upsert(leaving);
    table->remove("i", Duration::zero()); // a draining instance gets no grace period: it is removed at once
    LONGS_EQUAL(0, static_cast<long>(table->size()));
}

// Guards against entries that stay in the table forever: those whose grace period is over are removed at the next change.
TEST(Instances, AMissingEntryIsRemovedAfterTheGracePeriod)
{
    table->upsert(instance("lapsed"));
    table->upsert(instance("other"));
    table->remove("lapsed", Duration::zero());
    clock.advance(settings.missingEntryGrace + milliseconds(1));
    table->remove("other");
    LONGS_EQUAL(0, static_cast<long>(table->size()));
    table->upsert(instance("lapsed"));
    table->remove("lapsed", Duration::zero());
    clock.advance(settings.missingEntryGrace + milliseconds(1));
    table->synchronise({instance("third")});
    LONGS_EQUAL(1, static_cast<long>(table->size()));
}

// A server leaves shortly after this node has the store again, and the node learns of it late: the grace period counts from when the entry
// was seen last, so that no work is sent for longer than a leaving server may get any. An entry that was seen last before an outage has the
// whole period.
TEST(Instances, TheGracePeriodOfARecentlySeenEntryCountsFromThen)
{
    for (const bool recently : {true, false}) {
        table->synchronise({instance("i1")});
        table->remove("i1", Duration::zero(), recently ? milliseconds(600) : milliseconds(4000));
        clock.advance(milliseconds(1250));
        CHECK(table->usable("i1"));
        clock.advance(milliseconds(100));
        LONGS_EQUAL(recently ? 0 : 1, table->usable("i1") ? 1 : 0);
        clock.advance(milliseconds(600));
        CHECK_FALSE(table->usable("i1"));
    }
}

// Guards against work that is sent to a server for too long after it has left: the grace period after an outage counts from the return of the registry,
// and not from when this node learns that an entry is gone.
TEST(Instances, TheGracePeriodCountsFromTheReturnOfTheRegistry)
{
    table->synchronise({instance("early"), instance("late")});
    table->remove("early", milliseconds(1500));
    CHECK(table->usable("early"));
    clock.advance(settings.missingEntryGrace - milliseconds(1500));
    CHECK_FALSE(table->usable("early"));
    table->remove("late", settings.missingEntryGrace);
    CHECK_FALSE(table->usable("late"));
    table->synchronise({instance("listed"), instance("unlisted")});
    table->synchronise({instance("listed")}, milliseconds(1500));
    CHECK(table->usable("unlisted"));
    clock.advance(settings.missingEntryGrace - milliseconds(1500));
    CHECK_FALSE(table->usable("unlisted"));
}

// Guards against calls to an old address: the entry of an earlier start (100) arrives after that of the present one (200).
TEST(Instances, ADelayedEntryOfAnEarlierStartIsIgnored)
{
    InstanceSpec now = instance("i", 200);
    now.address = "127.0.0.1:2";
    table->upsert(now);
    table->upsert(instance("i", 100));
    STRCMP_EQUAL("127.0.0.1:2", table->usableInstances("s")->specs.front().address.c_str());
}

// Guards against requests to an instance that has reported that it leaves (DRAIN), because another writer's entry with a wrong start, under the same id, hides
// all that the instance writes later.
TEST(Instances, AWrongStartOfAnotherWriterDoesNotHideTheInstancesOwnEntries)
{
    clock.advance(std::chrono::hours(1));
    const auto wallNow = std::chrono::duration_cast<milliseconds>(clock.wallNow().time_since_epoch()).count();
    const std::int64_t started = wallNow - 60'000;
    for (const std::int64_t wrong :
         {started * 1000 + 1'000'000'000'000, std::numeric_limits<std::int64_t>::max(), started + 1000, std::int64_t{0}, std::int64_t{-1}}) {
        table = std::make_unique<InstanceTable>(clock, settings);
        table->upsert(instance("i", started));
        InstanceSpec other = instance("i", wrong);
        other.slots = 7;
        table->upsert(other);
        table->upsert(instance("i", started));
        CHECK(table->usable("i"));
        clock.advance(seconds(5));
        InstanceSpec leaving = instance("i", started);
        leaving.draining = true;
        table->upsert(leaving);
        CHECK_FALSE(table->usable("i"));
    }
}

// Guards against requests to an instance that has reported that it leaves (DRAIN), because a late entry of its former process, or one that states no start,
// says that it is ready. What holds against the store's present entry holds for a time only, and ends when the row is removed.
TEST(Instances, AnEntryOfAnEarlierStartDoesNotTakeBackThatAnInstanceLeaves)
{
    InstanceSpec leaving = instance("i", 200);
    leaving.draining = true;
    table->upsert(leaving);
    table->upsert(instance("i", 100));
    CHECK_FALSE(table->usable("i"));
    table->upsert(instance("i", 0));
    CHECK_FALSE(table->usable("i"));
    table->upsert(instance("i", 200)); // its own word
    CHECK(table->usable("i"));
    table->upsert(leaving);
    clock.advance(settings.maxLeaving);
    table->upsert(instance("i", 100));
    CHECK(table->usable("i"));
    table->upsert(leaving);
    table->remove("i");
    table->upsert(instance("i", 100));
    CHECK(table->usable("i"));
}

// Guards against an instance whose later entries are ignored for ever, because one with a wrong start came before them.
TEST(Instances, AnEarlierStartIsTakenWhenTheLaterOneIsNotRenewed)
{
    InstanceSpec wrong = instance("i", 200);
    wrong.address = "127.0.0.1:2";
    table->upsert(wrong);
    clock.advance(settings.lateEntryTime - milliseconds(1));
    table->upsert(instance("i", 100));
    STRCMP_EQUAL("127.0.0.1:2", table->usableInstances("s")->specs.front().address.c_str());
    clock.advance(milliseconds(1));
    table->upsert(instance("i", 100));
    STRCMP_EQUAL("127.0.0.1:1", table->usableInstances("s")->specs.front().address.c_str());
}

// Guards against calls to an unreachable instance, and against avoiding all of a service when the fault is at this node.
TEST(Instances, AnUnreachableInstanceIsAvoidedButNeverMostOfAService)
{
    for (const char *id : {"a", "b", "c"}) {
        table->upsert(instance(id));
    }
    table->report("a", InstanceCallOutcome::Unreachable, Duration::zero());
    for (int i = 0; i < 50; ++i) {
        CHECK(table->acquire(input, *policy)->instance().id != "a");
    }
    clock.advance(settings.unreachableDuration);
    CHECK_FALSE(table->recentlyUnreachable("a"));
    for (const char *id : {"a", "b", "c"}) {
        table->report(id, InstanceCallOutcome::Unreachable, Duration::zero());
    }
    CHECK(table->acquire(input, *policy).has_value()); // more than half are unreachable: the fault is probably at this node, so none is avoided
}

// Guards against lost cache hits: nodes must prefer the same instance for a prompt, and another one only if that is unreachable or to be
// avoided.
TEST(Instances, APromptHasTheSamePreferredInstanceOnEveryNodeUntilThatFails)
{
    std::unique_ptr<ChoicePolicy> affinityPolicy = makePrefixAffinityChoice();
    InstanceTable other(clock, settings);
    for (int i = 0; i < 8; ++i) {
        table->upsert(instance("i" + std::to_string(i)));
        other.upsert(instance("i" + std::to_string(i)));
    }
    input.affinity = 4711;
    const std::string chosen = table->preview(input, *affinityPolicy)->id;
    STRCMP_EQUAL(chosen.c_str(), other.preview(input, *affinityPolicy)->id.c_str());
    table->report(chosen, InstanceCallOutcome::Unreachable, Duration::zero());
    CHECK(table->preview(input, *affinityPolicy)->id != chosen);
    input.avoid.insert(chosen);
    CHECK(other.preview(input, *affinityPolicy)->id != chosen);
}

// Guards against an instance that a node never uses again after one slow reply, since only its replies change what is known of its time.
TEST(Instances, AnInstanceIsUsedAgainAfterOneSlowReply)
{
    for (const char *id : {"a", "b"}) {
        table->upsert(instance(id));
        table->report(id, InstanceCallOutcome::Succeeded, milliseconds(20));
    }
    table->report("a", InstanceCallOutcome::Succeeded, milliseconds(200));
    unsigned used = 0;
    for (const TimePoint until = clock.now() + seconds(30); clock.now() < until; clock.advance(milliseconds(50))) {
        auto lease = table->acquire(input, *policy);
        used += lease->instance().id == "a" ? 1 : 0;
        lease->finish(InstanceCallOutcome::Succeeded, milliseconds(20));
    }
    CHECK(used >= 100); // of 600; half of them once it is known to be as fast as the other
}

// Guards against the opposite: callers that find out again and again that an instance is still slow.
TEST(Instances, AnInstanceThatStaysSlowGetsFewCalls)
{
    for (const char *id : {"a", "b", "c", "d"}) {
        table->upsert(instance(id));
        table->report(id, InstanceCallOutcome::Succeeded, milliseconds(id == std::string("a") ? 200 : 20));
    }
    unsigned used = 0;
    for (const TimePoint until = clock.now() + seconds(60); clock.now() < until; clock.advance(milliseconds(50))) {
        auto lease = table->acquire(input, *policy);
        const bool slow = lease->instance().id == "a";
        used += slow ? 1 : 0;
        lease->finish(InstanceCallOutcome::Succeeded, milliseconds(slow ? 200 : 20));
    }
    CHECK(used <= 12); // one in a hundred
}

// Guards against requests to an instance that has stopped answering or has a long queue of its own, while its load and failures look good: a
// request has been waiting there for long. The prompts that prefer it go to the others, back to it once it answers quickly, and stay where they are
// when all instances are as slow.
TEST(Instances, AnInstanceWhereARequestWaitsForLongIsAvoided)
{
    std::unique_ptr<ChoicePolicy> affinityPolicy = makePrefixAffinityChoice();
    for (const char *id : {"a", "b", "c"}) {
        InstanceSpec spec = instance(id);
        spec.slots = 8;
        table->upsert(spec);
        table->report(id, InstanceCallOutcome::Succeeded, milliseconds(100));
    }
    input.affinity = 4711;
    const std::string preferred = table->preview(input, *affinityPolicy)->id;
    auto waiting = table->acquire(input, *affinityPolicy);
    clock.advance(settings.minSlowTime / 2);
    STRCMP_EQUAL(preferred.c_str(), table->preview(input, *affinityPolicy)->id.c_str());
    clock.advance(settings.minSlowTime);
    input.affinity = 0;
    for (int i = 0; i < 50; ++i) {
        CHECK(table->preview(input, *policy)->id != preferred);
    }
    input.affinity = 4711;
    CHECK(table->preview(input, *affinityPolicy)->id != preferred);
    waiting->recordReply(std::nullopt);
    waiting->recordFirstEvent(milliseconds(750));
    STRCMP_EQUAL(preferred.c_str(), table->preview(input, *affinityPolicy)->id.c_str()); // its average is well below minSlowTime
    for (const char *id : {"a", "b", "c"}) {
        for (int i = 0; i < 20; ++i) {
            table->report(id, InstanceCallOutcome::Succeeded, seconds(2));
        }
    }
    STRCMP_EQUAL(preferred.c_str(), table->preview(input, *affinityPolicy)->id.c_str());
}

// Guards against slots that stay taken after a call has ended.
TEST(Instances, AFinishedCallReleasesItsSlot)
{
    table->upsert(instance("a"));
    table->upsert(instance("b"));
    const std::unique_ptr<ChoicePolicy> leastOutstanding = makeLeastOutstandingChoice();
    auto first = table->acquire(input, *leastOutstanding);
    const auto second = table->acquire(input, *leastOutstanding);
    CHECK(first->instance().id != second->instance().id);
    const std::string releasedInstance = first->instance().id;
    first->finish(InstanceCallOutcome::Succeeded, milliseconds(5));
    STRCMP_EQUAL(releasedInstance.c_str(), table->acquire(input, *leastOutstanding)->instance().id.c_str());
}

TEST_GROUP(Watch)
{
    ScriptedStore store;
    RecordingListener listener;
    MetricsRegistry metrics;
    StoreHealth storeHealth;

    void watchUntilAnswersEnd()
    {
        WatchSettings settings;
        settings.initialBackoff = milliseconds(1);
        TableWatch watch(store, "t", listener, nullptr, storeHealth, settings, metrics);
        watch.start();
        CHECK(store.done.wait(seconds(20)));
        watch.stop();
    }
};

// Guards against missed changes when the store has deleted the history that a watch asks for (StoreHistoryGone), and against repeating
// changes after an outdated answer.
TEST(Watch, TheTableIsReadAgainAfterAHistoryGapAndTheVersionNeverDecreases)
{
    store.answers = {rowsAt(7), rowsAt(9), rowsAt(8), tl::unexpected(Error{ErrorCode::StoreHistoryGone, {}}), rowsAt(12)};
    // The answer with version 8 is older than 9: the next call still asks for the changes after 9.
    watchUntilAnswersEnd();
    const std::vector<std::string> calls = {"read", "after 7", "after 9", "after 9", "read"};
    CHECK(store.calls == calls);
    const std::vector<std::string> seen = {"snapshot 7", "changes 9", "changes 8", "snapshot 12"};
    CHECK(listener.seen == seen);
}

// Guards against an outage that the listener does not notice: only with the mark can it keep entries that expired in the meantime.
TEST(Watch, TheFirstAnswerAfterAStoreFailureIsMarked)
{
    store.answers = {rowsAt(1), tl::unexpected(Error{ErrorCode::StoreRefused, {}}), rowsAt(2)};
    watchUntilAnswersEnd();
    const std::vector<std::string> seen = {"snapshot 1", "changes 2 after outage"};
    CHECK(listener.seen == seen);
}

// Guards against an outage that goes unnoticed: a long poll that hangs while the store is unavailable does not fail. Its watch learns of
// the outage from the watches of other tables, whose calls failed.
TEST(Watch, AnAnswerIsMarkedWhenAnotherTablesWatchFailed)
{
    store.answers = {rowsAt(1)};
    storeHealth.recordFailure(suspendAwareNow()); // as the watch of another table does when it fails
    watchUntilAnswersEnd();
    const std::vector<std::string> seen = {"snapshot 1 after outage"};
    CHECK(listener.seen == seen);
}

TEST_GROUP(StoreHealth)
{
    StoreHealth health;
    const TimePoint start{std::chrono::hours(1)};
    TimePoint at(int ms) const
    {
        return start + milliseconds(ms);
    }
};

// Guards against an outage that seems to have ended when its last lost call fails: that call was lost when it was made, and answers to others have shown
// since that the store works.
TEST(StoreHealth, ACallThatFailsLateDoesNotProlongAnOutage)
{
    CHECK(health.worksFor(at(0)) == Duration::max());
    health.recordAnswer(at(0));
    health.recordAnswer(at(900)); // the store goes silent after this, until 1500
    health.recordFailure(at(1000)); // the first call that fails, at 3600
    CHECK(health.worksFor(at(3600)) == Duration::zero());
    health.recordAnswer(at(3700));
    CHECK(health.worksFor(at(3800)) == milliseconds(100));
    health.recordAnswer(at(4500));
    health.recordFailure(at(1499)); // the call of another table, open for longer; it fails at 5800
    CHECK(health.worksFor(at(5800)) == milliseconds(2100));
    health.recordFailure(at(4000)); // a later outage
    CHECK(health.worksFor(at(6000)) == milliseconds(1500));
}

// Guards against an end of the outage that is forgotten while many answers come.
TEST(StoreHealth, TheFirstAnswerAfterAnOutageIsKept)
{
    health.recordFailure(at(0));
    for (int i = 1; i <= 100000; i += 7) {
        health.recordAnswer(at(i));
    }
    CHECK(health.worksFor(at(100000)) == milliseconds(99999));
    health.recordFailure(at(99000));
    CHECK(health.worksFor(at(100000)) >= milliseconds(900));
}

TEST_GROUP(Estimates){};

// Guards against estimates that ignore the length of the prompt. The recorded calls take 100 ms plus 10 us for each token.
TEST(Estimates, AnEnginesTimeGrowsWithThePromptsLength)
{
    EngineTimeEstimator times;
    const EngineTimeSettings settings;
    CHECK(times.estimate("engines", 1000) == settings.defaultTime);
    for (unsigned i = 0; i < 40; ++i) {
        const unsigned tokens = 500 + 100 * (i % 10);
        times.record("engines", tokens, milliseconds(100) + std::chrono::microseconds(10) * tokens);
    }
    const auto isNear = [](Duration value, milliseconds wanted) {
        return value > wanted - milliseconds(2) && value < wanted + milliseconds(2);
    };
    CHECK(isNear(times.estimate("engines", 1000), milliseconds(110)));
    CHECK(isNear(times.estimate("engines", 50000), milliseconds(600)));
    CHECK(times.estimate("engines", 4000000) == settings.maximum);
    CHECK(times.estimate("others", 1000) == settings.defaultTime);
}

// Guards against an engine choice by a time per token that nothing supports: too few prompts, prompts of one length, or noise.
TEST(Estimates, TheTimePerTokenIsBounded)
{
    const EngineTimeSettings settings;
    EngineTimeEstimator times;
    CHECK(times.timePerToken("engines") == settings.defaultTimePerToken);
    CHECK_FALSE(times.measuredEstimate("engines", 1000).has_value());
    for (unsigned i = 0; i < 40; ++i) {
        times.record("engines", 500 + 100 * (i % 10), milliseconds(100) + std::chrono::microseconds(30) * (500 + 100 * (i % 10)));
        times.record("same", 700, milliseconds(100 + i));
        times.record("falling", 100 * i, milliseconds(900 - 10 * i));
    }
    const Duration measured = times.timePerToken("engines");
    CHECK(measured > std::chrono::microseconds(29) && measured < std::chrono::microseconds(31));
    CHECK(times.timePerToken("same") == settings.defaultTimePerToken);
    CHECK(times.timePerToken("falling") == settings.minTimePerToken);
    CHECK(times.measuredEstimate("engines", 1000).has_value());
}

// Guards against a falling line through the measured times, which would give too short estimates for long prompts.
TEST(Estimates, LongerPromptsAreNeverExpectedToBeFaster)
{
    EngineTimeEstimator times;
    for (unsigned i = 0; i < 20; ++i) {
        times.record("engines", 100 * i, milliseconds(400 - 10 * i)); // longer prompts took less time here, as if their engines had been idle
    }
    CHECK(times.estimate("engines", 100000) == times.estimate("engines", 0));
}

// Guards against retries that are treated as new requests. Callers of a route usually state the same deadline at first, and a caller that
// retries states what is left of it: the difference is the time that it has already spent.
TEST(Estimates, ARetryingCallerIsRecognisedByItsShorterDeadline)
{
    StatedDeadlines deadlines;
    for (int i = 0; i < 20; ++i) {
        CHECK(deadlines.estimateSpent("r", milliseconds(9999 - i)) == milliseconds(0)); // differences within one rounding step do not count
    }
    CHECK(deadlines.estimateSpent("r", milliseconds(7210)) == milliseconds(2700));
    for (int i = 0; i < 20; ++i) { // a shorter deadline stays a retry also when many callers state it, as after the same pause
        CHECK(deadlines.estimateSpent("r", milliseconds(7200)) == milliseconds(2700));
    }
    CHECK(deadlines.estimateSpent("other", milliseconds(3000)) == milliseconds(0)); // each route has its own deadlines
    CHECK(deadlines.estimateSpent("r", milliseconds(60000)) == milliseconds(0));
    CHECK(deadlines.estimateSpent("r", milliseconds(9900)) == milliseconds(0)); // the single deadline of 60000 ms above is not taken for the usual one
}

// Guards against memory that grows with every route ever seen: with maxRoutes 2, the third route removes the data of all
// routes before it.
TEST(Estimates, RoutesAreEvictedBeyondTheLimit)
{
    StatedDeadlineSettings settings;
    settings.maxRoutes = 2;
    StatedDeadlines deadlines(settings);
    (void)deadlines.estimateSpent("a", milliseconds(9000));
    (void)deadlines.estimateSpent("b", milliseconds(9000));
    CHECK(deadlines.estimateSpent("a", milliseconds(5000)) == milliseconds(4000));
    (void)deadlines.estimateSpent("c", milliseconds(9000));
    CHECK(deadlines.estimateSpent("a", milliseconds(5000)) == milliseconds(0));
}

// Guards against taking all requests for retries after callers have changed their deadline (here from 10 s to
// 4 s). Only the latest 64 deadlines of a route are kept.
TEST(Estimates, AShorterUsualDeadlineIsLearned)
{
    StatedDeadlines deadlines;
    for (int i = 0; i < 200; ++i) {
        (void)deadlines.estimateSpent("r", milliseconds(10000));
    }
    for (int i = 0; i < 64; ++i) {
        (void)deadlines.estimateSpent("r", milliseconds(4000));
    }
    CHECK(deadlines.estimateSpent("r", milliseconds(4000)) == milliseconds(0));
}

TEST_GROUP(RetryBudgets){};

// Guards against retries that overload a service because each of the 6 nodes uses the budget meant for all of them.
TEST(RetryBudgets, RetriesStayWithinThisNodesShare)
{
    ManualClock clock;
    RetryBudgetSettings settings;
    settings.ratio = 0.2;
    settings.extraPerWindow = 54;
    settings.usedShare = 1;
    ServiceRetryBudget retryBudget(clock, settings, [] {
        return std::size_t{6};
    });
    for (int i = 0; i < 100; ++i) {
        retryBudget.recordFirstCall("s");
    }
    int retries = 0;
    while (retryBudget.tryTake("s")) {
        ++retries;
    }
    LONGS_EQUAL(29, retries); // ratio 0.2 x 100 first calls + extra 54 / 6 nodes
    CHECK(retryBudget.tryTake("other")); // each service has its own budget
    clock.advance(settings.window + milliseconds(1));
    CHECK(retryBudget.tryTake("s"));
}

// Guards against a budget that each node takes for its own alone, while it doesn't know the other nodes: only the part by its own first calls is safe then.
TEST(RetryBudgets, ANodeThatDoesNotKnowTheOthersHasNoPartOfWhatIsDivided)
{
    ManualClock clock;
    RetryBudgetSettings settings;
    settings.ratio = 0.2;
    settings.extraPerWindow = 54;
    settings.usedShare = 1;
    std::optional<std::size_t> nodes;
    ServiceRetryBudget retryBudget(clock, settings, [&nodes] {
        return nodes;
    });
    CHECK_FALSE(retryBudget.tryTake("s"));
    for (int i = 0; i < 100; ++i) {
        retryBudget.recordFirstCall("s");
    }
    int retries = 0;
    while (retryBudget.tryTake("s")) {
        ++retries;
    }
    LONGS_EQUAL(20, retries);
    nodes = 6; // what was taken before counts
    while (retryBudget.tryTake("s")) {
        ++retries;
    }
    LONGS_EQUAL(29, retries);
}

TEST_GROUP(Relay){};

// Guards against followers that miss removed rows, take old rows for new ones, or get only part of the changes because the cache does not
// reach back far enough (StoreHistoryGone).
TEST(Relay, FollowersGetChangesRemovalsAndTheTimeOfTheirRows)
{
    TableCache cache;
    CHECK(cache.changesAfter(StorePosition(1, 1), milliseconds(0)).error().code == ErrorCode::PlatformUnavailable); // the cache has no data yet
    StoredRows rows = rowsAt(10);
    rows.rows = {StoredRow{"a", "1", 4, false}};
    cache.apply(rows, true, TimePoint(seconds(100)));
    CHECK(cache.changesAfter(StorePosition(1, 9), milliseconds(0)).error().code == ErrorCode::StoreHistoryGone);
    rows = rowsAt(12);
    rows.rows = {StoredRow{"a", "", 11, true}, StoredRow{"b", "2", 12, false}};
    cache.apply(rows, false, TimePoint(seconds(101)));
    const auto changes = cache.changesAfter(StorePosition(1, 10), milliseconds(0));
    LONGS_EQUAL(2, static_cast<long>(changes->rows.size()));
    CHECK(changes->rows.front().removed);
    LONGS_EQUAL(12, static_cast<long>(changes->position.version()));
    CHECK(*changes->asOf == TimePoint(seconds(101)));
    CHECK(cache.changesAfter(StorePosition(1, 12), milliseconds(0))->rows.empty());
}

// Guards against memory that grows with every row ever removed. A follower that asks from before the evicted rows gets StoreHistoryGone.
TEST(Relay, RemovedRowsAreEvictedBeyondTheLimit)
{
    TableCache cache;
    cache.apply(rowsAt(1), true, TimePoint(seconds(100)));
    std::uint64_t version = 1;
    for (std::size_t i = 0; i < 2 * TableCache::MaxRemovedRows; ++i) {
        StoredRows rows = rowsAt(++version);
        rows.rows = {StoredRow{"server-" + std::to_string(i), "", version, true}};
        cache.apply(rows, false, TimePoint(seconds(100)));
    }
    CHECK(cache.rowCount() <= TableCache::MaxRemovedRows);
    CHECK(cache.changesAfter(StorePosition(1, 1), milliseconds(0)).error().code == ErrorCode::StoreHistoryGone);
    LONGS_EQUAL(1, static_cast<long>(cache.changesAfter(StorePosition(1, version - 1), milliseconds(0))->rows.size()));
}

// Guards against followers that get the news of a confirmation only after the whole wait: the relay's copy is confirmed to be current
// although nothing has changed, and the follower knows only an earlier confirmation.
TEST(Relay, AConfirmationEndsAFollowersWait)
{
    TableCache cache;
    cache.apply(rowsAt(10), true, TimePoint(seconds(100)));
    const auto begun = std::chrono::steady_clock::now();
    CHECK(*cache.changesAfter(StorePosition(1, 10), seconds(10), TimePoint(seconds(99)))->asOf == TimePoint(seconds(100)));
    std::thread confirmer([&cache] {
        cache.apply(rowsAt(10), false, TimePoint(seconds(101)));
    });
    CHECK(*cache.changesAfter(StorePosition(1, 10), seconds(10), TimePoint(seconds(100)))->asOf == TimePoint(seconds(101)));
    confirmer.join();
    CHECK(std::chrono::steady_clock::now() - begun < seconds(8));
}

// Guards against starting nodes that all read the store: a query waits for the relay's own first read. The whole table has no removed rows.
TEST(Relay, TheWholeTableIsPassedOnOnceTheRelayHasReadIt)
{
    TableCache cache;
    CHECK(cache.wholeTable(milliseconds(0)).error().code == ErrorCode::PlatformUnavailable);
    std::thread reader([&cache] {
        StoredRows rows = rowsAt(12);
        rows.rows = {StoredRow{"a", "1", 4, false}, StoredRow{"b", "2", 12, false}};
        rows.hops = 1;
        cache.apply(rows, true, TimePoint(seconds(100)));
    });
    CHECK(cache.wholeTable(seconds(10)).has_value());
    reader.join();
    StoredRows removal = rowsAt(13);
    removal.rows = {StoredRow{"a", "", 13, true}};
    cache.apply(removal, false, TimePoint(seconds(101)));
    const auto table = cache.wholeTable(milliseconds(0));
    LONGS_EQUAL(1, static_cast<long>(table->rows.size()));
    STRCMP_EQUAL("b", table->rows.front().key.c_str());
    LONGS_EQUAL(13, static_cast<long>(table->position.version()));
}

// Guards against versions that are compared across eras (CONFIG, review/12): after the store's return from an older copy, a follower's version may be that of
// another change, whether it is lower than the relay's or higher.
TEST(Relay, AFollowerOfAnotherEraGetsNoChanges)
{
    TableCache cache;
    StoredRows rows;
    rows.position = StorePosition(2, 432);
    rows.rows = {StoredRow{"config", "5", 432, false}};
    cache.apply(rows, true, TimePoint(seconds(100)));
    for (const std::uint64_t version : {432U, 433U, 515U}) {
        CHECK(cache.changesAfter(StorePosition(1, version), milliseconds(0)).error().code == ErrorCode::StoreHistoryGone);
    }
    CHECK(cache.changesAfter(StorePosition(3, 1), milliseconds(0)).error().code == ErrorCode::PlatformUnavailable); // this relay is behind
    CHECK(cache.changesAfter(StorePosition(2, 432), milliseconds(0)).has_value());
    // A follower that waits learns of the return, and one that is ahead gets the changes once the relay is in its era.
    for (const std::uint64_t era : {2U, 3U}) {
        std::thread reader([&cache] {
            std::this_thread::sleep_for(milliseconds(50));
            StoredRows later;
            later.position = StorePosition(3, 420);
            cache.apply(later, true, TimePoint(seconds(101)));
        });
        const auto changes = cache.changesAfter(StorePosition(era, 432), seconds(10));
        reader.join();
        CHECK(era == 3 ? changes.has_value() : changes.error().code == ErrorCode::StoreHistoryGone);
    }
}

// Guards against a copy that looks newer than it is: a whole read from a relay replaces rows that were confirmed later.
TEST(Relay, AWholeReadIsAsOldAsItsSource)
{
    TableCache cache;
    cache.apply(rowsAt(10), true, TimePoint(seconds(100)));
    cache.apply(rowsAt(9), true, TimePoint(seconds(99)));
    CHECK(cache.asOf() == TimePoint(seconds(99)));
}

namespace
{
class ScriptedRelay final : public RelayChannel
{
public:
    std::map<std::string, Result<StoredRows>> answers; // by peer address; another address fails
    std::vector<std::string> asked; // peer addresses
    std::vector<milliseconds> waits;
    Result<StoredRows> follow(const std::string &peer, const RelayQuery &query, const ReplyLimits & /*limits*/) override
    {
        asked.push_back(peer);
        waits.push_back(query.wait);
        const auto found = answers.find(peer);
        return found == answers.end() ? fail(ErrorCode::PeerUnavailable) : found->second;
    }
};

StoredRows relayRows(std::uint64_t version, Duration age, unsigned hops)
{
    StoredRows rows = rowsAt(version);
    rows.asOf = suspendAwareNow() - age;
    rows.transfer.ageAtSource = age;
    rows.hops = hops;
    return rows;
}

// Order of a member that is no relay itself.
SourceOrder followerOrder(const std::string & /*table*/)
{
    return SourceOrder{{"peer:1"}, {}, false};
}
} // namespace

// Guards against outdated tables where several relays in a row take queries and don't answer: only the first of them may have held the query.
TEST(Relay, TheSourceAfterOneThatDidNotAnswerIsAskedWithoutAWait)
{
    ScriptedStore store;
    store.answers = {rowsAt(5)};
    ScriptedRelay relay; // fails every call
    RelayedStore relayed(store, relay, [](const std::string & /*table*/) {
        return SourceOrder{{"peer:1", "peer:2"}, {}, false};
    });
    CHECK(relayed.awaitChanges("t", StorePosition(1, 1), milliseconds(700), milliseconds(20)).has_value());
    CHECK(relay.waits == std::vector<milliseconds>({milliseconds(700), milliseconds(0)}));
    CHECK(store.waits == std::vector<milliseconds>({milliseconds(0)}));
}

// Guards against outdated data from a relay (the node through which others, its followers, read the store). A relay that fails every call
// is avoided for a time, and so is one that is cut off from the store and answers with old rows: they are 3 s old here, and at most 2 s are
// accepted.
TEST(Relay, ARelayThatFailsOrHasOldDataIsBypassed)
{
    for (const bool stale : {false, true}) {
        ScriptedStore store;
        store.answers = {rowsAt(5), rowsAt(6)};
        ScriptedRelay relay;
        if (stale) {
            relay.answers.emplace("peer:1", relayRows(1, seconds(3), 1)); // no further than the node's own copy
        }
        RelayedStore relayed(store, relay, followerOrder);
        LONGS_EQUAL(5, static_cast<long>(relayed.awaitChanges("t", StorePosition(1, 1), milliseconds(10), milliseconds(20))->position.version()));
        LONGS_EQUAL(6, static_cast<long>(relayed.awaitChanges("t", StorePosition(1, 5), milliseconds(10), milliseconds(20))->position.version()));
        LONGS_EQUAL(1, static_cast<long>(relay.asked.size())); // the relay is not called again right after its first failure
    }
}

// Guards against a copy that is thrown away although it is further on than the node's own (CONFIG, issue 61): one from a relay that has lost the store, and
// one that was up to date when the relay began to send it, and took 3 s to come. Only the former relay is asked no more.
TEST(Relay, NewsIsUsedWhereverItComesFrom)
{
    for (const Duration ageAtSource : {Duration(seconds(3)), Duration(milliseconds(10))}) {
        ScriptedStore store;
        store.answers = {rowsAt(5)};
        ScriptedRelay relay;
        StoredRows rows = relayRows(4, seconds(3), 1);
        rows.transfer.ageAtSource = ageAtSource;
        relay.answers.emplace("peer:1", rows);
        RelayedStore relayed(store, relay, followerOrder);
        const auto news = relayed.awaitChanges("t", StorePosition(1, 1), milliseconds(10), milliseconds(20));
        LONGS_EQUAL(4, static_cast<long>(news->position.version()));
        CHECK(suspendAwareNow() - *news->asOf >= seconds(3)); // it confirms nothing that is more recent
        const bool stale = ageAtSource > seconds(1);
        relay.answers.at("peer:1") = relayRows(6, milliseconds(10), 1);
        const auto next = relayed.awaitChanges("t", StorePosition(1, 4), milliseconds(10), milliseconds(20));
        LONGS_EQUAL(stale ? 5 : 6, static_cast<long>(next->position.version()));
    }
}

// Guards against bypassing a working relay: StoreHistoryGone says only that this call needs the store, which is asked without a wait.
TEST(Relay, OnlyTheCallThatTheRelayCannotAnswerGoesToTheStore)
{
    ScriptedStore store;
    store.answers = {rowsAt(5)};
    ScriptedRelay relay;
    relay.answers.emplace("peer:1", fail(ErrorCode::StoreHistoryGone));
    RelayedStore relayed(store, relay, followerOrder);
    LONGS_EQUAL(5, static_cast<long>(relayed.awaitChanges("t", StorePosition(1, 1), milliseconds(10), milliseconds(20))->position.version()));
    CHECK(store.waits == std::vector<milliseconds>{milliseconds(0)});
    relay.answers.at("peer:1") = relayRows(6, seconds(0), 1);
    LONGS_EQUAL(6, static_cast<long>(relayed.awaitChanges("t", StorePosition(1, 5), milliseconds(10), milliseconds(20))->position.version()));
    LONGS_EQUAL(2, static_cast<long>(relay.asked.size()));
}

// Guards against rows that the store has lost: a relay that is still in the era before doesn't know of the store's return, which this node has learned of
// from another table.
TEST(Relay, ARelayOfAnEarlierEraIsNotBelieved)
{
    const auto rowsOf = [](std::uint64_t era, std::uint64_t version) {
        StoredRows rows = relayRows(version, milliseconds(10), 1);
        rows.position = StorePosition(era, version);
        return rows;
    };
    ScriptedStore store;
    StoredRows current;
    current.position = StorePosition(2, 3);
    store.answers = {current, current};
    ScriptedRelay relay;
    relay.answers.emplace("peer:1", rowsOf(2, 3));
    RelayedStore relayed(store, relay, followerOrder);
    CHECK(relayed.readTable("t", milliseconds(20)).has_value());
    relay.answers.at("peer:1") = rowsOf(1, 9);
    for (const bool whole : {true, false}) {
        const auto rows =
            whole ? relayed.readTable("other", milliseconds(20)) : relayed.awaitChanges("third", StorePosition(1, 8), milliseconds(10), milliseconds(20));
        CHECK(rows->position == StorePosition(2, 3));
    }
}

// Guards against a node that gets a table no more after the store's return, since the store turns it away: its relay has the whole table.
TEST(Relay, ANodeThatDoesNotReachTheStoreGetsTheWholeTableFromItsRelay)
{
    ScriptedStore store; // fails every call
    ScriptedRelay relay;
    relay.answers.emplace("peer:1", fail(ErrorCode::StoreHistoryGone));
    RelayedStore relayed(store, relay, followerOrder);
    CHECK(relayed.awaitChanges("t", StorePosition(1, 9), milliseconds(10), milliseconds(20)).error().code == ErrorCode::StoreHistoryGone);
    relay.answers.at("peer:1") = relayRows(6, seconds(0), 1);
    CHECK(relayed.readTable("t", milliseconds(20)).has_value());
}

// Guards against needless load of the store: relay data that is 500 ms old is fresh, and a whole table comes from the relay too.
TEST(Relay, TheStoreIsNotCalledWhileTheRelaysDataIsFresh)
{
    ScriptedStore store;
    ScriptedRelay relay;
    relay.answers.emplace("peer:1", relayRows(4, milliseconds(500), 1));
    RelayedStore relayed(store, relay, followerOrder);
    LONGS_EQUAL(4, static_cast<long>(relayed.readTable("t", milliseconds(20))->position.version()));
    LONGS_EQUAL(4, static_cast<long>(relayed.awaitChanges("t", StorePosition(1, 1), milliseconds(10), milliseconds(20))->position.version()));
    CHECK(store.calls.empty());
}

// Guards against long waits at the store by a node that has relays or is one (its followers would get old data): the first call after a
// change of source asks without a wait, later ones wait storeWait. Any other node waits as long as it asked for.
TEST(Relay, OnlyANodeWithoutRelayOrFollowersWaitsTheFullTimeAtTheStore)
{
    const RelaySettings settings;
    const std::vector<std::pair<SourceOrder, std::vector<milliseconds>>> cases = {
        {SourceOrder{{"peer:1"}, {}, false}, {milliseconds(0), settings.sources.storeWait}},
        {SourceOrder{{}, {"peer:1"}, true}, {milliseconds(0), settings.sources.storeWait}},
        {SourceOrder{}, {seconds(20), seconds(20)}},
    };
    for (const auto &[order, waits] : cases) {
        ScriptedStore store;
        store.answers = {rowsAt(1), rowsAt(1)};
        ScriptedRelay relay; // fails every call
        RelayedStore relayed(store, relay, [order = order](const std::string & /*table*/) {
            return order;
        });
        (void)relayed.awaitChanges("t", StorePosition(1, 1), seconds(20), seconds(1));
        (void)relayed.awaitChanges("t", StorePosition(1, 1), seconds(20), seconds(1));
        CHECK(store.waits == waits);
    }
}

// Guards against a node that is cut off from the store alone: the primary relay of its data centre. It turns to the standby, which accepts
// the primary's copy no longer, since that isn't direct.
TEST(Relay, ARelayThatLosesTheStoreFollowsAnotherOne)
{
    ScriptedStore store; // fails every call
    ScriptedRelay relay;
    relay.answers.emplace("standby:1", relayRows(7, milliseconds(10), 2)); // no further than the node's own copy
    relay.answers.emplace("remote:1", relayRows(8, milliseconds(10), 1));
    const SourceOrder order{{}, {"standby:1", "remote:1"}, true};
    RelayedStore relayed(store, relay, [&order](const std::string & /*table*/) {
        return order;
    });
    LONGS_EQUAL(8, static_cast<long>(relayed.awaitChanges("t", StorePosition(1, 7), milliseconds(10), milliseconds(20))->position.version()));
    CHECK(relay.asked == std::vector<std::string>({"standby:1", "remote:1"}));
}

// Guards against a source that is asked again and again without a pause while all of them fail.
TEST(Relay, AFailureOfAllSourcesEndsTheCall)
{
    ScriptedStore store; // fails every call
    ScriptedRelay relay; // fails every call
    const SourceOrder order{{"peer:1", "peer:2"}, {"remote:1"}, false};
    RelayedStore relayed(store, relay, [&order](const std::string & /*table*/) {
        return order;
    });
    CHECK_FALSE(relayed.awaitChanges("t", StorePosition(1, 1), milliseconds(10), milliseconds(20)).has_value());
    CHECK_FALSE(relayed.awaitChanges("t", StorePosition(1, 1), milliseconds(10), milliseconds(20)).has_value());
    LONGS_EQUAL(3, static_cast<long>(relay.asked.size()));
    LONGS_EQUAL(1, static_cast<long>(store.waits.size()));
}
