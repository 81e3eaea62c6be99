// StreamRecord and StreamVersions.
#include "continuity/continuity.h"

#include <algorithm>
#include <utility>

namespace vanillanotch
{

namespace
{
// Between two reads of a default version that may have changed: another node may replace it, or the ledger come back from an older copy.
constexpr Duration RereadPause = std::chrono::seconds(10);
// After a start, nodes that aren't on duty leave the first entry to the one that is.
constexpr Duration FirstReadPause = std::chrono::seconds(2);
// A replacement that has been due for so long is made by any node: the one on duty may have failed.
constexpr Duration TakeOverPause = std::chrono::seconds(20);

std::string listOf(const std::set<std::string> &versions)
{
    std::string text;
    for (const std::string &version : versions) {
        text += (text.empty() ? "" : ",") + version;
    }
    return text;
}
} // namespace

//-----------------------------------------------------------------------------
// StreamRecord
//-----------------------------------------------------------------------------

StreamRecord::StreamRecord(std::string version, bool replaces, std::uint64_t ledgerEra, Ref<WakeupSignal> done)
    : m_version(std::move(version))
    , m_replaces(replaces)
    , m_ledgerEra(ledgerEra)
    , m_done(std::move(done))
{
}

void StreamRecord::finish(State state)
{
    m_state = state;
    m_done->raise();
}

//-----------------------------------------------------------------------------
// StreamVersions
//-----------------------------------------------------------------------------

StreamVersions::StreamVersions(const Clock &clock, const InstanceTable &instances, StreamLedger &ledger, StreamPeers &peers, GrowingPool &pool,
                               ContinuitySettings settings, MetricsRegistry &metrics)
    : m_clock(clock)
    , m_instances(instances)
    , m_ledger(ledger)
    , m_peers(peers)
    , m_pool(pool)
    , m_settings(settings)
    , m_records(metrics.counter("vanillanotch_stream_records_total"))
    , m_recordFailures(metrics.counter("vanillanotch_stream_record_failures_total"))
{
}

StreamVersions::Followed &StreamVersions::serviceLocked(const std::string &service)
{
    return m_services.try_emplace(service, Followed{ServiceVersions(m_settings), m_clock.now(), std::nullopt}).first->second;
}

void StreamVersions::observe(const std::string &service)
{
    const std::set<std::string> registered = m_instances.softwareVersions(service);
    {
        const Lock lock(m_mutex);
        if (!serviceLocked(service).versions.observe(registered, m_clock.now())) {
            return;
        }
    }
    logEvent(LogLevel::Info, "service.versions", {{"service", service}, {"versions", listOf(registered)}});
}

void StreamVersions::setServices(const std::set<std::string> &services)
{
    {
        const Lock lock(m_mutex);
        for (const std::string &service : services) {
            (void)serviceLocked(service);
        }
    }
    instancesChanged();
}

void StreamVersions::instancesChanged()
{
    check(std::nullopt, false);
}

void StreamVersions::maintain(Duration registryWorksFor, bool onDuty)
{
    if (registryWorksFor == Duration::zero()) { // the registry and the ledger are in the same store
        const Lock lock(m_mutex);
        m_ledgerFailedAt = m_clock.now();
    }
    check(registryWorksFor, onDuty);
}

void StreamVersions::check(std::optional<Duration> registryWorksFor, bool onDuty)
{
    std::vector<std::string> services;
    {
        const Lock lock(m_mutex);
        for (const auto &[service, followed] : m_services) {
            services.push_back(service);
        }
    }
    for (const std::string &service : services) {
        observe(service);
        const TimePoint now = m_clock.now();
        const Lock lock(m_mutex);
        Followed &followed = serviceLocked(service);
        const ServiceVersions &versions = followed.versions;
        if (versions.registered().empty()) {
            followed.since = now;
            continue;
        }
        const bool replaceable = registryWorksFor && versions.successor(now, *registryWorksFor);
        if (registryWorksFor) {
            followed.replaceableSince = replaceable ? std::optional(followed.replaceableSince.value_or(now)) : std::nullopt;
        }
        const bool replaces = replaceable && (onDuty || now - *followed.replaceableSince >= TakeOverPause);
        const bool several = versions.registered().size() > 1;
        const auto known = versions.knownDefault();
        const bool awaitsReplacement = known && !several && versions.registered().count(known->version) == 0;
        const bool mayRead = onDuty || several || awaitsReplacement || (!known && now - followed.since >= FirstReadPause);
        const bool otherEra = known && known->ledgerEra < m_ledgerEra; // the entry may be an older one now
        const bool reads = otherEra || (mayRead && (!known || now - versions.defaultAsked() >= RereadPause));
        if ((reads || replaces || !unrecordedLocked(service).empty()) && m_maintained.insert(service).second) {
            const auto mayReplace = onDuty || replaces ? registryWorksFor : std::nullopt;
            m_pool.post([this, service, mayReplace] {
                maintainService(service, mayReplace);
            });
        }
    }
}

// `registryWorksFor`: nullopt: this node only reads.
void StreamVersions::maintainService(const std::string &service, std::optional<Duration> registryWorksFor)
{
    const auto read = readDefault(service);
    std::optional<std::string> successor;
    {
        const Lock lock(m_mutex);
        successor = read && registryWorksFor ? serviceLocked(service).versions.successor(m_clock.now(), *registryWorksFor) : std::nullopt;
    }
    if (successor) {
        const auto replaced = m_ledger.replaceDefault(service, *read, *successor, m_settings.ledgerTimeout);
        logEvent(LogLevel::Info, "service.default_version",
                 {{"service", service}, {"from", read->version}, {"to", *successor}, {"error", replaced ? 0 : static_cast<int>(replaced.error().code)}});
        (void)readDefault(service);
    }
    recordAgain(service);
    const Lock lock(m_mutex);
    m_maintained.erase(service);
}

bool StreamVersions::takeEraLocked(std::uint64_t era)
{
    if (era <= m_ledgerEra) {
        return false;
    }
    const bool first = std::exchange(m_ledgerEra, era) == 0;
    m_eraSince = first ? TimePoint{} : m_clock.now();
    return !first;
}

void StreamVersions::registryRead(std::uint64_t era)
{
    {
        const Lock lock(m_mutex);
        m_registryEra = era;
        if (!takeEraLocked(era)) {
            return;
        }
    }
    logEvent(LogLevel::Warning, "ledger.returned", {{"era", era}});
    check(std::nullopt, false);
}

std::vector<StreamVersion> StreamVersions::unrecordedLocked(const std::string &service) const
{
    const TimePoint now = m_clock.now();
    const auto followed = m_services.find(service);
    // What began later than streamLifetime ago was recorded when it began, or can't be taken up any more.
    const bool mayHaveSome = m_eraSince != TimePoint{} && now - m_eraSince < 2 * m_settings.streamLifetime;
    if (!mayHaveSome || followed == m_services.end() || !followed->second.versions.recordsMissing(m_ledgerEra)) {
        return {};
    }
    std::vector<StreamVersion> streams;
    for (const auto &[stream, remembered] : m_remembered) {
        if (remembered.service == service && remembered.until > now && remembered.recordedIn < m_ledgerEra
            && followed->second.versions.needsRecord(remembered.version, m_ledgerEra, now)) {
            streams.push_back(StreamVersion{stream, remembered.version});
        }
    }
    return streams;
}

void StreamVersions::recordAgain(const std::string &service)
{
    std::vector<StreamVersion> streams;
    std::uint64_t era = 0;
    {
        const Lock lock(m_mutex);
        streams = unrecordedLocked(service);
        era = m_ledgerEra;
    }
    if (streams.empty()) {
        return;
    }
    const std::vector<StreamVersion> missing = m_ledger.recordAll(streams, m_settings.ledgerTimeout); // tried again at the next check
    m_records.add(streams.size() - missing.size());
    m_recordFailures.add(missing.size());
    logEvent(
        LogLevel::Info, "streams.recorded_again",
        {{"service", service}, {"era", era}, {"streams", static_cast<std::uint64_t>(streams.size())}, {"failed", static_cast<std::uint64_t>(missing.size())}});
    std::set<std::string> failed;
    for (const StreamVersion &stream : missing) {
        failed.insert(stream.stream);
    }
    const Lock lock(m_mutex);
    for (const StreamVersion &stream : streams) {
        const auto found = m_remembered.find(stream.stream);
        if (found != m_remembered.end() && failed.count(stream.stream) == 0) {
            found->second.recordedIn = era;
        }
    }
}

Result<DefaultVersion> StreamVersions::readDefault(const std::string &service)
{
    const TimePoint asked = m_clock.now();
    auto read = m_ledger.defaultOf(service, m_settings.ledgerTimeout);
    if (read) {
        const Lock lock(m_mutex);
        (void)takeEraLocked(read->ledgerEra);
        serviceLocked(service).versions.recordDefault(*read, asked);
    }
    return read;
}

std::size_t StreamVersions::mixedServices() const
{
    const Lock lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(m_services.begin(), m_services.end(), [](const auto &item) {
        return item.second.versions.registered().size() > 1;
    }));
}

