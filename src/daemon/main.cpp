// vanillanotchd: the daemon that runs on each entry VM.
#include "daemon/demo.h"
#include "daemon/node.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <malloc.h>

DEFINE_string(settings, "", "YAML file with this node's settings");
DEFINE_bool(check, false, "check the settings file and exit with status 0 when it is valid, else 2");
DEFINE_bool(demo, false, "run one node on an in-memory platform with sample backend servers inside the process");

namespace
{
using namespace vanillanotch;

constexpr int ExitUsage = 2;
constexpr int ExitFailure = 1;
// Largest number of malloc's arenas. With glibc's default, 8 for each core, the arenas would keep memory that was needed only while a large
// configuration was read.
constexpr int HeapArenas = 4;
// Blocks from this size on, bytes, are taken from the system one by one and given back when they are freed. Setting it also stops glibc from raising it with
// each larger block that is freed, after which bodies and answers would be kept in the arenas.
constexpr int MappedBlockBytes = 128 * 1024;

// Ignores SIGPIPE, and blocks the signals that the main thread takes by sigwait(). Returns the blocked signals. Call it before other threads
// start, because they inherit the mask.
sigset_t blockSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

std::optional<NodeSettings> readSettings(const std::string &path)
{
    const auto text = readFile(path);
    if (!text) {
        std::cerr << errorName(text.error().code) << ": " << text.error().detail << '\n';
        return std::nullopt;
    }
    auto settings = parseNodeSettingsYaml(*text, path);
    if (!settings) {
        std::cerr << describe(settings.error());
        return std::nullopt;
    }
    return *settings;
}

std::unique_ptr<Node> makeNode(const NodeSettings &settings, bool demo)
{
    auto metrics = std::make_unique<MetricsRegistry>();
    if (demo) {
        return std::make_unique<Node>(settings, makeMemoryPlatform(), makeSampleBackendChannel(), std::move(metrics));
    }
    PlatformSettings platform;
    platform.address = settings.platformAddress;
    platform.token = settings.platformToken;
    HttpClientSettings calls;
    calls.streamWorkers = settings.streamWorkers;
    auto channel = makeHttpBackendChannel(calls, *metrics);
    return std::make_unique<Node>(settings, makeHttpPlatform(platform), std::move(channel), std::move(metrics));
}

int run(const NodeSettings &settings, bool demo)
{
    const sigset_t signals = blockSignals();
    ::mallopt(M_ARENA_MAX, HeapArenas);
    ::mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
    initLog(settings.logLevel, settings.node);
    const std::unique_ptr<Node> node = makeNode(settings, demo);
    if (demo) {
        const auto accepted = node->configuration().replaceAll(demoEntries(), 0, "demo", "demo configuration");
        if (!accepted) {
            std::cerr << errorName(accepted.error().code) << ": " << accepted.error().detail << '\n';
            return ExitFailure;
        }
    }
    if (const auto started = node->start(); !started) {
        std::cerr << errorName(started.error().code) << ": " << started.error().detail << '\n';
        return ExitFailure;
    }
    std::cout << "listening callers=" << node->callerAddress() << " operators=" << node->operatorAddress() << " peers=" << node->peerAddress() << std::endl;
    logEvent(LogLevel::Info, "node.started", {{"data_centre", settings.dataCentre}, {"callers", node->callerAddress()}});
    int signal = 0;
    sigwait(&signals, &signal);
    node->stop();
    return 0;
}
} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("vanillanotchd --settings FILE [--check] | --demo");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1 || (FLAGS_settings.empty() && !FLAGS_demo)) {
        std::cerr << "usage: " << gflags::ProgramUsage() << '\n';
        return ExitUsage;
    }
    if (FLAGS_demo) {
        return run(demoSettings(), true);
    }
    const auto settings = readSettings(FLAGS_settings);
    if (!settings) {
        return ExitUsage;
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": valid\n";
        return 0;
    }
    return run(*settings, false);
}
