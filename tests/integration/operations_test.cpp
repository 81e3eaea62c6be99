// Planned work on servers and nodes, configuration changes under races and outages, network partitions, and refusal of
// foreign peers and invalid settings.
#include "load.h"

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace vanillanotch;
using namespace vanillanotch::test;

namespace
{
constexpr std::chrono::seconds LeavingBound{3}; // from the time at which a server is marked as leaving until it may get no more calls
constexpr std::chrono::seconds InForceBound{5}; // from the time at which a change is accepted until it must be in force at every reachable node

// Two nodes in each of two data centres. platformLinks: each node reaches the platform through its own link of the fault proxy.
void startFourNodes(Cluster &cluster, bool platformLinks = false)
{
    cluster.addDefaultServers();
    cluster.addNode("n1", "dc1", "", platformLinks);
    cluster.addNode("n2", "dc1", "", platformLinks);
    cluster.addNode("n3", "dc2", "", platformLinks);
    cluster.addNode("n4", "dc2", "", platformLinks);
    cluster.start();
}

std::size_t countStartedExecutions(const Cluster &cluster, const std::string &server)
{
    std::size_t count = 0;
    for (const LedgerLine &line : cluster.ledger()) {
        count += line.server == server && line.event == "begin" ? 1 : 0;
    }
    return count;
}

// Waits for LeavingBound, then checks that the server gets no call while more than 50 further requests end.
void checkNoNewWork(Cluster &cluster, LoadGenerator &load, const std::string &server)
{
    std::this_thread::sleep_for(LeavingBound);
    const std::size_t work = countStartedExecutions(cluster, server);
    const std::size_t answered = load.endedRequests();
    CHECK(eventually([&] {
        return load.endedRequests() > answered + 50;
    }));
    LONGS_EQUAL(work, countStartedExecutions(cluster, server));
}
} // namespace

//-----------------------------------------------------------------------------
// Leaving servers
//-----------------------------------------------------------------------------

TEST_GROUP(Leaving){};

// The platform's VM list says that model-1 is leaving. A node that ignores this would send calls to a VM that is about to end.
TEST(Leaving, ServerListedAsLeavingGetsNoNewWork)
{
    Cluster cluster("leaving-list");
    startFourNodes(cluster);
    Balancer balancer(cluster);
    LoadGenerator load(balancer, 6, {"answer"}, 1);
    CHECK(eventually([&] {
        return countStartedExecutions(cluster, "model-1") > 3;
    }));
    cluster.publishVms({"model-1"});
    checkNoNewWork(cluster, load, "model-1");
    const std::vector<SentRequest> sent = load.stop();
    STRCMP_EQUAL("", describeFailures(sent).c_str());
}

// encoder-1 says in its replies (X-Server-State: leaving) that it is about to end. A node that ignores this would send calls to it
// until they fail.
TEST(Leaving, ServerThatReportsLeavingGetsNoNewWork)
{
    Cluster cluster("leaving-self");
    startFourNodes(cluster);
    Balancer balancer(cluster);
    LoadGenerator load(balancer, 6, {"answer"}, 1);
    CHECK(eventually([&] {
        return countStartedExecutions(cluster, "encoder-1") > 3;
    }));
    cluster.controlServer("encoder-1", "leaving=1");
    checkNoNewWork(cluster, load, "encoder-1");
    const std::vector<SentRequest> sent = load.stop();
    STRCMP_EQUAL("", describeFailures(sent).c_str());
}

// An operator drains model-2 at n1 and then stops it. A node that didn't learn of the drain would still send calls to it, which
// the stop would cut: no request may fail.
TEST(Leaving, DrainedServerGetsNoNewWorkAndItsStopInterruptsNoRequest)
{
    Cluster cluster("drain");
    startFourNodes(cluster);
    Balancer balancer(cluster);
    LoadGenerator load(balancer, 6, {"answer", "payout"}, 1);
    CHECK(eventually([&] {
        return countStartedExecutions(cluster, "model-2") > 3;
    }));
    LONGS_EQUAL(200, cluster.sendOperatorRequest("n1", "POST", "/v1/drain?server=model-2").status);
    checkNoNewWork(cluster, load, "model-2");
    cluster.server("model-2").sendSignal(SIGTERM);
    LONGS_EQUAL(0, cluster.server("model-2").wait());
    const std::size_t answered = load.endedRequests();
    CHECK(eventually([&] {
        return load.endedRequests() > answered + 30;
    }));
    const std::vector<SentRequest> sent = load.stop();
    STRCMP_EQUAL("", describeFailures(sent).c_str());
    STRCMP_EQUAL("", describeLedgerMismatch(sent, cluster.ledger()).c_str());
}

