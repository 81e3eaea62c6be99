#include "configuration/configuration.h"

namespace vanillanotch
{

ConfigurationTable::ConfigurationTable()
    : m_current(Configuration::empty())
{
}

ConfigurationRef ConfigurationTable::current() const
{
    const Lock lock(m_mutex);
    return m_current;
}

bool ConfigurationTable::ready() const
{
    return current()->revision() > 0;
}

bool ConfigurationTable::install(const ConfigurationRef &configuration)
{
    {
        const Lock lock(m_mutex);
        if (configuration->revision() <= m_current->revision()) {
            return false;
        }
        m_current = configuration;
        m_recent.clear();
        m_recentEntries = 0;
    }
    notify(configuration);
    return true;
}

Result<Revision> ConfigurationTable::install(const Change &change)
{
    const ConfigurationRef base = current();
    if (change.revision <= base->revision()) {
        return base->revision();
    }
    auto next = base->apply(change); // m_mutex isn't held here, because apply() copies maps and may take long
    if (!next) {
        return fail(ErrorCode::InvalidConfiguration, describe(next.error()));
    }
    {
        const Lock lock(m_mutex);
        if (m_current->revision() != base->revision()) {
            return m_current->revision(); // another thread has installed this revision, or a higher one, meanwhile
        }
        m_current = *next;
        appendRecentLocked(change);
    }
    notify(*next);
    return change.revision;
}

void ConfigurationTable::appendRecentLocked(const Change &change)
{
    const auto entryCountOf = [](const Change &one) {
        return one.upserts.size() + one.deletes.size();
    };
    m_recent.push_back(change);
    m_recentEntries += entryCountOf(change);
    while (m_recent.size() > MaxRecentChanges || m_recentEntries > MaxRecentEntries) {
        m_recentEntries -= entryCountOf(m_recent.front());
        m_recent.pop_front();
    }
}

std::optional<std::vector<Change>> ConfigurationTable::changesSince(Revision revision) const
{
    const Lock lock(m_mutex);
    if (revision == m_current->revision()) {
        return std::vector<Change>{};
    }
    if (revision > m_current->revision() || m_recent.empty() || m_recent.front().revision > revision + 1) {
        return std::nullopt;
    }
    std::vector<Change> changes;
    for (const Change &change : m_recent) {
        if (change.revision > revision) {
            changes.push_back(change);
        }
    }
    return changes;
}

void ConfigurationTable::addInstalledListener(std::function<void(const ConfigurationRef &)> listener)
{
    const Lock lock(m_mutex);
    m_listeners.push_back(std::move(listener));
}

void ConfigurationTable::notify(const ConfigurationRef &configuration)
{
    std::vector<std::function<void(const ConfigurationRef &)>> listeners;
    {
        const Lock lock(m_mutex);
        listeners = m_listeners;
    }
    for (const auto &listener : listeners) {
        listener(configuration);
    }
}

} // namespace vanillanotch
