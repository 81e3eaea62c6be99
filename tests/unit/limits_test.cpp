// Limits that instances state, for whole fleets under a hand-driven clock: requests that an instance gets from all nodes together, and how much of
// the limits is used. No network, no threads.
#include "instances/instances.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>

using namespace vanillanotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr milliseconds Step{10}; // of the clock
constexpr seconds Window{4}; // in which requests are counted
constexpr milliseconds HeedBound{3000}; // from the first statement of a limit until it must be kept

constexpr milliseconds HearingTime{500}; // requests of a node count from this long after it has heard of the limit

// What a limited instance may get in the window: 1.2 times the limit and 5 requests; where many nodes share an instance, 1.5 times.
double allowed(double limit, std::size_t nodes, std::size_t instances)
{
    return (nodes > 8 * instances ? 1.5 : 1.2) * limit * static_cast<double>(Window.count()) + 5;
}

class Fleet
{
public:
    Fleet(std::size_t nodes, std::size_t instances, std::size_t dataCentres)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            m_places.push_back(NodePlace{"n" + std::to_string(i), "dc" + std::to_string(i % dataCentres)});
        }
        for (std::size_t i = 0; i < instances; ++i) {
            m_specs.push_back(
                InstanceSpec{"i" + std::to_string(i), "s", "10.0.0.1:" + std::to_string(i + 1), "dc" + std::to_string(i % dataCentres), 48, false, 1});
        }
        for (const NodePlace &place : m_places) {
            InstanceSettings settings;
            settings.node = place.name;
            settings.dataCentre = place.dataCentre;
            m_tables.push_back(std::make_unique<InstanceTable>(m_clock, settings));
            m_tables.back()->synchronise(m_specs);
            m_tables.back()->setNodes(m_places);
        }
    }

    std::function<double(const std::string &instance)> limitOf = [](const std::string & /*instance*/) {
        return -1.0; // states none
    };
    double requestsPerSecond = 0; // of all callers; each goes to a random node
    std::size_t refused = 0;

    void run(Duration span)
    {
        ChoiceInput input;
        input.service = "s";
        for (const TimePoint until = m_clock.now() + span; m_clock.now() < until; m_clock.advance(Step)) {
            m_due += requestsPerSecond * std::chrono::duration<double>(Step).count();
            for (; m_due >= 1; m_due -= 1) {
                InstanceTable &table = *m_tables[m_generator() % m_tables.size()];
                auto lease = table.acquire(input, *m_policy);
                if (!lease) {
                    ++refused;
                    continue;
                }
                const std::string id = lease->instance().id;
                lease->finish(InstanceCallOutcome::Succeeded, milliseconds(20));
                const double limit = limitOf(id);
                m_served[id].push_back(m_clock.now());
                if (limit >= 0) {
                    m_heard.try_emplace({&table, id}, m_clock.now());
                }
                if (limit < 0 || m_clock.now() >= m_heard.at({&table, id}) + HearingTime) {
                    m_requests[id].push_back(m_clock.now());
                }
                table.recordStatement(id, InstanceStatement{limit < 0 ? std::nullopt : std::optional(limit)});
            }
        }
    }
    // Removes a node: it stops, and the others learn of that one after the other, within a second.
    void removeNode(std::size_t index)
    {
        m_places.erase(m_places.begin() + static_cast<std::ptrdiff_t>(index));
        m_tables[index]->setNodes(m_places);
        for (const std::unique_ptr<InstanceTable> &table : m_tables) {
            table->setNodes(m_places);
            run(Duration(seconds(1)) / static_cast<int>(m_tables.size()));
        }
        m_tables.erase(m_tables.begin() + static_cast<std::ptrdiff_t>(index));
    }
    TimePoint now() const
    {
        return m_clock.now();
    }
    std::size_t requestsSince(const std::string &instance, TimePoint since) const
    {
        const auto found = m_served.find(instance);
        return found == m_served.end() ? 0 : static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(), [since](TimePoint time) {
            return time >= since;
        }));
    }
    std::size_t mostInWindow(const std::string &instance, TimePoint since) const
    {
        std::size_t most = 0;
        const auto found = m_requests.find(instance);
        if (found == m_requests.end()) {
            return 0;
        }
        const std::vector<TimePoint> &times = found->second;
        for (auto first = std::lower_bound(times.begin(), times.end(), since); first != times.end(); ++first) {
            most = std::max(most, static_cast<std::size_t>(std::lower_bound(first, times.end(), *first + Window) - first));
        }
        return most;
    }
    const std::vector<InstanceSpec> &specs() const
    {
        return m_specs;
    }

