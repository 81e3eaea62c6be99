// Configuration documents and the settings file of vanillanotchd.
//
// Index of sections: [FILES] [CONFIGURATION] [WRITE] [SETTINGS]
#include "wire/wire.h"
#include "wire/yaml_reader.h"

#include <fstream>
#include <sstream>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [FILES]
//-----------------------------------------------------------------------------

std::string describe(const std::vector<FileProblem> &problems)
{
    std::string text;
    for (const FileProblem &problem : problems) {
        text += problem.file + ":" + std::to_string(problem.line) + ": ";
        text += problem.path.empty() ? "" : problem.path + ": ";
        text += problem.message + "\n";
    }
    return text;
}

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        return fail(ErrorCode::FileUnreadable, path);
    }
    return text.str();
}

namespace
{
//-----------------------------------------------------------------------------
// [CONFIGURATION]
//-----------------------------------------------------------------------------

constexpr std::chrono::milliseconds MaxDeadline = std::chrono::minutes(10); // largest deadline_limit_ms and typical_ms

// Position of each entry in the document, so that a violation found by checkConfiguration() can name its line.
struct EntryPositions {
    std::map<std::string, YAML::Mark> byEntry; // key: KIND/NAME
};

std::string itemName(const std::string &list, std::size_t index)
{
    return list + "[" + std::to_string(index) + "]";
}

DataCentreSpec readDataCentre(YamlMapping &mapping)
{
    DataCentreSpec spec;
    mapping.read("name", spec.name, true);
    mapping.read("region", spec.region, true);
    using Milliseconds = std::chrono::duration<double, std::milli>;
    double milliseconds = Milliseconds(spec.oneWayDelay).count();
    mapping.read("one_way_delay_ms", milliseconds, 0, 1000);
    spec.oneWayDelay = std::chrono::duration_cast<std::chrono::microseconds>(Milliseconds(milliseconds));
    return spec;
}

BackendServerSpec readServer(YamlMapping &mapping)
{
    BackendServerSpec spec;
    mapping.read("name", spec.name, true);
    mapping.read("data_centre", spec.dataCentre, true);
    mapping.read("address", spec.address, true);
    mapping.read("capabilities", spec.capabilities);
    mapping.read("concurrency", spec.concurrency, 1, 100000);
    mapping.read("price_per_second", spec.pricePerSecond, 0, 1e9);
    mapping.read("checks_fencing", spec.checksFencing);
    mapping.read("draining", spec.draining);
    mapping.read("wanted_model", spec.wantedModel);
    mapping.read("software_version", spec.softwareVersion);
    return spec;
}

StageSpec readStage(const YAML::Node &node, const std::string &mappingPath, YamlProblems &problems)
{
    YamlMapping mapping(node, mappingPath, problems);
    StageSpec spec;
    std::string kind;
    mapping.read("name", spec.name, true);
    mapping.read("kind", kind, true);
    if (const auto known = stageKindFromName(kind)) {
        spec.kind = *known;
    } else if (!kind.empty()) {
        problems.add(mapping.markOf("kind"), mapping.pathOf("kind"), "must be one of encoding, retrieval, reranking, generation, service");
    }
    mapping.read("capability", spec.capability, true);
    mapping.read("path", spec.path);
    mapping.read("model", spec.model);
    mapping.read("typical_ms", spec.typicalTime, std::chrono::milliseconds(1), MaxDeadline);
    mapping.read("idempotent", spec.idempotent);
    mapping.read("keep_result", spec.keepResult);
    mapping.read("max_tokens", spec.maxTokens, 1, 1000000);
    mapping.reportUnknownMembers();
    return spec;
}

PipelineSpec readPipeline(YamlMapping &mapping)
{
    PipelineSpec spec;
    mapping.read("name", spec.name, true);
    mapping.read("deadline_limit_ms", spec.deadlineLimit, std::chrono::milliseconds(1), MaxDeadline);
    mapping.read("record_answer", spec.recordAnswer);
    const YAML::Node stages = mapping.sequence("stages", true);
    if (stages.IsDefined()) {
        for (std::size_t i = 0; i < stages.size(); ++i) {
            spec.stages.push_back(readStage(stages[i], mapping.pathOf(itemName("stages", i)), mapping.problems()));
        }
    }
    return spec;
}

ClientAccountSpec readAccount(YamlMapping &mapping)
{
    ClientAccountSpec spec;
    mapping.read("name", spec.name, true);
    mapping.read("key_sha256", spec.keyDigest, true);
    mapping.read("requests_per_second", spec.requestsPerSecond, 0.0001, 1e6);
    mapping.read("burst", spec.burst, 1, 1000000);
    mapping.read("concurrency", spec.concurrency, 1, 1000000);
    mapping.read("pipelines", spec.pipelines);
    return spec;
}

PresetSpec readPreset(YamlMapping &mapping)
{
    PresetSpec spec;
    mapping.read("name", spec.name, true);
    mapping.read("cost_weight", spec.costWeight, 0, 1);
    mapping.read("retry_share", spec.retryShare, 0, 1);
    mapping.read("admission_margin", spec.admissionMargin, 0.01, 10);
    mapping.read("account_share", spec.accountShare, 0.01, 10);
    return spec;
}

template<typename Reader>
void readList(YamlMapping &document, const std::string &name, bool required, const Reader &reader, std::vector<Entry> &entries, EntryPositions &positions)
{
    const YAML::Node list = document.sequence(name, required);
    if (!list.IsDefined()) {
        return;
    }
    for (std::size_t i = 0; i < list.size(); ++i) {
        YamlMapping mapping(list[i], itemName(name, i), document.problems());
        Entry entry{reader(mapping)};
        mapping.reportUnknownMembers();
        const EntryKey key = entry.key();
        const std::string id = std::string(entryKindName(key.kind)) + "/" + key.name;
        if (!positions.byEntry.emplace(id, list[i].Mark()).second) {
            document.problems().add(list[i].Mark(), itemName(name, i), "the name '" + key.name + "' must be unique in this list, but an earlier entry has it");
        }
        entries.push_back(std::move(entry));
    }
}

std::vector<Entry> readLists(YamlMapping &document, bool required, EntryPositions &positions)
{
    std::vector<Entry> entries;
    readList(document, "data_centres", required, readDataCentre, entries, positions);
    readList(document, "backend_servers", required, readServer, entries, positions);
    readList(document, "pipelines", required, readPipeline, entries, positions);
    readList(document, "client_accounts", required, readAccount, entries, positions);
    readList(document, "presets", required, readPreset, entries, positions);
    return entries;
}

// Adds a problem for each rule that the entries, or the references between them, break. Configuration::build() does the
// checks; the revision number that is passed to it, 1, has no influence on them.
void checkConfiguration(const std::vector<Entry> &entries, const EntryPositions &positions, YamlProblems &problems)
{
    const auto built = Configuration::build(1, entries);
    if (built) {
        return;
    }
    for (const Violation &violation : built.error()) {
        const auto found = positions.byEntry.find(violation.entry);
        const YAML::Mark mark = found == positions.byEntry.end() ? YAML::Mark() : found->second;
        problems.add(mark, violation.entry + (violation.member.empty() ? "" : "." + violation.member), violation.problem);
    }
}
} // namespace

