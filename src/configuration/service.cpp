#include "configuration/configuration.h"

namespace vanillanotch
{

namespace
{
constexpr int MaxCommitAttempts = 4;
}

ConfigurationService::ConfigurationService(ConfigurationStore &store, ConfigurationTable &table, const Clock &clock)
    : m_store(store)
    , m_table(table)
    , m_clock(clock)
{
}

Result<void> ConfigurationService::loadSnapshot()
{
    auto snapshot = m_store.readSnapshot();
    if (!snapshot) {
        // ObjectNotFound: no snapshot was written so far. That is no error: catchUp() then reads the log from the revision in force.
        return snapshot.error().code == ErrorCode::ObjectNotFound ? Result<void>() : tl::unexpected(snapshot.error());
    }
    const auto &[revision, entries] = *snapshot;
    if (revision <= m_table.current()->revision()) {
        return {};
    }
    const auto configuration = Configuration::build(revision, entries);
    if (!configuration) {
        return fail(ErrorCode::InvalidConfiguration, describe(configuration.error()));
    }
    m_table.install(*configuration);
    return {};
}

Result<Revision> ConfigurationService::catchUp()
{
    auto head = m_store.readHead();
    if (!head) {
        return head;
    }
    const Revision revisionsBehind = *head - std::min(*head, m_table.current()->revision());
    if (revisionsBehind > ReadLimit) {
        if (const auto loaded = loadSnapshot(); !loaded) {
            return tl::unexpected(loaded.error());
        }
    }
    while (m_table.current()->revision() < *head) {
        const Revision before = m_table.current()->revision();
        const auto changes = m_store.readChanges(before, ReadLimit);
        if (!changes) {
            return tl::unexpected(changes.error());
        }
        for (const Change &change : *changes) {
            if (auto installed = m_table.install(change); !installed) {
                return installed;
            }
        }
        if (m_table.current()->revision() == before) {
            return fail(ErrorCode::PlatformReplyInvalid,
                        "the store's head is newer, but its log has no change that follows revision " + std::to_string(before));
        }
    }
    return m_table.current()->revision();
}

Result<void> ConfigurationService::confirmCommit(const Change &change)
{
    const auto changes = m_store.readChanges(change.revision - 1, 1);
    if (!changes) {
        return tl::unexpected(changes.error());
    }
    if (changes->empty()) {
        return fail(ErrorCode::PlatformAnswerLost, "the commit was not confirmed, and the change isn't in the store's log so far");
    }
    if (changes->front().id != change.id) {
        return fail(ErrorCode::RevisionConflict,
                    "another change was accepted first as revision " + std::to_string(change.revision) + " by " + changes->front().author);
    }
    return {};
}

Result<ChangeOutcome> ConfigurationService::accept(Change change, const ConfigurationRef &base)
{
    if (change.upserts.empty() && change.deletes.empty()) {
        return ChangeOutcome{base->revision(), false, 0};
    }
    change.id = randomId("change");
    change.acceptedAt = m_clock.wallNow();
    auto next = base->apply(change);
    if (!next) {
        return fail(ErrorCode::InvalidConfiguration, describe(next.error()));
    }
    Result<void> committed;
    for (int attempt = 0; attempt < MaxCommitAttempts; ++attempt) {
        // Every attempt expects the same head revision, so at most one of them takes effect. PlatformUnavailable means
        // that nothing was written, so the log needn't be read before the next attempt.
        committed = m_store.commit(change);
        if (!committed && committed.error().code != ErrorCode::PlatformUnavailable) {
            committed = confirmCommit(change);
        }
        if (committed || committed.error().code == ErrorCode::RevisionConflict) {
            break;
        }
    }
    if (!committed) {
        return tl::unexpected(committed.error());
    }
    if (const auto installed = m_table.install(change); !installed) {
        return tl::unexpected(installed.error());
    }
    if (change.revision % SnapshotInterval == 0) {
        const auto written = m_store.writeSnapshot(change.revision, (*next)->entries());
        if (!written) { // not an error: nodes read the log until the next snapshot is written
            logEvent(LogLevel::Warning, "configuration.snapshot_failed", {{"revision", change.revision}, {"error", written.error().code}});
        }
    }
    logEvent(LogLevel::Info, "configuration.accepted",
             {{"revision", change.revision}, {"author", change.author}, {"summary", change.summary}, {"preset", (*next)->preset().name}});
    return ChangeOutcome{change.revision, true, change.upserts.size() + change.deletes.size()};
}

Result<ChangeOutcome> ConfigurationService::replaceAll(const std::vector<Entry> &wanted, Revision base, const std::string &author, const std::string &summary)
{
    if (const auto caughtUp = catchUp(); !caughtUp) {
        return tl::unexpected(caughtUp.error());
    }
    const ConfigurationRef current = m_table.current();
    if (base != 0 && base != current->revision()) {
        return fail(ErrorCode::RevisionConflict,
                    "revision " + std::to_string(current->revision()) + " is in force, but the request expects revision " + std::to_string(base));
    }
    Change change = difference(*current, wanted);
    change.author = author;
    change.summary = summary;
    return accept(std::move(change), current);
}

Result<ChangeOutcome> ConfigurationService::merge(const std::vector<Entry> &upserts, const std::string &author, const std::string &summary)
{
    if (const auto caughtUp = catchUp(); !caughtUp) {
        return tl::unexpected(caughtUp.error());
    }
    const ConfigurationRef current = m_table.current();
    Change change;
    change.revision = current->revision() + 1;
    change.upserts = upserts;
    change.author = author;
    change.summary = summary;
    return accept(std::move(change), current);
}

Result<ChangeOutcome> ConfigurationService::remove(const EntryKey &key, const std::string &author)
{
    if (const auto caughtUp = catchUp(); !caughtUp) {
        return tl::unexpected(caughtUp.error());
    }
    const ConfigurationRef current = m_table.current();
    const std::string id = std::string(entryKindName(key.kind)) + "/" + key.name;
    if (!current->contains(key)) {
        return fail(ErrorCode::UnknownEntry, "the configuration has no entry " + id);
    }
    Change change;
    change.revision = current->revision() + 1;
    change.deletes.push_back(key);
    change.author = author;
    change.summary = "delete " + id;
    return accept(std::move(change), current);
}

Result<ChangeOutcome> ConfigurationService::upsertOne(Entry entry, const ConfigurationRef &base, const std::string &author, const std::string &summary)
{
    Change change;
    change.revision = base->revision() + 1;
    change.upserts.push_back(std::move(entry));
    change.author = author;
    change.summary = summary;
    return accept(std::move(change), base);
}

Result<ChangeOutcome> ConfigurationService::usePreset(const std::string &preset, const std::string &author)
{
    if (const auto caughtUp = catchUp(); !caughtUp) {
        return tl::unexpected(caughtUp.error());
    }
    const ConfigurationRef current = m_table.current();
    if (current->presets().count(preset) == 0) {
        return fail(ErrorCode::UnknownPreset, "no preset has the name '" + preset + "'");
    }
    const std::string before = current->preset().name;
    if (before == preset) {
        return ChangeOutcome{current->revision(), false, 0};
    }
    return upsertOne(Entry{PresetInForce{preset}}, current, author, "preset " + before + " -> " + preset);
}

Result<ChangeOutcome> ConfigurationService::setDraining(const std::string &server, bool draining, const std::string &author)
{
    if (const auto caughtUp = catchUp(); !caughtUp) {
        return tl::unexpected(caughtUp.error());
    }
    const ConfigurationRef current = m_table.current();
    const auto found = current->backendServers().find(server);
    if (found == current->backendServers().end()) {
        return fail(ErrorCode::UnknownEntry, "no backend server has the name '" + server + "'");
    }
    BackendServerSpec spec = found->second;
    if (spec.draining == draining) {
        return ChangeOutcome{current->revision(), false, 0};
    }
    spec.draining = draining;
    return upsertOne(Entry{spec}, current, author, (draining ? "drain " : "undrain ") + server);
}

Result<std::vector<Change>> ConfigurationService::auditTrail(Revision after, std::size_t limit)
{
    return m_store.readChanges(after, limit);
}

} // namespace vanillanotch
