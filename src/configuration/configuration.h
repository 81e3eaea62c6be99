// vanillanotch configuration library: the configuration that operators declare, and its numbered revisions.
//
// Index of sections:
//   [ENTRIES]        types of entries: data centres, backend servers, pipelines, client accounts, presets
//   [CHANGES]        Change: the entries that one revision sets and deletes; Violation: a rule that a configuration breaks
//   [CONFIGURATION]  Configuration: an immutable, valid snapshot of all entries at one revision
//   [TABLE]          ConfigurationTable: the snapshot that this node uses (the one in force)
//   [STORE]          ConfigurationStore: interface to the log of accepted changes, which the platform stores
//   [SERVICE]        ConfigurationService: accepts operators' changes and reads newer changes from the store
//
// Rules that this aggregate enforces:
//   - a change is accepted only when the whole configuration is valid after it;
//   - the revision in force never decreases;
//   - exactly one preset (a named set of tuning values) is in force at every revision above 0. Revision 0 is the empty configuration of a node that
//     has read none yet; default values apply there.
//
// The platform is the service outside this project that stores data for all nodes.
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

using Revision = std::uint64_t; // counts the accepted changes; 0: no configuration yet

// Selects the format of the call to the backend server, and the default HTTP path of the call. Service: any other kind of call.
enum class StageKind { Encoding, Retrieval, Reranking, Generation, Service };

std::string_view stageKindName(StageKind kind); // for example "encoding"
std::optional<StageKind> stageKindFromName(std::string_view name); // nullopt: no kind has this name

struct DataCentreSpec {
    std::string name;
    std::string region;
    std::chrono::microseconds oneWayDelay{1500}; // network delay in one direction to the other data centres of the same region
};

struct BackendServerSpec {
    std::string name;
    std::string dataCentre; // name of a DataCentreSpec
    std::string address; // IP:port
    // Names that decide which stages the server may run (StageSpec::capability); for example "model:rota-bn" or "service:payout".
    std::set<std::string> capabilities;
    unsigned concurrency = 8; // number of calls that the server can run at the same time
    double pricePerSecond = 0; // cost units per second of service time
    // Orders to load a model come from the one node of the data centre that holds the lease on sending them. Each order carries the holder's
    // fencing number, and each new holder has a higher one. True: the server itself refuses an order with a lower fencing number than an earlier one. False:
    // the node records each order in the platform's storage first, and doesn't send it if an order with a higher number is recorded there.
    bool checksFencing = true;
    bool draining = false; // true: the server gets no new work
    std::string wantedModel; // model that a node of its data centre orders this server to load; empty: the server gets no such orders
    std::string softwareVersion; // of its program; a generation that broke off goes on only at servers of the same one; empty counts as one too
};

struct StageSpec {
    std::string name;
    StageKind kind = StageKind::Service;
    std::string capability; // backend servers that have this capability may run the stage
    std::string path; // HTTP path on the backend server; empty: the default path of the stage's kind
    std::string model; // model name that is sent to the backend server
    std::chrono::milliseconds typicalTime{200}; // estimate of the stage's time, used until times have been measured
    bool idempotent = true; // false: the stage runs at most once for each idempotency key; allowed for kind Service only
    // True: the stage's result is saved as a checkpoint in the object store. The checkpoint outlives the node, and a repeated request can resume after
    // this stage.
    bool keepResult = false;
    unsigned maxTokens = 128; // limit of the generated tokens; kind Generation only
};

struct PipelineSpec {
    std::string name;
    std::vector<StageSpec> stages;
    std::chrono::milliseconds deadlineLimit{12000}; // longest deadline that a caller may state
    bool recordAnswer = false; // true: the first answer for an idempotency key is stored and returned to repeated requests

    const StageSpec *nonIdempotentStage() const; // nullptr: all stages are idempotent
    // True when requests must carry an idempotency key: if a stage isn't idempotent, a stage has keepResult set, or recordAnswer is set.
    bool needsIdempotencyKey() const;
};

