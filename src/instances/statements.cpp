// InstanceTable: what instances say of themselves (limits, pauses, that they leave), and the requests that wait for limited instances.
#include "instances/instances.h"

#include <algorithm>
#include <cmath>

namespace vanillanotch
{

namespace
{
constexpr double LoggedLimitChange = 0.1; // smaller changes of a limit aren't logged
constexpr Duration SlowRecheck = std::chrono::milliseconds(200); // when a request that found only slow instances is to look again
constexpr double MinQueueRate = 0.1; // requests a second; a node without a share of any limit is assumed to send this
constexpr double LeastUrgentShare = 0.1; // of this node's rate that more urgent requests leave to the others, however many they are
} // namespace

//-----------------------------------------------------------------------------
// QueuePlace
//-----------------------------------------------------------------------------

QueuePlace::QueuePlace(InstanceTable &table, std::string service, int priority)
    : m_table(table)
    , m_service(std::move(service))
    , m_priority(priority)
{
    const Lock lock(m_table.m_mutex);
    InstanceTable::Queue &queue = m_table.m_queues[m_service][m_priority];
    ++queue.places;
    queue.admitted.count(m_table.m_clock.now());
}

QueuePlace::~QueuePlace()
{
    const Lock lock(m_table.m_mutex);
    --m_table.m_queues[m_service][m_priority].places;
}

//-----------------------------------------------------------------------------
// InstanceTable
//-----------------------------------------------------------------------------

void InstanceTable::setNodes(std::vector<NodePlace> nodes)
{
    const Lock lock(m_mutex);
    const bool unchanged = std::equal(nodes.begin(), nodes.end(), m_nodes.begin(), m_nodes.end(), [](const NodePlace &a, const NodePlace &b) {
        return a.name == b.name && a.dataCentre == b.dataCentre;
    });
    if (unchanged) {
        return;
    }
    m_nodes = std::move(nodes);
    m_nodesSince = m_clock.now();
    ++m_nodesVersion;
    m_isListed = std::any_of(m_nodes.begin(), m_nodes.end(), [this](const NodePlace &node) {
        return node.name == m_settings.node;
    });
    m_rank = static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [this](const NodePlace &node) {
        return node.name < m_settings.node;
    }));
    m_limitHolders.clear();
}

LimitShare InstanceTable::shareLocked(const InstanceSpec &spec) const
{
    auto plan = m_limitHolders.find(spec.service);
    if (plan == m_limitHolders.end()) {
        std::vector<InstanceSpec> instances;
        for (const auto &[id, entry] : m_entries) {
            if (entry.spec.service == spec.service && !entry.spec.draining && !m_evacuations.includes(entry.spec.dataCentre)) {
                instances.push_back(entry.spec);
            }
        }
        plan = m_limitHolders.emplace(spec.service, planLimitHolders(instances, m_nodes)).first;
    }
    const auto holders = plan->second.find(spec.id);
    if (m_nodes.empty() || holders == plan->second.end()) {
        return LimitShare{};
    }
    const std::vector<std::string> &names = holders->second;
    const std::size_t rank = (m_rank + stableHash(spec.id)) % m_nodes.size();
    return LimitShare{std::find(names.begin(), names.end(), m_settings.node) != names.end(), names.size(), m_nodes.size(), rank};
}

TimePoint InstanceTable::allowedAtLocked(const Entry &entry, TimePoint now) const
{
    TimePoint allowed = entry.pausedUntil;
    if (const auto rule = coldRuleLocked(entry, now)) {
        allowed = std::max(allowed, coldAllowedAtLocked(entry, *rule, now));
    } else if (entry.limiter.limited()) {
        allowed = std::max(allowed, entry.limiter.allowedAt(shareLocked(entry.spec), m_settings.limits, now));
    }
    return allowed;
}

