// vanillanotch placement library: one node, the owner, chooses the model engines of a data centre for the requests of all nodes.
//
// With many nodes and many engines, a node gets only a few replies of each engine a minute. It can't know from them which engines are fast, how
// much work waits at each, and which hold the shared parts of a prompt in their cache. The owner of a data centre's engines knows all three: it is asked
// before each request is sent, and told how long the first event took. A node whose owner doesn't answer chooses by itself.
//
// Index of sections:
//   [DEMAND]  PlacementDemand, PlacementReport: what the owner is asked and told
//   [BOOK]    PlacementBook: work, speed and cache of each engine; chooses the engine
//   [OWNER]   PlacementOwner: chooses for this and other nodes
//   [CLIENT]  EnginePlacement: as requests use it; OwnedPlacement: asks the owner
//
// Rules this aggregate enforces:
//   - only an engine that InstanceTable allows is chosen, and the sending node checks that again;
//   - a request never waits longer than PlacementSettings::timeout for the owner.
#pragma once

#include "deployment/deployment.h"
#include "fleet/fleet.h"
#include "instances/instances.h"
#include "transport/transport.h"

#include <list>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [DEMAND]
//-----------------------------------------------------------------------------

// The shared parts of a prompt up to and including one of them.
struct PromptPrefix {
    std::uint64_t hash = 0; // of the ids of all these parts
    unsigned tokens = 0; // of the last of these parts alone
};

struct PlacementDemand {
    std::string attempt; // id of this attempt at an engine, unique among all nodes; the report names it
    std::string service;
    std::string dataCentre; // whose engines are chosen from
    std::vector<PromptPrefix> prefixes; // the shortest first
    unsigned ownTokens = 0; // of the part that isn't shared
    std::set<std::string> avoid; // ids of engines that were tried already
    // Engine that the asking node has last sent the same shared parts to; empty: none. An owner that has just taken over learns from it where they are
    // cached.
    std::string lastEngine;
    std::chrono::milliseconds targetIn{0}; // time left until the first event should come; negative: it should have come already
};

// The data centre whose owner is asked for prompts with these shared parts: that of the first engine in the order of prefixRank(), which nodes choose by
// themselves too. Health isn't considered: all nodes have to ask the same owner, or the parts would be read in each data centre. `restoredShare` is
// InstanceTable::restoredShare(). Empty: `engines` has none in the scope.
std::string homeDataCentre(std::uint64_t affinity, const InstanceList &engines, const DataCentreScope &scope,
                           const std::function<double(const std::string &)> &restoredShare);

// What became of a placement: the time to the first event, or how the attempt ended before it.
struct PlacementReport {
    std::string attempt;
    std::string service;
    std::string instance;
    std::optional<std::chrono::microseconds> firstEventAfter; // from the call to the first event
    InstanceCallOutcome outcome = InstanceCallOutcome::Inconclusive; // without a first event
};

//-----------------------------------------------------------------------------
// [BOOK]
//-----------------------------------------------------------------------------

struct PlacementSettings {
    std::chrono::milliseconds timeout{150}; // for the owner's answer; a request whose owner is silent is sent by the node's own choice after it
    std::chrono::milliseconds peerPause{2000}; // an owner that didn't answer isn't asked for this long
    std::chrono::milliseconds reportInterval{20}; // reports are collected for this long, then sent in one call to each owner
    std::chrono::milliseconds reportTimeout{500};
    // A placement without a report for this long isn't counted as work any more: its node has failed, or the report was lost.
    std::chrono::milliseconds maxUnreported{8000};
    std::size_t rememberedPrefixes = 2000; // for which a node remembers the engine; beyond it all are forgotten
    std::chrono::microseconds fixedTime{20000}; // part of the time to the first event that doesn't depend on the prompt
    std::chrono::nanoseconds tokenTime{20000}; // time to read one token, until it has been learnt from reports
    // Without reports an engine's speed moves back to the usual one with this half-life: a slow engine would otherwise get no request that could show
    // that it isn't slow any more.
    std::chrono::milliseconds slownessHalfLife{10000};
    double cacheShare = 0.7; // of an engine's KV cache that is taken to hold shared parts; running requests need the rest
    // Weight of the time in which shared parts are read that another engine holds already. More than 1, since the engine's other requests wait for it too.
    double rereadWeight = 2.0;
    double lateWeight = 3.0; // weight of the time by which the first event would miss its target
};

