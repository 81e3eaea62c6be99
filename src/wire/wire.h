// vanillanotch wire library: converts between the system's structs and YAML, JSON and stored rows. It makes no decisions.
// The platform is the environment in which the nodes are deployed; its services keep their stored data and list the VMs.
//
// Index of sections:
//   [YAML]     configuration documents and node settings
//   [JSON]     configuration entries, changes, callers' requests and answers, errors, and replies to operators: lists of this
//              node's servers, members, accounts, requests, costs, suspects (requests that may crash backend servers) and configuration changes
//   [STAGES]   request and reply bodies of calls to backend servers
//   [STORES]   what is kept in the platform's table and object store: the journal of idempotency keys, recorded answers, kept results of
//              stages (checkpoints), the holders of duties (tasks that one node does for others), and the configuration
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

// One error in a file, with its position.
struct FileProblem {
    std::string file;
    int line = 0; // counted from 1; 0: concerns the whole file
    std::string path; // path of the member, for example "pipelines[2].stages[0].kind"; empty: the document itself
    std::string message; // what is wrong and which values are allowed
};
std::string describe(
    const std::vector<FileProblem> &problems); // one line for each problem: "file:line: path: message"; without "path: " when the path is empty

Result<std::string> readFile(const std::string &path); // the whole content; error: FileUnreadable

// Parses a document that holds a whole configuration (format: docs/OPERATORS.md) and checks the references between its
// entries. On failure returns every problem found, not only the first. `file` only names the document in the problems.
tl::expected<std::vector<Entry>, std::vector<FileProblem>> parseConfigurationYaml(const std::string &text, const std::string &file);
// Parses a document that holds only some entries; each of its lists may be absent. References to other entries are
// not checked here; they are checked when the entries are merged into the whole configuration.
tl::expected<std::vector<Entry>, std::vector<FileProblem>> parseEntriesYaml(const std::string &text, const std::string &file);
// Writes the whole configuration as a document that parseConfigurationYaml reads.
std::string writeConfigurationYaml(const std::vector<Entry> &entries);

// Settings that a vanillanotchd node reads from its file when it starts. Everything else comes from the platform.
struct NodeSettings {
    std::string node; // name of this node: the name of the entry VM that it runs on; required
    std::string dataCentre; // name of the node's data centre; required
    std::string callerAddress = "127.0.0.1:0"; // IP:port to listen on for callers' HTTP requests; port 0: any free port
    std::string operatorAddress = "127.0.0.1:0"; // IP:port to listen on for operators' HTTP requests; port 0: any free port
    std::string peerAddress = "127.0.0.1:0"; // IP:port to listen on for peers' gRPC calls; port 0: any free port
    std::string advertiseAddress; // IP address at which peers reach this node; empty: the IP address of peerAddress
    std::string platformAddress; // IP:port of the platform's service; required
    std::set<std::string> seeds; // IP:port of peers to contact when the platform is unavailable at the start
    std::string platformToken; // bearer token sent to the platform; empty: none is sent
    std::string operatorKeyDigest; // SHA-256 of the operators' key, 64 hexadecimal digits; required
    std::string peerSecret; // secret shared by all nodes, 16 characters or more; required
    // Routing policy: deadline_cost (weighs a server's predicted time against its price by cost_weight, a value of the preset (named set of tuning values) in
    // force, and avoids servers that would take longer than the time left), round_robin or least_outstanding (the fewest running calls).
    std::string routing = "deadline_cost";
    unsigned workers = 8; // threads of the background worker pool
    unsigned streamWorkers = 1; // threads that read the token streams of all model engines; 0: each request's own thread reads its stream
    unsigned connections = 512; // most connections of callers that are served at the same time
    std::chrono::milliseconds readLimit{10000}; // timeout for reading one whole request of a caller
    std::chrono::milliseconds sendLimit{10000}; // the connection of a caller who accepts no bytes of its answer for this long is closed
    unsigned maxHeadKib = 64; // largest head of a caller's request, KiB
    // Memory for callers' requests and for answers that wait to be read, MiB; 0: a quarter of the machine's memory, at least 32 MiB.
    unsigned callerMemoryMib = 0;
    // Time between two reads of the newest configuration revision and of the list of VMs on the platform. A few nodes of each
    // data centre, its roots, read them for all and send what is new to the others.
    std::chrono::milliseconds headInterval{2000};
    std::chrono::milliseconds exchangeInterval{2000}; // time between two exchanges with a peer, in which each sends what the other may lack
    std::chrono::milliseconds balancerGrace{2000}; // at a planned stop the node first reports "not ready" for this long, and still serves requests
    std::chrono::milliseconds drainLimit{15000}; // at a planned stop, after balancerGrace: longest wait for running requests to finish
    // Length of the lease on a duty: a task, such as sending orders to model engines, that one node of the data centre does
    // for all.
    std::chrono::milliseconds dutyLease{10000};
    std::chrono::milliseconds dutyMargin{2000}; // the lease's holder stops the task this long before the lease ends; a successor starts it this long after
    unsigned roots = 3; // number of roots in each data centre (see headInterval)
    unsigned fanOut = 4; // updates, such as configuration changes, are pushed over a tree of nodes; a node pushes an update to at most this many others
    LogLevel logLevel = LogLevel::Info;
};
tl::expected<NodeSettings, std::vector<FileProblem>> parseNodeSettingsYaml(const std::string &text, const std::string &file);

