// Measures what the control plane (configuration, member table, reads of the platform) costs a node that serves no requests, and
// how this grows with the number of nodes, of backend servers and of client accounts.
#include "bench.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

namespace vanillanotch::bench
{

namespace
{
constexpr std::chrono::seconds IdlePhase{20};
constexpr const char *NodeSettings = "head_interval_ms: 2000\nexchange_interval_ms: 2000\nconnections: 64\nlog_level: warning\n";

struct Sample {
    int nodes = 0;
    int servers = 0;
    int accounts = 0;
    double corePercent = 0; // CPU use without requests and changes, mean of all nodes; 100 is one core
    double maxCorePercent = 0; // as corePercent, but of the node that uses most
    double residentMegabytes = 0; // mean of all nodes
    double bytesPerSecond = 0; // network traffic of one node, mean: bytes sent plus bytes received
    double platformReadsPerSecond = 0; // by all nodes together, without requests and changes
    double changeCoreMilliseconds = 0; // CPU time that one change of the configuration costs a node, mean
    Duration changeTime{}; // longest time, among the changes, from sending one until it is in force at two nodes: the middle and the last
};

// Bytes that the loopback device has received so far. Includes the traffic of any other process on the machine.
double loopbackBytes()
{
    std::ifstream file("/proc/net/dev");
    for (std::string line; std::getline(file, line);) {
        if (const auto position = line.find("lo:"); position != std::string::npos) {
            std::istringstream fields(line.substr(position + 3));
            double bytes = 0;
            fields >> bytes;
            return bytes;
        }
    }
    return 0;
}

constexpr int EntriesPerMerge = 500;

// Configuration document (YAML) with the backend servers and client accounts of the given ranges, for one merge (a change that adds
// entries).
std::string entriesYaml(int firstServer, int lastServer, int firstAccount, int lastAccount)
{
    std::string yaml = "backend_servers:\n";
    for (int i = firstServer; i < lastServer; ++i) {
        yaml += "  - {name: s" + std::to_string(i) + ", data_centre: dc1, address: \"10.0.0.1:" + std::to_string(1000 + i) + "\", capabilities: [model-"
            + std::to_string(i % 8) + "]}\n";
    }
    yaml += "client_accounts:\n";
    for (int i = firstAccount; i < lastAccount; ++i) {
        yaml += "  - {name: a" + std::to_string(i) + ", key_sha256: " + sha256Hex("key-" + std::to_string(i)) + "}\n";
    }
    return yaml;
}

std::string configurationYaml(int servers, int accounts)
{
    std::string yaml = "data_centres:\n  - {name: dc1, region: test}\nbackend_servers:\n";
    for (int i = 0; i < servers; ++i) {
        yaml += "  - {name: s" + std::to_string(i) + ", data_centre: dc1, address: \"10.0.0.1:" + std::to_string(1000 + i) + "\", capabilities: [model-"
            + std::to_string(i % 8) + "]}\n";
    }
    yaml += "pipelines:\n";
    for (int i = 0; i < 8; ++i) {
        yaml += "  - {name: p" + std::to_string(i) + ", stages: [{name: one, kind: service, capability: model-" + std::to_string(i) + "}]}\n";
    }
    yaml += "client_accounts:\n";
    for (int i = 0; i < accounts; ++i) {
        yaml += "  - {name: a" + std::to_string(i) + ", key_sha256: " + sha256Hex("key-" + std::to_string(i)) + "}\n";
    }
    return yaml + "presets:\n  - {name: ordinary}\n  - {name: peak}\npreset_in_force: ordinary\n";
}

double platformReads(const Cluster &cluster)
{
    return Json::parse(test::send(cluster.platformAddress(), "GET", "/counts").body).at("reads").get<double>();
}

// Applies the configuration in several changes, as operators do: first up to 100 backend servers and accounts each, then up to 500
// of each in every merge. Returns the revision after the last change; 0: a change was refused.
std::uint64_t applyInSteps(Cluster &cluster, const std::string &node, int servers, int accounts)
{
    const int first = std::min(100, servers);
    std::uint64_t revision = 1;
    if (cluster.apply(node, configurationYaml(first, std::min(first, accounts))).status != 200) {
        return 0;
    }
    for (int begin = first; begin < std::max(servers, accounts); begin += EntriesPerMerge) {
        const int end = begin + EntriesPerMerge;
        const std::string yaml = entriesYaml(std::min(begin, servers), std::min(end, servers), std::min(begin, accounts), std::min(end, accounts));
        if (cluster.sendOperatorRequest(node, "POST", "/v1/merge", yaml).status != 200) {
            return 0;
        }
        ++revision;
    }
    return revision;
}

Sample measure(int nodes, int servers, int accounts)
{
    Sample sample{nodes, servers, accounts};
    Cluster cluster("bench-control");
    for (int i = 0; i < nodes; ++i) {
        cluster.addNode("n" + std::to_string(1000 + i), "dc1", NodeSettings);
    }
    cluster.publishVms();
    const std::vector<std::string> names = cluster.nodeNames();
    const std::uint64_t revision = applyInSteps(cluster, names[0], servers, accounts);
    if (revision == 0 || !cluster.awaitRevision(revision, names)) {
        std::fprintf(stderr, "control: the configuration was refused or not in force at every node in time\n");
        return sample;
    }
    std::this_thread::sleep_for(std::chrono::seconds(20)); // by then every node knows all other nodes and connections are open
    std::vector<Usage> before;
    for (const std::string &name : names) {
        before.push_back(readUsage(cluster.node(name).pid()));
    }
    const double reads = platformReads(cluster);
    const double bytes = loopbackBytes();
    std::this_thread::sleep_for(IdlePhase);
    const double idleSeconds = std::chrono::duration<double>(IdlePhase).count();
    constexpr double SenderAndReceiver = 2; // each byte counts for both; includes TCP/IP headers and traffic to and from the platform
    sample.bytesPerSecond = SenderAndReceiver * (loopbackBytes() - bytes) / idleSeconds / nodes;
    sample.platformReadsPerSecond = (platformReads(cluster) - reads) / idleSeconds;
    for (std::size_t i = 0; i < names.size(); ++i) {
        const Usage after = readUsage(cluster.node(names[i]).pid());
        const double percent = 100 * std::chrono::duration<double>(after.cpuTime - before[i].cpuTime).count() / idleSeconds;
        sample.corePercent += percent / nodes;
        sample.maxCorePercent = std::max(sample.maxCorePercent, percent);
        sample.residentMegabytes += after.residentMegabytes / nodes;
    }
    constexpr int ChangeCount = 10;
    Duration cpuUsed{};
    for (const std::string &name : names) {
        cpuUsed -= readUsage(cluster.node(name).pid()).cpuTime;
    }
    for (int change = 0; change < ChangeCount; ++change) {
        const TimePoint sentAt = std::chrono::steady_clock::now();
        cluster.sendOperatorRequest(names[0], "POST", std::string("/v1/preset?name=") + (change % 2 == 0 ? "peak" : "ordinary"));
        cluster.awaitRevision(revision + static_cast<std::uint64_t>(change) + 1, {names.back(), names[names.size() / 2]});
        sample.changeTime = std::max(sample.changeTime, std::chrono::steady_clock::now() - sentAt);
    }
    for (const std::string &name : names) {
        cpuUsed += readUsage(cluster.node(name).pid()).cpuTime;
    }
    sample.changeCoreMilliseconds = millisecondCount(cpuUsed) / nodes / ChangeCount;
    return sample;
}

void print(const Sample &sample)
{
    std::printf("nodes=%d servers=%d accounts=%d core_percent=%.3f root_core_percent=%.3f rss_mb=%.1f bytes_per_s=%.0f platform_reads_per_s=%.2f "
                "change_core_ms=%.2f change_ms=%.1f\n",
                sample.nodes, sample.servers, sample.accounts, sample.corePercent, sample.maxCorePercent, sample.residentMegabytes, sample.bytesPerSecond,
                sample.platformReadsPerSecond, sample.changeCoreMilliseconds, millisecondCount(sample.changeTime));
    std::fflush(stdout);
}
} // namespace

int runControlPlaneBenchmark(int nodes, int servers, int accounts)
{
    if (nodes > 0) {
        print(measure(nodes, servers, accounts));
        return 0;
    }

    for (const int members : {5, 20, 60}) {
        print(measure(members, 100, 100));
    }
    for (const int entries : {1000, 4000}) {
        print(measure(10, entries, entries));
    }
    const Sample fullEntries = measure(20, 10000, 17000); // the largest number of entries; 20 nodes instead of the 117 of a data centre
    print(fullEntries);
    const Sample fullNodes = measure(117, 435, 100);
    print(fullNodes);
    std::printf("core_percent=%.3f root_core_percent=%.3f rss_mb=%.1f bytes_per_s=%.0f\n", fullNodes.corePercent, fullNodes.maxCorePercent,
                fullEntries.residentMegabytes, fullNodes.bytesPerSecond);
    return 0;
}

} // namespace vanillanotch::bench
