// Callers behind the platform's balancer, and the comparison of what they were told with the ledger of effects.
#pragma once

#include "harness.h"

#include <random>

namespace vanillanotch::test
{

// Sends new connections to nodes whose /readyz says so, as the platform's balancer does.
class Balancer
{
public:
    explicit Balancer(Cluster &cluster);
    ~Balancer();
    void refresh(); // after a node was added or replaced
    std::string pick(std::uint64_t random); // callers' address of a ready node; empty: none

private:
    struct Target {
        std::string callers;
        std::string operators;
        bool ready = false;
    };
    void watch();

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

// Caller threads, each sending one request after the other until stop().
class LoadGenerator
{
public:
    LoadGenerator(Balancer &balancer, std::size_t callers, std::vector<std::string> pipelines, std::uint64_t seed = 1, CallOptions options = {});
    ~LoadGenerator();
    std::vector<SentRequest> stop(); // waits for the requests that are under way
    std::size_t answered(); // so far

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

// What the callers were told against the ledger. Empty: nothing lost, doubled, crossed, and no `not_run` that ran.
std::string compareWithLedger(const std::vector<SentRequest> &sent, const std::vector<LedgerLine> &ledger);
std::size_t countStatus(const std::vector<SentRequest> &sent, int status);
std::string describeFailures(const std::vector<SentRequest> &sent); // counts by status and code

} // namespace vanillanotch::test