struct ClientAccountSpec {
    std::string name;
    std::string keyDigest; // SHA-256 of the API key, 64 hexadecimal digits
    double requestsPerSecond = 10; // rate at which the account's token bucket refills; each node applies an equal share of it
    unsigned burst = 20; // capacity of the token bucket: requests that may come at once at one node
    unsigned concurrency = 64; // limit of requests in flight at one node
    std::set<std::string> pipelines; // names of the pipelines that the account may use; empty: all
};

// A named set of tuning values. Exactly one preset is in force at every revision above 0.
struct PresetSpec {
    std::string name;
    double costWeight = 0.2; // weight of cost in the choice of a server. 0: cost is ignored; 1: the cheapest server that meets the deadline
    double retryShare = 0.1; // retries of stage calls that are allowed, as a fraction of the recent calls that were first attempts
    double admissionMargin = 1.0; // factor applied to a request's expected time before it is compared with the deadline at admission
    double accountShare = 1.0; // factor applied to requestsPerSecond of every client account, not to burst and concurrency
};

// The entry that says which preset is in force.
struct PresetInForce {
    std::string preset; // name of the PresetSpec that is in force
};

using EntryBody = std::variant<DataCentreSpec, BackendServerSpec, PipelineSpec, ClientAccountSpec, PresetSpec, PresetInForce>;

// The enumerators stand in the order of EntryBody's alternatives: Entry::key() converts the variant's index to them.
enum class EntryKind { DataCentre, BackendServer, Pipeline, ClientAccount, Preset, PresetInForce };

std::string_view entryKindName(EntryKind kind); // for example "backend_server"
std::optional<EntryKind> entryKindFromName(std::string_view name); // nullopt: no kind has this name

// Identifies an entry: names are unique within a kind. Ordered by kind, then by name.
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

    EntryKey key() const; // the name of a PresetInForce is "in_force"
};

//-----------------------------------------------------------------------------
// [CHANGES]
//-----------------------------------------------------------------------------

// One accepted change: the difference between a revision and the revision before it.
struct Change {
    Revision revision = 0; // the revision that results from this change
    std::string id; // random; shows after a lost reply whether this change or another one was accepted
    std::vector<Entry> upserts; // entries to add or replace
    std::vector<EntryKey> deletes; // entries to remove
    std::string author; // operator's name, for the audit trail
    std::string summary; // one line, for the audit trail
    WallTime acceptedAt{};
};

// One rule that a configuration breaks.
struct Violation {
    std::string entry; // kind and name, for example "pipeline/rota"
    std::string member; // member of the entry as operators write it, for example "stages[1].capability"; may be empty
    std::string problem; // what is wrong and what is allowed
};

std::string describe(const std::vector<Violation> &violations); // "entry member: problem" for each, joined by "; "

//-----------------------------------------------------------------------------
// [CONFIGURATION]
//-----------------------------------------------------------------------------

// A reference-counted map of a Configuration. Successive snapshots share it until a change affects its content.
template<typename T>
struct SharedMap : RefCounted<SharedMap<T>> {
    std::map<std::string, T> items;
};

class Configuration;
using ConfigurationRef = Ref<const Configuration>;

// An immutable, valid snapshot of all entries at one revision. A snapshot shares with its predecessor the maps of those kinds of
// entries that its change doesn't affect.
class Configuration : public RefCounted<Configuration>
{
public:
    // Makes a snapshot from a complete set of entries. Error: the violations when it isn't valid.
    static tl::expected<ConfigurationRef, std::vector<Violation>> build(Revision revision, const std::vector<Entry> &entries);
    // Makes the next snapshot; change.revision must be revision() + 1. Error: the violations when the result isn't valid.
    tl::expected<ConfigurationRef, std::vector<Violation>> apply(const Change &change) const;
    static ConfigurationRef empty(); // revision 0 without entries; no requests are served with it