// One engine, as input to PlacementBook::choose().
struct EngineCandidate {
    std::string id;
    double slowdown = 1; // as the engine has stated it a short time ago; 1: as usual, or not stated
    std::size_t cacheTokens = 0; // size of its KV cache; 0: not known, so nothing is taken to be evicted
};

// What is known of the engines of one service and data centre. Not thread-safe.
class PlacementBook
{
public:
    explicit PlacementBook(PlacementSettings settings = {});
    // Index of the engine for the request. `candidates` isn't empty.
    std::size_t choose(const PlacementDemand &demand, const std::vector<EngineCandidate> &candidates, TimePoint now);
    bool holds(const PlacementDemand &demand, const EngineCandidate &engine) const; // all shared parts of the prompt
    void recordPlaced(const PlacementDemand &demand, const EngineCandidate &engine, TimePoint now);
    void recordReport(const PlacementReport &report, TimePoint now);
    std::size_t engineCount() const // that are known, also engines that are gone
    {
        return m_engines.size();
    }

private:
    struct Placed {
        std::string attempt;
        Duration work{}; // expected time for this request alone
        Duration expected{}; // expected time to the first event, with the wait
        unsigned readTokens = 0;
        TimePoint at{};
    };
    struct Cached {
        std::uint64_t hash = 0;
        unsigned tokens = 0;
    };
    struct Engine {
        std::list<Placed> waiting; // placed and without a report, the oldest first
        TimePoint busySince{}; // since when the engine is taken to work on the oldest of them
        double slowness = 1; // measured time / expected time at the moment slownessAt; 1: as fast as the service's engines usually are
        TimePoint slownessAt{};
        std::list<Cached> cached; // the most recently used first
        std::unordered_map<std::uint64_t, std::list<Cached>::iterator> cachedByHash;
        std::size_t cachedTokens = 0;

        void removeExpired(TimePoint before);
        Duration wait(TimePoint now) const;
        unsigned uncachedTokens(const std::vector<PromptPrefix> &prefixes) const; // of the shared parts
        void use(const std::vector<PromptPrefix> &prefixes, std::size_t capacity);
    };
    double slownessOf(const Engine &engine, TimePoint now) const;
    std::size_t cacheCapacity(const EngineCandidate &engine) const; // tokens of shared parts; 0: not limited
    // Forgets engines that aren't candidates any more, once they are as many as the others: each start of an engine has an id of its own.
    void forgetOthers(const std::vector<EngineCandidate> &candidates);
    Duration readTime(unsigned tokens) const; // at an engine of usual speed

    const PlacementSettings m_settings;
    std::unordered_map<std::string, Engine> m_engines; // by instance id
    double m_tokenSeconds; // time to read one token at an engine of usual speed
};

//-----------------------------------------------------------------------------
// [OWNER]
//-----------------------------------------------------------------------------

// Chooses engines for all nodes, as long as these take this node to be the owner. Thread-safe.
class PlacementOwner
{
public:
    PlacementOwner(const Clock &clock, InstanceTable &instances, DeploymentTable &deployments, MetricsRegistry &metrics, PlacementSettings settings = {});
    // Id of the chosen engine; nullopt: the data centre has none that may get a request now.
    std::optional<std::string> place(const PlacementDemand &demand);
    void record(const std::vector<PlacementReport> &reports);
    // As record(), for reports of another node, whose outcomes this node's InstanceTable doesn't know. An engine that fails there would otherwise go on being
    // chosen, since its queue looks short.
    void recordOfOtherNode(const std::vector<PlacementReport> &reports);

private:
    class BookChoice;

