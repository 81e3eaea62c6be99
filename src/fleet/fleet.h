// vanillanotch fleet library: what runs where, and in what state.
//
// Index of sections:
//   [SERVERS]  BackendServerTable: load, health and leaving state of backend servers
//   [ROUTING]  RoutingPolicy: which fit server gets a stage
//   [MEMBERS]  MemberTable: the entry VMs of all data centres
//
// Rules this aggregate enforces:
//   - a leaving server gets no new work;
//   - a server holds at most its declared concurrency from this node;
//   - a failing server is quarantined, then probed by one call at a time.
#pragma once

#include "base/base.h"
#include "configuration/configuration.h"

#include <boost/intrusive/list.hpp>

#include <random>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [ROUTING]
//-----------------------------------------------------------------------------

// One server that passed the hard gates, as a policy sees it.
struct ServerView {
    std::string_view name;
    bool local = true; // in this node's data centre
    unsigned inFlight = 0; // from this node
    unsigned concurrency = 1; // declared
    double reportedLoad = 0; // 0 to 1 and above, from the last answer; queue included
    Duration expectedTime{}; // average service time seen by this node
    Duration networkDelay{}; // there and back
    double pricePerSecond = 0;
};

struct RoutingInput {
    Duration slack{}; // time the stage may take
    double costWeight = 0; // from the preset in force
    std::uint64_t affinity = 0; // hash of what makes a server's cache useful; 0: none
};

// Picks among servers that all pass the hard gates. Called with the table's lock held: no waiting, no I/O.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;
    virtual std::string_view name() const = 0;
    virtual std::size_t choose(const RoutingInput &input, const std::vector<ServerView> &servers) = 0; // servers isn't empty
};

std::unique_ptr<RoutingPolicy> makeDeadlineCostRouting(); // within the slack the cheapest, weighed by the preset
std::unique_ptr<RoutingPolicy> makeRoundRobinRouting(); // baseline
std::unique_ptr<RoutingPolicy> makeLeastOutstandingRouting(); // baseline
// Policy by name: "deadline_cost" (default), "round_robin", "least_outstanding"; nullptr: unknown.
std::unique_ptr<RoutingPolicy> makeRouting(std::string_view name);

Duration predictedTime(const ServerView &server); // queueing and network included

//-----------------------------------------------------------------------------
// [SERVERS]
//-----------------------------------------------------------------------------

enum class ServerCallOutcome {
    Succeeded,
    Busy, // the server refused for load; healthy
    Failed, // counts against the server's health
    Inconclusive, // caller gone or attempt cancelled; says nothing about the server
};

struct HealthSettings {
    unsigned failuresToQuarantine = 3; // in a row
    std::chrono::milliseconds firstQuarantine{500}; // doubles with each further failure
    std::chrono::milliseconds longestQuarantine{10000};
};

struct ServerState {
    std::string name;
    std::string dataCentre;
    unsigned inFlight = 0;
    unsigned concurrency = 0;
    double reportedLoad = 0;
    unsigned failuresInARow = 0;
    bool quarantined = false;
    bool leaving = false;
    Duration averageTime{};
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
};

class BackendServerTable;

// A place on a backend server. Give it back with finish(); a destroyed lease counts as abandoned.
class ServerLease
{
public:
    ServerLease() = default;
    ServerLease(BackendServerTable *table, BackendServerSpec spec);
    const BackendServerSpec &server() const
    {
        return m_held.get_deleter().spec;
    }
    void finish(ServerCallOutcome verdict, Duration serviceTime, std::optional<double> reportedLoad);

private:
    struct Abandon { // of a lease that ends unfinished
        BackendServerSpec spec;
        void operator()(BackendServerTable *table) const;
    };
    std::unique_ptr<BackendServerTable, Abandon> m_held;
};

struct AcquireInput {
    std::string capability;
    TimePoint waitDeadline; // waits for a free place until then
    std::set<std::string> avoid; // servers that this stage has tried; used again only when no other is fit
    bool exclusive = false; // wants a server with nothing else in flight from this node, and keeps it so
    RoutingInput routing;
    std::function<bool()> cancelled; // asked while waiting; may be empty
};

// Runtime state of the declared backend servers. Thread-safe.
class BackendServerTable
{
public:
    BackendServerTable(const Clock &clock, std::string dataCentre, HealthSettings health, std::unique_ptr<RoutingPolicy> policy);
    ~BackendServerTable();

    void reconcile(const Configuration &configuration); // call with each one that comes into force; an older one is ignored
    // Waits for a place, earliest deadline first. NoFitServer: none can become free; DeadlineExceeded; CallerGone.
    Result<ServerLease> acquire(const AcquireInput &input);

    // The server said so itself, to this node or to a peer. True: this is news.
    bool setLeaving(const std::string &server, bool leaving);
    bool replacePlatformLeaving(const std::set<std::string> &servers); // the platform's list; true: it differs
    std::set<std::string> leavingByPlatform() const;
    std::vector<ServerState> states() const; // for operators
    double utilisation(const std::string &capability) const; // places in use / places, of the servers that pass the gates

private:
    friend class ServerLease;

    struct Server {
        BackendServerSpec spec;
        bool local = true;
        Duration networkDelay{};
        unsigned inFlight = 0;
        bool heldAlone = false; // by the one call in flight
        bool leavingBySelf = false;
        double reportedLoad = 0;
        TimePoint reportedAt{};
        Duration averageTime{};
        TimePoint measuredAt{}; // last change of the average
        unsigned failuresInARow = 0;
        TimePoint quarantinedUntil{};
        std::uint64_t calls = 0;
        std::uint64_t failures = 0;
    };
    struct Waiter : boost::intrusive::list_base_hook<> {
        std::string capability;
        TimePoint deadline;
        std::condition_variable_any wake;
        bool woken = false;
    };
    enum class Gate { Open, Full, Closed };

