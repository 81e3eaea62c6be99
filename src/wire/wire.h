// vanillanotch wire library: encodes and decodes; decides nothing.
//
// Index of sections:
//   [YAML]     configuration documents and node settings
//   [JSON]     entries, changes, answers, errors, table views
//   [STAGES]   bodies of calls to backend servers
//   [STORES]   journal, kept results, duties and configuration on the platform's table and object store
#pragma once

#include "base/base.h"
#include "configuration/configuration.h"
#include "duties/duties.h"
#include "fleet/fleet.h"
#include "journal/journal.h"
#include "request/request.h"
#include "storage/storage.h"

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [YAML]
//-----------------------------------------------------------------------------

// One thing wrong in a file, with its place.
struct FileProblem {
    std::string file;
    int line = 0; // from 1; 0: the file as a whole
    std::string entry; // for example "pipelines[2].stages[0].kind"
    std::string message; // what is wrong and what is allowed
};
std::string describe(const std::vector<FileProblem> &problems); // one line each: file:line: entry: problem

Result<std::string> readFile(const std::string &path); // FileUnreadable

// A configuration document; docs/OPERATORS.md describes it. All problems are reported at once.
tl::expected<std::vector<Entry>, std::vector<FileProblem>> parseConfigurationYaml(const std::string &text, const std::string &file);
// Some entries only; every list may be absent. References are checked when the entries join the whole.
tl::expected<std::vector<Entry>, std::vector<FileProblem>> parseEntriesYaml(const std::string &text, const std::string &file);
std::string writeConfigurationYaml(const std::vector<Entry> &entries);

// What a node is told at its start. Everything else comes from the platform.
struct NodeSettings {
    std::string node; // name of the entry VM; no default
    std::string dataCentre; // no default
    std::string callerAddress = "127.0.0.1:0"; // IP:port, callers' HTTP
    std::string operatorAddress = "127.0.0.1:0"; // IP:port, operators' HTTP
    std::string peerAddress = "127.0.0.1:0"; // IP:port, peers' gRPC
    std::string advertiseAddress; // IP that peers reach this node at; empty: as bound
    std::string platformAddress; // IP:port; no default
    std::set<std::string> seeds; // peers' IP:port to ask at a start during a platform outage
    std::string platformToken; // bearer token for the platform; empty: none
    std::string operatorKeyDigest; // SHA-256 of the operators' key, hexadecimal; no default
    std::string peerSecret; // shared by all nodes, 16 characters or more; no default
    std::string routing = "deadline_cost"; // routing policy
    unsigned workers = 8; // background workers
    unsigned streamWorkers = 1; // threads that read all streams of model engines; 0: each request's own
    unsigned connections = 512; // callers' connections at the same time
    std::chrono::milliseconds readLimit{10000}; // for reading one caller's request
    std::chrono::milliseconds headInterval{2000}; // between two reads of the configuration's head and the list of VMs, at a root
    std::chrono::milliseconds exchangeInterval{2000}; // between two exchanges with a peer
    std::chrono::milliseconds balancerGrace{2000}; // a planned stop serves on for this long while not ready
    std::chrono::milliseconds drainLimit{15000}; // a planned stop then waits this long for running requests
    std::chrono::milliseconds dutyLease{10000}; // of a duty that one node of a data centre holds
    std::chrono::milliseconds dutyMargin{2000}; // its holder stops this much earlier, its successor starts this much later
    unsigned roots = 3; // nodes of a data centre that read the head and the list of VMs
    unsigned fanOut = 4; // of the tree that spreads changes
    LogLevel logLevel = LogLevel::Info;
};
tl::expected<NodeSettings, std::vector<FileProblem>> parseNodeSettingsYaml(const std::string &text, const std::string &file);

