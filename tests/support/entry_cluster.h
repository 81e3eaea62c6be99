// Runs nodes on a stand-in of the users' platform, as real processes.
//
// Index of sections:
//   [CALLS]      a caller's request and what came back
//   [DEPLOYMENT] store, proxy, backend servers and nodes
#pragma once

#include "harness.h"
#include "transport/transport.h"

namespace vanillanotch::test
{

//-----------------------------------------------------------------------------
// [CALLS]
//-----------------------------------------------------------------------------

enum class CallKind { Idempotent, NonIdempotent, StagedStream, ResumableStream }; // idempotent; not; a stream with stages; a resumable one

struct EntryCall {
    CallKind kind = CallKind::Idempotent;
    std::string attempt; // id
    std::string apiKey = "key-1";
    std::chrono::milliseconds deadline{4000};
};

struct EntryAnswer {
    int status = 0; // 0: no answer
    std::string body;
    bool complete = false; // the body came whole
    bool sealed = false;
    std::optional<double> retryAfter; // seconds
};

EntryAnswer callEntry(const std::string &address, const EntryCall &call);
// What is wrong with a success; empty: it is the whole answer to its own request.
std::string describeFault(const EntryCall &call, const EntryAnswer &answer);

//-----------------------------------------------------------------------------
// [DEPLOYMENT]
//-----------------------------------------------------------------------------

struct Execution {
    std::string instance;
    std::string attempt;
    bool resumed = false;
};

class EntryCluster
{
public:
    explicit EntryCluster(const std::string &name); // of the test; starts the store and the proxy
    ~EntryCluster();

    void addServer(const std::string &service, const std::string &kind, const std::vector<std::string> &arguments = {}); // returns at once
    void addDefaultServers(); // two of each service
    void addNode(const std::string &dataCentre = "dc1"); // its way to the store is a link of its own
    void restartNode(std::size_t node);
    void restartServer(std::size_t worker); // as a new instance
    void writeConfiguration(const std::vector<std::string> &apiKeys);
    void writeUnreadableConfiguration();
    bool awaitReady(Duration limit = std::chrono::seconds(30)); // every node serves

    bool ready(std::size_t node) const; // as the balancer asks
    void controlStore(const std::string &query) const;
    void controlServer(std::size_t worker, const std::string &query) const;
    void setStoreLink(std::size_t node, const std::string &mode) const; // of the fault proxy
    void setServerLink(std::size_t worker, const std::string &mode) const;
    void removeServerEntry(std::size_t worker); // removes its entry, as the platform does after some silence

    std::size_t nodes() const
    {
        return m_nodes.size();
    }
    std::size_t servers() const
    {
        return m_workers.size();
    }
    Process &node(std::size_t node)
    {
        return *m_nodes.at(node).process;
    }
    Process &server(std::size_t worker)
    {
        return *m_workers.at(worker).process;
    }
    std::string callerAddress(std::size_t node) const
    {
        return m_nodes.at(node).callers;
    }
    std::vector<Execution> executions() const;
    std::vector<std::string> foreignInputs() const; // lines about inputs of another request

private:
    struct NodeEntry {
        std::string name;
        std::string settings;
        std::string callers;
        std::string readiness;
        std::size_t link = 0;
        std::unique_ptr<Process> process;
    };
    struct WorkerEntry {
        std::string id;
        std::string service;
        std::vector<std::string> arguments;
        std::unique_ptr<Process> process;
    };
    void startNode(NodeEntry &node) const;
    void startWorker(WorkerEntry &worker);
    void putConfiguration(const std::string &document) const;
    void transact(const std::string &body) const;

    std::string m_folder;
    std::unique_ptr<Process> m_store;
    std::unique_ptr<Process> m_proxy;
    std::vector<NodeEntry> m_nodes;
    std::vector<WorkerEntry> m_workers;
    std::uint64_t m_version = 0;
    unsigned m_started = 0; // instances
};

} // namespace vanillanotch::test
