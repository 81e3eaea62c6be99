// vanillanotch instances library: running copies of backend servers, as they have registered themselves.
//
// Index of sections:
//   [SPECS]   InstanceSpec, InstanceView
//   [CHOICE]  ChoicePolicy: which instance gets a request
//   [TABLE]   InstanceTable, InstanceLease
//
// Rules this aggregate enforces:
//   - a draining or removed instance gets no new work;
//   - an instance that fails is avoided for a while, but never most of a service at once;
//   - an entry that lapsed while the registry was away is kept for a short time after its return.
#pragma once

#include "base/base.h"

#include <set>
#include <unordered_map>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [SPECS]
//-----------------------------------------------------------------------------

struct InstanceSpec {
    std::string id;
    std::string service;
    std::string address; // IP:port
    std::string dataCentre;
    unsigned slots = 1; // requests at the same time
    bool draining = false;
    std::int64_t startedUnixMs = 0; // start of the process, Unix ms as it says itself; an id may start again
};

struct ReportedLoad {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
};

// One instance as a policy sees it.
struct InstanceView {
    const InstanceSpec *spec = nullptr;
    bool inPreferredDataCentre = false; // in this node's data centre
    unsigned outstanding = 0; // from this node
    double load = 0; // places in use or waited for / slots, the newest of own and reported figures
    Duration averageTime{}; // zero: not known
    double failureRate = 0; // 0 to 1, recent
    bool suspected = false; // failed just now
};

//-----------------------------------------------------------------------------
// [CHOICE]
//-----------------------------------------------------------------------------

struct ChoiceInput {
    std::string service;
    std::set<std::string> avoid; // ids tried already; used again only when there is no other
    std::uint64_t affinity = 0; // hash of the prompt's shared parts; 0: none
    std::string dataCentre; // preferred; empty: this node's
};

// Called with the table's lock held: no waiting, no I/O. `views` isn't empty; the result is an index into it.
class ChoicePolicy
{
public:
    virtual ~ChoicePolicy() = default;
    virtual std::size_t choose(const ChoiceInput &input, const std::vector<InstanceView> &views) = 0;
};

// The shortest predicted time; ties at random.
std::unique_ptr<ChoicePolicy> makeShortestTimeChoice();
// The same instance for the same prompt prefix on every node, unless it fails or is overloaded: then the next in rank.
std::unique_ptr<ChoicePolicy> makePrefixAffinityChoice();
std::unique_ptr<ChoicePolicy> makeLeastOutstandingChoice(); // baseline

//-----------------------------------------------------------------------------
// [TABLE]
//-----------------------------------------------------------------------------

enum class InstanceCallOutcome {
    Succeeded,
    Failed, // ran and failed, or broke off
    Unreachable, // no connection, or it went silent
    Busy, // refused for load
    Inconclusive, // says nothing about the instance
};

struct InstanceSettings {
    std::string dataCentre; // of this node
    std::chrono::milliseconds suspectDuration{1000}; // after it was unreachable; doubles with each further time
    std::chrono::milliseconds maxSuspectDuration{4000}; // about a heartbeat's expiry: by then the registry knows
    std::chrono::milliseconds missingEntryGrace{1900}; // after the registry's return
    double pastWeight = 0.8; // weight of the past in the moving averages of one outcome
    std::chrono::milliseconds failureHalfLife{4000}; // a bad average loses half of its weight without news
};

class InstanceTable;

// A request's place at an instance. Give it back with finish(); a destroyed lease counts as abandoned.
class InstanceLease
{
public:
    InstanceLease() = default;
    InstanceLease(InstanceTable *table, InstanceSpec spec);
    const InstanceSpec &instance() const
    {
        return m_held.get_deleter().spec;
    }
    void finish(InstanceCallOutcome verdict, Duration time, const std::optional<ReportedLoad> &load);

private:
    struct Release { // without a verdict
        InstanceSpec spec;
        void operator()(InstanceTable *table) const;
    };
    std::unique_ptr<InstanceTable, Release> m_held;
};

class InstanceTable
{
public:
    InstanceTable(const Clock &clock, InstanceSettings settings);

    // `registryAway`: the registry was unreachable until a moment ago, so that missing entries may be back soon.
    void synchronise(const std::vector<InstanceSpec> &all, bool registryAway);
    void upsert(const InstanceSpec &spec);
    void remove(const std::string &id, bool registryAway);

    // NoFitServer: the service has no instance.
    Result<InstanceLease> acquire(const ChoiceInput &input, ChoicePolicy &policy);
    // What acquire() would choose, without a place.
    std::optional<InstanceSpec> preview(const ChoiceInput &input, ChoicePolicy &policy) const;
    std::vector<InstanceSpec> ready(const std::string &service) const; // by id, suspected ones included
    bool usable(const std::string &id) const; // registered and not draining
    bool suspected(const std::string &id) const;
    std::optional<InstanceSpec> findByAddress(const std::string &address) const; // nullopt: no instance is there
    void report(const std::string &id, InstanceCallOutcome verdict, Duration time, const std::optional<ReportedLoad> &load);
    void setChangeListener(std::function<void()> listener); // set once, before use; called without a lock
    std::size_t size() const;

private:
    friend class InstanceLease;
    struct Entry {
        InstanceSpec spec;
        unsigned outstanding = 0;
        std::optional<ReportedLoad> load;
        TimePoint loadAt{};
        Duration averageTime{};
        double failureShare = 0;
        TimePoint failureAt{};
        unsigned unreachable = 0; // in a row
        TimePoint suspectedUntil{};
        std::optional<TimePoint> leavesAt; // lapsed: dropped then unless it is back
    };
    std::vector<InstanceView> viewsLocked(const ChoiceInput &input, TimePoint now) const;
    InstanceView viewLocked(const Entry &entry, TimePoint now) const;
    bool usableLocked(const Entry &entry, TimePoint now) const;
    void upsertLocked(const InstanceSpec &spec);
    void removeLocked(const std::string &id, bool registryAway, TimePoint now);
    void forgetLapsedLocked(TimePoint now);
    void release(const std::string &id);

    const Clock &m_clock;
    const InstanceSettings m_settings;
    mutable RankedMutex m_mutex{LockRank::Instances};
    std::map<std::string, Entry> m_entries;
    std::function<void()> m_listener;
};

} // namespace vanillanotch