// What a node on the users' platform is told at its start; deploy/entry.yaml is filled in by the platform.
struct EntrySettings {
    std::string node; // name of the entry VM; no default
    std::string dataCentre; // no default
    std::string callerAddress; // IP:port, callers' HTTP; no default
    std::string readinessAddress; // IP:port, the balancer's question; no default
    std::string peerAddress; // IP:port, other nodes and metrics; no default
    std::string storeAddress; // IP:port, the platform's store; no default
    LogLevel logLevel = LogLevel::Info;
    double cores = 1; // processor that the VM has
    std::chrono::milliseconds revocationBound{5000}; // a key that was taken away is refused after this long
    std::chrono::milliseconds stopLimit{8000}; // from SIGTERM until the platform kills the process
    std::chrono::milliseconds retryWindow{10000}; // of the retry budget
    double retryRatio = 0.2; // repeated calls / requests, by service and window
    double retryExtra = 0; // repeated calls besides, at all nodes together
    std::string stageSharing = "owner_groups"; // each_node, owners or owner_groups
    std::string engineChoice = "prompt_home"; // prompt_home, shortest_time or least_outstanding
};
tl::expected<EntrySettings, std::vector<FileProblem>> parseEntrySettingsYaml(const std::string &text, const std::string &file);

//-----------------------------------------------------------------------------
// [JSON]
//-----------------------------------------------------------------------------

std::string encodeEntry(const Entry &entry); // JSON object with "kind" and the entry's members
Result<Entry> decodeEntry(const std::string &json); // InvalidConfiguration
std::string encodeChange(const Change &change);
Result<Change> decodeChange(const std::string &json);

struct SubmissionDocument {
    std::string input;
    std::optional<std::chrono::milliseconds> deadline;
    bool stream = false;
};
Result<SubmissionDocument> decodeSubmission(const std::string &json); // MalformedRequest, InvalidDeadline
std::string encodeAnswerDocument(const Answer &answer); // for callers
std::string encodeRefusalDocument(const Refusal &refusal); // for callers
std::string encodeErrorDocument(ErrorCode code, const std::string &detail); // for operators
std::string encodeTokenEvent(std::string_view token); // JSON object of one streamed token
int httpStatusOf(ErrorCode code);

std::string encodeServers(const std::vector<ServerState> &servers);
std::string encodeMembers(const std::vector<MemberRecord> &members);
std::string encodeAccounts(const std::vector<AccountState> &accounts);
std::string encodeRequests(const std::vector<RequestView> &requests);
std::string encodeRequest(const RequestView &request);
std::string encodeReport(const std::vector<CostRow> &costs, const std::vector<AttainmentRow> &attainment);
std::string encodeSuspects(const std::vector<SuspectMark> &marks);
std::string encodeAcceptance(const ChangeOutcome &acceptance);
std::string encodeAudit(const std::vector<Change> &changes);
// What `status` shows of one node.
struct NodeStatus {
    MemberRecord self;
    std::string preset;
    bool ready = false;
    bool leaving = false;
    std::size_t running = 0;
};
std::string encodeStatus(const NodeStatus &status, const std::vector<MemberRecord> &members);

std::unique_ptr<AnswerCodec> makeAnswerCodec();

//-----------------------------------------------------------------------------
// [STAGES]
//-----------------------------------------------------------------------------

std::string stagePath(const StageSpec &stage); // the stage's own path, or the usual one for its kind
std::string encodeStageBody(const StageCall &call);
// Adds the reply of a stage that doesn't stream to the data. InvalidReply.
Result<StageData> decodeStageReply(const StageCall &call, const std::string &body);

// One event of a generation stream.
struct TokenEvent {
    bool done = false; // the engine says that the text is whole
    std::string text;
    std::string id; // of the attempt, as the engine echoes it; empty: not given
};
Result<std::optional<TokenEvent>> decodeTokenLine(std::string_view line); // nullopt: not a data line

//-----------------------------------------------------------------------------
// [STORES]
//-----------------------------------------------------------------------------

std::unique_ptr<JournalStore> makeTableJournal(Table &table);
std::unique_ptr<AnswerStore> makeObjectResults(ObjectStore &objects);
std::unique_ptr<DutyStore> makeTableDuties(Table &table);
std::unique_ptr<ConfigurationStore> makeTableConfigurationStore(Table &table, ObjectStore &objects);

} // namespace vanillanotch
