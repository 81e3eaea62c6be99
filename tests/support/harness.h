// Starts vanillanotchd nodes, stand-ins and the fault proxy as real processes for the integration tests. A stand-in is a test program
// that takes the place of the platform or of a backend server. The fault proxy forwards connections over links (one listening address
// with one target each) that can be disturbed.
//
// Index of sections:
//   [PROCESS]  a started program
//   [CALLS]    HTTP requests of callers and operators
//   [LEDGER]   file in which the backend stand-ins log each execution
//   [CLUSTER]  platform stand-in, fault proxy, backend servers and nodes of one test
#pragma once

#include "http/http.h"
#include "wire/wire.h"

#include <nlohmann/json.hpp>

#include <sys/types.h>

namespace vanillanotch::test
{

using Json = nlohmann::json;

// Polls until the condition holds; false when it still does not after `timeout`. The default time-out is long, so that a test gives the
// same result on a slow machine.
bool eventually(const std::function<bool()> &condition, Duration timeout = std::chrono::seconds(60));

//-----------------------------------------------------------------------------
// [PROCESS]
//-----------------------------------------------------------------------------

// A started program.
class Process
{
public:
    // Waits for the first line of standard output, which holds the program's addresses. Standard error goes to the log file.
    Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile);
    struct NoWait {
    };
    // Returns without waiting for output; all output goes to the log file, so address() returns an empty string.
    // `maxDescriptors`: the program's limit of open descriptors; 0: that of the test.
    // `environment`: further variables, as NAME=VALUE.
    Process(NoWait tag, const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile, unsigned maxDescriptors = 0,
            const std::vector<std::string> &environment = {});
    ~Process(); // sends SIGKILL if the program still runs
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    std::string address(const std::string &name) const; // the address called `name` in the first line, "listening NAME=IP:PORT ..."; empty: none
    void sendSignal(int number); // signal number, such as SIGTERM
    int wait(); // waits until the program ends; returns its exit code, or 128 + signal number
    bool running();
    void kill(); // sends SIGKILL and waits for the end
    pid_t pid() const
    {
        return m_pid;
    }

private:
    // `output`: descriptor that becomes standard output; nullopt: standard output goes to the log file.
    void start(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile, std::optional<int> output,
               unsigned maxDescriptors = 0, const std::vector<std::string> &environment = {});

    pid_t m_pid = -1;
    bool m_reaped = false; // the ended program's status was collected by waitpid()
    int m_status = 0; // status from waitpid(); valid only if m_reaped
    std::map<std::string, std::string> m_addresses; // by name, from the first line of output
};

//-----------------------------------------------------------------------------
// [CALLS]
//-----------------------------------------------------------------------------

struct CallOptions {
    std::string apiKey = "caller-key";
    std::string idempotencyKey; // empty: none is sent
    std::chrono::milliseconds deadline{10000};
    bool stream = false; // asks for a streamed answer
};

constexpr int StreamErrorStatus = 599; // no real HTTP status: stands for a streamed answer that ended with an `error` event

struct CallResult {
    int status = 0; // HTTP status or StreamErrorStatus; 0: no answer, or the stream was cut
    Json body; // the final answer or the error
    std::string streamed; // concatenated tokens of the stream
    int errorCode() const; // error code; 0: no error
    std::string outcome() const; // member `outcome` of the error; empty: no error or none stated
    std::string text() const; // generated text of the answer; empty: none
};

// Sends a caller's request to a node over a new connection and waits for the answer.
CallResult callPipeline(const std::string &address, const std::string &pipeline, const std::string &input, const CallOptions &options = {});
// Does the same over a client that keeps its connections open, as a balancer does.
CallResult callPipeline(HttpClient &client, const std::string &address, const std::string &pipeline, const std::string &input, const CallOptions &options = {});
constexpr Duration CallTimeout = std::chrono::seconds(60); // long, so that a test gives the same result on a slow machine
// Sends one HTTP request to a stand-in or node; status 0 when no answer came within `timeout`.
HttpReply send(const std::string &address, const std::string &method, const std::string &path, const std::string &body = {},
               const std::map<std::string, std::string> &headers = {}, Duration timeout = CallTimeout);
std::string expectedText(const std::string &input, unsigned tokens); // the text that the model stand-in generates for `input`

//-----------------------------------------------------------------------------
// [LEDGER]
//-----------------------------------------------------------------------------

