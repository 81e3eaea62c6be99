// Measures the latency that a node adds to a request, and the CPU time that the node uses for requests and for streamed tokens.
// Service time is the time for which a backend stand-in executes a call; the stand-ins write it to their ledger file.
#include "bench.h"

#include <algorithm>
#include <cstdio>
#include <poll.h>
#include <thread>

namespace vanillanotch::bench
{

namespace
{
constexpr int RequestsPerSecond = 140;
constexpr std::chrono::seconds RequestPhase{10};
constexpr std::chrono::microseconds TokenTime{2000};
constexpr std::size_t Streams = 1000;
constexpr std::size_t Readers = 2; // threads that read the streams
constexpr std::chrono::milliseconds StreamTokenTime{28};
constexpr std::chrono::seconds StreamPhase{10};

void addServers(Cluster &cluster, std::chrono::microseconds tokenTime, const std::string &concurrency)
{
    for (const std::string capability : {"encoder", "retriever", "reranker", "model", "payout"}) {
        test::ServerOptions options;
        options.name = capability + "-1";
        options.capability = capability;
        options.arguments = {"--concurrency=" + concurrency, "--connections=" + concurrency, "--token_us=" + std::to_string(tokenTime.count())};
        cluster.addServer(options);
    }
}

std::string highConcurrencyConfiguration(const Cluster &cluster)
{
    std::string yaml = cluster.configurationYaml();
    const std::string concurrency = "concurrency: 8,";
    for (auto position = yaml.find(concurrency); position != std::string::npos; position = yaml.find(concurrency)) {
        yaml.replace(position, concurrency.size(), "concurrency: 4000,");
    }
    return yaml;
}

struct RequestResults {
    std::vector<Duration> added; // latency of each request minus the service times of its stages
    std::vector<Duration> baseline; // as `added`, but for calls sent directly to the servers; see measureBaseline()
    double perCoreSecond = 0; // requests for each second of the node's CPU time
    std::size_t failed = 0;
};

// By request id: sum of the service times of the request's stages, from the ledger.
std::map<std::string, Duration> serviceTimes(const Cluster &cluster)
{
    std::map<std::string, Duration> times;
    for (const test::LedgerLine &line : cluster.ledger()) {
        times[line.request] += line.duration;
    }
    return times;
}

// Calls the servers of the four stages directly, one after the other, 300 times. Returns the latency of each round minus its service
// times: what the machine's network and thread wake-ups cost without a node.
std::vector<Duration> measureBaseline(Cluster &cluster)
{
    constexpr int Rounds = 300;
    const std::vector<std::tuple<std::string, std::string, std::string>> calls{
        {"encoder-1", "/v1/embeddings", R"({"model":"","input":"x"})"},
        {"retriever-1", "/v1/retrieve", R"({"query":"x","embedding":[0.1],"top_k":8})"},
        {"reranker-1", "/v1/rerank", R"({"model":"","query":"x","documents":["a","b"],"top_n":2})"},
        {"model-1", "/v1/completions", R"({"model":"","prompt":"x","stream":true,"max_tokens":)" + std::to_string(test::ModelTokens) + "}"},
    };
    HttpClient client;
    std::map<std::string, Duration> wall;
    for (int round = 0; round < Rounds; ++round) {
        const std::string id = "direct-" + std::to_string(round);
        const TimePoint startedAt = std::chrono::steady_clock::now();
        for (const auto &[server, path, body] : calls) {
            HttpClientRequest request;
            request.path = path;
            request.body = body;
            request.headers = {{"X-Request-Id", id}, {"X-Pipeline-Request", id}};
            HttpReplyListener discardReply;
            (void)client.call(cluster.server(server).address("address"), request, startedAt + std::chrono::seconds(10), std::chrono::seconds(2), &discardReply);
        }
        wall[id] = std::chrono::steady_clock::now() - startedAt;
    }
    const std::map<std::string, Duration> serviceTime = serviceTimes(cluster);
    std::vector<Duration> baseline;
    for (const auto &[id, latency] : wall) {
        baseline.push_back(latency - serviceTime.at(id));
    }
    return baseline;
}

// Sends RequestsPerSecond requests a second to the node for RequestPhase, at fixed times whether or not earlier ones have ended
// (open loop). Latency counts from the time at which the request was due.
RequestResults measureRequests(Cluster &cluster)
{
    RequestResults results;
    RankedMutex mutex(LockRank::Leaf);
    std::vector<std::pair<std::string, Duration>> times; // request id and latency of each request that succeeded
    std::vector<std::thread> callers;
    const std::string address = cluster.callerAddress("n1");
    HttpClient balancer; // takes the place of the load balancer: reuses its connections to the node
    const int total = RequestsPerSecond * static_cast<int>(RequestPhase.count());
    const Usage before = readUsage(cluster.node("n1").pid());
    const TimePoint start = std::chrono::steady_clock::now() + std::chrono::milliseconds(100);
    for (int i = 0; i < total; ++i) {
        const TimePoint due = start + std::chrono::microseconds(1000000LL * i / RequestsPerSecond);
        std::this_thread::sleep_until(due);
        callers.emplace_back([&, due, i] {
            const test::CallResult result = test::callPipeline(balancer, address, "answer", "input " + std::to_string(i));
            const Duration latency = std::chrono::steady_clock::now() - due;
            const Lock lock(mutex);
            if (result.status != 200) {
                ++results.failed;
                return;
            }
            times.emplace_back(result.body.at("request").get<std::string>(), latency);
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    const Usage after = readUsage(cluster.node("n1").pid());
    const std::map<std::string, Duration> serviceTime = serviceTimes(cluster);
    for (const auto &[request, latency] : times) {
        results.added.push_back(latency - serviceTime.at(request));
    }
    results.perCoreSecond = total / std::chrono::duration<double>(after.cpuTime - before.cpuTime).count();
    return results;
}

Poco::Net::StreamSocket openStream(const std::string &address, std::size_t index)
{
    const std::string body = Json{{"input", "stream " + std::to_string(index)}, {"deadline_ms", 60000}, {"stream", true}}.dump();
    const std::string request = "POST /v1/pipelines/stream HTTP/1.1\r\nHost: n1\r\nAuthorization: Bearer caller-key\r\nContent-Type: application/json\r\n"
                                "Content-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    return socket;
}

// Opens `count` streams and reads and discards their bytes until `end`. One thread reads many streams, so that the
// node has to wake few readers: on the loopback device the sender spends CPU time on waking the reader, which it would not spend
// for a caller on another machine.
void readStreams(const std::string &address, std::size_t count, TimePoint end)
{
    std::vector<Poco::Net::StreamSocket> streams;
    std::vector<pollfd> sockets;
    for (std::size_t i = 0; i < count; ++i) {
        streams.push_back(openStream(address, i));
        sockets.push_back(pollfd{streams.back().impl()->sockfd(), POLLIN, 0});
    }
    std::array<char, 16384> buffer{};
    while (std::chrono::steady_clock::now() < end) {
        ::poll(sockets.data(), sockets.size(), 100);
        for (pollfd &socket : sockets) {
            if (socket.revents != 0 && ::recv(socket.fd, buffer.data(), buffer.size(), 0) <= 0) {
                socket.fd = -1;
            }
        }
    }
}

struct StreamResults {
    double tokensPerSecond = 0;
    double perCoreSecond = 0; // tokens for each second of the node's CPU time
    double residentMegabytes = 0; // memory of the node, in 10^6 bytes
};

StreamResults measureStreams(Cluster &cluster)
{
    const std::string address = cluster.callerAddress("n1");
    const TimePoint end = std::chrono::steady_clock::now() + StreamPhase + std::chrono::seconds(8);
    std::vector<std::thread> readers;
    for (std::size_t i = 0; i < Readers; ++i) {
        readers.emplace_back([&] {
            readStreams(address, Streams / Readers, end);
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(4)); // by then all streams have begun
    const pid_t pid = cluster.node("n1").pid();
    const auto tokensOf = [&cluster] {
        const std::string text = cluster.sendOperatorRequest("n1", "GET", "/metrics").body;
        const std::string name = "\nvanillanotch_tokens_total ";
        const auto position = text.find(name);
        return position == std::string::npos ? 0.0 : std::stod(text.substr(position + name.size()));
    };
    const double tokensBefore = tokensOf();
    const Usage before = readUsage(pid);
    const TimePoint startedAt = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(StreamPhase);
    const Usage after = readUsage(pid);
    const double tokens = tokensOf() - tokensBefore;
    const double wall = std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count();
    for (std::thread &reader : readers) {
        reader.join();
    }
    StreamResults results;
    results.tokensPerSecond = tokens / wall;
    results.perCoreSecond = tokens / std::chrono::duration<double>(after.cpuTime - before.cpuTime).count();
    results.residentMegabytes = after.residentMegabytes;
    return results;
}
} // namespace

int runOverheadBenchmark(const std::string &streamWorkers)
{
    RequestResults requests;
    {
        Cluster cluster("bench-requests");
        addServers(cluster, TokenTime, "512");
        cluster.addNode("n1");
        cluster.publishVms();
        cluster.apply("n1", highConcurrencyConfiguration(cluster));
        cluster.awaitRevision(1, {"n1"});
        requests = measureRequests(cluster);
        requests.baseline = measureBaseline(cluster);
    }
    StreamResults streams;
    {
        Cluster cluster("bench-streams");
        addServers(cluster, std::chrono::duration_cast<std::chrono::microseconds>(StreamTokenTime), "2000");
        cluster.addNode("n1", "dc1", "connections: 2000\nstream_workers: " + streamWorkers + "\n");
        cluster.publishVms();
        std::string yaml = highConcurrencyConfiguration(cluster);
        yaml.insert(yaml.find("client_accounts:"),
                    "  - name: stream\n    deadline_limit_ms: 60000\n    stages:\n"
                    "      - {name: generate, kind: generation, capability: model, typical_ms: 100, max_tokens: 100000}\n");
        cluster.apply("n1", yaml);
        cluster.awaitRevision(1, {"n1"});
        streams = measureStreams(cluster);
    }
    std::printf("%d requests/s for %lld s: %zu answered, %zu failed; %zu streams with a token each %lld ms\n", RequestsPerSecond,
                static_cast<long long>(RequestPhase.count()), requests.added.size(), requests.failed, Streams, static_cast<long long>(StreamTokenTime.count()));
    std::printf("added_p50_ms=%.3f added_p99_ms=%.3f floor_p50_ms=%.3f requests_per_core_s=%.0f tokens_per_core_s=%.0f tokens_per_s=%.0f stream_rss_mb=%.0f "
                "failed=%zu\n",
                millisecondCount(quantile(requests.added, 0.5)), millisecondCount(quantile(requests.added, 0.99)),
                millisecondCount(quantile(requests.baseline, 0.5)), requests.perCoreSecond, streams.perCoreSecond, streams.tokensPerSecond,
                streams.residentMegabytes, requests.failed);
    return requests.failed == 0 ? 0 : 1;
}

} // namespace vanillanotch::bench
