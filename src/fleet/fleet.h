// vanillanotch fleet library: the state of the backend servers and of the entry VMs, as one node knows it. Entry VMs are also called
// members. A capability is a name by which a stage selects the backend servers that may run it. A slot is one of the
// calls that a backend server can run at the same time. A quarantined server gets no calls for a while after repeated failures. A leaving server
// is declared as draining, or is about to stop by its own report or by the platform's list of VMs. The platform
// is the service outside this project that lists the VMs, with some delay, and whose store keeps tables for all nodes.
//
// Index of sections:
//   [ROUTING]  RoutingPolicy: chooses the backend server for a stage
//   [SERVERS]  BackendServerTable: load, health and leaving state of backend servers
//   [MEMBERS]  MemberTable: the entry VMs of all data centres
//
// Rules this aggregate enforces:
//   - a leaving server gets no new work;
//   - a server runs at most its declared concurrency of this node's calls;
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

// What a routing policy is given about one eligible server: it has the capability, is neither leaving nor quarantined, and
// has a free slot.
struct ServerView {
    std::string_view name;
    bool local = true; // in this node's data centre
    unsigned inFlight = 0; // number of this node's calls that the server runs now
    unsigned concurrency = 1; // declared limit of concurrent calls
    // Load stated in the server's last reply: 0 idle, 1 full, above 1 when calls queue there. Also 0 if none was stated or the statement is too old.
    double reportedLoad = 0;
    Duration expectedTime{}; // average service time measured by this node
    Duration networkDelay{}; // duration of the network round trip between this node and the server, as declared; zero within this data centre
    double pricePerSecond = 0; // of service time
};

struct RoutingInput {
    Duration slack{}; // time that the stage may take, so that the request still meets its deadline
    // From the preset in force, a named set of settings that operators choose: 0 compares servers by time alone, 1 by cost alone. In either case, a predicted
    // time near or beyond the slack counts against a server.
    double costWeight = 0;
    std::uint64_t affinity = 0; // hash of the input whose data a server's cache may hold; 0: none. No code sets it yet, and the policies below ignore it.
};

// Chooses one of the eligible servers. choose() is called with the lock of BackendServerTable held, so it must not wait or do I/O.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;
    virtual std::string_view name() const = 0;
    virtual std::size_t choose(const RoutingInput &input, const std::vector<ServerView> &servers) = 0; // index into servers, which isn't empty
};

// Weighs predicted time against cost by RoutingInput::costWeight; a low price never outweighs a time beyond the slack.
std::unique_ptr<RoutingPolicy> makeDeadlineCostRouting();
std::unique_ptr<RoutingPolicy> makeRoundRobinRouting(); // takes the servers in turn; baseline for comparisons
std::unique_ptr<RoutingPolicy> makeLeastOutstandingRouting(); // baseline for comparisons: fewest calls in flight from this node
// The policy of that name: "deadline_cost" (default of the settings), "round_robin" or "least_outstanding". nullptr: unknown name.
std::unique_ptr<RoutingPolicy> makeRouting(std::string_view name);

Duration predictedTime(const ServerView &server); // of a call that is sent now, including queueing and the network round trip

//-----------------------------------------------------------------------------
// [SERVERS]
//-----------------------------------------------------------------------------

// How a call to a backend server ended, as far as the server's health is concerned.
enum class ServerCallOutcome {
    Succeeded,
    Busy, // refused because the server is full; counts neither as a failure nor as a success
    Failed, // counts against the server's health
    Inconclusive, // caller disconnected, deadline passed, call cancelled or request at fault: says nothing about the server
};

struct HealthSettings {
    unsigned failuresToQuarantine = 3; // number of consecutive failures after which a server is quarantined
    std::chrono::milliseconds firstQuarantine{500}; // duration of the first quarantine; it doubles with each further failure, up to longestQuarantine
    std::chrono::milliseconds longestQuarantine{10000};
};

