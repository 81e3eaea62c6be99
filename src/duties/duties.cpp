#include "duties/duties.h"

namespace vanillanotch
{

DutyLease::DutyLease(DutyStore &store, const Clock &clock, std::string name, std::string holder, DutySettings settings)
    : m_store(store)
    , m_clock(clock)
    , m_name(std::move(name))
    , m_holder(std::move(holder))
    , m_settings(settings)
{
}

void DutyLease::tick(bool wanted)
{
    if (!wanted) {
        const Lock lock(m_mutex);
        m_heldUntil = std::min(m_heldUntil, m_clock.now()); // the row isn't changed, so the next holder still waits for the whole lease and the margin
        m_observedVersion = 0;
        return;
    }
    const auto row = m_store.read(m_name);
    if (!row) {
        return; // the row can't be read now: a lease that this node holds isn't renewed and runs on until m_heldUntil
    }
    if (!row->has_value()) {
        writeLease(DutyRow{m_holder, 1, 0}, 0);
    } else if ((*row)->holder == m_holder) {
        renew(**row);
    } else {
        observeHolder(**row);
    }
}

bool DutyLease::writeLease(const DutyRow &next, std::uint64_t expectedVersion)
{
    const TimePoint sent = m_clock.now(); // the lease counts from before the write, so that it ends at this node before another node may take over
    if (!m_store.write(m_name, next, expectedVersion)) {
        return false; // if the write took effect and only its reply was lost, the next tick() finds this node's row and renews it
    }
    const Lock lock(m_mutex);
    m_fencingNumber = next.fencingNumber;
    m_heldUntil = sent + m_settings.leaseDuration;
    return true;
}

void DutyLease::renew(const DutyRow &row)
{
    writeLease(row, row.version);
}

void DutyLease::observeHolder(const DutyRow &row)
{
    {
        const Lock lock(m_mutex);
        const TimePoint now = m_clock.now();
        if (m_observedVersion != row.version) {
            m_observedVersion = row.version;
            m_observedSince = now;
            return;
        }
        if (now - m_observedSince < m_settings.leaseDuration + m_settings.margin) {
            return;
        }
    }
    if (writeLease(DutyRow{m_holder, row.fencingNumber + 1, 0}, row.version)) {
        logEvent(LogLevel::Info, "duty.taken_over", {{"duty", m_name}, {"fencing", row.fencingNumber + 1}, {"from", row.holder}});
    }
}

std::optional<std::uint64_t> DutyLease::fencingNumber() const
{
    const Lock lock(m_mutex);
    const bool held = m_clock.now() + m_settings.margin < m_heldUntil;
    return held ? std::optional<std::uint64_t>(m_fencingNumber) : std::nullopt;
}

EngineOrders::EngineOrders(DutyLease &lease, DutyStore &store, EngineChannel &engines, const Clock &clock, std::string dataCentre)
    : m_lease(lease)
    , m_store(store)
    , m_engines(engines)
    , m_clock(clock)
    , m_dataCentre(std::move(dataCentre))
{
}

void EngineOrders::run(const Configuration &configuration)
{
    for (const auto &[name, server] : configuration.backendServers()) {
        const auto fencingNumber = m_lease.fencingNumber();
        if (!fencingNumber) {
            return;
        }
        if (*fencingNumber != m_confirmedFencingNumber) {
            m_confirmed.clear();
            m_confirmedFencingNumber = *fencingNumber;
        }
        if (server.dataCentre == m_dataCentre && !server.wantedModel.empty() && !confirmedRecently(server)) {
            ensureWantedModel(server);
        }
    }
}

bool EngineOrders::confirmedRecently(const BackendServerSpec &server) const
{
    const auto found = m_confirmed.find(server.name);
    return found != m_confirmed.end() && found->second.model == server.wantedModel && m_clock.now() - found->second.at < RecheckInterval;
}

void EngineOrders::ensureWantedModel(const BackendServerSpec &server)
{
    const auto state = m_engines.state(server.address, m_lease.margin());
    if (!state) {
        return;
    }
    if (state->model == server.wantedModel) {
        m_confirmed[server.name] = Confirmed{state->model, m_clock.now()};
        return;
    }
    const auto fencingNumber = m_lease.fencingNumber();
    if (!fencingNumber) {
        return;
    }
    const EngineOrder order{*fencingNumber, server.wantedModel};
    if (!server.checksFencing) {
        if (const auto recorded = m_store.recordOrder(server.name, order); !recorded) {
            return; // the next run() tries again
        }
    }
    // Check the lease again right before sending: it may have ended while this thread was paused or the calls above were slow.
    if (m_lease.fencingNumber() != fencingNumber) {
        return;
    }
    const auto done = m_engines.order(server.address, order, m_lease.margin() / 2);
    logEvent(LogLevel::Info, "engine.order",
             {{"server", server.name}, {"model", order.model}, {"fencing", order.fencingNumber}, {"result", done ? "done" : errorName(done.error().code)}});
}

} // namespace vanillanotch
