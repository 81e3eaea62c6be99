// Non-idempotent requests run at most once: node killed at each step, answers of the platform and of back ends lost,
// holders paused, the same key sent everywhere at once. The verdict is the ledger's.
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

bool begun(const Cluster &cluster, const std::string &path, const std::string &event = "begin")
{
    for (const LedgerLine &line : cluster.ledger()) {
        if (line.path == path && line.event == event) {
            return true;
        }
    }
    return false;
}

// Two nodes in one data centre and one in another.
void startThree(Cluster &cluster)
{
    cluster.addDefaultServers();
    cluster.addNode("n1", "dc1");
    cluster.addNode("n2", "dc1");
    cluster.addNode("n3", "dc2");
    cluster.start();
}

// Sends the payout to n1, kills n1 when `when` holds, sends again to n2 until its answer is settled.
void killAndSendAgain(Cluster &cluster, const std::function<bool()> &when, std::size_t effectsWanted)
{
    std::thread first([&cluster] {
        cluster.call("n1", "payout", "pot", withKey("k", std::chrono::milliseconds(1500)));
    });
    CHECK(eventually(when));
    cluster.node("n1").kill();
    first.join();
    cluster.controlPlatform("delay_ms=0");
    cluster.controlServer("encoder-1", "slow_percent=0");
    cluster.controlServer("encoder-2", "slow_percent=0");
    CallResult last;
    CHECK(eventually([&] {
        last = cluster.call("n2", "payout", "pot", withKey("k"));
        return last.status == 200 || last.code() == 1503;
    }));
    LONGS_EQUAL(effectsWanted, countEffects(cluster.ledger(), "/payout", "k"));
}
} // namespace

TEST_GROUP(AtMostOnce){};

TEST(AtMostOnce, NodeKilledAfterReserve)
{
    Cluster cluster("kill-reserve");
    startThree(cluster);
    cluster.controlServer("encoder-1", "slow_percent=100000");
    cluster.controlServer("encoder-2", "slow_percent=100000");
    killAndSendAgain(
        cluster,
        [&] {
            return begun(cluster, "/v1/embeddings");
        },
        1); // nothing was started: the second sending runs it
}

TEST(AtMostOnce, NodeKilledWhileStartIsWritten)
{
    Cluster cluster("kill-start");
    startThree(cluster);
    cluster.controlServer("encoder-1", "slow_percent=2000");
    cluster.controlServer("encoder-2", "slow_percent=2000");
    std::size_t effects = 0;
    std::thread first([&cluster] {
        cluster.call("n1", "payout", "pot", withKey("k", std::chrono::milliseconds(1500)));
    });
    CHECK(eventually([&] {
        return begun(cluster, "/v1/embeddings");
    }));
    cluster.controlPlatform("delay_ms=400");
    CHECK(eventually([&] {
        return begun(cluster, "/v1/embeddings", "end");
    }));
    cluster.node("n1").kill(); // its write is on its way
    first.join();
    cluster.controlPlatform("delay_ms=0");
    CallResult last;
    CHECK(eventually([&] {
        last = cluster.call("n2", "payout", "pot", withKey("k"));
        return last.status == 200 || last.code() == 1503;
    }));
    effects = countEffects(cluster.ledger(), "/payout", "k");
    LONGS_EQUAL(last.status == 200 ? 1 : 0, effects); // 1503 is right here: started was written, and nobody can know
}

TEST(AtMostOnce, NodeKilledAfterSend)
{
    Cluster cluster("kill-send");
    startThree(cluster);
    for (const char *server : {"payout-1", "payout-2"}) {
        cluster.controlServer(server, "slow_percent=20000");
    }
    killAndSendAgain(
        cluster,
        [&] {
            return begun(cluster, "/payout");
        },
        1);
}

TEST(AtMostOnce, NodeKilledBeforeFinishIsWritten)
{
    Cluster cluster("kill-finish");
    startThree(cluster);
    for (const char *server : {"payout-1", "payout-2"}) {
        cluster.controlServer(server, "slow_percent=2000");
    }
    std::thread first([&cluster] {
        cluster.call("n1", "payout", "pot", withKey("k", std::chrono::milliseconds(1500)));
    });
    CHECK(eventually([&] {
        return begun(cluster, "/payout");
    }));
    cluster.controlPlatform("down=1");
    CHECK(eventually([&] {
        return begun(cluster, "/payout", "end");
    }));
    cluster.node("n1").kill();
    first.join();
    cluster.controlPlatform("down=0");
    CallResult last;
    CHECK(eventually([&] {
        last = cluster.call("n2", "payout", "pot", withKey("k"));
        return last.code() == 1503;
    }));
    STRCMP_EQUAL("outcome_unknown", last.outcome().c_str());
    LONGS_EQUAL(1, countEffects(cluster.ledger(), "/payout", "k"));
}

TEST(AtMostOnce, AnswersOfThePlatformAreLostAfterTheWriteTookEffect)
{
    Cluster cluster("lost-answers");
    startThree(cluster);
    for (int lost = 1; lost <= 4; ++lost) {
        const std::string key = "k" + std::to_string(lost);
        cluster.controlPlatform("lose_next=" + std::to_string(lost));
        const CallResult result = cluster.call("n1", "payout", "pot", withKey(key));
        LONGS_EQUAL(200, result.status);
        LONGS_EQUAL(1, countEffects(cluster.ledger(), "/payout", key));
        const CallResult again = cluster.call("n3", "payout", "pot", withKey(key));
        LONGS_EQUAL(200, again.status);
        CHECK(again.body.at("repeated").get<bool>());
        STRCMP_EQUAL(result.body.at("request").get<std::string>().c_str(), again.body.at("request").get<std::string>().c_str());
        LONGS_EQUAL(1, countEffects(cluster.ledger(), "/payout", key));
    }
}

