// vanillanotch configuration library: what operators declare, revision by revision.
//
// Index of sections:
//   [ENTRIES]        typed entries: data centres, backend servers, pipelines, client accounts, presets
//   [CHANGES]        Change: one accepted step from a revision to the next
//   [CONFIGURATION]  Configuration: an immutable, valid snapshot
//   [TABLE]          ConfigurationTable: the snapshot in force at this node
//   [STORE]          ConfigurationStore: the accepted changes, kept by the platform
//   [SERVICE]        ConfigurationService: accepts operators' changes, catches up with the store
//
// Rules this aggregate enforces:
//   - a configuration is valid as a whole or it isn't accepted;
//   - the revision in force never falls;
//   - exactly one preset is in force.
#pragma once

#include "base/base.h"

#include <optional>
#include <set>
#include <tuple>
#include <variant>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [ENTRIES]
//-----------------------------------------------------------------------------

using Revision = std::uint64_t;

enum class StageKind { Encoding, Retrieval, Reranking, Generation, Service };

std::string_view stageKindName(StageKind kind);
std::optional<StageKind> stageKindFromName(std::string_view name);

struct DataCentreSpec {
    std::string name;
    std::string region;
    std::chrono::microseconds oneWayDelay{1500}; // to the other data centres of its region
};

struct BackendServerSpec {
    std::string name;
    std::string dataCentre;
    std::string address; // IP:port
    std::set<std::string> capabilities; // for example "model:rota-bn" or "service:payout"
    unsigned concurrency = 8; // calls it runs at the same time
    double pricePerSecond = 0; // cost units for a second of service time
    bool checksFencing = true; // refuses orders with an old fencing number
    bool draining = false; // true: gets no new work
    std::string wantedModel; // engines: the model to be loaded; empty: no orders are given
};

struct StageSpec {
    std::string name;
    StageKind kind = StageKind::Service;
    std::string capability; // a server is fit for the stage when it has this capability
    std::string path; // HTTP path; empty: the usual one for the kind
    std::string model; // passed on to model engines
    std::chrono::milliseconds typicalTime{200}; // used until times have been measured
    bool idempotent = true; // false: runs at most once for an idempotency key
    bool keepResult = false; // true: the result goes to the object store and survives the node
    unsigned maxTokens = 128; // generation only
};

struct PipelineSpec {
    std::string name;
    std::vector<StageSpec> stages;
    std::chrono::milliseconds deadlineLimit{12000}; // the longest deadline a caller may ask for
    bool recordAnswer = false; // true: the first answer for a key is given again

    const StageSpec *nonIdempotentStage() const; // nullptr when every stage may be repeated
    bool needsIdempotencyKey() const; // non-idempotent, kept or recorded
};

struct ClientAccountSpec {
    std::string name;
    std::string keyDigest; // SHA-256 of the API key, hexadecimal
    double requestsPerSecond = 10;
    unsigned burst = 20; // requests
    unsigned concurrency = 64; // requests in flight at one node
    std::set<std::string> pipelines; // empty: all
};

struct PresetSpec {
    std::string name;
    double costWeight = 0.2; // 0: attainment only, 1: cheapest server that meets the deadline
    double retryShare = 0.1; // retries allowed for each recent first attempt
    double admissionMargin = 1.0; // expected time is multiplied by this before the deadline check
    double accountShare = 1.0; // multiplies every account's rate
};

struct PresetInForce {
    std::string preset;
};

using EntryBody = std::variant<DataCentreSpec, BackendServerSpec, PipelineSpec, ClientAccountSpec, PresetSpec, PresetInForce>;

// In the order of EntryBody's alternatives.
enum class EntryKind { DataCentre, BackendServer, Pipeline, ClientAccount, Preset, PresetInForce };

std::string_view entryKindName(EntryKind kind);
std::optional<EntryKind> entryKindFromName(std::string_view name);

struct EntryKey {
    EntryKind kind = EntryKind::DataCentre;
    std::string name;

