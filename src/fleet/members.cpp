#include "fleet/fleet.h"

#include <algorithm>
#include <cmath>

namespace vanillanotch
{

namespace
{
bool isNewer(const MemberRecord &a, const MemberRecord &b)
{
    return std::tie(a.incarnation, a.version) > std::tie(b.incarnation, b.version);
}
} // namespace

std::string_view memberStateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Left:
        return "gone";
    }
    return "unknown";
}

MemberTable::MemberTable(const Clock &clock, MembershipSettings settings, MemberRecord self)
    : m_clock(clock)
    , m_settings(settings)
    , m_self(std::move(self))
{
}

MemberRecord MemberTable::self() const
{
    const Lock lock(m_mutex);
    return m_self;
}

void MemberTable::updateSelf(MemberState state, Revision revision)
{
    const Lock lock(m_mutex);
    const Revision highest = std::max(m_self.revision, revision); // the higher one is kept: threads that installed two revisions may call in either order
    if (m_self.state == state && m_self.revision == highest) {
        return;
    }
    m_self.state = state;
    m_self.revision = highest;
    ++m_self.version;
}

void MemberTable::setOperatorAddress(const std::string &address)
{
    const Lock lock(m_mutex);
    m_self.operatorAddress = address;
    ++m_self.version;
}

void MemberTable::merge(const std::vector<MemberRecord> &records)
{
    const Lock lock(m_mutex);
    const TimePoint now = m_clock.now();
    for (const MemberRecord &record : records) {
        if (record.name == m_self.name) {
            continue;
        }
        Member &member = m_members[record.name];
        if (member.record.name.empty() || isNewer(record, member.record)) {
            member.record = record;
            member.changedAt = now;
        }
    }
}

void MemberTable::addListed(const std::vector<MemberRecord> &records)
{
    const Lock lock(m_mutex);
    const TimePoint now = m_clock.now();
    for (const MemberRecord &record : records) {
        if (record.name == m_self.name) {
            continue;
        }
        Member &member = m_members[record.name];
        const bool unknown = member.record.name.empty();
        const bool unreachableAndMoved = member.record.peerAddress != record.peerAddress && member.firstFailure != TimePoint{};
        if (unknown || unreachableAndMoved) { // the platform's list may be out of date, so it never replaces the record of a member that the last call reached
            member = Member();
            member.record = record;
            member.changedAt = now;
        }
    }
}

void MemberTable::recordContact(const std::string &name, bool reached)
{
    const Lock lock(m_mutex);
    const auto found = m_members.find(name);
    if (found == m_members.end()) {
        return;
    }
    const TimePoint now = m_clock.now();
    if (reached) {
        found->second.lastReached = now;
        found->second.firstFailure = TimePoint{};
    } else if (found->second.firstFailure == TimePoint{}) {
        found->second.firstFailure = now;
    }
}

bool MemberTable::usableLocked(const Member &member, TimePoint now) const
{
    if (member.record.state != MemberState::Alive) {
        return false;
    }
    const bool failing = member.firstFailure != TimePoint{};
    return !failing || now - member.firstFailure < m_settings.unreachableAfter;
}

std::vector<MemberRecord> MemberTable::usable(const std::string &dataCentre) const
{
    const Lock lock(m_mutex);
    const TimePoint now = m_clock.now();
    std::vector<MemberRecord> records;
    for (const auto &[name, member] : m_members) {
        if (member.record.dataCentre == dataCentre && usableLocked(member, now)) {
            records.push_back(member.record);
        }
    }
    if (m_self.dataCentre == dataCentre && m_self.state == MemberState::Alive) {
        records.push_back(m_self);
    }
    std::sort(records.begin(), records.end(), [](const MemberRecord &a, const MemberRecord &b) {
        return a.name < b.name;
    });
    return records;
}

std::vector<MemberRecord> MemberTable::all() const
{
    const Lock lock(m_mutex);
    std::vector<MemberRecord> records{m_self};
    for (const auto &[name, member] : m_members) {
        records.push_back(member.record);
    }
    return records;
}

std::size_t MemberTable::aliveCount() const
{
    const Lock lock(m_mutex);
    const auto alive = std::count_if(m_members.begin(), m_members.end(), [](const auto &item) {
        return item.second.record.state == MemberState::Alive;
    });
    return static_cast<std::size_t>(alive) + 1;
}

std::uint64_t MemberTable::digest() const
{
    const Lock lock(m_mutex);
    std::uint64_t digest = 0;
    const auto add = [&digest](const MemberRecord &record) {
        // The digest covers name, incarnation and state of each member. The revision of the configuration is left out: it changes often, and each
        // exchange carries the sender's revision anyway.
        digest ^= stableHash(record.name + '/' + std::to_string(record.incarnation) + '/' + std::string(memberStateName(record.state)));
    };
    add(m_self);
    for (const auto &[name, member] : m_members) {
        add(member.record);
    }
    return digest;
}