private:
    ManualClock m_clock;
    std::vector<NodePlace> m_places;
    std::vector<InstanceSpec> m_specs;
    std::vector<std::unique_ptr<InstanceTable>> m_tables;
    std::unique_ptr<ChoicePolicy> m_policy = makeLeastOutstandingChoice();
    std::map<std::string, std::vector<TimePoint>> m_served; // requests, by instance
    std::map<std::string, std::vector<TimePoint>> m_requests; // those that count, by instance
    std::map<std::pair<const InstanceTable *, std::string>, TimePoint> m_heard; // when a node has heard of the instance's limit first
    std::mt19937_64 m_generator{7};
    double m_due = 0;
};

std::size_t indexOf(const std::string &instance)
{
    return std::stoul(instance.substr(1));
}
} // namespace

TEST_GROUP(StatedLimits){};

// Guards against back ends that get more than they state: most of a service's instances state a limit, callers ask for three times as much.
TEST(StatedLimits, HoldForAllNodesTogether)
{
    for (const auto &[nodes, instances] : std::vector<std::pair<std::size_t, std::size_t>>{{1, 3}, {7, 18}, {7, 4}, {195, 160}, {195, 12}}) {
        for (const double limit : {0.3, 1.2, 20.0}) {
            if (limit > 2 && nodes > 7) {
                continue; // the same per node as with fewer nodes
            }
            Fleet fleet(nodes, instances, nodes == 1 ? 1 : 4);
            fleet.requestsPerSecond = 3 * limit * static_cast<double>(instances);
            fleet.run(seconds(2));
            fleet.limitOf = [limit = limit](const std::string &id) {
                return indexOf(id) % 3 == 0 ? -1.0 : limit;
            };
            const TimePoint stated = fleet.now();
            fleet.run(seconds(24));
            const std::string label = std::to_string(nodes) + " nodes, " + std::to_string(instances) + " instances, limit " + std::to_string(limit);
            for (const InstanceSpec &spec : fleet.specs()) {
                CHECK_TEXT(fleet.limitOf(spec.id) < 0
                               || static_cast<double>(fleet.mostInWindow(spec.id, stated + HeedBound)) <= allowed(limit, nodes, instances),
                           (label + ", got " + std::to_string(fleet.mostInWindow(spec.id, stated + HeedBound))).c_str());
            }
            LONGS_EQUAL(0, static_cast<long>(fleet.refused)); // the others are not limited
        }
    }
}

// Guards against capacity that nobody uses: all instances state a limit, callers ask for three times as much as all limits allow.
TEST(StatedLimits, AreUsedUnderPressure)
{
    for (const auto &[nodes, instances] : std::vector<std::pair<std::size_t, std::size_t>>{{1, 3}, {7, 18}, {7, 4}, {195, 160}, {195, 12}}) {
        constexpr double Limit = 2;
        constexpr seconds Span{30};
        Fleet fleet(nodes, instances, nodes == 1 ? 1 : 4);
        fleet.requestsPerSecond = 3 * Limit * static_cast<double>(instances);
        fleet.limitOf = [](const std::string & /*id*/) {
            return Limit;
        };
        fleet.run(HeedBound);
        const TimePoint since = fleet.now();
        fleet.run(Span);
        std::size_t served = 0;
        for (const InstanceSpec &spec : fleet.specs()) {
            const std::size_t most = fleet.mostInWindow(spec.id, since);
            CHECK_TEXT(static_cast<double>(most) <= allowed(Limit, nodes, instances),
                       (std::to_string(nodes) + " nodes, " + std::to_string(instances) + " instances, got " + std::to_string(most)).c_str());
            served += fleet.requestsSince(spec.id, since);
        }
        const double share = static_cast<double>(served) / (Limit * static_cast<double>(instances) * static_cast<double>(Span.count()));
        CHECK_TEXT(share >= 0.9, (std::to_string(nodes) + " nodes, " + std::to_string(instances) + " instances, used " + std::to_string(share)).c_str());
    }
}

