#include "instances/instances.h"

#include <algorithm>
#include <cmath>

namespace vanillanotch
{

namespace
{
constexpr double MaxUnreachableShare = 0.5; // if a larger share of a service's instances is unreachable, the fault is probably at this node, so none is avoided
constexpr unsigned MaxDoublings = 5; // how often the time for which an unreachable instance is avoided is doubled at most
constexpr std::chrono::hours MaxClockDifference{24}; // a start that lies further in the future isn't one
constexpr Duration LoadReportMaxAge = std::chrono::seconds(1); // older load reports are ignored
} // namespace

std::string InstanceSpec::process() const
{
    constexpr std::size_t MaxNamedId = 150; // bytes; the rest is the sign and the digits of the start
    return (id.size() > MaxNamedId ? std::to_string(stableHash(id)) : id) + "@" + std::to_string(startedUnixMs);
}

//-----------------------------------------------------------------------------
// InstanceList
//-----------------------------------------------------------------------------

namespace
{
std::vector<std::string> dataCentresOf(const std::vector<InstanceSpec> &instances)
{
    std::set<std::string> names;
    for (const InstanceSpec &instance : instances) {
        names.insert(instance.dataCentre);
    }
    return {names.begin(), names.end()};
}
} // namespace

InstanceList::InstanceList(std::vector<InstanceSpec> instances)
    : specs(std::move(instances))
    , dataCentres(dataCentresOf(specs))
{
}

//-----------------------------------------------------------------------------
// InstanceLease
//-----------------------------------------------------------------------------

InstanceLease::InstanceLease(InstanceTable *table, InstanceSpec spec, TimePoint begun, std::uint64_t affinity, bool hasPrefix)
    : m_table(table, Release{std::move(spec), begun, affinity, hasPrefix})
{
}

void InstanceLease::Release::operator()(InstanceTable *table) const
{
    table->release(spec.id, begun);
}

void InstanceLease::recordReply(const std::optional<ReportedLoad> &load)
{
    if (m_table) {
        m_table->recordReply(instance().id, m_table.get_deleter().begun, load);
    }
}

void InstanceLease::recordFirstEvent(Duration time, Duration expected)
{
    if (m_table) {
        m_table->recordFirstEvent(instance().id, time, expected, m_table.get_deleter().affinity);
    }
}

void InstanceLease::finish(InstanceCallOutcome outcome, Duration time)
{
    if (InstanceTable *table = m_table.release()) {
        table->release(instance().id, m_table.get_deleter().begun);
        table->report(instance().id, outcome, time);
        if (outcome == InstanceCallOutcome::Succeeded) {
            table->recordHeld(instance().service, m_table.get_deleter().begun);
        }
    }
}

//-----------------------------------------------------------------------------
// InstanceTable
//-----------------------------------------------------------------------------

InstanceTable::InstanceTable(const Clock &clock, InstanceSettings settings)
    : m_clock(clock)
    , m_settings(std::move(settings))
    , m_evacuations(m_settings.restoreDuration)
{
}

void InstanceTable::setChangeListener(std::function<void()> listener)
{
    m_listener = std::move(listener);
}

// Whether the known entry holds against `spec`: that is of an earlier start, or of an unknown one and says that the instance doesn't leave after all.
bool InstanceTable::holdsAgainstLocked(const Entry &entry, const InstanceSpec &spec, TimePoint now) const
{
    const std::int64_t known = entry.spec.startedUnixMs;
    if (known == 0 || spec.startedUnixMs >= known) {
        return false;
    }
    const Duration listedAgo = now - entry.listedAt;
    return entry.spec.draining ? listedAgo < m_settings.maxLeaving : spec.startedUnixMs != 0 && listedAgo < m_settings.lateEntryTime;
}

void InstanceTable::upsertLocked(InstanceSpec spec)
{
    const TimePoint now = m_clock.now();
    const auto latestStart = (m_clock.wallNow() + MaxClockDifference).time_since_epoch();
    if (spec.startedUnixMs < 0 || spec.startedUnixMs > std::chrono::floor<std::chrono::milliseconds>(latestStart).count()) {
        spec.startedUnixMs = 0;
    }
    Entry &entry = m_entries[spec.id];
    if (holdsAgainstLocked(entry, spec, now)) {
        if (spec.draining && !entry.spec.draining) {
            entry.spec.draining = true; // whichever start it is of: without further requests nothing can go wrong
            clearCachesLocked();
        }
        return;
    }
    if (spec.startedUnixMs == 0 && entry.spec.address == spec.address) {
        spec.startedUnixMs = entry.spec.startedUnixMs;
    }
    const bool sameProcess = entry.spec.address == spec.address && entry.spec.startedUnixMs == spec.startedUnixMs;
    if (!sameProcess) {
        const unsigned outstanding = entry.outstanding;
        entry = Entry{};
        entry.outstanding = outstanding;
    }
    entry.spec = std::move(spec);
    entry.listedAt = now;
    recordColdEntryLocked(entry, !sameProcess, now);
    entry.removeAt.reset();
    clearCachesLocked();
}

void InstanceTable::removeLocked(const std::string &id, Duration registryWorksFor, Duration seenAgo, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return;
    }
    clearCachesLocked();
    if (registryWorksFor < m_settings.missingEntryGrace && !found->second.spec.draining) {
        if (!found->second.removeAt) {
            const Duration leftAgo = seenAgo < m_settings.missingEntryGrace ? seenAgo : Duration::zero();
            found->second.removeAt = now + m_settings.missingEntryGrace - std::max(registryWorksFor, leftAgo);
        }
        return;
    }
    m_entries.erase(found);
}

