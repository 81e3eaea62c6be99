// The shared tables, used by several threads at once. Also run these under ThreadSanitizer (-DVANILLANOTCH_SANITIZE=thread).
#include "account/account.h"
#include "fakes.h"
#include "fleet/fleet.h"
#include "request/request.h"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace vanillanotch;
using namespace vanillanotch::test;

namespace
{
constexpr int Threads = 6;
constexpr int Rounds = 400;

std::vector<Entry> configurationOf(int servers)
{
    std::vector<Entry> entries{Entry{DataCentreSpec{"dc1", "test", std::chrono::microseconds(1500)}}};
    for (int i = 0; i < servers; ++i) {
        BackendServerSpec spec;
        spec.name = "s" + std::to_string(i);
        spec.dataCentre = "dc1";
        spec.address = "127.0.0.1:1";
        spec.capabilities = {"model"};
        spec.concurrency = 2;
        entries.push_back(Entry{spec});
    }
    entries.push_back(Entry{PresetSpec{"ordinary"}});
    entries.push_back(Entry{PresetSpec{"peak"}});
    entries.push_back(Entry{PresetInForce{"ordinary"}});
    return entries;
}

void runInThreads(const std::function<void(int)> &run)
{
    std::vector<std::thread> threads;
    for (int i = 0; i < Threads; ++i) {
        threads.emplace_back([&run, i] {
            run(i);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}
} // namespace

TEST_GROUP(Tables){};

// Guards against more calls at once than there are slots, and against slots that are lost, when a server is removed and added again while
// calls run on it.
TEST(Tables, SlotsAreNeverOversubscribedWhileServersAreAddedAndRemoved)
{
    SystemClock clock;
    BackendServerTable table(clock, "dc1", HealthSettings{}, makeDeadlineCostRouting());
    table.reconcile(**Configuration::build(1, configurationOf(3)));
    std::atomic<int> heldLeases{0};
    std::atomic<int> maxHeldLeases{0};
    runInThreads([&](int thread) {
        for (int round = 0; round < Rounds; ++round) {
            if (thread == 0 && round % 20 == 0) {
                table.reconcile(**Configuration::build(1, configurationOf(round % 40 == 0 ? 2 : 3)));
                table.replacePlatformLeaving(round % 60 == 0 ? std::set<std::string>{"s0"} : std::set<std::string>{});
            }
            AcquireInput input;
            input.capability = "model";
            input.waitDeadline = clock.now() + std::chrono::seconds(20);
            input.routing.slack = std::chrono::seconds(1);
            auto lease = table.acquire(input);
            CHECK(lease.has_value());
            const int heldNow = ++heldLeases;
            int knownMax = maxHeldLeases;
            while (heldNow > knownMax && !maxHeldLeases.compare_exchange_weak(knownMax, heldNow)) { }
            --heldLeases;
            lease->finish(ServerCallOutcome::Succeeded, std::chrono::microseconds(50), 0.5);
        }
    });
    CHECK(maxHeldLeases <= 6); // 3 servers with 2 slots each
    for (const ServerState &state : table.states()) {
        LONGS_EQUAL(0, state.inFlight);
    }
}

// Guards against a reader that sees an older configuration after a newer one while several threads install changes.
TEST(Tables, TheRevisionInForceNeverDecreasesForAnyReader)
{
    ConfigurationTable table;
    CHECK(table.install(*Configuration::build(1, configurationOf(3))));
    std::atomic<bool> decreased{false};
    runInThreads([&](int thread) {
        Revision last = 0;
        for (int round = 0; round < Rounds; ++round) {
            const ConfigurationRef current = table.current();
            decreased = decreased || current->revision() < last;
            last = current->revision();
            Change change;
            change.revision = last + 1;
            change.upserts.push_back(Entry{PresetInForce{(round + thread) % 2 == 0 ? "peak" : "ordinary"}});
            (void)table.install(change);
            (void)table.changesSince(last);
        }
    });
    CHECK(!decreased);
    CHECK(table.current()->revision() > static_cast<Revision>(Rounds));
}

// Guards against lost updates and data races when several threads use the request, account, suspect and cost tables at once.
TEST(Tables, CountsOfRequestsAndCostsAreExactUnderManyThreads)
{
    SystemClock clock;
    RequestTable requests;
    AccountTable accounts(clock);
    SuspectTable suspects(clock);
    CostTable costs;
    const ConfigurationRef configuration = *Configuration::build(1, configurationOf(3));
    const PipelineSpec pipeline{"p", {StageSpec{}}};
    ClientAccountSpec account;
    account.name = "a";
    account.requestsPerSecond = 1e6;
    account.burst = 1000000;
    account.concurrency = 1000;
    runInThreads([&](int thread) {
        for (int round = 0; round < Rounds; ++round) {
            const std::string id = std::to_string(thread) + "-" + std::to_string(round);
            auto permit = accounts.admit(account, 1);
            CHECK(permit.has_value());
            const Ref<Request> request = makeRef<Request>(id, configuration, pipeline, "a", clock.now(), clock.now() + std::chrono::seconds(1));
            requests.add(request);
            request->beginAttempt(pipeline.stages[0], "s0", clock.now());
            (void)requests.views(clock.now(), 10);
            request->endAttempt(pipeline.stages[0], true, std::nullopt, clock.now());
            suspects.recordServerCrash("f" + std::to_string(round % 7), "s" + std::to_string(thread));
            (void)suspects.marks();
            costs.addStage("p", "s", 1, std::chrono::milliseconds(1));
            requests.markEnded(request);
        }
    });
    LONGS_EQUAL(0, static_cast<long>(requests.runningCount()));
    LONGS_EQUAL(Threads * Rounds, static_cast<long>(costs.costs().at(0).runs));
}
