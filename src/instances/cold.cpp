// Cold instances: how long they stay cold, which nodes may send them requests, and how a node spaces these.
#include "instances/instances.h"

#include <algorithm>
#include <cmath>

namespace vanillanotch
{

namespace
{
constexpr std::chrono::duration<double> MaxInterval = std::chrono::hours(1); // between two requests of a node; longer ones may not fit into the type
} // namespace

std::optional<std::chrono::milliseconds> coldTimeOf(std::chrono::duration<double, std::milli> stated)
{
    if (std::isnan(stated.count())) {
        return std::nullopt;
    }
    const std::chrono::duration<double, std::milli> longest = MaxColdTime;
    return std::chrono::ceil<std::chrono::milliseconds>(std::clamp(stated, decltype(stated)::zero(), longest));
}

std::vector<std::string> planColdSenders(const InstanceSpec &instance, const std::vector<NodePlace> &nodes, std::size_t count)
{
    const auto isNear = [&instance](const NodePlace &node) {
        return node.dataCentre == instance.dataCentre;
    };
    const bool someNear = std::any_of(nodes.begin(), nodes.end(), isNear);
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const NodePlace &node : nodes) {
        if (!someNear || isNear(node)) {
            ranked.emplace_back(stableHash(instance.id + "/" + node.name), node.name);
        }
    }
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>());
    std::vector<std::string> senders;
    std::transform(ranked.begin(), end, std::back_inserter(senders), [](const auto &candidate) {
        return candidate.second;
    });
    return senders;
}

//-----------------------------------------------------------------------------
// ColdLimiter
//-----------------------------------------------------------------------------

void ColdLimiter::recordEntry(std::chrono::milliseconds remaining, const ColdSettings &settings, TimePoint now)
{
    m_started.reset();
    m_entryUntil = now + std::clamp(remaining, std::chrono::milliseconds(0), MaxColdTime);
    if (remaining <= std::chrono::milliseconds(0) && now >= m_replyAt + settings.entryDelay) {
        m_replyUntil = TimePoint{};
    }
}

// A shorter time than that of another reply doesn't replace it: replies may overtake each other.
void ColdLimiter::recordReply(std::chrono::milliseconds remaining, TimePoint now)
{
    m_replyAt = now;
    m_replyUntil = std::max(m_replyUntil, now + std::min(remaining, MaxColdTime));
}

void ColdLimiter::recordStart(TimePoint started)
{
    m_started = started;
}

TimePoint ColdLimiter::coldUntil(const ColdRule &rule) const
{
    const TimePoint startEnds = m_started ? *m_started + std::min(rule.startTime, MaxColdTime) : TimePoint{};
    return std::max({m_entryUntil, m_replyUntil, startEnds});
}

bool ColdLimiter::update(const ColdRule &rule, const ColdSettings &settings, TimePoint now)
{
    const bool isCold = cold(rule, now);
    if (isCold == std::exchange(m_wasCold, isCold)) {
        return false;
    }
    if (isCold) {
        m_senderFrom = std::max(m_senderFrom, now + settings.firstPause);
        m_role.reset();
    }
    return true;
}

double ColdLimiter::rateOf(const ColdShare &share, const ColdRule &rule, const ColdSettings &settings) const
{
    const double tolerated = rule.requestsPerSecond;
    switch (share.role) {
    case ColdRole::Unknown:
        return tolerated * settings.unknownShare / settings.assumedNodes;
    case ColdRole::Outside:
        return 0;
    case ColdRole::Sender:
        break;
    }
    return std::min(tolerated, tolerated * settings.rateShare + settings.rateExtra) / static_cast<double>(share.senders);
}

TimePoint ColdLimiter::allowedAt(const ColdShare &share, const ColdRule &rule, const ColdSettings &settings, TimePoint now)
{
    if (share.role == ColdRole::Outside) {
        m_role = share.role;
        return coldUntil(rule);
    }
    const std::chrono::duration<double> interval(std::min(MaxInterval.count(), 1 / rateOf(share, rule, settings)));
    const bool hasChanged = m_role != share.role;
    m_role = share.role;
    if (share.role == ColdRole::Unknown) {
        m_unknownFrom = hasChanged ? now + std::chrono::duration_cast<Duration>(interval * share.phase) : m_unknownFrom;
        return std::max(m_unknownFrom, m_sentAt + std::chrono::ceil<Duration>(interval));
    }
    if (hasChanged) {
        m_senderFrom = std::max<TimePoint>(m_senderFrom, share.since + settings.takeoverPause);
    }
    return std::max(m_senderFrom, m_sentAt + std::chrono::ceil<Duration>(interval));
}

//-----------------------------------------------------------------------------
// InstanceTable
//-----------------------------------------------------------------------------

void InstanceTable::setColdRules(std::map<std::string, ColdRule> rules)
{
    {
        const Lock lock(m_mutex);
        m_coldRules = std::move(rules);
        const TimePoint now = m_clock.now();
        for (auto &[id, entry] : m_entries) {
            updateColdLocked(entry, now);
        }
    }
    logColdChanges();
}

