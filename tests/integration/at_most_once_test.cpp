// Non-idempotent requests run at most once: with the node killed at each step, replies of the platform and of backend
// servers lost, the node that holds the reservation paused, and the same key sent to every node at once.
// The payout pipeline has an encoding stage (/v1/embeddings), which may be repeated, and then the payout, which may not. A node
// writes three states of a request to a row on the platform, under the idempotency key: reserved (one node may run it until the
// reservation expires), started (the call of the payout may have been sent), finished. Executions are counted in the ledger file
// that the backend stand-ins write.
#include "load.h"

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace vanillanotch;
using namespace vanillanotch::test;

namespace
{
CallOptions withKey(const std::string &key, std::chrono::milliseconds deadline = std::chrono::milliseconds(10000))
{
    CallOptions options;
    options.idempotencyKey = key;
    options.deadline = deadline;
    return options;
}

bool ledgerContains(const Cluster &cluster, const std::string &path, const std::string &event = "begin")
{
    for (const LedgerLine &line : cluster.ledger()) {
        if (line.path == path && line.event == event) {
            return true;
        }
    }
    return false;
}

// Two nodes in one data centre and one in another.
void startThreeNodes(Cluster &cluster)
{
    cluster.addDefaultServers();
    cluster.addNode("n1", "dc1");
    cluster.addNode("n2", "dc1");
    cluster.addNode("n3", "dc2");
    cluster.start();
}

// Sends the payout to n1 and kills n1 once `condition` is true. Then ends the faults and sends the payout to n2 until it succeeds
// or its outcome is reported as unknown (1503). Checks that it was executed `expectedEffects` times.
void killNodeAndRetry(Cluster &cluster, const std::function<bool()> &condition, std::size_t expectedEffects)
{
    std::thread first([&cluster] {
        cluster.call("n1", "payout", "pot", withKey("k", std::chrono::milliseconds(1500)));
    });
    CHECK(eventually(condition));
    cluster.node("n1").kill();
    first.join();
    cluster.controlPlatform("delay_ms=0");
    cluster.controlServer("encoder-1", "slow_percent=0");
    cluster.controlServer("encoder-2", "slow_percent=0");
    CallResult last;
    CHECK(eventually([&] {
        last = cluster.call("n2", "payout", "pot", withKey("k"));
        return last.status == 200 || last.errorCode() == 1503;
    }));
    LONGS_EQUAL(expectedEffects, countEffects(cluster.ledger(), "/payout", "k"));
}
} // namespace

TEST_GROUP(AtMostOnce){};

// n1 is killed during the encoding stage, when it has reserved the payout but not started it. A reservation that never expires
// would block the payout for ever: n2 must run it, once.
TEST(AtMostOnce, NodeKilledAfterReserve)
{
    Cluster cluster("kill-reserve");
    startThreeNodes(cluster);
    cluster.controlServer("encoder-1", "slow_percent=100000");
    cluster.controlServer("encoder-2", "slow_percent=100000");
    killNodeAndRetry(
        cluster,
        [&] {
            return ledgerContains(cluster, "/v1/embeddings");
        },
        1); // n1 reserved but didn't start the payout: the request to n2 runs it
}

// n1 is killed between the encoding stage and the payout, while the platform delays n1's write of the state `started` by 400 ms.
// Whether this write takes effect is left to chance: the payout must run once (n2 answers 200) or not at all (n2 answers 1503).
TEST(AtMostOnce, NodeKilledWhileStartIsWritten)
{
    Cluster cluster("kill-start");
    startThreeNodes(cluster);
    cluster.controlServer("encoder-1", "slow_percent=2000");
    cluster.controlServer("encoder-2", "slow_percent=2000");
    std::size_t effects = 0;
    std::thread first([&cluster] {
        cluster.call("n1", "payout", "pot", withKey("k", std::chrono::milliseconds(1500)));
    });
    CHECK(eventually([&] {
        return ledgerContains(cluster, "/v1/embeddings");
    }));
    cluster.controlPlatform("delay_ms=400");
    CHECK(eventually([&] {
        return ledgerContains(cluster, "/v1/embeddings", "end");
    }));
    cluster.node("n1").kill(); // n1 has sent the write of `started`; the platform holds it for 400 ms
    first.join();
    cluster.controlPlatform("delay_ms=0");
    CallResult last;
    CHECK(eventually([&] {
        last = cluster.call("n2", "payout", "pot", withKey("k"));
        return last.status == 200 || last.errorCode() == 1503;
    }));
    effects = countEffects(cluster.ledger(), "/payout", "k");
    LONGS_EQUAL(last.status == 200 ? 1 : 0, effects); // 1503 is correct when `started` was written: n2 can't know then whether n1 has sent the call
}

