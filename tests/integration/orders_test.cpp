// Engine orders tell an engine (a backend server that runs models) which model to load. Only one node sends them: the one that
// holds the lease on the duty engine-orders, here called the holder. Each order has a fencing number, which is higher for each new
// holder. A holder that was paused for longer than its lease must send no order after its successor has sent one.
// There are two engines. `checks` refuses an order whose fencing number is lower than that of its last order. `ignores` accepts
// any, so that a late order would take effect there.
#include "load.h"

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace vanillanotch;
using namespace vanillanotch::test;

namespace
{
void addEngine(Cluster &cluster, const std::string &name, bool checksFencing)
{
    ServerOptions options;
    options.name = name;
    options.capability = "model";
    if (!checksFencing) {
        options.arguments = {"--ignore_fencing"};
    }
    cluster.addServer(options);
}

// Configuration document (YAML) by which both engines are to run `model`.
std::string modelOrdersYaml(Cluster &cluster, const std::string &model)
{
    return "backend_servers:\n"
           "  - {name: checks, data_centre: dc1, address: \""
        + cluster.server("checks").address("address") + "\", capabilities: [model], wanted_model: " + model
        + "}\n"
          "  - {name: ignores, data_centre: dc1, address: \""
        + cluster.server("ignores").address("address") + "\", capabilities: [model], checks_fencing: false, wanted_model: " + model + "}\n";
}

bool bothRun(Cluster &cluster, const std::string &model)
{
    for (const char *name : {"checks", "ignores"}) {
        const Json state = Json::parse(send(cluster.server(name).address("address"), "GET", "/v1/engine").body, nullptr, false);
        if (!state.is_object() || state.value("model", "") != model) {
            return false;
        }
    }
    return true;
}

std::vector<LedgerLine> engineOrders(const Cluster &cluster)
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

// Two rounds: the holder is paused (SIGSTOP), another node becomes the holder and orders the model second-N, then the old holder
// continues. If it sent the order for first-N that it knows, the engine `ignores` would load the wrong model.
TEST(Orders, PausedHolderSendsNoOrderAfterItsSuccessor)
{
    Cluster cluster("orders");
    cluster.addDefaultServers();
    addEngine(cluster, "checks", true);
    addEngine(cluster, "ignores", false);
    const std::string shortLease = "duty_lease_ms: 1600\nduty_margin_ms: 400\n";
    for (const char *name : {"n1", "n2", "n3"}) {
        cluster.addNode(name, "dc1", shortLease);
    }
    cluster.start();
    std::string operatorNode = "n1";
    for (int round = 0; round < 2; ++round) {
        const std::string first = "first-" + std::to_string(round);
        const std::string second = "second-" + std::to_string(round);
        LONGS_EQUAL(200, cluster.sendOperatorRequest(operatorNode, "POST", "/v1/merge", modelOrdersYaml(cluster, first)).status);
        CHECK(eventually([&] {
            return bothRun(cluster, first);
        }));
        // Finds the holder: the node whose metrics say that it holds the duty.
        std::string holder;
        for (const std::string &name : cluster.nodeNames()) {
            if (cluster.sendOperatorRequest(name, "GET", "/metrics").body.find("vanillanotch_duty_held{duty=\"engine-orders\"} 1") != std::string::npos) {
                holder = name;
            }
        }
        CHECK(!holder.empty());
        cluster.node(holder).sendSignal(SIGSTOP);
        operatorNode = holder == "n1" ? "n2" : "n1";
        LONGS_EQUAL(200, cluster.sendOperatorRequest(operatorNode, "POST", "/v1/merge", modelOrdersYaml(cluster, second)).status);
        CHECK(eventually([&] {
            return bothRun(cluster, second);
        }));
        const std::size_t before = engineOrders(cluster).size();
        cluster.node(holder).sendSignal(SIGCONT);
        CHECK(cluster.awaitRevision(cluster.revision(operatorNode), {holder}));
        // 3 s is longer than the lease of 1.6 s: by then an order that the old holder sends late would be in the ledger.
        std::this_thread::sleep_for(std::chrono::seconds(3));
        CHECK(bothRun(cluster, second));
        LONGS_EQUAL(before, engineOrders(cluster).size());
    }
    // No order was refused, fencing numbers never decrease at either engine, and both engines got orders.
    std::map<std::string, unsigned long> highest;
    for (const LedgerLine &line : engineOrders(cluster)) {
        STRCMP_EQUAL("begin", line.event.c_str());
        CHECK(std::stoul(line.key) >= highest[line.server]);
        highest[line.server] = std::stoul(line.key);
    }
    LONGS_EQUAL(2, static_cast<long>(highest.size()));
    CHECK(highest["ignores"] >= 2);
}