std::vector<MemberRecord> MemberTable::sample(std::size_t limit)
{
    const Lock lock(m_mutex);
    std::vector<MemberRecord> records{m_self};
    auto it = m_members.upper_bound(m_sampleCursor);
    while (records.size() < limit && records.size() <= m_members.size()) {
        if (it == m_members.end()) {
            it = m_members.begin();
        }
        records.push_back(it->second.record);
        m_sampleCursor = it->first;
        ++it;
    }
    return records;
}

void MemberTable::expireOld()
{
    const Lock lock(m_mutex);
    const TimePoint now = m_clock.now();
    for (auto it = m_members.begin(); it != m_members.end();) {
        const Member &member = it->second;
        const bool left = member.record.state != MemberState::Alive && now - member.changedAt > m_settings.expireAfter;
        const bool unreachable = member.firstFailure != TimePoint{} && now - member.firstFailure > m_settings.expireAfter;
        it = left || unreachable ? m_members.erase(it) : std::next(it);
    }
}

std::vector<PushTarget> pushTargets(const std::vector<MemberRecord> &membersByName, const std::string &self, const std::string &rangeEnd, std::size_t fanOut)
{
    if (rangeEnd == self) {
        return {}; // a leaf of the tree: its range ends with this node, so there is no member left to send the update to
    }
    std::vector<MemberRecord> range;
    const auto start = std::upper_bound(membersByName.begin(), membersByName.end(), self, [](const std::string &name, const MemberRecord &record) {
        return name < record.name;
    });
    const std::size_t offset = static_cast<std::size_t>(start - membersByName.begin());
    const bool wrapsAround = rangeEnd.empty() || rangeEnd < self;
    for (std::size_t i = 0; i < membersByName.size(); ++i) {
        const MemberRecord &record = membersByName[(offset + i) % membersByName.size()];
        const bool isAfterSelf = record.name > self;
        const bool inRange = wrapsAround ? isAfterSelf || rangeEnd.empty() || record.name <= rangeEnd : isAfterSelf && record.name <= rangeEnd;
        if (!inRange || record.name == self) {
            break;
        }
        range.push_back(record);
    }
    std::vector<PushTarget> targets;
    const std::size_t children = std::min(fanOut, range.size());
    std::size_t first = 0;
    for (std::size_t i = 0; i < children; ++i) {
        const std::size_t next = range.size() * (i + 1) / children;
        targets.push_back(PushTarget{range[first], range[next - 1].name});
        first = next;
    }
    return targets;
}

std::vector<MemberRecord> exchangePartners(const std::vector<MemberRecord> &membersByName, const std::string &self)
{
    const auto selfEntry = std::find_if(membersByName.begin(), membersByName.end(), [&self](const MemberRecord &record) {
        return record.name == self;
    });
    std::vector<MemberRecord> partners;
    if (selfEntry == membersByName.end()) {
        // This node isn't in the list, which holds usable members only (it may be leaving, for instance). Without a position in the list any
        // member may be its partner.
        return membersByName;
    }
    const auto selfIndex = static_cast<std::size_t>(selfEntry - membersByName.begin());
    for (std::size_t step = 1; step < membersByName.size(); step *= 2) {
        partners.push_back(membersByName[(selfIndex + step) % membersByName.size()]);
    }
    return partners;
}

bool holdsDuty(const std::vector<MemberRecord> &members, const std::string &self, std::string_view duty, std::size_t count)
{
    const auto hashOf = [duty](const std::string &name) {
        return stableHash(std::string(duty) + '/' + name);
    };
    const std::uint64_t selfHash = hashOf(self);
    std::size_t higher = 0;
    bool present = false;
    for (const MemberRecord &member : members) {
        present = present || member.name == self;
        higher += member.name != self && hashOf(member.name) > selfHash ? 1 : 0;
    }
    return present && higher < count;
}

double dutyRank(const MemberRecord &member, std::string_view duty)
{
    const double uniform = (static_cast<double>(stableHash(std::string(duty) + "/" + member.name)) + 1) / 0x1p64; // above 0, up to 1
    // `uniform` is kept below 1, because its logarithm, the divisor, would be zero at 1.
    return member.cores * member.cores / -std::log(std::min(uniform, 1 - 1e-12));
}

std::vector<MemberRecord> rankForDuty(const std::vector<MemberRecord> &members, const std::string &dataCentre, std::string_view duty)
{
    std::vector<std::pair<double, const MemberRecord *>> ranked;
    for (const MemberRecord &member : members) {
        if (member.dataCentre == dataCentre && member.state == MemberState::Alive) {
            ranked.emplace_back(dutyRank(member, duty), &member);
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : a.second->name < b.second->name;
    });
    std::vector<MemberRecord> records;
    records.reserve(ranked.size());
    for (const auto &[rank, member] : ranked) {
        records.push_back(*member);
    }
    return records;
}

} // namespace vanillanotch