//-----------------------------------------------------------------------------
// Graceful shutdown
//-----------------------------------------------------------------------------

TEST_GROUP(Shutdown){};

// Each of the four nodes is stopped with SIGTERM and replaced, one after another, under load. A node that exits before its requests
// have ended would cut them: none may fail.
TEST(Shutdown, RollingReplacementOfEveryNodeInterruptsNoRequest)
{
    Cluster cluster("rolling");
    startFourNodes(cluster);
    Balancer balancer(cluster);
    LoadGenerator load(balancer, 8, {"answer", "certificate", "payout"}, 1);
    for (const std::string name : {"n1", "n2", "n3", "n4"}) {
        const std::size_t before = load.endedRequests();
        CHECK(eventually([&] {
            return load.endedRequests() > before + 20;
        }));
        cluster.node(name).sendSignal(SIGTERM);
        LONGS_EQUAL(0, cluster.node(name).wait());
        cluster.addNode(name, name < "n3" ? "dc1" : "dc2");
        cluster.publishVms();
        CHECK(cluster.awaitRevision(1, {name}));
        balancer.refresh();
    }
    const std::vector<SentRequest> sent = load.stop();
    STRCMP_EQUAL("", describeFailures(sent).c_str());
    STRCMP_EQUAL("", describeLedgerMismatch(sent, cluster.ledger()).c_str());
    CHECK(sent.size() > 80);
}

// Three nodes are stopped with SIGTERM while the platform is down. A stop that waits for the platform, or gives up requests
// because of it, would fail callers: no request may fail, and each node must exit with 0.
TEST(Shutdown, StopsDuringAPlatformOutageInterruptNoRequest)
{
    Cluster cluster("rolling-down");
    startFourNodes(cluster);
    Balancer balancer(cluster);
    cluster.controlPlatform("down=1");
    LoadGenerator load(balancer, 6, {"answer"}, 1);
    for (const std::string name : {"n1", "n2", "n3"}) { // n4 isn't stopped and serves the callers at the end
        const std::size_t before = load.endedRequests();
        CHECK(eventually([&] {
            return load.endedRequests() > before + 20;
        }));
        cluster.node(name).sendSignal(SIGTERM);
        LONGS_EQUAL(0, cluster.node(name).wait());
        balancer.refresh();
    }
    const std::vector<SentRequest> sent = load.stop();
    STRCMP_EQUAL("", describeFailures(sent).c_str());
}

//-----------------------------------------------------------------------------
// Configuration
//-----------------------------------------------------------------------------

TEST_GROUP(ConfigurationChanges){};

// Five changes at n1, one after another. A change that spreads too slowly would leave nodes on the old preset after InForceBound.
TEST(ConfigurationChanges, ChangeIsInForceAtEveryNodeWithinTheBound)
{
    Cluster cluster("in-force");
    startFourNodes(cluster);
    for (std::uint64_t revision = 2; revision <= 6; ++revision) {
        const std::string preset = revision % 2 == 0 ? "peak" : "ordinary";
        LONGS_EQUAL(200, cluster.sendOperatorRequest("n1", "POST", "/v1/preset?name=" + preset).status);
        const TimePoint accepted = std::chrono::steady_clock::now();
        CHECK(cluster.awaitRevision(revision, cluster.nodeNames()));
        CHECK(std::chrono::steady_clock::now() - accepted < InForceBound);
        for (const std::string &node : cluster.nodeNames()) {
            STRCMP_EQUAL(preset.c_str(), cluster.status(node).at("preset").get<std::string>().c_str());
        }
    }
}

