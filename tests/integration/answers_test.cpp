// Each caller gets the complete answer to its own request while backend servers, nodes and connections fail. The outcome that
// an error reports (not_run, failed or outcome_unknown) matches what was executed, results recorded by a node are used after it
// was killed, requests that crash servers are refused, and connections that forward nothing any more are detected.
// The backend stand-ins write each execution to the ledger file, which the tests read. See the heads of
// tests/standins/backend_standin.cpp and fault_proxy.cpp for the fault modes. describeLedgerMismatch() returns "" if the results
// that callers got match the ledger, describeFailures() returns "" if every request succeeded.
#include "load.h"

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace vanillanotch;
using namespace vanillanotch::test;

namespace
{
void startTwoNodes(Cluster &cluster)
{
    cluster.addDefaultServers();
    cluster.addNode("n1");
    cluster.addNode("n2");
    cluster.start();
}

std::size_t countStartedExecutions(const Cluster &cluster, const std::string &path)
{
    std::size_t count = 0;
    for (const LedgerLine &line : cluster.ledger()) {
        count += line.path == path && line.event == "begin" ? 1 : 0;
    }
    return count;
}

CallOptions streamingOptions()
{
    CallOptions options;
    options.stream = true;
    return options;
}
} // namespace

//-----------------------------------------------------------------------------
// Complete answers to the caller's own request
//-----------------------------------------------------------------------------

TEST_GROUP(Answers){};

// The model's connection breaks after 1, 5 and 23 tokens of a stream. A node that resumes at the wrong place would lose or repeat
// tokens: the caller's stream must continue with the next token.
TEST(Answers, CutStreamResumesAtTheNextToken)
{
    Cluster cluster("cut-stream");
    startTwoNodes(cluster);
    for (const int after : {1, 5, 23}) {
        for (const char *model : {"model-1", "model-2"}) {
            cluster.controlServer(model, "cut_after_tokens=" + std::to_string(after));
        }
        const std::string input = "cut after " + std::to_string(after);
        const CallResult result = cluster.call("n1", "answer", input, streamingOptions());
        STRCMP_EQUAL(expectedText(input, ModelTokens).c_str(), result.streamed.c_str());
        STRCMP_EQUAL(result.streamed.c_str(), result.text().c_str());
    }
}

// Guards against a text that is joined from two software versions: the connections of models of two versions break after 5 tokens.
TEST(Answers, CutStreamResumesAtItsSoftwareVersion)
{
    Cluster cluster("cut-versions");
    for (const char *name : {"model-3", "model-4", "model-5"}) {
        ServerOptions options;
        options.name = name;
        options.capability = "model";
        options.softwareVersion = "v2";
        cluster.addServer(options);
    }
    startTwoNodes(cluster);
    const std::set<std::string> older{"model-1", "model-2"};
    unsigned resumed = 0;
    for (int i = 0; i < 40; ++i) {
        for (const char *model : {"model-1", "model-3"}) {
            cluster.controlServer(model, "cut_after_tokens=5");
        }
        const std::string input = "version " + std::to_string(i);
        const CallResult result = cluster.call("n1", "answer", input, streamingOptions());
        STRCMP_EQUAL(expectedText(input, ModelTokens).c_str(), result.streamed.c_str());
    }
    std::map<std::string, std::set<std::string>> servers; // that generated, by request
    for (const LedgerLine &line : cluster.ledger()) {
        if (line.path == "/v1/completions" && line.event == "begin") {
            servers[line.request].insert(line.server);
        }
    }
    for (const auto &[request, names] : servers) {
        resumed += names.size() > 1 ? 1 : 0;
        const auto ofOlder = static_cast<std::size_t>(std::count_if(names.begin(), names.end(), [&older](const std::string &name) {
            return older.count(name) > 0;
        }));
        CHECK_TEXT(ofOlder == 0 || ofOlder == names.size(), request.c_str());
    }
    CHECK(resumed > 0);
}

