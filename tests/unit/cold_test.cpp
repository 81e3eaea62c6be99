// Cold instances, for whole fleets under a hand-driven clock: what is stated of them, and the requests that one gets from all nodes together.
// No network, no threads.
#include "platform/platform.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <random>

using namespace vanillanotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
std::optional<milliseconds> statedByEntry(const std::string &value)
{
    const auto spec = platform::decodeInstance(
        "i", R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":8,"State":"ready","Sequence":4,"ColdRemainingMs":)" + value + "}");
    CHECK_TEXT(spec.has_value(), value.c_str());
    return spec->coldRemaining;
}

std::optional<milliseconds> statedByReply(const std::string &value)
{
    ReplyHead head;
    head.status = 200;
    head.headers.add("X-Cold-Ms", value);
    return platform::makeRequestCodec()->readReply(head, "a").statement.coldRemaining;
}
} // namespace

TEST_GROUP(ColdStatements){};

// Guards against a statement that makes a server cold for ever, or hides its entry.
TEST(ColdStatements, InvalidValuesHaveADefinedMeaning)
{
    for (const auto &[value, meaning] : std::vector<std::pair<std::string, std::optional<milliseconds>>>{{"2500", milliseconds(2500)},
                                                                                                         {"0", milliseconds(0)},
                                                                                                         {"0.2", milliseconds(1)},
                                                                                                         {"-1", milliseconds(0)},
                                                                                                         {"-1e300", milliseconds(0)},
                                                                                                         {"600001", MaxColdTime},
                                                                                                         {"1e300", MaxColdTime},
                                                                                                         {"18446744073709551616", MaxColdTime}}) {
        CHECK_TEXT(statedByEntry(value) == meaning, value.c_str());
        CHECK_TEXT(statedByReply(value) == meaning, value.c_str());
    }
    for (const char *value : {R"("2500")", "null", "[]", "{}", "true"}) {
        CHECK_TEXT(statedByEntry(value) == std::nullopt, value);
    }
    for (const char *value : {"", "x", "nan", "12x", "-", "1,2"}) {
        CHECK_TEXT(statedByReply(value) == std::nullopt, value);
    }
    CHECK(statedByReply("inf") == MaxColdTime);
    CHECK(statedByReply("1e400") == MaxColdTime);
    CHECK(statedByReply("-inf") == milliseconds(0));
    CHECK(statedByReply("-1e400") == milliseconds(0));
    CHECK(statedByReply("1e-400") == milliseconds(0));
    CHECK(platform::makeRequestCodec()->readReply(ReplyHead{}, "a").statement.coldRemaining == std::nullopt);
    CHECK_FALSE(platform::decodeInstance("i", R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":8,"State":"ready","Sequence":4})")
                    ->coldRemaining.has_value());
}

// Guards against a configuration that is refused, or that limits no server or each one for ever, because of one value.
TEST(ColdStatements, InvalidValuesOfAServiceHaveADefinedMeaning)
{
    const auto decode = [](const std::string &fields) {
        const auto deployment = platform::decodeDeployment(R"({"Version":1,"Routes":[],"Services":[{"Name":"s")" + fields + "}]}");
        CHECK_TEXT(deployment.has_value(), fields.c_str());
        return *(*deployment)->service("s");
    };
    const ServiceSpec plain = decode("");
    CHECK(plain.coldStart == milliseconds(0));
    DOUBLES_EQUAL(0, plain.coldRequestsPerSecond, 0);
    const ServiceSpec stated = decode(R"(,"ColdStartS":12.5,"ColdPerS":8)");
    CHECK(stated.coldStart == milliseconds(12500));
    DOUBLES_EQUAL(8, stated.coldRequestsPerSecond, 0);
    const ServiceSpec negative = decode(R"(,"ColdStartS":-3,"ColdPerS":-8)");
    CHECK(negative.coldStart == milliseconds(0));
    DOUBLES_EQUAL(0, negative.coldRequestsPerSecond, 0);
    const ServiceSpec text = decode(R"(,"ColdStartS":"12","ColdPerS":null)");
    CHECK(text.coldStart == milliseconds(0));
    DOUBLES_EQUAL(0, text.coldRequestsPerSecond, 0);
    CHECK(decode(R"(,"ColdStartS":1e300)").coldStart == MaxColdTime);
}