// Four operators make eight changes each, at four nodes at the same time. Writes that overwrite one another would lose changes that
// were accepted: each is refused (409, 1602), changes nothing because the preset is in force already, or gets a
// revision of its own, and the audit lists all revisions without a gap.
TEST(ConfigurationChanges, ConcurrentChangesLeaveACompleteOrderedAuditTrail)
{
    Cluster cluster("race");
    startFourNodes(cluster);
    std::atomic<std::uint64_t> accepted{1};
    std::vector<std::thread> operators;
    for (int i = 0; i < 4; ++i) {
        operators.emplace_back([&, i] {
            const std::string node = "n" + std::to_string(i + 1);
            for (int round = 0; round < 8; ++round) {
                const std::string preset = (round + i) % 3 == 0 ? "peak" : ((round + i) % 3 == 1 ? "ordinary" : "maintenance");
                const HttpReply reply = cluster.sendOperatorRequest(node, "POST", "/v1/preset?name=" + preset, "", "operator-" + std::to_string(i));
                const Json json = Json::parse(reply.body, nullptr, false);
                if (reply.status == 200 && json.at("changed").get<bool>()) {
                    ++accepted;
                } else if (reply.status != 200) {
                    LONGS_EQUAL(409, reply.status);
                    LONGS_EQUAL(1602, json.at("error").at("code").get<int>());
                }
            }
        });
    }
    for (std::thread &operatorThread : operators) {
        operatorThread.join();
    }
    CHECK(cluster.awaitRevision(accepted, cluster.nodeNames()));
    for (const std::string &node : cluster.nodeNames()) {
        LONGS_EQUAL(accepted.load(), cluster.revision(node));
    }
    const Json audit = Json::parse(cluster.sendOperatorRequest("n2", "GET", "/v1/audit").body);
    LONGS_EQUAL(accepted.load(), audit.at("changes").size());
    for (std::size_t i = 0; i < audit.at("changes").size(); ++i) {
        LONGS_EQUAL(i + 1, audit.at("changes")[i].at("revision").get<std::uint64_t>());
    }
}

// The platform executes the write that accepts a change, but its reply is lost. A node that writes the change again would add a
// second revision, or report a conflict with itself: it must find its own change in place.
TEST(ConfigurationChanges, ChangeIsAcceptedOnceWhenThePlatformReplyIsLost)
{
    Cluster cluster("accepted-lost");
    startFourNodes(cluster);
    cluster.controlPlatform("lose_next=1");
    const HttpReply reply = cluster.sendOperatorRequest("n1", "POST", "/v1/preset?name=peak");
    LONGS_EQUAL(200, reply.status);
    LONGS_EQUAL(2, Json::parse(reply.body).at("revision").get<int>());
    CHECK(cluster.awaitRevision(2, cluster.nodeNames()));
    LONGS_EQUAL(2, static_cast<long>(Json::parse(cluster.sendOperatorRequest("n3", "GET", "/v1/audit").body).at("changes").size()));
}

// n4 is paused (SIGSTOP) while three changes are accepted. When it continues, updates that arrived late or out of order could set it
// back: its revision must only rise, up to the newest, 4.
TEST(ConfigurationChanges, RevisionOfANodePausedDuringThreeChangesNeverDecreases)
{
    Cluster cluster("paused-node");
    startFourNodes(cluster);
    cluster.node("n4").sendSignal(SIGSTOP);
    for (const char *preset : {"peak", "maintenance", "ordinary"}) {
        LONGS_EQUAL(200, cluster.sendOperatorRequest("n1", "POST", std::string("/v1/preset?name=") + preset).status);
    }
    CHECK(cluster.awaitRevision(4, {"n1", "n2", "n3"}));
    cluster.node("n4").sendSignal(SIGCONT);
    std::uint64_t highest = 0;
    CHECK(eventually([&] {
        const std::uint64_t revision = cluster.revision("n4");
        CHECK(revision >= highest);
        highest = std::max(highest, revision);
        return revision == 4;
    }));
}

