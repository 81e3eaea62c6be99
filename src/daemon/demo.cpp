#include "daemon/demo.h"

namespace vanillanotch
{

namespace
{
constexpr const char *DataCentreName = "demo-1";

BackendServerSpec server(const std::string &name, const std::string &capability, double pricePerSecond)
{
    BackendServerSpec spec;
    spec.name = name;
    spec.dataCentre = DataCentreName;
    spec.address = "127.0.0.1:1"; // not used: the sample servers are inside the process
    spec.capabilities = {capability};
    spec.pricePerSecond = pricePerSecond;
    return spec;
}

StageSpec stage(const std::string &name, StageKind kind, const std::string &capability)
{
    StageSpec spec;
    spec.name = name;
    spec.kind = kind;
    spec.capability = capability;
    spec.typicalTime = std::chrono::milliseconds(20);
    return spec;
}

PipelineSpec answerPipeline(const std::string &name)
{
    PipelineSpec spec;
    spec.name = name;
    spec.stages = {stage("encode", StageKind::Encoding, "encoder"), stage("retrieve", StageKind::Retrieval, "retriever"),
                   stage("rerank", StageKind::Reranking, "reranker"), stage("generate", StageKind::Generation, "model")};
    return spec;
}
} // namespace

NodeSettings demoSettings()
{
    NodeSettings settings;
    settings.node = "demo-node";
    settings.dataCentre = DataCentreName;
    settings.operatorKeyDigest = sha256Hex(DemoOperatorKey);
    settings.peerSecret = randomId("demo-peer-secret");
    settings.balancerGrace = std::chrono::milliseconds(0);
    return settings;
}

std::vector<Entry> demoEntries()
{
    std::vector<Entry> entries;
    entries.push_back(Entry{DataCentreSpec{DataCentreName, "demo", std::chrono::microseconds(1500)}});
    entries.push_back(Entry{server("encoder-1", "encoder", 1)});
    entries.push_back(Entry{server("retriever-1", "retriever", 1)});
    entries.push_back(Entry{server("reranker-1", "reranker", 2)});
    entries.push_back(Entry{server("model-1", "model", 10)});
    entries.push_back(Entry{server("model-2", "model", 6)});
    entries.push_back(Entry{server("payout-1", "payout", 1)});

    entries.push_back(Entry{answerPipeline("answer")});
    PipelineSpec certificate = answerPipeline("certificate"); // a repeated idempotency key gets the recorded answer
    certificate.recordAnswer = true;
    entries.push_back(Entry{certificate});
    PipelineSpec report = answerPipeline("report"); // a request that was interrupted resumes after the last stage with a kept result
    report.stages[2].keepResult = true;
    entries.push_back(Entry{report});
    PipelineSpec payout; // one of its stages runs at most once for an idempotency key
    payout.name = "payout";
    payout.stages = {stage("encode", StageKind::Encoding, "encoder"), stage("release", StageKind::Service, "payout")};
    payout.stages[1].idempotent = false;
    entries.push_back(Entry{payout});

    ClientAccountSpec account;
    account.name = "demo-account";
    account.keyDigest = sha256Hex(DemoApiKey);
    account.requestsPerSecond = 1000;
    account.burst = 1000;
    entries.push_back(Entry{account});
    for (const auto &[name, costWeight] : std::map<std::string, double>{{"ordinary", 0.5}, {"peak", 0.0}, {"maintenance", 0.8}}) {
        PresetSpec preset;
        preset.name = name;
        preset.costWeight = costWeight;
        entries.push_back(Entry{preset});
    }
    entries.push_back(Entry{PresetInForce{"ordinary"}});
    return entries;
}

} // namespace vanillanotch