    Gate gate(const Server &server, bool alone, TimePoint now) const;
    bool leavingLocked(const Server &server) const;
    // The chosen server; nullptr when all are full (anyFull) or closed.
    Server *chooseLocked(const AcquireInput &input, bool &anyFull);
    Server *chooseAmongLocked(const AcquireInput &input, bool withAvoided, bool &anyFull);
    static void fillUnknownTimes(std::vector<ServerView> &views, const std::vector<Server *> &servers, TimePoint now);
    void enqueueLocked(Waiter &waiter);
    void wakeOneLocked(const BackendServerSpec &spec);
    void release(const std::string &server, ServerCallOutcome verdict, Duration serviceTime, std::optional<double> reportedLoad);

    const Clock &m_clock;
    std::string m_dataCentre;
    HealthSettings m_health;
    std::unique_ptr<RoutingPolicy> m_policy;
    mutable RankedMutex m_mutex{LockRank::BackendServers};
    std::map<std::string, Server> m_servers;
    std::map<std::string, std::vector<std::string>> m_byCapability;
    std::set<std::string> m_leavingByPlatform;
    Revision m_revision = 0; // of the configuration reconciled last
    boost::intrusive::list<Waiter> m_waiters; // earliest deadline first
};

//-----------------------------------------------------------------------------
// [MEMBERS]
//-----------------------------------------------------------------------------

enum class MemberState { Alive, Leaving, Gone };

std::string_view memberStateName(MemberState state);

// What nodes tell each other about an entry VM. The higher (incarnation, version) wins.
struct MemberRecord {
    std::string name;
    std::string dataCentre;
    std::string peerAddress;
    std::string operatorAddress;
    std::uint64_t incarnation = 0; // set at start, from the wall clock
    std::uint64_t version = 0; // raised by the member itself
    MemberState state = MemberState::Alive;
    Revision revision = 0; // configuration in force there
    double cores = 1; // processor that the VM has
};

struct MembershipSettings {
    std::chrono::milliseconds suspectAfter{6000}; // failed exchanges for this long: not used as a relay
    std::chrono::milliseconds expireAfter{60000}; // a member that left or that nobody reaches is dropped
};

class MemberTable
{
public:
    MemberTable(const Clock &clock, MembershipSettings settings, MemberRecord self);

    MemberRecord self() const;
    void updateSelf(MemberState state, Revision revision);
    void setOperatorAddress(const std::string &address); // of this node, once it is bound
    void merge(const std::vector<MemberRecord> &records); // newer records win; one about this node is ignored
    void addListed(const std::vector<MemberRecord> &records); // from the platform's list: adds unknown members only
    void recordContact(const std::string &name, bool reached); // result of an exchange with the member
    std::vector<MemberRecord> usable(const std::string &dataCentre) const; // alive and reached, self included, by name
    std::vector<MemberRecord> all() const; // for operators
    std::size_t aliveCount() const; // in all data centres, self included
    std::uint64_t digest() const; // equal when two nodes know the same about members
    // At most `limit` records, this node's first, then others in turn.
    std::vector<MemberRecord> sample(std::size_t limit);
    void expireOld();

private:
    struct Member {
        MemberRecord record;
        TimePoint lastReached{};
        TimePoint firstFailure{}; // zero: the last exchange worked
        TimePoint changedAt{};
    };
    bool usableLocked(const Member &member, TimePoint now) const;

    const Clock &m_clock;
    MembershipSettings m_settings;
    mutable RankedMutex m_mutex{LockRank::Members};
    MemberRecord m_self;
    std::map<std::string, Member> m_members;
    std::string m_sampleCursor;
};

// Splits the members that come after `self` in ring order, up to `rangeEnd` (empty: the whole ring), among at most
// `fanOut` children.
// A change travels down the tree that these ranges make; each child answers for its own range.
struct PushTarget {
    MemberRecord child;
    std::string rangeEnd; // the last member the child answers for
};
std::vector<PushTarget> pushTargets(const std::vector<MemberRecord> &membersByName, const std::string &self, const std::string &rangeEnd, std::size_t fanOut);

// The members that `self` exchanges with: those 1, 2, 4, 8, ... places further on in the ring. Few, so that their
// connections stay warm; and any two members are a logarithmic number of exchanges apart.
std::vector<MemberRecord> exchangePartners(const std::vector<MemberRecord> &membersByName, const std::string &self);

// Rendezvous hashing in which a VM's chance grows with its processor: higher is better. The square keeps duties off small VMs.
double dutyRank(const MemberRecord &member, std::string_view duty);

// The member that `self` follows for a duty which one of `followers` does for the others of its data centre. nullopt: none, since
// it does the duty itself or there are too few members.
struct DutyLeaderChoice {
    std::optional<MemberRecord> leader;
    bool isLeader = false;
};
DutyLeaderChoice chooseDutyLeader(const std::vector<MemberRecord> &members, const MemberRecord &self, std::string_view duty, std::size_t followers);

// True when the member is one of the `count` that do a duty for the data centre: highest hash of (duty, name) first.
bool holdsDuty(const std::vector<MemberRecord> &members, const std::string &self, std::string_view duty, std::size_t count);

} // namespace vanillanotch