TEST(AtMostOnce, APausedHolderWakesAfterItsReservationWasTakenOver)
{
    Cluster cluster("paused");
    startThree(cluster);
    for (const char *server : {"encoder-1", "encoder-2"}) {
        cluster.controlServer(server, "slow_percent=20000");
    }
    CallResult late;
    std::thread first([&] {
        late = cluster.call("n1", "payout", "pot", withKey("k", std::chrono::milliseconds(3000)));
    });
    CHECK(eventually([&] {
        return begun(cluster, "/v1/embeddings");
    }));
    cluster.node("n1").signal(SIGSTOP);
    for (const char *server : {"encoder-1", "encoder-2"}) {
        cluster.controlServer(server, "slow_percent=0");
    }
    CallResult taken;
    CHECK(eventually([&] {
        taken = cluster.call("n2", "payout", "pot", withKey("k"));
        return taken.status == 200;
    }));
    cluster.node("n1").signal(SIGCONT);
    first.join();
    LONGS_EQUAL(1, countEffects(cluster.ledger(), "/payout", "k"));
    CHECK(late.status != 200);
    CHECK(late.outcome() != "not_run");
}

TEST(AtMostOnce, TheSameKeyEverywhereAtOnce)
{
    Cluster cluster("everywhere");
    startThree(cluster);
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
            CHECK(result.status == 200 || result.outcome() == "outcome_unknown"); // it ran: nobody is told not_run
        }
        CHECK(answered >= 1);
    }
    const CallResult other = cluster.call("n1", "payout", "another pot", withKey("k0"));
    LONGS_EQUAL(1501, other.code());
    STRCMP_EQUAL("not_run", other.outcome().c_str());
}

TEST(AtMostOnce, PlatformDownIsRefusedAsNotRun)
{
    Cluster cluster("platform-down");
    startThree(cluster);
    cluster.controlPlatform("down=1");
    const CallResult result = cluster.call("n1", "payout", "pot", withKey("k"));
    LONGS_EQUAL(1701, result.code());
    STRCMP_EQUAL("not_run", result.outcome().c_str());
    LONGS_EQUAL(200, cluster.call("n1", "answer", "goes on without the platform").status);
    cluster.controlPlatform("down=0");
    LONGS_EQUAL(200, cluster.call("n1", "payout", "pot", withKey("k2")).status);
    LONGS_EQUAL(0, countEffects(cluster.ledger(), "/payout", "k"));
}

TEST(AtMostOnce, TheBackEndsAnswerIsLost)
{
    Cluster cluster("reply-lost");
    startThree(cluster);
    for (const char *server : {"payout-1", "payout-2"}) {
        cluster.controlServer(server, "lose_reply=1");
    }
    const CallResult result = cluster.call("n1", "payout", "pot", withKey("k"));
    STRCMP_EQUAL("outcome_unknown", result.outcome().c_str());
    CHECK(result.body.at("error").at("effect_possible").get<bool>());
    const CallResult again = cluster.call("n2", "payout", "pot", withKey("k"));
    STRCMP_EQUAL("outcome_unknown", again.outcome().c_str());
    LONGS_EQUAL(1, countEffects(cluster.ledger(), "/payout", "k"));
}

TEST(AtMostOnce, SeededKillsAndLostAnswersUnderLoad)
{
    Cluster cluster("kill-load");
    startThree(cluster);
    Balancer balancer(cluster);
    std::mt19937_64 random(20261204);
    CallOptions options;
    options.deadline = std::chrono::milliseconds(2000); // a dead holder's reservation ends soon
    std::vector<SentRequest> sent;
    for (int round = 0; round < 6; ++round) {
        LoadGenerator load(balancer, 6, {"payout"}, 100 + static_cast<std::uint64_t>(round), options);
        CHECK(eventually([&] {
            return load.answered() > 20;
        }));
        cluster.controlPlatform("lose_next=" + std::to_string(random() % 6));
        const std::string victim = "n" + std::to_string(1 + random() % 3);
        cluster.node(victim).kill();
        const std::size_t before = load.answered();
        CHECK(eventually([&] {
            return load.answered() > before + 20;
        }));
        for (SentRequest &one : load.stop()) {
            if (one.result.status == 0) { // its node died: the caller sends it again, wherever
                CallResult again;
                CHECK(eventually([&] {
                    const std::string address = balancer.pick(random());
                    again = callPipeline(address, "payout", one.input, withKey(one.key));
                    return again.status == 200 || again.code() == 1503;
                }));
                one.result = again;
            }
            sent.push_back(one);
        }
        cluster.addNode(victim, victim == "n3" ? "dc2" : "dc1");
        cluster.publishVms();
        CHECK(cluster.awaitRevision(1, {victim}));
        balancer.refresh();
    }
    STRCMP_EQUAL("", compareWithLedger(sent, cluster.ledger()).c_str());
    CHECK(countStatus(sent, 200) > 100);
}
