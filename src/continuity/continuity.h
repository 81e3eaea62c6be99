// vanillanotch continuity library: at which software version of its service a stream that broke off may go on.
//
// Instances of several software versions may serve one service side by side, and what two of them write doesn't fit together. Nodes have no disks and may all
// be killed at once, so what a node must know to let a stream go on is in the ledger, tables of the platform's store. A record for each stream would be dear;
// so each service has a default version, and only streams of other versions are recorded, before the caller gets their first event. A stream without a
// record was begun by the default version. The ledger may come back from a copy that is some seconds old; a missing record then proves nothing for a while,
// unless only one version has served.
//
// Index of sections:
//   [LEDGER]   StreamLedger: records of streams and default versions, shared by all nodes
//   [VERSIONS] ServiceVersions: what this node knows of the versions of one service
//   [PEERS]    StreamPeers: other nodes, for one that doesn't reach the ledger
//   [STREAMS]  StreamRecord, StreamVersions: the version at which a stream may begin and go on
//
// Rules this aggregate enforces:
//   - a stream goes on only at the version that began it; where that can't be known, it doesn't go on;
//   - while instances of the default version may take new work, a stream begins at another version only once the ledger holds a record of it;
//   - the default version is replaced only when it has no instances any more, first by none, so that every stream is recorded, and by another one when that
//     has been the only one for as long as a stream may be taken up again.
#pragma once

#include "base/base.h"
#include "instances/instances.h"
#include "transport/transport.h"

#include <deque>
#include <functional>
#include <random>
#include <unordered_map>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [LEDGER]
//-----------------------------------------------------------------------------

struct DefaultVersion {
    std::string version; // empty: none, so that each stream has a record
    std::uint64_t revision = 0; // of the ledger's entry; 0: the service has no entry yet
    std::uint64_t era = 0; // of the ledger when the entry was written
    std::uint64_t ledgerEra = 0; // of the ledger now
    // False: the ledger has lost what was written for some seconds, or may have, so that a record may be missing.
    bool recordsComplete() const
    {
        return revision != 0 && era == ledgerEra;
    }
};

struct StreamVersion {
    std::string stream;
    std::string version; // at which it has begun
};

// `stream`: the id of the caller's attempt that brought its first event. Errors of all: those of StateStore::writeRows().
class StreamLedger
{
public:
    virtual ~StreamLedger() = default;
    virtual Result<std::optional<std::string>> versionOf(const std::string &stream, Duration timeout) = 0; // nullopt: there is no record
    // `replaces`: the stream may have a record, of an attempt that brought the caller nothing. Otherwise ConditionFailed: it has one; so a write that is
    // performed late can't undo a later one.
    virtual Result<void> record(const std::string &stream, const std::string &version, bool replaces, Duration timeout) = 0;
    // Records streams that have begun, over any record that they have. Returns those that could not be recorded.
    virtual std::vector<StreamVersion> recordAll(const std::vector<StreamVersion> &streams, Duration timeout) = 0; // `timeout`: of a write
    virtual Result<DefaultVersion> defaultOf(const std::string &service, Duration timeout) = 0;
    // The new entry is of the era that `replaced` was read in. ConditionFailed: the entry isn't `replaced` any more.
    virtual Result<void> replaceDefault(const std::string &service, const DefaultVersion &replaced, const std::string &version, Duration timeout) = 0;
};

//-----------------------------------------------------------------------------
// [VERSIONS]
//-----------------------------------------------------------------------------

struct ContinuitySettings {
    // Longest time from the first event of a stream until it is taken up for the last time.
    std::chrono::milliseconds streamLifetime{30000};
    std::chrono::milliseconds observationGap{3000}; // a node that hasn't observed a service for longer, because it stood still, begins anew
    std::chrono::milliseconds registrySettling{5000}; // after an outage of the registry, until its entries are complete again
    std::chrono::milliseconds ledgerTimeout{1000}; // of a call to the ledger
    std::chrono::milliseconds ledgerRetry{2000}; // after a failed call to the ledger, streams begin at the default version for this long
    std::chrono::milliseconds failingLedgerTimeout{300}; // of a read in this time, since other nodes are asked after it
    std::size_t maxRemembered = 20000; // streams whose versions this node remembers itself
};