tl::expected<std::vector<Entry>, std::vector<FileProblem>> parseEntriesYaml(const std::string &text, const std::string &file)
{
    YamlProblems problems(file);
    const auto root = parseYaml(text, problems);
    if (!root) {
        return tl::unexpected(problems.takeList());
    }
    EntryPositions positions;
    YamlMapping document(*root, "", problems);
    std::vector<Entry> entries = readLists(document, false, positions);
    document.reportUnknownMembers();
    if (!problems.empty()) {
        return tl::unexpected(problems.takeList());
    }
    return entries;
}

tl::expected<std::vector<Entry>, std::vector<FileProblem>> parseConfigurationYaml(const std::string &text, const std::string &file)
{
    YamlProblems problems(file);
    const auto root = parseYaml(text, problems);
    if (!root) {
        return tl::unexpected(problems.takeList());
    }
    EntryPositions positions;
    YamlMapping document(*root, "", problems);
    std::vector<Entry> entries = readLists(document, true, positions);
    PresetInForce inForce;
    document.read("preset_in_force", inForce.preset, true);
    positions.byEntry["preset_in_force"] = document.markOf("preset_in_force");
    entries.push_back(Entry{inForce});
    document.reportUnknownMembers();
    if (problems.empty()) { // only when all entries were read: references to an entry that could not be read would look invalid
        checkConfiguration(entries, positions, problems);
    }
    if (!problems.empty()) {
        return tl::unexpected(problems.takeList());
    }
    return entries;
}