// model-1 stops each stream after 7 tokens and keeps the connection open. Neither a close nor a reset shows this fault, only the
// token that doesn't come: a node that waits for it would never finish the caller's stream.
TEST(Answers, StalledStreamResumesOnAnotherServer)
{
    Cluster cluster("stall-stream");
    startTwoNodes(cluster);
    cluster.controlServer("model-1", "stall_after_tokens=7");
    std::size_t calls = 0;
    // Ends when one call has started two generations: the first stalled at model-1, the second resumed the stream.
    while (countStartedExecutions(cluster, "/v1/completions") == calls) {
        const std::string input = "stall " + std::to_string(++calls);
        const CallResult result = cluster.call("n1", "answer", input, streamingOptions());
        STRCMP_EQUAL(expectedText(input, ModelTokens).c_str(), result.streamed.c_str());
        CHECK(calls < 100);
    }
}

// Six backend servers each put another request's id into one reply, as if connections had been mixed up. A node that doesn't
// compare the id would give a caller the answer to another request: such a reply must be discarded, counted and replaced.
TEST(Answers, ReplyToAnotherAttemptIsDiscardedAndCounted)
{
    Cluster cluster("mismatch");
    startTwoNodes(cluster);
    for (const char *server : {"encoder-1", "encoder-2", "reranker-1", "reranker-2", "model-1", "model-2"}) {
        cluster.controlServer(server, "mismatch=1");
    }
    for (int i = 0; i < 6; ++i) {
        const std::string input = "crossed " + std::to_string(i);
        const CallResult result = cluster.call("n1", "answer", input, i % 2 == 0 ? streamingOptions() : CallOptions{});
        LONGS_EQUAL(200, result.status);
        STRCMP_EQUAL(expectedText(input, ModelTokens).c_str(), result.text().c_str());
    }
    const std::string metrics = cluster.sendOperatorRequest("n1", "GET", "/metrics").body;
    const std::string name = "vanillanotch_replies_dropped_total ";
    const auto position = metrics.find("\n" + name);
    CHECK(position != std::string::npos);
    CHECK(std::stoi(metrics.substr(position + 1 + name.size())) >= 3);
}

