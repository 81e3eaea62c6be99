// Starts vanillanotch-entryd nodes as real processes. Test programs ("stand-ins") take the place of the store, which holds the
// configuration and the registry of instances, and of the backend servers. An instance is one started backend server. Connections
// pass through the fault proxy, whose links (one listening address with one target each) can be disturbed. The ledger is the file in
// which the backend stand-ins log each execution.
//
// Index of sections:
//   [CALLS]      a caller's request and its answer
//   [CLUSTER]    store stand-in, fault proxy, backend servers and nodes of one test
#pragma once

#include "harness.h"
#include "transport/transport.h"

#include <Poco/Net/ServerSocket.h>

namespace vanillanotch::test
{

//-----------------------------------------------------------------------------
// [CALLS]
//-----------------------------------------------------------------------------

// Which route a request uses. Both kinds of streams belong to routes with stages. When an instance fails in the middle of a stream,
// only a ResumableStream is continued by another instance.
enum class CallKind { Idempotent, NonIdempotent, StagedStream, ResumableStream };

struct EntryCall {
    CallKind kind = CallKind::Idempotent;
    std::string attempt; // attempt id; sent as X-Attempt-Id
    std::string apiKey = "key-1";
    std::chrono::milliseconds deadline{4000};
    std::string prompt = "aa:80,bb:20"; // parts of a stream's prompt; engines are preferred by all parts but the last
    std::string resumes; // attempt that brought the first event of the stream that is taken up; empty: none
    std::string lastEventId; // of the stream that is taken up; empty: the stream starts from the beginning
};

struct EntryAnswer {
    int status = 0; // HTTP status; 0: no answer
    std::string body;
    bool complete = false; // the body was received to its end; false also when no answer came
    bool hasSeal = false; // the reply has the header X-Server-Seal, by which a backend server marks its own replies
    std::optional<double> retryAfter; // value of the header Retry-After, in seconds; nullopt: the reply has none
};

std::string encodeRequest(const EntryCall &call); // the whole HTTP request
// Sends the request to a node's caller address. Waits for the answer until 1 s after the deadline of the call.
EntryAnswer callEntry(const std::string &address, const EntryCall &call);
// The status of an idempotent request with this key, which the caller gives 1 s.
int statusWithKey(const std::string &address, const std::string &apiKey);
// Describes what is wrong with an answer of status 200. Empty: nothing is wrong, or the status isn't 200 (such answers are not checked).
// An incomplete body is right when it is a prefix of the expected body.
std::string describeFault(const EntryCall &call, const EntryAnswer &answer);

//-----------------------------------------------------------------------------
// [CLUSTER]
//-----------------------------------------------------------------------------

// One execution of a request by an instance, from the ledger.
struct Execution {
    std::string instance;
    std::string attempt;
    bool resumed = false; // the instance continued a stream that another one began
};

struct NodeOptions {
    unsigned maxDescriptors = 0; // limit of the process's open descriptors; 0: that of the test
    std::string settings; // further lines of the settings file
    bool separable = false; // partitionFromServers() may be called for it
};

// How connections of a node fail that has lost its servers.
enum class Partition { None, Refused, Hanging };

class EntryCluster
{
public:
    explicit EntryCluster(const std::string &name); // name of the test; starts the store stand-in and the fault proxy
    ~EntryCluster();

    // Starts a stand-in of `kind` plain, engine or stage with further command-line `arguments`. Does not wait until the nodes have
    // learned of the new server.
    void addServer(const std::string &service, const std::string &kind, const std::vector<std::string> &arguments = {});
    // Registers `count` instances at an address that the test itself serves, in place of all other servers of the service.
    void replaceServers(const std::string &service, const std::string &address, unsigned count);
    void addDefaultServers(); // two servers of each of the services that writeConfiguration() names: plain, engine, first, second
    void addNode(const std::string &dataCentre = "dc1", const NodeOptions &options = {}); // reaches the store through its own link of the fault proxy
    void restartNode(std::size_t nodeIndex); // ends the node with SIGKILL and starts it with the same settings
    void restartServer(std::size_t serverIndex); // ends the server with SIGKILL, removes its row in the store, and starts a new instance with a new id
    // Writes the next version of the configuration to the store: one route for each CallKind, the four services, and one client
    // account that has these API keys.
    void writeConfiguration(const std::vector<std::string> &apiKeys);
    void setRouteTimeout(std::chrono::milliseconds timeout) // of all routes, in the configurations that are written from now on
    {
        m_routeTimeout = timeout;
    }
    void setMaxBodyBytes(std::size_t bytes) // largest body of a request, in the configurations that are written from now on
    {
        m_maxBodyBytes = bytes;
    }
    void setEvacuated(const std::string &dataCentre, bool evacuated) const; // returns when the store has acknowledged it
    void writeMalformedConfiguration(); // writes text that cannot be decoded as the next version of the configuration
    bool awaitReady(Duration timeout = std::chrono::seconds(30)); // waits until every node is ready and answers a request; false: not within `timeout`

