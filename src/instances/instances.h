// vanillanotch instances library: the running copies of backend servers (instances), as listed in the registry, where they register themselves.
// An entry of the registry expires when its instance stops renewing it by heartbeats.
//
// Index of sections:
//   specs.h   InstanceSpec; DataCentreScope, InstanceScope: which data centres and software versions a request may use
//   [SPECS]   InstanceView, NodePlace
//   [PLACES]  Evacuations: data centres whose instances get nothing new
//   [CHOICE]  ChoicePolicy: selects the instance for a request
//   limits.h  InstanceStatement, RequestLimiter, planLimitHolders(): requests to an instance that has stated a limit; RequestRate
//   cold.h    ColdLimiter: how long an instance is cold, and the requests that it gets meanwhile; planColdSenders(): which nodes may send them
//   [TABLE]   InstanceTable: all registered instances; InstanceLease: a request's slot at one of them; QueuePlace: a request that waits for one
//
// Rules this aggregate enforces:
//   - a draining or removed instance gets no new work; entries of an earlier or unknown start don't take back that it is draining;
//   - an instance in an evacuated data centre gets no new work, whichever way that comes;
//   - a request that is bound to a software version gets no instance of another one;
//   - an instance that can't be reached is avoided for a while, unless that would exclude more than half of its service's instances;
//   - an entry that expired while the registry was unreachable is kept for a short time after the registry's return;
//   - an instance that states a limit gets no more requests than that from all nodes together, and what it may not get does not go to
//     one that is slow already;
//   - a cold instance gets no more than its service's rate from all nodes together, also when nodes don't know each other;
//   - an instance that states that it leaves gets nothing more from this node, and one that asks for a pause gets nothing until its end.
#pragma once

#include "base/base.h"
#include "instances/cold.h"
#include "instances/limits.h"
#include "instances/specs.h"
#include "instances/speed.h"

#include <unordered_map>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [SPECS]
//-----------------------------------------------------------------------------

// Load of an instance, as the instance states it in a reply.
struct ReportedLoad {
    unsigned running = 0; // number of requests that the instance runs now
    unsigned waiting = 0; // number of requests in the instance's own queue
    unsigned slots = 0; // largest number of requests that the instance runs at the same time
    double slowdown = 1; // how long work takes there at that moment, as a multiple of the usual time
};

// One instance, as input to a policy.
struct InstanceView {
    const InstanceSpec *spec = nullptr;
    bool inPreferredDataCentre = false; // in the preferred data centre (ChoiceInput::dataCentre; if that is empty, this node's)
    unsigned outstanding = 0; // number of this node's requests that are running there
    // (running + waiting) / slots; the higher of this node's own count and a recent report of the instance, with this node's requests since then.
    double load = 0;
    // Expected time until its reply begins: the moving average (see InstanceSettings::timeHalfLife) or, when that is longer, how long a request
    // has been waiting there for its reply. Zero: unknown.
    Duration expectedTime{};
    double timeFactor = 1; // how long work takes there, as a multiple of the service's usual time, by this node's measurements
    double slowdown = 1; // the same, beyond timeFactor, as the instance has stated it a moment ago
    double prefixRank = 0; // of the instance for the shared parts of the prompt, see prefixRank()
    bool hasPrefix = false; // the first in that order, or has read the shared parts for this node lately: they are probably in its cache
    bool slow = false; // expectedTime is much longer than that of the service's other instances
    double failureRate = 0; // moving average of failures, 0 to 1; decays without new ones
    bool recentlyUnreachable = false; // was unreachable a short time ago
    bool cold = false;
};

// A node, the process on one entry VM that sends requests to instances.
struct NodePlace {
    std::string name;
    std::string dataCentre;
};

//-----------------------------------------------------------------------------
// [PLACES]
//-----------------------------------------------------------------------------

