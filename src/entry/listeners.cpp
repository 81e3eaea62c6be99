#include "entry/entry.h"

#include <algorithm>
#include <utility>

namespace vanillanotch
{

namespace
{
// How long an evacuation holds that the store has forgotten, if the operator neither writes it again nor lifts it.
constexpr Duration EvacuationHold = std::chrono::seconds(30);
constexpr Duration MaxLoggedTime = std::chrono::hours(1); // logged for longer times, also when the store has never failed
} // namespace

//-----------------------------------------------------------------------------
// DeploymentListener
//-----------------------------------------------------------------------------

DeploymentListener::DeploymentListener(DeploymentTable &table, InstanceTable &instances, MetricsRegistry &metrics)
    : m_table(table)
    , m_instances(instances)
    , m_invalid(metrics.counter("vanillanotch_documents_invalid_total", "table=\"configuration\""))
{
}

void DeploymentListener::setInstalledListener(std::function<void()> listener)
{
    m_listener = std::move(listener);
}

void DeploymentListener::setPeerSource(std::function<std::vector<std::string>(std::uint64_t version)> source)
{
    m_peerSource = std::move(source);
}

void DeploymentListener::snapshot(const StoredRows &rows, TimePoint asOf, Duration /*storeWorksFor*/)
{
    // The operator was told that they are in force, and writes them again.
    const bool olderCopy = m_era != 0 && rows.position.era() > m_era;
    for (const std::string &dataCentre : olderCopy ? m_evacuated : std::set<std::string>()) {
        m_held[dataCentre] = asOf + EvacuationHold;
    }
    m_evacuated.clear();
    m_seen = false;
    m_askPeers = m_askPeers || olderCopy;
    changes(rows, asOf, Duration::zero());
}

void DeploymentListener::changes(const StoredRows &rows, TimePoint asOf, Duration /*storeWorksFor*/)
{
    m_era = rows.position.era();
    applyEvacuations(rows, asOf);
    applyConfiguration(rows, asOf);
}

void DeploymentListener::applyEvacuations(const StoredRows &rows, TimePoint asOf)
{
    for (const StoredRow &row : rows.rows) {
        const auto dataCentre = platform::evacuatedDataCentre(row.key);
        if (!dataCentre) {
            continue;
        }
        m_held.erase(*dataCentre); // the table says again what holds
        if (row.removed) {
            m_evacuated.erase(*dataCentre);
        } else {
            m_evacuated.insert(*dataCentre);
        }
    }
    std::set<std::string> evacuated = m_evacuated;
    for (auto held = m_held.begin(); held != m_held.end();) {
        if (held->second <= asOf) {
            held = m_held.erase(held);
        } else {
            evacuated.insert(held->first);
            ++held;
        }
    }
    m_instances.setEvacuated(std::move(evacuated));
}

void DeploymentListener::applyConfiguration(const StoredRows &rows, TimePoint asOf)
{
    for (const StoredRow &row : rows.rows) {
        if (row.key == platform::ConfigurationKey && !row.removed) {
            m_seen = true;
            install(row.value, row.version);
        }
    }
    if (std::exchange(m_askPeers, false)) {
        const DeploymentRef current = m_table.current();
        for (const std::string &document : m_peerSource(current ? current->version() : 0)) {
            install(document, 0);
        }
    }
    if (m_seen) {
        m_table.confirmNewest(asOf);
    }
}

// `rowVersion`: 0: the document came from another node.
void DeploymentListener::install(const std::string &document, std::uint64_t rowVersion)
{
    const auto deployment = platform::decodeDeployment(document);
    if (!deployment) {
        // The configuration in force stays and is still confirmed as the newest, so its API keys stay accepted: refusing all keys would turn one
        // invalid document into an outage.
        m_invalid.add();
        logEvent(LogLevel::Error, "configuration.invalid",
                 {{"code", deployment.error().code}, {"row_version", rowVersion}, {"detail", deployment.error().detail}});
        return;
    }
    if (!m_table.install(*deployment, document)) {
        return;
    }
    logEvent(LogLevel::Info, "configuration.installed",
             {{"version", (*deployment)->version()},
              {"row_version", rowVersion},
              {"routes", static_cast<std::uint64_t>((*deployment)->routeCount())},
              {"keys_needed", (*deployment)->requiresApiKey() ? 1 : 0},
              {"keys", static_cast<std::uint64_t>((*deployment)->keyCount())}});
    if (m_listener) {
        m_listener();
    }
}

//-----------------------------------------------------------------------------
// InstanceListener
//-----------------------------------------------------------------------------

InstanceListener::InstanceListener(InstanceTable &table, MetricsRegistry &metrics)
    : m_table(table)
    , m_invalid(metrics.counter("vanillanotch_documents_invalid_total", "table=\"servers\""))
{
}

void InstanceListener::setEraListener(std::function<void(std::uint64_t era)> listener)
{
    m_eraListener = std::move(listener);
}

std::optional<InstanceSpec> InstanceListener::decode(const StoredRow &row)
{
    auto spec = platform::decodeInstance(row.key, row.value);
    if (!spec) {
        m_invalid.add();
        logEvent(LogLevel::Warning, "server.entry_invalid", {{"instance", row.key}, {"code", spec.error().code}, {"row_version", row.version}});
        return std::nullopt;
    }
    return std::move(*spec);
}

void InstanceListener::snapshot(const StoredRows &rows, TimePoint asOf, Duration storeWorksFor)
{
    m_asOf = asOf;
    std::vector<InstanceSpec> all;
    for (const StoredRow &row : rows.rows) {
        if (auto spec = decode(row)) {
            all.push_back(std::move(*spec));
        }
    }
    logEvent(LogLevel::Info, "servers.read",
             {{"instances", static_cast<std::uint64_t>(all.size())}, {"store_works_ms", std::min<Duration>(storeWorksFor, MaxLoggedTime)}});
    m_table.synchronise(all, storeWorksFor);
    m_eraListener(rows.position.era());
}

void InstanceListener::changes(const StoredRows &rows, TimePoint asOf, Duration storeWorksFor)
{
    // A row that is removed now was still there when the rows before it were read.
    const Duration seenAgo = suspendAwareNow() - std::exchange(m_asOf, asOf);
    for (const StoredRow &row : rows.rows) {
        if (row.removed) {
            logEvent(LogLevel::Info, "server.removed",
                     {{"instance", row.key}, {"row_version", row.version}, {"store_works_ms", std::min<Duration>(storeWorksFor, MaxLoggedTime)}});
            m_table.remove(row.key, storeWorksFor, seenAgo);
        } else if (auto spec = decode(row)) {
            logEvent(LogLevel::Info, "server.entry",
                     {{"instance", row.key},
                      {"service", spec->service},
                      {"address", spec->address},
                      {"draining", spec->draining ? 1 : 0},
                      {"started_unix_ms", spec->startedUnixMs},
                      {"row_version", row.version}});
            m_table.upsert(*spec);
        } else {
            m_table.remove(
                row.key); // the instance's new row can't be decoded, so its address is unknown: its former entry is removed at once, without a grace period
        }
    }
    m_eraListener(rows.position.era());
}

//-----------------------------------------------------------------------------
// MemberListener
//-----------------------------------------------------------------------------

MemberListener::MemberListener(MemberTable &table, std::function<void()> onRead, std::function<void()> onChanged, std::function<void()> onSelfMissing)
    : m_table(table)
    , m_onRead(std::move(onRead))
    , m_onChanged(std::move(onChanged))
    , m_onSelfMissing(std::move(onSelfMissing))
{
}

void MemberListener::snapshot(const StoredRows &rows, TimePoint asOf, Duration storeWorksFor)
{
    changes(rows, asOf, storeWorksFor);
    std::set<std::string> listed;
    for (const StoredRow &row : rows.rows) {
        listed.insert(row.key);
    }
    for (const MemberRecord &member : m_table.all()) {
        if (listed.count(member.name) == 0) {
            remove(member.name); // its row was removed while this node missed changes
        }
    }
    m_hasRead = true;
    m_onChanged();
    m_onRead();
}

void MemberListener::remove(const std::string &name)
{
    if (name == m_table.self().name) {
        m_selfListed = false;
        m_onSelfMissing();
        return;
    }
    for (MemberRecord member : m_table.all()) {
        if (member.name == name && member.state != MemberState::Left) {
            member.state = MemberState::Left;
            ++member.version; // merge() ignores a record whose version is not higher than that of the known one
            m_table.merge({member});
        }
    }
}

// A row that is there again shows that its process lives: the removal was one of its former process, performed late, or the store had lost the row.
MemberRecord MemberListener::asListedNow(MemberRecord record) const
{
    for (const MemberRecord &known : m_table.all()) {
        if (known.name == record.name && known.incarnation == record.incarnation && known.state == MemberState::Left) {
            record.version = known.version + 1; // else merge() keeps the known one
        }
    }
    return record;
}

void MemberListener::changes(const StoredRows &rows, TimePoint /*asOf*/, Duration /*storeWorksFor*/)
{
    for (const StoredRow &row : rows.rows) {
        if (row.removed) {
            remove(row.key);
            continue;
        }
        const auto member = decodeMember(row.key, row.value);
        if (!member) {
            logEvent(LogLevel::Warning, "member.entry_invalid", {{"member", row.key}, {"code", member.error().code}});
            continue;
        }
        logEvent(LogLevel::Info, "member.entry", {{"member", row.key}, {"address", member->peerAddress}, {"incarnation", member->incarnation}});
        m_selfListed = m_selfListed || row.key == m_table.self().name;
        m_table.merge({asListedNow(*member)});
    }
    if (!rows.rows.empty()) {
        m_onChanged();
    }
}

} // namespace vanillanotch
