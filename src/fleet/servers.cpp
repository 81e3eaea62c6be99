#include "fleet/fleet.h"

#include <algorithm>
#include <cmath>

namespace vanillanotch
{

namespace
{
constexpr double AverageWeight = 0.2; // weight of the newest time in the moving average
constexpr Duration InitialTime = std::chrono::milliseconds(100); // before the first answer of a server
constexpr Duration AverageHalfLife = std::chrono::seconds(10); // without a new call
constexpr Duration ReportLifetime = std::chrono::seconds(5); // an older load report counts for nothing
constexpr Duration LongestWait = std::chrono::milliseconds(100); // between two looks at gates that open with time

Duration blend(Duration average, Duration newest)
{
    if (average == Duration::zero()) {
        return newest;
    }
    const double mixed = (1 - AverageWeight) * static_cast<double>(average.count()) + AverageWeight * static_cast<double>(newest.count());
    return Duration(static_cast<Duration::rep>(mixed));
}
} // namespace

ServerLease::ServerLease(BackendServerTable *table, BackendServerSpec spec)
    : m_held(table, Abandon{std::move(spec)})
{
}

void ServerLease::Abandon::operator()(BackendServerTable *table) const
{
    table->release(spec.name, ServerCallOutcome::Inconclusive, Duration::zero(), std::nullopt);
}

void ServerLease::finish(ServerCallOutcome verdict, Duration serviceTime, std::optional<double> reportedLoad)
{
    if (BackendServerTable *table = m_held.release()) {
        table->release(server().name, verdict, serviceTime, reportedLoad);
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
        return; // two threads installed one revision after the other, and this one comes late
    }
    m_revision = configuration.revision();
    m_byCapability.clear();
    for (const auto &[name, spec] : configuration.backendServers()) {
        Server &server = m_servers[name];
        const bool moved = server.spec.address != spec.address;
        if (moved) { // another process answers there: what was learnt is void
            const unsigned inFlight = server.inFlight;
            server = Server();
            server.inFlight = inFlight;
        }
        server.spec = spec;
        server.local = spec.dataCentre == m_dataCentre;
        const auto home = configuration.dataCentres().find(spec.dataCentre);
        server.networkDelay = server.local || home == configuration.dataCentres().end() ? Duration::zero() : Duration(2 * home->second.oneWayDelay);
        for (const std::string &capability : spec.capabilities) {
            m_byCapability[capability].push_back(name);
        }
    }
    for (auto it = m_servers.begin(); it != m_servers.end();) {
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
    return server.spec.draining || server.leavingBySelf || m_leavingByPlatform.count(server.spec.name) == 1;
}

BackendServerTable::Gate BackendServerTable::gate(const Server &server, bool alone, TimePoint now) const
{
    if (leavingLocked(server) || now < server.quarantinedUntil) {
        return Gate::Closed;
    }
    const bool probing = server.failuresInARow >= m_health.failuresToQuarantine;
    const unsigned places = probing || alone || server.heldAlone ? 1 : server.spec.concurrency;
    return server.inFlight < places ? Gate::Open : Gate::Full;
}

void BackendServerTable::fillUnknownTimes(std::vector<ServerView> &views, const std::vector<Server *> &servers, TimePoint now)
{
    Duration best = Duration::max();
    for (const ServerView &view : views) {
        if (view.expectedTime != Duration::zero()) {
            best = std::min(best, view.expectedTime);
        }
    }
    for (std::size_t i = 0; i < views.size(); ++i) {
        Duration &expected = views[i].expectedTime;
        if (expected == Duration::zero()) { // as good as the best, so that it gets a try
            expected = best == Duration::max() ? InitialTime : best;
            continue;
        }
        // What was learnt long ago counts less and less: a server that was slow once gets another try.
        const double age = std::chrono::duration<double>(now - servers[i]->measuredAt).count();
        const double kept = std::exp2(-age / std::chrono::duration<double>(AverageHalfLife).count());
        expected = best + Duration(static_cast<Duration::rep>(static_cast<double>((expected - best).count()) * kept));
    }
}

BackendServerTable::Server *BackendServerTable::chooseAmongLocked(const AcquireInput &input, bool withAvoided, bool &anyFull)
{
    const TimePoint now = m_clock.now();
    const auto fit = m_byCapability.find(input.capability);
    if (fit == m_byCapability.end()) {
        return nullptr;
    }
    std::vector<ServerView> views;
    std::vector<Server *> servers;
    for (const std::string &name : fit->second) {
        Server &server = m_servers.at(name);
        if (!withAvoided && input.avoid.count(name) == 1) {
            continue;
        }
        const Gate state = gate(server, input.exclusive, now);
        anyFull = anyFull || state == Gate::Full;
        if (state != Gate::Open) {
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
    fillUnknownTimes(views, servers, now);
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
    auto place = m_waiters.begin();
    while (place != m_waiters.end() && place->deadline <= waiter.deadline) {
        ++place;
    }
    m_waiters.insert(place, waiter);
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
            server->heldAlone = input.exclusive;
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
                return fail(ErrorCode::CallerGone);
            }
        }
        waiter.woken = false;
        enqueueLocked(waiter);
        const TimePoint until = std::min(input.waitDeadline, now + LongestWait);
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

void BackendServerTable::release(const std::string &name, ServerCallOutcome verdict, Duration serviceTime, std::optional<double> reportedLoad)
{
    const Lock lock(m_mutex);
    const auto found = m_servers.find(name);
    if (found == m_servers.end()) {
        return;
    }
    Server &server = found->second;
    --server.inFlight;
    server.heldAlone = false;
    const TimePoint now = m_clock.now();
    if (reportedLoad) {
        server.reportedLoad = *reportedLoad;
        server.reportedAt = now;
    }
    if (verdict == ServerCallOutcome::Succeeded) {
        ++server.calls;
        server.failuresInARow = 0;
        server.averageTime = blend(server.averageTime, serviceTime);
        server.measuredAt = now;
    } else if (verdict == ServerCallOutcome::Failed) {
        ++server.calls;
        ++server.failures;
        ++server.failuresInARow;
        if (server.failuresInARow >= m_health.failuresToQuarantine) {
            const unsigned doublings = std::min(server.failuresInARow - m_health.failuresToQuarantine, 10U);
            const std::chrono::milliseconds wanted = m_health.firstQuarantine * (1 << doublings);
            server.quarantinedUntil = now + std::min(wanted, m_health.longestQuarantine);
        }
    }
    wakeOneLocked(server.spec);
}

bool BackendServerTable::setLeaving(const std::string &server, bool leaving)
{
    const Lock lock(m_mutex);
    const auto found = m_servers.find(server);
    return found != m_servers.end() && std::exchange(found->second.leavingBySelf, leaving) != leaving;
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
    const auto fit = m_byCapability.find(capability);
    if (fit == m_byCapability.end()) {
        return 1;
    }
    double used = 0;
    double places = 0;
    for (const std::string &name : fit->second) {
        const Server &server = m_servers.at(name);
        if (gate(server, false, now) != Gate::Closed) {
            used += server.inFlight;
            places += server.spec.concurrency;
        }
    }
    return places == 0 ? 1 : used / places;
}

} // namespace vanillanotch
