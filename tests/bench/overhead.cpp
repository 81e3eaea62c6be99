// What the node adds to a request, and what it spends on requests and on streamed tokens.
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
constexpr std::size_t Readers = 2; // threads of the benchmark
constexpr std::chrono::milliseconds StreamTokenTime{28};
constexpr std::chrono::seconds StreamPhase{10};

void addServers(Cluster &cluster, std::chrono::microseconds tokenTime, const std::string &places)
{
    for (const std::string capability : {"encoder", "retriever", "reranker", "model", "payout"}) {
        test::ServerPlan plan;
        plan.name = capability + "-1";
        plan.capability = capability;
        plan.arguments = {"--concurrency=" + places, "--connections=" + places, "--token_us=" + std::to_string(tokenTime.count())};
        cluster.addServer(plan);
    }
}

std::string wideConfiguration(const Cluster &cluster)
{
    std::string yaml = cluster.configurationYaml();
    const std::string places = "concurrency: 8,";
    for (auto at = yaml.find(places); at != std::string::npos; at = yaml.find(places)) {
        yaml.replace(at, places.size(), "concurrency: 4000,");
    }
    return yaml;
}

struct RequestFigures {
    std::vector<Duration> added;
    std::vector<Duration> floor; // the same four calls by a bare client, less the servers' own times
    double perCoreSecond = 0;
    std::size_t failed = 0;
};

// The stages' own time by request, as their servers measured it.
std::map<std::string, Duration> ownTimes(const Cluster &cluster)
{
    std::map<std::string, Duration> times;
    for (const test::LedgerLine &line : cluster.ledger()) {
        times[line.request] += line.duration;
    }
    return times;
}

// Calls the four stages one after the other without a node between: what this machine's network and wake-ups cost.
std::vector<Duration> measureFloor(Cluster &cluster)
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
        const TimePoint began = std::chrono::steady_clock::now();
        for (const auto &[server, path, body] : calls) {
            HttpClientRequest request;
            request.path = path;
            request.body = body;
            request.headers = {{"X-Request-Id", id}, {"X-Pipeline-Request", id}};
            HttpReplyListener ignored;
            (void)client.call(cluster.server(server).address("address"), request, began + std::chrono::seconds(10), std::chrono::seconds(2), &ignored);
        }
        wall[id] = std::chrono::steady_clock::now() - began;
    }
    const std::map<std::string, Duration> own = ownTimes(cluster);
    std::vector<Duration> floor;
    for (const auto &[id, took] : wall) {
        floor.push_back(took - own.at(id));
    }
    return floor;
}

// Open loop: each request is due at its time, whatever the others do; latency counts from then.
RequestFigures measureRequests(Cluster &cluster)
{
    RequestFigures figures;
    RankedMutex mutex(LockRank::Leaf);
    std::vector<std::pair<std::string, Duration>> times; // request, from when it was due
    std::vector<std::thread> callers;
    const std::string address = cluster.callerAddress("n1");
    HttpClient balancer; // keeps its connections
    const int total = RequestsPerSecond * static_cast<int>(RequestPhase.count());
    const Usage before = usageOf(cluster.node("n1").pid());
    const TimePoint start = std::chrono::steady_clock::now() + std::chrono::milliseconds(100);
    for (int i = 0; i < total; ++i) {
        const TimePoint due = start + std::chrono::microseconds(1000000LL * i / RequestsPerSecond);
        std::this_thread::sleep_until(due);
        callers.emplace_back([&, due, i] {
            const test::CallResult result = test::callPipeline(balancer, address, "answer", "input " + std::to_string(i));
            const Duration took = std::chrono::steady_clock::now() - due;
            const Lock lock(mutex);
            if (result.status != 200) {
                ++figures.failed;
                return;
            }
            times.emplace_back(result.body.at("request").get<std::string>(), took);
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    const Usage after = usageOf(cluster.node("n1").pid());
    const std::map<std::string, Duration> own = ownTimes(cluster);
    for (const auto &[request, took] : times) {
        figures.added.push_back(took - own.at(request));
    }
    figures.perCoreSecond = total / std::chrono::duration<double>(after.cpuTime - before.cpuTime).count();
    return figures;
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

// Opens streams and reads their bytes without looking at them. One thread reads many: on the loopback device the sender
// pays for waking the reader, which it would not do for a caller on another machine.
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

struct StreamFigures {
    double tokensPerSecond = 0;
    double perCoreSecond = 0;
    double residentMegabytes = 0;
};

StreamFigures measureStreams(Cluster &cluster)
{
    const std::string address = cluster.callerAddress("n1");
    const TimePoint end = std::chrono::steady_clock::now() + StreamPhase + std::chrono::seconds(8);
    std::vector<std::thread> readers;
    for (std::size_t i = 0; i < Readers; ++i) {
        readers.emplace_back([&] {
            readStreams(address, Streams / Readers, end);
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(4)); // all streams run by now
    const pid_t pid = cluster.node("n1").pid();
    const auto tokensOf = [&cluster] {
        const std::string text = cluster.sendOperatorRequest("n1", "GET", "/metrics").body;
        const std::string name = "\nvanillanotch_tokens_total ";
        const auto at = text.find(name);
        return at == std::string::npos ? 0.0 : std::stod(text.substr(at + name.size()));
    };
    const double tokensBefore = tokensOf();
    const Usage before = usageOf(pid);
    const TimePoint began = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(StreamPhase);
    const Usage after = usageOf(pid);
    const double tokens = tokensOf() - tokensBefore;
    const double wall = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    for (std::thread &reader : readers) {
        reader.join();
    }
    StreamFigures figures;
    figures.tokensPerSecond = tokens / wall;
    figures.perCoreSecond = tokens / std::chrono::duration<double>(after.cpuTime - before.cpuTime).count();
    figures.residentMegabytes = after.residentMegabytes;
    return figures;
}
} // namespace

int runOverheadBenchmark(const std::string &streamWorkers)
{
    RequestFigures requests;
    {
        Cluster cluster("bench-requests");
        addServers(cluster, TokenTime, "512");
        cluster.addNode("n1");
        cluster.publishVms();
        cluster.apply("n1", wideConfiguration(cluster));
        cluster.awaitRevision(1, {"n1"});
        requests = measureRequests(cluster);
        requests.floor = measureFloor(cluster);
    }
    StreamFigures streams;
    {
        Cluster cluster("bench-streams");
        addServers(cluster, std::chrono::duration_cast<std::chrono::microseconds>(StreamTokenTime), "2000");
        cluster.addNode("n1", "dc1", "connections: 2000\nstream_workers: " + streamWorkers + "\n");
        cluster.publishVms();
        std::string yaml = wideConfiguration(cluster);
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
                milliseconds(quantile(requests.added, 0.5)), milliseconds(quantile(requests.added, 0.99)), milliseconds(quantile(requests.floor, 0.5)),
                requests.perCoreSecond, streams.perCoreSecond, streams.tokensPerSecond, streams.residentMegabytes, requests.failed);
    return requests.failed == 0 ? 0 : 1;
}

} // namespace vanillanotch::bench