// Guards against limits that are broken while nodes stop: for a second, nodes disagree on who may use an instance.
TEST(StatedLimits, HoldWhileNodesStop)
{
    constexpr double Limit = 1.2;
    for (const std::size_t nodes : {7, 60}) {
        Fleet fleet(nodes, 2 * nodes, 4);
        fleet.requestsPerSecond = 4 * Limit * 2 * static_cast<double>(nodes);
        fleet.limitOf = [](const std::string & /*id*/) {
            return Limit;
        };
        fleet.run(HeedBound);
        const TimePoint since = fleet.now();
        for (int i = 0; i < 5; ++i) {
            fleet.run(seconds(3));
            fleet.removeNode(1);
        }
        fleet.run(seconds(5));
        for (const InstanceSpec &spec : fleet.specs()) {
            CHECK(static_cast<double>(fleet.mostInWindow(spec.id, since)) <= 1.5 * Limit * static_cast<double>(Window.count()) + 5);
        }
    }
}

// Guards against nodes that ask all at once whether a limit still holds: they have heard of it within a second, and none of them is a holder.
TEST(StatedLimits, TheOtherNodesTakeTurnsToSeeWhetherALimitHasEnded)
{
    constexpr seconds Span{240};
    constexpr seconds HeardWithin{1};
    std::mt19937_64 generator{3};
    std::uniform_real_distribution<double> random(0, 1);
    const LimitSettings settings;
    for (const auto &[nodes, limit] : std::vector<std::pair<std::size_t, double>>{{7, 1.2}, {7, 20.0}, {60, 20.0}, {195, 100.0}}) {
        const TimePoint stated{seconds(100)};
        std::vector<LimitShare> shares;
        std::vector<RequestLimiter> limiters(nodes);
        for (std::size_t i = 0; i < nodes; ++i) {
            shares.push_back(LimitShare{false, 1, nodes, i});
            const TimePoint heard = stated + std::chrono::duration_cast<Duration>(HeardWithin * random(generator));
            limiters[i].record(InstanceStatement{limit}, shares[i], settings, random(generator), heard);
        }
        std::vector<TimePoint> requests;
        for (TimePoint now = stated + HeardWithin; now < stated + Span; now += Step) {
            for (std::size_t i = 0; i < nodes; ++i) {
                if (limiters[i].allowedAt(shares[i], settings, now) <= now) {
                    limiters[i].countRequest(shares[i], settings, now);
                    limiters[i].record(InstanceStatement{limit}, shares[i], settings, random(generator), now);
                    requests.push_back(now);
                }
            }
        }
        std::size_t most = 0;
        for (auto first = requests.begin(); first != requests.end(); ++first) {
            most = std::max(most, static_cast<std::size_t>(std::lower_bound(first, requests.end(), *first + Window) - first));
        }
        const double bound = settings.recheckShare * limit * static_cast<double>((Window + HeardWithin).count()) + 2;
        CHECK_TEXT(static_cast<double>(most) <= bound, (std::to_string(nodes) + " nodes, got " + std::to_string(most)).c_str());
        CHECK(requests.size() >= nodes); // each has asked
    }
}

// Guards against overload of the instances that state no limit: what the limited ones may not get does not go to one where requests wait for long
// already, unless nothing else can finish a stream that has begun. A request that finds none always has a time to wait for.
TEST(StatedLimits, WhatAnInstanceMayNotGetDoesNotGoToASlowOne)
{
    ManualClock clock;
    InstanceSettings settings;
    InstanceTable table(clock, settings);
    table.synchronise({InstanceSpec{"limited", "s", "10.0.0.1:1", "dc", 48, false, 1}, InstanceSpec{"free", "s", "10.0.0.1:2", "dc", 48, false, 1}});
    for (const char *id : {"limited", "free"}) {
        table.report(id, InstanceCallOutcome::Succeeded, milliseconds(100));
    }
    const auto policy = makePrefixAffinityChoice();
    ChoiceInput input;
    input.service = "s";
    table.recordStatement("limited", InstanceStatement{1.0});
    auto waiting = table.acquire(input, *policy); // the limited one has no token yet
    STRCMP_EQUAL("free", waiting->instance().id.c_str());
    clock.advance(settings.minSlowTime + milliseconds(10));
    for (const bool tried : {false, true}) {
        input.avoid = tried ? std::set<std::string>{"free"} : std::set<std::string>{};
        CHECK(table.acquire(input, *policy).error().code == ErrorCode::ServersLimited);
        CHECK(table.limitedFor("s") > Duration::zero());
        CHECK(table.limitedFor("s") <= seconds(1));
    }
    input.acceptsSlow = true;
    STRCMP_EQUAL("free", table.acquire(input, *policy)->instance().id.c_str());
    input.acceptsSlow = false;
    waiting->recordReply(std::nullopt);
    waiting->recordFirstEvent(milliseconds(600)); // the average stays below minSlowTime
    STRCMP_EQUAL("free", table.acquire(input, *policy)->instance().id.c_str());
}