struct LedgerLine {
    std::string server; // name of the backend stand-in
    std::string attempt; // id of the call that this execution served
    std::string request; // id of the caller's request; for an order to an engine (such as to load a model): the model
    std::string path;
    std::string key; // idempotency key; for an order to an engine: its fencing number
    std::string event; // "begin", "end" or "cancelled"; for an order to an engine: "begin" or "refused"
    Duration duration{}; // of the execution; set only if `event` is "end"
};
std::vector<LedgerLine> readLedger(const std::string &file);
// Returns the number of executions with this path and idempotency key that have begun, whether or not they have ended.
std::size_t countEffects(const std::vector<LedgerLine> &ledger, const std::string &path, const std::string &key);

//-----------------------------------------------------------------------------
// [CLUSTER]
//-----------------------------------------------------------------------------

struct ServerOptions {
    std::string name;
    std::string dataCentre = "dc1";
    std::string capability;
    std::vector<std::string> arguments; // additional command-line arguments of the stand-in
    bool behindProxy = false; // nodes reach it through a link of the fault proxy
    double price = 1; // cost per second of use
    std::string softwareVersion; // as declared in the configuration
};

class Cluster
{
public:
    explicit Cluster(const std::string &name); // name of the test; starts the platform stand-in and the fault proxy
    ~Cluster();

    void addServer(const ServerOptions &options);
    void addDefaultServers(); // two servers each of encoder, retriever, reranker, model and payout, all in dc1 and behind the proxy
    // `platformLink`: the node reaches the platform through its own link of the fault proxy, which has the node's name.
    // `extraSettings`: lines of YAML, appended to the settings. If they have peer_secret or any *_interval_ms, the harness leaves out
    // its own peer secret or its short intervals.
    void addNode(const std::string &name, const std::string &dataCentre = "dc1", const std::string &extraSettings = {}, bool platformLink = false);
    void publishVms(const std::set<std::string> &leaving = {}); // writes the platform's VM list; VMs in `leaving` are listed as leaving
    // All servers and data centres added so far; the pipelines answer, certificate, report and payout; the client accounts `caller` and
    // `small` (the latter with low limits); the presets ordinary, peak and maintenance.
    std::string configurationYaml(const std::string &presetInForce = "ordinary") const;
    // Applies the configuration through the node's operator interface and returns the reply; status 200: accepted.
    HttpReply apply(const std::string &node, const std::string &yaml, const std::string &author = "tester");
    void start(); // publishes the VMs, applies the configuration and waits until every node has it in force; aborts on failure

    CallResult call(const std::string &node, const std::string &pipeline, const std::string &input, const CallOptions &options = {});
    HttpReply sendOperatorRequest(const std::string &node, const std::string &method, const std::string &path, const std::string &body = {},
                                  const std::string &author = "tester");
    Json status(const std::string &node);
    std::uint64_t revision(const std::string &node); // revision in force at the node; 0: none, or the node did not reply
    // Waits until all these nodes have this revision or a later one; false, with a line on standard error, when one has not in time.
    bool awaitRevision(std::uint64_t revision, const std::vector<std::string> &nodes);
    // Set faults of the stand-ins. `modes` is a query string, e.g. "busy=1&slow_percent=200". Of servers: freeze, slow_percent,
    // stall_after_tokens, leaving, busy, mismatch, lose_reply, reject, cut_after_tokens; of the platform: down, delay_ms, lose_next.
    // The stand-ins' source files explain them at their head.
    void controlServer(const std::string &server, const std::string &modes);
    void controlPlatform(const std::string &modes);
    // Sets the mode of the link of the server with this name, or of this node's link to the platform: pass, refuse, cut, blackhole,
    // silence, swallow, mute or reset. EntryCluster::setStoreLink() and the head of the fault proxy's source explain them.
    void setLinkMode(const std::string &name, const std::string &mode);
    std::vector<LedgerLine> ledger() const;
    Process &node(const std::string &name);
    Process &server(const std::string &name);
    std::vector<std::string> nodeNames() const;
    std::string callerAddress(const std::string &node);
    std::string platformAddress() const;
    std::string folder() const
    {
        return m_folder;
    }

private:
    struct Link {
        std::size_t id = 0;
        std::string address;
    };
    struct ServerEntry {
        ServerOptions options;
        std::unique_ptr<Process> process;
        std::string address; // address at which nodes reach the server: its own, or that of its link in the proxy
    };
    struct NodeEntry {
        std::string dataCentre;
        std::unique_ptr<Process> process;
    };
    Link makeLink(const std::string &name, const std::string &target);

    std::string m_folder;
    std::string m_ledgerFile;
    std::unique_ptr<Process> m_platform;
    std::unique_ptr<Process> m_proxy;
    std::map<std::string, Link> m_links;
    std::map<std::string, ServerEntry> m_servers;
    std::map<std::string, NodeEntry> m_nodes;
};

constexpr unsigned ModelTokens = 24; // max_tokens of the stage `generate` in the pipelines of configurationYaml()

} // namespace vanillanotch::test