namespace
{
constexpr milliseconds Step{10}; // of the clock
constexpr double Rate = 8; // requests a second that a cold instance tolerates
constexpr double Bound = Rate * 1.5 + 5; // requests within any one second, from all nodes
const std::vector<std::size_t> Sizes = {7, 72, 300, 2700};

std::string labelOf(std::size_t nodes, std::size_t got)
{
    return std::to_string(nodes) + " nodes, got " + std::to_string(got);
}

// Nodes that each have an InstanceTable, and ask for a server so often that there are far more requests than cold instances tolerate. Four data centres with
// one instance of the service each.
class ColdFleet
{
public:
    explicit ColdFleet(std::size_t nodes)
        : m_askInterval(nodes > 100 ? 50 : 10)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            places.push_back(NodePlace{"n" + std::to_string(i), "dc" + std::to_string(i % 4)});
            m_askAt.push_back(clock.now() + std::chrono::duration_cast<Duration>(m_askInterval * uniform()));
        }
        for (int i = 0; i < 4; ++i) {
            const std::string number = std::to_string(i);
            specs.push_back(InstanceSpec{"i" + number, "s", "10.0.0.1:8" + number, "dc" + number, 1000, false, 1, milliseconds(500000)});
        }
        tables.resize(nodes);
    }
    void start(std::size_t node) // also after a stop; its list of the nodes is empty
    {
        InstanceSettings settings;
        settings.node = places[node].name;
        settings.dataCentre = places[node].dataCentre;
        tables[node] = std::make_unique<InstanceTable>(clock, settings);
        tables[node]->setColdRules({{"s", ColdRule{milliseconds(0), Rate, false}}});
        tables[node]->synchronise(specs);
    }
    void startAll(bool withNodes)
    {
        for (std::size_t i = 0; i < tables.size(); ++i) {
            start(i);
            if (withNodes) {
                tables[i]->setNodes(places);
            }
        }
    }
    void run(Duration span)
    {
        ChoiceInput input;
        input.service = "s";
        for (const TimePoint until = clock.now() + span; clock.now() < until; clock.advance(Step)) {
            for (std::size_t i = 0; i < tables.size(); ++i) {
                if (!tables[i] || m_askAt[i] > clock.now()) {
                    continue;
                }
                m_askAt[i] += m_askInterval;
                if (auto lease = tables[i]->acquire(input, *m_policy)) {
                    const std::string id = lease->instance().id;
                    requests[id].push_back(clock.now());
                    onReply(i, id);
                    lease->finish(InstanceCallOutcome::Succeeded, milliseconds(20));
                }
            }
        }
    }
    std::size_t mostInSecond(const std::string &id, TimePoint since = {})
    {
        const std::vector<TimePoint> &times = requests[id];
        std::size_t most = 0;
        for (auto first = std::lower_bound(times.begin(), times.end(), since); first != times.end(); ++first) {
            most = std::max(most, static_cast<std::size_t>(std::lower_bound(first, times.end(), *first + seconds(1)) - first));
        }
        return most;
    }
    void checkBound(TimePoint since = {})
    {
        for (const InstanceSpec &spec : specs) {
            const std::size_t most = mostInSecond(spec.id, since);
            CHECK_TEXT(static_cast<double>(most) <= Bound, labelOf(places.size(), most).c_str());
        }
    }
    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(generator);
    }

    ManualClock clock;
    std::mt19937_64 generator{5};
    std::vector<NodePlace> places;
    std::vector<InstanceSpec> specs;
    std::vector<std::unique_ptr<InstanceTable>> tables;
    std::map<std::string, std::vector<TimePoint>> requests; // by instance
    std::function<void(std::size_t node, const std::string &instance)> onReply = [](std::size_t, const std::string &) {
    };