// One backend server as shown to operators; counts are of this node's calls.
struct ServerState {
    std::string name;
    std::string dataCentre;
    unsigned inFlight = 0;
    unsigned concurrency = 0; // declared
    double reportedLoad = 0; // load that the server stated last, however long ago: 0 idle, 1 full, above 1 when calls queue there; 0 also if none was stated
    unsigned failuresInARow = 0;
    bool quarantined = false;
    bool leaving = false; // declared as draining, or leaving by its own report or by the platform's list of VMs
    Duration averageTime{}; // moving average of the service time; zero: no successful call yet
    std::uint64_t calls = 0; // calls that ended as Succeeded or Failed
    std::uint64_t failures = 0;
};

class BackendServerTable;

// Holds one slot of a backend server. finish() releases it. If a lease is destroyed without finish(), its slot is released and the call counts as
// Inconclusive.
class ServerLease
{
public:
    ServerLease() = default;
    ServerLease(BackendServerTable *table, BackendServerSpec spec);
    const BackendServerSpec &server() const
    {
        return m_table.get_deleter().spec;
    }
    // Releases the slot and records how the call ended. `serviceTime` counts for Succeeded only. `reportedLoad`: the load that the
    // server's reply stated; nullopt: none stated. Calls after the first do nothing.
    void finish(ServerCallOutcome outcome, Duration serviceTime, std::optional<double> reportedLoad);

private:
    struct ReleaseUnfinished { // deleter: runs when a lease ends without finish()
        BackendServerSpec spec;
        void operator()(BackendServerTable *table) const;
    };
    std::unique_ptr<BackendServerTable, ReleaseUnfinished> m_table; // not owned; nullptr: the slot was released, or the lease never held one
};

struct AcquireInput {
    std::string capability;
    TimePoint waitDeadline; // end of the wait for a free slot
    std::set<std::string> avoid; // servers that earlier attempts of the stage have used; chosen only when no other one is available
    std::optional<std::string> softwareVersion; // servers of other versions aren't used; nullopt: any
    bool exclusive = false; // choose a server that runs no other call of this node; no other call is sent to it until this call has ended
    RoutingInput routing;
    std::function<bool()> cancelled; // called while acquire() waits, without the lock held; true ends the wait; may be empty
};

// Runtime state of the declared backend servers. Thread-safe.
class BackendServerTable
{
public:
    BackendServerTable(const Clock &clock, std::string dataCentre, HealthSettings health, std::unique_ptr<RoutingPolicy> policy);
    ~BackendServerTable();

    // Makes the table hold the backend servers that the configuration declares. Call it with each configuration that comes into force; one with a lower
    // revision than the last is ignored.
    void reconcile(const Configuration &configuration);
    // Takes a slot of a server that has the capability and that the policy chooses. Waits while none is free; of several waiting calls, the one with
    // the earliest waitDeadline is woken first. Errors: NoFitServer: every server with
    // the capability is leaving or quarantined, or there is none; DeadlineExceeded: the wait ended; CallerDisconnected: cancelled() returned true.
    Result<ServerLease> acquire(const AcquireInput &input);

    // Stores whether the server has reported to this node that it is about to stop. Returns true when this differs from what was stored.
    bool setLeaving(const std::string &server, bool leaving);
    // Stores which servers leave according to the platform's list of VMs. Returns true when this set differs from the stored one.
    bool replacePlatformLeaving(const std::set<std::string> &servers);
    std::set<std::string> leavingByPlatform() const;
    std::vector<ServerState> states() const; // for operators
    // Slots in use / slots, over the servers of the capability that are neither leaving nor quarantined; 1 when there are none.
    double utilisation(const std::string &capability) const;

private:
    friend class ServerLease;

