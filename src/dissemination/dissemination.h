// vanillanotch dissemination library: how nodes send each other configuration changes, members, suspects and leaving servers.
//
// Terms: the platform is the service outside this project that stores data for all nodes and lists the VMs. Members are the entry VMs. Suspects are
// requests that were in flight when a backend server crashed. Leaving servers are backend servers that are about to stop according to the platform's
// list of VMs; they get no new work. The head is the row of the platform's table that names the newest configuration revision. Roots are the few nodes
// of a data centre that read the head and the list of VMs from the platform. All other nodes learn of changes in two ways: the node that has something
// new (for example a root that read a change, or a node that marked a suspect) sends an update down a tree that spans the members of its data centre,
// and each node makes a periodic exchange with a peer (another node), in which both send what the other may lack. The exchange brings the changes to
// nodes that an update did not reach.
//
// Index of sections:
//   [UPDATES]  the messages between peers
//   [CHANNEL]  PeerChannel: one call to one peer
//   [CONTROL]  ControlPlane: reading the head, sending updates, membership
//
// Rules this aggregate enforces:
//   - changes are installed in order, without a gap; missing changes come with the next exchange;
//   - broadcastAndWait() of an update that holds suspects returns once they have reached the members of the data centre, or after a timeout. It
//     doesn't wait for a member that can't be reached, nor for the members below it in the tree, to which that member's parent sends the update instead.
//
// No VM has a fixed role: each node computes from the member list which nodes are roots, and which one should hold a duty, that is, do a task
// on behalf of all nodes of its data centre. While member lists differ, more nodes than intended may act as roots; that costs a few extra reads and
// nothing else.
#pragma once

#include "base/base.h"
#include "configuration/configuration.h"
#include "fleet/fleet.h"
#include "request/request.h"
#include "storage/storage.h"

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [UPDATES]
//-----------------------------------------------------------------------------

// What a node sends to a peer to begin an exchange.
struct ExchangeMessage {
    MemberRecord sender;
    // MemberTable::digest() of the sender. If the receiver's own digest differs, its reply holds member records. 0: the sender is starting up, so that it
    // gets member records.
    std::uint64_t memberDigest = 0;
    std::vector<SuspectMark> suspects;
};

// The peer's reply to an ExchangeMessage.
struct ExchangeReply {
    MemberRecord sender;
    std::vector<MemberRecord> members; // some of the members that the sender knows; empty if both nodes have the same digest
    std::vector<SuspectMark> suspects;
    std::vector<Change> changes; // those after the revision of the node that began the exchange, in order
    bool snapshotNeeded = false; // true: these changes are too many or not all stored any more; the node that began the exchange must fetch a snapshot
    std::set<std::string> leavingServers; // backend servers that leave according to the platform's list of VMs
};

// An update that is sent down the tree.
struct PeerUpdate {
    std::vector<Change> changes; // in order
    std::vector<SuspectMark> suspects;
    std::optional<std::set<std::string>> leavingServers; // as in ExchangeReply; replaces the set that the receiver has; nullopt: unchanged
    std::vector<MemberRecord> members; // records that changed
    // The receiver pushes the update on to the members that follow it in the order of names (after the last comes the first), up to and
    // including the member with this name. Empty: to all members.
    std::string rangeEnd;
};

// The whole configuration in force at a peer.
struct SnapshotMessage {
    Revision revision = 0;
    std::vector<Entry> entries;
};

//-----------------------------------------------------------------------------
// [CHANNEL]
//-----------------------------------------------------------------------------

// Calls the other nodes at their peer addresses. Thread-safe.
class PeerChannel
{
public:
    virtual ~PeerChannel() = default;
    virtual Result<ExchangeReply> exchange(const std::string &address, const ExchangeMessage &message) = 0;
    virtual Result<void> push(const std::string &address, const PeerUpdate &update) = 0;
    virtual Result<SnapshotMessage> snapshot(const std::string &address) = 0;
};

//-----------------------------------------------------------------------------
// [CONTROL]
//-----------------------------------------------------------------------------