// The evacuated data centres, and those that get their load back after an evacuation. Not thread-safe.
class Evacuations
{
public:
    explicit Evacuations(Duration restoreDuration)
        : m_restoreDuration(restoreDuration)
    {
    }
    struct Change {
        std::vector<std::string> evacuated;
        std::vector<std::string> restored;
        bool empty() const
        {
            return evacuated.empty() && restored.empty();
        }
    };
    Change replace(std::set<std::string> dataCentres, TimePoint now); // returns how the set differs from the former one
    bool includes(const std::string &dataCentre) const
    {
        return m_dataCentres.count(dataCentre) > 0;
    }
    bool restoring(TimePoint now) const; // some data centre is getting its load back
    // 0 when an evacuation of the data centre has just been lifted, rising to 1 over restoreDuration; 1 for all others.
    double restoredShare(const std::string &dataCentre, TimePoint now) const;
    // Part of the requests that may go to a data centre at `share` (0 to 1). The servers there look idle, and get most of the requests that may go there;
    // so the part rises with the square of the share. Requests with the same `affinity` (0: none) return together, each affinity within another
    // third of the time.
    static double returningPart(std::uint64_t affinity, const std::string &dataCentre, double share);

private:
    const Duration m_restoreDuration;
    std::set<std::string> m_dataCentres;
    std::map<std::string, TimePoint> m_restoredAt; // by data centre; those whose last evacuation was lifted
};

//-----------------------------------------------------------------------------
// [CHOICE]
//-----------------------------------------------------------------------------

struct ChoiceInput {
    std::string service;
    std::set<std::string> avoid; // ids of instances already tried; used again only when there is no other
    std::uint64_t affinity = 0; // hash of the shared parts of the prompt; 0: none
    std::string dataCentre; // preferred one; empty: this node's
    std::string wanted; // id of the instance that is taken if it may get a request now; empty: the policy chooses
    Duration expectedTime{}; // until the first event at an engine of usual speed that has the shared parts cached; zero: unknown
    unsigned sharedTokens = 0; // tokens of the shared parts of the prompt
    Duration timePerToken{}; // that an engine of usual speed takes to read one
    std::size_t preferredCount = 1; // instances that are preferred for the shared parts; set by InstanceTable
    bool acceptsSlow = false; // slow instances may be used also while others of the service are limited
    InstanceScope scope; // other instances aren't used
};

// The rank of an instance for the shared parts of a prompt; the highest is the first in the order of preference (weighted rendezvous hashing). All nodes
// compute the same, and adding or removing an instance doesn't change the order of the others. An instance is the first for a share of all prompts
// in proportion to its registered slots. Measured speeds aren't used: they differ from node to node and would move prompts from cache to cache.
double prefixRank(std::uint64_t affinity, const InstanceSpec &spec);

// choose() is called with the lock of InstanceTable held: it must not block or do I/O. `views` isn't empty; the result is an index into it.
class ChoicePolicy
{
public:
    virtual ~ChoicePolicy() = default;
    virtual std::size_t choose(const ChoiceInput &input, const std::vector<InstanceView> &views) = 0;
};

// Chooses the instance with the shortest predicted time for a request. The prediction has a random factor, so that nodes which see the
// same figures spread their requests.
std::unique_ptr<ChoicePolicy> makeShortestTimeChoice();
// Prefix affinity: every node prefers the same instance for the same prompt prefix, because the cache of that instance holds the
// prefix. In the order of InstanceView::prefixRank, the first instance is preferred that was not unreachable a short time ago, doesn't fail often
// and isn't overloaded. While ChoiceInput::expectedTime is known, another instance with room is chosen if its predicted time, with the time to read the
// prefix where it isn't cached, is clearly shorter. If none has room, the one with the shortest predicted time is chosen, as for requests without affinity.
std::unique_ptr<ChoicePolicy> makePrefixAffinityChoice();
// Chooses the instance with the fewest outstanding requests, ties at random. It can be set in place of prefix affinity, to compare the two.
std::unique_ptr<ChoicePolicy> makeLeastOutstandingChoice();

//-----------------------------------------------------------------------------
// [TABLE]
//-----------------------------------------------------------------------------