    struct Server {
        BackendServerSpec spec;
        bool local = true;
        Duration networkDelay{};
        unsigned inFlight = 0;
        bool heldExclusively = false; // the call in flight was acquired as exclusive: no other may start beside it
        bool reportsLeaving = false; // the server has reported that it is about to stop
        double reportedLoad = 0;
        TimePoint reportedAt{}; // of reportedLoad
        Duration averageTime{}; // zero: no successful call yet
        TimePoint measuredAt{}; // last time that the average changed
        unsigned failuresInARow = 0;
        TimePoint quarantinedUntil{};
        std::uint64_t calls = 0;
        std::uint64_t failures = 0;
    };
    struct Waiter : boost::intrusive::list_base_hook<> { // a call of acquire() that waits for a slot
        std::string capability;
        TimePoint deadline;
        std::condition_variable_any wake;
        bool woken = false;
    };
    // Full: no slot is free for this call. Ineligible: the server is leaving or quarantined.
    enum class Availability { Available, Full, Ineligible };

    Availability availability(const Server &server, bool exclusive, TimePoint now) const;
    bool leavingLocked(const Server &server) const;
    // The chosen server; nullptr when none is available. anyFull becomes true when a server is full, so that waiting can help.
    Server *chooseLocked(const AcquireInput &input, bool &anyFull);
    Server *chooseAmongLocked(const AcquireInput &input, bool withAvoided, bool &anyFull);
    // Sets the expectedTime of servers without a measured time, and moves averages that are old towards the lowest one.
    static void adjustExpectedTimes(std::vector<ServerView> &views, const std::vector<Server *> &servers, TimePoint now);
    void enqueueLocked(Waiter &waiter);
    void wakeOneLocked(const BackendServerSpec &spec);
    void release(const std::string &server, ServerCallOutcome outcome, Duration serviceTime, std::optional<double> reportedLoad);

    const Clock &m_clock;
    std::string m_dataCentre;
    HealthSettings m_health;
    std::unique_ptr<RoutingPolicy> m_policy;
    mutable RankedMutex m_mutex{LockRank::BackendServers};
    std::map<std::string, Server> m_servers;
    std::map<std::string, std::vector<std::string>> m_byCapability; // for each capability, the names of the declared servers that have it
    std::set<std::string> m_leavingByPlatform;
    Revision m_revision = 0; // of the configuration that reconcile() took last
    boost::intrusive::list<Waiter> m_waiters; // earliest deadline first
};

//-----------------------------------------------------------------------------
// [MEMBERS]
//-----------------------------------------------------------------------------

// Left: the member's row was removed from the platform's table of members. Peers send the state as a number, so the order of the values must not change.
enum class MemberState { Alive, Leaving, Left };

std::string_view memberStateName(MemberState state);

// What nodes send each other about an entry VM. Of two records of the same member, the one with the higher incarnation is newer; of equal
// incarnations, the one with the higher version.
struct MemberRecord {
    std::string name;
    std::string dataCentre;
    std::string peerAddress;
    std::string operatorAddress;
    std::uint64_t incarnation = 0; // tells starts of the process apart: wall-clock time of the start, in microseconds
    std::uint64_t version = 0; // incremented by the member with each change of its record
    MemberState state = MemberState::Alive;
    Revision revision = 0; // of the configuration in force at the member
    double cores = 1; // processor cores of the VM; may be fractional
    double linkMbps = 0; // speed of the VM's network link, Mbit/s; 0: not stated
    bool keepsScopes = false; // it restricts stage tasks to the data centres that they allow; false for earlier versions of the program
};

struct MembershipSettings {
    std::chrono::milliseconds unreachableAfter{6000}; // a member counts as not usable when all calls to it have failed for this long
    // A member is removed this long after it left or began to leave, or when all calls to it have failed for this long.
    std::chrono::milliseconds expireAfter{60000};
};

// The entry VMs that this node knows, itself included. Thread-safe.
class MemberTable
{
public:
    MemberTable(const Clock &clock, MembershipSettings settings, MemberRecord self);

