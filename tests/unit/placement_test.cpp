// Choice of model engines by an owner, without network, under the load that it answers: engines of uneven speed that are busy with other work for a moment
// now and then, prompts that share long parts, one of which many requests share.
#include "placement/placement.h"

#include <array>
#include <cmath>
#include <queue>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace vanillanotch;
using std::chrono::milliseconds;

namespace
{
constexpr double TokensPerSecond = 48000; // that an engine of usual speed reads
constexpr milliseconds ReportDelay{10};
constexpr milliseconds NoisePeriod{600}; // for so long a machine is slowed down
constexpr double NoiseShare = 0.15;
constexpr double NoiseFactor = 2.5;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// An engine that reads one prompt after the other, and keeps the latest shared parts.
struct ModelEngine {
    std::string id;
    double speed = 1;
    TimePoint freeAt{};
    std::set<std::uint64_t> cached;
    std::size_t placed = 0;
};

struct ModelResult {
    double inTime = 0; // share of the requests whose first event came within a second
    double longestWait = 0; // seconds
    std::size_t sharedReads = 0; // how often shared parts were read
    std::vector<std::size_t> placedBySpeed; // slow, usual and fast engines
};

using Chooser = std::function<std::size_t(const PlacementDemand &, const std::vector<EngineCandidate> &, TimePoint)>;

class PlacementModel
{
public:
    explicit PlacementModel(unsigned seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < 47; ++i) {
            m_engines.push_back(ModelEngine{"engine-" + std::to_string(i), std::array<double, 3>{0.6, 1.0, 1.6}.at(i % 3), {}, {}, 0});
        }
    }

    // `hears`: is told of each placement's outcome when its report arrives.
    ModelResult run(double requestsPerSecond, const Chooser &choose, const std::function<void(const PlacementReport &, TimePoint)> &hears)
    {
        std::exponential_distribution<double> gap(requestsPerSecond);
        std::lognormal_distribution<double> ownTokens(7.6, 1.1); // mean about 3,700
        std::uniform_int_distribution<std::uint64_t> prefix(2, 600);
        std::uniform_real_distribution<double> draw(0, 1);
        std::vector<EngineCandidate> candidates;
        for (const ModelEngine &engine : m_engines) {
            candidates.push_back(EngineCandidate{engine.id, 1, 566'000});
        }
        using Pending = std::pair<TimePoint, PlacementReport>;
        const auto later = [](const Pending &a, const Pending &b) {
            return a.first > b.first;
        };
        std::priority_queue<Pending, std::vector<Pending>, decltype(later)> reports(later);
        ModelResult result;
        result.placedBySpeed.assign(3, 0);
        std::size_t inTime = 0;
        std::size_t counted = 0;
        TimePoint now{std::chrono::hours(1)};
        const TimePoint measuredFrom = now + std::chrono::seconds(30); // caches are filled and speeds are known by then
        const TimePoint end = now + std::chrono::seconds(90);
        for (unsigned number = 0; now < end; ++number) {
            now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random)));
            while (!reports.empty() && reports.top().first <= now) {
                hears(reports.top().second, reports.top().first);
                reports.pop();
            }
            const std::uint64_t shared = draw(m_random) < 1.0 / 3 ? 1 : prefix(m_random); // a third of the requests share one prefix
            const PlacementDemand demand{
                std::to_string(number), "engines", "dc", {PromptPrefix{shared, 13'300}}, static_cast<unsigned>(std::min(ownTokens(m_random), 53'200.0)), {}, {},
                milliseconds(1000)};
            ModelEngine &engine = m_engines.at(choose(demand, candidates, now));
            const bool reads = engine.cached.insert(shared).second;
            const double work = (0.02 + (demand.ownTokens + (reads ? 13'300 : 0)) / TokensPerSecond) / engine.speed * noise(engine, now);
            engine.freeAt = std::max(engine.freeAt, now) + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(work));
            const Duration took = engine.freeAt - now;
            reports.emplace(engine.freeAt + ReportDelay,
                            PlacementReport{demand.attempt, demand.service, engine.id, std::chrono::duration_cast<std::chrono::microseconds>(took)});
            if (now >= measuredFrom) {
                ++counted;
                inTime += took <= std::chrono::seconds(1) ? 1 : 0;
                result.longestWait = std::max(result.longestWait, secondsOf(took));
                result.sharedReads += reads ? 1 : 0;
                ++result.placedBySpeed.at(static_cast<std::size_t>(&engine - m_engines.data()) % 3);
            }
        }
        result.inTime = static_cast<double>(inTime) / static_cast<double>(counted);
        return result;
    }

private:
    double noise(const ModelEngine &engine, TimePoint now) const
    {
        const auto period = now.time_since_epoch() / Duration(NoisePeriod);
        const auto hash = stableHash(engine.id + std::to_string(period));
        return static_cast<double>(hash >> 11U) * 0x1p-53 < NoiseShare ? NoiseFactor : 1.0;
    }

    std::mt19937_64 m_random;
    std::vector<ModelEngine> m_engines;
};

// What nodes do that don't ask an owner: the engine with the highest hash of prefix and id.
std::size_t chooseByHash(const PlacementDemand &demand, const std::vector<EngineCandidate> &candidates)
{
    std::size_t best = 0;
    std::uint64_t bestHash = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (const std::uint64_t hash = stableHash(std::to_string(demand.prefixes.back().hash) + candidates[i].id); hash >= bestHash) {
            best = i;
            bestHash = hash;
        }
    }
    return best;
}

