// vanillanotch-entryd: the daemon of an entry VM on the users' platform.
#include "entry/entry.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>

DEFINE_string(settings, "", "YAML file with this node's settings; default: what VANILLANOTCH_CONFIG names");
DEFINE_bool(check, false, "check the settings file and exit: 0 valid, 2 not");

namespace
{
using namespace vanillanotch;

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;
constexpr int HeapArenas = 2; // one for each thread would keep memory that nobody uses

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
    const char *named = std::getenv("VANILLANOTCH_CONFIG");
    return !FLAGS_settings.empty() ? FLAGS_settings : named == nullptr ? std::string() : std::string(named);
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

// Checks the changed file. What is in it takes effect at the next start: a running node's addresses can't change.
void reload(const std::string &path)
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
        reload(path);
    }
    node->stop();
    log.reset(); // writes what is left
    std::_Exit(0); // without waiting for requests that have outlived the limit
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
