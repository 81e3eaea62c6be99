// Orders to engines: one holder at a time gives them, a paused one gives none after its successor, and engines that check
// refuse an old fencing number.
#include "load.h"

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace vanillanotch;
using namespace vanillanotch::test;

namespace
{
void addEngine(Cluster &cluster, const std::string &name, bool checks)
{
    ServerPlan plan;
    plan.name = name;
    plan.capability = "model";
    if (!checks) {
        plan.arguments = {"--ignore_fencing"};
    }
    cluster.addServer(plan);
}

std::string wanting(Cluster &cluster, const std::string &model)
{
    return "backend_servers:\n"
           "  - {name: checks, data_centre: dc1, address: \""
        + cluster.server("checks").address("address") + "\", capabilities: [model], wanted_model: " + model
        + "}\n"
          "  - {name: ignores, data_centre: dc1, address: \""
        + cluster.server("ignores").address("address") + "\", capabilities: [model], checks_fencing: false, wanted_model: " + model + "}\n";
}

bool bothHave(Cluster &cluster, const std::string &model)
{
    for (const char *name : {"checks", "ignores"}) {
        const Json state = Json::parse(send(cluster.server(name).address("address"), "GET", "/v1/engine").body, nullptr, false);
        if (!state.is_object() || state.value("model", "") != model) {
            return false;
        }
    }
    return true;
}

std::vector<LedgerLine> ordersOf(const Cluster &cluster)
{
    std::vector<LedgerLine> orders;
    for (const LedgerLine &line : cluster.ledger()) {
        if (line.path == "/v1/engine/orders") {
            orders.push_back(line);
        }
    }
    return orders;
}
} // namespace

TEST_GROUP(Orders){};

TEST(Orders, APausedHolderGivesNoOrderAfterItsSuccessor)
{
    Cluster cluster("orders");
    cluster.addDefaultServers();
    addEngine(cluster, "checks", true);
    addEngine(cluster, "ignores", false);
    const std::string quick = "duty_lease_ms: 1600\nduty_margin_ms: 400\n";
    for (const char *name : {"n1", "n2", "n3"}) {
        cluster.addNode(name, "dc1", quick);
    }
    cluster.start();
    std::string asked = "n1";
    for (int round = 0; round < 2; ++round) {
        const std::string first = "first-" + std::to_string(round);
        const std::string second = "second-" + std::to_string(round);
        LONGS_EQUAL(200, cluster.sendOperatorRequest(asked, "POST", "/v1/merge", wanting(cluster, first)).status);
        CHECK(eventually([&] {
            return bothHave(cluster, first);
        }));
        // The holder is the one whose log says that it gave the last order.
        std::string holder;
        for (const std::string &name : cluster.nodeNames()) {
            if (cluster.sendOperatorRequest(name, "GET", "/metrics").body.find("vanillanotch_duty_held{duty=\"engine-orders\"} 1") != std::string::npos) {
                holder = name;
            }
        }
        CHECK(!holder.empty());
        cluster.node(holder).signal(SIGSTOP);
        asked = holder == "n1" ? "n2" : "n1";
        LONGS_EQUAL(200, cluster.sendOperatorRequest(asked, "POST", "/v1/merge", wanting(cluster, second)).status);
        CHECK(eventually([&] {
            return bothHave(cluster, second);
        }));
        const std::size_t before = ordersOf(cluster).size();
        cluster.node(holder).signal(SIGCONT);
        CHECK(cluster.awaitRevision(cluster.revision(asked), {holder}));
        std::this_thread::sleep_for(std::chrono::seconds(3)); // longer than a lease: a late order would show
        CHECK(bothHave(cluster, second));
        LONGS_EQUAL(before, ordersOf(cluster).size());
    }
    // Fencing numbers never fall at any engine, and the two kinds were both met.
    std::map<std::string, unsigned long> highest;
    for (const LedgerLine &line : ordersOf(cluster)) {
        STRCMP_EQUAL("begin", line.event.c_str());
        CHECK(std::stoul(line.key) >= highest[line.server]);
        highest[line.server] = std::stoul(line.key);
    }
    LONGS_EQUAL(2, static_cast<long>(highest.size()));
    CHECK(highest["ignores"] >= 2);
}
