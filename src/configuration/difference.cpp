#include "configuration/configuration.h"

namespace vanillanotch
{

namespace
{
bool same(const DataCentreSpec &a, const DataCentreSpec &b)
{
    return std::tie(a.name, a.region, a.oneWayDelay) == std::tie(b.name, b.region, b.oneWayDelay);
}

bool same(const BackendServerSpec &a, const BackendServerSpec &b)
{
    return std::tie(a.name, a.dataCentre, a.address, a.capabilities, a.concurrency, a.pricePerSecond, a.checksFencing, a.draining, a.wantedModel,
                    a.softwareVersion)
        == std::tie(b.name, b.dataCentre, b.address, b.capabilities, b.concurrency, b.pricePerSecond, b.checksFencing, b.draining, b.wantedModel,
                    b.softwareVersion);
}

bool same(const StageSpec &a, const StageSpec &b)
{
    return std::tie(a.name, a.kind, a.capability, a.path, a.model, a.typicalTime, a.idempotent, a.keepResult, a.maxTokens)
        == std::tie(b.name, b.kind, b.capability, b.path, b.model, b.typicalTime, b.idempotent, b.keepResult, b.maxTokens);
}

bool same(const PipelineSpec &a, const PipelineSpec &b)
{
    if (a.stages.size() != b.stages.size()) {
        return false;
    }
    for (std::size_t i = 0; i < a.stages.size(); ++i) {
        if (!same(a.stages[i], b.stages[i])) {
            return false;
        }
    }
    return std::tie(a.name, a.deadlineLimit, a.recordAnswer) == std::tie(b.name, b.deadlineLimit, b.recordAnswer);
}

bool same(const ClientAccountSpec &a, const ClientAccountSpec &b)
{
    return std::tie(a.name, a.keyDigest, a.requestsPerSecond, a.burst, a.concurrency, a.pipelines)
        == std::tie(b.name, b.keyDigest, b.requestsPerSecond, b.burst, b.concurrency, b.pipelines);
}

bool same(const PresetSpec &a, const PresetSpec &b)
{
    return std::tie(a.name, a.costWeight, a.retryShare, a.admissionMargin, a.accountShare)
        == std::tie(b.name, b.costWeight, b.retryShare, b.admissionMargin, b.accountShare);
}

bool same(const PresetInForce &a, const PresetInForce &b)
{
    return a.preset == b.preset;
}

bool sameBody(const EntryBody &a, const EntryBody &b)
{
    if (a.index() != b.index()) {
        return false;
    }
    return std::visit(
        [&b](const auto &left) {
            return same(left, std::get<std::decay_t<decltype(left)>>(b));
        },
        a);
}
} // namespace

Change difference(const Configuration &from, const std::vector<Entry> &wanted)
{
    std::map<EntryKey, EntryBody> before;
    for (Entry &entry : from.entries()) {
        before[entry.key()] = std::move(entry.body);
    }
    Change change;
    change.revision = from.revision() + 1;
    for (const Entry &entry : wanted) {
        const auto found = before.find(entry.key());
        const bool unchanged = found != before.end() && sameBody(found->second, entry.body);
        if (found != before.end()) {
            before.erase(found);
        }
        if (!unchanged) {
            change.upserts.push_back(entry);
        }
    }
    for (const auto &[key, body] : before) {
        change.deletes.push_back(key);
    }
    return change;
}

} // namespace vanillanotch