// A node is started while the platform is down, so that it can't read the configuration there. It must get it from the peers that
// its setting `seeds` lists. A node without seeds must not be ready and must refuse requests (1201, not_run).
TEST(ConfigurationChanges, NodeStartedDuringAPlatformOutageGetsItsPeersConfiguration)
{
    Cluster cluster("start-outage");
    startFourNodes(cluster);
    LONGS_EQUAL(200, cluster.sendOperatorRequest("n1", "POST", "/v1/preset?name=peak").status);
    CHECK(cluster.awaitRevision(2, cluster.nodeNames()));
    const std::string seed = cluster.node("n1").address("peers");
    cluster.controlPlatform("down=1");
    cluster.addNode("n5", "dc1", "seeds: [\"" + seed + "\"]\n");
    CHECK(cluster.awaitRevision(2, {"n5"}));
    STRCMP_EQUAL("peak", cluster.status("n5").at("preset").get<std::string>().c_str());
    LONGS_EQUAL(200, cluster.call("n5", "answer", "served during the outage").status);
    cluster.addNode("n6", "dc1"); // no `seeds`: it knows no peer
    LONGS_EQUAL(503, send(cluster.node("n6").address("operators"), "GET", "/readyz").status);
    const CallResult refused = cluster.call("n6", "answer", "nothing to go by");
    LONGS_EQUAL(1201, refused.errorCode());
    STRCMP_EQUAL("not_run", refused.outcome().c_str());
    const HttpReply change = cluster.sendOperatorRequest("n1", "POST", "/v1/preset?name=ordinary");
    LONGS_EQUAL(503, change.status);
    cluster.controlPlatform("down=0");
    CHECK(cluster.awaitRevision(2, {"n6"}));
}

//-----------------------------------------------------------------------------
// Partitions
//-----------------------------------------------------------------------------

TEST_GROUP(Partitions){};

// The nodes of dc2 can't reach the platform, so that they can't record payouts: they must serve idempotent requests, refuse
// payouts as not_run, and take the change that they missed when the links work again.
TEST(Partitions, DataCentreWithoutPlatformServesAndCatchesUpLater)
{
    Cluster cluster("partition");
    startFourNodes(cluster, true);
    for (const char *node : {"n3", "n4"}) {
        cluster.setLinkMode(node, "blackhole");
    }
    LONGS_EQUAL(200, cluster.sendOperatorRequest("n1", "POST", "/v1/preset?name=peak").status);
    CHECK(cluster.awaitRevision(2, {"n1", "n2"}));
    LONGS_EQUAL(200, cluster.call("n3", "answer", "served while cut off").status);
    CallOptions key;
    key.idempotencyKey = "cut-off";
    const CallResult refused = cluster.call("n3", "payout", "pot", key);
    STRCMP_EQUAL("not_run", refused.outcome().c_str());
    LONGS_EQUAL(0, countEffects(cluster.ledger(), "/payout", "cut-off"));
    for (const char *node : {"n3", "n4"}) {
        cluster.setLinkMode(node, "pass");
    }
    CHECK(cluster.awaitRevision(2, cluster.nodeNames()));
    CHECK(eventually([&] {
        return cluster.call("n4", "payout", "pot", key).status == 200;
    }));
    LONGS_EQUAL(1, countEffects(cluster.ledger(), "/payout", "cut-off"));
}

//-----------------------------------------------------------------------------
// Foreign peers and invalid settings
//-----------------------------------------------------------------------------

TEST_GROUP(Refusals){};

// A node with another peer secret tries to join through a seed while the platform is down. If its secret weren't checked, it would
// get the configuration, which has client accounts, and callers: it must get nothing and be in no node's member table.
TEST(Refusals, PeerWithAnotherSecretIsRefused)
{
    Cluster cluster("stranger");
    startFourNodes(cluster);
    const std::string seeds = "seeds: [\"" + cluster.node("n1").address("peers") + "\"]\n";
    cluster.controlPlatform("down=1");
    cluster.addNode("stranger", "dc1", seeds + "peer_secret: another-secret-of-a-stranger\n");
    cluster.addNode("friend", "dc1", seeds);
    CHECK(cluster.awaitRevision(1, {"friend"}));
    LONGS_EQUAL(0, cluster.revision("stranger"));
    for (const std::string &node : cluster.nodeNames()) {
        const std::string members = cluster.sendOperatorRequest(node, "GET", "/v1/tables/members").body;
        CHECK(node == "stranger" || members.find("stranger") == std::string::npos);
    }
}

// The settings file has the key `node` twice. A parser that silently takes one of the values could start a node under a wrong
// name: the node must refuse to start.
TEST(Refusals, DuplicateSettingIsRefused)
{
    Cluster cluster("twice");
    cluster.addNode("n1", "dc1", "node: another\n");
    LONGS_EQUAL(2, cluster.node("n1").wait()); // exit code of a node whose settings are invalid
}
