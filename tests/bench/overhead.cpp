// What the node adds to a request, and what it spends on requests and on streamed tokens.
#include "bench.h"

#include <algorithm>
#include <cstdio>
#include <thread>

namespace vanillanotch::bench
{

namespace
{
constexpr int RequestsPerSecond = 140;
constexpr std::chrono::seconds RequestPhase{10};
constexpr std::chrono::microseconds TokenTime{2000};
constexpr std::size_t Streams = 1000;
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
    double perCoreSecond = 0;
    std::size_t failed = 0;
};

// The stages' own time by request, as their servers measured it.
std::map<std::string, Duration> ownTimes(const Cluster &cluster)
{
    std::map<std::string, Duration> times;
    for (const test::LedgerLine &line : cluster.ledger()) {
        times[line.request] += line.took;
    }
    return times;
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
    figures.perCoreSecond = total / std::chrono::duration<double>(after.processor - before.processor).count();
    return figures;
}

// Reads a streamed answer's bytes without looking at them.
std::size_t drain(const std::string &address, int index, TimePoint end)
{
    const std::string body = Json{{"input", "stream " + std::to_string(index)}, {"deadline_ms", 60000}, {"stream", true}}.dump();
    const std::string request = "POST /v1/pipelines/stream HTTP/1.1\r\nHost: n1\r\nAuthorization: Bearer caller-key\r\nContent-Type: application/json\r\n"
                                "Content-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    std::array<char, 4096> buffer{};
    std::size_t bytes = 0;
    while (std::chrono::steady_clock::now() < end) {
        const int size = socket.receiveBytes(buffer.data(), buffer.size());
        if (size <= 0) {
            break;
        }
        bytes += static_cast<std::size_t>(size);
    }
    return bytes;
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
    for (std::size_t i = 0; i < Streams; ++i) {
        readers.emplace_back([&, i] {
            drain(address, static_cast<int>(i), end);
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds(4)); // all streams run by now
    const pid_t pid = cluster.node("n1").pid();
    const auto tokensOf = [&cluster] {
        const std::string text = cluster.operate("n1", "GET", "/metrics").body;
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
    figures.perCoreSecond = tokens / std::chrono::duration<double>(after.processor - before.processor).count();
    figures.residentMegabytes = after.residentMegabytes;
    return figures;
}
} // namespace

int overhead(const std::string &streamWorkers)
{
    RequestFigures requests;
    {
        Cluster cluster("bench-requests");
        addServers(cluster, TokenTime, "512");
        cluster.addNode("n1");
        cluster.registerVms();
        cluster.apply("n1", wideConfiguration(cluster));
        cluster.awaitRevision(1, {"n1"});
        requests = measureRequests(cluster);
    }
    StreamFigures streams;
    {
        Cluster cluster("bench-streams");
        addServers(cluster, std::chrono::duration_cast<std::chrono::microseconds>(StreamTokenTime), "2000");
        cluster.addNode("n1", "dc1", "connections: 2000\nstream_workers: " + streamWorkers + "\n");
        cluster.registerVms();
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
    std::printf("added_p50_ms=%.3f added_p99_ms=%.3f requests_per_core_s=%.0f tokens_per_core_s=%.0f tokens_per_s=%.0f stream_rss_mb=%.0f failed=%zu\n",
                milliseconds(quantile(requests.added, 0.5)), milliseconds(quantile(requests.added, 0.99)), requests.perCoreSecond, streams.perCoreSecond,
                streams.tokensPerSecond, streams.residentMegabytes, requests.failed);
    return requests.failed == 0 ? 0 : 1;
}

} // namespace vanillanotch::bench