// Settings that a vanillanotch-entryd node reads from its file when it starts. The platform makes this file
// from the template deploy/entry.yaml. Times are given in milliseconds (members that end in _ms) or in seconds (_s).
struct EntrySettings {
    std::string node; // name of this node: the name of the entry VM that it runs on; required
    std::string dataCentre; // name of the node's data centre; required
    std::map<std::string, std::string> regions; // by data centre, for requests with home regions; a data centre that isn't here is in none
    std::string callerAddress; // IP:port to listen on for callers' HTTP requests; required
    std::string readinessAddress; // IP:port to listen on for the load balancer's readiness checks; required
    std::string peerAddress; // IP:port to listen on for other nodes and for metrics; required
    std::string storeAddress; // IP:port of the platform's store; required
    LogLevel logLevel = LogLevel::Info;
    double cores = 1; // processor cores of the VM
    double linkMbps = 0; // speed of the VM's network link, Mbit/s; 0: not stated
    double memoryMb = 256; // memory of the VM, MB; the memory that callers may make the node hold is derived from it
    double maxDescriptors = 0; // descriptors that the process may have open; 0, or more than the process's limit: that limit
    std::chrono::milliseconds revocationBound{5000}; // longest time for which a removed API key is still accepted after the operator's removal was confirmed
    // Longest time for which the configuration may be out of date after the store and the network have recovered from a fault.
    std::chrono::milliseconds recoveryBound{3000};
    // Longest time for which a server may get new requests after the store has its notice that it leaves.
    std::chrono::milliseconds drainBound{2000};
    std::chrono::milliseconds restoreDuration{5000}; // over which a data centre gets its load back when its evacuation is lifted; 0: at once
    std::chrono::milliseconds stopLimit{8000}; // time from SIGTERM until the platform kills the process
    // Retry budget: in each window, a service (the instances of one kind of backend server) may get retryRatio times as many repeated calls as first calls,
    // plus retryExtra. Each node counts only its own calls and has an equal part of retryExtra. Since it doesn't know the counts of the other nodes, it uses
    // only a part of its budget.
    std::chrono::milliseconds retryWindow{10000}; // length of the window
    double retryRatio = 0.2; // repeated calls per first call
    double retryExtra = 0; // further repeated calls in a window, all nodes together
    // Which node schedules a stage task (the work of one stage for one request). each_node: the node that serves the request. owners: one
    // node for each service schedules the service's tasks for all nodes. owner_groups: as owners, but several nodes share this work for a
    // service with many instances.
    std::string stageSharing = "owner_groups";
    // How a model engine is chosen for a request. shortest_time: the engine with the shortest predicted time. least_outstanding: the engine
    // with the fewest running calls. prompt_home: requests whose prompts share parts go to the same engine, because its cache then holds
    // these parts; while that engine is overloaded or failing they go to another one. Requests without shared parts: as shortest_time.
    std::string engineChoice = "prompt_home";
};
tl::expected<EntrySettings, std::vector<FileProblem>> parseEntrySettingsYaml(const std::string &text, const std::string &file);

