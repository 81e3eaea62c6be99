// A root is one of the few nodes of a data centre that read the configuration's head and the list of VMs from the platform.
//
// Index of sections: [PLATFORM] [EXCHANGE] [UPDATES]
#include "dissemination/dissemination.h"

#include <algorithm>
#include <random>

namespace vanillanotch
{

ControlPlane::ControlPlane(ControlDependencies dependencies, ControlSettings settings)
    : m_dependencies(dependencies)
    , m_settings(settings)
    , m_self(dependencies.members.self().name)
    , m_dataCentre(dependencies.members.self().dataCentre)
{
    m_dependencies.configurations.addInstalledListener([this](const ConfigurationRef &configuration) {
        configurationInstalled(configuration);
    });
    m_dependencies.suspects.setMarkListener([this](const SuspectMark &mark) {
        PeerUpdate update;
        update.suspects.push_back(mark);
        broadcastAndWait(update); // peers must know the suspect before the request is retried or its caller can send it to another node
    });
    if (m_dependencies.configurations.ready()) { // that configuration came into force before the listener was added, so the listener wasn't called for it
        configurationInstalled(m_dependencies.configurations.current());
    }
}

void ControlPlane::configurationInstalled(const ConfigurationRef &configuration)
{
    m_dependencies.servers.reconcile(*configuration);
    m_dependencies.members.updateSelf(m_dependencies.members.self().state, m_dependencies.configurations.current()->revision());
    logEvent(LogLevel::Info, "configuration.in_force", {{"revision", configuration->revision()}, {"preset", configuration->preset().name}});
}

bool ControlPlane::isRoot() const
{
    return holdsDuty(m_dependencies.members.usable(m_dataCentre), m_self, "root", m_settings.roots);
}

bool ControlPlane::shouldHoldDuty(std::string_view duty) const
{
    return holdsDuty(m_dependencies.members.usable(m_dataCentre), m_self, duty, 1);
}

//-----------------------------------------------------------------------------
// [PLATFORM]
//-----------------------------------------------------------------------------

void ControlPlane::start(const std::set<std::string> &seeds)
{
    readVmList();
    if (m_dependencies.configurationService.catchUp()) {
        return;
    }
    for (const std::string &seed : seeds) {
        const auto answer = m_dependencies.peers.exchange(seed, ExchangeMessage{m_dependencies.members.self(), 0, {}});
        if (answer) {
            applyAnswer(seed, *answer);
        }
    }
}

void ControlPlane::readHead()
{
    if (!isRoot() && m_dependencies.configurations.ready()) {
        return;
    }
    const Revision before = m_dependencies.configurations.current()->revision();
    const auto revision = m_dependencies.configurationService.catchUp();
    if (!revision) {
        m_dependencies.metrics.counter("vanillanotch_platform_failures_total", "call=\"head\"").add();
        return;
    }
    if (*revision <= before) {
        return;
    }
    if (const auto changes = m_dependencies.configurations.changesSince(before); changes && !changes->empty()) {
        PeerUpdate update;
        update.changes = *changes;
        broadcast(update);
    }
}

void ControlPlane::readVmList()
{
    const bool hasNoPeer = m_dependencies.members.usable(m_dataCentre).size() < 2; // usable() includes this node, so fewer than 2 means no peer
    if (!hasNoPeer && !isRoot()) {
        return;
    }
    const auto list = m_dependencies.vms.list();
    if (!list) {
        m_dependencies.metrics.counter("vanillanotch_platform_failures_total", "call=\"vms\"").add();
        return;
    }
    std::vector<MemberRecord> listed;
    std::set<std::string> leaving;
    for (const VmRecord &vm : *list) {
        const bool live = vm.state == VmState::Live;
        if (vm.role == VmRole::Backend && !live) {
            leaving.insert(vm.name);
        } else if (vm.role == VmRole::Entry && live) {
            MemberRecord record;
            record.name = vm.name;
            record.dataCentre = vm.dataCentre;
            record.peerAddress = vm.peerAddress;
            record.operatorAddress = vm.operatorAddress;
            listed.push_back(std::move(record));
        }
    }
    m_dependencies.members.addListed(listed);
    if (m_dependencies.servers.replacePlatformLeaving(leaving)) {
        logEvent(LogLevel::Info, "servers.leaving", {{"count", static_cast<std::uint64_t>(leaving.size())}});
        PeerUpdate update;
        update.leavingServers = leaving;
        broadcast(update);
    }
}

//-----------------------------------------------------------------------------
// [EXCHANGE]
//-----------------------------------------------------------------------------

std::optional<MemberRecord> ControlPlane::pickPeer()
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    const unsigned exchangeNumber = m_exchanges.fetch_add(1);
    std::vector<MemberRecord> candidates;
    if (exchangeNumber % m_settings.remoteExchangeEvery == m_settings.remoteExchangeEvery - 1) {
        for (MemberRecord &member : m_dependencies.members.all()) {
            if (member.dataCentre != m_dataCentre && member.state == MemberState::Alive) {
                candidates.push_back(std::move(member));
            }
        }
    }
    if (candidates.empty()) {
        candidates = exchangePartners(m_dependencies.members.usable(m_dataCentre), m_self);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[random() % candidates.size()];
}

void ControlPlane::exchangeOnce()
{
    m_dependencies.members.expireOld();
    const auto peer = pickPeer();
    if (!peer) {
        return;
    }
    ExchangeMessage message;
    message.sender = m_dependencies.members.self();
    message.memberDigest = m_dependencies.members.digest();
    message.suspects = m_dependencies.suspects.marks();
    const auto answer = m_dependencies.peers.exchange(peer->peerAddress, message);
    m_dependencies.members.recordContact(peer->name, answer.has_value());
    m_dependencies.metrics.counter("vanillanotch_exchanges_total", answer ? "result=\"ok\"" : "result=\"failed\"").add();
    if (answer) {
        applyAnswer(peer->peerAddress, *answer);
    }
}

ExchangeReply ControlPlane::answerExchange(const ExchangeMessage &message)
{
    m_dependencies.members.merge({message.sender});
    m_dependencies.members.recordContact(message.sender.name, true);
    m_dependencies.suspects.merge(message.suspects);
    ExchangeReply answer;
    answer.sender = m_dependencies.members.self();
    answer.suspects = m_dependencies.suspects.marks();
    answer.leavingServers = m_dependencies.servers.leavingByPlatform();
    if (message.memberDigest != m_dependencies.members.digest()) {
        answer.members = m_dependencies.members.sample(m_settings.membersPerExchange);
    }
    if (message.sender.revision < answer.sender.revision) {
        auto changes = m_dependencies.configurations.changesSince(message.sender.revision);
        answer.snapshotNeeded = !changes || changes->size() > m_settings.changesPerExchange;
        if (!answer.snapshotNeeded) {
            answer.changes = std::move(*changes);
        }
    }
    return answer;
}

void ControlPlane::applyAnswer(const std::string &address, const ExchangeReply &answer)
{
    m_dependencies.members.merge({answer.sender});
    m_dependencies.members.merge(answer.members);
    m_dependencies.suspects.merge(answer.suspects);
    // Leaving servers are taken only from a peer of this node's data centre, and never by a root: its readVmList() reads them from the platform.
    if (!isRoot() && answer.sender.dataCentre == m_dataCentre) {
        m_dependencies.servers.replacePlatformLeaving(answer.leavingServers);
    }
    for (const Change &change : answer.changes) {
        if (!m_dependencies.configurations.install(change)) {
            break; // the later changes can't be installed without this one, because changes are installed without a gap
        }
    }
    if (answer.snapshotNeeded) {
        fetchSnapshot(address);
    }
}

bool ControlPlane::fetchSnapshot(const std::string &address)
{
    const auto message = m_dependencies.peers.snapshot(address);
    if (!message || message->revision <= m_dependencies.configurations.current()->revision()) {
        return false;
    }
    const auto configuration = Configuration::build(message->revision, message->entries);
    if (!configuration) {
        logEvent(LogLevel::Error, "configuration.snapshot_invalid", {{"detail", describe(configuration.error())}});
        return false;
    }
    return m_dependencies.configurations.install(*configuration);
}

SnapshotMessage ControlPlane::snapshot() const
{
    const ConfigurationRef current = m_dependencies.configurations.current();
    return SnapshotMessage{current->revision(), current->entries()};
}

Revision ControlPlane::snapshotRevision() const
{
    return m_dependencies.configurations.current()->revision();
}

//-----------------------------------------------------------------------------
// [UPDATES]
//-----------------------------------------------------------------------------

void ControlPlane::broadcast(const PeerUpdate &update)
{
    pushToChildren(update, m_self, std::string());
}

void ControlPlane::broadcastAndWait(const PeerUpdate &update)
{
    pushToChildren(update, m_self, std::string())->wait(m_settings.broadcastTimeout);
}

Ref<Latch> ControlPlane::pushToChildren(const PeerUpdate &update, const std::string &from, const std::string &rangeEnd)
{
    const std::vector<MemberRecord> members = m_dependencies.members.usable(m_dataCentre);
    std::vector<PushTarget> targets = pushTargets(members, from, rangeEnd, m_settings.fanOut);
    targets.erase(std::remove_if(targets.begin(), targets.end(),
                                 [this](const PushTarget &target) {
                                     return target.child.name == m_self;
                                 }),
                  targets.end());
    Ref<Latch> latch = makeRef<Latch>(targets.size());
    for (const PushTarget &target : targets) {
        m_dependencies.workers.post([this, target, update, latch] {
            pushTo(target, update);
            latch->countDown();
        });
    }
    return latch;
}

void ControlPlane::pushTo(const PushTarget &target, PeerUpdate update)
{
    update.rangeEnd = target.rangeEnd;
    const auto pushed = m_dependencies.peers.push(target.child.peerAddress, update);
    m_dependencies.members.recordContact(target.child.name, pushed.has_value());
    if (!pushed) { // the child can't be reached: push to the members below it, so that they need not wait for an exchange
        pushToChildren(update, target.child.name, target.rangeEnd);
    }
}

void ControlPlane::receiveUpdate(const PeerUpdate &update)
{
    bool isNew = !update.suspects.empty() || !update.members.empty();
    const Revision before = m_dependencies.configurations.current()->revision();
    for (const Change &change : update.changes) {
        if (!m_dependencies.configurations.install(change)) {
            break; // for instance because changes before this one are missing: the next exchange brings them
        }
    }
    isNew = isNew || m_dependencies.configurations.current()->revision() > before;
    m_dependencies.suspects.merge(update.suspects);
    m_dependencies.members.merge(update.members);
    if (update.leavingServers) {
        isNew = m_dependencies.servers.replacePlatformLeaving(*update.leavingServers) || isNew;
    }
    if (!isNew) { // nothing changed at this node, for instance because the update has arrived before from another root
        return;
    }
    const Ref<Latch> childrenReplied = pushToChildren(update, m_self, update.rangeEnd);
    // The node that began an update with suspects waits in broadcastAndWait(). So this node replies only when the members below it have the update too.
    if (!update.suspects.empty()) {
        childrenReplied->wait(m_settings.broadcastTimeout);
    }
}

void ControlPlane::announceLeave()
{
    m_dependencies.members.updateSelf(MemberState::Leaving, m_dependencies.configurations.current()->revision());
    PeerUpdate update;
    update.members.push_back(m_dependencies.members.self());
    broadcast(update);
}

} // namespace vanillanotch