// Guards against nodes that never use an instance again after its limit has ended.
TEST(StatedLimits, EndWhenTheInstanceStatesNoneAnyMore)
{
    Fleet fleet(7, 6, 4);
    fleet.requestsPerSecond = 60;
    fleet.limitOf = [](const std::string & /*id*/) {
        return 1.0;
    };
    fleet.run(seconds(10));
    fleet.limitOf = [](const std::string & /*id*/) {
        return -1.0;
    };
    fleet.run(seconds(100)); // 2 * 7 nodes / (0.1 of the limit * 1.5)
    const TimePoint since = fleet.now();
    fleet.refused = 0;
    fleet.run(seconds(10));
    LONGS_EQUAL(0, static_cast<long>(fleet.refused));
    for (const InstanceSpec &spec : fleet.specs()) {
        CHECK(fleet.requestsSince(spec.id, since) > 50); // of 100
    }
}

// Guards against instances that no node may use, and nodes that may use none, at any size and distribution.
TEST(StatedLimits, EveryInstanceHasAHolderAndEveryNodeHoldsOne)
{
    std::mt19937_64 generator{11};
    for (const auto &[nodeCount, instanceCount] :
         std::vector<std::pair<std::size_t, std::size_t>>{{7, 18}, {7, 2}, {195, 160}, {195, 3}, {2700, 1500}, {1, 1}, {3, 9}}) {
        for (const std::size_t dataCentres : {1, 3, 9}) {
            std::vector<NodePlace> nodes;
            std::vector<InstanceSpec> instances;
            for (std::size_t i = 0; i < nodeCount; ++i) {
                nodes.push_back(NodePlace{"n" + std::to_string(i), "dc" + std::to_string(generator() % dataCentres)});
            }
            for (std::size_t i = 0; i < instanceCount; ++i) {
                instances.push_back(InstanceSpec{"i" + std::to_string(i), "s", "a", "dc" + std::to_string(generator() % dataCentres), 1, false, 1});
            }
            const auto plan = planLimitHolders(instances, nodes);
            LONGS_EQUAL(static_cast<long>(instanceCount), static_cast<long>(plan.size()));
            std::set<std::string> holding;
            for (const auto &[instance, holders] : plan) {
                CHECK(!holders.empty());
                holding.insert(holders.begin(), holders.end());
                LONGS_EQUAL(static_cast<long>(holders.size()), static_cast<long>(std::set<std::string>(holders.begin(), holders.end()).size()));
            }
            LONGS_EQUAL(static_cast<long>(nodeCount), static_cast<long>(holding.size()));
            std::reverse(nodes.begin(), nodes.end());
            std::reverse(instances.begin(), instances.end());
            CHECK(plan == planLimitHolders(instances, nodes)); // whatever the order in which a node knows them
        }
    }
}

// Guards against requests to an instance that has said that it leaves: none come from a node that has heard it, until the instance is started again or
// has evidently not left.
TEST(StatedLimits, AnInstanceThatLeavesGetsNothingMore)
{
    ManualClock clock;
    InstanceTable table(clock, InstanceSettings{});
    InstanceSpec leaving{"i1", "s", "10.0.0.1:1", "dc", 4, false, 1};
    const InstanceSpec other{"i2", "s", "10.0.0.1:2", "dc", 4, false, 1};
    table.synchronise({leaving, other});
    InstanceStatement statement;
    statement.leaving = true;
    table.recordStatement("i1", statement);
    table.recordStatement("i1", InstanceStatement{}); // an answer that was sent before
    ChoiceInput input;
    input.service = "s";
    const auto policy = makeLeastOutstandingChoice();
    const auto chosen = [&](int tries) {
        std::set<std::string> ids;
        for (int i = 0; i < tries; ++i) {
            if (const auto lease = table.acquire(input, *policy)) {
                ids.insert(lease->instance().id);
            }
        }
        return ids;
    };
    const std::set<std::string> onlyOther = {"i2"};
    const std::set<std::string> both = {"i1", "i2"};
    CHECK(chosen(50) == onlyOther);
    LONGS_EQUAL(1, static_cast<long>(table.usableInstances("s")->specs.size()));
    table.upsert(leaving); // its entry is renewed
    clock.advance(seconds(120));
    CHECK(chosen(50) == onlyOther);
    table.recordStatement("i2", statement);
    CHECK(chosen(50).empty());
    LONGS_EQUAL(static_cast<long>(ErrorCode::NoFitServer), static_cast<long>(table.acquire(input, *policy).error().code));
    leaving.startedUnixMs = 2;
    table.upsert(leaving);
    CHECK(chosen(50) == std::set<std::string>{"i1"});
    clock.advance(InstanceSettings{}.maxLeaving);
    CHECK(chosen(50) == both);
    LONGS_EQUAL(2, static_cast<long>(table.usableInstances("s")->specs.size()));
}

