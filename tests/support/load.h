// Load of callers through a balancer like the platform's, and the comparison of their answers with the ledger of executions.
#pragma once

#include "harness.h"

#include <random>

namespace vanillanotch::test
{

// Chooses nodes that report ready at /readyz, as the platform's balancer does. A thread checks them periodically.
class Balancer
{
public:
    explicit Balancer(Cluster &cluster);
    ~Balancer();
    void refresh(); // reads the list of nodes from the cluster; must be called after a node was added or replaced
    std::string pick(std::uint64_t random); // caller address of the ready node that the random number selects; empty: no node is ready

private:
    struct Target {
        std::string callerAddress;
        std::string operatorAddress;
        bool ready = false;
    };
    void checkPeriodically();

    Cluster &m_cluster;
    RankedMutex m_mutex{LockRank::Leaf};
    std::condition_variable_any m_wake;
    std::vector<Target> m_targets;
    bool m_stopping = false;
    std::thread m_thread;
};

struct SentRequest {
    std::string pipeline;
    std::string input;
    std::string key; // idempotency key; empty: none
    CallResult result;
};

// Caller threads, each of which sends one request after the other until stop(). The seed and the thread's number decide which pipeline
// a request uses, whether its answer is streamed (never for `payout`) and which ready node it goes to. Of `options`, `stream` and, except
// for the pipeline `answer`, `idempotencyKey` are replaced in each request.
class LoadGenerator
{
public:
    LoadGenerator(Balancer &balancer, std::size_t callers, std::vector<std::string> pipelines, std::uint64_t seed = 1, CallOptions options = {});
    ~LoadGenerator();
    std::vector<SentRequest> stop(); // waits for the running requests; returns all requests that were sent
    std::size_t endedRequests(); // number of requests that have ended so far, failed ones included

private:
    void run(std::size_t caller, std::uint64_t seed);

    Balancer &m_balancer;
    std::vector<std::string> m_pipelines;
    CallOptions m_options;
    std::atomic<bool> m_stopping{false};
    RankedMutex m_mutex{LockRank::Leaf};
    std::vector<SentRequest> m_sent;
    std::vector<std::thread> m_threads;
};

// Compares the answers with the ledger and describes the first contradiction. Empty: no payout was lost or executed twice, no
// request got the answer of another one, and none that was refused with `not_run` was executed.
std::string describeLedgerMismatch(const std::vector<SentRequest> &sent, const std::vector<LedgerLine> &ledger);
std::size_t countStatus(const std::vector<SentRequest> &sent, int status);
std::string describeFailures(const std::vector<SentRequest> &sent); // number of failures by status, error code and outcome

} // namespace vanillanotch::test