// Eight callers send the same input at the same time. If their requests were told apart by the input, callers would share one
// request: each must get an answer with a request id of its own.
TEST(Answers, ConcurrentCallersWithTheSamePromptGetTheirOwnAnswers)
{
    Cluster cluster("same-prompt");
    startTwoNodes(cluster);
    std::vector<CallResult> results(8);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < results.size(); ++i) {
        callers.emplace_back([&, i] {
            results[i] = cluster.call(i % 2 == 0 ? "n1" : "n2", "answer", "the same prompt", i % 3 == 0 ? streamingOptions() : CallOptions{});
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

// A caller decides by the reported outcome whether it may repeat a request. A request that both encoders refused as busy must be
// reported as not_run; a payout that was executed and then answered with 500 must be reported as failed (1404).
TEST(Answers, ErrorOutcomeMatchesExecutionWhenABackendServerFails)
{
    Cluster cluster("truthful");
    startTwoNodes(cluster);
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
    CallOptions keyOptions;
    keyOptions.idempotencyKey = "rejected";
    const CallResult rejected = cluster.call("n2", "payout", "ran and failed", keyOptions);
    LONGS_EQUAL(1404, rejected.errorCode());
    STRCMP_EQUAL("failed", rejected.outcome().c_str());
    LONGS_EQUAL(1, countEffects(cluster.ledger(), "/payout", "rejected"));
}

// A caller starts a stream and never reads, so that the node can't send its tokens on. If a worker waited for this caller, other
// callers would wait as well: each must be served within 10 s.
TEST(Answers, CallerThatDoesNotReadDoesNotBlockOthers)
{
    Cluster cluster("slow-reader");
    ServerOptions flood;
    flood.name = "flood-1";
    flood.capability = "flood";
    flood.arguments = {"--burst_tokens=400", "--token_us=2000"}; // far more than all buffers on the way to the caller hold
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
        const auto position = metrics.find(name);
        return position == std::string::npos ? 0L : std::stol(metrics.substr(position + name.size()));
    };
    CHECK(eventually([&] { // no token for 300 ms: every buffer on the way to the caller is full, so the stream has stopped
        const long before = tokens();
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        return before > 0 && tokens() == before;
    }));
    for (int i = 0; i < 10; ++i) {
        const std::string input = "beside a slow reader " + std::to_string(i);
        const CallResult result = cluster.call("n1", "answer", input, streamingOptions());
        LONGS_EQUAL(200, result.status);
        STRCMP_EQUAL(expectedText(input, ModelTokens).c_str(), result.streamed.c_str());
        CHECK(result.body.at("time_ms").get<double>() < 10000);
    }
}

// Eight concurrent callers while 40 faults, chosen with seed 7, hit the backend servers. No answer may be incomplete or another
// caller's, every request must get an answer (status 0 means none), and more than 90 % of the requests must succeed.
TEST(Answers, AnswersAreCompleteWhileBackendServersFailUnderLoad)
{
    Cluster cluster("answers-load");
    startTwoNodes(cluster);
    Balancer balancer(cluster);
    LoadGenerator load(balancer, 8, {"answer", "certificate", "report", "payout"}, 7);
    std::mt19937_64 random(7);
    const std::vector<std::string> servers{"encoder-1", "retriever-2", "reranker-1", "model-1", "model-2", "payout-1"};
    const std::vector<std::string> faults{"cut_after_tokens=3", "mismatch=2", "lose_reply=1", "reject=1", "slow_percent=300", "slow_percent=0"};
    for (int round = 0; round < 40; ++round) {
        const std::size_t before = load.endedRequests();
        cluster.controlServer(servers[random() % servers.size()], faults[random() % faults.size()]);
        CHECK(eventually([&] {
            return load.endedRequests() > before + 5;
        }));
    }
    const std::vector<SentRequest> sent = load.stop();
    STRCMP_EQUAL("", describeLedgerMismatch(sent, cluster.ledger()).c_str());
    LONGS_EQUAL(0, countStatus(sent, 0));
    CHECK_TEXT(countStatus(sent, 200) * 10 > sent.size() * 9, (std::to_string(sent.size()) + " sent; " + describeFailures(sent)).c_str());
}

//-----------------------------------------------------------------------------
// Checkpoints of stages and recorded answers
//-----------------------------------------------------------------------------

TEST_GROUP(RecordedResults){};

// n1 is killed during the last stage, the generation. The caller sends the request to n2 with the same idempotency key: n2 must
// continue after the stages whose results n1 saved, and not execute them again.
TEST(RecordedResults, RequestResumesFromCheckpointAfterItsNodeIsKilled)
{
    Cluster cluster("kept");
    startTwoNodes(cluster);
    for (const char *model : {"model-1", "model-2"}) {
        cluster.controlServer(model, "slow_percent=100000");
    }
    CallOptions keyOptions;
    keyOptions.idempotencyKey = "report-1";
    std::thread first([&] {
        cluster.call("n1", "report", "grease load", keyOptions);
    });
    CHECK(eventually([&] {
        return countStartedExecutions(cluster, "/v1/completions") == 1;
    }));
    cluster.node("n1").kill();
    first.join();
    for (const char *model : {"model-1", "model-2"}) {
        cluster.controlServer(model, "slow_percent=0");
    }
    const CallResult result = cluster.call("n2", "report", "grease load", keyOptions);
    LONGS_EQUAL(200, result.status);
    STRCMP_EQUAL(expectedText("grease load", ModelTokens).c_str(), result.text().c_str());
    LONGS_EQUAL(1, countStartedExecutions(cluster, "/v1/embeddings")); // resumed after the last stage with a checkpoint
    LONGS_EQUAL(1, countStartedExecutions(cluster, "/v1/rerank"));
}

// Requests with the same idempotency key at two nodes must get one answer, whether sent at the same time or later: a node that
// misses the record would execute again. The same key with another input is refused (1501).
TEST(RecordedResults, RecordedAnswerIsTheSameFromAnyNode)
{
    Cluster cluster("recorded");
    startTwoNodes(cluster);
    CallOptions keyOptions;
    keyOptions.idempotencyKey = "certificate-1";
    std::vector<CallResult> results(6);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < results.size(); ++i) { // all six at the same time; a seventh is sent when they have ended
        callers.emplace_back([&, i] {
            results[i] = cluster.call(i % 2 == 0 ? "n1" : "n2", "certificate", "duct 7", keyOptions);
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    results.push_back(cluster.call("n2", "certificate", "duct 7", keyOptions));
    for (const CallResult &result : results) {
        LONGS_EQUAL(200, result.status);
        STRCMP_EQUAL(results[0].body.at("request").get<std::string>().c_str(), result.body.at("request").get<std::string>().c_str());
        STRCMP_EQUAL(results[0].body.at("answer").dump().c_str(), result.body.at("answer").dump().c_str());
    }
    LONGS_EQUAL(1501, cluster.call("n1", "certificate", "duct 8", keyOptions).errorCode());
    cluster.controlPlatform("down=1");
    const CallResult duringOutage = cluster.call("n1", "certificate", "duct 7", keyOptions);
    LONGS_EQUAL(1701, duringOutage.errorCode()); // the recorded answer can't be read: the request is refused, not executed again
    STRCMP_EQUAL("not_run", duringOutage.outcome().c_str());
}

//-----------------------------------------------------------------------------
// Requests that crash servers
//-----------------------------------------------------------------------------

TEST_GROUP(Crashes){};

// A request whose input ends the model's process would, if retried on one server after another, end all eight models: it must be
// refused (1207) at every node after at most three crashes, and other requests must go on.
TEST(Crashes, CrashingRequestStopsAtMostThreeServersAndOtherRequestsFinish)
{
    Cluster cluster("crash");
    for (const std::string capability : {"encoder", "retriever", "reranker", "payout"}) {
        ServerOptions options;
        options.name = capability + "-1";
        options.capability = capability;
        options.arguments = {"--concurrency=32"};
        cluster.addServer(options);
    }
    constexpr int Models = 8;
    for (int i = 1; i <= Models; ++i) {
        ServerOptions options;
        options.name = "model-" + std::to_string(i);
        options.capability = "model";
        cluster.addServer(options);
    }
    for (const char *name : {"n1", "n2", "n3"}) {
        cluster.addNode(name);
    }
    cluster.start();
    Balancer balancer(cluster);
    LoadGenerator load(balancer, 8, {"answer"}, 3);
    CHECK(eventually([&] {
        return load.endedRequests() > 30;
    }));
    const auto crashedModels = [&] {
        int crashed = 0;
        for (int i = 1; i <= Models; ++i) {
            crashed += cluster.server("model-" + std::to_string(i)).running() ? 0 : 1;
        }
        return crashed;
    };
    CallResult last;
    for (int attempt = 0; attempt < 12; ++attempt) { // to each node in turn
        last = cluster.call("n" + std::to_string(1 + attempt % 3), "answer", "crash-model please");
        CHECK(last.status != 200);
    }
    LONGS_EQUAL(1207, last.errorCode());
    STRCMP_EQUAL("not_run", last.outcome().c_str());
    CHECK(crashedModels() >= 1);
    CHECK(crashedModels() <= 3);
    const std::size_t before = load.endedRequests();
    CHECK(eventually([&] {
        return load.endedRequests() > before + 30;
    }));
    const std::vector<SentRequest> sent = load.stop();
    STRCMP_EQUAL("", describeLedgerMismatch(sent, cluster.ledger()).c_str());
    STRCMP_EQUAL("", describeFailures(sent).c_str()); // every request of the load succeeded
}

//-----------------------------------------------------------------------------
// Silent connections
//-----------------------------------------------------------------------------

TEST_GROUP(SilentConnections){};

// The node keeps connections to backend servers open in a pool. These forward nothing any more, but neither end sees a close or a
// reset: a node that only waits for a reply would miss the request's deadline of 10 s.
TEST(SilentConnections, SilentPooledConnectionsAreDetectedWithinTheDeadline)
{
    Cluster cluster("silent-pool");
    startTwoNodes(cluster);
    for (int i = 0; i < 4; ++i) {
        LONGS_EQUAL(200, cluster.call("n1", "answer", "warm " + std::to_string(i)).status);
    }
    for (const char *server : {"encoder-1", "encoder-2", "retriever-1", "retriever-2", "reranker-1", "reranker-2", "model-1", "model-2"}) {
        cluster.setLinkMode(server, "silence");
    }
    std::vector<SentRequest> sent;
    for (int i = 0; i < 6; ++i) {
        SentRequest sentRequest{"answer", "after silence " + std::to_string(i), "", {}};
        sentRequest.result = cluster.call("n1", sentRequest.pipeline, sentRequest.input);
        LONGS_EQUAL(200, sentRequest.result.status);
        CHECK(sentRequest.result.body.at("time_ms").get<double>() < 10000); // within the deadline of 10 s
        sent.push_back(sentRequest);
    }
    STRCMP_EQUAL("", describeLedgerMismatch(sent, cluster.ledger()).c_str());
}

// A model's connection forwards nothing any more in the middle of a stream, without a close or a reset: the stream must be resumed
// on a new connection. The models generate slowly until then, so that the stream can't end before the fault.
TEST(SilentConnections, SilentStreamResumesOnAnotherConnection)
{
    Cluster cluster("silent-stream");
    startTwoNodes(cluster);
    for (const char *model : {"model-1", "model-2"}) {
        cluster.controlServer(model, "slow_percent=2000");
    }
    CallResult result;
    std::thread caller([&] {
        result = cluster.call("n1", "answer", "silenced midway", streamingOptions());
    });
    CHECK(eventually([&] {
        return countStartedExecutions(cluster, "/v1/completions") >= 1;
    }));
    for (const char *model : {"model-1", "model-2"}) {
        cluster.setLinkMode(model, "silence");
        cluster.controlServer(model, "slow_percent=0");
    }
    caller.join();
    LONGS_EQUAL(200, result.status);
    STRCMP_EQUAL(expectedText("silenced midway", ModelTokens).c_str(), result.streamed.c_str());
}

// The payout is executed, but its connection forwards no reply. A node that tries again would pay twice: the call must not be
// repeated, and its outcome must be reported as unknown.
TEST(SilentConnections, NonIdempotentCallIsNotRepeatedAfterSilence)
{
    Cluster cluster("silent-payout");
    startTwoNodes(cluster);
    for (const char *server : {"payout-1", "payout-2"}) {
        cluster.setLinkMode(server, "swallow");
    }
    CallOptions keyOptions;
    keyOptions.idempotencyKey = "k";
    keyOptions.deadline = std::chrono::milliseconds(1500);
    const CallResult result = cluster.call("n1", "payout", "pot", keyOptions);
    STRCMP_EQUAL("outcome_unknown", result.outcome().c_str());
    LONGS_EQUAL(1, countEffects(cluster.ledger(), "/payout", "k"));
}

// The node's open connection to the platform forwards nothing any more, without a close or a reset. A node that keeps using it
// couldn't record payouts: it must connect anew within the request's deadline and run the payout once.
TEST(SilentConnections, SilentPlatformConnectionIsReplaced)
{
    Cluster cluster("silent-platform");
    cluster.addDefaultServers();
    cluster.addNode("n1", "dc1", "", true);
    cluster.start();
    CallOptions keyOptions;
    keyOptions.idempotencyKey = "before";
    LONGS_EQUAL(200, cluster.call("n1", "payout", "pot", keyOptions).status);
    cluster.setLinkMode("n1", "silence");
    keyOptions.idempotencyKey = "after";
    const CallResult result = cluster.call("n1", "payout", "pot", keyOptions);
    LONGS_EQUAL(200, result.status);
    LONGS_EQUAL(1, countEffects(cluster.ledger(), "/payout", "after"));
}