void InstanceTable::synchronise(const std::vector<InstanceSpec> &all, Duration registryWorksFor)
{
    {
        const Lock lock(m_mutex);
        std::set<std::string> listed;
        for (const InstanceSpec &spec : all) {
            upsertLocked(spec);
            listed.insert(spec.id);
        }
        std::vector<std::string> missing;
        for (const auto &[id, entry] : m_entries) {
            if (listed.count(id) == 0) {
                missing.push_back(id);
            }
        }
        const TimePoint now = m_clock.now();
        for (const std::string &id : missing) {
            removeLocked(id, registryWorksFor, Duration::max(), now);
        }
        removeExpiredLocked(now);
        m_hasBeenRead = true;
    }
    logColdChanges();
    if (m_listener) {
        m_listener();
    }
}

void InstanceTable::upsert(const InstanceSpec &spec)
{
    {
        const Lock lock(m_mutex);
        upsertLocked(spec);
    }
    logColdChanges();
    if (m_listener) {
        m_listener();
    }
}

void InstanceTable::remove(const std::string &id, Duration registryWorksFor, Duration seenAgo)
{
    const Lock lock(m_mutex);
    const TimePoint now = m_clock.now();
    removeLocked(id, registryWorksFor, seenAgo, now);
    removeExpiredLocked(now);
}

// Removes expired entries that were not registered again in time: another server may have their address by now.
void InstanceTable::removeExpiredLocked(TimePoint now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const bool expired = it->second.removeAt && now >= *it->second.removeAt;
        if (expired) {
            clearCachesLocked();
        }
        it = expired ? m_entries.erase(it) : std::next(it);
    }
}

bool InstanceTable::usableLocked(const Entry &entry, TimePoint now) const
{
    return !entry.spec.draining && !m_evacuations.includes(entry.spec.dataCentre) && now >= entry.leavingUntil && (!entry.removeAt || now < *entry.removeAt);
}

void InstanceTable::Entry::removeUnanswered(TimePoint begun)
{
    if (const auto found = unanswered.find(begun); found != unanswered.end()) {
        unanswered.erase(found);
    }
}

void InstanceTable::ShortestTimes::include(const Entry &entry, const std::string &dataCentre)
{
    if (entry.averageTime == Duration::zero()) {
        return;
    }
    const bool isInside = entry.spec.dataCentre == dataCentre;
    Duration &shortest = isInside ? inside : outside;
    shortest = std::min(shortest, entry.averageTime);
    measuredOutside += isInside ? 0 : 1;
}

// An instance that is alone outside is compared with those inside, since there is no better figure.
Duration InstanceTable::ShortestTimes::of(const Entry &entry, const std::string &dataCentre) const
{
    const bool comparable = entry.spec.dataCentre != dataCentre && measuredOutside > 1;
    return comparable ? outside : std::min(inside, outside);
}