Result<std::string> StreamVersions::versionOf(const StreamTakeUp &takeUp)
{
    observe(takeUp.service);
    auto version = decide(takeUp);
    const bool asksPeers = !version && version.error().code == ErrorCode::StreamUnread;
    if (asksPeers) {
        version = askPeers(takeUp);
    }
    if (version) {
        remember(takeUp.service, StreamVersion{takeUp.stream, *version}, Ref<StreamRecord>()); // the node that began it may have ended
    }
    logEvent(LogLevel::Info, version ? "stream.taken_up" : "stream.not_taken_up",
             {{"stream", takeUp.stream},
              {"service", takeUp.service},
              {"version", version ? *version : std::string()},
              {"peers_asked", asksPeers ? 1 : 0},
              {"reason", version ? 0 : static_cast<int>(version.error().code)}});
    return version;
}

Result<std::string> StreamVersions::askPeers(const StreamTakeUp &takeUp)
{
    auto version = m_peers.versionOf(takeUp);
    const Lock lock(m_mutex);
    if (version && serviceLocked(takeUp.service).versions.registered().count(*version) == 0) {
        return fail(ErrorCode::StreamUnread, "this node's copy of the registry has no instance of the stream's version"); // another node may have one
    }
    return version;
}

Result<std::string> StreamVersions::versionForPeer(const StreamTakeUp &takeUp)
{
    observe(takeUp.service);
    return decide(takeUp);
}

