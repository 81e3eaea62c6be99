// Which data centres a request may use: evacuations, and scopes of home regions.
#include "instances/instances.h"

#include <algorithm>
#include <limits>

namespace vanillanotch
{

namespace
{
constexpr double AffinityReturnTime = 0.5; // within which the requests of one affinity return, relative to the time over which the affinities begin to
}

//-----------------------------------------------------------------------------
// DataCentreScope
//-----------------------------------------------------------------------------

void DataCentreScope::restrictTo(const std::set<std::string> &regions, const DataCentreRegions &regionOf)
{
    if (regions.empty()) {
        return;
    }
    std::set<std::string> kept;
    for (const auto &[dataCentre, region] : regionOf) {
        if (regions.count(region) > 0 && allows(dataCentre)) {
            kept.insert(dataCentre);
        }
    }
    m_dataCentres = std::move(kept);
}

//-----------------------------------------------------------------------------
// Evacuations
//-----------------------------------------------------------------------------

Evacuations::Change Evacuations::replace(std::set<std::string> dataCentres, TimePoint now)
{
    Change change;
    std::set_difference(dataCentres.begin(), dataCentres.end(), m_dataCentres.begin(), m_dataCentres.end(), std::back_inserter(change.evacuated));
    std::set_difference(m_dataCentres.begin(), m_dataCentres.end(), dataCentres.begin(), dataCentres.end(), std::back_inserter(change.restored));
    m_dataCentres = std::move(dataCentres);
    for (const std::string &dataCentre : change.evacuated) {
        m_restoredAt.erase(dataCentre);
    }
    for (const std::string &dataCentre : change.restored) {
        m_restoredAt[dataCentre] = now;
    }
    return change;
}

bool Evacuations::restoring(TimePoint now) const
{
    return std::any_of(m_restoredAt.begin(), m_restoredAt.end(), [&](const auto &item) {
        return now - item.second < m_restoreDuration;
    });
}

double Evacuations::restoredShare(const std::string &dataCentre, TimePoint now) const
{
    const auto found = m_restoredAt.find(dataCentre);
    if (found == m_restoredAt.end() || now - found->second >= m_restoreDuration) {
        return 1;
    }
    return std::chrono::duration<double>(now - found->second) / std::chrono::duration<double>(m_restoreDuration);
}

double Evacuations::returningPart(std::uint64_t affinity, const std::string &dataCentre, double share)
{
    if (affinity == 0) {
        return share * share;
    }
    const auto hash = static_cast<double>(stableHash(dataCentre + "/" + std::to_string(affinity)));
    const double begin = hash / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return std::clamp((share * (1 + AffinityReturnTime) - begin) / AffinityReturnTime, 0.0, 1.0);
}

//-----------------------------------------------------------------------------
// InstanceTable
//-----------------------------------------------------------------------------

void InstanceTable::setEvacuated(std::set<std::string> dataCentres)
{
    Evacuations::Change change;
    std::map<std::string, std::uint64_t> instances; // by data centre
    {
        const Lock lock(m_mutex);
        change = m_evacuations.replace(std::move(dataCentres), m_clock.now());
        if (change.empty()) {
            return;
        }
        clearCachesLocked();
        for (const auto &[id, entry] : m_entries) {
            ++instances[entry.spec.dataCentre];
        }
    }
    for (const std::string &dataCentre : change.evacuated) {
        logEvent(LogLevel::Info, "data_centre.evacuated", {{"data_centre", dataCentre}, {"instances", instances[dataCentre]}});
    }
    for (const std::string &dataCentre : change.restored) {
        logEvent(LogLevel::Info, "data_centre.restored", {{"data_centre", dataCentre}, {"instances", instances[dataCentre]}});
    }
    if (m_listener) {
        m_listener();
    }
}

double InstanceTable::restoredShare(const std::string &dataCentre) const
{
    const Lock lock(m_mutex);
    return m_evacuations.restoredShare(dataCentre, m_clock.now());
}

void InstanceTable::removeNotRestoredLocked(const ChoiceInput &input, std::vector<InstanceView> &views, TimePoint now) const
{
    if (views.empty() || !m_evacuations.restoring(now)) {
        return;
    }
    std::map<std::string, double> shares; // by data centre
    double largest = 0;
    for (const InstanceView &view : views) {
        const double share = m_evacuations.restoredShare(view.spec->dataCentre, now);
        shares[view.spec->dataCentre] = share;
        largest = std::max(largest, share);
    }
    if (largest <= 0) {
        return;
    }
    // Relative to the largest share: a request that can only go to restored data centres isn't refused.
    std::set<std::string> removed;
    for (const auto &[dataCentre, share] : shares) {
        if (randomFraction() >= Evacuations::returningPart(input.affinity, dataCentre, share / largest) && share < largest) {
            removed.insert(dataCentre);
        }
    }
    views.erase(std::remove_if(views.begin(), views.end(),
                               [&removed](const InstanceView &view) {
                                   return removed.count(view.spec->dataCentre) > 0;
                               }),
                views.end());
}

std::set<std::string> InstanceTable::evacuatedLocked() const
{
    std::set<std::string> evacuated;
    for (const auto &[id, entry] : m_entries) {
        if (m_evacuations.includes(entry.spec.dataCentre)) {
            evacuated.insert(entry.spec.dataCentre);
        }
    }
    return evacuated;
}

std::size_t InstanceTable::evacuatedCount() const
{
    const Lock lock(m_mutex);
    return evacuatedLocked().size();
}

bool InstanceTable::someUsableLocked(const std::string &service, const InstanceScope &scope) const
{
    const TimePoint now = m_clock.now();
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &item) {
        return item.second.spec.service == service && scope.allows(item.second.spec) && usableLocked(item.second, now);
    });
}

bool InstanceTable::someUsable(const std::string &service, const InstanceScope &scope) const
{
    const Lock lock(m_mutex);
    return someUsableLocked(service, scope);
}

bool InstanceTable::noneLeft(const std::string &service, const InstanceScope &scope) const
{
    const Lock lock(m_mutex);
    return !someUsableLocked(service, scope) && ((scope.restricted() && !m_entries.empty()) || !evacuatedLocked().empty());
}

std::set<std::string> InstanceTable::softwareVersions(const std::string &service) const
{
    const Lock lock(m_mutex);
    std::set<std::string> versions;
    for (const auto &[id, entry] : m_entries) {
        if (entry.spec.service == service) {
            versions.insert(entry.spec.softwareVersion);
        }
    }
    return versions;
}

} // namespace vanillanotch