    MemberRecord self() const;
    void updateSelf(MemberState state, Revision revision); // sets this node's state and revision; a revision below the present one is ignored
    void setOperatorAddress(const std::string &address); // sets this node's operator address, which is known once its listener is bound
    void merge(const std::vector<MemberRecord> &records); // stores the records that are newer than the known ones; one about this node is ignored
    // Records made from the platform's list of VMs: adds unknown members, and replaces a known one if its address differs and the last
    // call to it failed.
    void addListed(const std::vector<MemberRecord> &records);
    void recordContact(const std::string &name, bool reached); // true: a call to the member succeeded, or one came from it; false: a call to it failed
    // The usable members of a data centre, sorted by name: those that are alive, except those that this node has failed to reach for at least
    // MembershipSettings::unreachableAfter. Includes this node while it is alive.
    std::vector<MemberRecord> usable(const std::string &dataCentre) const;
    std::vector<MemberRecord> all() const; // in any state, this node first
    std::size_t aliveCount() const; // members in the state Alive, in all data centres, whether reachable or not; this node always counts
    std::uint64_t digest() const; // of names, incarnations and states: equal when two nodes know the same members
    // At most `limit` records: this node's first, then other members' in the order of names; each call begins after the last member of the former call.
    std::vector<MemberRecord> sample(std::size_t limit);
    void expireOld(); // removes members for which MembershipSettings::expireAfter has passed

private:
    struct Member {
        MemberRecord record;
        TimePoint lastReached{};
        TimePoint firstFailure{}; // time of the first failed call since the last contact; zero: none has failed since
        TimePoint changedAt{}; // last change of the record
    };
    bool usableLocked(const Member &member, TimePoint now) const;

    const Clock &m_clock;
    MembershipSettings m_settings;
    mutable RankedMutex m_mutex{LockRank::Members};
    MemberRecord m_self;
    std::map<std::string, Member> m_members;
    std::string m_sampleCursor; // name of the last member that sample() returned
};

// A child of this node in the tree over which an update is pushed: the child gets the update and passes it on to the
// members that follow the child up to rangeEnd.
struct PushTarget {
    MemberRecord child;
    std::string rangeEnd; // name of the last member of the child's range
};
// Splits the members that follow `self` in ring order (by name, from the last to the first again), up to `rangeEnd` (empty: the
// whole ring), into at most `fanOut` ranges of consecutive members. The first member of each range is the child to which `self` sends the
// update for this range.
std::vector<PushTarget> pushTargets(const std::vector<MemberRecord> &membersByName, const std::string &self, const std::string &rangeEnd, std::size_t fanOut);

// The members with which `self` makes its periodic exchanges, in which two nodes send each other what they know: those 1, 2, 4, 8, ... positions after `self`
// in the ring (the order of names, after the last comes the first again). They are few, so that connections to them stay open, and an update reaches any member
// in a logarithmic number of exchanges. When `self` isn't among the members: all of them.
std::vector<MemberRecord> exchangePartners(const std::vector<MemberRecord> &membersByName, const std::string &self);

// A duty is a task that one or a few members do for others, for instance reading the platform's store. Each node works out
// from its own list of members who does it, without a vote; while these lists differ, more or fewer nodes than intended may do it.

// Rank of a member for a duty by weighted rendezvous hashing; the member of the highest rank is to do it. A VM's weight is the
// square of its cores, which keeps duties off small VMs.
double dutyRank(const MemberRecord &member, std::string_view duty);

// The members of a data centre that are alive, in the order in which they are to do the duty: the highest dutyRank() first.
std::vector<MemberRecord> rankForDuty(const std::vector<MemberRecord> &members, const std::string &dataCentre, std::string_view duty);

// True when `self` is one of the `count` members that do the duty for their data centre: those with the highest hash of (duty, name).
// Unlike dutyRank(), it ignores the members' cores.
bool holdsDuty(const std::vector<MemberRecord> &members, const std::string &self, std::string_view duty, std::size_t count);

} // namespace vanillanotch
