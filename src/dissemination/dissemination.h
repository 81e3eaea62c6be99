// vanillanotch spreading library: how nodes learn of configurations, members, suspects and leaving servers from each other.
//
// Index of sections:
//   [NEWS]     what peers tell each other
//   [CHANNEL]  PeerChannel: one call to one peer
//   [CONTROL]  ControlDuties: reading the head, spreading changes, membership
//
// Rules this aggregate enforces:
//   - changes are installed in order, without a gap; what is missing comes with the next exchange;
//   - urgent news is with every member that can be reached before the caller goes on, or the bound has passed.
//
// No VM is set aside: who does what is a consistent choice over the member list. Two nodes that read the head at once
// cost a few reads and nothing else.
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

struct PeerUpdate {
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
    virtual Result<void> push(const std::string &address, const PeerUpdate &news) = 0;
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
    std::chrono::milliseconds broadcastTimeout{800}; // longest wait for all members to have urgent news
};

struct ControlDependencies {
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
class ControlPlane
{
public:
    ControlPlane(ControlDependencies parts, ControlSettings settings);

    // The node's timers call these.
    void start(const std::set<std::string> &seeds); // first look at the platform; peers when it is out
    void readHead(); // at roots, and at every node while it isn't ready
    void readVmList(); // at roots, and at every node that knows no peer
    void exchangeOnce();
    void announceLeave(); // goodbye to the peers

    // Peers call these.
    ExchangeAnswer answer(const ExchangeMessage &message);
    void receive(const PeerUpdate &news);
    SnapshotMessage snapshot() const;
    Revision snapshotRevision() const;

    void broadcast(const PeerUpdate &news); // over the data centre, from this node; returns at once
    void broadcastAndWait(const PeerUpdate &news); // returns when every member has it, or after a bound
    bool isRoot() const;
    bool shouldHoldDuty(std::string_view duty) const; // the one node of the data centre that should hold the duty

private:
    // The result counts down to zero when the children, and theirs, have the news.
    Ref<Latch> passOn(const PeerUpdate &news, const std::string &from, const std::string &rangeEnd);
    void pushTo(const PushTarget &target, PeerUpdate news);
    void applyAnswer(const std::string &address, const ExchangeAnswer &answer);
    bool fetchSnapshot(const std::string &address);
    std::optional<MemberRecord> pickPeer();
    void configurationInstalled(const ConfigurationRef &configuration);

    ControlDependencies m_parts;
    ControlSettings m_settings;
    std::string m_self;
    std::string m_dataCentre;
    std::atomic<unsigned> m_exchanges{0};
};

} // namespace vanillanotch