    Revision revision() const
    {
        return m_revision;
    }
    // Entries by name.
    const std::map<std::string, DataCentreSpec> &dataCentres() const;
    const std::map<std::string, BackendServerSpec> &backendServers() const;
    const std::map<std::string, PipelineSpec> &pipelines() const;
    const std::map<std::string, ClientAccountSpec> &accounts() const;
    const std::map<std::string, PresetSpec> &presets() const;
    const PresetSpec &preset() const; // the one in force; at revision 0, which has none, the default values of PresetSpec
    const PipelineSpec *findPipeline(const std::string &name) const; // nullptr: not found
    const ClientAccountSpec *findAccountByKeyDigest(const std::string &digest) const; // nullptr: not found
    const std::vector<std::string> &serversWith(const std::string &capability) const; // sorted names of backend servers; may be empty
    std::vector<Entry> entries() const; // all, sorted by key
    bool contains(const EntryKey &key) const; // always false for kind PresetInForce, so that ConfigurationService::remove() refuses to delete that entry

private:
    Configuration() = default;
    static Ref<Configuration> withoutEntries(Revision revision);
    void rebuildIndexes(bool serversChanged, bool accountsChanged);
    std::vector<Violation> validate() const;

    Revision m_revision = 0;
    Ref<SharedMap<DataCentreSpec>> m_dataCentres;
    Ref<SharedMap<BackendServerSpec>> m_backendServers;
    Ref<SharedMap<PipelineSpec>> m_pipelines;
    Ref<SharedMap<ClientAccountSpec>> m_accounts;
    Ref<SharedMap<PresetSpec>> m_presets;
    std::string m_presetInForce; // name; empty: none, at revision 0 only
    Ref<SharedMap<std::vector<std::string>>> m_serversByCapability; // names of backend servers, sorted
    Ref<SharedMap<std::string>> m_accountByDigest; // name of the client account by the digest of its API key
};

// Returns the change that turns `from` into a configuration with exactly the wanted entries. It has no upserts and deletes when `from` has
// exactly these already. The change's id, author, summary and time aren't set.
Change difference(const Configuration &from, const std::vector<Entry> &wanted);

//-----------------------------------------------------------------------------
// [TABLE]
//-----------------------------------------------------------------------------

// Holds the snapshot in force at this node and the most recent changes, which it gives to peers with an older revision. Thread-safe.
class ConfigurationTable
{
public:
    static constexpr std::size_t MaxRecentChanges = 512; // changes held; at 21,000 changes a day these cover about 35 minutes
    // Upper limit of the number of upserts and deletes in all held changes together. A single change with more isn't held: peers load the
    // snapshot instead.
    static constexpr std::size_t MaxRecentEntries = 4096;

    ConfigurationTable();
    ConfigurationRef current() const; // never null
    bool ready() const; // true once a configuration is in force (revision above 0)
    // Puts the snapshot in force and discards the recent changes. False: its revision isn't above the one in force, and nothing changed.
    bool install(const ConfigurationRef &configuration);
    // Applies the change to the snapshot in force if change.revision is the next revision. Nothing is changed if change.revision is in force or
    // passed already, also when another thread installs it during the call. Returns the revision in force, which is change.revision or a
    // higher one. Error InvalidConfiguration: the change skips a revision, or the result isn't valid.
    Result<Revision> install(const Change &change);
    // The changes that lead from `revision` to the one in force, oldest first; nullopt when some of them aren't held any more, or `revision` is above the one
    // in force.
    std::optional<std::vector<Change>> changesSince(Revision revision) const;
    // Adds a listener to those added before. Each listener is called after each installation of a new revision, on the installing thread, without a
    // lock held. Calls from several threads may overlap or come out of order.
    void addInstalledListener(std::function<void(const ConfigurationRef &)> listener);

private:
    void notify(const ConfigurationRef &configuration);
    void appendRecentLocked(const Change &change);

    mutable RankedMutex m_mutex{LockRank::Configuration};
    ConfigurationRef m_current;
    std::deque<Change> m_recent; // oldest first
    std::size_t m_recentEntries = 0; // upserts and deletes in m_recent
    std::vector<std::function<void(const ConfigurationRef &)>> m_listeners;
};