void InstanceTable::recordStatement(const std::string &id, const InstanceStatement &statement)
{
    double before = 0;
    double after = 0;
    LimitShare share;
    bool leaves = false;
    const Duration pause = std::min(statement.pause, m_settings.maxPause);
    {
        const Lock lock(m_mutex);
        const auto found = m_entries.find(id);
        if (found == m_entries.end()) {
            return;
        }
        Entry &entry = found->second;
        const TimePoint now = m_clock.now();
        entry.pausedUntil = std::max(entry.pausedUntil, now + pause);
        if (statement.coldRemaining) {
            entry.cold.recordReply(*statement.coldRemaining, now);
        }
        updateColdLocked(entry, now);
        if (statement.leaving) {
            leaves = now >= entry.leavingUntil;
            entry.leavingUntil = now + m_settings.maxLeaving;
            m_lists.clear();
        }
        if (statement.requestsPerSecond || entry.limiter.limited()) {
            before = entry.limiter.requestsPerSecond();
            share = shareLocked(entry.spec);
            entry.limiter.record(statement, share, m_settings.limits, randomFraction(), now);
            after = entry.limiter.requestsPerSecond();
        }
    }
    logColdChanges();
    if (leaves) {
        logEvent(LogLevel::Info, "server.leaving", {{"instance", id}});
    }
    if (pause > Duration::zero()) {
        logEvent(LogLevel::Info, "server.paused", {{"instance", id}, {"pause_ms", pause}});
    }
    if (std::abs(after - before) > LoggedLimitChange * std::max(after, before)) {
        logEvent(LogLevel::Info, "server.limit",
                 {{"instance", id},
                  {"per_s", after},
                  {"before_per_s", before},
                  {"holder", share.holder ? 1 : 0},
                  {"holders", static_cast<std::uint64_t>(share.holders)}});
    }
}

InstanceTable::Availability InstanceTable::availabilityLocked(const std::string &service, const InstanceScope &scope, TimePoint now) const
{
    Availability result;
    bool someAvailable = false;
    std::optional<TimePoint> earliest;
    for (const auto &[id, entry] : m_entries) {
        if (entry.spec.service != service || !scope.allows(entry.spec) || !usableLocked(entry, now)) {
            continue;
        }
        const TimePoint allowed = allowedAtLocked(entry, now);
        someAvailable = someAvailable || allowed <= now;
        earliest = std::min(earliest.value_or(TimePoint::max()), allowed > now ? allowed : now + SlowRecheck);
        if (const auto rule = coldRuleLocked(entry, now)) {
            result.someLimited = true;
            result.requestsPerSecond += entry.cold.rateOf(coldShareLocked(entry, *rule), *rule, m_settings.cold);
        } else if (entry.limiter.limited()) {
            result.someLimited = true;
            result.requestsPerSecond += entry.limiter.rateOf(shareLocked(entry.spec));
        }
    }
    if (result.someLimited) {
        ChoiceInput input;
        input.service = service;
        input.scope = scope;
        const std::vector<InstanceView> views = viewsLocked(input, Limits::Heeded, now);
        someAvailable = !views.empty();
        result.someFree = std::any_of(views.begin(), views.end(), [this](const InstanceView &view) {
            const Entry &entry = m_entries.at(view.spec->id);
            return !entry.limiter.limited() && !view.cold;
        });
    }
    result.wait = earliest && !someAvailable ? *earliest - now : Duration::zero();
    return result;
}

Duration InstanceTable::limitedFor(const std::string &service, const InstanceScope &scope) const
{
    const Lock lock(m_mutex);
    return availabilityLocked(service, scope, m_clock.now()).wait;
}

Duration InstanceTable::limitedForNext(const std::string &service, int priority, const InstanceScope &scope) const
{
    const Lock lock(m_mutex);
    const TimePoint now = m_clock.now();
    const Availability available = availabilityLocked(service, scope, now);
    const auto queue = m_queues.find(service);
    if (!available.someLimited || available.someFree || queue == m_queues.end()) {
        return available.wait;
    }
    unsigned ahead = 0;
    double moreUrgent = 0; // requests a second
    for (const auto &[otherPriority, requests] : queue->second) {
        ahead += otherPriority <= priority ? requests.places : 0;
        moreUrgent += otherPriority < priority ? requests.admitted.perSecond(now) : 0;
    }
    const double rate = available.requestsPerSecond;
    const std::chrono::duration<double> queued(ahead / std::max({MinQueueRate, rate * LeastUrgentShare, rate - moreUrgent}));
    return available.wait + std::chrono::duration_cast<Duration>(queued);
}

TimePoint InstanceTable::callableAt(const std::string &id) const
{
    const Lock lock(m_mutex);
    const TimePoint now = m_clock.now();
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return TimePoint{};
    }
    const Entry &entry = found->second;
    const auto rule = coldRuleLocked(entry, now);
    return std::max(entry.pausedUntil, rule ? coldAllowedAtLocked(entry, *rule, now) : entry.limiter.allowedAt(LimitShare{}, m_settings.limits, now));
}

void InstanceTable::countCall(const std::string &id)
{
    const Lock lock(m_mutex);
    if (const auto found = m_entries.find(id); found != m_entries.end()) {
        const TimePoint now = m_clock.now();
        found->second.limiter.countRequest(LimitShare{}, m_settings.limits, now);
        found->second.cold.countRequest(now);
    }
}

std::size_t InstanceTable::limitedCount() const
{
    const Lock lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [](const auto &entry) {
        return entry.second.limiter.limited();
    }));
}

} // namespace vanillanotch