    bool operator<(const EntryKey &other) const
    {
        return std::tie(kind, name) < std::tie(other.kind, other.name);
    }
    bool operator==(const EntryKey &other) const
    {
        return kind == other.kind && name == other.name;
    }
};

struct Entry {
    EntryBody body;

    EntryKey key() const; // PresetInForce has the name "in_force"
};

//-----------------------------------------------------------------------------
// [CHANGES]
//-----------------------------------------------------------------------------

struct Change {
    Revision revision = 0; // the revision this change makes
    std::string id; // random; tells one's own change from another's after a lost answer
    std::vector<Entry> upserts;
    std::vector<EntryKey> deletes;
    std::string author; // operator's name, for the audit trail
    std::string summary; // one line, for the audit trail
    WallTime acceptedAt{};
};

// One thing wrong with a configuration.
struct Violation {
    std::string entry; // for example "pipeline/rota"
    std::string member; // for example "stages[1].capability"
    std::string problem; // what is wrong and what is allowed
};

std::string describe(const std::vector<Violation> &violations);

//-----------------------------------------------------------------------------
// [CONFIGURATION]
//-----------------------------------------------------------------------------

template<typename T>
struct SharedMap : RefCounted<SharedMap<T>> {
    std::map<std::string, T> items;
};

class Configuration;
using ConfigurationRef = Ref<const Configuration>;

// An immutable, valid snapshot. Snapshots share the kinds of entry that a change leaves alone.
class Configuration : public RefCounted<Configuration>
{
public:
    // Violations when the entries don't make a valid whole.
    static tl::expected<ConfigurationRef, std::vector<Violation>> build(Revision revision, const std::vector<Entry> &entries);
    // The revision must be this one's successor.
    tl::expected<ConfigurationRef, std::vector<Violation>> apply(const Change &change) const;
    static ConfigurationRef empty(); // revision 0, never in force for requests

    Revision revision() const
    {
        return m_revision;
    }
    const std::map<std::string, DataCentreSpec> &dataCentres() const;
    const std::map<std::string, BackendServerSpec> &backendServers() const;
    const std::map<std::string, PipelineSpec> &pipelines() const;
    const std::map<std::string, ClientAccountSpec> &accounts() const;
    const std::map<std::string, PresetSpec> &presets() const;
    const PresetSpec &preset() const; // the one in force
    const PipelineSpec *findPipeline(const std::string &name) const; // nullptr: none
    const ClientAccountSpec *findAccountByKeyDigest(const std::string &digest) const; // nullptr: none
    const std::vector<std::string> &serversWith(const std::string &capability) const; // sorted names
    std::vector<Entry> entries() const; // in order of key
    bool contains(const EntryKey &key) const;

private:
    Configuration() = default;
    static Ref<Configuration> blank(Revision revision); // no entries
    void index(bool serversChanged, bool accountsChanged);
    std::vector<Violation> validate() const;

    Revision m_revision = 0;
    Ref<SharedMap<DataCentreSpec>> m_dataCentres;
    Ref<SharedMap<BackendServerSpec>> m_backendServers;
    Ref<SharedMap<PipelineSpec>> m_pipelines;
    Ref<SharedMap<ClientAccountSpec>> m_accounts;
    Ref<SharedMap<PresetSpec>> m_presets;
    std::string m_presetInForce;
    Ref<SharedMap<std::vector<std::string>>> m_byCapability;
    Ref<SharedMap<std::string>> m_accountByDigest;
};

// The change that leads from one configuration to the wanted entries; empty when they are equal.
Change difference(const Configuration &from, const std::vector<Entry> &wanted);

//-----------------------------------------------------------------------------
// [TABLE]
//-----------------------------------------------------------------------------

// The snapshot in force, and the last changes for peers that are behind. Thread-safe.
class ConfigurationTable
{
public:
    static constexpr std::size_t MaxRecentChanges = 512; // at 21,000 changes a day about 35 minutes
    static constexpr std::size_t MaxRecentEntries = 4096; // in all changes held; a larger one is for the snapshot