enum class InstanceCallOutcome {
    Succeeded,
    Failed, // the request ran and failed, the connection broke, or no valid reply came in time
    // No connection, or another instance answers at its address. Calls of stages differ: they report every failure as Unreachable, except
    // that they report nothing for overload or when another instance answers.
    Unreachable,
    Busy, // refused because of overload
    Inconclusive, // cancelled by the caller: no information about the instance
};

struct InstanceSettings {
    std::string node; // name of this node
    std::string dataCentre; // of this node
    LimitSettings limits;
    ColdSettings cold;
    // How long the statement of an instance that it leaves holds, unless it is started again or its entry is removed; it then has not left after all.
    std::chrono::milliseconds maxLeaving{600000};
    std::chrono::milliseconds maxPause{600000}; // a longer pause counts as this one
    std::chrono::milliseconds unreachableDuration{1000}; // how long an unreachable instance is avoided; doubled for each further report in a row
    // Upper limit of the time for which an unreachable instance is avoided. It is about as long as an entry lasts without a heartbeat, so the
    // entry of a stopped instance has expired by then.
    std::chrono::milliseconds maxUnreachableDuration{4000};
    // How long an entry holds, after it was registered last, against ones of an earlier start. Such a one is usually a late write of the former process;
    // but another writer may have stated a wrong start, and the instance's own entries then have the earlier one.
    std::chrono::milliseconds lateEntryTime{10000};
    std::chrono::milliseconds missingEntryGrace{1900}; // how long entries that expired while the registry was unreachable are kept after its return
    double pastWeight = 0.8; // weight of the previous value when a moving average takes in a new outcome
    std::chrono::milliseconds failureHalfLife{4000}; // half-life of the failure average without new outcomes
    // Half-life, without new outcomes, of what an instance's average time has beyond the shortest one of its service. Without it an instance
    // that was slow once would get no request that could show that it isn't any more.
    std::chrono::milliseconds timeHalfLife{4000};
    std::chrono::milliseconds restoreDuration{5000}; // over which a data centre gets its load back when its evacuation is lifted; 0: at once
    // An instance counts as slow when its expected time is longer than both `slowFactor` times the shortest of its service and `minSlowTime`.
    double slowFactor = 3.0;
    // A slowdown beyond this range, in either direction, makes a service count as uneven for this long.
    double unevenFactor = 1.2;
    std::chrono::milliseconds unevenDuration{60000};
    std::chrono::milliseconds minSlowTime{500};
    SpeedSettings speed;
};

class InstanceTable;

// The place of a request that was admitted and wasn't sent yet, among those of this node that want an instance of the service. Released by the
// destructor. See InstanceTable::limitedForNext().
class QueuePlace
{
public:
    QueuePlace(InstanceTable &table, std::string service, int priority); // `priority`: 0 is the most urgent
    ~QueuePlace();
    QueuePlace(const QueuePlace &) = delete;
    QueuePlace &operator=(const QueuePlace &) = delete;

private:
    InstanceTable &m_table;
    const std::string m_service;
    const int m_priority;
};

// The usable instances of a service at one moment, sorted by id; includes recently unreachable ones. Immutable.
class InstanceList : public RefCounted<InstanceList>
{
public:
    explicit InstanceList(std::vector<InstanceSpec> instances);
    const std::vector<InstanceSpec> specs;
    const std::vector<std::string> dataCentres; // that hold these instances, sorted by name
};

using InstanceListRef = Ref<const InstanceList>;

