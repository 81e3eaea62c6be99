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
        m_heldUntil = std::min(m_heldUntil, m_clock.now()); // a successor waits the lease out all the same
        m_seenVersion = 0;
        return;
    }
    const auto row = m_store.read(m_name);
    if (!row) {
        return; // held until the lease ends, no longer
    }
    if (!row->has_value()) {
        take(DutyRow{m_holder, 1, 0}, 0);
    } else if ((*row)->holder == m_holder) {
        renew(**row);
    } else {
        watch(**row);
    }
}

bool DutyLease::take(const DutyRow &next, std::uint64_t expectedVersion)
{
    const TimePoint sent = m_clock.now(); // the lease counts from before the write
    if (!m_store.write(m_name, next, expectedVersion)) {
        return false; // when only the answer was lost, the next tick finds this node's row and renews it
    }
    const Lock lock(m_mutex);
    m_fencing = next.fencingNumber;
    m_heldUntil = sent + m_settings.lease;
    return true;
}

void DutyLease::renew(const DutyRow &row)
{
    take(row, row.version);
}

void DutyLease::watch(const DutyRow &row)
{
    {
        const Lock lock(m_mutex);
        const TimePoint now = m_clock.now();
        if (m_seenVersion != row.version) {
            m_seenVersion = row.version;
            m_seenSince = now;
            return;
        }
        if (now - m_seenSince < m_settings.lease + m_settings.margin) {
            return;
        }
    }
    if (take(DutyRow{m_holder, row.fencingNumber + 1, 0}, row.version)) {
        logEvent(LogLevel::Info, "duty.taken_over", {{"duty", m_name}, {"fencing", row.fencingNumber + 1}, {"from", row.holder}});
    }
}

std::optional<std::uint64_t> DutyLease::fencingNumber() const
{
    const Lock lock(m_mutex);
    const bool held = m_clock.now() + m_settings.margin < m_heldUntil;
    return held ? std::optional<std::uint64_t>(m_fencing) : std::nullopt;
}

EngineOrders::EngineOrders(DutyLease &duty, DutyStore &store, EngineChannel &engines, const Clock &clock, std::string dataCentre)
    : m_duty(duty)
    , m_store(store)
    , m_engines(engines)
    , m_clock(clock)
    , m_dataCentre(std::move(dataCentre))
{
}

void EngineOrders::run(const Configuration &configuration)
{
    for (const auto &[name, server] : configuration.backendServers()) {
        const auto fencing = m_duty.fencingNumber();
        if (!fencing) {
            return;
        }
        if (*fencing != m_confirmedUnder) {
            m_confirmed.clear();
            m_confirmedUnder = *fencing;
        }
        if (server.dataCentre == m_dataCentre && !server.wantedModel.empty() && !confirmedLately(server)) {
            bringUp(server);
        }
    }
}

bool EngineOrders::confirmedLately(const BackendServerSpec &server) const
{
    const auto found = m_confirmed.find(server.name);
    return found != m_confirmed.end() && found->second.model == server.wantedModel && m_clock.now() - found->second.at < RecheckInterval;
}

void EngineOrders::bringUp(const BackendServerSpec &server)
{
    const auto state = m_engines.state(server.address, m_duty.margin());
    if (!state) {
        return;
    }
    if (state->model == server.wantedModel) {
        m_confirmed[server.name] = Confirmed{state->model, m_clock.now()};
        return;
    }
    const auto fencing = m_duty.fencingNumber();
    if (!fencing) {
        return;
    }
    const EngineOrder order{*fencing, server.wantedModel};
    if (!server.checksFencing) {
        if (const auto recorded = m_store.recordOrder(server.name, order); !recorded) {
            return; // the next round tries again
        }
    }
    // The last look before the bytes leave: a holder that was paused above finds its lease ended here.
    if (m_duty.fencingNumber() != fencing) {
        return;
    }
    const auto done = m_engines.order(server.address, order, m_duty.margin() / 2);
    logEvent(LogLevel::Info, "engine.order",
             {{"server", server.name}, {"model", order.model}, {"fencing", order.fencingNumber}, {"result", done ? "done" : errorName(done.error().code)}});
}

} // namespace vanillanotch
