// vanillanotch duties library: duties, that is, tasks that one node of a data centre does on behalf of all its nodes, under a lease.
//
// A model engine is the software of a backend server that loads and runs models.
//
// The holder of a duty is the node that has the lease on it. Each holder has a fencing number, which it sends with its orders to model engines. An engine
// that checks these numbers refuses an order whose number is lower than one that it has received before, so that a former holder can't undo an order
// of a later one.
//
// The platform is the service outside this project that stores data for all nodes, among it a table of rows with versions.
//
// Index of sections:
//   [DUTIES]   DutyLease: a lease that one node of a data centre holds
//   [ORDERS]   EngineOrders: orders to model engines to load a model, sent by the holder of a duty
//
// Rules this aggregate enforces:
//   - two nodes never believe at the same time that they hold a duty, as long as their monotonic clocks run at about the same rate;
//   - every holder has a higher fencing number than the holders before it;
//   - an order is sent only while the lease lasts for longer than DutySettings::margin, which is longer than the timeout of the call.
// Remaining risk with engines that ignore fencing numbers: an order that was sent in time may be delayed in the network for longer than
// the margin, and arrive after an order of the next holder.
#pragma once

#include "base/base.h"
#include "configuration/configuration.h"

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [DUTIES]
//-----------------------------------------------------------------------------

struct DutyRow {
    std::string holder; // name of the node and its incarnation, a number that differs with each start of its process
    std::uint64_t fencingNumber = 0; // fencing number of the holder
    std::uint64_t version = 0; // of the row in the platform's table
};

struct EngineOrder {
    std::uint64_t fencingNumber = 0; // fencing number of the sender
    std::string model; // name of the model to load
};

// Stores duties and orders. Errors: PlatformUnavailable: the call had no effect; PlatformAnswerLost: it may have had one;
// PlatformReplyInvalid: the reply or the row can't be decoded.
class DutyStore
{
public:
    virtual ~DutyStore() = default;
    virtual Result<std::optional<DutyRow>> read(const std::string &duty) = 0; // nullopt: there is no row
    // Writes the row if its version is expectedVersion (0: if there is no row yet). ConditionFailed: it has another version; nothing was written.
    virtual Result<void> write(const std::string &duty, const DutyRow &row, std::uint64_t expectedVersion) = 0;
    // Records an order to a server; call it before the order is sent to an engine that ignores fencing numbers. ConditionFailed: a later holder has
    // recorded an order to this server already, so this one must not be sent.
    virtual Result<void> recordOrder(const std::string &server, const EngineOrder &order) = 0;
};

struct DutySettings {
    std::chrono::milliseconds leaseDuration{10000}; // duration of a lease, counted from just before the holder writes it
    std::chrono::milliseconds margin{2000}; // the holder stops this long before its lease ends; the next holder starts at the earliest this long after that end
};

// A lease on a row of the platform's table. Other nodes see that the holder is alive only by the row's version, which changes with each renewal;
// wall clocks aren't used. Thread-safe; the platform is called without a lock held.
class DutyLease
{
public:
    DutyLease(DutyStore &store, const Clock &clock, std::string name, std::string holder, DutySettings settings);
    // Takes or renews the lease. Call it several times per DutySettings::leaseDuration. `wanted`: this node should hold the duty; false: it stops
    // holding the duty at once and doesn't renew the lease.
    void tick(bool wanted);
    // The fencing number if this node holds the lease for longer than the margin from now; otherwise nullopt.
    std::optional<std::uint64_t> fencingNumber() const;
    std::chrono::milliseconds margin() const
    {
        return m_settings.margin;
    }

private:
    void renew(const DutyRow &row); // writes this node's row again, unchanged, so that its version and the end of the lease move on
    void observeHolder(const DutyRow &row); // takes over another holder's row once this node has seen the same version of it for leaseDuration + margin
    bool writeLease(const DutyRow &next, std::uint64_t expectedVersion); // true: the row was written and this node holds the lease

    DutyStore &m_store;
    const Clock &m_clock;
    std::string m_name; // of the duty
    std::string m_holder; // name and incarnation of this node
    DutySettings m_settings;
    mutable RankedMutex m_mutex{LockRank::Duties};
    std::uint64_t m_fencingNumber = 0; // of this node's lease
    TimePoint m_heldUntil{}; // end of this node's lease
    std::uint64_t m_observedVersion = 0; // version of another holder's row when it was last read; 0: none was read
    TimePoint m_observedSince{}; // when m_observedVersion was first read
};

//-----------------------------------------------------------------------------
// [ORDERS]
//-----------------------------------------------------------------------------

struct EngineState {
    std::string model; // name of the model that is loaded now
    std::uint64_t fencingNumber = 0; // highest fencing number that the engine has received; 0: none, or it ignores them
};

// Calls model engines; the addresses are those of backend servers, IP:port.
class EngineChannel
{
public:
    virtual ~EngineChannel() = default;
    virtual Result<EngineState> state(const std::string &address, Duration timeout) = 0;
    virtual Result<void> order(const std::string &address, const EngineOrder &order, Duration timeout) = 0;
};

// Makes the engines of a data centre load the models that the configuration wants: reads the state of each engine, and orders it to load
// the wanted model if another one is loaded.
class EngineOrders
{
public:
    EngineOrders(DutyLease &lease, DutyStore &store, EngineChannel &engines, const Clock &clock, std::string dataCentre);
    // Checks each server of the data centre that has a wanted model and wasn't confirmed recently. Does nothing unless this node holds the lease. Call
    // it from one thread at a time.
    void run(const Configuration &configuration);

private:
    static constexpr Duration RecheckInterval = std::chrono::minutes(5); // between two reads of an engine that has the wanted model loaded

    struct Confirmed { // an engine that had the wanted model loaded when its state was read
        std::string model;
        TimePoint at{}; // when the state was read
    };
    bool confirmedRecently(const BackendServerSpec &server) const; // true: the wanted model was seen loaded within RecheckInterval
    void ensureWantedModel(const BackendServerSpec &server); // reads the engine's state and sends an order if another model is loaded

    DutyLease &m_lease;
    DutyStore &m_store;
    EngineChannel &m_engines;
    const Clock &m_clock;
    std::string m_dataCentre;
    // Fencing number under which m_confirmed was filled. With another number it is cleared, because another holder may have sent other
    // orders in between.
    std::uint64_t m_confirmedFencingNumber = 0;
    std::map<std::string, Confirmed> m_confirmed; // by name of the backend server
};

} // namespace vanillanotch
