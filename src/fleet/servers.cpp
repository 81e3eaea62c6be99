#include "fleet/fleet.h"

#include <algorithm>
#include <cmath>

namespace vanillanotch
{

namespace
{
constexpr double NewestSampleWeight = 0.2; // weight of the newest service time in the moving average
constexpr Duration InitialServiceTime = std::chrono::milliseconds(100); // assumed while no server of the capability has a measured time
// While no call to a server succeeds, its average service time is taken to approach the lowest average among the servers that can be chosen, so that
// it gets calls again. The difference halves in this time.
constexpr Duration AverageHalfLife = std::chrono::seconds(10);
constexpr Duration ReportLifetime = std::chrono::seconds(5); // an older load report is ignored
// A waiter checks again after this time: nothing wakes it when its call is cancelled, a quarantine ends or a server stops leaving.
constexpr Duration RecheckInterval = std::chrono::milliseconds(100);

Duration movingAverage(Duration average, Duration newest)
{
    if (average == Duration::zero()) {
        return newest;
    }
    const double updated = (1 - NewestSampleWeight) * static_cast<double>(average.count()) + NewestSampleWeight * static_cast<double>(newest.count());
    return Duration(static_cast<Duration::rep>(updated));
}
} // namespace

ServerLease::ServerLease(BackendServerTable *table, BackendServerSpec spec)
    : m_table(table, ReleaseUnfinished{std::move(spec)})
{
}

void ServerLease::ReleaseUnfinished::operator()(BackendServerTable *table) const
{
    table->release(spec.name, ServerCallOutcome::Inconclusive, Duration::zero(), std::nullopt);
}

void ServerLease::finish(ServerCallOutcome outcome, Duration serviceTime, std::optional<double> reportedLoad)
{
    if (BackendServerTable *table = m_table.release()) {
        table->release(server().name, outcome, serviceTime, reportedLoad);
    }
}

BackendServerTable::BackendServerTable(const Clock &clock, std::string dataCentre, HealthSettings health, std::unique_ptr<RoutingPolicy> policy)
    : m_clock(clock)
    , m_dataCentre(std::move(dataCentre))
    , m_health(health)
    , m_policy(std::move(policy))
{
}

BackendServerTable::~BackendServerTable() = default;

void BackendServerTable::reconcile(const Configuration &configuration)
{
    const Lock lock(m_mutex);
    if (configuration.revision() < m_revision) {
        return; // another thread has already reconciled a newer revision
    }
    m_revision = configuration.revision();
    m_byCapability.clear();
    for (const auto &[name, spec] : configuration.backendServers()) {
        Server &server = m_servers[name];
        const bool addressChanged = server.spec.address != spec.address;
        if (addressChanged) { // another process serves the new address, so the old measurements don't apply
            const unsigned inFlight = server.inFlight;
            server = Server();
            server.inFlight = inFlight;
        }
        server.spec = spec;
        server.local = spec.dataCentre == m_dataCentre;
        const auto declaredCentre = configuration.dataCentres().find(spec.dataCentre);
        server.networkDelay =
            server.local || declaredCentre == configuration.dataCentres().end() ? Duration::zero() : Duration(2 * declaredCentre->second.oneWayDelay);
        for (const std::string &capability : spec.capabilities) {
            m_byCapability[capability].push_back(name);
        }
    }
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        // A server that is no longer declared stays until a reconcile() finds no call in flight there.
        const bool declared = configuration.backendServers().count(it->first) == 1;
        it = declared || it->second.inFlight > 0 ? std::next(it) : m_servers.erase(it);
    }
    for (Waiter &waiter : m_waiters) {
        waiter.woken = true;
        waiter.wake.notify_one();
    }
}

bool BackendServerTable::leavingLocked(const Server &server) const
{
    return server.spec.draining || server.reportsLeaving || m_leavingByPlatform.count(server.spec.name) == 1;
}

BackendServerTable::Availability BackendServerTable::availability(const Server &server, bool exclusive, TimePoint now) const
{
    if (leavingLocked(server) || now < server.quarantinedUntil) {
        return Availability::Ineligible;
    }
    const bool onProbation = server.failuresInARow >= m_health.failuresToQuarantine;
    const unsigned slots = onProbation || exclusive || server.heldExclusively ? 1 : server.spec.concurrency;
    return server.inFlight < slots ? Availability::Available : Availability::Full;
}