// n1 is killed while the payout runs, so that its result is never recorded. n2 must not run the payout a second time.
TEST(AtMostOnce, NodeKilledAfterSend)
{
    Cluster cluster("kill-send");
    startThreeNodes(cluster);
    for (const char *server : {"payout-1", "payout-2"}) {
        cluster.controlServer(server, "slow_percent=20000");
    }
    killNodeAndRetry(
        cluster,
        [&] {
            return ledgerContains(cluster, "/payout");
        },
        1);
}

// The payout has run, but the platform is down until n1 is killed, so that the state `finished` is never written. The second
// request must get outcome_unknown (1503) and must not run the payout again.
TEST(AtMostOnce, NodeKilledBeforeFinishIsWritten)
{
    Cluster cluster("kill-finish");
    startThreeNodes(cluster);
    for (const char *server : {"payout-1", "payout-2"}) {
        cluster.controlServer(server, "slow_percent=2000");
    }
    std::thread first([&cluster] {
        cluster.call("n1", "payout", "pot", withKey("k", std::chrono::milliseconds(1500)));
    });
    CHECK(eventually([&] {
        return ledgerContains(cluster, "/payout");
    }));
    cluster.controlPlatform("down=1");
    CHECK(eventually([&] {
        return ledgerContains(cluster, "/payout", "end");
    }));
    cluster.node("n1").kill();
    first.join();
    cluster.controlPlatform("down=0");
    CallResult last;
    CHECK(eventually([&] {
        last = cluster.call("n2", "payout", "pot", withKey("k"));
        return last.errorCode() == 1503;
    }));
    STRCMP_EQUAL("outcome_unknown", last.outcome().c_str());
    LONGS_EQUAL(1, countEffects(cluster.ledger(), "/payout", "k"));
}

// The platform executes 1 to 4 writes in a row without replying. When the node repeats such a write, the row exists already: a node
// that doesn't recognise the row as its own would refuse the payout, which must run once. n3 must then give the recorded answer.
TEST(AtMostOnce, PlatformRepliesLostAfterTheWriteTookEffect)
{
    Cluster cluster("lost-answers");
    startThreeNodes(cluster);
    for (int lost = 1; lost <= 4; ++lost) {
        const std::string key = "k" + std::to_string(lost);
        cluster.controlPlatform("lose_next=" + std::to_string(lost));
        const CallResult result = cluster.call("n1", "payout", "pot", withKey(key));
        LONGS_EQUAL(200, result.status);
        LONGS_EQUAL(1, countEffects(cluster.ledger(), "/payout", key));
        const CallResult repeatedResult = cluster.call("n3", "payout", "pot", withKey(key));
        LONGS_EQUAL(200, repeatedResult.status);
        CHECK(repeatedResult.body.at("repeated").get<bool>());
        STRCMP_EQUAL(result.body.at("request").get<std::string>().c_str(), repeatedResult.body.at("request").get<std::string>().c_str());
        LONGS_EQUAL(1, countEffects(cluster.ledger(), "/payout", key));
    }
}

// n1 is paused (SIGSTOP) during the encoding stage until its reservation has expired and n2 has run the payout. When n1 continues,
// it must not run the payout again, and must report neither success nor not_run.
TEST(AtMostOnce, PausedNodeContinuesAfterItsReservationWasTakenOver)
{
    Cluster cluster("paused");
    startThreeNodes(cluster);
    for (const char *server : {"encoder-1", "encoder-2"}) {
        cluster.controlServer(server, "slow_percent=20000");
    }
    CallResult pausedResult;
    std::thread first([&] {
        pausedResult = cluster.call("n1", "payout", "pot", withKey("k", std::chrono::milliseconds(3000)));
    });
    CHECK(eventually([&] {
        return ledgerContains(cluster, "/v1/embeddings");
    }));
    cluster.node("n1").sendSignal(SIGSTOP);
    for (const char *server : {"encoder-1", "encoder-2"}) {
        cluster.controlServer(server, "slow_percent=0");
    }
    CallResult takeoverResult;
    CHECK(eventually([&] {
        takeoverResult = cluster.call("n2", "payout", "pot", withKey("k"));
        return takeoverResult.status == 200;
    }));
    cluster.node("n1").sendSignal(SIGCONT);
    first.join();
    LONGS_EQUAL(1, countEffects(cluster.ledger(), "/payout", "k"));
    CHECK(pausedResult.status != 200);
    CHECK(pausedResult.outcome() != "not_run");
}

