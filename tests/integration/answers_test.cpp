// Each caller gets the whole answer to its own request; refusals are truthful; kept work isn't lost; crashing requests
// are stopped; silent connections are found out.
#include "load.h"

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace vanillanotch;
using namespace vanillanotch::test;

namespace
{
void startTwo(Cluster &cluster)
{
    cluster.addDefaultServers();
    cluster.addNode("n1");
    cluster.addNode("n2");
    cluster.start();
}

std::size_t countBegun(const Cluster &cluster, const std::string &path)
{
    std::size_t count = 0;
    for (const LedgerLine &line : cluster.ledger()) {
        count += line.path == path && line.event == "begin" ? 1 : 0;
    }
    return count;
}

CallOptions streaming()
{
    CallOptions options;
    options.stream = true;
    return options;
}
} // namespace

//-----------------------------------------------------------------------------
// Whole, own answers
//-----------------------------------------------------------------------------

TEST_GROUP(Answers){};

TEST(Answers, AStreamThatIsCutGoesOnAtTheRightToken)
{
    Cluster cluster("cut-stream");
    startTwo(cluster);
    for (const int after : {1, 5, 23}) {
        for (const char *model : {"model-1", "model-2"}) {
            cluster.controlServer(model, "cut_after_tokens=" + std::to_string(after));
        }
        const std::string input = "cut after " + std::to_string(after);
        const CallResult result = cluster.call("n1", "answer", input, streaming());
        STRCMP_EQUAL(expectedText(input, ModelTokens).c_str(), result.streamed.c_str());
        STRCMP_EQUAL(result.streamed.c_str(), result.text().c_str());
    }
}

TEST(Answers, AStreamThatStallsGoesOnElsewhere)
{
    Cluster cluster("stall-stream");
    startTwo(cluster);
    cluster.controlServer("model-1", "stall_after_tokens=7");
    std::size_t calls = 0;
    while (countBegun(cluster, "/v1/completions") == calls) { // until one was stalled and tried again
        const std::string input = "stall " + std::to_string(++calls);
        const CallResult result = cluster.call("n1", "answer", input, streaming());
        STRCMP_EQUAL(expectedText(input, ModelTokens).c_str(), result.streamed.c_str());
        CHECK(calls < 100);
    }
}

TEST(Answers, AReplyForAnotherAttemptIsDroppedAndCounted)
{
    Cluster cluster("mismatch");
    startTwo(cluster);
    for (const char *server : {"encoder-1", "encoder-2", "reranker-1", "reranker-2", "model-1", "model-2"}) {
        cluster.controlServer(server, "mismatch=1");
    }
    for (int i = 0; i < 6; ++i) {
        const std::string input = "crossed " + std::to_string(i);
        const CallResult result = cluster.call("n1", "answer", input, i % 2 == 0 ? streaming() : CallOptions{});
        LONGS_EQUAL(200, result.status);
        STRCMP_EQUAL(expectedText(input, ModelTokens).c_str(), result.text().c_str());
    }
    const std::string metrics = cluster.sendOperatorRequest("n1", "GET", "/metrics").body;
    const std::string name = "vanillanotch_replies_dropped_total ";
    const auto place = metrics.find("\n" + name);
    CHECK(place != std::string::npos);
    CHECK(std::stoi(metrics.substr(place + 1 + name.size())) >= 3);
}

