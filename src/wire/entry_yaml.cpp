// The settings file of vanillanotch-entryd.
#include "wire/yaml_reader.h"

namespace vanillanotch
{

namespace
{
// Reads a member whose value must be one of the allowed words.
void readOneOf(YamlMapping &document, const std::string &name, std::string &value, const std::vector<std::string> &allowed)
{
    document.read(name, value);
    std::string list;
    for (const std::string &word : allowed) {
        if (word == value) {
            return;
        }
        list += (list.empty() ? "" : ", ") + word;
    }
    document.problems().add(document.markOf(name), name, "expected one of " + list);
}
} // namespace

tl::expected<EntrySettings, std::vector<FileProblem>> parseEntrySettingsYaml(const std::string &text, const std::string &file)
{
    using std::chrono::milliseconds;
    YamlProblems problems(file);
    const auto root = parseYaml(text, problems);
    if (!root) {
        return tl::unexpected(problems.takeList());
    }
    EntrySettings settings;
    YamlMapping document(*root, "", problems);
    document.read("node", settings.node, true);
    document.read("data_centre", settings.dataCentre, true);
    document.read("regions", settings.regions);
    document.read("caller_address", settings.callerAddress, true);
    document.read("readiness_address", settings.readinessAddress, true);
    document.read("peer_address", settings.peerAddress, true);
    document.read("store_address", settings.storeAddress, true);
    document.read("cores", settings.cores, 0.01, 1024);
    document.read("link_mbps", settings.linkMbps, 0, 1e7);
    document.read("memory_mb", settings.memoryMb, 64, 1e6);
    document.read("max_descriptors", settings.maxDescriptors, 128, 1e7);
    document.readEitherUnit("revocation_bound", settings.revocationBound, milliseconds(100), milliseconds(600000));
    document.readEitherUnit("recovery_bound", settings.recoveryBound, milliseconds(500), milliseconds(600000));
    document.readEitherUnit("drain_bound", settings.drainBound, milliseconds(100), milliseconds(600000));
    document.readEitherUnit("restore", settings.restoreDuration, milliseconds(0), milliseconds(60000));
    document.readEitherUnit("stop_limit", settings.stopLimit, milliseconds(100), milliseconds(600000));
    document.readEitherUnit("retry_window", settings.retryWindow, milliseconds(100), milliseconds(600000));
    document.read("retry_ratio", settings.retryRatio, 0, 10);
    document.read("retry_extra", settings.retryExtra, 0, 1e9);
    readOneOf(document, "stage_sharing", settings.stageSharing, {"each_node", "owners", "owner_groups"});
    readOneOf(document, "engine_choice", settings.engineChoice, {"prompt_home", "shortest_time", "least_outstanding"});
    settings.logLevel = readLogLevel(document);
    document.reportUnknownMembers();
    if (!problems.empty()) {
        return tl::unexpected(problems.takeList());
    }
    return settings;
}

} // namespace vanillanotch