// A request's slot at an instance. recordReply() reports what the head of the reply says, when it comes, and recordFirstEvent() the time that a
// stream took to its first event: the stream may go on for long after both. finish() releases the slot and reports the outcome; the destructor releases it
// without a report.
class InstanceLease
{
public:
    InstanceLease() = default;
    InstanceLease(InstanceTable *table, InstanceSpec spec, TimePoint begun, std::uint64_t affinity = 0, bool hasPrefix = false);
    const InstanceSpec &instance() const
    {
        return m_table.get_deleter().spec;
    }
    void recordReply(const std::optional<ReportedLoad> &load);
    bool hasPrefix() const // InstanceView::hasPrefix when it was chosen
    {
        return m_table.get_deleter().hasPrefix;
    }
    // `expected`: by an engine of usual speed; zero: unknown.
    void recordFirstEvent(Duration time, Duration expected = Duration::zero());
    void finish(InstanceCallOutcome outcome, Duration time); // `time`: until the reply came; zero: unknown, or recorded before

private:
    struct Release { // releases the slot without reporting an outcome
        InstanceSpec spec;
        TimePoint begun{};
        std::uint64_t affinity = 0; // ChoiceInput::affinity
        bool hasPrefix = false;
        void operator()(InstanceTable *table) const;
    };
    std::unique_ptr<InstanceTable, Release> m_table;
};

class InstanceTable
{
public:
    InstanceTable(const Clock &clock, InstanceSettings settings);

    // Takes over `all`, the content of the whole registry: entries that aren't in it are removed as by remove().
    void synchronise(const std::vector<InstanceSpec> &all, Duration registryWorksFor = Duration::max());
    void upsert(const InstanceSpec &spec);
    // Removes an entry that is no longer in the registry. `registryWorksFor`: the registry has been working for at least this long since an outage.
    // When that is less than missingEntryGrace, the instance may register again soon: unless it is draining, its entry is kept for the rest of that
    // time. `seenAgo`: the entry was still in the registry this long ago. When that is less than missingEntryGrace, the
    // grace counts from then, since the instance may have left as long ago as that. The change listener isn't called.
    void remove(const std::string &id, Duration registryWorksFor = Duration::max(), Duration seenAgo = Duration::max());

    // Replaces the set of evacuated data centres. One without registered instances may be among them, and counts once instances register there.
    void setEvacuated(std::set<std::string> dataCentres);
    std::size_t evacuatedCount() const; // evacuated data centres with registered instances
    // How far the instances of a data centre have got their load back after its evacuation, 0 to 1; see Evacuations.
    double restoredShare(const std::string &dataCentre) const;
    // The service has no usable instance within the scope, and the scope is restricted or an evacuation is in force: such requests are refused at
    // once, since waiting for an instance is of no use. False while nothing is registered at all, for example because the registry wasn't read yet.
    bool noneLeft(const std::string &service, const InstanceScope &scope = {}) const;
    bool someUsable(const std::string &service, const InstanceScope &scope) const;
    std::set<std::string> softwareVersions(const std::string &service) const; // of all its registered instances, usable or not

    // The nodes among which limits are divided. Until the first call this node counts as alone; later, while it isn't among them, as not a holder.
    void setNodes(std::vector<NodePlace> nodes);
    void setColdRules(std::map<std::string, ColdRule> rules); // by service; one without a rule has no cold instances
    // The data centres, by service, whose instances this node alone calls as the owner of their stage work (ColdRule::calledByOwner).
    void setOwnedStages(std::map<std::string, std::set<std::string>> dataCentres);
    bool needsOwners() const; // some rule has calledByOwner
    std::size_t coldCount() const; // instances that are cold
    // Records what an instance has said of itself in the head of a reply. An unknown id is ignored.
    void recordStatement(const std::string &id, const InstanceStatement &statement);
    // Time until limits and pauses let some usable instance of the service within the scope get a request from this node; zero: one may, or there is none at
    // all. While one is limited, those that are slow (InstanceView::slow) may not: they have as much as they can do.
    Duration limitedFor(const std::string &service, const InstanceScope &scope = {}) const;
    // The same for a request that arrives now: requests with a QueuePlace that are as urgent or more are sent before it, and those that are more urgent
    // go on coming at their present rate.
    Duration limitedForNext(const std::string &service, int priority, const InstanceScope &scope = {}) const;
    // When a node that alone calls an instance for all others (the owner of its stage work) may call it next; in the past: at once.
    TimePoint callableAt(const std::string &id) const;
    void countCall(const std::string &id); // a call by such a node
    std::size_t limitedCount() const; // instances whose limit is in force