bool StreamVersions::ledgerFailingLocked() const
{
    return m_ledgerFailedAt != TimePoint{} && m_clock.now() - m_ledgerFailedAt < m_settings.ledgerRetry;
}

Result<std::string> StreamVersions::decide(const StreamTakeUp &takeUp)
{
    Duration timeout = m_settings.ledgerTimeout;
    {
        const Lock lock(m_mutex);
        const auto found = m_remembered.find(takeUp.stream);
        if (found != m_remembered.end() && m_clock.now() < found->second.until) {
            return found->second.version;
        }
        timeout = ledgerFailingLocked() ? m_settings.failingLedgerTimeout : m_settings.ledgerTimeout;
    }
    const auto record = takeUp.stream.empty() ? Result<std::optional<std::string>>(std::nullopt) : m_ledger.versionOf(takeUp.stream, timeout);
    if (record && *record) {
        return **record;
    }
    const auto byDefault = record ? readDefault(takeUp.service) : tl::unexpected(record.error());
    if (!byDefault) {
        // The registry proves nothing here, however recent this node's copy is: another node may have read the entry of a further version a moment
        // later, and have begun the stream there.
        return fail(ErrorCode::StreamUnread, byDefault.error().detail);
    }
    const Lock lock(m_mutex);
    // A copy of the registry from before the ledger's return doesn't show which versions have served since.
    const bool registryKnown = m_registryEra >= byDefault->ledgerEra;
    const auto only = registryKnown ? serviceLocked(takeUp.service).versions.onlyVersion(m_clock.now()) : std::nullopt;
    const bool proven = !takeUp.stream.empty() && byDefault->recordsComplete();
    const bool isDefault = !byDefault->version.empty() && (proven || only == byDefault->version);
    const bool isFirst = byDefault->revision == 0 && only;
    return isDefault ? Result<std::string>(byDefault->version) : isFirst ? Result<std::string>(*only) : fail(ErrorCode::StreamUnknown);
}