private:
    const milliseconds m_askInterval;
    std::unique_ptr<ChoicePolicy> m_policy = makeLeastOutstandingChoice();
    std::vector<TimePoint> m_askAt;
};
} // namespace

TEST_GROUP(ColdInstances){};

// Guards against cold servers that crash, and against cold servers that nobody uses: all are cold, and each node has more requests than all tolerate.
TEST(ColdInstances, GetNoMoreThanTheirRateFromAllNodesAndMostOfIt)
{
    for (const std::size_t nodes : Sizes) {
        ColdFleet fleet(nodes);
        fleet.startAll(true);
        fleet.run(seconds(13));
        fleet.checkBound();
        for (const InstanceSpec &spec : fleet.specs) {
            CHECK_TEXT(static_cast<double>(fleet.requests[spec.id].size()) >= 0.7 * Rate * 10, labelOf(nodes, fleet.requests[spec.id].size()).c_str());
        }
        const Duration wait = fleet.tables[0]->limitedFor("s"); // of a refusal
        CHECK(wait >= Duration::zero() && wait <= MaxColdTime);
    }
}

// Guards against nodes that each take themselves for the only one: none has read the members yet, or none is in the list that it has.
TEST(ColdInstances, GetLittleFromNodesThatDoNotKnowTheOthers)
{
    for (const bool withList : {false, true}) {
        for (const std::size_t nodes : Sizes) {
            ColdFleet fleet(nodes);
            fleet.startAll(false);
            for (std::size_t i = 0; withList && i < nodes; ++i) {
                std::vector<NodePlace> others = fleet.places;
                others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
                fleet.tables[i]->setNodes(others);
            }
            fleet.run(seconds(10));
            fleet.checkBound();
            fleet.requests.clear();
            fleet.specs[1].coldRemaining = milliseconds(0);
            for (const std::unique_ptr<InstanceTable> &table : fleet.tables) {
                table->synchronise(fleet.specs);
            }
            fleet.run(seconds(2));
            LONGS_EQUAL(1, static_cast<long>(fleet.requests.size())); // nothing while another is warm
        }
    }
}

// Guards against nodes with old lists of the members beside nodes with a new one: a third of the nodes is replaced, some are cut off and go on with
// the list that they have, and the new list reaches the others one after the other. Then all start again at the same moment.
TEST(ColdInstances, GetNoMoreWhenNodesKnowDifferentMembers)
{
    for (const auto &[cutOff, generations] : std::vector<std::pair<double, std::size_t>>{{0.5, 1}, {0.1, 3}}) {
        for (const std::size_t nodes : Sizes) {
            ColdFleet fleet(nodes);
            fleet.startAll(true);
            fleet.run(seconds(4));
            std::vector<std::vector<NodePlace>> lists = {fleet.places}; // by generation
            std::vector<std::size_t> known(nodes, 0); // generation of the list that a node has
            for (std::size_t generation = 1; generation <= generations; ++generation) {
                std::vector<std::size_t> reached;
                for (std::size_t i = 0; i < nodes; ++i) {
                    if (known[i] == generation - 1 && fleet.uniform() >= cutOff) {
                        reached.push_back(i);
                        known[i] = generation;
                    }
                }
                lists.push_back(lists.back());
                for (std::size_t i = 0; i < nodes; ++i) {
                    if (known[i] != generation || fleet.uniform() < 0.33) { // those that are cut off are taken for gone
                        lists.back()[i].name += "x";
                    }
                    if (known[i] == generation && lists.back()[i].name != fleet.places[i].name) {
                        fleet.places[i] = lists.back()[i];
                        fleet.start(i);
                    }
                }
                std::shuffle(reached.begin(), reached.end(), fleet.generator);
                for (std::size_t part = 0; part < 10; ++part) { // within two seconds
                    for (std::size_t i = part; i < reached.size(); i += 10) {
                        fleet.tables[reached[i]]->setNodes(lists.back());
                    }
                    fleet.run(milliseconds(200));
                }
                fleet.run(seconds(3));
            }
            for (std::size_t i = 0; i < nodes; ++i) {
                fleet.start(i);
                fleet.tables[i]->setNodes(lists[known[i]]);
            }
            fleet.run(seconds(4));
            fleet.checkBound();
        }
    }
}

