// vanillanotch duties library: what one node of a data centre does for all, under a lease.
//
// Index of sections:
//   [DUTIES]   Duty: a lease that one node of a data centre holds
//   [ORDERS]   EngineOrders: orders to model engines, given under a duty
//
// Rules this aggregate enforces:
//   - two nodes never believe at the same time that they hold a duty, as long as monotonic clocks run at like speed;
//   - every holder has a higher fencing number than the ones before it;
//   - an order goes out only while the duty is held with a margin that covers the call.
// The risk that remains, with engines that ignore fencing numbers: an order that left in time may be held up on the way
// for longer than the margin and arrive after a successor's.
#pragma once

#include "base/base.h"
#include "configuration/configuration.h"

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [DUTIES]
//-----------------------------------------------------------------------------

struct DutyRow {
    std::string holder; // name and incarnation of the node
    std::uint64_t fencingNumber = 0;
    std::uint64_t version = 0; // of the row
};

struct EngineOrder {
    std::uint64_t fencingNumber = 0;
    std::string model; // to be loaded
};

// Where duties and orders are kept; errors as of Table.
class DutyStore
{
public:
    virtual ~DutyStore() = default;
    virtual Result<std::optional<DutyRow>> read(const std::string &duty) = 0;
    virtual Result<void> write(const std::string &duty, const DutyRow &row, std::uint64_t expectedVersion) = 0;
    // Before an order to an engine that ignores fencing numbers. ConditionFailed: a later holder has given one.
    virtual Result<void> recordOrder(const std::string &server, const EngineOrder &order) = 0;
};

struct DutySettings {
    std::chrono::milliseconds lease{10000};
    std::chrono::milliseconds margin{2000}; // the holder stops this much earlier, a successor starts this much later
};

// A lease on a row of the platform's table. Only the row's version tells a successor that the holder lives: wall clocks
// play no part. Thread-safe; the platform is called without a lock held.
class DutyLease
{
public:
    DutyLease(DutyStore &store, const Clock &clock, std::string name, std::string holder, DutySettings settings);
    // Call a few times in a lease. `wanted`: this node should hold the duty; otherwise it lets the lease end.
    void tick(bool wanted);
    // The fencing number, while the duty is held for at least the margin.
    std::optional<std::uint64_t> fencingNumber() const;
    std::chrono::milliseconds margin() const
    {
        return m_settings.margin;
    }

private:
    void renew(const DutyRow &row);
    void watch(const DutyRow &row);
    bool take(const DutyRow &next, std::uint64_t expectedVersion);

    DutyStore &m_store;
    const Clock &m_clock;
    std::string m_name;
    std::string m_holder;
    DutySettings m_settings;
    mutable RankedMutex m_mutex{LockRank::Duties};
    std::uint64_t m_fencing = 0;
    TimePoint m_heldUntil{};
    std::uint64_t m_seenVersion = 0; // of another holder's row
    TimePoint m_seenSince{};
};

//-----------------------------------------------------------------------------
// [ORDERS]
//-----------------------------------------------------------------------------

struct EngineState {
    std::string model; // loaded now
    std::uint64_t fencingNumber = 0; // highest number seen; 0: ignored or none
};

class EngineChannel
{
public:
    virtual ~EngineChannel() = default;
    virtual Result<EngineState> state(const std::string &address, Duration timeout) = 0;
    virtual Result<void> order(const std::string &address, const EngineOrder &order, Duration timeout) = 0;
};

// Brings the engines of a data centre to what the configuration wants: reads each one's state, orders what differs.
class EngineOrders
{
public:
    EngineOrders(DutyLease &duty, DutyStore &store, EngineChannel &engines, const Clock &clock, std::string dataCentre);
    void run(const Configuration &configuration); // does nothing unless the duty is held; call from one thread at a time

private:
    static constexpr Duration RecheckInterval = std::chrono::minutes(5); // of an engine that had the wanted model

    struct Confirmed {
        std::string model;
        TimePoint at{};
    };
    bool confirmedLately(const BackendServerSpec &server) const;
    void bringUp(const BackendServerSpec &server);

    DutyLease &m_duty;
    DutyStore &m_store;
    EngineChannel &m_engines;
    const Clock &m_clock;
    std::string m_dataCentre;
    std::uint64_t m_confirmedUnder = 0; // fencing number: another holder may have ordered otherwise in between
    std::map<std::string, Confirmed> m_confirmed;
};

} // namespace vanillanotch
