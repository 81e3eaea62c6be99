#include "placement/placement.h"

#include <algorithm>

namespace vanillanotch
{

namespace
{
constexpr double MaxFailureRate = 0.35; // an engine that fails more often is chosen only when there is no other
constexpr double ReturnedPart = 0.5; // of the requests with the same shared parts: from then on all of them return to a data centre whose evacuation was lifted
} // namespace

std::string homeDataCentre(std::uint64_t affinity, const InstanceList &engines, const DataCentreScope &scope,
                           const std::function<double(const std::string &)> &restoredShare)
{
    std::set<std::string> allowed;
    for (const std::string &dataCentre : engines.dataCentres) {
        if (scope.allows(dataCentre) && Evacuations::returningPart(affinity, dataCentre, restoredShare(dataCentre)) >= ReturnedPart) {
            allowed.insert(dataCentre);
        }
    }
    const InstanceSpec *first = nullptr;
    double firstRank = 0;
    for (const InstanceSpec &engine : engines.specs) {
        if (const double rank = prefixRank(affinity, engine); rank > firstRank && allowed.count(engine.dataCentre) > 0) {
            first = &engine;
            firstRank = rank;
        }
    }
    return first == nullptr ? std::string() : first->dataCentre;
}

//-----------------------------------------------------------------------------
// PlacementOwner
//-----------------------------------------------------------------------------

// Chooses among the demanded data centre's engines by the book of their service, and records the choice there.
class PlacementOwner::BookChoice final : public ChoicePolicy
{
public:
    BookChoice(PlacementOwner &owner, const PlacementDemand &demand, std::size_t cacheTokens)
        : m_owner(owner)
        , m_demand(demand)
        , m_cacheTokens(cacheTokens)
    {
    }

    std::size_t choose(const ChoiceInput & /*input*/, const std::vector<InstanceView> &views) override
    {
        std::vector<std::size_t> indexes = indexesOf(views, [this](const InstanceView &view) {
            return isLocal(view) && !view.recentlyUnreachable && view.failureRate < MaxFailureRate;
        });
        if (indexes.empty()) {
            indexes = indexesOf(views, [this](const InstanceView &view) {
                return isLocal(view);
            });
        }
        if (indexes.empty()) {
            return 0;
        }
        std::vector<EngineCandidate> candidates;
        candidates.reserve(indexes.size());
        for (const std::size_t index : indexes) {
            candidates.push_back(EngineCandidate{views[index].spec->id, 1, m_cacheTokens});
        }
        const TimePoint now = m_owner.m_clock.now();
        const Lock lock(m_owner.m_mutex);
        PlacementBook &book = m_owner.m_books.try_emplace(m_demand.service, m_owner.m_settings).first->second;
        const std::size_t chosen = book.choose(m_demand, candidates, now);
        (book.holds(m_demand, candidates[chosen]) ? m_owner.m_cached : m_owner.m_uncached).add();
        book.recordPlaced(m_demand, candidates[chosen], now);
        m_found = true;
        return indexes[chosen];
    }

    bool found() const // the data centre has an engine that may get the request
    {
        return m_found;
    }

private:
    bool isLocal(const InstanceView &view) const
    {
        return view.spec->dataCentre == m_demand.dataCentre;
    }
    template<typename Wanted>
    static std::vector<std::size_t> indexesOf(const std::vector<InstanceView> &views, const Wanted &wanted)
    {
        std::vector<std::size_t> indexes;
        for (std::size_t i = 0; i < views.size(); ++i) {
            if (wanted(views[i])) {
                indexes.push_back(i);
            }
        }
        return indexes;
    }