void BackendServerTable::adjustExpectedTimes(std::vector<ServerView> &views, const std::vector<Server *> &servers, TimePoint now)
{
    Duration best = Duration::max();
    for (const ServerView &view : views) {
        if (view.expectedTime != Duration::zero()) {
            best = std::min(best, view.expectedTime);
        }
    }
    for (std::size_t i = 0; i < views.size(); ++i) {
        Duration &expected = views[i].expectedTime;
        if (expected == Duration::zero()) { // no measured time: the server is assumed to be as fast as the fastest one, so that it gets calls
            expected = best == Duration::max() ? InitialServiceTime : best;
            continue;
        }
        // The older an average is, the closer it is moved to the lowest one, so that a server that was slow once gets calls again.
        const double age = std::chrono::duration<double>(now - servers[i]->measuredAt).count();
        const double decay = std::exp2(-age / std::chrono::duration<double>(AverageHalfLife).count());
        expected = best + Duration(static_cast<Duration::rep>(static_cast<double>((expected - best).count()) * decay));
    }
}

BackendServerTable::Server *BackendServerTable::chooseAmongLocked(const AcquireInput &input, bool withAvoided, bool &anyFull)
{
    const TimePoint now = m_clock.now();
    const auto capable = m_byCapability.find(input.capability);
    if (capable == m_byCapability.end()) {
        return nullptr;
    }
    std::vector<ServerView> views;
    std::vector<Server *> servers;
    for (const std::string &name : capable->second) {
        Server &server = m_servers.at(name);
        const bool otherVersion = input.softwareVersion && server.spec.softwareVersion != *input.softwareVersion;
        if (otherVersion || (!withAvoided && input.avoid.count(name) == 1)) {
            continue;
        }
        const Availability state = availability(server, input.exclusive, now);
        anyFull = anyFull || state == Availability::Full;
        if (state != Availability::Available) {
            continue;
        }
        ServerView view;
        view.name = server.spec.name;
        view.local = server.local;
        view.inFlight = server.inFlight;
        view.concurrency = server.spec.concurrency;
        view.reportedLoad = now - server.reportedAt < ReportLifetime ? server.reportedLoad : 0;
        view.expectedTime = server.averageTime;
        view.networkDelay = server.networkDelay;
        view.pricePerSecond = server.spec.pricePerSecond;
        views.push_back(view);
        servers.push_back(&server);
    }
    adjustExpectedTimes(views, servers, now);
    return views.empty() ? nullptr : servers.at(m_policy->choose(input.routing, views));
}

BackendServerTable::Server *BackendServerTable::chooseLocked(const AcquireInput &input, bool &anyFull)
{
    if (Server *server = chooseAmongLocked(input, false, anyFull); server != nullptr || input.avoid.empty()) {
        return server;
    }
    return chooseAmongLocked(input, true, anyFull);
}

void BackendServerTable::enqueueLocked(Waiter &waiter)
{
    auto position = m_waiters.begin();
    while (position != m_waiters.end() && position->deadline <= waiter.deadline) {
        ++position;
    }
    m_waiters.insert(position, waiter);
}

Result<ServerLease> BackendServerTable::acquire(const AcquireInput &input)
{
    Lock lock(m_mutex);
    Waiter waiter;
    waiter.capability = input.capability;
    waiter.deadline = input.waitDeadline;
    for (;;) {
        bool anyFull = false;
        if (Server *server = chooseLocked(input, anyFull)) {
            ++server->inFlight;
            server->heldExclusively = input.exclusive;
            return ServerLease(this, server->spec);
        }
        if (!anyFull) {
            return fail(ErrorCode::NoFitServer, "no backend server with '" + input.capability + "' takes work now");
        }
        const TimePoint now = m_clock.now();
        if (now >= input.waitDeadline) {
            return fail(ErrorCode::DeadlineExceeded, "no place on a backend server became free in time");
        }
        if (input.cancelled) {
            lock.unlock();
            const bool cancelled = input.cancelled();
            lock.lock();
            if (cancelled) {
                return fail(ErrorCode::CallerDisconnected);
            }
        }
        waiter.woken = false;
        enqueueLocked(waiter);
        const TimePoint until = std::min(input.waitDeadline, now + RecheckInterval);
        waiter.wake.wait_until(lock, until, [&waiter] {
            return waiter.woken;
        });
        m_waiters.erase(m_waiters.iterator_to(waiter));
    }
}