ModelResult runOwned(unsigned seed, double requestsPerSecond)
{
    PlacementBook book;
    return PlacementModel(seed).run(
        requestsPerSecond,
        [&book](const PlacementDemand &demand, const std::vector<EngineCandidate> &candidates, TimePoint now) {
            const std::size_t chosen = book.choose(demand, candidates, now);
            book.recordPlaced(demand, candidates[chosen], now);
            return chosen;
        },
        [&book](const PlacementReport &report, TimePoint now) {
            book.recordReport(report, now);
        });
}

ModelResult runHashed(unsigned seed, double requestsPerSecond)
{
    return PlacementModel(seed).run(
        requestsPerSecond,
        [](const PlacementDemand &demand, const std::vector<EngineCandidate> &candidates, TimePoint /*now*/) {
            return chooseByHash(demand, candidates);
        },
        [](const PlacementReport & /*report*/, TimePoint /*now*/) {
        });
}

// Owners of engines, as the node sees them.
class FixedOwner final : public EngineOwnerLookup
{
public:
    std::optional<MemberRecord> engineOwner(const std::string & /*service*/, const std::string & /*dataCentre*/) override
    {
        return owner;
    }
    std::optional<MemberRecord> owner;
};

class ScriptedChannel final : public PlacementChannel
{
public:
    Result<std::optional<std::string>> place(const std::string & /*peerAddress*/, const PlacementDemand & /*demand*/, TimePoint /*until*/,
                                             CancellationWatch & /*cancellation*/) override
    {
        ++calls;
        return answer;
    }
    Result<void> report(const std::string & /*peerAddress*/, const std::vector<PlacementReport> & /*reports*/, TimePoint /*until*/) override
    {
        return {};
    }
    Result<std::optional<std::string>> answer = fail(ErrorCode::PeerUnavailable);
    unsigned calls = 0;
};

PlacementDemand demandFor(const std::string &attempt, std::uint64_t prefix, milliseconds targetIn = milliseconds(1000))
{
    return PlacementDemand{attempt, "engines", "dc", {PromptPrefix{prefix, 10'000}}, 1000, {}, {}, targetIn};
}

const std::vector<EngineCandidate> TwoEngines{EngineCandidate{"a", 1, 0}, EngineCandidate{"b", 1, 0}};
} // namespace

TEST_GROUP(Placement){};

// Guards against engines chosen by hash alone: slow ones and the home of the popular prefix then keep their callers waiting.
TEST(Placement, UnevenEnginesAnswerInTimeUnderOneOwner)
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        const ModelResult owned = runOwned(seed, 100);
        const ModelResult hashed = runHashed(seed, 100);
        CHECK_TRUE(owned.inTime > 0.95);
        CHECK_TRUE(owned.inTime > hashed.inTime + 0.1);
        CHECK_TRUE(owned.longestWait < hashed.longestWait);
        CHECK_TRUE(owned.placedBySpeed[0] < owned.placedBySpeed[1] && owned.placedBySpeed[1] < owned.placedBySpeed[2]);
    }
}

