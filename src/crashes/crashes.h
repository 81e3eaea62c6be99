// vanillanotch crashes library: finds the requests that crash the backend servers that run them, and keeps them from further servers.
//
// A request is known by its traits: each part of its prompt that it shares with other requests, and the request as a whole. When a server
// crashes, the requests that it had received and not answered to the end are suspects. Each node reports its own suspects to all others; the
// reports are rows of a table that all nodes follow. An instance is a running copy of a backend server.
//
// Index of sections:
//   [REPORTS] RequestTraits, CrashReport, CrashRow: what the nodes tell each other
//   [TABLE]   CrashTable: which traits are blocked
//   [GUARD]   CrashLedger, CrashGuard: entry point for the forwarding library
//
// Rules this aggregate enforces:
//   - requests with a trait are refused once as many instances as CrashSettings::crashesToBlock have crashed on them;
//   - a part is blocked only on the evidence of several different requests;
//   - crashes that one blocked part explains don't count against the other parts of the same requests;
//   - a request that ends well clears its traits of all earlier crashes;
//   - while a trait is blocked, all nodes together let at most CrashSettings::maxProbes requests with it pass, to find out whether it still crashes servers.
#pragma once

#include "base/base.h"

#include <optional>
#include <set>

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [REPORTS]
//-----------------------------------------------------------------------------

struct RequestTraits {
    std::vector<std::string> parts; // hashes of the prompt's parts in their order, without the last one, which belongs to this request alone
    std::string whole; // hash of all that repetitions of this request have in common; empty: not computed
};

struct CrashReport {
    std::string instance; // the instance that crashed: its id and the start of its process
    RequestTraits traits; // of a request that the instance had received and not answered to the end
};

// A row of the shared table.
struct CrashRow {
    enum class Kind {
        Report, // `report`; one for each instance and request
        Cleared, // a request with `trait` has ended well; reports with a lower version don't count against the trait
        Probe, // a request with the blocked `trait` was let pass, as the `probe`th
    };
    Kind kind = Kind::Report;
    CrashReport report; // of a removed row: without parts
    std::string trait;
    unsigned probe = 0; // from 1
    std::uint64_t version = 0; // version of the table after the row was written
    bool removed = false;
};

//-----------------------------------------------------------------------------
// [TABLE]
//-----------------------------------------------------------------------------

struct CrashSettings {
    std::size_t crashesToBlock = 3; // instances that must have crashed before a trait is blocked
    std::size_t requestsToBlockPart = 2; // different requests among those; the repetitions of one request prove nothing about its parts
    std::chrono::milliseconds soundPeriod{10000}; // a part with which a request has ended well at this node within this time isn't reported
    std::chrono::milliseconds firstProbe{10000}; // from the block to its first probe
    unsigned probeFactor = 6; // each further probe comes this many times later after the one before
    unsigned maxProbes = 3; // of one trait, until its reports have expired
    std::chrono::minutes retention{60}; // reports older than this are removed
    std::chrono::seconds mayBeLost{60}; // how old the copy may be that the shared table comes back from
    std::size_t maxReports = 2000; // the oldest are dropped beyond this
    std::size_t maxSoundParts = 4000; // parts whose last good end is remembered
};

// The reports of all nodes, and what follows from them. Makes no calls itself. Thread-safe.
class CrashTable
{
public:
    explicit CrashTable(const Clock &clock, CrashSettings settings = {});

    struct Verdict {
        bool blocked = false;
        // A probe is due. The caller that gets this must claim it; others are told that one is due only after ProbeClaimPause.
        std::string probeTrait; // empty: no probe is due
        unsigned probe = 0;
    };
    Verdict check(const RequestTraits &traits);
    bool blocks(const RequestTraits &traits) const;
    bool empty() const; // no reports are known, so nothing is blocked

    // An instance crashed that had received a request with these traits and not answered it to the end. Returns the report for the other nodes.
    CrashReport recordCrash(const std::string &instance, const RequestTraits &traits);
    // A request with these traits has ended well. Returns the traits that reports count against, for the other nodes to clear.
    std::vector<std::string> recordCompletion(const RequestTraits &traits);
    void recordProbe(const std::string &trait, unsigned probe); // this node has claimed the probe
    // Takes over rows of the shared table. `whole`: they are all rows, and what isn't among them no longer counts, except for this node's own recent reports:
    // the table has lost them, or doesn't have them yet. Returns these, to be shared again.
    std::vector<CrashReport> apply(const std::vector<CrashRow> &rows, bool whole);
    std::vector<CrashRow> expired() const; // rows to be removed from the shared table
    std::vector<std::string> blockedTraits() const;

    static constexpr std::chrono::milliseconds ProbeClaimPause{1000};

private:
    struct Report {
        CrashReport content;
        std::uint64_t version = 0;
        TimePoint seenAt{};
        bool own = false; // made by this node
    };
    struct Block {
        TimePoint since{};
        unsigned probes = 0;
        TimePoint nextProbeAt{};
    };
    using ReportKey = std::pair<std::string, std::string>; // instance, whole request

    void applyLocked(const CrashRow &row, TimePoint now);
    bool isLostLocked(const Report &report, TimePoint now) const; // for a report that a whole read of the table doesn't have
    void recordProbeLocked(const std::string &trait, unsigned probe, TimePoint now);
    bool countsLocked(const Report &report, const std::string &trait) const; // not cleared since
    std::optional<std::string> blamedLocked(const std::set<const Report *> &unexplained) const;
    void updateBlocksLocked(TimePoint now);
    const std::string *blockedTraitLocked(const RequestTraits &traits) const;
    void evictLocked(TimePoint now);

    const Clock &m_clock;
    const CrashSettings m_settings;
    mutable RankedMutex m_mutex{LockRank::Suspects};
    std::map<ReportKey, Report> m_reports;
    std::map<std::string, std::uint64_t> m_cleared; // version of the last good end, by trait; only of traits in reports
    std::map<std::string, unsigned> m_probes; // number of probes so far, by trait
    std::map<std::string, Block> m_blocks; // by trait
    std::map<std::string, TimePoint> m_soundAt; // last good end at this node, by part
    std::uint64_t m_version = 0; // highest version of a row, since the latest whole read
};

//-----------------------------------------------------------------------------
// [GUARD]
//-----------------------------------------------------------------------------

// The shared table, as this node writes to it.
class CrashLedger
{
public:
    virtual ~CrashLedger() = default;
    // Both return at once; the rows are written in the background.
    virtual void share(const CrashReport &report) = 0;
    virtual void shareCleared(const std::string &trait) = 0;
    // True: this node alone may send the probe. Waits for the table's reply.
    virtual bool claimProbe(const std::string &trait, unsigned probe) = 0;
};

// Thread-safe.
class CrashGuard
{
public:
    CrashGuard(CrashTable &table, CrashLedger &ledger);
    enum class Admission {
        Free, // ask blocks() before each attempt, since the traits may be blocked meanwhile
        Probe, // a trait is blocked, and this request is let pass to find out whether it still crashes servers
    };
    Result<Admission> admit(const RequestTraits &traits); // errors: SuspectRefused
    bool blocks(const RequestTraits &traits) const;
    bool idle() const; // nothing is blocked or suspect, so the traits needn't be computed for admit() and blocks()
    void recordCrash(const std::string &instance, const RequestTraits &traits);
    void recordCompletion(const RequestTraits &traits);

private:
    CrashTable &m_table;
    CrashLedger &m_ledger;
};

} // namespace vanillanotch