    const Clock &m_clock;
    InstanceTable &m_instances;
    DeploymentTable &m_deployments;
    Counter &m_cached; // placements at an engine that holds all shared parts
    Counter &m_uncached;
    const PlacementSettings m_settings;
    RankedMutex m_mutex{LockRank::Placement};
    std::map<std::string, PlacementBook> m_books; // by service
};

//-----------------------------------------------------------------------------
// [CLIENT]
//-----------------------------------------------------------------------------

// Calls to other nodes.
class PlacementChannel
{
public:
    virtual ~PlacementChannel() = default;
    // Error: PeerUnavailable, CallerDisconnected (the wait was cancelled). nullopt: see PlacementOwner::place().
    virtual Result<std::optional<std::string>> place(const std::string &peerAddress, const PlacementDemand &demand, TimePoint until,
                                                     CancellationWatch &cancellation) = 0;
    virtual Result<void> report(const std::string &peerAddress, const std::vector<PlacementReport> &reports, TimePoint until) = 0;
};

// Finds the owner of the engines of a service in a data centre.
class EngineOwnerLookup
{
public:
    virtual ~EngineOwnerLookup() = default;
    virtual std::optional<MemberRecord> engineOwner(const std::string &service, const std::string &dataCentre) = 0; // nullopt: this node
};

class EnginePlacement
{
public:
    virtual ~EnginePlacement() = default;
    // Id of the engine that the request is to be sent to; nullopt: the caller chooses. Blocks for PlacementSettings::timeout at most. Each placement
    // has to be reported once.
    virtual std::optional<std::string> place(const PlacementDemand &demand, CancellationWatch &cancellation) = 0;
    virtual void report(const std::string &dataCentre, const PlacementReport &report) = 0; // doesn't block
};

// For nodes that choose engines by themselves.
class NoPlacement final : public EnginePlacement
{
public:
    std::optional<std::string> place(const PlacementDemand & /*demand*/, CancellationWatch & /*cancellation*/) override
    {
        return std::nullopt;
    }
    void report(const std::string & /*dataCentre*/, const PlacementReport & /*report*/) override
    {
    }
};

// Asks the owner, which may be this node. Thread-safe.
class OwnedPlacement final : public EnginePlacement
{
public:
    OwnedPlacement(const Clock &clock, PlacementOwner &local, EngineOwnerLookup &owners, PlacementChannel &channel, GrowingPool &pool, TimerQueue &timers,
                   MetricsRegistry &metrics, PlacementSettings settings = {});
    std::optional<std::string> place(const PlacementDemand &demand, CancellationWatch &cancellation) override;
    void report(const std::string &dataCentre, const PlacementReport &report) override;

private:
    struct Reports {
        std::string address; // of the owner
        std::vector<PlacementReport> list;
    };
    std::optional<std::string> ask(const PlacementDemand &demand, CancellationWatch &cancellation);
    void flush();

    const Clock &m_clock;
    PlacementOwner &m_local;
    EngineOwnerLookup &m_owners;
    PlacementChannel &m_channel;
    GrowingPool &m_pool;
    TimerQueue &m_timers;
    MetricsRegistry &m_metrics;
    const PlacementSettings m_settings;
    RankedMutex m_mutex{LockRank::Placement};
    std::map<std::string, TimePoint> m_pausedUntil; // by member name: owners that didn't answer
    std::map<std::string, Reports> m_reports; // by member name
    std::unordered_map<std::uint64_t, std::string> m_lastEngines; // by hash of all shared parts; see PlacementDemand::lastEngine
    bool m_flushPlanned = false;
};

} // namespace vanillanotch