// Guards against spreading requests at the cost of their caches: after half a minute hardly any shared part may be read again.
TEST(Placement, SharedPartsAreSeldomReadAgain)
{
    const ModelResult owned = runOwned(4, 100);
    CHECK_TRUE(owned.sharedReads < 0.05 * 100 * 60);
}

// Guards against one home for a prefix that more requests share than an engine can serve.
TEST(Placement, APopularPrefixGetsFurtherEngines)
{
    PlacementBook book;
    std::map<std::size_t, unsigned> placed;
    TimePoint now{std::chrono::hours(1)};
    for (unsigned i = 0; i < 40; ++i) { // 40 requests at once
        const PlacementDemand demand = demandFor(std::to_string(i), 7);
        const std::size_t chosen = book.choose(demand, TwoEngines, now);
        book.recordPlaced(demand, TwoEngines[chosen], now);
        ++placed[chosen];
    }
    CHECK_TRUE(placed[0] > 10 && placed[1] > 10);
}

// Guards against moving a prefix for a short wait: another engine would have to read it again.
TEST(Placement, APrefixStaysWhereItIsCachedWhileThatIsInTime)
{
    PlacementBook book;
    const TimePoint now{std::chrono::hours(1)};
    const PlacementDemand first = demandFor("first", 7);
    const std::size_t home = book.choose(first, TwoEngines, now);
    book.recordPlaced(first, TwoEngines[home], now);
    book.recordReport(PlacementReport{"first", "engines", TwoEngines[home].id, std::chrono::microseconds(240'000)}, now + milliseconds(240));
    const PlacementDemand other = demandFor("other", 8); // takes the time of the home engine
    book.recordPlaced(other, TwoEngines[home], now + milliseconds(250));
    LONGS_EQUAL(home, book.choose(demandFor("second", 7), TwoEngines, now + milliseconds(260)));
}

// Guards against work that is counted for ever because its node has failed before the report.
TEST(Placement, PlacementsWithoutReportAreForgotten)
{
    PlacementBook book;
    const TimePoint now{std::chrono::hours(1)};
    std::size_t home = 0;
    for (unsigned i = 0; i < 100; ++i) {
        const PlacementDemand demand = demandFor(std::to_string(i), 7);
        home = book.choose(demandFor("x", 7), {TwoEngines[0]}, now);
        book.recordPlaced(demand, TwoEngines[home], now);
    }
    LONGS_EQUAL(1, book.choose(demandFor("soon", 7), TwoEngines, now + milliseconds(10)));
    LONGS_EQUAL(0, book.choose(demandFor("later", 7), TwoEngines, now + PlacementSettings{}.maxUnreported + milliseconds(10)));
}

// Guards against an engine that is avoided for good after it was slow for a while, although the others have more than enough to do.
TEST(Placement, AnEngineThatIsSlowNoMoreGetsRequestsAgain)
{
    PlacementBook book;
    TimePoint now{std::chrono::hours(1)};
    unsigned number = 0;
    // Two requests at once; returns how many of them went to the first engine, which answers after `took`.
    const auto twoRequests = [&](std::chrono::microseconds took) {
        std::vector<std::pair<PlacementDemand, std::size_t>> placed;
        for (unsigned i = 0; i < 2; ++i) {
            const PlacementDemand demand{std::to_string(++number), "engines", "dc", {}, 2000, {}, {}, milliseconds(1000)};
            placed.emplace_back(demand, book.choose(demand, TwoEngines, now));
            book.recordPlaced(demand, TwoEngines[placed.back().second], now);
        }
        now += milliseconds(500);
        unsigned first = 0;
        unsigned second = 0;
        for (const auto &[demand, chosen] : placed) {
            first += chosen == 0 ? 1 : 0;
            second += chosen == 1 ? 1 : 0;
            const auto time = chosen == 0 ? took * first : std::chrono::microseconds(60'000) * second; // an engine reads one prompt after the other
            book.recordReport(PlacementReport{demand.attempt, "engines", TwoEngines[chosen].id, time}, now);
        }
        return first;
    };
    for (unsigned i = 0; i < 20; ++i) {
        twoRequests(std::chrono::microseconds(400'000));
    }
    LONGS_EQUAL(0, twoRequests(std::chrono::microseconds(400'000)));
    std::size_t used = 0;
    for (unsigned i = 0; i < 60; ++i) {
        used += twoRequests(std::chrono::microseconds(60'000));
    }
    CHECK_TRUE(used > 20);
}

// Guards against a book that grows with each engine that is replaced.
TEST(Placement, EnginesThatAreGoneAreForgotten)
{
    PlacementBook book;
    const TimePoint now{std::chrono::hours(1)};
    for (unsigned i = 0; i < 100; ++i) {
        const std::vector<EngineCandidate> candidates{EngineCandidate{"engine-" + std::to_string(i), 1, 0},
                                                      EngineCandidate{"engine-" + std::to_string(i + 1), 1, 0}};
        const PlacementDemand demand = demandFor(std::to_string(i), i);
        book.recordPlaced(demand, candidates[book.choose(demand, candidates, now)], now);
        CHECK_TRUE(book.engineCount() <= 6);
    }
}

TEST_GROUP(PlacementOwners)
{
    ManualClock clock;
    InstanceTable instances{clock, InstanceSettings{}};
    DeploymentTable deployments{FreshnessSettings{}};
    MetricsRegistry metrics;
    PlacementOwner local{clock, instances, deployments, metrics};
    FixedOwner owners;
    ScriptedChannel channel;
    GrowingPool pool{2};
    WorkerPool background{1};
    TimerQueue timers{background};
    OwnedPlacement placement{clock, local, owners, channel, pool, timers, metrics};
    NeverCancelled neverCancelled;

    void setup() override
    {
        std::vector<ServiceSpec> services = {ServiceSpec{"engines", true, 64, 566'000, std::nullopt}};
        CHECK(deployments.install(makeRef<Deployment>(1, std::vector<RouteSpec>{}, std::move(services), std::nullopt, FrontLimits{})));
        instances.synchronise({InstanceSpec{"a", "engines", "10.0.0.1:1", "dc", 64, false, 1}, InstanceSpec{"b", "engines", "10.0.0.1:2", "dc", 64, false, 1},
                               InstanceSpec{"c", "engines", "10.0.0.1:3", "elsewhere", 64, false, 1}});
    }
    void teardown() override
    {
        timers.stop();
        pool.stop();
    }
};

// Guards against requests that wait for an owner that doesn't answer, one after the other.
TEST(PlacementOwners, ASilentOwnerIsLeftAloneForAWhile)
{
    owners.owner = MemberRecord{};
    owners.owner->name = "owner";
    CHECK_FALSE(placement.place(demandFor("1", 7), neverCancelled).has_value());
    CHECK_FALSE(placement.place(demandFor("2", 7), neverCancelled).has_value());
    LONGS_EQUAL(1, channel.calls);
    clock.advance(PlacementSettings{}.peerPause + milliseconds(1));
    channel.answer = std::optional<std::string>("b");
    STRCMP_EQUAL("b", placement.place(demandFor("3", 7), neverCancelled).value_or("").c_str());
}

// Guards against an engine elsewhere, or one that was tried already.
TEST(PlacementOwners, TheOwnerChoosesInTheDataCentreOnly)
{
    PlacementDemand demand = demandFor("1", 7);
    const auto first = placement.place(demand, neverCancelled);
    CHECK(first && *first != "c");
    demand.avoid = {*first};
    STRCMP_EQUAL(*first == "a" ? "b" : "a", placement.place(demand, neverCancelled).value_or("").c_str());
    demand.dataCentre = "unknown";
    CHECK_FALSE(placement.place(demand, neverCancelled).has_value());
}

// Guards against a crashed engine whose queue looks short: other nodes' failures count at the owner.
TEST(PlacementOwners, AnEngineThatFailsForOtherNodesIsAvoided)
{
    const PlacementDemand demand = demandFor("1", 7);
    const std::string first = placement.place(demand, neverCancelled).value_or("");
    local.recordOfOtherNode({PlacementReport{"1", "engines", first, std::nullopt, InstanceCallOutcome::Unreachable}});
    const std::string second = placement.place(demandFor("2", 7), neverCancelled).value_or("");
    CHECK(second != first);
}

// Guards against owners that are asked where all engines are alike: a hash serves these better.
TEST(PlacementOwners, AServiceCountsAsUnevenWhileItsInstancesSaySo)
{
    instances.recordLoad("a", ReportedLoad{1, 0, 64, 1.0});
    CHECK_FALSE(instances.uneven("engines"));
    instances.recordLoad("a", ReportedLoad{1, 0, 64, 2.5});
    CHECK_TRUE(instances.uneven("engines"));
    CHECK_FALSE(instances.uneven("others"));
    clock.advance(InstanceSettings{}.unevenDuration + milliseconds(1));
    CHECK_FALSE(instances.uneven("engines"));
}

// Guards against parts that are read again after each change of the owner: nodes tell a new one where they have sent them.
TEST(Placement, ANewOwnerLearnsWherePartsAreCached)
{
    for (const char *engine : {"a", "b"}) {
        PlacementBook book;
        PlacementDemand demand = demandFor("1", 7);
        demand.lastEngine = engine;
        STRCMP_EQUAL(engine, TwoEngines[book.choose(demand, TwoEngines, TimePoint{std::chrono::hours(1)})].id.c_str());
    }
}

// Guards against nodes that ask different owners for the same parts, and against data centres that get more than their engines can serve.
TEST(Placement, PrefixesHaveOneHomeDataCentreInProportionToEngines)
{
    const auto engines = [](unsigned inFirst, unsigned inSecond) {
        std::vector<InstanceSpec> specs;
        for (unsigned i = 0; i < inFirst + inSecond; ++i) {
            specs.push_back(InstanceSpec{"engine-" + std::to_string(i), "engines", "10.0.0.1:1", i < inFirst ? "dc1" : "dc2", 64, false, 1});
        }
        return InstanceList(std::move(specs));
    };
    const InstanceList all = engines(40, 20);
    const InstanceList without = engines(40, 0);
    const auto restored = [](const std::string & /*dataCentre*/) {
        return 1.0;
    };
    const auto justLifted = [](const std::string &dataCentre) {
        return dataCentre == "dc2" ? 0.0 : 1.0;
    };
    std::map<std::string, unsigned> homes;
    unsigned moved = 0;
    unsigned returned = 0;
    for (std::uint64_t prefix = 1; prefix <= 3000; ++prefix) {
        const std::string home = homeDataCentre(prefix, all, {}, restored);
        ++homes[home];
        moved += home == "dc1" && homeDataCentre(prefix, without, {}, restored) != "dc1" ? 1 : 0;
        returned += homeDataCentre(prefix, all, {}, justLifted) == "dc2" ? 1 : 0;
    }
    CHECK_TRUE(homes["dc1"] > 1850 && homes["dc1"] < 2150);
    LONGS_EQUAL(0, moved);
    LONGS_EQUAL(0, returned); // at the moment in which the evacuation is lifted
    STRCMP_EQUAL("dc2", homeDataCentre(1, all, DataCentreScope({"dc2"}), restored).c_str());
    STRCMP_EQUAL("", homeDataCentre(1, engines(0, 0), {}, restored).c_str());
}