void BackendServerTable::wakeOneLocked(const BackendServerSpec &spec)
{
    for (Waiter &waiter : m_waiters) {
        if (!waiter.woken && spec.capabilities.count(waiter.capability) == 1) {
            waiter.woken = true;
            waiter.wake.notify_one();
            return;
        }
    }
}

void BackendServerTable::release(const std::string &name, ServerCallOutcome outcome, Duration serviceTime, std::optional<double> reportedLoad)
{
    const Lock lock(m_mutex);
    const auto found = m_servers.find(name);
    if (found == m_servers.end()) {
        return;
    }
    Server &server = found->second;
    --server.inFlight;
    server.heldExclusively = false;
    const TimePoint now = m_clock.now();
    if (reportedLoad) {
        server.reportedLoad = *reportedLoad;
        server.reportedAt = now;
    }
    if (outcome == ServerCallOutcome::Succeeded) {
        ++server.calls;
        server.failuresInARow = 0;
        server.averageTime = movingAverage(server.averageTime, serviceTime);
        server.measuredAt = now;
    } else if (outcome == ServerCallOutcome::Failed) {
        ++server.calls;
        ++server.failures;
        ++server.failuresInARow;
        if (server.failuresInARow >= m_health.failuresToQuarantine) {
            const unsigned doublings = std::min(server.failuresInARow - m_health.failuresToQuarantine, 10U);
            const std::chrono::milliseconds uncapped = m_health.firstQuarantine * (1 << doublings);
            server.quarantinedUntil = now + std::min(uncapped, m_health.longestQuarantine);
        }
    }
    wakeOneLocked(server.spec);
}

bool BackendServerTable::setLeaving(const std::string &server, bool leaving)
{
    const Lock lock(m_mutex);
    const auto found = m_servers.find(server);
    return found != m_servers.end() && std::exchange(found->second.reportsLeaving, leaving) != leaving;
}

bool BackendServerTable::replacePlatformLeaving(const std::set<std::string> &servers)
{
    const Lock lock(m_mutex);
    return std::exchange(m_leavingByPlatform, servers) != servers;
}

std::set<std::string> BackendServerTable::leavingByPlatform() const
{
    const Lock lock(m_mutex);
    return m_leavingByPlatform;
}

std::vector<ServerState> BackendServerTable::states() const
{
    const Lock lock(m_mutex);
    const TimePoint now = m_clock.now();
    std::vector<ServerState> states;
    for (const auto &[name, server] : m_servers) {
        ServerState state;
        state.name = name;
        state.dataCentre = server.spec.dataCentre;
        state.inFlight = server.inFlight;
        state.concurrency = server.spec.concurrency;
        state.reportedLoad = server.reportedLoad;
        state.failuresInARow = server.failuresInARow;
        state.quarantined = now < server.quarantinedUntil;
        state.leaving = leavingLocked(server);
        state.averageTime = server.averageTime;
        state.calls = server.calls;
        state.failures = server.failures;
        states.push_back(state);
    }
    return states;
}

double BackendServerTable::utilisation(const std::string &capability) const
{
    const Lock lock(m_mutex);
    const TimePoint now = m_clock.now();
    const auto capable = m_byCapability.find(capability);
    if (capable == m_byCapability.end()) {
        return 1;
    }
    double used = 0;
    double slots = 0;
    for (const std::string &name : capable->second) {
        const Server &server = m_servers.at(name);
        if (availability(server, false, now) != Availability::Ineligible) {
            used += server.inFlight;
            slots += server.spec.concurrency;
        }
    }
    return slots == 0 ? 1 : used / slots;
}

} // namespace vanillanotch