    ConfigurationTable();
    ConfigurationRef current() const; // never null
    bool ready() const; // a configuration is in force
    // False when the revision isn't above the one in force.
    bool install(const ConfigurationRef &configuration);
    // Installs the change when it's the successor and valid. Result: the revision in force after the call.
    Result<Revision> install(const Change &change);
    // The changes after `revision`, oldest first; nullopt when they are no longer held.
    std::optional<std::vector<Change>> changesSince(Revision revision) const;
    // Called after each new revision, on the installing thread, without a lock held.
    void setInstalledListener(std::function<void(const ConfigurationRef &)> listener);

private:
    void notify(const ConfigurationRef &configuration);
    void rememberLocked(const Change &change);

    mutable RankedMutex m_mutex{LockRank::Configuration};
    ConfigurationRef m_current;
    std::deque<Change> m_recent;
    std::size_t m_recentEntries = 0;
    std::vector<std::function<void(const ConfigurationRef &)>> m_listeners;
};

//-----------------------------------------------------------------------------
// [STORE]
//-----------------------------------------------------------------------------

// The log of accepted changes. Errors as of Table.
class ConfigurationStore
{
public:
    virtual ~ConfigurationStore() = default;
    virtual Result<Revision> readHead() = 0; // 0: nothing was accepted so far
    virtual Result<std::vector<Change>> readChanges(Revision after, std::size_t limit) = 0; // in order
    // Takes effect only when the head is change.revision - 1; ConditionFailed otherwise.
    virtual Result<void> commit(const Change &change) = 0;
    // A snapshot spares a starting node the log before it. ObjectNotFound: none so far.
    virtual Result<std::pair<Revision, std::vector<Entry>>> readSnapshot() = 0;
    virtual Result<void> writeSnapshot(Revision revision, const std::vector<Entry> &entries) = 0;
};

//-----------------------------------------------------------------------------
// [SERVICE]
//-----------------------------------------------------------------------------

struct ChangeOutcome {
    Revision revision = 0; // in force after the call
    bool changed = false; // false: there was nothing to change
    std::size_t entries = 0; // upserts and deletes
};

class ConfigurationService
{
public:
    static constexpr Revision SnapshotInterval = 64; // changes between two snapshots
    static constexpr std::size_t ReadLimit = 256; // changes in one read

    ConfigurationService(ConfigurationStore &store, ConfigurationTable &table, const Clock &clock);
    // Makes `wanted` the whole configuration. `base`: the revision the operator saw; 0: whatever is in force.
    // InvalidConfiguration, RevisionConflict (detail: the revision it lost to), PlatformUnavailable.
    Result<ChangeOutcome> replaceAll(const std::vector<Entry> &wanted, Revision base, const std::string &author, const std::string &summary);
    // Adds or replaces the given entries and leaves the others.
    Result<ChangeOutcome> merge(const std::vector<Entry> &upserts, const std::string &author, const std::string &summary);
    Result<ChangeOutcome> remove(const EntryKey &key, const std::string &author);
    Result<ChangeOutcome> usePreset(const std::string &preset, const std::string &author);
    Result<ChangeOutcome> setDraining(const std::string &server, bool draining, const std::string &author);
    // Reads what the store has above the revision in force. Result: the revision in force afterwards.
    Result<Revision> catchUp();
    Result<std::vector<Change>> auditTrail(Revision after, std::size_t limit); // the accepted changes, in order

private:
    Result<ChangeOutcome> accept(Change change, const ConfigurationRef &base);
    Result<ChangeOutcome> upsertOne(Entry entry, const ConfigurationRef &base, const std::string &author, const std::string &summary);
    Result<void> settle(const Change &change); // after a lost answer
    Result<void> loadSnapshot();

    ConfigurationStore &m_store;
    ConfigurationTable &m_table;
    const Clock &m_clock;
};

} // namespace vanillanotch
