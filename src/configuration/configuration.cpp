// Index of sections: [MAPS] [VALIDATION] [BUILD] [READ]
#include "configuration/configuration.h"

namespace vanillanotch
{

//-----------------------------------------------------------------------------
// [MAPS] the maps of entries, one for each kind; applying a change copies only the maps of the kinds that the change affects
//-----------------------------------------------------------------------------

namespace
{
template<typename T>
Ref<SharedMap<T>> cloned(const Ref<SharedMap<T>> &map)
{
    Ref<SharedMap<T>> copy = makeRef<SharedMap<T>>();
    copy->items = map->items;
    return copy;
}

template<typename T>
void upsert(Ref<SharedMap<T>> &map, const T &spec)
{
    map->items[spec.name] = spec;
}

struct ChangedKinds {
    std::array<bool, 6> kinds{}; // by EntryKind; true: the change affects an entry of this kind

    bool has(EntryKind kind) const
    {
        return kinds.at(static_cast<std::size_t>(kind));
    }
    void add(EntryKind kind)
    {
        kinds.at(static_cast<std::size_t>(kind)) = true;
    }
};

ChangedKinds changedKindsOf(const Change &change)
{
    ChangedKinds changed;
    for (const Entry &entry : change.upserts) {
        changed.add(entry.key().kind);
    }
    for (const EntryKey &key : change.deletes) {
        changed.add(key.kind);
    }
    return changed;
}
} // namespace

//-----------------------------------------------------------------------------
// [VALIDATION] collects all violations, not only the first
//-----------------------------------------------------------------------------

namespace
{
constexpr std::size_t MaxNameLength = 64; // characters
constexpr std::chrono::milliseconds MaxDeadlineLimit = std::chrono::minutes(10);
constexpr std::size_t DigestLength = 64; // hexadecimal digits

bool isValidName(const std::string &name)
{
    if (name.empty() || name.size() > MaxNameLength) {
        return false;
    }
    for (const char c : name) {
        const bool allowed = (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' || c == ':';
        if (!allowed) {
            return false;
        }
    }
    return true;
}

class Violations
{
public:
    void check(bool condition, const std::string &entry, const std::string &member, const std::string &problem)
    {
        if (!condition) {
            m_list.push_back(Violation{entry, member, problem});
        }
    }
    void checkName(const std::string &entry, const std::string &name)
    {
        check(isValidName(name), entry, "name", "must be 1 to 64 characters out of a-z, 0-9, '-', '_', '.' and ':'");
    }
    std::vector<Violation> take()
    {
        return std::move(m_list);
    }

private:
    std::vector<Violation> m_list;
};

void validateServer(const BackendServerSpec &server, const Configuration &configuration, Violations &violations)
{
    const std::string entry = "backend_server/" + server.name;
    violations.checkName(entry, server.name);
    violations.check(configuration.dataCentres().count(server.dataCentre) == 1, entry, "data_centre",
                     "no data centre has the name '" + server.dataCentre + "'");
    violations.check(server.address.find(':') != std::string::npos, entry, "address", "must have the form IP:port");
    violations.check(server.concurrency >= 1 && server.concurrency <= 100000, entry, "concurrency", "must be 1 to 100000");
    violations.check(server.pricePerSecond >= 0, entry, "price_per_second", "must be 0 or more");
    violations.check(!server.capabilities.empty(), entry, "capabilities", "must list at least one capability");
}

void validateStage(const StageSpec &stage, const std::string &entry, std::size_t index, const Configuration &configuration, Violations &violations)
{
    const std::string member = "stages[" + std::to_string(index) + "]";
    violations.check(isValidName(stage.name), entry, member + ".name", "must be 1 to 64 characters out of a-z, 0-9, '-', '_', '.' and ':'");
    violations.check(!configuration.serversWith(stage.capability).empty(), entry, member + ".capability",
                     "no backend server has the capability '" + stage.capability + "'");
    violations.check(stage.typicalTime > std::chrono::milliseconds(0), entry, member + ".typical_ms", "must be 1 or more (milliseconds)");
    violations.check(stage.path.empty() || stage.path.front() == '/', entry, member + ".path", "must be empty or start with '/'");
    violations.check(stage.idempotent || stage.kind == StageKind::Service, entry, member + ".idempotent", "must be true, except for stages of kind service");
    violations.check(stage.maxTokens >= 1 && stage.maxTokens <= 1000000, entry, member + ".max_tokens", "must be 1 to 1000000");
}

void validatePipeline(const PipelineSpec &pipeline, const Configuration &configuration, Violations &violations)
{
    const std::string entry = "pipeline/" + pipeline.name;
    violations.checkName(entry, pipeline.name);
    violations.check(!pipeline.stages.empty() && pipeline.stages.size() <= 16, entry, "stages", "a pipeline must have 1 to 16 stages");
    violations.check(pipeline.deadlineLimit > std::chrono::milliseconds(0) && pipeline.deadlineLimit <= MaxDeadlineLimit, entry, "deadline_limit_ms",
                     "must be 1 to 600000 (milliseconds)");
    std::set<std::string> names;
    unsigned nonIdempotent = 0;
    for (std::size_t i = 0; i < pipeline.stages.size(); ++i) {
        const StageSpec &stage = pipeline.stages[i];
        validateStage(stage, entry, i, configuration, violations);
        violations.check(names.insert(stage.name).second, entry, "stages[" + std::to_string(i) + "].name", "another stage of the pipeline has the same name");
        nonIdempotent += stage.idempotent ? 0 : 1;
    }
    violations.check(nonIdempotent <= 1, entry, "stages", "at most one stage of a pipeline may be non-idempotent");
}

void validateAccount(const ClientAccountSpec &account, const Configuration &configuration, Violations &violations)
{
    const std::string entry = "client_account/" + account.name;
    violations.checkName(entry, account.name);
    violations.check(account.keyDigest.size() == DigestLength, entry, "key_sha256", "must be 64 hexadecimal digits (SHA-256 of the API key)");
    violations.check(account.requestsPerSecond > 0, entry, "requests_per_second", "must be more than 0");
    violations.check(account.burst >= 1, entry, "burst", "must be 1 or more");
    violations.check(account.concurrency >= 1, entry, "concurrency", "must be 1 or more");
    for (const std::string &pipeline : account.pipelines) {
        violations.check(configuration.findPipeline(pipeline) != nullptr, entry, "pipelines", "no pipeline has the name '" + pipeline + "'");
    }
}

void validatePreset(const PresetSpec &preset, Violations &violations)
{
    const std::string entry = "preset/" + preset.name;
    violations.checkName(entry, preset.name);
    violations.check(preset.costWeight >= 0 && preset.costWeight <= 1, entry, "cost_weight", "must be 0 to 1");
    violations.check(preset.retryShare >= 0 && preset.retryShare <= 1, entry, "retry_share", "must be 0 to 1");
    violations.check(preset.admissionMargin > 0 && preset.admissionMargin <= 10, entry, "admission_margin", "must be more than 0 and at most 10");
    violations.check(preset.accountShare > 0 && preset.accountShare <= 10, entry, "account_share", "must be more than 0 and at most 10");
}
} // namespace

std::vector<Violation> Configuration::validate() const
{
    Violations violations;
    for (const auto &[name, dataCentre] : dataCentres()) {
        violations.checkName("data_centre/" + name, dataCentre.name);
    }
    for (const auto &[name, server] : backendServers()) {
        validateServer(server, *this, violations);
    }
    for (const auto &[name, pipeline] : pipelines()) {
        validatePipeline(pipeline, *this, violations);
    }
    for (const auto &[name, account] : accounts()) {
        validateAccount(account, *this, violations);
    }
    violations.check(m_accountByDigest->items.size() == accounts().size(), "client_account", "key_sha256", "two client accounts have the same API key");
    for (const auto &[name, preset] : presets()) {
        validatePreset(preset, violations);
    }
    violations.check(presets().count(m_presetInForce) == 1, "preset_in_force", "preset", "must name one of the presets, but is '" + m_presetInForce + "'");
    return violations.take();
}

//-----------------------------------------------------------------------------
// [BUILD]
//-----------------------------------------------------------------------------

ConfigurationRef Configuration::empty()
{
    return withoutEntries(0);
}

Ref<Configuration> Configuration::withoutEntries(Revision revision)
{
    Ref<Configuration> configuration(new Configuration());
    configuration->m_revision = revision;
    configuration->m_dataCentres = makeRef<SharedMap<DataCentreSpec>>();
    configuration->m_backendServers = makeRef<SharedMap<BackendServerSpec>>();
    configuration->m_pipelines = makeRef<SharedMap<PipelineSpec>>();
    configuration->m_accounts = makeRef<SharedMap<ClientAccountSpec>>();
    configuration->m_presets = makeRef<SharedMap<PresetSpec>>();
    configuration->rebuildIndexes(true, true);
    return configuration;
}

tl::expected<ConfigurationRef, std::vector<Violation>> Configuration::build(Revision revision, const std::vector<Entry> &entries)
{
    Change change;
    change.revision = revision;
    change.upserts = entries;
    return withoutEntries(revision - 1)->apply(change);
}

tl::expected<ConfigurationRef, std::vector<Violation>> Configuration::apply(const Change &change) const
{
    if (change.revision != m_revision + 1) {
        return tl::unexpected(
            std::vector<Violation>{{"revision", "", "revision " + std::to_string(change.revision) + " doesn't follow revision " + std::to_string(m_revision)}});
    }
    const ChangedKinds changed = changedKindsOf(change);
    Ref<Configuration> next(new Configuration());
    next->m_revision = change.revision;
    next->m_dataCentres = changed.has(EntryKind::DataCentre) ? cloned(m_dataCentres) : m_dataCentres;
    next->m_backendServers = changed.has(EntryKind::BackendServer) ? cloned(m_backendServers) : m_backendServers;
    next->m_pipelines = changed.has(EntryKind::Pipeline) ? cloned(m_pipelines) : m_pipelines;
    next->m_accounts = changed.has(EntryKind::ClientAccount) ? cloned(m_accounts) : m_accounts;
    next->m_presets = changed.has(EntryKind::Preset) ? cloned(m_presets) : m_presets;
    next->m_presetInForce = m_presetInForce;
    next->m_serversByCapability = m_serversByCapability;
    next->m_accountByDigest = m_accountByDigest;
    for (const EntryKey &key : change.deletes) {
        switch (key.kind) {
        case EntryKind::DataCentre:
            next->m_dataCentres->items.erase(key.name);
            break;
        case EntryKind::BackendServer:
            next->m_backendServers->items.erase(key.name);
            break;
        case EntryKind::Pipeline:
            next->m_pipelines->items.erase(key.name);
            break;
        case EntryKind::ClientAccount:
            next->m_accounts->items.erase(key.name);
            break;
        case EntryKind::Preset:
            next->m_presets->items.erase(key.name);
            break;
        case EntryKind::PresetInForce:
            next->m_presetInForce.clear();
            break;
        }
    }
    for (const Entry &entry : change.upserts) {
        if (const auto *dataCentre = std::get_if<DataCentreSpec>(&entry.body)) {
            upsert(next->m_dataCentres, *dataCentre);
        } else if (const auto *server = std::get_if<BackendServerSpec>(&entry.body)) {
            upsert(next->m_backendServers, *server);
        } else if (const auto *pipeline = std::get_if<PipelineSpec>(&entry.body)) {
            upsert(next->m_pipelines, *pipeline);
        } else if (const auto *account = std::get_if<ClientAccountSpec>(&entry.body)) {
            upsert(next->m_accounts, *account);
        } else if (const auto *preset = std::get_if<PresetSpec>(&entry.body)) {
            upsert(next->m_presets, *preset);
        } else if (const auto *inForce = std::get_if<PresetInForce>(&entry.body)) {
            next->m_presetInForce = inForce->preset;
        }
    }
    next->rebuildIndexes(changed.has(EntryKind::BackendServer), changed.has(EntryKind::ClientAccount));
    if (auto violations = next->validate(); !violations.empty()) {
        return tl::unexpected(std::move(violations));
    }
    return ConfigurationRef(next);
}

void Configuration::rebuildIndexes(bool serversChanged, bool accountsChanged)
{
    if (serversChanged) {
        m_serversByCapability = makeRef<SharedMap<std::vector<std::string>>>();
        for (const auto &[name, server] : m_backendServers->items) {
            for (const std::string &capability : server.capabilities) {
                m_serversByCapability->items[capability].push_back(name);
            }
        }
    }
    if (accountsChanged) {
        m_accountByDigest = makeRef<SharedMap<std::string>>();
        for (const auto &[name, account] : m_accounts->items) {
            m_accountByDigest->items[account.keyDigest] = name;
        }
    }
}

//-----------------------------------------------------------------------------
// [READ]
//-----------------------------------------------------------------------------

const std::map<std::string, DataCentreSpec> &Configuration::dataCentres() const
{
    return m_dataCentres->items;
}

const std::map<std::string, BackendServerSpec> &Configuration::backendServers() const
{
    return m_backendServers->items;
}

const std::map<std::string, PipelineSpec> &Configuration::pipelines() const
{
    return m_pipelines->items;
}

const std::map<std::string, ClientAccountSpec> &Configuration::accounts() const
{
    return m_accounts->items;
}

const std::map<std::string, PresetSpec> &Configuration::presets() const
{
    return m_presets->items;
}

const PresetSpec &Configuration::preset() const
{
    static const PresetSpec defaults;
    const auto found = m_presets->items.find(m_presetInForce);
    return found == m_presets->items.end() ? defaults : found->second;
}

const PipelineSpec *Configuration::findPipeline(const std::string &name) const
{
    const auto found = m_pipelines->items.find(name);
    return found == m_pipelines->items.end() ? nullptr : &found->second;
}

const ClientAccountSpec *Configuration::findAccountByKeyDigest(const std::string &digest) const
{
    // The look-up compares digests, so its timing reveals nothing about an API key. The final comparison takes constant time.
    const auto found = m_accountByDigest->items.find(digest);
    if (found == m_accountByDigest->items.end()) {
        return nullptr;
    }
    const ClientAccountSpec &account = m_accounts->items.at(found->second);
    return equalConstantTime(account.keyDigest, digest) ? &account : nullptr;
}

const std::vector<std::string> &Configuration::serversWith(const std::string &capability) const
{
    static const std::vector<std::string> none;
    const auto found = m_serversByCapability->items.find(capability);
    return found == m_serversByCapability->items.end() ? none : found->second;
}

bool Configuration::contains(const EntryKey &key) const
{
    switch (key.kind) {
    case EntryKind::DataCentre:
        return dataCentres().count(key.name) == 1;
    case EntryKind::BackendServer:
        return backendServers().count(key.name) == 1;
    case EntryKind::Pipeline:
        return pipelines().count(key.name) == 1;
    case EntryKind::ClientAccount:
        return accounts().count(key.name) == 1;
    case EntryKind::Preset:
        return presets().count(key.name) == 1;
    case EntryKind::PresetInForce:
        break;
    }
    return false;
}

std::vector<Entry> Configuration::entries() const
{
    std::vector<Entry> all;
    const auto append = [&all](const auto &map) {
        for (const auto &[name, spec] : map) {
            all.push_back(Entry{spec});
        }
    };
    append(dataCentres());
    append(backendServers());
    append(pipelines());
    append(accounts());
    append(presets());
    if (!m_presetInForce.empty()) {
        all.push_back(Entry{PresetInForce{m_presetInForce}});
    }
    return all;
}

} // namespace vanillanotch