    PlacementOwner &m_owner;
    const PlacementDemand &m_demand;
    const std::size_t m_cacheTokens;
    bool m_found = false;
};

PlacementOwner::PlacementOwner(const Clock &clock, InstanceTable &instances, DeploymentTable &deployments, MetricsRegistry &metrics, PlacementSettings settings)
    : m_clock(clock)
    , m_instances(instances)
    , m_deployments(deployments)
    , m_cached(metrics.counter("vanillanotch_placements_total", "prefix=\"cached\""))
    , m_uncached(metrics.counter("vanillanotch_placements_total", "prefix=\"read\""))
    , m_settings(settings)
{
}

std::optional<std::string> PlacementOwner::place(const PlacementDemand &demand)
{
    const DeploymentRef deployment = m_deployments.current();
    const ServiceSpec *service = deployment ? deployment->service(demand.service) : nullptr;
    if (service == nullptr) {
        return std::nullopt;
    }
    BookChoice choice(*this, demand, service->kvCapacityTokens);
    ChoiceInput input;
    input.service = demand.service;
    input.avoid = demand.avoid;
    const auto chosen = m_instances.preview(input, choice);
    return chosen && choice.found() ? std::optional(chosen->id) : std::nullopt;
}

void PlacementOwner::record(const std::vector<PlacementReport> &reports)
{
    const TimePoint now = m_clock.now();
    const Lock lock(m_mutex);
    for (const PlacementReport &report : reports) {
        if (const auto book = m_books.find(report.service); book != m_books.end()) {
            book->second.recordReport(report, now);
        }
    }
}

void PlacementOwner::recordOfOtherNode(const std::vector<PlacementReport> &reports)
{
    for (const PlacementReport &report : reports) {
        m_instances.report(report.instance, report.firstEventAfter ? InstanceCallOutcome::Succeeded : report.outcome, Duration::zero());
    }
    record(reports);
}

//-----------------------------------------------------------------------------
// OwnedPlacement
//-----------------------------------------------------------------------------

OwnedPlacement::OwnedPlacement(const Clock &clock, PlacementOwner &local, EngineOwnerLookup &owners, PlacementChannel &channel, GrowingPool &pool,
                               TimerQueue &timers, MetricsRegistry &metrics, PlacementSettings settings)
    : m_clock(clock)
    , m_local(local)
    , m_owners(owners)
    , m_channel(channel)
    , m_pool(pool)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_settings(settings)
{
}

std::optional<std::string> OwnedPlacement::place(const PlacementDemand &demand, CancellationWatch &cancellation)
{
    if (demand.prefixes.empty()) {
        return ask(demand, cancellation);
    }
    PlacementDemand completed = demand;
    const std::uint64_t prefix = demand.prefixes.back().hash;
    {
        const Lock lock(m_mutex);
        if (const auto found = m_lastEngines.find(prefix); found != m_lastEngines.end()) {
            completed.lastEngine = found->second;
        }
    }
    auto placed = ask(completed, cancellation);
    if (placed) {
        const Lock lock(m_mutex);
        if (m_lastEngines.size() >= m_settings.rememberedPrefixes) {
            m_lastEngines.clear();
        }
        m_lastEngines[prefix] = *placed;
    }
    return placed;
}

std::optional<std::string> OwnedPlacement::ask(const PlacementDemand &demand, CancellationWatch &cancellation)
{
    const auto owner = m_owners.engineOwner(demand.service, demand.dataCentre);
    if (!owner) {
        return m_local.place(demand);
    }
    const TimePoint now = m_clock.now();
    {
        const Lock lock(m_mutex);
        if (const auto paused = m_pausedUntil.find(owner->name); paused != m_pausedUntil.end() && now < paused->second) {
            return std::nullopt;
        }
    }
    auto placed = m_channel.place(owner->peerAddress, demand, now + m_settings.timeout, cancellation);
    if (placed) {
        return std::move(*placed);
    }
    if (placed.error().code != ErrorCode::CallerDisconnected) {
        logEvent(LogLevel::Warning, "placement.owner_failed", {{"request", demand.attempt}, {"owner", owner->name}, {"waited_ms", m_clock.now() - now}});
        m_metrics.counter("vanillanotch_placement_owner_failures_total").add();
        const Lock lock(m_mutex);
        m_pausedUntil[owner->name] = m_clock.now() + m_settings.peerPause;
    }
    return std::nullopt;
}

void OwnedPlacement::report(const std::string &dataCentre, const PlacementReport &report)
{
    const auto owner = m_owners.engineOwner(report.service, dataCentre);
    if (!owner) {
        m_local.record({report});
        return;
    }
    bool plan = false;
    {
        const Lock lock(m_mutex);
        Reports &reports = m_reports[owner->name];
        reports.address = owner->peerAddress;
        reports.list.push_back(report);
        plan = !std::exchange(m_flushPlanned, true);
    }
    if (plan) {
        m_timers.after(m_settings.reportInterval, [this] {
            flush();
        });
    }
}

void OwnedPlacement::flush()
{
    std::map<std::string, Reports> all;
    {
        const Lock lock(m_mutex);
        all.swap(m_reports);
        m_flushPlanned = false;
    }
    for (auto &[name, reports] : all) {
        m_pool.post([this, reports = std::move(reports)] {
            // Not repeated: the owner stops counting the placements after maxUnreported.
            if (!m_channel.report(reports.address, reports.list, m_clock.now() + m_settings.reportTimeout)) {
                logEvent(LogLevel::Debug, "placement.report_failed", {{"address", reports.address}});
            }
        });
    }
}

} // namespace vanillanotch