    bool ready(std::size_t nodeIndex) const; // sends the readiness probe that a load balancer uses; true: answered with status 200
    // Sets faults of the store stand-in. `query`: "mode=" and ok, busy (503), many (429), silent (no reply) or lost (writes take effect
    // but get no reply); or "compact=1", which deletes the history of changes; or
    // "down=TABLE", which answers requests for this table with 503 ("down=none": no longer).
    void controlStore(const std::string &query) const;
    // Sets faults of the instance, and what it says of itself: `query` as in instance_standin.cpp, for example "fail=PERCENT" or "leaving=1".
    void controlServer(std::size_t serverIndex, const std::string &query) const;
    // Set the mode of a link in the fault proxy: pass, refuse (reset new connections), cut (close all), blackhole (keep all, forward
    // nothing), silence (as blackhole, but only for the connections open now, whatever the later mode), swallow
    // (forward no replies), mute (forward no requests) or reset (reset the connections open now).
    void setStoreLink(std::size_t nodeIndex, const std::string &mode) const;
    void setServerLink(std::size_t serverIndex, const std::string &mode) const;
    // New connections of the node to all servers that there are now fail; those that are open live on, and other nodes and the store are reached.
    void partitionFromServers(std::size_t nodeIndex, Partition partition) const;
    // Ends the server with SIGKILL and starts another process under its id, with these arguments in place of its own.
    void replaceProcess(std::size_t serverIndex, const std::vector<std::string> &arguments);
    void removeServerEntry(std::size_t serverIndex); // deletes the server's row in the store, as the platform does when a server is silent for some time

    std::string serverId(std::size_t serverIndex) const // id of the instance, as in its row of the store and in executions()
    {
        return m_servers.at(serverIndex).id;
    }
    std::size_t nodeCount() const
    {
        return m_nodes.size();
    }
    std::size_t serverCount() const
    {
        return m_servers.size();
    }
    Process &node(std::size_t nodeIndex)
    {
        return *m_nodes.at(nodeIndex).process;
    }
    Process &server(std::size_t serverIndex)
    {
        return *m_servers.at(serverIndex).process;
    }
    std::string callerAddress(std::size_t nodeIndex) const
    {
        return m_nodes.at(nodeIndex).callerAddress;
    }
    std::string readinessAddress(std::size_t nodeIndex) const
    {
        return m_nodes.at(nodeIndex).readinessAddress;
    }
    std::vector<Execution> executions() const;
    // Attempt ids in the ledger lines of that server with this event, as named in instance_standin.cpp; in the order of the ledger.
    std::vector<std::string> ledgerAttempts(const std::string &event, std::size_t serverIndex) const;
    std::size_t countLedgerLines(const std::string &event, std::size_t serverIndex) const; // the number of these
    std::vector<std::string> foreignInputLines() const; // ledger lines of instances that were given inputs of another request

private:
    struct NodeEntry {
        std::string name;
        std::string settingsFile;
        std::string callerAddress;
        std::string readinessAddress;
        unsigned maxDescriptors = 0; // as in NodeOptions
        std::string partitionFile; // of partition_shim; empty: the node isn't separable
        std::size_t storeLink = 0; // id of the link in the fault proxy
        std::unique_ptr<Process> process;
    };
    struct ServerEntry {
        std::string id;
        std::string service;
        std::vector<std::string> arguments;
        std::unique_ptr<Process> process;
    };
    void startNode(NodeEntry &entry) const;
    void startServer(ServerEntry &entry);
    void startServerProcess(ServerEntry &entry);
    void putConfiguration(const std::string &document) const;
    void transact(const std::string &body) const; // writes to the store; repeated for 60 s at most until it succeeds

    std::string m_folder;
    std::unique_ptr<Poco::Net::ServerSocket> m_darkness; // drops all packets
    std::unique_ptr<Process> m_store;
    std::unique_ptr<Process> m_proxy;
    std::vector<NodeEntry> m_nodes;
    std::vector<ServerEntry> m_servers;
    std::chrono::milliseconds m_routeTimeout{4000};
    std::size_t m_maxBodyBytes = 65536;
    std::uint64_t m_version = 0; // version of the configuration that was written last
    unsigned m_startedInstances = 0; // number of instances started so far; part of each instance's id, so that no id is used twice
};

// Returns a local address whose port is free. The port is lower than those that Linux gives to outgoing connections, so that no connection takes it
// while the node restarts. Each address is returned once, since it is still free until its node has started.
std::string freeAddress();

// Starts two nodes in two data centres, with the default servers and a configuration that has the key "key-1".
std::unique_ptr<EntryCluster> makeTwoNodeCluster(const std::string &name);

} // namespace vanillanotch::test