Duration InstanceTable::averageTimeNow(const Entry &entry, Duration shortest, TimePoint now) const
{
    if (entry.averageTime <= shortest) {
        return entry.averageTime;
    }
    const double halfLives = std::chrono::duration<double>(now - entry.averageTimeAt) / std::chrono::duration<double>(m_settings.timeHalfLife);
    return shortest + std::chrono::duration_cast<Duration>((entry.averageTime - shortest) * std::exp2(-halfLives));
}

InstanceView InstanceTable::viewLocked(const Entry &entry, TimePoint now) const
{
    InstanceView view;
    view.spec = &entry.spec;
    view.inPreferredDataCentre = entry.spec.dataCentre == m_settings.dataCentre;
    view.outstanding = entry.outstanding;
    const unsigned slots = std::max(1U, entry.spec.slots);
    double occupied = entry.outstanding;
    if (entry.load && now - entry.loadAt < LoadReportMaxAge) {
        occupied = std::max(occupied, static_cast<double>(entry.load->running) + entry.load->waiting + entry.begunSinceLoad);
    }
    view.load = occupied / slots;
    const auto decay = [&](TimePoint since) {
        const double halfLives = std::chrono::duration<double>(now - since) / std::chrono::duration<double>(m_settings.failureHalfLife);
        return std::exp2(-halfLives);
    };
    view.failureRate = entry.failureRate * decay(entry.failureRateAt);
    view.recentlyUnreachable = now < entry.unreachableUntil;
    view.timeFactor = entry.speed.learntFactor(m_settings.speed, now);
    view.slowdown = entry.speed.statedFactor(m_settings.speed, now);
    return view;
}

void InstanceTable::clearCachesLocked()
{
    m_lists.clear();
    m_limitHolders.clear();
}

std::vector<InstanceView> InstanceTable::viewsLocked(const ChoiceInput &input, Limits limits, TimePoint now) const
{
    const std::string &dataCentre = input.dataCentre.empty() ? m_settings.dataCentre : input.dataCentre;
    std::vector<const Entry *> entries;
    ShortestTimes shortest;
    bool someLimited = false;
    std::vector<double> prefixRanks;
    for (const auto &[id, entry] : m_entries) {
        if (entry.spec.service == input.service && input.scope.allows(entry.spec) && usableLocked(entry, now)) {
            entries.push_back(&entry);
            prefixRanks.push_back(input.affinity == 0 ? 0 : prefixRank(input.affinity, entry.spec));
            shortest.include(entry, dataCentre);
            someLimited = someLimited || entry.limiter.limited();
        }
    }
    std::vector<InstanceView> all;
    const double firstRank = prefixRanks.empty() ? 0 : *std::max_element(prefixRanks.begin(), prefixRanks.end());
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const Entry *entry = entries[i];
        InstanceView view = viewLocked(*entry, now);
        view.inPreferredDataCentre = entry->spec.dataCentre == dataCentre;
        view.prefixRank = prefixRanks[i];
        view.hasPrefix = input.affinity != 0 && (view.prefixRank == firstRank || entry->prefixes.contains(input.affinity, now));
        view.cold = coldRuleLocked(*entry, now) != std::nullopt;
        const Duration shortestTime = shortest.of(*entry, dataCentre);
        const Duration longestWait = entry->unanswered.empty() ? Duration::zero() : now - *entry->unanswered.begin();
        const bool known = entry->averageTime > Duration::zero() || longestWait > m_settings.minSlowTime;
        view.expectedTime = known ? std::max(averageTimeNow(*entry, shortestTime, now), longestWait) : Duration::zero();
        view.slow = shortestTime != Duration::max()
            && view.expectedTime > std::max<Duration>(m_settings.minSlowTime, std::chrono::duration_cast<Duration>(shortestTime * m_settings.slowFactor));
        if (limits == Limits::Ignored || (!(someLimited && view.slow && !input.acceptsSlow) && allowedAtLocked(*entry, now) <= now)) {
            all.push_back(view);
        }
    }
    const auto filterUnlessEmpty = [&all](const auto &wanted) {
        std::vector<InstanceView> kept;
        std::copy_if(all.begin(), all.end(), std::back_inserter(kept), wanted);
        if (!kept.empty()) {
            all = std::move(kept);
        }
    };
    filterUnlessEmpty([&input](const InstanceView &view) {
        return input.avoid.count(view.spec->id) == 0;
    });
    const auto unreachableInstances = static_cast<double>(std::count_if(all.begin(), all.end(), [](const InstanceView &view) {
        return view.recentlyUnreachable;
    }));
    if (unreachableInstances <= MaxUnreachableShare * static_cast<double>(all.size())) {
        filterUnlessEmpty([](const InstanceView &view) {
            return !view.recentlyUnreachable;
        });
    }
    removeNotRestoredLocked(input, all, now);
    const bool warmAvailable = std::any_of(all.begin(), all.end(), [this](const InstanceView &view) {
        return !view.cold && !view.slow && view.load < m_settings.cold.busyLoad;
    });
    filterUnlessEmpty([warmAvailable](const InstanceView &view) {
        return !warmAvailable || !view.cold;
    });
    return all;
}

