// Runs the system as real processes for the integration tests.
//
// Index of sections:
//   [PROCESS]  a started program
//   [CALLS]    requests as callers and operators send them
//   [LEDGER]   what the backend stand-ins say they have executed
//   [CLUSTER]  platform, proxy, backend servers and nodes of a test
#pragma once

#include "http/http.h"
#include "wire/wire.h"

#include <nlohmann/json.hpp>

#include <sys/types.h>

namespace vanillanotch::test
{

using Json = nlohmann::json;

// Waits on an event; the end is generous, so that a slow machine gives the same verdict.
bool eventually(const std::function<bool()> &condition, Duration limit = std::chrono::seconds(60));

//-----------------------------------------------------------------------------
// [PROCESS]
//-----------------------------------------------------------------------------

class Process
{
public:
    // Waits for the first line of its output, which tells its addresses. Standard error goes to the log.
    Process(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile);
    struct NoWait {
    };
    // Doesn't wait: all of its output goes to the log.
    Process(NoWait quiet, const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile);
    ~Process(); // SIGKILL when it still runs
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    std::string address(const std::string &name) const; // from the line "listening NAME=IP:PORT ..."
    void signal(int number);
    int wait(); // exit code; 128 + signal when killed
    bool running();
    void kill(); // SIGKILL, and waits
    pid_t pid() const
    {
        return m_pid;
    }

private:
    // `output`: descriptor for standard output; nullopt: the log.
    void start(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile, std::optional<int> output);

    pid_t m_pid = -1;
    bool m_reaped = false;
    int m_status = 0;
    std::map<std::string, std::string> m_addresses;
};

//-----------------------------------------------------------------------------
// [CALLS]
//-----------------------------------------------------------------------------

struct CallOptions {
    std::string apiKey = "caller-key";
    std::string idempotencyKey;
    std::chrono::milliseconds deadline{10000};
    bool stream = false;
};

constexpr int RefusedMidStream = 599; // no HTTP status: a streamed answer that ended with an `error` event

struct CallResult {
    int status = 0; // 0: no answer came, or a stream that was cut
    Json body; // the answer or the error
    std::string streamed; // tokens, put together
    int code() const; // numbered error; 0: none
    std::string outcome() const; // empty: none given
    std::string text() const; // generated text of the answer
};

CallResult callPipeline(const std::string &address, const std::string &pipeline, const std::string &input, const CallOptions &options = {});
// The same over a client whose connections are kept, as a balancer does.
CallResult callPipeline(HttpClient &client, const std::string &address, const std::string &pipeline, const std::string &input, const CallOptions &options = {});
constexpr Duration CallLimit = std::chrono::seconds(60); // generous: a slow machine gives the same verdict
// Raw HTTP to any stand-in or node; status 0 when no answer came within the limit.
HttpReply send(const std::string &address, const std::string &method, const std::string &path, const std::string &body = {},
               const std::map<std::string, std::string> &headers = {}, Duration limit = CallLimit);
std::string expectedText(const std::string &input, unsigned tokens); // what the model stand-in generates

//-----------------------------------------------------------------------------
// [LEDGER]
//-----------------------------------------------------------------------------

struct LedgerLine {
    std::string server;
    std::string attempt;
    std::string request;
    std::string path;
    std::string key;
    std::string event;
    Duration duration{}; // of an execution that has ended
};
std::vector<LedgerLine> readLedger(const std::string &file);
std::size_t countEffects(const std::vector<LedgerLine> &ledger, const std::string &path, const std::string &key);

//-----------------------------------------------------------------------------
// [CLUSTER]
//-----------------------------------------------------------------------------

struct ServerPlan {
    std::string name;
    std::string dataCentre = "dc1";
    std::string capability;
    std::vector<std::string> arguments; // of the stand-in
    bool behindProxy = false;
    double price = 1;
};

class Cluster
{
public:
    explicit Cluster(const std::string &name); // of the test; starts the platform and the proxy
    ~Cluster();

    void addServer(const ServerPlan &plan);
    void addDefaultServers(); // two encoders, retrievers, rerankers, models and payout services in dc1
    // platformLink: the node reaches the platform through a proxy link of its own.
    void addNode(const std::string &name, const std::string &dataCentre = "dc1", const std::string &extraSettings = {}, bool platformLink = false);
    void publishVms(const std::set<std::string> &leaving = {}); // tells the platform's list
    std::string configurationYaml(const std::string &presetInForce = "ordinary") const;
    HttpReply apply(const std::string &node, const std::string &yaml, const std::string &author = "tester");
    void start(); // registers, applies the configuration, waits until every node has it in force

    CallResult call(const std::string &node, const std::string &pipeline, const std::string &input, const CallOptions &options = {});
    HttpReply sendOperatorRequest(const std::string &node, const std::string &method, const std::string &path, const std::string &body = {},
                                  const std::string &author = "tester");
    Json status(const std::string &node);
    std::uint64_t revision(const std::string &node);
    bool awaitRevision(std::uint64_t revision, const std::vector<std::string> &nodes);
    void controlServer(const std::string &server, const std::string &modes);
    void controlPlatform(const std::string &modes);
    void controlLink(const std::string &name, const std::string &mode); // of a server or a node's platform link
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
        ServerPlan plan;
        std::unique_ptr<Process> process;
        std::string address; // as the nodes see it
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

constexpr unsigned ModelTokens = 24; // of the generate stage in the clusters' pipelines

} // namespace vanillanotch::test