// Guards against nodes that have started just now and send at once, because they haven't heard of the others' requests.
TEST(ColdInstances, GetNothingAtOnceFromANodeThatHasJustStarted)
{
    ColdFleet fleet(4);
    fleet.startAll(true);
    fleet.run(seconds(1));
    for (int i = 0; i < 30; ++i) { // it starts again and again
        fleet.start(0);
        fleet.tables[0]->setNodes(fleet.places);
        fleet.run(milliseconds(500));
    }
    LONGS_EQUAL(0, static_cast<long>(fleet.requests["i0"].size()));
    fleet.run(seconds(3));
    CHECK(!fleet.requests["i0"].empty());
}

// Guards against a server that becomes cold again while it has its full load: nodes hear of it from their own replies, or within two seconds.
TEST(ColdInstances, GetNoMoreSoonAfterTheyBecomeColdAgain)
{
    for (const std::size_t nodes : Sizes) {
        ColdFleet fleet(nodes);
        for (InstanceSpec &spec : fleet.specs) {
            spec.coldRemaining = milliseconds(0);
        }
        fleet.startAll(true);
        fleet.run(seconds(2));
        CHECK(fleet.mostInSecond("i0") > Bound);
        const TimePoint becameCold = fleet.clock.now();
        fleet.onReply = [&fleet](std::size_t node, const std::string &id) {
            if (id == "i0") {
                InstanceStatement statement;
                statement.coldRemaining = milliseconds(60000);
                fleet.tables[node]->recordStatement(id, statement);
            }
        };
        for (std::size_t part = 0; part < 10; ++part) {
            fleet.run(milliseconds(200));
            for (std::size_t i = part; i < nodes; i += 10) {
                fleet.tables[i]->upsert(fleet.specs[0]); // an entry of before
            }
        }
        fleet.specs[0].coldRemaining = milliseconds(60000);
        for (const std::unique_ptr<InstanceTable> &table : fleet.tables) {
            table->upsert(fleet.specs[0]);
        }
        fleet.run(seconds(5));
        const std::size_t most = fleet.mostInSecond("i0", becameCold + seconds(2));
        CHECK_TEXT(static_cast<double>(most) <= Bound, labelOf(nodes, most).c_str());
    }
}

// Guards against cold servers that are used while warm ones have room, or are not used although the warm ones have none, and against one server's
// statement that changes another one's limit.
TEST(ColdInstances, AreUsedWhenTheWarmOnesHaveNoRoom)
{
    ColdFleet fleet(1);
    for (InstanceSpec &spec : fleet.specs) {
        spec.dataCentre = "dc0";
        spec.slots = 4;
        spec.coldRemaining = spec.id == "i0" ? milliseconds(0) : milliseconds(60000);
    }
    fleet.specs.resize(2);
    fleet.startAll(true);
    fleet.clock.advance(seconds(3));
    InstanceTable &table = *fleet.tables[0];
    const auto policy = makeLeastOutstandingChoice();
    ChoiceInput input;
    input.service = "s";
    std::vector<InstanceLease> leases;
    for (int i = 0; i < 3; ++i) {
        leases.push_back(std::move(*table.acquire(input, *policy)));
        STRCMP_EQUAL("i0", leases.back().instance().id.c_str());
    }
    leases.push_back(std::move(*table.acquire(input, *policy)));
    STRCMP_EQUAL("i1", leases.back().instance().id.c_str());
    leases.push_back(std::move(*table.acquire(input, *policy)));
    STRCMP_EQUAL("i0", leases.back().instance().id.c_str()); // the cold one has had its request
    CHECK(table.limitedFor("s") == Duration::zero());
    LONGS_EQUAL(1, static_cast<long>(table.coldCount()));
}