struct ControlSettings {
    std::size_t roots = 3; // number of nodes of each data centre that read the head and the list of VMs from the platform
    std::size_t fanOut = 4; // children of a node in the tree that updates are sent down
    std::size_t membersPerExchange = 6; // most member records in an ExchangeReply; a reply has member records only if the two nodes' digests differ
    unsigned remoteExchangeEvery = 8; // one in this many exchanges goes to another data centre
    std::size_t changesPerExchange = 64; // most changes in an ExchangeReply; a node that lacks more fetches a snapshot instead
    // Longest wait for the replies of this node's children in the tree, in broadcastAndWait() and, if the update holds suspects, in receiveUpdate().
    std::chrono::milliseconds broadcastTimeout{800};
};

struct ControlDependencies {
    const Clock &clock;
    ConfigurationService &configurationService;
    ConfigurationTable &configurations;
    MemberTable &members;
    BackendServerTable &servers;
    SuspectTable &suspects;
    VmList &vms;
    PeerChannel &peers;
    WorkerPool &workers;
    MetricsRegistry &metrics;
};

// Keeps a node's configuration, members, suspects and leaving servers up to date, and sends their changes to its peers. Thread-safe.
class ControlPlane
{
public:
    ControlPlane(ControlDependencies dependencies, ControlSettings settings);

    // The node calls these: start() once, announceLeave() when it stops, the others from timers.
    // Reads the list of VMs and the configuration from the platform. If the configuration can't be read, makes an exchange with each seed (the
    // address of a peer).
    void start(const std::set<std::string> &seeds);
    void readHead(); // reads newer changes from the platform and broadcasts them; does nothing unless this node is a root or has no configuration yet
    // Reads the platform's list of VMs and updates the members and the leaving servers from it. Does nothing unless this node is a root or knows no
    // usable member of its data centre besides itself.
    void readVmList();
    void exchangeOnce(); // makes one exchange with a random peer, if one is known; also removes expired members
    void announceLeave(); // marks this node as leaving in its member record, and broadcasts the record

    // Peers call these.
    ExchangeReply answerExchange(const ExchangeMessage &message); // stores the message's member record and suspects, and returns what its sender may lack
    // Applies the update and sends it on down the tree. An update without suspects and members isn't sent on if it changes nothing at this node.
    void receiveUpdate(const PeerUpdate &update);
    SnapshotMessage snapshot() const; // returns the whole configuration in force
    Revision snapshotRevision() const; // returns the revision of the configuration in force

    void broadcast(const PeerUpdate &update); // sends the update to all members of the data centre; returns at once
    // As broadcast(), but returns when each of this node's children in the tree has replied or its call has failed, or when the timeout has passed.
    // If the update holds suspects, a child replies only when the members below it have the update too, or after broadcastTimeout; otherwise it
    // replies at once.
    void broadcastAndWait(const PeerUpdate &update);
    bool isRoot() const; // true: this node reads the head and the list of VMs for its data centre
    bool shouldHoldDuty(std::string_view duty) const; // true for the one node of the data centre that should hold the duty

private:
    // Sends the update to the children among the members that follow `from` up to `rangeEnd` (empty: all members). The latch counts down
    // once for each child, when the child has replied or its call has failed. In an update with suspects, a child replies when its own
    // children have.
    Ref<Latch> pushToChildren(const PeerUpdate &update, const std::string &from, const std::string &rangeEnd);
    void pushTo(const PushTarget &target, PeerUpdate update); // sends the update to one child; if that fails, to the members below it
    void applyAnswer(const std::string &address, const ExchangeReply &answer);
    bool fetchSnapshot(const std::string &address); // fetches the peer's snapshot and installs it if it is newer; true: it was installed
    std::optional<MemberRecord> pickPeer(); // picks a random peer for the next exchange; nullopt: none is known
    // Updates the table of backend servers and this node's member record. Called after each change of the configuration in force.
    void configurationInstalled(const ConfigurationRef &configuration);

    ControlDependencies m_dependencies;
    ControlSettings m_settings;
    std::string m_self; // name of this node
    std::string m_dataCentre;
    std::atomic<unsigned> m_exchanges{0}; // number of exchanges that were begun
};

} // namespace vanillanotch