//-----------------------------------------------------------------------------
// [STORE]
//-----------------------------------------------------------------------------

// Stores the log of accepted changes, and snapshots. Errors: PlatformUnavailable (nothing was done), PlatformAnswerLost (a write
// may have taken effect), PlatformReplyInvalid, and those named below.
class ConfigurationStore
{
public:
    virtual ~ConfigurationStore() = default;
    virtual Result<Revision> readHead() = 0; // the newest accepted revision; 0: none so far
    // The changes with a revision above `after`, in order of revision, at most `limit` of them.
    virtual Result<std::vector<Change>> readChanges(Revision after, std::size_t limit) = 0;
    // Appends the change to the log if the head is change.revision - 1; otherwise ConditionFailed, and nothing is written.
    virtual Result<void> commit(const Change &change) = 0;
    // The newest snapshot; a node that starts with this snapshot need not read the log up to its revision. ObjectNotFound: none was written so far.
    virtual Result<std::pair<Revision, std::vector<Entry>>> readSnapshot() = 0;
    virtual Result<void> writeSnapshot(Revision revision, const std::vector<Entry> &entries) = 0;
};

//-----------------------------------------------------------------------------
// [SERVICE]
//-----------------------------------------------------------------------------

// Outcome of an operator's change.
struct ChangeOutcome {
    Revision revision = 0; // the revision in force after the call
    bool changed = false; // false: there was nothing to change, so no revision was made
    std::size_t entries = 0; // number of upserts and deletes in the change
};

// Accepts operators' changes: reads newer changes from the store, validates the new change, commits it to the store, then puts it in
// force at this node. Errors of the changing methods: InvalidConfiguration (detail: the violations), RevisionConflict (another change was
// accepted first; the detail names its revision), those of ConfigurationStore, and those named at a method.
class ConfigurationService
{
public:
    static constexpr Revision SnapshotInterval = 64; // a snapshot is written at every revision that is a multiple of this
    static constexpr std::size_t ReadLimit = 256; // changes read from the store in one call; a node that lacks more than these loads the snapshot first

    ConfigurationService(ConfigurationStore &store, ConfigurationTable &table, const Clock &clock);
    // Makes `wanted` the whole configuration. `base`: the revision that the operator saw; RevisionConflict when another one is in force.
    // 0: replaces any revision.
    Result<ChangeOutcome> replaceAll(const std::vector<Entry> &wanted, Revision base, const std::string &author, const std::string &summary);
    // Adds or replaces the given entries; all others stay.
    Result<ChangeOutcome> merge(const std::vector<Entry> &upserts, const std::string &author, const std::string &summary);
    Result<ChangeOutcome> remove(const EntryKey &key, const std::string &author); // error: UnknownEntry
    Result<ChangeOutcome> usePreset(const std::string &preset, const std::string &author); // puts the preset in force; error: UnknownPreset
    Result<ChangeOutcome> setDraining(const std::string &server, bool draining, const std::string &author); // error: UnknownEntry
    // Reads the changes above the revision in force from the store and installs them. Returns the revision in force afterwards.
    Result<Revision> catchUp();
    Result<std::vector<Change>> auditTrail(Revision after, std::size_t limit); // as ConfigurationStore::readChanges()

private:
    Result<ChangeOutcome> accept(Change change, const ConfigurationRef &base);
    Result<ChangeOutcome> upsertOne(Entry entry, const ConfigurationRef &base, const std::string &author, const std::string &summary);
    // After a commit whose reply was lost or reported a failure: reads the log to see whether this change was accepted.
    // PlatformAnswerLost: no change of this revision is there so far; RevisionConflict: another change has taken the revision.
    Result<void> confirmCommit(const Change &change);
    Result<void> loadSnapshot();

    ConfigurationStore &m_store;
    ConfigurationTable &m_table;
    const Clock &m_clock;
};

} // namespace vanillanotch