    // Takes a slot at the instance that the policy chooses. NoFitServer: the service has no usable instance. ServersLimited: each of them has
    // asked for a pause, or has stated a limit of which this node's part is used up.
    Result<InstanceLease> acquire(const ChoiceInput &input, ChoicePolicy &policy);
    // What acquire() would choose; takes no slot. nullopt: the service has no usable instance.
    std::optional<InstanceSpec> preview(const ChoiceInput &input, ChoicePolicy &policy) const;
    InstanceListRef usableInstances(const std::string &service) const; // the same object until the table changes
    bool usable(const std::string &id) const; // neither draining, leaving by its own statement nor in an evacuated data centre, and either registered or, after
                                              // its entry expired, still kept for missingEntryGrace
    bool paused(const std::string &id) const; // it wants nothing from this node for a while
    bool recentlyUnreachable(const std::string &id) const;
    std::optional<InstanceSpec> findByAddress(const std::string &address) const; // nullopt: no instance has this address
    void report(const std::string &id, InstanceCallOutcome outcome, Duration time);
    void recordLoad(const std::string &id, const std::optional<ReportedLoad> &load); // as the instance has just stated it
    // Some instance of the service has stated within InstanceSettings::unevenDuration that work takes another time there than usual.
    bool uneven(const std::string &service) const;
    // Call it once, before use. The listener is called after each synchronise() and upsert(), without a lock held.
    void setChangeListener(std::function<void()> listener);
    std::size_t size() const;

private:
    friend class InstanceLease;
    friend class QueuePlace;
    struct Entry {
        InstanceSpec spec;
        TimePoint listedAt{}; // when it was registered last with this start
        unsigned outstanding = 0;
        std::multiset<TimePoint> unanswered; // when the outstanding requests began whose replies haven't
        std::optional<ReportedLoad> load;
        TimePoint loadAt{}; // when the load was reported
        unsigned begunSinceLoad = 0; // this node's requests since then
        InstanceSpeed speed;
        RecentPrefixes prefixes;
        Duration averageTime{};
        TimePoint averageTimeAt{}; // when the average was updated
        double failureRate = 0;
        TimePoint failureRateAt{}; // when the rate was updated
        unsigned unreachableCount = 0; // InstanceCallOutcome::Unreachable reports in a row
        TimePoint unreachableUntil{};
        // Set when the entry expired while the registry was unreachable: the time at which it is removed unless the instance registers again.
        std::optional<TimePoint> removeAt;
        mutable RequestLimiter limiter; // refilled when it is read
        TimePoint leavingUntil{}; // until then its statement that it leaves holds
        TimePoint pausedUntil{};
        mutable ColdLimiter cold; // notes the role in which it was asked last
        mutable std::vector<std::string> coldSenders; // planned from the nodes of the version below
        mutable std::uint64_t coldSendersOf = 0;