// Guards against cold times that end too early, never end, or begin where nothing has started: the sources of a cold time.
TEST(ColdInstances, StayColdAsLongAsTheLongestSourceSays)
{
    ManualClock clock;
    InstanceSettings settings;
    const auto bornAgo = [&clock](Duration ago) {
        return std::chrono::duration_cast<milliseconds>((clock.wallNow() - ago).time_since_epoch()).count();
    };
    InstanceSpec spec{"i", "s", "10.0.0.1:80", "dc", 4, false, bornAgo(seconds(2))};
    InstanceTable table(clock, settings);
    table.setColdRules({{"s", ColdRule{seconds(10), Rate, false}}});
    const auto isColdFor = [&](Duration time) {
        clock.advance(time - milliseconds(1));
        const bool cold = table.coldCount() == 1;
        clock.advance(milliseconds(1));
        return cold && table.coldCount() == 0;
    };
    const auto say = [&](std::optional<milliseconds> remaining) {
        InstanceStatement statement;
        statement.coldRemaining = remaining;
        table.recordStatement("i", statement);
    };
    table.synchronise({spec}); // the first read: it may have run for long
    LONGS_EQUAL(0, static_cast<long>(table.coldCount()));
    spec.startedUnixMs = bornAgo(seconds(1));
    table.upsert(spec);
    CHECK(isColdFor(seconds(9)));
    spec.startedUnixMs = bornAgo(-std::chrono::hours(5)); // its clock is ahead
    table.upsert(spec);
    CHECK(isColdFor(seconds(10)));
    spec.startedUnixMs += 1;
    spec.coldRemaining = milliseconds(0); // counts instead of the start
    table.upsert(spec);
    LONGS_EQUAL(0, static_cast<long>(table.coldCount()));
    spec.coldRemaining = seconds(5);
    table.upsert(spec);
    say(seconds(2));
    say(std::nullopt); // says nothing
    CHECK(isColdFor(seconds(5)));
    say(seconds(60));
    say(milliseconds(0)); // may have been sent before
    spec.coldRemaining = milliseconds(0);
    clock.advance(seconds(2));
    table.upsert(spec); // written before the reply
    LONGS_EQUAL(1, static_cast<long>(table.coldCount()));
    clock.advance(seconds(1));
    table.upsert(spec);
    LONGS_EQUAL(0, static_cast<long>(table.coldCount()));
    spec.coldRemaining = std::chrono::hours(24);
    table.upsert(spec);
    CHECK(isColdFor(MaxColdTime));
    table.setColdRules({{"s", ColdRule{seconds(10), 0, false}}}); // no limit
    table.upsert(spec);
    CHECK(table.callableAt("i") <= clock.now());
}

// Guards against calls of stages that aren't counted, and against nodes that call although another one owns the work; a stated limit below the rate holds.
TEST(ColdInstances, AreCalledByTheOwnerOfTheirStageWork)
{
    ColdFleet fleet(2);
    fleet.startAll(true);
    std::array<std::size_t, 2> calls{};
    for (const std::unique_ptr<InstanceTable> &table : fleet.tables) {
        table->setColdRules({{"s", ColdRule{milliseconds(0), Rate, true}}});
    }
    fleet.tables[1]->setOwnedStages({{"s", {"dc2"}}});
    const auto callFor = [&](Duration span) {
        calls = {};
        for (const TimePoint until = fleet.clock.now() + span; fleet.clock.now() < until; fleet.clock.advance(Step)) {
            for (std::size_t i = 0; i < 2; ++i) {
                if (fleet.tables[i]->callableAt("i2") <= fleet.clock.now()) {
                    fleet.tables[i]->countCall("i2");
                    ++calls[i];
                }
            }
        }
    };
    callFor(seconds(12));
    CHECK(calls[0] <= 1);
    CHECK(static_cast<double>(calls[1]) <= Rate * 12);
    CHECK(static_cast<double>(calls[1]) >= 0.7 * Rate * 10);
    fleet.tables[1]->recordStatement("i2", InstanceStatement{1.0});
    callFor(seconds(10));
    CHECK(calls[1] >= 8);
    CHECK(calls[1] <= 11);
    CHECK(fleet.tables[1]->callableAt("i3") > fleet.clock.now() + seconds(20)); // not owned
}
