#include "deployment/deployment.h"

#include <algorithm>
#include <ctime>

namespace vanillanotch
{

Deployment::Deployment(std::uint64_t version, std::vector<RouteSpec> routes, std::vector<ServiceSpec> services,
                       std::optional<std::vector<AccountSpec>> accounts, const FrontLimits &limits)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_services(std::move(services))
    , m_accounts(std::move(accounts))
    , m_limits(limits)
{
    for (const RouteSpec &route : m_routes) {
        m_byHost[route.host].push_back(&route);
    }
    for (auto &[host, candidates] : m_byHost) {
        std::sort(candidates.begin(), candidates.end(), [](const RouteSpec *a, const RouteSpec *b) {
            return a->prefix.size() > b->prefix.size();
        });
    }
    if (!m_accounts) {
        return;
    }
    for (const AccountSpec &account : *m_accounts) {
        for (const std::string &key : account.apiKeys) {
            m_byKey.emplace(key, &account);
        }
    }
}

const RouteSpec *Deployment::route(std::string_view host, std::string_view path) const
{
    const auto found = m_byHost.find(std::string(host.substr(0, host.find(':'))));
    if (found == m_byHost.end()) {
        return nullptr;
    }
    for (const RouteSpec *candidate : found->second) {
        if (path.substr(0, candidate->prefix.size()) == candidate->prefix) {
            return candidate;
        }
    }
    return nullptr;
}

const ServiceSpec *Deployment::service(const std::string &name) const
{
    const auto found = std::find_if(m_services.begin(), m_services.end(), [&](const ServiceSpec &service) {
        return service.name == name;
    });
    return found == m_services.end() ? nullptr : &*found;
}

const AccountSpec *Deployment::accountOf(const std::string &apiKey) const
{
    const auto found = m_byKey.find(apiKey);
    return found == m_byKey.end() ? nullptr : found->second;
}

DeploymentTable::DeploymentTable(FreshnessSettings settings)
    : m_settings(settings)
{
}

DeploymentRef DeploymentTable::current() const
{
    const Lock lock(m_mutex);
    return m_current;
}

bool DeploymentTable::install(const DeploymentRef &deployment, const std::string &document)
{
    const Lock lock(m_mutex);
    if (m_current && deployment->version() <= m_current->version()) {
        return false;
    }
    m_current = deployment;
    m_document = document;
    return true;
}

std::optional<std::string> DeploymentTable::documentNewerThan(std::uint64_t version) const
{
    const Lock lock(m_mutex);
    return m_current && m_current->version() > version && !m_document.empty() ? std::optional(m_document) : std::nullopt;
}

void DeploymentTable::confirmNewest(TimePoint asOf)
{
    const Lock lock(m_mutex);
    m_confirmed = std::max(m_confirmed, asOf);
}

Duration DeploymentTable::confirmationAge(TimePoint now) const
{
    const Lock lock(m_mutex);
    return now - m_confirmed;
}

bool DeploymentTable::keysTrusted(TimePoint now) const
{
    return confirmationAge(now) < std::chrono::duration_cast<Duration>(m_settings.revocationBound * m_settings.keyTrustFraction);
}

bool DeploymentTable::ready(TimePoint now) const
{
    return current() && confirmationAge(now) < std::chrono::duration_cast<Duration>(m_settings.revocationBound * m_settings.readinessFraction);
}

TimePoint suspendAwareNow()
{
    timespec time{};
    (void)::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace vanillanotch