TEST(Answers, TwoCallersWithTheSamePromptGetOneAnswerEach)
{
    Cluster cluster("same-prompt");
    startTwo(cluster);
    std::vector<CallResult> results(8);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < results.size(); ++i) {
        callers.emplace_back([&, i] {
            results[i] = cluster.call(i % 2 == 0 ? "n1" : "n2", "answer", "the same prompt", i % 3 == 0 ? streaming() : CallOptions{});
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    std::set<std::string> requests;
    for (const CallResult &result : results) {
        STRCMP_EQUAL(expectedText("the same prompt", ModelTokens).c_str(), result.text().c_str());
        requests.insert(result.body.at("request").get<std::string>());
    }
    LONGS_EQUAL(8, static_cast<long>(requests.size()));
}

TEST(Answers, RefusalsAreTruthfulWhenABackEndFails)
{
    Cluster cluster("truthful");
    startTwo(cluster);
    for (const char *server : {"encoder-1", "encoder-2"}) {
        cluster.controlServer(server, "busy=1");
    }
    CallOptions shortDeadline;
    shortDeadline.deadline = std::chrono::milliseconds(800);
    const CallResult busy = cluster.call("n1", "answer", "nobody took it", shortDeadline);
    STRCMP_EQUAL("not_run", busy.outcome().c_str());
    LONGS_EQUAL(0, static_cast<long>(cluster.ledger().size()));
    for (const char *server : {"encoder-1", "encoder-2"}) {
        cluster.controlServer(server, "busy=0");
    }
    for (const char *server : {"payout-1", "payout-2"}) {
        cluster.controlServer(server, "reject=1");
    }
    CallOptions key;
    key.idempotencyKey = "rejected";
    const CallResult rejected = cluster.call("n2", "payout", "ran and failed", key);
    LONGS_EQUAL(1404, rejected.code());
    STRCMP_EQUAL("failed", rejected.outcome().c_str());
    LONGS_EQUAL(1, countEffects(cluster.ledger(), "/payout", "rejected"));
}

TEST(Answers, ACallerThatDoesNotReadDoesNotHoldUpTheOthers)
{
    Cluster cluster("slow-reader");
    ServerPlan flood;
    flood.name = "flood-1";
    flood.capability = "flood";
    flood.arguments = {"--burst_tokens=400", "--token_us=2000"}; // far more than the buffers between hold
    cluster.addServer(flood);
    cluster.addDefaultServers();
    cluster.addNode("n1");
    cluster.start();
    const std::string pipeline = "pipelines:\n  - name: flood\n    deadline_limit_ms: 60000\n    stages:\n"
                                 "      - {name: generate, kind: generation, capability: flood, max_tokens: 1000000}\n";
    LONGS_EQUAL(200, cluster.sendOperatorRequest("n1", "POST", "/v1/merge", pipeline).status);
    Poco::Net::StreamSocket reader;
    reader.connect(Poco::Net::SocketAddress(cluster.callerAddress("n1")));
    const std::string body = R"({"input":"flood","deadline_ms":60000,"stream":true})";
    const std::string request = "POST /v1/pipelines/flood HTTP/1.1\r\nHost: n1\r\nAuthorization: Bearer caller-key\r\nContent-Type: application/json\r\n"
                                "Content-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    reader.sendBytes(request.data(), static_cast<int>(request.size()));
    const auto tokens = [&cluster] {
        const std::string metrics = cluster.sendOperatorRequest("n1", "GET", "/metrics").body;
        const std::string name = "\nvanillanotch_tokens_total ";
        const auto place = metrics.find(name);
        return place == std::string::npos ? 0L : std::stol(metrics.substr(place + name.size()));
    };
    CHECK(eventually([&] { // the stream has come to a stand: every buffer is full
        const long before = tokens();
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        return before > 0 && tokens() == before;
    }));
    for (int i = 0; i < 10; ++i) {
        const std::string input = "beside a slow reader " + std::to_string(i);
        const CallResult result = cluster.call("n1", "answer", input, streaming());
        LONGS_EQUAL(200, result.status);
        STRCMP_EQUAL(expectedText(input, ModelTokens).c_str(), result.streamed.c_str());
        CHECK(result.body.at("time_ms").get<double>() < 10000);
    }
}

TEST(Answers, EveryAnswerIsWholeWhileBackEndsFailUnderLoad)
{
    Cluster cluster("answers-load");
    startTwo(cluster);
    Balancer balancer(cluster);
    LoadGenerator load(balancer, 8, {"answer", "certificate", "report", "payout"}, 7);
    std::mt19937_64 random(7);
    const std::vector<std::string> servers{"encoder-1", "retriever-2", "reranker-1", "model-1", "model-2", "payout-1"};
    const std::vector<std::string> faults{"cut_after_tokens=3", "mismatch=2", "lose_reply=1", "reject=1", "slow_percent=300", "slow_percent=0"};
    for (int round = 0; round < 40; ++round) {
        const std::size_t before = load.answered();
        cluster.controlServer(servers[random() % servers.size()], faults[random() % faults.size()]);
        CHECK(eventually([&] {
            return load.answered() > before + 5;
        }));
    }
    const std::vector<SentRequest> sent = load.stop();
    STRCMP_EQUAL("", compareWithLedger(sent, cluster.ledger()).c_str());
    LONGS_EQUAL(0, countStatus(sent, 0));
    CHECK(countStatus(sent, 200) * 10 > sent.size() * 9);
}

//-----------------------------------------------------------------------------
// Kept and recorded results
//-----------------------------------------------------------------------------

TEST_GROUP(Kept){};

TEST(Kept, ANodeDiesBetweenStagesAndTheRequestCarriesOnElsewhere)
{
    Cluster cluster("kept");
    startTwo(cluster);
    for (const char *model : {"model-1", "model-2"}) {
        cluster.controlServer(model, "slow_percent=100000");
    }
    CallOptions key;
    key.idempotencyKey = "report-1";
    std::thread first([&] {
        cluster.call("n1", "report", "grease load", key);
    });
    CHECK(eventually([&] {
        return countBegun(cluster, "/v1/completions") == 1;
    }));
    cluster.node("n1").kill();
    first.join();
    for (const char *model : {"model-1", "model-2"}) {
        cluster.controlServer(model, "slow_percent=0");
    }
    const CallResult result = cluster.call("n2", "report", "grease load", key);
    LONGS_EQUAL(200, result.status);
    STRCMP_EQUAL(expectedText("grease load", ModelTokens).c_str(), result.text().c_str());
    LONGS_EQUAL(1, countBegun(cluster, "/v1/embeddings")); // carried on behind the last kept stage
    LONGS_EQUAL(1, countBegun(cluster, "/v1/rerank"));
}

TEST(Kept, ARecordedAnswerIsTheSameFromAnyNode)
{
    Cluster cluster("recorded");
    startTwo(cluster);
    CallOptions key;
    key.idempotencyKey = "certificate-1";
    std::vector<CallResult> results(6);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < results.size(); ++i) { // at once, then again
        callers.emplace_back([&, i] {
            results[i] = cluster.call(i % 2 == 0 ? "n1" : "n2", "certificate", "duct 7", key);
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    results.push_back(cluster.call("n2", "certificate", "duct 7", key));
    for (const CallResult &result : results) {
        LONGS_EQUAL(200, result.status);
        STRCMP_EQUAL(results[0].body.at("request").get<std::string>().c_str(), result.body.at("request").get<std::string>().c_str());
        STRCMP_EQUAL(results[0].body.at("answer").dump().c_str(), result.body.at("answer").dump().c_str());
    }
    LONGS_EQUAL(1501, cluster.call("n1", "certificate", "duct 8", key).code());
    cluster.controlPlatform("down=1");
    const CallResult outage = cluster.call("n1", "certificate", "duct 7", key);
    LONGS_EQUAL(1701, outage.code()); // can't be looked up: not answered differently
    STRCMP_EQUAL("not_run", outage.outcome().c_str());
}

//-----------------------------------------------------------------------------
// Requests that crash servers
//-----------------------------------------------------------------------------

TEST_GROUP(Crashes){};

TEST(Crashes, ACrashingRequestCostsAtMostThreeServersAndTheInnocentFinish)
{
    Cluster cluster("crash");
    for (const std::string capability : {"encoder", "retriever", "reranker", "payout"}) {
        ServerPlan plan;
        plan.name = capability + "-1";
        plan.capability = capability;
        plan.arguments = {"--concurrency=32"};
        cluster.addServer(plan);
    }
    constexpr int Models = 8;
    for (int i = 1; i <= Models; ++i) {
        ServerPlan plan;
        plan.name = "model-" + std::to_string(i);
        plan.capability = "model";
        cluster.addServer(plan);
    }
    for (const char *name : {"n1", "n2", "n3"}) {
        cluster.addNode(name);
    }
    cluster.start();
    Balancer balancer(cluster);
    LoadGenerator load(balancer, 8, {"answer"}, 3);
    CHECK(eventually([&] {
        return load.answered() > 30;
    }));
    const auto deadModels = [&] {
        int dead = 0;
        for (int i = 1; i <= Models; ++i) {
            dead += cluster.server("model-" + std::to_string(i)).running() ? 0 : 1;
        }
        return dead;
    };
    CallResult last;
    for (int again = 0; again < 12; ++again) { // to changing nodes
        last = cluster.call("n" + std::to_string(1 + again % 3), "answer", "crash-model please");
        CHECK(last.status != 200);
    }
    LONGS_EQUAL(1207, last.code());
    STRCMP_EQUAL("not_run", last.outcome().c_str());
    CHECK(deadModels() >= 1);
    CHECK(deadModels() <= 3);
    const std::size_t before = load.answered();
    CHECK(eventually([&] {
        return load.answered() > before + 30;
    }));
    const std::vector<SentRequest> sent = load.stop();
    STRCMP_EQUAL("", compareWithLedger(sent, cluster.ledger()).c_str());
    STRCMP_EQUAL("", describeFailures(sent).c_str()); // every innocent request finished
}

//-----------------------------------------------------------------------------
// Silent connections
//-----------------------------------------------------------------------------

TEST_GROUP(Silence){};

TEST(Silence, PooledConnectionsThatGoSilentAreFoundOutInsideTheDeadline)
{
    Cluster cluster("silent-pool");
    startTwo(cluster);
    for (int i = 0; i < 4; ++i) {
        LONGS_EQUAL(200, cluster.call("n1", "answer", "warm " + std::to_string(i)).status);
    }
    for (const char *server : {"encoder-1", "encoder-2", "retriever-1", "retriever-2", "reranker-1", "reranker-2", "model-1", "model-2"}) {
        cluster.controlLink(server, "silence");
    }
    std::vector<SentRequest> sent;
    for (int i = 0; i < 6; ++i) {
        SentRequest one{"answer", "after silence " + std::to_string(i), "", {}};
        one.result = cluster.call("n1", one.pipeline, one.input);
        LONGS_EQUAL(200, one.result.status);
        CHECK(one.result.body.at("time_ms").get<double>() < 10000); // its deadline
        sent.push_back(one);
    }
    STRCMP_EQUAL("", compareWithLedger(sent, cluster.ledger()).c_str());
}

TEST(Silence, AStreamingConnectionThatGoesSilentIsReplaced)
{
    Cluster cluster("silent-stream");
    startTwo(cluster);
    for (const char *model : {"model-1", "model-2"}) {
        cluster.controlServer(model, "slow_percent=2000");
    }
    CallResult result;
    std::thread caller([&] {
        result = cluster.call("n1", "answer", "silenced midway", streaming());
    });
    CHECK(eventually([&] {
        return countBegun(cluster, "/v1/completions") >= 1;
    }));
    for (const char *model : {"model-1", "model-2"}) {
        cluster.controlLink(model, "silence");
        cluster.controlServer(model, "slow_percent=0");
    }
    caller.join();
    LONGS_EQUAL(200, result.status);
    STRCMP_EQUAL(expectedText("silenced midway", ModelTokens).c_str(), result.streamed.c_str());
}

TEST(Silence, ANonIdempotentCallIsNotRepeatedAfterSilence)
{
    Cluster cluster("silent-payout");
    startTwo(cluster);
    for (const char *server : {"payout-1", "payout-2"}) {
        cluster.controlLink(server, "swallow");
    }
    CallOptions key;
    key.idempotencyKey = "k";
    key.deadline = std::chrono::milliseconds(1500);
    const CallResult result = cluster.call("n1", "payout", "pot", key);
    STRCMP_EQUAL("outcome_unknown", result.outcome().c_str());
    LONGS_EQUAL(1, countEffects(cluster.ledger(), "/payout", "k"));
}

TEST(Silence, ThePlatformsConnectionGoesSilentAndANewOneWorks)
{
    Cluster cluster("silent-platform");
    cluster.addDefaultServers();
    cluster.addNode("n1", "dc1", "", true);
    cluster.start();
    CallOptions key;
    key.idempotencyKey = "before";
    LONGS_EQUAL(200, cluster.call("n1", "payout", "pot", key).status);
    cluster.controlLink("n1", "silence");
    key.idempotencyKey = "after";
    const CallResult result = cluster.call("n1", "payout", "pot", key);
    LONGS_EQUAL(200, result.status);
    LONGS_EQUAL(1, countEffects(cluster.ledger(), "/payout", "after"));
}
