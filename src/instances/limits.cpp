// Limits that instances state: which nodes may use them, and how a node spaces its requests.
#include "instances/instances.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace vanillanotch
{

namespace
{
// Sorts by hash, so that neighbours in the order have nothing in common but the order.
template<typename Item, typename Key>
void sortByHash(std::vector<Item> &items, const Key &key)
{
    std::sort(items.begin(), items.end(), [&key](const Item &a, const Item &b) {
        return std::pair(stableHash(key(a)), key(a)) < std::pair(stableHash(key(b)), key(b));
    });
}
} // namespace

std::map<std::string, std::vector<std::string>> planLimitHolders(const std::vector<InstanceSpec> &instances, const std::vector<NodePlace> &nodes)
{
    std::map<std::string, std::vector<std::string>> instancesByDataCentre;
    for (const InstanceSpec &instance : instances) {
        instancesByDataCentre[instance.dataCentre].push_back(instance.id);
    }
    std::map<std::string, std::vector<std::string>> holders;
    if (instancesByDataCentre.empty()) {
        return holders;
    }
    std::vector<std::string> allNodes;
    std::map<std::string, std::vector<std::string>> nodesByDataCentre;
    for (const NodePlace &node : nodes) {
        allNodes.push_back(node.name);
        auto home = instancesByDataCentre.find(node.dataCentre);
        if (home == instancesByDataCentre.end()) {
            home = std::next(instancesByDataCentre.begin(), static_cast<std::ptrdiff_t>(stableHash(node.name) % instancesByDataCentre.size()));
        }
        nodesByDataCentre[home->first].push_back(node.name);
    }
    const auto itself = [](const std::string &name) -> const std::string & {
        return name;
    };
    for (auto &[dataCentre, ids] : instancesByDataCentre) {
        std::vector<std::string> &own = nodesByDataCentre[dataCentre];
        std::vector<std::string> sharing = own.empty() ? allNodes : own;
        sortByHash(ids, itself);
        sortByHash(sharing, itself);
        for (std::size_t i = 0; !sharing.empty() && i < std::max(ids.size(), sharing.size()); ++i) {
            holders[ids[i % ids.size()]].push_back(sharing[i % sharing.size()]);
        }
    }
    return holders;
}

void RequestLimiter::refill(const LimitShare &share, const LimitSettings &settings, TimePoint now)
{
    const double holders = static_cast<double>(share.holders);
    const double gained = std::chrono::duration<double>(now - m_refilledAt).count() * m_rate / holders;
    // A node that becomes a holder begins without tokens: the former holder may have used them.
    m_tokens = share.holder ? std::min(std::max(1.0, settings.burst / holders), m_tokens + gained) : 0;
    m_refilledAt = now;
}

Duration RequestLimiter::recheckInterval(const LimitShare &share, const LimitSettings &settings) const
{
    const std::chrono::duration<double> longest(static_cast<double>(share.nodes) / (settings.recheckShare * m_rate));
    return std::max<Duration>(settings.recheckInterval, std::chrono::duration_cast<Duration>(longest));
}

void RequestLimiter::record(const InstanceStatement &statement, const LimitShare &share, const LimitSettings &settings, double random, TimePoint now)
{
    if (!statement.requestsPerSecond) {
        m_rate = 0;
        return;
    }
    const bool wasLimited = limited();
    const double rate = std::max(settings.minRate, *statement.requestsPerSecond);
    if (wasLimited) {
        refill(share, settings, now);
    } else {
        m_refilledAt = now;
        m_tokens = share.holders > 1 ? -random : 0; // holders that hear of the limit at the same moment send at different times
    }
    if (rate != std::exchange(m_rate, rate)) {
        const double turn = (static_cast<double>(share.rank) + random) / static_cast<double>(share.nodes);
        const TimePoint first = now + std::chrono::duration_cast<Duration>(recheckInterval(share, settings) * (0.5 + turn));
        m_recheckAt = wasLimited ? std::min(m_recheckAt, first) : first;
    }
}

TimePoint RequestLimiter::allowedAt(const LimitShare &share, const LimitSettings &settings, TimePoint now)
{
    if (!limited()) {
        return TimePoint{};
    }
    refill(share, settings, now);
    if (!share.holder) {
        return m_recheckAt;
    }
    const std::chrono::duration<double> missing((1 - m_tokens) * static_cast<double>(share.holders) / m_rate);
    return m_tokens >= 1 ? TimePoint{} : now + std::chrono::ceil<Duration>(missing);
}

void RequestLimiter::countRequest(const LimitShare &share, const LimitSettings &settings, TimePoint now)
{
    if (limited()) {
        refill(share, settings, now);
        m_tokens -= share.holder ? 1 : 0;
        m_recheckAt = now + recheckInterval(share, settings);
    }
}

double RequestRate::weightAt(TimePoint now) const
{
    return m_weight * std::exp(-std::chrono::duration<double>(now - m_countedAt) / std::chrono::duration<double>(Span));
}

void RequestRate::count(TimePoint now)
{
    m_weight = weightAt(now) + 1;
    m_countedAt = now;
}

double RequestRate::perSecond(TimePoint now) const
{
    return weightAt(now) / std::chrono::duration<double>(Span).count();
}

} // namespace vanillanotch