//-----------------------------------------------------------------------------
// [JSON]
//-----------------------------------------------------------------------------

std::string encodeEntry(const Entry &entry); // JSON object of the entry's members; the member "kind_of_entry" holds its kind
Result<Entry> decodeEntry(const std::string &json); // error: InvalidConfiguration
std::string encodeChange(const Change &change);
Result<Change> decodeChange(const std::string &json); // error: InvalidConfiguration

// The body of a caller's request.
struct SubmissionDocument {
    std::string input;
    std::optional<std::chrono::milliseconds> deadline; // time from the submission; nullopt: the caller gave none
    bool stream = false; // true: the reply is a stream of server-sent events
};
Result<SubmissionDocument> decodeSubmission(const std::string &json); // errors: MalformedRequest, InvalidDeadline
std::string encodeAnswerDocument(const Answer &answer); // body of a reply to a caller
std::string encodeRefusalDocument(const Refusal &refusal); // body of an error reply to a caller
std::string encodeErrorDocument(ErrorCode code, const std::string &detail); // body of an error reply to an operator
std::string encodeTokenEvent(std::string_view token); // JSON object that holds one streamed token
int httpStatusOf(ErrorCode code); // status of the reply to a request that failed with this code; 503 for codes without a status of their own

// Bodies of replies to operators: JSON objects.
std::string encodeServers(const std::vector<ServerState> &servers);
std::string encodeMembers(const std::vector<MemberRecord> &members);
std::string encodeAccounts(const std::vector<AccountState> &accounts);
std::string encodeRequests(const std::vector<RequestView> &requests);
std::string encodeRequest(const RequestView &request);
// `attainment`: for each pipeline, how many requests finished within their deadline, finished late and were refused.
std::string encodeReport(const std::vector<CostRow> &costs, const std::vector<AttainmentRow> &attainment);
// `marks`: requests that are suspected of crashing backend servers.
std::string encodeSuspects(const std::vector<SuspectMark> &marks);
std::string encodeChangeOutcome(const ChangeOutcome &outcome);
std::string encodeAudit(const std::vector<Change> &changes);
// What the operators' status command shows of one node.
struct NodeStatus {
    MemberRecord self;
    std::string preset; // name of the preset in force
    bool ready = false;
    bool leaving = false; // true: a planned stop has begun
    std::size_t running = 0; // requests that run now
};
std::string encodeStatus(const NodeStatus &status, const std::vector<MemberRecord> &members); // `members`: all nodes that this node knows

std::unique_ptr<AnswerCodec> makeAnswerCodec(); // answers as JSON, for storage on the platform

//-----------------------------------------------------------------------------
// [STAGES]
//-----------------------------------------------------------------------------

std::string stagePath(const StageSpec &stage); // HTTP path of the call: the stage's own path or, if it has none, the default for its kind
std::string encodeStageBody(const StageCall &call); // JSON body of the request
// Returns the data of `call` with the stage's result, which is read from the reply's `body`, added. Not for generation stages, whose replies are streams.
// Error: InvalidReply.
Result<StageData> decodeStageReply(const StageCall &call, const std::string &body);

// One event of the token stream that a model engine sends for a generation stage.
struct TokenEvent {
    bool done = false; // the engine has sent the end mark "[DONE]": the text is complete
    std::string text; // text of one token; empty when done
    std::string id; // id of the attempt that the engine echoes; empty: not given
};
Result<std::optional<TokenEvent>> decodeTokenLine(std::string_view line); // nullopt: not a data line of a server-sent event; error: InvalidReply

//-----------------------------------------------------------------------------
// [STORES]
//-----------------------------------------------------------------------------

// Return stores that keep their data in the platform's table and object store. `table` and `objects` must outlive the stores.
std::unique_ptr<JournalStore> makeTableJournalStore(Table &table);
std::unique_ptr<AnswerStore> makeObjectAnswerStore(ObjectStore &objects);
std::unique_ptr<DutyStore> makeTableDutyStore(Table &table);
std::unique_ptr<ConfigurationStore> makeTableConfigurationStore(Table &table, ObjectStore &objects);

} // namespace vanillanotch
