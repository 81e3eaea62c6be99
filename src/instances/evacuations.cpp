// Evacuated data centres, and what they leave of a service.
#include "instances/instances.h"

#include <algorithm>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// Evacuations
//-----------------------------------------------------------------------------

Evacuations::Change Evacuations::replace(std::set<std::string> dataCentres)
{
    Change change;
    std::set_difference(dataCentres.begin(), dataCentres.end(), m_dataCentres.begin(), m_dataCentres.end(), std::back_inserter(change.evacuated));
    std::set_difference(m_dataCentres.begin(), m_dataCentres.end(), dataCentres.begin(), dataCentres.end(), std::back_inserter(change.restored));
    m_dataCentres = std::move(dataCentres);
    return change;
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
        change = m_evacuations.replace(std::move(dataCentres));
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

bool InstanceTable::noneLeft(const std::string &service) const
{
    const Lock lock(m_mutex);
    const TimePoint now = m_clock.now();
    const bool someUsable = std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &item) {
        return item.second.spec.service == service && usableLocked(item.second, now);
    });
    return !someUsable && !evacuatedLocked().empty();
}

} // namespace vanillanotch
