// ServiceVersions: the registered versions of one service, and its default version.
#include "continuity/continuity.h"

namespace vanillanotch
{

bool ServiceVersions::observe(const std::set<std::string> &registered, TimePoint now)
{
    const bool stoodStill = m_observedAt != TimePoint{} && now - m_observedAt > m_settings.observationGap;
    // No entries at all, as after an outage of the registry, tell nothing of other versions.
    const bool changed = !registered.empty() && registered != m_registered;
    if (registered.size() > 1 || (changed && !m_registered.empty()) || stoodStill) {
        m_otherAt = now; // a node that stood still may have missed one that has come and gone, and may not have read the registry again yet
    }
    if (changed || stoodStill) {
        m_changedAt = now;
    }
    if (changed) {
        m_registered = registered;
    }
    m_observedAt = now;
    return changed;
}

void ServiceVersions::recordDefault(const DefaultVersion &read, TimePoint asked)
{
    if (!m_default || m_default->revision != read.revision || m_default->ledgerEra != read.ledgerEra) {
        m_defaultSince = asked;
    }
    m_default = read;
    m_defaultAsked = asked;
}

std::optional<DefaultVersion> ServiceVersions::knownDefault() const
{
    return m_default && m_defaultAsked >= m_changedAt ? m_default : std::nullopt;
}

bool ServiceVersions::needsRecord(const std::string &version, std::uint64_t ledgerEra, TimePoint now) const
{
    const auto known = knownDefault();
    if (!known || known->ledgerEra < ledgerEra || known->version != version) {
        return true;
    }
    return !known->recordsComplete() && onlyVersion(now) != version;
}

bool ServiceVersions::recordsMissing(std::uint64_t ledgerEra) const
{
    const auto known = knownDefault();
    return known && known->ledgerEra >= ledgerEra && !known->recordsComplete();
}

std::optional<std::string> ServiceVersions::onlyVersion(TimePoint now) const
{
    const bool otherIsPast = !m_otherAt || now - *m_otherAt >= m_settings.streamLifetime;
    return m_registered.size() == 1 && otherIsPast ? std::optional(*m_registered.begin()) : std::nullopt;
}

std::optional<std::string> ServiceVersions::successor(TimePoint now, Duration registryWorksFor) const
{
    const auto known = knownDefault();
    if (!known || m_registered.empty() || registryWorksFor < m_settings.registrySettling) {
        return std::nullopt;
    }
    const std::string sole = m_registered.size() == 1 ? *m_registered.begin() : std::string();
    if (known->revision == 0) {
        return sole;
    }
    if (!known->version.empty() && m_registered.count(known->version) == 0) {
        return std::string();
    }
    if (!known->version.empty()) {
        // Records that were lost are of no use any more, or there were none.
        const bool harmless = now - m_defaultSince >= m_settings.streamLifetime || onlyVersion(now) == known->version;
        return !known->recordsComplete() && harmless ? std::optional(known->version) : std::nullopt;
    }
    const bool lasted = now - std::max(m_changedAt, m_defaultSince) >= m_settings.streamLifetime;
    return lasted && !sole.empty() ? std::optional(sole) : std::nullopt;
}

} // namespace vanillanotch
