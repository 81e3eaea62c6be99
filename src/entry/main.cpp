// vanillanotch-entryd: the daemon that runs on each entry VM of an existing platform, which provides a store and a load balancer.
#include "entry/entry.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>

DEFINE_string(settings, "", "YAML file with this node's settings; default: the file that the environment variable VANILLANOTCH_CONFIG names");
DEFINE_bool(check, false, "check the settings file and exit with status 0 when it is valid, else 2");

namespace
{
using namespace vanillanotch;

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;
constexpr int HeapArenas = 2; // largest number of malloc's arenas; with glibc's default of 8 for each core, arenas would keep memory that nobody uses
// Blocks of this many bytes and more are returned to the system when they are freed; stated, since otherwise glibc raises its default of 128 KB to the
// size of the largest freed block. Half of the default, since growing bodies leave blocks of each size behind. malloc_trim() returns smaller ones.
constexpr int MappedBlock = 64 * 1024;

// Ignores SIGPIPE, and blocks the signals that the main thread takes by sigwait(). Returns the blocked signals. Call it before other threads
// start, because they inherit the mask.
sigset_t blockSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&signals, signal);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

std::string settingsPath()
{
    const char *fromEnvironment = std::getenv("VANILLANOTCH_CONFIG");
    return !FLAGS_settings.empty() ? FLAGS_settings : fromEnvironment == nullptr ? std::string() : std::string(fromEnvironment);
}

tl::expected<EntrySettings, std::string> readSettings(const std::string &path)
{
    const auto text = readFile(path);
    if (!text) {
        return tl::unexpected(std::string(errorName(text.error().code)) + ": " + text.error().detail + "\n");
    }
    auto settings = parseEntrySettingsYaml(*text, path);
    if (!settings) {
        return tl::unexpected(describe(settings.error()));
    }
    return *settings;
}

// Called on SIGHUP: checks the settings file and logs the result. Changed settings take effect only at the next start, since the addresses of
// a running node can't change.
void recheckSettings(const std::string &path)
{
    const auto settings = readSettings(path);
    if (!settings) {
        logEvent(LogLevel::Error, "settings.invalid", {{"code", ErrorCode::InvalidSettings}, {"detail", settings.error()}});
        return;
    }
    logEvent(LogLevel::Info, "settings.reread", {{"file", path}});
}

int run(const EntrySettings &settings, const std::string &path)
{
    const sigset_t signals = blockSignals();
    ::mallopt(M_ARENA_MAX, HeapArenas);
    ::mallopt(M_MMAP_THRESHOLD, MappedBlock);
    auto log = std::make_unique<BufferedLog>(settings.logLevel, settings.node);
    const auto node = std::make_unique<EntryNode>(settings);
    if (const auto started = node->start(); !started) {
        logEvent(LogLevel::Error, "node.start_failed", {{"code", started.error().code}, {"detail", started.error().detail}});
        log.reset();
        std::_Exit(ExitFailure);
    }
    logEvent(LogLevel::Info, "node.started", {{"data_centre", settings.dataCentre}, {"callers", settings.callerAddress}});
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal == SIGHUP) {
        recheckSettings(path);
    }
    node->stop();
    log.reset(); // writes the lines that are still buffered
    std::_Exit(0); // ends the process without waiting for requests that still run when stop() returns
}
} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("vanillanotch-entryd [--settings FILE] [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string path = settingsPath();
    if (argc > 1 || path.empty()) {
        std::cerr << "usage: " << gflags::ProgramUsage() << '\n';
        return ExitUsage;
    }
    const auto settings = readSettings(path);
    if (!settings) {
        std::cerr << settings.error();
        return ExitUsage;
    }
    if (FLAGS_check) {
        std::cout << path << ": valid\n";
        return 0;
    }
    return run(*settings, path);
}
