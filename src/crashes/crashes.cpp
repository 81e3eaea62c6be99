#include "crashes/crashes.h"

#include <algorithm>

namespace vanillanotch
{

namespace
{
// The evidence against one trait.
struct Evidence {
    std::set<std::string> instances;
    std::set<std::string> requests;
    std::size_t specificity = 0; // of the part: its position in the prompt, from 1; 0: the whole request

    bool suffices(const CrashSettings &settings) const
    {
        return instances.size() >= settings.crashesToBlock && (specificity == 0 || requests.size() >= settings.requestsToBlockPart);
    }
};

template<typename Visitor>
void forEachTrait(const RequestTraits &traits, const Visitor &visit)
{
    for (std::size_t i = 0; i < traits.parts.size(); ++i) {
        visit(traits.parts[i], i + 1);
    }
    if (!traits.whole.empty()) {
        visit(traits.whole, std::size_t{0});
    }
}
} // namespace

//-----------------------------------------------------------------------------
// CrashTable
//-----------------------------------------------------------------------------

CrashTable::CrashTable(const Clock &clock, CrashSettings settings)
    : m_clock(clock)
    , m_settings(settings)
{
}

bool CrashTable::empty() const
{
    const Lock lock(m_mutex);
    return m_reports.empty();
}

const std::string *CrashTable::blockedTraitLocked(const RequestTraits &traits) const
{
    const std::string *blocked = nullptr;
    forEachTrait(traits, [&](const std::string &trait, std::size_t /*specificity*/) {
        if (m_blocks.count(trait) > 0) {
            blocked = &trait;
        }
    });
    return blocked;
}

bool CrashTable::blocks(const RequestTraits &traits) const
{
    const Lock lock(m_mutex);
    return blockedTraitLocked(traits) != nullptr;
}

CrashTable::Verdict CrashTable::check(const RequestTraits &traits)
{
    const TimePoint now = m_clock.now();
    const Lock lock(m_mutex);
    const std::string *trait = blockedTraitLocked(traits);
    if (trait == nullptr) {
        return {};
    }
    Block &block = m_blocks[*trait];
    if (block.probes >= m_settings.maxProbes || now < block.nextProbeAt) {
        return Verdict{true, {}, 0};
    }
    block.nextProbeAt = now + ProbeClaimPause;
    return Verdict{true, *trait, block.probes + 1};
}

void CrashTable::recordProbe(const std::string &trait, unsigned probe)
{
    const Lock lock(m_mutex);
    recordProbeLocked(trait, probe, m_clock.now());
}

void CrashTable::recordProbeLocked(const std::string &trait, unsigned probe, TimePoint now)
{
    unsigned &probes = m_probes[trait];
    probes = std::max(probes, probe);
    if (const auto block = m_blocks.find(trait); block != m_blocks.end() && block->second.probes < probes) {
        block->second.probes = probes;
        Duration pause = m_settings.firstProbe;
        for (unsigned i = 0; i < std::min(probes, m_settings.maxProbes); ++i) {
            pause *= m_settings.probeFactor;
        }
        block->second.nextProbeAt = now + pause;
    }
}

CrashReport CrashTable::recordCrash(const std::string &instance, const RequestTraits &traits)
{
    const TimePoint now = m_clock.now();
    const Lock lock(m_mutex);
    CrashReport report{instance, {{}, traits.whole}};
    for (const std::string &part : traits.parts) {
        const auto sound = m_soundAt.find(part);
        if (sound == m_soundAt.end() || now - sound->second >= m_settings.soundPeriod) {
            report.traits.parts.push_back(part);
        }
    }
    applyLocked(CrashRow{CrashRow::Kind::Report, report, {}, 0, m_version + 1, false}, now);
    if (const auto entry = m_reports.find({instance, traits.whole}); entry != m_reports.end()) {
        entry->second.own = true;
    }
    updateBlocksLocked(now);
    return report;
}

std::vector<std::string> CrashTable::recordCompletion(const RequestTraits &traits)
{
    const TimePoint now = m_clock.now();
    const Lock lock(m_mutex);
    for (const std::string &part : traits.parts) {
        m_soundAt[part] = now;
    }
    evictLocked(now);
    std::vector<std::string> cleared;
    forEachTrait(traits, [&](const std::string &trait, std::size_t specificity) {
        const bool suspected = std::any_of(m_reports.begin(), m_reports.end(), [&](const auto &entry) {
            const RequestTraits &reported = entry.second.content.traits;
            const bool has = specificity == 0 ? reported.whole == trait : std::count(reported.parts.begin(), reported.parts.end(), trait) > 0;
            return has && countsLocked(entry.second, trait);
        });
        if (suspected) {
            m_cleared[trait] = std::max(m_cleared[trait], m_version + 1);
            cleared.push_back(trait);
        }
    });
    if (!cleared.empty()) {
        updateBlocksLocked(now);
    }
    return cleared;
}

std::vector<CrashReport> CrashTable::apply(const std::vector<CrashRow> &rows, bool whole)
{
    const TimePoint now = m_clock.now();
    const Lock lock(m_mutex);
    std::map<ReportKey, Report> before;
    std::vector<CrashReport> lost;
    if (whole) {
        for (const auto &[key, report] : m_reports) {
            if (isLostLocked(report, now)) {
                lost.push_back(report.content);
            }
        }
        before.swap(m_reports);
        m_cleared.clear();
        m_probes.clear();
        m_version = 0; // after the table's return from an older copy its versions begin below those of before
    }
    for (const CrashRow &row : rows) {
        applyLocked(row, now);
    }
    const auto known = [this](const CrashReport &report) {
        return m_reports.count({report.instance, report.traits.whole}) > 0;
    };
    lost.erase(std::remove_if(lost.begin(), lost.end(), known), lost.end());
    for (const CrashReport &report : lost) {
        applyLocked(CrashRow{CrashRow::Kind::Report, report, {}, 0, m_version + 1, false}, now);
    }
    for (const auto &[key, report] : before) {
        if (const auto entry = m_reports.find(key); entry != m_reports.end()) {
            entry->second.seenAt = report.seenAt;
            entry->second.own = report.own;
        }
    }
    updateBlocksLocked(now);
    return lost;
}

bool CrashTable::isLostLocked(const Report &report, TimePoint now) const
{
    bool counts = false;
    forEachTrait(report.content.traits, [&](const std::string &trait, std::size_t /*specificity*/) {
        counts = counts || countsLocked(report, trait);
    });
    return report.own && counts && now - report.seenAt < m_settings.mayBeLost;
}

void CrashTable::applyLocked(const CrashRow &row, TimePoint now)
{
    m_version = std::max(m_version, row.version);
    switch (row.kind) {
    case CrashRow::Kind::Report: {
        const ReportKey key{row.report.instance, row.report.traits.whole};
        if (row.removed) {
            m_reports.erase(key);
            return;
        }
        const auto [entry, inserted] = m_reports.try_emplace(key, Report{row.report, row.version, now});
        entry->second.version = row.version;
        if (inserted && m_reports.size() > m_settings.maxReports) {
            m_reports.erase(std::min_element(m_reports.begin(), m_reports.end(), [](const auto &a, const auto &b) {
                return a.second.version < b.second.version;
            }));
        }
        return;
    }
    case CrashRow::Kind::Cleared:
        if (row.removed) {
            m_cleared.erase(row.trait);
        } else {
            std::uint64_t &version = m_cleared[row.trait];
            version = std::max(version, row.version);
        }
        return;
    case CrashRow::Kind::Probe:
        if (!row.removed) {
            recordProbeLocked(row.trait, row.probe, now);
        }
        return;
    }
}

bool CrashTable::countsLocked(const Report &report, const std::string &trait) const
{
    const auto cleared = m_cleared.find(trait);
    return cleared == m_cleared.end() || report.version > cleared->second;
}

// The most specific part with enough evidence; else a whole request. The shared beginning of a prompt comes with each of its continuations, so
// the beginning is blamed only for crashes that no blocked continuation explains. A request that is repeated is blamed as a whole only while
// none of its parts is.
std::optional<std::string> CrashTable::blamedLocked(const std::set<const Report *> &unexplained) const
{
    std::map<std::string, Evidence> evidence;
    for (const Report *report : unexplained) {
        forEachTrait(report->content.traits, [&](const std::string &trait, std::size_t specificity) {
            if (countsLocked(*report, trait)) {
                Evidence &found = evidence[trait];
                found.instances.insert(report->content.instance);
                found.requests.insert(report->content.traits.whole);
                found.specificity = std::max(found.specificity, specificity);
            }
        });
    }
    const std::pair<const std::string, Evidence> *blamed = nullptr;
    for (const auto &candidate : evidence) {
        const auto weight = [](const Evidence &found) {
            return std::pair(found.specificity, found.instances.size());
        };
        if (candidate.second.suffices(m_settings) && (blamed == nullptr || weight(candidate.second) > weight(blamed->second))) {
            blamed = &candidate;
        }
    }
    return blamed == nullptr ? std::nullopt : std::optional(blamed->first);
}

void CrashTable::updateBlocksLocked(TimePoint now)
{
    std::set<const Report *> unexplained;
    for (const auto &[key, report] : m_reports) {
        unexplained.insert(&report);
    }
    std::map<std::string, Block> blocks;
    while (const auto trait = blamedLocked(unexplained)) {
        const auto known = m_blocks.find(*trait);
        blocks[*trait] = known != m_blocks.end() ? known->second : Block{now, 0, now + m_settings.firstProbe};
        for (auto it = unexplained.begin(); it != unexplained.end();) {
            const RequestTraits &traits = (*it)->content.traits;
            const bool explained = traits.whole == *trait || std::count(traits.parts.begin(), traits.parts.end(), *trait) > 0;
            it = explained ? unexplained.erase(it) : std::next(it);
        }
        if (known == m_blocks.end()) {
            logEvent(LogLevel::Warning, "crashes.blocked", {{"trait", *trait}, {"reports", static_cast<std::uint64_t>(m_reports.size())}});
        }
    }
    for (const auto &[trait, block] : m_blocks) {
        if (blocks.count(trait) == 0) {
            logEvent(LogLevel::Info, "crashes.unblocked", {{"trait", trait}, {"probes", block.probes}, {"blocked_ms", now - block.since}});
        }
    }
    m_blocks = std::move(blocks);
    for (const auto &[trait, probes] : m_probes) {
        recordProbeLocked(trait, probes, now);
    }
}

// Forgets good ends that are too old to count, once there are many.
void CrashTable::evictLocked(TimePoint now)
{
    if (m_soundAt.size() <= m_settings.maxSoundParts) {
        return;
    }
    for (auto it = m_soundAt.begin(); it != m_soundAt.end();) {
        it = now - it->second >= m_settings.soundPeriod ? m_soundAt.erase(it) : std::next(it);
    }
    if (m_soundAt.size() > m_settings.maxSoundParts) {
        m_soundAt.clear();
    }
}

std::vector<CrashRow> CrashTable::expired() const
{
    const TimePoint now = m_clock.now();
    const Lock lock(m_mutex);
    std::vector<CrashRow> rows;
    std::set<std::string> inUse;
    for (const auto &[key, report] : m_reports) {
        if (now - report.seenAt >= m_settings.retention) {
            rows.push_back(CrashRow{CrashRow::Kind::Report, report.content, {}, 0, report.version, true});
        } else {
            forEachTrait(report.content.traits, [&](const std::string &trait, std::size_t /*specificity*/) {
                inUse.insert(trait);
            });
        }
    }
    for (const auto &[trait, version] : m_cleared) {
        if (inUse.count(trait) == 0) {
            rows.push_back(CrashRow{CrashRow::Kind::Cleared, {}, trait, 0, version, true});
        }
    }
    for (const auto &[trait, probes] : m_probes) {
        for (unsigned probe = 1; inUse.count(trait) == 0 && probe <= probes; ++probe) {
            rows.push_back(CrashRow{CrashRow::Kind::Probe, {}, trait, probe, 0, true});
        }
    }
    return rows;
}

std::vector<std::string> CrashTable::blockedTraits() const
{
    const Lock lock(m_mutex);
    std::vector<std::string> traits;
    for (const auto &[trait, block] : m_blocks) {
        traits.push_back(trait);
    }
    return traits;
}

//-----------------------------------------------------------------------------
// CrashGuard
//-----------------------------------------------------------------------------

CrashGuard::CrashGuard(CrashTable &table, CrashLedger &ledger)
    : m_table(table)
    , m_ledger(ledger)
{
}

Result<CrashGuard::Admission> CrashGuard::admit(const RequestTraits &traits)
{
    const CrashTable::Verdict verdict = m_table.check(traits);
    if (!verdict.blocked) {
        return Admission::Free;
    }
    if (verdict.probeTrait.empty() || !m_ledger.claimProbe(verdict.probeTrait, verdict.probe)) {
        return fail(ErrorCode::SuspectRefused);
    }
    m_table.recordProbe(verdict.probeTrait, verdict.probe);
    logEvent(LogLevel::Info, "crashes.probe", {{"trait", verdict.probeTrait}, {"probe", verdict.probe}});
    return Admission::Probe;
}

bool CrashGuard::blocks(const RequestTraits &traits) const
{
    return m_table.blocks(traits);
}

bool CrashGuard::idle() const
{
    return m_table.empty();
}

void CrashGuard::recordCrash(const std::string &instance, const RequestTraits &traits)
{
    const CrashReport report = m_table.recordCrash(instance, traits);
    logEvent(LogLevel::Warning, "crashes.server_lost",
             {{"instance", instance}, {"request_trait", traits.whole}, {"parts", static_cast<std::uint64_t>(report.traits.parts.size())}});
    m_ledger.share(report);
}

void CrashGuard::recordCompletion(const RequestTraits &traits)
{
    for (const std::string &trait : m_table.recordCompletion(traits)) {
        m_ledger.shareCleared(trait);
    }
}

} // namespace vanillanotch
