// Rows of the table of crashes: keys and values, and the ledger that writes them.
#include "entry/entry.h"

#include <nlohmann/json.hpp>

namespace vanillanotch
{

const std::string CrashesTable = "crashes";

namespace
{
using Json = nlohmann::json;

constexpr std::string_view ReportPrefix = "report/"; // report/INSTANCE/WHOLE
constexpr std::string_view ClearedPrefix = "cleared/"; // cleared/TRAIT
constexpr std::string_view ProbePrefix = "probe/"; // probe/TRAIT/NUMBER
constexpr Duration CollectPause = std::chrono::milliseconds(20); // rows that come within it are written together
constexpr Duration FirstRetryPause = std::chrono::milliseconds(200); // doubles with each failure
constexpr Duration MaxRetryPause = std::chrono::milliseconds(1600);
constexpr Duration WriteTimeout = std::chrono::milliseconds(1500);
constexpr Duration ClaimTimeout = std::chrono::milliseconds(500); // a request waits for it
constexpr std::size_t MaxWaiting = 1000; // rows; the oldest are given up beyond this

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}
} // namespace

RowWrite encodeCrashRow(const CrashRow &row)
{
    switch (row.kind) {
    case CrashRow::Kind::Report:
        return RowWrite{std::string(ReportPrefix) + row.report.instance + "/" + row.report.traits.whole, Json{{"parts", row.report.traits.parts}}.dump()};
    case CrashRow::Kind::Cleared:
        return RowWrite{std::string(ClearedPrefix) + row.trait, "{}"};
    case CrashRow::Kind::Probe:
        break;
    }
    return RowWrite{std::string(ProbePrefix) + row.trait + "/" + std::to_string(row.probe), "{}", true};
}

Result<CrashRow> decodeCrashRow(const StoredRow &stored)
{
    CrashRow row;
    row.version = stored.version;
    row.removed = stored.removed;
    const std::string_view key = stored.key;
    const std::size_t slash = key.rfind('/');
    try {
        if (startsWith(key, ReportPrefix) && slash > ReportPrefix.size()) {
            row.report.instance = key.substr(ReportPrefix.size(), slash - ReportPrefix.size());
            row.report.traits.whole = key.substr(slash + 1);
            if (!stored.removed) {
                row.report.traits.parts = Json::parse(stored.value).at("parts").get<std::vector<std::string>>();
            }
            return row;
        }
        if (startsWith(key, ClearedPrefix)) {
            row.kind = CrashRow::Kind::Cleared;
            row.trait = key.substr(ClearedPrefix.size());
            return row;
        }
        if (startsWith(key, ProbePrefix) && slash > ProbePrefix.size()) {
            row.kind = CrashRow::Kind::Probe;
            row.trait = key.substr(ProbePrefix.size(), slash - ProbePrefix.size());
            row.probe = Json::parse(key.substr(slash + 1)).get<unsigned>();
            return row;
        }
    } catch (const Json::exception &exception) {
        return fail(ErrorCode::DocumentInvalid, exception.what());
    }
    return fail(ErrorCode::DocumentInvalid, "expected a report, cleared or probe key");
}

//-----------------------------------------------------------------------------
// StoreCrashLedger
//-----------------------------------------------------------------------------

StoreCrashLedger::StoreCrashLedger(StateStore &store, GrowingPool &pool, TimerQueue &timers)
    : m_store(store)
    , m_pool(pool)
    , m_timers(timers)
    , m_retryPause(FirstRetryPause)
{
}

void StoreCrashLedger::share(const CrashReport &report)
{
    enqueue(encodeCrashRow(CrashRow{CrashRow::Kind::Report, report, {}, 0, 0, false}));
}

void StoreCrashLedger::shareCleared(const std::string &trait)
{
    enqueue(encodeCrashRow(CrashRow{CrashRow::Kind::Cleared, {}, trait, 0, 0, false}));
}

bool StoreCrashLedger::claimProbe(const std::string &trait, unsigned probe)
{
    const auto claimed = m_store.writeRows(CrashesTable, {encodeCrashRow(CrashRow{CrashRow::Kind::Probe, {}, trait, probe, 0, false})}, ClaimTimeout);
    return claimed.has_value(); // after a lost reply the probe may be claimed for nobody; the next one comes later
}

void StoreCrashLedger::enqueue(RowWrite row)
{
    {
        const Lock lock(m_mutex);
        m_waiting.push_back(std::move(row));
        if (m_waiting.size() > MaxWaiting) {
            m_waiting.pop_front();
        }
        if (m_planned) {
            return;
        }
        m_planned = true;
    }
    planWrite(CollectPause);
}

void StoreCrashLedger::planWrite(Duration pause)
{
    m_timers.after(pause, [this] {
        m_pool.post([this] {
            write();
        });
    });
}

void StoreCrashLedger::write()
{
    std::vector<RowWrite> rows;
    {
        const Lock lock(m_mutex);
        while (!m_waiting.empty() && rows.size() < StateStore::MaxRowsOfWrite) {
            rows.push_back(std::move(m_waiting.front()));
            m_waiting.pop_front();
        }
    }
    const auto written = m_store.writeRows(CrashesTable, rows, WriteTimeout);
    if (!written) {
        logEvent(LogLevel::Warning, "crashes.write_failed", {{"error", written.error().code}, {"rows", static_cast<std::uint64_t>(rows.size())}});
    }
    bool more = false;
    {
        const Lock lock(m_mutex);
        if (!written) {
            m_waiting.insert(m_waiting.begin(), std::make_move_iterator(rows.begin()), std::make_move_iterator(rows.end()));
        }
        more = !m_waiting.empty();
        m_planned = more;
    }
    const Duration pause = written ? CollectPause : m_retryPause;
    m_retryPause = written ? FirstRetryPause : std::min(MaxRetryPause, m_retryPause * 2);
    if (more) {
        planWrite(pause);
    }
}

//-----------------------------------------------------------------------------
// CrashListener
//-----------------------------------------------------------------------------

CrashListener::CrashListener(CrashTable &table, CrashLedger &ledger)
    : m_table(table)
    , m_ledger(ledger)
{
}

namespace
{
std::vector<CrashRow> decodeRows(const StoredRows &rows)
{
    std::vector<CrashRow> decoded;
    for (const StoredRow &stored : rows.rows) {
        if (auto row = decodeCrashRow(stored)) {
            decoded.push_back(std::move(*row));
        } else {
            logEvent(LogLevel::Warning, "crashes.row_invalid", {{"key", stored.key}, {"code", row.error().code}, {"row_version", stored.version}});
        }
    }
    return decoded;
}
} // namespace

void CrashListener::snapshot(const StoredRows &rows, TimePoint /*asOf*/, Duration /*storeWorksFor*/)
{
    for (const CrashReport &report : m_table.apply(decodeRows(rows), true)) {
        m_ledger.share(report);
    }
}

void CrashListener::changes(const StoredRows &rows, TimePoint /*asOf*/, Duration /*storeWorksFor*/)
{
    if (!rows.rows.empty()) {
        (void)m_table.apply(decodeRows(rows), false);
    }
}

} // namespace vanillanotch