//-----------------------------------------------------------------------------
// [WRITE]
//-----------------------------------------------------------------------------

namespace
{
void writeSet(YAML::Emitter &out, const char *name, const std::set<std::string> &values)
{
    out << YAML::Key << name << YAML::Value << YAML::Flow << YAML::BeginSeq;
    for (const std::string &value : values) {
        out << value;
    }
    out << YAML::EndSeq;
}

template<typename T>
void writeMember(YAML::Emitter &out, const char *name, const T &value)
{
    out << YAML::Key << name << YAML::Value << value;
}

void writeSpec(YAML::Emitter &out, const DataCentreSpec &spec)
{
    writeMember(out, "name", spec.name);
    writeMember(out, "region", spec.region);
    writeMember(out, "one_way_delay_ms", static_cast<double>(spec.oneWayDelay.count()) / 1000);
}

void writeSpec(YAML::Emitter &out, const BackendServerSpec &spec)
{
    writeMember(out, "name", spec.name);
    writeMember(out, "data_centre", spec.dataCentre);
    writeMember(out, "address", spec.address);
    writeSet(out, "capabilities", spec.capabilities);
    writeMember(out, "concurrency", spec.concurrency);
    writeMember(out, "price_per_second", spec.pricePerSecond);
    writeMember(out, "checks_fencing", spec.checksFencing);
    writeMember(out, "draining", spec.draining);
    writeMember(out, "wanted_model", spec.wantedModel);
    writeMember(out, "software_version", spec.softwareVersion);
}

void writeSpec(YAML::Emitter &out, const PipelineSpec &spec)
{
    writeMember(out, "name", spec.name);
    writeMember(out, "deadline_limit_ms", spec.deadlineLimit.count());
    writeMember(out, "record_answer", spec.recordAnswer);
    out << YAML::Key << "stages" << YAML::Value << YAML::BeginSeq;
    for (const StageSpec &stage : spec.stages) {
        out << YAML::BeginMap;
        writeMember(out, "name", stage.name);
        writeMember(out, "kind", std::string(stageKindName(stage.kind)));
        writeMember(out, "capability", stage.capability);
        writeMember(out, "path", stage.path);
        writeMember(out, "model", stage.model);
        writeMember(out, "typical_ms", stage.typicalTime.count());
        writeMember(out, "idempotent", stage.idempotent);
        writeMember(out, "keep_result", stage.keepResult);
        writeMember(out, "max_tokens", stage.maxTokens);
        out << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

void writeSpec(YAML::Emitter &out, const ClientAccountSpec &spec)
{
    writeMember(out, "name", spec.name);
    writeMember(out, "key_sha256", spec.keyDigest);
    writeMember(out, "requests_per_second", spec.requestsPerSecond);
    writeMember(out, "burst", spec.burst);
    writeMember(out, "concurrency", spec.concurrency);
    writeSet(out, "pipelines", spec.pipelines);
}

void writeSpec(YAML::Emitter &out, const PresetSpec &spec)
{
    writeMember(out, "name", spec.name);
    writeMember(out, "cost_weight", spec.costWeight);
    writeMember(out, "retry_share", spec.retryShare);
    writeMember(out, "admission_margin", spec.admissionMargin);
    writeMember(out, "account_share", spec.accountShare);
}

template<typename T>
void writeList(YAML::Emitter &out, const char *name, const std::vector<Entry> &entries)
{
    out << YAML::Key << name << YAML::Value << YAML::BeginSeq;
    for (const Entry &entry : entries) {
        if (const T *spec = std::get_if<T>(&entry.body)) {
            out << YAML::BeginMap;
            writeSpec(out, *spec);
            out << YAML::EndMap;
        }
    }
    out << YAML::EndSeq;
}
} // namespace

std::string writeConfigurationYaml(const std::vector<Entry> &entries)
{
    YAML::Emitter out;
    out << YAML::BeginMap;
    writeList<DataCentreSpec>(out, "data_centres", entries);
    writeList<BackendServerSpec>(out, "backend_servers", entries);
    writeList<PipelineSpec>(out, "pipelines", entries);
    writeList<ClientAccountSpec>(out, "client_accounts", entries);
    writeList<PresetSpec>(out, "presets", entries);
    for (const Entry &entry : entries) {
        if (const auto *inForce = std::get_if<PresetInForce>(&entry.body)) {
            writeMember(out, "preset_in_force", inForce->preset);
        }
    }
    out << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

//-----------------------------------------------------------------------------
// [SETTINGS]
//-----------------------------------------------------------------------------

namespace
{
constexpr std::size_t MinSecretLength = 16; // characters
constexpr unsigned MinCallerMemoryMib = 16;
constexpr std::size_t DigestLength = 64; // hexadecimal digits

void checkSettings(const NodeSettings &settings, YamlMapping &document)
{
    const auto check = [&document](bool valid, const std::string &name, const std::string &message) {
        if (!valid) {
            document.problems().add(document.markOf(name), name, message);
        }
    };
    check(settings.peerSecret.size() >= MinSecretLength, "peer_secret", "expected 16 characters or more");
    check(settings.operatorKeyDigest.size() == DigestLength, "operator_key_sha256", "expected 64 hexadecimal digits");
    check(settings.callerMemoryMib == 0 || settings.callerMemoryMib >= MinCallerMemoryMib, "caller_memory_mib",
          "expected 0 or at least 16: the largest request takes 9 MiB of the three quarters that requests of its size may use");
    check(makeRouting(settings.routing) != nullptr, "routing", "expected one of deadline_cost, round_robin, least_outstanding");
}

} // namespace

tl::expected<NodeSettings, std::vector<FileProblem>> parseNodeSettingsYaml(const std::string &text, const std::string &file)
{
    using std::chrono::milliseconds;
    YamlProblems problems(file);
    const auto root = parseYaml(text, problems);
    if (!root) {
        return tl::unexpected(problems.takeList());
    }
    NodeSettings settings;
    YamlMapping document(*root, "", problems);
    document.read("node", settings.node, true);
    document.read("data_centre", settings.dataCentre, true);
    document.read("caller_address", settings.callerAddress);
    document.read("operator_address", settings.operatorAddress);
    document.read("peer_address", settings.peerAddress);
    document.read("advertise_address", settings.advertiseAddress);
    document.read("platform_address", settings.platformAddress, true);
    document.read("seeds", settings.seeds);
    document.read("platform_token", settings.platformToken);
    document.read("operator_key_sha256", settings.operatorKeyDigest, true);
    document.read("peer_secret", settings.peerSecret, true);
    document.read("routing", settings.routing);
    document.read("workers", settings.workers, 2, 1024);
    document.read("stream_workers", settings.streamWorkers, 0, 64);
    document.read("connections", settings.connections, 8, 16384);
    document.read("read_limit_ms", settings.readLimit, milliseconds(100), milliseconds(600000));
    document.read("send_limit_ms", settings.sendLimit, milliseconds(100), milliseconds(600000));
    document.read("max_head_kib", settings.maxHeadKib, 16, 1024);
    document.read("caller_memory_mib", settings.callerMemoryMib, 0, 1024 * 1024);
    document.read("head_interval_ms", settings.headInterval, milliseconds(50), milliseconds(60000));
    document.read("exchange_interval_ms", settings.exchangeInterval, milliseconds(50), milliseconds(60000));
    document.read("balancer_grace_ms", settings.balancerGrace, milliseconds(0), milliseconds(600000));
    document.read("drain_limit_ms", settings.drainLimit, milliseconds(0), milliseconds(600000));
    document.read("duty_lease_ms", settings.dutyLease, milliseconds(500), milliseconds(600000));
    document.read("duty_margin_ms", settings.dutyMargin, milliseconds(100), milliseconds(60000));
    document.read("roots", settings.roots, 1, 64);
    document.read("fan_out", settings.fanOut, 1, 64);
    settings.logLevel = readLogLevel(document);
    document.reportUnknownMembers();
    checkSettings(settings, document);
    if (!problems.empty()) {
        return tl::unexpected(problems.takeList());
    }
    return settings;
}

} // namespace vanillanotch