        void removeUnanswered(TimePoint begun);
    };
    enum class Limits { Heeded, Ignored };
    // The shortest average times of a service's instances: within a data centre, and outside of it, where the distance takes time too.
    struct ShortestTimes {
        Duration inside = Duration::max();
        Duration outside = Duration::max();
        unsigned measuredOutside = 0;
        void include(const Entry &entry, const std::string &dataCentre);
        Duration of(const Entry &entry, const std::string &dataCentre) const;
    };
    // What limits and pauses leave of a service for this node.
    struct Availability {
        bool someLimited = false;
        bool someFree = false; // some instance that isn't limited is available
        Duration wait{}; // as returned by limitedFor()
        double requestsPerSecond = 0; // of this node, to all limited instances
    };
    // Heeded: only those that may get a request now. It is empty or not whatever `input.avoid` says, so that a request which finds none can wait
    // for limitedFor().
    std::vector<InstanceView> viewsLocked(const ChoiceInput &input, Limits limits, TimePoint now) const;
    Availability availabilityLocked(const std::string &service, const InstanceScope &scope, TimePoint now) const;
    LimitShare shareLocked(const InstanceSpec &spec) const;
    ChoiceInput withPreferredCountLocked(const ChoiceInput &input, const std::vector<InstanceView> &views, TimePoint now) const;
    TimePoint allowedAtLocked(const Entry &entry, TimePoint now) const;
    std::optional<ColdRule> coldRuleLocked(const Entry &entry, TimePoint now) const;
    ColdShare coldShareLocked(const Entry &entry, const ColdRule &rule) const;
    TimePoint coldAllowedAtLocked(const Entry &entry, const ColdRule &rule, TimePoint now) const;
    void recordColdEntryLocked(Entry &entry, bool isNew, TimePoint now);
    void updateColdLocked(Entry &entry, TimePoint now); // to be followed by logColdChanges() when the lock is released
    void logColdChanges();
    InstanceView viewLocked(const Entry &entry, TimePoint now) const;
    Duration averageTimeNow(const Entry &entry, Duration shortest, TimePoint now) const; // `shortest`: as of ShortestTimes
    bool usableLocked(const Entry &entry, TimePoint now) const;
    bool someUsableLocked(const std::string &service, const InstanceScope &scope) const;
    // Removes the instances of data centres to which this request may not return yet. Some instances remain.
    void removeNotRestoredLocked(const ChoiceInput &input, std::vector<InstanceView> &views, TimePoint now) const;
    std::set<std::string> evacuatedLocked() const; // evacuated data centres with registered instances
    void upsertLocked(InstanceSpec spec);
    bool holdsAgainstLocked(const Entry &entry, const InstanceSpec &spec, TimePoint now) const;
    void removeLocked(const std::string &id, Duration registryWorksFor, Duration seenAgo, TimePoint now);
    void removeExpiredLocked(TimePoint now);
    void release(const std::string &id, TimePoint begun);
    void recordReply(const std::string &id, TimePoint begun, const std::optional<ReportedLoad> &load);
    void recordFirstEvent(const std::string &id, Duration time, Duration expected, std::uint64_t affinity);
    void recordHeld(const std::string &service, TimePoint begun);
    void recordTimeLocked(Entry &entry, Duration time, TimePoint now);

    const Clock &m_clock;
    const InstanceSettings m_settings;
    mutable RankedMutex m_mutex{LockRank::Instances};
    std::map<std::string, Entry> m_entries;
    Evacuations m_evacuations;
    struct CachedList {
        InstanceListRef list;
        TimePoint validUntil{}; // when the next of its instances isn't usable any more
    };
    void clearCachesLocked();
    mutable std::map<std::string, CachedList> m_lists; // by service; cleared when entries change
    bool m_hasBeenRead = false; // synchronise() was called
    std::map<std::string, ColdRule> m_coldRules; // by service
    std::map<std::string, std::set<std::string>> m_ownedStages; // data centres by service
    TimePoint m_ownedSince{};
    struct ColdChange {
        std::string instance;
        std::string service;
        Duration remaining{}; // zero: it is warm now
        double requestsPerSecond = 0; // of the rule
    };
    std::vector<ColdChange> m_coldChanges; // not logged yet
    std::vector<NodePlace> m_nodes;
    bool m_isListed = false; // this node is among m_nodes
    TimePoint m_nodesSince{}; // when m_nodes has changed last
    std::uint64_t m_nodesVersion = 0; // grows with each change of m_nodes
    std::size_t m_rank = 0; // of this node by name among m_nodes
    mutable std::map<std::string, std::map<std::string, std::vector<std::string>>> m_limitHolders; // by service; cleared when entries or nodes change
    struct Queue { // of one service and priority
        unsigned places = 0;
        RequestRate admitted; // places a second
    };
    std::map<std::string, PrefixDemand> m_demands; // by service
    std::map<std::string, std::map<int, Queue>> m_queues; // by service and priority
    std::map<std::string, TimePoint> m_unevenUntil; // by service
    std::function<void()> m_listener;
};

} // namespace vanillanotch
