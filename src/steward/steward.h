// vanillanotch steward library: control duties, which float among the living entry VMs of a data centre.
//
// Index of sections:
//   [NEWS]     what peers tell each other
//   [CHANNEL]  PeerChannel: one call to one peer
//   [CONTROL]  ControlDuties: reading the head, spreading changes, membership
//   [DUTIES]   Duty: a lease that one node of a data centre holds
//   [ORDERS]   EngineOrders: orders to model engines, given under a duty
//
// Rules this aggregate enforces:
//   - two nodes never believe at the same time that they hold a duty, as long as monotonic clocks run at like speed;
//   - every holder has a higher fencing number than the ones before it;
//   - an order goes out only while the duty is held with a margin that covers the call.
// The risk that remains, with engines that ignore fencing numbers: an order that left in time may be held up on the way
// for longer than the margin and arrive after a successor's.
//
// No VM is set aside: who does what is a consistent choice over the member list. Two nodes that read the head at once
// cost a few reads and nothing else; orders need the lease.
#pragma once

#include "base/base.h"
#include "configuration/configuration.h"
#include "fleet/fleet.h"
#include "request/request.h"
#include "storage/storage.h"

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [NEWS]
//-----------------------------------------------------------------------------

struct ExchangeMessage {
    MemberRecord sender;
    std::uint64_t memberDigest = 0;
    std::vector<SuspectMark> suspects;
};

struct ExchangeAnswer {
    MemberRecord sender;
    std::vector<MemberRecord> members; // only when the digests differ
    std::vector<SuspectMark> suspects;
    std::vector<Change> changes; // after the asking node's revision, in order
    bool snapshotNeeded = false; // the changes are no longer held
    std::set<std::string> leavingServers; // by the platform's list
};

struct News {
    std::vector<Change> changes; // in order
    std::vector<SuspectMark> suspects;
    std::optional<std::set<std::string>> leavingServers; // by the platform's list; nullopt: no news
    std::vector<MemberRecord> members;
    std::string rangeEnd; // the receiver passes it on to the members after itself up to this one
};

struct SnapshotMessage {
    Revision revision = 0;
    std::vector<Entry> entries;
};

//-----------------------------------------------------------------------------
// [CHANNEL]
//-----------------------------------------------------------------------------

class PeerChannel
{
public:
    virtual ~PeerChannel() = default;
    virtual Result<ExchangeAnswer> exchange(const std::string &address, const ExchangeMessage &message) = 0;
    virtual Result<void> push(const std::string &address, const News &news) = 0;
    virtual Result<SnapshotMessage> snapshot(const std::string &address) = 0;
};

//-----------------------------------------------------------------------------
// [CONTROL]
//-----------------------------------------------------------------------------

struct ControlSettings {
    std::size_t roots = 3; // nodes of a data centre that read the head and the list of VMs
    std::size_t fanOut = 4; // of the tree that spreads news
    std::size_t membersPerExchange = 6; // records sent when the digests differ
    unsigned remoteExchangeEvery = 8; // one exchange in so many goes to another data centre
    std::size_t changesPerExchange = 64;
    std::chrono::milliseconds spreadLimit{800}; // longest wait for all members to have urgent news
};

struct ControlParts {
    const Clock &clock;
    ConfigurationService &configuration;
    ConfigurationTable &configurations;
    MemberTable &members;
    BackendServerTable &servers;
    SuspectTable &suspects;
    VmList &vms;
    PeerChannel &peers;
    WorkerPool &workers;
    MetricsRegistry &metrics;
};

// What a node does for its data centre, and with its peers. Thread-safe.
class ControlDuties
{
public:
    ControlDuties(ControlParts parts, ControlSettings settings);

    // The node's timers call these.
    void start(const std::set<std::string> &seeds); // first look at the platform; peers when it is out
    void readHead(); // at roots, and at every node while it isn't ready
    void readVmList(); // at roots, and at every node that knows no peer
    void exchangeOnce();
    void leave(); // goodbye to the peers

    // Peers call these.
    ExchangeAnswer answer(const ExchangeMessage &message);
    void receive(const News &news);
    SnapshotMessage snapshot() const;
    Revision snapshotRevision() const;

