// What a node learns of the speed of engines and of the demand for prompt prefixes, under a hand-driven clock; no network, no threads.
#include "instances/instances.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>

using namespace vanillanotch;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr double Slowdown = 2.5;
constexpr unsigned Slots = 64;
const std::string Service = "s";
} // namespace

TEST_GROUP(Speed)
{
    // Records what the table tells policies of the first instance, and chooses it.
    class ViewProbe final : public ChoicePolicy
    {
    public:
        InstanceView view;
        std::size_t choose(const ChoiceInput & /*input*/, const std::vector<InstanceView> &views) override
        {
            view = views.front();
            return 0;
        }
    };
    ManualClock clock;
    InstanceTable table{clock, InstanceSettings{}};
    ChoiceInput input;
    ViewProbe probe;

    void setup() override
    {
        table.upsert(InstanceSpec{"e1", Service, "10.0.0.1:1", "dc1", Slots, false, 1});
        input.service = Service;
        input.affinity = 4711;
    }
    const InstanceView &view()
    {
        (void)table.preview(input, probe);
        return probe.view;
    }
    void answer(Duration time, Duration expected)
    {
        auto lease = table.acquire(input, probe);
        lease->recordFirstEvent(time, expected);
        lease->finish(InstanceCallOutcome::Succeeded, Duration::zero());
    }
};

// Guards against an instance that is avoided after one slow reply, and against one whose speed is never learnt or never forgotten.
TEST(Speed, IsLearntFromSeveralRepliesAndForgotten)
{
    answer(seconds(20), milliseconds(200));
    CHECK(view().timeFactor < 1.3);
    for (int i = 0; i < 20; ++i) {
        clock.advance(milliseconds(500));
        answer(milliseconds(400), milliseconds(200));
    }
    CHECK(view().timeFactor > 1.6 && view().timeFactor < 2.1);
    clock.advance(seconds(120));
    CHECK(view().timeFactor < 1.15);
    answer(milliseconds(200), Duration::zero()); // unknown expectation
    answer(Duration::zero(), milliseconds(200));
    CHECK(view().timeFactor > 1 && view().timeFactor < 1.15);
}

// Guards against choices by a statement that has been true a moment ago only, and against an instance that counts as slow for long, by the time that its
// replies took, although its statement explains that time.
TEST(Speed, AStatedSlowdownCountsForAMomentAndIsNotLearnt)
{
    table.recordLoad("e1", ReportedLoad{1, 0, Slots, Slowdown});
    DOUBLES_EQUAL(Slowdown, view().slowdown, 0.01);
    for (int i = 0; i < 10; ++i) {
        answer(milliseconds(500), milliseconds(200));
    }
    DOUBLES_EQUAL(1, view().timeFactor, 0.01);
    clock.advance(milliseconds(150));
    DOUBLES_EQUAL(std::sqrt(Slowdown), view().slowdown, 0.01);
    clock.advance(milliseconds(400));
    DOUBLES_EQUAL(1, view().slowdown, 0.0001);
}

// Guards against requests that all go to an instance by one and the same report, and against sums of stated figures that wrap around.
TEST(Speed, RequestsSinceAReportCountAsLoad)
{
    table.recordLoad("e1", ReportedLoad{32, 0, Slots});
    DOUBLES_EQUAL(0.5, view().load, 0.001);
    std::vector<InstanceLease> leases;
    for (int i = 0; i < 16; ++i) {
        leases.push_back(std::move(*table.acquire(input, probe)));
    }
    DOUBLES_EQUAL(0.75, view().load, 0.001);
    table.recordLoad("e1", ReportedLoad{48, 0, Slots});
    DOUBLES_EQUAL(0.75, view().load, 0.001);
    table.recordLoad("e1", ReportedLoad{4294967295U, 1, Slots});
    CHECK(view().load > 1);
}

// Guards against several preferred instances for a prefix of a few requests, which would all have to read it, and against one for a prefix that needs more.
TEST(Speed, OnlyAPopularPrefixHasSeveralPreferredInstances)
{
    const FleetSize fleet{90, 70, 70 * Slots};
    PrefixDemand demand;
    const auto run = [&](bool uneven) {
        for (unsigned i = 0; i < 600; ++i, clock.advance(milliseconds(100))) {
            demand.countRequest(i % 5 == 0 ? 1 : i, clock.now()); // of all nodes 900 a second, 180 of them with the prefix 1
            demand.recordHeld(seconds(2));
        }
        if (uneven) {
            demand.recordSlowdown();
        }
    };
    run(false);
    LONGS_EQUAL(1, demand.preferredCount(1, fleet, clock.now())); // no instance has stated a slowdown
    run(true);
    const auto count = demand.preferredCount(1, fleet, clock.now());
    CHECK(count >= 360 / Slots + 1 && count <= 20); // 360 slots
    LONGS_EQUAL(1, demand.preferredCount(599, fleet, clock.now()));
    LONGS_EQUAL(1, demand.preferredCount(12345, fleet, clock.now()));
    LONGS_EQUAL(1, demand.preferredCount(1, FleetSize{90, 0, 0}, clock.now()));
}