// Not thread-safe. All times are of the same clock.
class ServiceVersions
{
public:
    explicit ServiceVersions(const ContinuitySettings &settings)
        : m_settings(settings)
    {
    }
    // `registered`: the versions of all registered instances. Call it at every change, and at least every observationGap. True: they have changed.
    bool observe(const std::set<std::string> &registered, TimePoint now);
    void recordDefault(const DefaultVersion &read, TimePoint asked); // `asked`: when the read began
    const std::set<std::string> &registered() const
    {
        return m_registered;
    }
    // The default version. nullopt: not known since the registered versions have changed last.
    std::optional<DefaultVersion> knownDefault() const;
    TimePoint defaultAsked() const // when the last read of the default version began
    {
        return m_defaultAsked;
    }
    // The last default version that was read, which may have been replaced since. nullopt: none was read.
    const std::optional<DefaultVersion> &lastDefault() const
    {
        return m_default;
    }
    // Whether a take-up of a stream of this version, finding no record, would not let it go on. `ledgerEra`: the latest that this node knows of.
    bool needsRecord(const std::string &version, std::uint64_t ledgerEra, TimePoint now) const;
    // Whether records are missing that were written, or needn't have been, before the ledger came to this era. False also until the default version is read in
    // it.
    bool recordsMissing(std::uint64_t ledgerEra) const;
    // The version of all registered instances, unless this node has seen another one within streamLifetime. nullopt: there are or were several.
    std::optional<std::string> onlyVersion(TimePoint now) const;
    // What the default version's entry must be replaced with now; empty: none. nullopt: it stays.
    std::optional<std::string> successor(TimePoint now, Duration registryWorksFor) const;

private:
    const ContinuitySettings &m_settings;
    std::set<std::string> m_registered;
    TimePoint m_changedAt{}; // when they have changed last, or when observation began anew
    TimePoint m_observedAt{};
    std::optional<TimePoint> m_otherAt; // when another version than the present only one was registered last, or may have been; nullopt: never
    std::optional<DefaultVersion> m_default;
    TimePoint m_defaultAsked{};
    TimePoint m_defaultSince{}; // when it was read first with its revision, in this era of the ledger
};

//-----------------------------------------------------------------------------
// [PEERS]
//-----------------------------------------------------------------------------

// A stream that a caller takes up again.
struct StreamTakeUp {
    std::string service;
    std::string stream; // empty: the caller doesn't say which
};

class StreamPeerChannel
{
public:
    virtual ~StreamPeerChannel() = default;
    // The version at which the node at `peerAddress` would let the stream go on; that node asks no further one. Errors: StreamUnknown and StreamUnread as
    // that node has them, PeerUnavailable.
    virtual Result<std::string> versionOf(const std::string &peerAddress, const StreamTakeUp &takeUp, Duration timeout) = 0;
};

struct StreamPeer {
    std::string address; // for calls from other nodes
    std::string dataCentre;
};

struct StreamPeerSettings {
    std::size_t maxAsked = 3; // nodes, one after the other
    std::chrono::milliseconds timeout{400}; // of each call
};

// Other nodes, which may reach the ledger when this one doesn't: the store may turn single nodes or data centres away. Thread-safe.
class StreamPeers
{
public:
    // `dataCentre`: this node's. `peers` returns the other nodes that may be asked; it is called for each stream.
    StreamPeers(StreamPeerChannel &channel, std::string dataCentre, std::function<std::vector<StreamPeer>()> peers, StreamPeerSettings settings = {});
    // Asks nodes until one can tell. Errors: StreamUnknown (a node that reaches the ledger says so), StreamUnread (none does).
    Result<std::string> versionOf(const StreamTakeUp &takeUp);

private:
    std::vector<std::string> order(); // addresses: of another data centre and of this one by turns, in random order

    StreamPeerChannel &m_channel;
    const std::string m_dataCentre;
    const std::function<std::vector<StreamPeer>()> m_peers;
    const StreamPeerSettings m_settings;
    RankedMutex m_mutex{LockRank::Leaf};
    std::mt19937_64 m_generator;
};

//-----------------------------------------------------------------------------
// [STREAMS]
//-----------------------------------------------------------------------------

// The record of one stream in the ledger, which is written in the background. Thread-safe.
class StreamRecord : public RefCounted<StreamRecord>
{
public:
    enum class State {
        Pending,
        Written,
        NotWritten, // nothing was done
        Unknown, // it may have been written, or may still be
    };
    // `replaces`: the ledger may hold another record of the stream. `ledgerEra`: the latest that was known before the write.
    StreamRecord(std::string version, bool replaces, std::uint64_t ledgerEra, Ref<WakeupSignal> done);
    const std::string &version() const
    {
        return m_version;
    }
    State state() const
    {
        return m_state;
    }
    bool replaces() const
    {
        return m_replaces;
    }
    std::uint64_t ledgerEra() const
    {
        return m_ledgerEra;
    }
    bool underWay() const
    {
        return m_state == State::Pending || m_state == State::Written;
    }
    bool ledgerMayHoldOne() const // a record of the stream, this or another one
    {
        return m_replaces || m_state != State::NotWritten;
    }
    void finish(State state); // raises the signal

private:
    const std::string m_version;
    const bool m_replaces;
    const std::uint64_t m_ledgerEra;
    const Ref<WakeupSignal> m_done;
    std::atomic<State> m_state{State::Pending};
};