void InstanceTable::setOwnedStages(std::map<std::string, std::set<std::string>> dataCentres)
{
    const Lock lock(m_mutex);
    if (dataCentres != m_ownedStages) {
        m_ownedStages = std::move(dataCentres);
        m_ownedSince = m_clock.now();
    }
}

bool InstanceTable::needsOwners() const
{
    const Lock lock(m_mutex);
    return std::any_of(m_coldRules.begin(), m_coldRules.end(), [](const auto &rule) {
        return rule.second.calledByOwner;
    });
}

std::size_t InstanceTable::coldCount() const
{
    const Lock lock(m_mutex);
    const TimePoint now = m_clock.now();
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](const auto &entry) {
        return coldRuleLocked(entry.second, now) != std::nullopt;
    }));
}

// The rule in force for an instance that is cold now. nullopt: it is warm.
std::optional<ColdRule> InstanceTable::coldRuleLocked(const Entry &entry, TimePoint now) const
{
    const auto found = m_coldRules.find(entry.spec.service);
    if (found == m_coldRules.end() || !entry.cold.cold(found->second, now)) {
        return std::nullopt;
    }
    ColdRule rule = found->second;
    if (entry.limiter.limited()) {
        rule.requestsPerSecond = std::min(rule.requestsPerSecond, entry.limiter.requestsPerSecond());
    }
    return rule;
}

ColdShare InstanceTable::coldShareLocked(const Entry &entry, const ColdRule &rule) const
{
    ColdShare share;
    share.phase = static_cast<double>(stableHash(m_settings.node + "/" + entry.spec.id) % 10000) / 10000;
    if (!m_isListed) {
        return share;
    }
    if (rule.calledByOwner) {
        const auto owned = m_ownedStages.find(entry.spec.service);
        const bool isOwner = owned != m_ownedStages.end() && owned->second.count(entry.spec.dataCentre) > 0;
        share.role = isOwner ? ColdRole::Sender : ColdRole::Unknown; // another candidate for owner may have to stand in for it
        share.since = std::max(m_ownedSince, m_nodesSince);
        return share;
    }
    if (entry.coldSendersOf != m_nodesVersion) {
        entry.coldSenders = planColdSenders(entry.spec, m_nodes, m_settings.cold.senders);
        entry.coldSendersOf = m_nodesVersion;
    }
    const std::vector<std::string> &senders = entry.coldSenders;
    share.role = std::find(senders.begin(), senders.end(), m_settings.node) != senders.end() ? ColdRole::Sender : ColdRole::Outside;
    share.senders = senders.size();
    share.since = m_nodesSince;
    return share;
}

TimePoint InstanceTable::coldAllowedAtLocked(const Entry &entry, const ColdRule &rule, TimePoint now) const
{
    const ColdShare share = coldShareLocked(entry, rule);
    const TimePoint allowed = entry.cold.allowedAt(share, rule, m_settings.cold, now);
    const bool needsCold = share.role != ColdRole::Unknown || std::none_of(m_entries.begin(), m_entries.end(), [&](const auto &other) {
                               return other.second.spec.service == entry.spec.service && usableLocked(other.second, now) && !coldRuleLocked(other.second, now);
                           });
    return needsCold ? allowed : std::max(allowed, entry.cold.coldUntil(rule));
}

// Takes in what a new or renewed entry says. `isNew`: its process wasn't known.
void InstanceTable::recordColdEntryLocked(Entry &entry, bool isNew, TimePoint now)
{
    const InstanceSpec &spec = entry.spec;
    if (spec.coldRemaining) {
        entry.cold.recordEntry(*spec.coldRemaining, m_settings.cold, now);
    } else if (isNew && m_hasBeenRead && spec.startedUnixMs != 0) {
        const auto wallNow = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.wallNow().time_since_epoch()).count();
        // A difference of any size may come from clocks that are set differently, and from entries with any number in them.
        const double age = static_cast<double>(wallNow) - static_cast<double>(spec.startedUnixMs);
        entry.cold.recordStart(now - coldTimeOf(std::chrono::duration<double, std::milli>(age)).value_or(MaxColdTime));
    }
    updateColdLocked(entry, now);
}

void InstanceTable::updateColdLocked(Entry &entry, TimePoint now)
{
    const auto found = m_coldRules.find(entry.spec.service);
    const ColdRule rule = found == m_coldRules.end() ? ColdRule{} : found->second;
    if (entry.cold.update(rule, m_settings.cold, now)) {
        const Duration remaining = entry.cold.cold(rule, now) ? entry.cold.coldUntil(rule) - now : Duration::zero();
        m_coldChanges.push_back(ColdChange{entry.spec.id, entry.spec.service, remaining, rule.requestsPerSecond});
    }
}

void InstanceTable::logColdChanges()
{
    std::vector<ColdChange> changes;
    {
        const Lock lock(m_mutex);
        changes.swap(m_coldChanges);
    }
    for (const ColdChange &change : changes) {
        if (change.remaining > Duration::zero()) {
            logEvent(LogLevel::Info, "server.cold",
                     {{"instance", change.instance}, {"service", change.service}, {"remaining_ms", change.remaining}, {"per_s", change.requestsPerSecond}});
        } else {
            logEvent(LogLevel::Info, "server.warm", {{"instance", change.instance}, {"service", change.service}});
        }
    }
}

} // namespace vanillanotch
