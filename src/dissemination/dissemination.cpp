// Index of sections: [PLATFORM] [EXCHANGE] [NEWS]
#include "dissemination/dissemination.h"

#include <algorithm>
#include <random>

namespace vanillanotch
{

ControlPlane::ControlPlane(ControlDependencies parts, ControlSettings settings)
    : m_parts(parts)
    , m_settings(settings)
    , m_self(parts.members.self().name)
    , m_dataCentre(parts.members.self().dataCentre)
{
    m_parts.configurations.setInstalledListener([this](const ConfigurationRef &configuration) {
        configurationInstalled(configuration);
    });
    m_parts.suspects.setMarkListener([this](const SuspectMark &mark) {
        PeerUpdate news;
        news.suspects.push_back(mark);
        broadcastAndWait(news); // before the request is tried again or its caller can send it to another node
    });
    if (m_parts.configurations.ready()) { // in force before this listener was there
        configurationInstalled(m_parts.configurations.current());
    }
}

void ControlPlane::configurationInstalled(const ConfigurationRef &configuration)
{
    m_parts.servers.reconcile(*configuration);
    m_parts.members.updateSelf(m_parts.members.self().state, m_parts.configurations.current()->revision());
    logEvent(LogLevel::Info, "configuration.in_force", {{"revision", configuration->revision()}, {"preset", configuration->preset().name}});
}

bool ControlPlane::isRoot() const
{
    return holdsDuty(m_parts.members.usable(m_dataCentre), m_self, "root", m_settings.roots);
}

bool ControlPlane::shouldHoldDuty(std::string_view duty) const
{
    return holdsDuty(m_parts.members.usable(m_dataCentre), m_self, duty, 1);
}

//-----------------------------------------------------------------------------
// [PLATFORM]
//-----------------------------------------------------------------------------

void ControlPlane::start(const std::set<std::string> &seeds)
{
    readVmList();
    if (m_parts.configuration.catchUp()) {
        return;
    }
    for (const std::string &seed : seeds) {
        const auto answer = m_parts.peers.exchange(seed, ExchangeMessage{m_parts.members.self(), 0, {}});
        if (answer) {
            applyAnswer(seed, *answer);
        }
    }
}

void ControlPlane::readHead()
{
    if (!isRoot() && m_parts.configurations.ready()) {
        return;
    }
    const Revision before = m_parts.configurations.current()->revision();
    const auto revision = m_parts.configuration.catchUp();
    if (!revision) {
        m_parts.metrics.counter("vanillanotch_platform_failures_total", "call=\"head\"").add();
        return;
    }
    if (*revision <= before) {
        return;
    }
    if (const auto changes = m_parts.configurations.changesSince(before); changes && !changes->empty()) {
        PeerUpdate news;
        news.changes = *changes;
        broadcast(news);
    }
}

void ControlPlane::readVmList()
{
    const bool alone = m_parts.members.usable(m_dataCentre).size() < 2;
    if (!alone && !isRoot()) {
        return;
    }
    const auto list = m_parts.vms.list();
    if (!list) {
        m_parts.metrics.counter("vanillanotch_platform_failures_total", "call=\"vms\"").add();
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
    m_parts.members.addListed(listed);
    if (m_parts.servers.replacePlatformLeaving(leaving)) {
        logEvent(LogLevel::Info, "servers.leaving", {{"count", static_cast<std::uint64_t>(leaving.size())}});
        PeerUpdate news;
        news.leavingServers = leaving;
        broadcast(news);
    }
}

//-----------------------------------------------------------------------------
// [EXCHANGE]
//-----------------------------------------------------------------------------

std::optional<MemberRecord> ControlPlane::pickPeer()
{
    thread_local std::mt19937_64 random{std::random_device{}()};
    const unsigned turn = m_exchanges.fetch_add(1);
    std::vector<MemberRecord> candidates;
    if (turn % m_settings.remoteExchangeEvery == m_settings.remoteExchangeEvery - 1) {
        for (MemberRecord &member : m_parts.members.all()) {
            if (member.dataCentre != m_dataCentre && member.state == MemberState::Alive) {
                candidates.push_back(std::move(member));
            }
        }
    }
    if (candidates.empty()) {
        candidates = exchangePartners(m_parts.members.usable(m_dataCentre), m_self);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[random() % candidates.size()];
}

void ControlPlane::exchangeOnce()
{
    m_parts.members.expireOld();
    const auto peer = pickPeer();
    if (!peer) {
        return;
    }
    ExchangeMessage message;
    message.sender = m_parts.members.self();
    message.memberDigest = m_parts.members.digest();
    message.suspects = m_parts.suspects.marks();
    const auto answer = m_parts.peers.exchange(peer->peerAddress, message);
    m_parts.members.recordContact(peer->name, answer.has_value());
    m_parts.metrics.counter("vanillanotch_exchanges_total", answer ? "result=\"ok\"" : "result=\"failed\"").add();
    if (answer) {
        applyAnswer(peer->peerAddress, *answer);
    }
}

ExchangeAnswer ControlPlane::answer(const ExchangeMessage &message)
{
    m_parts.members.merge({message.sender});
    m_parts.members.recordContact(message.sender.name, true);
    m_parts.suspects.merge(message.suspects);
    ExchangeAnswer answer;
    answer.sender = m_parts.members.self();
    answer.suspects = m_parts.suspects.marks();
    answer.leavingServers = m_parts.servers.leavingByPlatform();
    if (message.memberDigest != m_parts.members.digest()) {
        answer.members = m_parts.members.sample(m_settings.membersPerExchange);
    }
    if (message.sender.revision < answer.sender.revision) {
        auto changes = m_parts.configurations.changesSince(message.sender.revision);
        answer.snapshotNeeded = !changes || changes->size() > m_settings.changesPerExchange;
        if (!answer.snapshotNeeded) {
            answer.changes = std::move(*changes);
        }
    }
    return answer;
}

void ControlPlane::applyAnswer(const std::string &address, const ExchangeAnswer &answer)
{
    m_parts.members.merge({answer.sender});
    m_parts.members.merge(answer.members);
    m_parts.suspects.merge(answer.suspects);
    if (!isRoot() && answer.sender.dataCentre == m_dataCentre) {
        m_parts.servers.replacePlatformLeaving(answer.leavingServers);
    }
    for (const Change &change : answer.changes) {
        if (!m_parts.configurations.install(change)) {
            break;
        }
    }
    if (answer.snapshotNeeded) {
        fetchSnapshot(address);
    }
}

bool ControlPlane::fetchSnapshot(const std::string &address)
{
    const auto message = m_parts.peers.snapshot(address);
    if (!message || message->revision <= m_parts.configurations.current()->revision()) {
        return false;
    }
    const auto configuration = Configuration::build(message->revision, message->entries);
    if (!configuration) {
        logEvent(LogLevel::Error, "configuration.snapshot_invalid", {{"detail", describe(configuration.error())}});
        return false;
    }
    return m_parts.configurations.install(*configuration);
}

SnapshotMessage ControlPlane::snapshot() const
{
    const ConfigurationRef current = m_parts.configurations.current();
    return SnapshotMessage{current->revision(), current->entries()};
}

Revision ControlPlane::snapshotRevision() const
{
    return m_parts.configurations.current()->revision();
}

//-----------------------------------------------------------------------------
// [NEWS]
//-----------------------------------------------------------------------------

void ControlPlane::broadcast(const PeerUpdate &news)
{
    passOn(news, m_self, std::string());
}

void ControlPlane::broadcastAndWait(const PeerUpdate &news)
{
    passOn(news, m_self, std::string())->wait(m_settings.broadcastTimeout);
}

Ref<Latch> ControlPlane::passOn(const PeerUpdate &news, const std::string &from, const std::string &rangeEnd)
{
    const std::vector<MemberRecord> members = m_parts.members.usable(m_dataCentre);
    std::vector<PushTarget> targets = pushTargets(members, from, rangeEnd, m_settings.fanOut);
    targets.erase(std::remove_if(targets.begin(), targets.end(),
                                 [this](const PushTarget &target) {
                                     return target.child.name == m_self;
                                 }),
                  targets.end());
    Ref<Latch> latch = makeRef<Latch>(targets.size());
    for (const PushTarget &target : targets) {
        m_parts.workers.post([this, target, news, latch] {
            pushTo(target, news);
            latch->countDown();
        });
    }
    return latch;
}

void ControlPlane::pushTo(const PushTarget &target, PeerUpdate news)
{
    news.rangeEnd = target.rangeEnd;
    const auto pushed = m_parts.peers.push(target.child.peerAddress, news);
    m_parts.members.recordContact(target.child.name, pushed.has_value());
    if (!pushed) { // its range must not wait for the exchange
        passOn(news, target.child.name, target.rangeEnd);
    }
}

void ControlPlane::receive(const PeerUpdate &news)
{
    bool fresh = !news.suspects.empty() || !news.members.empty();
    const Revision before = m_parts.configurations.current()->revision();
    for (const Change &change : news.changes) {
        if (!m_parts.configurations.install(change)) {
            break; // a gap: the next exchange brings what is missing
        }
    }
    fresh = fresh || m_parts.configurations.current()->revision() > before;
    m_parts.suspects.merge(news.suspects);
    m_parts.members.merge(news.members);
    if (news.leavingServers) {
        fresh = m_parts.servers.replacePlatformLeaving(*news.leavingServers) || fresh;
    }
    if (!fresh) { // another tree has brought it here and further
        return;
    }
    const Ref<Latch> passedOn = passOn(news, m_self, news.rangeEnd);
    if (!news.suspects.empty()) { // the sender waits until every member has it
        passedOn->wait(m_settings.broadcastTimeout);
    }
}

void ControlPlane::announceLeave()
{
    m_parts.members.updateSelf(MemberState::Leaving, m_parts.configurations.current()->revision());
    PeerUpdate news;
    news.members.push_back(m_parts.members.self());
    broadcast(news);
}

} // namespace vanillanotch