// Thread-safe; calls the ledger without its lock held.
class StreamVersions
{
public:
    StreamVersions(const Clock &clock, const InstanceTable &instances, StreamLedger &ledger, StreamPeers &peers, GrowingPool &pool, ContinuitySettings settings,
                   MetricsRegistry &metrics);
    // The services whose streams may be taken up; those that are asked for are added. Their versions are known before their first stream comes.
    void setServices(const std::set<std::string> &services);
    void instancesChanged();
    // Reads and replaces default versions where that is due, in the background. Call it every second or so. `onDuty`: of all nodes, this one replaces them, and
    // looks whether the ledger has come back from an older copy.
    void maintain(Duration registryWorksFor, bool onDuty);
    // The registry was read in this era of the store, which also holds the ledger. In a new one, records that were lost are written again.
    void registryRead(std::uint64_t era);
    std::size_t mixedServices() const; // services with registered instances of several versions

    // The version at which the stream goes on. Asks the ledger unless this node has begun the stream itself, and other nodes if it doesn't reach the ledger.
    // Errors: StreamUnknown, StreamUnread (the ledger couldn't be asked, or this node doesn't know of the stream's version yet).
    Result<std::string> versionOf(const StreamTakeUp &takeUp);
    Result<std::string> versionForPeer(const StreamTakeUp &takeUp); // the same for another node: asks no further one
    // The only version at which a new stream may begin at the moment; nullopt: any.
    std::optional<std::string> requiredVersion(const std::string &service);
    // Begins to write the record, unless the stream needs none. `former`: the record of an earlier attempt at the same stream, which may hold another version.
    // Returns the record that must be written before the caller gets the first event; null: none.
    Ref<StreamRecord> begin(const std::string &service, const std::string &stream, const std::string &version, const Ref<StreamRecord> &former,
                            const Ref<WakeupSignal> &done);
    // True: a stream whose record couldn't be written may begin all the same, since no take-up would take it for another version's.
    bool mayBeginUnrecorded(const std::string &service, const std::string &version);
    // This node has begun the stream. `record`: its record in the ledger; null: it has none.
    void remember(const std::string &service, const StreamVersion &stream, const Ref<StreamRecord> &record);

private:
    void check(std::optional<Duration> registryWorksFor, bool onDuty); // nullopt: replaces nothing
    struct Followed {
        ServiceVersions versions;
        TimePoint since{}; // when its first instance registered
        std::optional<TimePoint> replaceableSince; // since when the default version's entry is due to be replaced; nullopt: it isn't
    };
    Followed &serviceLocked(const std::string &service);
    void observe(const std::string &service);
    void maintainService(const std::string &service, std::optional<Duration> registryWorksFor);
    Result<DefaultVersion> readDefault(const std::string &service);
    bool takeEraLocked(std::uint64_t era); // true: it is a new one, of a ledger that has come back from an older copy
    std::vector<StreamVersion> unrecordedLocked(const std::string &service) const; // streams that this node remembers and that need a record again
    void recordAgain(const std::string &service);
    Result<std::string> askPeers(const StreamTakeUp &takeUp);
    Result<std::string> decide(const StreamTakeUp &takeUp); // by what this node remembers, and by the ledger
    bool ledgerFailingLocked() const; // a call to it failed a short time ago

    const Clock &m_clock;
    const InstanceTable &m_instances;
    StreamLedger &m_ledger;
    StreamPeers &m_peers;
    GrowingPool &m_pool;
    const ContinuitySettings m_settings;
    Counter &m_records;
    Counter &m_recordFailures;
    mutable RankedMutex m_mutex{LockRank::Continuity};
    std::map<std::string, Followed> m_services;
    std::set<std::string> m_maintained; // services whose default version is being read
    TimePoint m_ledgerFailedAt{};
    std::uint64_t m_ledgerEra = 0; // latest that is known; 0: none
    std::uint64_t m_registryEra = 0; // of this node's copy of the registry
    TimePoint m_eraSince{}; // when it was seen to be a new one; zero: it is the first
    struct Remembered {
        std::string service;
        std::string version;
        TimePoint until{};
        std::uint64_t recordedIn = 0; // era of the ledger in which its record was written last; 0: none is known
    };
    std::unordered_map<std::string, Remembered> m_remembered; // by stream
    std::deque<std::string> m_rememberedOrder; // the oldest first
};

} // namespace vanillanotch