    void spread(const News &news); // over the data centre, from this node; returns at once
    void spreadAndWait(const News &news); // returns when every member has it, or after a bound
    bool isRoot() const;
    bool isChosen(std::string_view duty) const; // the one node of the data centre that should hold the duty

private:
    // The result counts down to zero when the children, and theirs, have the news.
    Ref<Latch> passOn(const News &news, const std::string &from, const std::string &rangeEnd);
    void pushTo(const RelayTarget &target, News news);
    void applyAnswer(const std::string &address, const ExchangeAnswer &answer);
    bool fetchSnapshot(const std::string &address);
    std::optional<MemberRecord> pickPeer();
    void configurationInstalled(const ConfigurationRef &configuration);

    ControlParts m_parts;
    ControlSettings m_settings;
    std::string m_self;
    std::string m_dataCentre;
    std::atomic<unsigned> m_exchanges{0};
};

//-----------------------------------------------------------------------------
// [DUTIES]
//-----------------------------------------------------------------------------

struct DutyRow {
    std::string holder; // name and incarnation of the node
    std::uint64_t fencing = 0;
    std::uint64_t version = 0; // of the row
};

struct EngineOrder {
    std::uint64_t fencing = 0;
    std::string model; // to be loaded
};

// Where duties and orders are kept; errors as of Table.
class DutyStore
{
public:
    virtual ~DutyStore() = default;
    virtual Result<std::optional<DutyRow>> read(const std::string &duty) = 0;
    virtual Result<void> write(const std::string &duty, const DutyRow &row, std::uint64_t expectedVersion) = 0;
    // Before an order to an engine that ignores fencing numbers. ConditionFailed: a later holder has given one.
    virtual Result<void> recordOrder(const std::string &server, const EngineOrder &order) = 0;
};

struct DutySettings {
    std::chrono::milliseconds lease{10000};
    std::chrono::milliseconds margin{2000}; // the holder stops this much earlier, a successor starts this much later
};

// A lease on a row of the platform's table. Only the row's version tells a successor that the holder lives: wall clocks
// play no part. Thread-safe; the platform is called without a lock held.
class Duty
{
public:
    Duty(DutyStore &store, const Clock &clock, std::string name, std::string holder, DutySettings settings);
    // Call a few times in a lease. `wanted`: this node should hold the duty; otherwise it lets the lease end.
    void tick(bool wanted);
    // The fencing number, while the duty is held for at least the margin.
    std::optional<std::uint64_t> fencing() const;
    std::chrono::milliseconds margin() const
    {
        return m_settings.margin;
    }

private:
    void renew(const DutyRow &row);
    void watch(const DutyRow &row);
    bool take(const DutyRow &next, std::uint64_t expectedVersion);

    DutyStore &m_store;
    const Clock &m_clock;
    std::string m_name;
    std::string m_holder;
    DutySettings m_settings;
    mutable RankedMutex m_mutex{LockRank::Duties};
    std::uint64_t m_fencing = 0;
    TimePoint m_heldUntil{};
    std::uint64_t m_seenVersion = 0; // of another holder's row
    TimePoint m_seenSince{};
};

//-----------------------------------------------------------------------------
// [ORDERS]
//-----------------------------------------------------------------------------

struct EngineState {
    std::string model; // loaded now
    std::uint64_t fencing = 0; // highest number seen; 0: ignored or none
};

class EngineChannel
{
public:
    virtual ~EngineChannel() = default;
    virtual Result<EngineState> state(const std::string &address, Duration timeout) = 0;
    virtual Result<void> order(const std::string &address, const EngineOrder &order, Duration timeout) = 0;
};

// Brings the engines of a data centre to what the configuration wants: reads each one's state, orders what differs.
class EngineOrders
{
public:
    EngineOrders(Duty &duty, DutyStore &store, EngineChannel &engines, const Clock &clock, std::string dataCentre);
    void run(const Configuration &configuration); // does nothing unless the duty is held; call from one thread at a time

private:
    static constexpr Duration RecheckInterval = std::chrono::minutes(5); // of an engine that had the wanted model

    struct Confirmed {
        std::string model;
        TimePoint at{};
    };
    bool confirmedLately(const BackendServerSpec &server) const;
    void bringUp(const BackendServerSpec &server);

    Duty &m_duty;
    DutyStore &m_store;
    EngineChannel &m_engines;
    const Clock &m_clock;
    std::string m_dataCentre;
    std::uint64_t m_confirmedUnder = 0; // fencing number: another holder may have ordered otherwise in between
    std::map<std::string, Confirmed> m_confirmed;
};

} // namespace vanillanotch