// Guards against statements that bind another instance: the one that made them has gone, and the next one has its address.
TEST(StatedLimits, WhatAnInstanceSaysDoesNotBindTheNextOneAtItsAddress)
{
    ManualClock clock;
    InstanceTable table(clock, InstanceSettings{});
    InstanceSpec spec{"i1", "s", "10.0.0.1:1", "dc", 4, false, 1};
    table.synchronise({spec});
    table.recordStatement("i1", InstanceStatement{0.1, true, milliseconds(60000)});
    ChoiceInput input;
    input.service = "s";
    const auto policy = makeLeastOutstandingChoice();
    CHECK_FALSE(table.acquire(input, *policy).has_value());
    table.remove("i1");
    spec.id = "i2";
    table.upsert(spec);
    table.recordStatement("i1", InstanceStatement{0.1, true, milliseconds(60000)}); // a late reply
    for (int i = 0; i < 20; ++i) {
        CHECK(table.acquire(input, *policy).has_value());
    }
    CHECK(table.limitedFor("s") == Duration::zero());
}

// Guards against requests to an instance that has asked for a pause, and against one that asks for an endless one.
TEST(StatedLimits, AnInstanceGetsNothingDuringItsPause)
{
    ManualClock clock;
    InstanceTable table(clock, InstanceSettings{});
    table.synchronise({InstanceSpec{"i1", "s", "10.0.0.1:1", "dc", 4, false, 1}, InstanceSpec{"i2", "s", "10.0.0.1:2", "dc", 4, false, 1}});
    InstanceStatement statement;
    statement.pause = milliseconds(1500);
    table.recordStatement("i1", statement);
    table.recordStatement("i1", InstanceStatement{}); // an answer to an earlier request
    ChoiceInput input;
    input.service = "s";
    const auto policy = makeLeastOutstandingChoice();
    for (int i = 0; i < 50; ++i) {
        STRCMP_EQUAL("i2", table.acquire(input, *policy)->instance().id.c_str());
    }
    CHECK(table.callableAt("i1") > clock.now());
    CHECK(table.limitedFor("s") == Duration::zero());
    statement.pause = std::chrono::hours(24);
    table.recordStatement("i2", statement);
    CHECK(table.limitedFor("s") == milliseconds(1500));
    LONGS_EQUAL(static_cast<long>(ErrorCode::ServersLimited), static_cast<long>(table.acquire(input, *policy).error().code));
    clock.advance(milliseconds(1500));
    STRCMP_EQUAL("i1", table.acquire(input, *policy)->instance().id.c_str());
    clock.advance(InstanceSettings{}.maxPause);
    CHECK(table.callableAt("i2") <= clock.now());
}

// Guards against statements that stop all requests or none: 0, and values that alternate.
TEST(StatedLimits, StrangeValuesAreBounded)
{
    Fleet zero(3, 3, 1);
    zero.requestsPerSecond = 30;
    zero.limitOf = [](const std::string & /*id*/) {
        return 0.0;
    };
    zero.run(seconds(3));
    const TimePoint since = zero.now();
    zero.run(seconds(60));
    for (const InstanceSpec &spec : zero.specs()) {
        CHECK(zero.mostInWindow(spec.id, since) <= 5);
        CHECK(zero.requestsSince(spec.id, since) >= 3); // else nobody would learn of the end of the limit
    }
    Fleet changing(7, 6, 2);
    changing.requestsPerSecond = 200;
    bool high = false;
    changing.limitOf = [&high](const std::string & /*id*/) {
        high = !high;
        return high ? 3.0 : 0.5;
    };
    changing.run(seconds(3));
    const TimePoint changed = changing.now();
    changing.run(seconds(20));
    for (const InstanceSpec &spec : changing.specs()) {
        CHECK(static_cast<double>(changing.mostInWindow(spec.id, changed)) <= allowed(3.0, 7, 6));
    }
}