Result<InstanceLease> InstanceTable::acquire(const ChoiceInput &input, ChoicePolicy &policy)
{
    const Lock lock(m_mutex);
    const TimePoint now = m_clock.now();
    const std::vector<InstanceView> views = viewsLocked(input, Limits::Heeded, now);
    if (views.empty()) {
        return viewsLocked(input, Limits::Ignored, now).empty() ? fail(ErrorCode::NoFitServer, "no usable instance of the service is registered")
                                                                : fail(ErrorCode::ServersLimited);
    }
    const auto wanted = std::find_if(views.begin(), views.end(), [&input](const InstanceView &view) {
        return view.spec->id == input.wanted;
    });
    const InstanceView &view = wanted == views.end() ? views.at(policy.choose(withPreferredCountLocked(input, views, now), views)) : *wanted;
    m_demands[input.service].countRequest(input.affinity, now);
    Entry &entry = m_entries.at(view.spec->id);
    ++entry.outstanding;
    ++entry.begunSinceLoad;
    entry.unanswered.insert(now);
    if (entry.limiter.limited()) {
        entry.limiter.countRequest(shareLocked(entry.spec), m_settings.limits, now);
    }
    entry.cold.countRequest(now);
    return InstanceLease(this, entry.spec, now, input.affinity, view.hasPrefix);
}

std::optional<InstanceSpec> InstanceTable::preview(const ChoiceInput &input, ChoicePolicy &policy) const
{
    const Lock lock(m_mutex);
    const TimePoint now = m_clock.now();
    std::vector<InstanceView> views = viewsLocked(input, Limits::Heeded, now);
    if (views.empty()) {
        views = viewsLocked(input, Limits::Ignored, now);
    }
    if (views.empty()) {
        return std::nullopt;
    }
    return *views.at(policy.choose(withPreferredCountLocked(input, views, now), views)).spec;
}

InstanceListRef InstanceTable::usableInstances(const std::string &service) const
{
    const Lock lock(m_mutex);
    const TimePoint now = m_clock.now();
    CachedList &cached = m_lists[service];
    if (cached.list && now < cached.validUntil) {
        return cached.list;
    }
    std::vector<InstanceSpec> specs;
    cached.validUntil = TimePoint::max();
    for (const auto &[id, entry] : m_entries) {
        if (entry.spec.service == service && usableLocked(entry, now)) {
            specs.push_back(entry.spec);
            cached.validUntil = std::min(cached.validUntil, entry.removeAt.value_or(TimePoint::max()));
        } else if (entry.spec.service == service && now < entry.leavingUntil) {
            cached.validUntil = std::min(cached.validUntil, entry.leavingUntil);
        }
    }
    cached.list = makeRef<InstanceList>(std::move(specs));
    return cached.list;
}

bool InstanceTable::usable(const std::string &id) const
{
    const Lock lock(m_mutex);
    const auto found = m_entries.find(id);
    return found != m_entries.end() && usableLocked(found->second, m_clock.now());
}

bool InstanceTable::paused(const std::string &id) const
{
    const Lock lock(m_mutex);
    const auto found = m_entries.find(id);
    return found != m_entries.end() && m_clock.now() < found->second.pausedUntil;
}

