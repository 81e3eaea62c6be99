// Bodies of calls to backend servers. Encoding and generation stages use OpenAI-style paths and bodies. Reranking stages use a rerank call,
// retrieval and service stages use plain JSON.
#include "wire/wire.h"

#include <nlohmann/json.hpp>

namespace vanillanotch
{

using Json = nlohmann::json;

namespace
{
constexpr std::size_t TopDocuments = 8; // documents that a retrieval stage asks for

// Returns the prompt: the retrieved documents, one line each, then the caller's input.
std::string promptOf(const StageData &data)
{
    std::string prompt;
    for (const std::string &document : data.documents) {
        prompt += document + "\n";
    }
    return prompt + data.input;
}

Json bodyOf(const StageCall &call)
{
    const StageSpec &stage = *call.stage;
    const StageData &data = *call.data;
    switch (stage.kind) {
    case StageKind::Encoding:
        return Json{{"model", stage.model}, {"input", data.input}};
    case StageKind::Retrieval:
        return Json{{"query", data.input}, {"embedding", data.embedding}, {"top_k", TopDocuments}};
    case StageKind::Reranking:
        return Json{{"model", stage.model}, {"query", data.input}, {"documents", data.documents}, {"top_n", data.documents.size()}};
    case StageKind::Generation: {
        Json body{{"model", stage.model}, {"prompt", promptOf(data)}, {"stream", true}, {"max_tokens", stage.maxTokens}};
        if (call.resumeAfterTokens > 0) {
            body["resume_after_tokens"] = call.resumeAfterTokens;
        }
        return body;
    }
    case StageKind::Service: {
        Json body{{"input", data.input}, {"documents", data.documents}, {"text", data.text}};
        for (const auto &[name, result] : data.serviceResults) {
            body["results"][name] = Json::parse(result, nullptr, false);
        }
        return body;
    }
    }
    return Json::object();
}

// Returns the documents in the order that the reranker gives, without those that it leaves out.
Result<std::vector<std::string>> reorderDocuments(const std::vector<std::string> &documents, const Json &results)
{
    std::vector<std::string> ordered;
    std::set<std::size_t> seen;
    for (const Json &result : results) {
        const auto index = result.at("index").get<std::size_t>();
        if (index >= documents.size() || !seen.insert(index).second) {
            return fail(ErrorCode::InvalidReply, "the reranker names a document that it wasn't given, or one twice");
        }
        ordered.push_back(documents[index]);
    }
    return ordered;
}
} // namespace

std::string stagePath(const StageSpec &stage)
{
    if (!stage.path.empty()) {
        return stage.path;
    }
    switch (stage.kind) {
    case StageKind::Encoding:
        return "/v1/embeddings";
    case StageKind::Retrieval:
        return "/v1/retrieve";
    case StageKind::Reranking:
        return "/v1/rerank";
    case StageKind::Generation:
        return "/v1/completions";
    case StageKind::Service:
        break;
    }
    return "/v1/run";
}

std::string encodeStageBody(const StageCall &call)
{
    return bodyOf(call).dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<StageData> decodeStageReply(const StageCall &call, const std::string &body)
{
    try {
        const Json json = Json::parse(body);
        StageData data = *call.data;
        switch (call.stage->kind) {
        case StageKind::Encoding:
            data.embedding = json.at("data").at(0).at("embedding").get<std::vector<float>>();
            break;
        case StageKind::Retrieval:
            data.documents = json.at("documents").get<std::vector<std::string>>();
            break;
        case StageKind::Reranking: {
            auto ordered = reorderDocuments(data.documents, json.at("results"));
            if (!ordered) {
                return tl::unexpected(ordered.error());
            }
            data.documents = std::move(*ordered);
            break;
        }
        case StageKind::Generation:
            return fail(ErrorCode::InvalidReply, "a generation stage must stream");
        case StageKind::Service:
            data.serviceResults[call.stage->name] = body;
            break;
        }
        return data;
    } catch (const Json::exception &exception) {
        return fail(ErrorCode::InvalidReply, exception.what());
    }
}

Result<std::optional<TokenEvent>> decodeTokenLine(std::string_view line)
{
    constexpr std::string_view Prefix = "data:";
    if (line.substr(0, Prefix.size()) != Prefix) {
        return std::optional<TokenEvent>(); // a comment or another field of a server-sent event
    }
    line.remove_prefix(Prefix.size());
    while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
    }
    TokenEvent event;
    if (line == "[DONE]") {
        event.done = true;
        return std::optional<TokenEvent>(std::move(event));
    }
    try {
        const Json json = Json::parse(line);
        event.text = json.at("choices").at(0).at("text").get<std::string>();
        event.id = json.value("id", std::string());
        return std::optional<TokenEvent>(std::move(event));
    } catch (const Json::exception &exception) {
        return fail(ErrorCode::InvalidReply, exception.what());
    }
}

} // namespace vanillanotch