// Nine callers send the same key to three nodes at the same time, ten rounds. Nodes that race for the reservation could each run
// the payout: it must run once. Later, the same key with another input is refused (1501).
TEST(AtMostOnce, SameKeySentToEveryNodeAtOnce)
{
    Cluster cluster("everywhere");
    startThreeNodes(cluster);
    const std::vector<std::string> nodes = cluster.nodeNames();
    for (int round = 0; round < 10; ++round) {
        const std::string key = "k" + std::to_string(round);
        std::vector<CallResult> results(9);
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < results.size(); ++i) {
            callers.emplace_back([&, i] {
                results[i] = cluster.call(nodes[i % nodes.size()], "payout", "pot", withKey(key));
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        LONGS_EQUAL(1, countEffects(cluster.ledger(), "/payout", key));
        std::size_t answered = 0;
        for (const CallResult &result : results) {
            answered += result.status == 200 ? 1 : 0;
            CHECK(result.status == 200 || result.outcome() == "outcome_unknown"); // the payout ran, so no caller may get not_run
        }
        CHECK(answered >= 1);
    }
    const CallResult other = cluster.call("n1", "payout", "another pot", withKey("k0"));
    LONGS_EQUAL(1501, other.errorCode());
    STRCMP_EQUAL("not_run", other.outcome().c_str());
}

// While the platform is down, a node can't reserve a payout. One that ran it all the same could run it twice: it must refuse the
// payout (1701, not_run) and go on serving requests that may be repeated.
TEST(AtMostOnce, PlatformDownIsRefusedAsNotRun)
{
    Cluster cluster("platform-down");
    startThreeNodes(cluster);
    cluster.controlPlatform("down=1");
    const CallResult result = cluster.call("n1", "payout", "pot", withKey("k"));
    LONGS_EQUAL(1701, result.errorCode());
    STRCMP_EQUAL("not_run", result.outcome().c_str());
    LONGS_EQUAL(200, cluster.call("n1", "answer", "goes on without the platform").status);
    cluster.controlPlatform("down=0");
    LONGS_EQUAL(200, cluster.call("n1", "payout", "pot", withKey("k2")).status);
    LONGS_EQUAL(0, countEffects(cluster.ledger(), "/payout", "k"));
}

// The payout server executes the call and closes the connection without a reply. The node can't tell whether the payout ran: it
// must report outcome_unknown and never repeat the call, also when the caller sends the key again to another node.
TEST(AtMostOnce, BackendServerReplyIsLost)
{
    Cluster cluster("reply-lost");
    startThreeNodes(cluster);
    for (const char *server : {"payout-1", "payout-2"}) {
        cluster.controlServer(server, "lose_reply=1");
    }
    const CallResult result = cluster.call("n1", "payout", "pot", withKey("k"));
    STRCMP_EQUAL("outcome_unknown", result.outcome().c_str());
    CHECK(result.body.at("error").at("effect_possible").get<bool>());
    const CallResult repeatedResult = cluster.call("n2", "payout", "pot", withKey("k"));
    STRCMP_EQUAL("outcome_unknown", repeatedResult.outcome().c_str());
    LONGS_EQUAL(1, countEffects(cluster.ledger(), "/payout", "k"));
}

// Six rounds of payouts from six callers. In each, the platform loses the replies of up to 5 writes and one node is killed and
// replaced, chosen with seed 20261204. A payout that was answered must have run, and none may have run twice.
TEST(AtMostOnce, SeededKillsAndLostRepliesUnderLoad)
{
    Cluster cluster("kill-load");
    startThreeNodes(cluster);
    Balancer balancer(cluster);
    std::mt19937_64 random(20261204);
    CallOptions options;
    options.deadline = std::chrono::milliseconds(2000); // short, so that the reservation of a killed node expires soon
    std::vector<SentRequest> sent;
    for (int round = 0; round < 6; ++round) {
        LoadGenerator load(balancer, 6, {"payout"}, 100 + static_cast<std::uint64_t>(round), options);
        CHECK(eventually([&] {
            return load.endedRequests() > 20;
        }));
        cluster.controlPlatform("lose_next=" + std::to_string(random() % 6));
        const std::string victim = "n" + std::to_string(1 + random() % 3);
        cluster.node(victim).kill();
        const std::size_t before = load.endedRequests();
        CHECK(eventually([&] {
            return load.endedRequests() > before + 20;
        }));
        for (SentRequest &sentRequest : load.stop()) {
            if (sentRequest.result.status == 0) { // no reply, because the node was killed: the caller sends the request again to any node
                CallResult repeatedResult;
                CHECK(eventually([&] {
                    const std::string address = balancer.pick(random());
                    repeatedResult = callPipeline(address, "payout", sentRequest.input, withKey(sentRequest.key));
                    return repeatedResult.status == 200 || repeatedResult.errorCode() == 1503;
                }));
                sentRequest.result = repeatedResult;
            }
            sent.push_back(sentRequest);
        }
        cluster.addNode(victim, victim == "n3" ? "dc2" : "dc1");
        cluster.publishVms();
        CHECK(cluster.awaitRevision(1, {victim}));
        balancer.refresh();
    }
    STRCMP_EQUAL("", describeLedgerMismatch(sent, cluster.ledger()).c_str());
    CHECK(countStatus(sent, 200) > 100);
}