bool InstanceTable::recentlyUnreachable(const std::string &id) const
{
    const Lock lock(m_mutex);
    const auto found = m_entries.find(id);
    return found != m_entries.end() && m_clock.now() < found->second.unreachableUntil;
}

std::optional<InstanceSpec> InstanceTable::findByAddress(const std::string &address) const
{
    const Lock lock(m_mutex);
    for (const auto &[id, entry] : m_entries) {
        if (entry.spec.address == address) {
            return entry.spec;
        }
    }
    return std::nullopt;
}

std::size_t InstanceTable::size() const
{
    const Lock lock(m_mutex);
    return m_entries.size();
}

void InstanceTable::release(const std::string &id, TimePoint begun)
{
    const Lock lock(m_mutex);
    if (const auto found = m_entries.find(id); found != m_entries.end() && found->second.outstanding > 0) {
        --found->second.outstanding;
        found->second.removeUnanswered(begun);
    }
}

void InstanceTable::recordReply(const std::string &id, TimePoint begun, const std::optional<ReportedLoad> &load)
{
    {
        const Lock lock(m_mutex);
        if (const auto found = m_entries.find(id); found != m_entries.end()) {
            found->second.removeUnanswered(begun);
        }
    }
    recordLoad(id, load);
}

void InstanceTable::recordLoad(const std::string &id, const std::optional<ReportedLoad> &load)
{
    const Lock lock(m_mutex);
    if (const auto found = m_entries.find(id); found != m_entries.end() && load) {
        found->second.load = load;
        found->second.loadAt = m_clock.now();
        found->second.begunSinceLoad = 0;
        found->second.speed.recordSlowdown(load->slowdown, found->second.loadAt);
        if (load->slowdown > m_settings.unevenFactor || load->slowdown < 1 / m_settings.unevenFactor) {
            m_unevenUntil[found->second.spec.service] = found->second.loadAt + m_settings.unevenDuration;
            m_demands[found->second.spec.service].recordSlowdown();
        }
    }
}

bool InstanceTable::uneven(const std::string &service) const
{
    const Lock lock(m_mutex);
    const auto found = m_unevenUntil.find(service);
    return found != m_unevenUntil.end() && m_clock.now() < found->second;
}

void InstanceTable::recordTimeLocked(Entry &entry, Duration time, TimePoint now)
{
    ShortestTimes shortest;
    for (const auto &[otherId, other] : m_entries) {
        if (other.spec.service == entry.spec.service) {
            shortest.include(other, m_settings.dataCentre);
        }
    }
    const auto previous = std::chrono::duration<double>(averageTimeNow(entry, shortest.of(entry, m_settings.dataCentre), now));
    const auto average = previous * m_settings.pastWeight + std::chrono::duration<double>(time) * (1.0 - m_settings.pastWeight);
    entry.averageTime = entry.averageTime == Duration::zero() ? time : std::chrono::duration_cast<Duration>(average);
    entry.averageTimeAt = now;
}

void InstanceTable::report(const std::string &id, InstanceCallOutcome outcome, Duration time)
{
    const Lock lock(m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || outcome == InstanceCallOutcome::Inconclusive) {
        return;
    }
    Entry &entry = found->second;
    const TimePoint now = m_clock.now();
    if (outcome == InstanceCallOutcome::Busy) {
        return; // an instance that refuses because of overload has not failed, and there is no request time to record
    }
    const bool failed = outcome != InstanceCallOutcome::Succeeded;
    entry.failureRate = viewLocked(entry, now).failureRate * m_settings.pastWeight + (failed ? 1.0 - m_settings.pastWeight : 0.0);
    entry.failureRateAt = now;
    if (outcome == InstanceCallOutcome::Unreachable) {
        const unsigned doublings = std::min(entry.unreachableCount++, MaxDoublings);
        entry.unreachableUntil = now + std::min(m_settings.maxUnreachableDuration, m_settings.unreachableDuration * (1U << doublings));
        return;
    }
    entry.unreachableCount = 0;
    entry.unreachableUntil = TimePoint{};
    if (!failed && time > Duration::zero()) {
        recordTimeLocked(entry, time, now);
    }
}

} // namespace vanillanotch