std::optional<std::string> StreamVersions::requiredVersion(const std::string &service)
{
    std::optional<DefaultVersion> known;
    {
        const Lock lock(m_mutex);
        known = ledgerFailingLocked() ? serviceLocked(service).versions.lastDefault() : std::nullopt;
    }
    const bool usable = known && !known->version.empty() && m_instances.someUsable(service, InstanceScope::ofVersion(known->version));
    return usable ? std::optional(known->version) : std::nullopt;
}

Ref<StreamRecord> StreamVersions::begin(const std::string &service, const std::string &stream, const std::string &version, const Ref<StreamRecord> &former,
                                        const Ref<WakeupSignal> &done)
{
    observe(service);
    const bool replaces = former && former->ledgerMayHoldOne();
    std::uint64_t era = 0;
    {
        const Lock lock(m_mutex);
        era = m_ledgerEra;
        if (stream.empty() || (!replaces && !serviceLocked(service).versions.needsRecord(version, era, m_clock.now()))) {
            return Ref<StreamRecord>();
        }
    }
    if (former && former->version() == version && former->underWay()) {
        return former;
    }
    m_records.add();
    auto record = makeRef<StreamRecord>(version, replaces, era, done);
    m_pool.post([this, stream, record] {
        const auto written = m_ledger.record(stream, record->version(), record->replaces(), m_settings.ledgerTimeout);
        if (!written) {
            m_recordFailures.add();
            logEvent(LogLevel::Warning, "stream.record_failed", {{"stream", stream}, {"version", record->version()}, {"error", written.error().code}});
            const Lock lock(m_mutex);
            m_ledgerFailedAt = m_clock.now();
        }
        const bool nothingDone = !written && (written.error().code == ErrorCode::StoreRefused || written.error().code == ErrorCode::PlatformUnavailable);
        record->finish(written ? StreamRecord::State::Written : nothingDone ? StreamRecord::State::NotWritten : StreamRecord::State::Unknown);
    });
    return record;
}

bool StreamVersions::mayBeginUnrecorded(const std::string &service, const std::string &version)
{
    std::optional<DefaultVersion> last;
    {
        const Lock lock(m_mutex);
        const ServiceVersions &versions = serviceLocked(service).versions;
        last = versions.lastDefault();
        if (!last || last->revision == 0) {
            return versions.registered() == std::set<std::string>{version};
        }
    }
    return last->version.empty() || last->version == version || !m_instances.someUsable(service, InstanceScope::ofVersion(last->version));
}

void StreamVersions::remember(const std::string &service, const StreamVersion &stream, const Ref<StreamRecord> &record)
{
    if (stream.stream.empty()) {
        return;
    }
    const TimePoint now = m_clock.now();
    const std::uint64_t recordedIn = record && record->state() == StreamRecord::State::Written ? record->ledgerEra() : 0;
    const Lock lock(m_mutex);
    const auto [entry, inserted] = m_remembered.try_emplace(stream.stream);
    entry->second = Remembered{service, stream.version, now + m_settings.streamLifetime, std::max(recordedIn, entry->second.recordedIn)};
    if (inserted) {
        m_rememberedOrder.push_back(stream.stream);
    }
    while (!m_rememberedOrder.empty() && (m_rememberedOrder.size() > m_settings.maxRemembered || m_remembered.at(m_rememberedOrder.front()).until <= now)) {
        m_remembered.erase(m_rememberedOrder.front());
        m_rememberedOrder.pop_front();
    }
}

} // namespace vanillanotch
