// The handler of operators' requests.
#include "frontend/frontend.h"

namespace vanillanotch
{

namespace
{
constexpr const char *JsonType = "application/json";
constexpr const char *TextType = "text/plain; charset=utf-8";
constexpr std::size_t MaxRequestsShown = 200; // most requests in one reply
constexpr std::size_t AuditPageSize = 100; // most changes in one reply
constexpr std::size_t MaxAuthorLength = 64; // longest operator's name, characters

void replyError(HttpExchange &exchange, const Error &error)
{
    exchange.reply(httpStatusOf(error.code), JsonType, encodeErrorDocument(error.code, error.detail));
}

// Returns the number if the text consists of 1 to 19 decimal digits, else `fallback`.
std::uint64_t parseNumberOr(const std::string &text, std::uint64_t fallback)
{
    const bool digits = !text.empty() && text.size() < 20 && text.find_first_not_of("0123456789") == std::string::npos;
    return digits ? std::stoull(text) : fallback;
}
} // namespace

OperatorHandler::OperatorHandler(OperatorDependencies dependencies, std::string keyDigest)
    : m_dependencies(dependencies)
    , m_keyDigest(std::move(keyDigest))
{
}

std::string OperatorHandler::describeError(ErrorCode code)
{
    return encodeErrorDocument(code, "the request could not be read");
}

void OperatorHandler::handle(HttpExchange &exchange)
{
    if (handleWithoutKey(exchange)) {
        return;
    }
    const std::string key = exchange.bearerToken();
    if (key.empty() || !equalConstantTime(sha256Hex(key), m_keyDigest)) {
        exchange.closeAfterReply(); // the request may have a body, which stays unread
        const ErrorCode code = key.empty() ? ErrorCode::MissingCredentials : ErrorCode::UnknownCredentials;
        return replyError(exchange, Error{code, "the operators' key is needed as a bearer token"});
    }
    if (exchange.method() == "GET") {
        return handleRead(exchange);
    }
    handleChange(exchange);
}

bool OperatorHandler::handleWithoutKey(HttpExchange &exchange)
{
    if (exchange.method() != "GET") {
        return false;
    }
    if (exchange.path() == "/livez") {
        exchange.reply(200, TextType, "alive\n");
        return true;
    }
    if (exchange.path() == "/readyz") {
        const bool ready = m_dependencies.configurations.ready() && !m_dependencies.service.leaving();
        exchange.reply(ready ? 200 : 503, TextType, ready ? "ready\n" : "not ready\n");
        return true;
    }
    if (exchange.path() == "/metrics") {
        exchange.reply(200, "text/plain; version=0.0.4", m_dependencies.metrics.renderText());
        return true;
    }
    return false;
}

void OperatorHandler::handleTable(HttpExchange &exchange, const std::string &table)
{
    if (table == "servers") {
        return exchange.reply(200, JsonType, encodeServers(m_dependencies.servers.states()));
    }
    if (table == "members") {
        return exchange.reply(200, JsonType, encodeMembers(m_dependencies.members.all()));
    }
    if (table == "accounts") {
        return exchange.reply(200, JsonType, encodeAccounts(m_dependencies.accounts.states()));
    }
    if (table == "requests") {
        return exchange.reply(200, JsonType, encodeRequests(m_dependencies.requests.views(m_dependencies.clock.now(), MaxRequestsShown)));
    }
    if (table == "suspects") {
        return exchange.reply(200, JsonType, encodeSuspects(m_dependencies.suspects.marks()));
    }
    replyError(exchange, Error{ErrorCode::UnknownPath, "tables are servers, members, accounts, requests and suspects"});
}

void OperatorHandler::handleRead(HttpExchange &exchange)
{
    const std::string &path = exchange.path();
    constexpr std::string_view Tables = "/v1/tables/";
    constexpr std::string_view Requests = "/v1/requests/";
    if (path == "/v1/status") {
        NodeStatus status;
        status.self = m_dependencies.members.self();
        status.preset = m_dependencies.configurations.current()->preset().name;
        status.ready = m_dependencies.configurations.ready();
        status.leaving = m_dependencies.service.leaving();
        status.running = m_dependencies.requests.runningCount();
        return exchange.reply(200, JsonType, encodeStatus(status, m_dependencies.members.all()));
    }
    if (path == "/v1/configuration") {
        const ConfigurationRef current = m_dependencies.configurations.current();
        exchange.setHeader("X-Revision", std::to_string(current->revision()));
        return exchange.reply(200, "application/yaml", writeConfigurationYaml(current->entries()));
    }
    if (path == "/v1/report") {
        return exchange.reply(200, JsonType, encodeReport(m_dependencies.costs.costs(), m_dependencies.costs.attainment()));
    }
    if (path == "/v1/audit") {
        const Revision after = parseNumberOr(exchange.query("after"), 0);
        const auto changes = m_dependencies.configuration.auditTrail(after, AuditPageSize);
        return changes ? exchange.reply(200, JsonType, encodeAudit(*changes)) : replyError(exchange, changes.error());
    }
    if (path.rfind(Tables, 0) == 0) {
        return handleTable(exchange, path.substr(Tables.size()));
    }
    if (path.rfind(Requests, 0) == 0) {
        const auto request = m_dependencies.requests.find(path.substr(Requests.size()), m_dependencies.clock.now());
        return request ? exchange.reply(200, JsonType, encodeRequest(*request))
                       : replyError(exchange, Error{ErrorCode::UnknownEntry, "this node doesn't hold the request"});
    }
    replyError(exchange, Error{ErrorCode::UnknownPath, "no such resource"});
}

Result<ChangeOutcome> OperatorHandler::applyDocument(HttpExchange &exchange, const std::string &author)
{
    const auto text = exchange.readBody();
    if (!text) {
        return tl::unexpected(text.error());
    }
    const auto entries = parseConfigurationYaml(*text, "configuration");
    if (!entries) {
        return fail(ErrorCode::InvalidConfiguration, describe(entries.error()));
    }
    const Revision base = parseNumberOr(exchange.query("base"), 0);
    const std::string summary = exchange.query("summary");
    return m_dependencies.configuration.replaceAll(*entries, base, author, summary.empty() ? "apply" : summary);
}

Result<ChangeOutcome> OperatorHandler::mergeDocument(HttpExchange &exchange, const std::string &author)
{
    const auto text = exchange.readBody();
    if (!text) {
        return tl::unexpected(text.error());
    }
    const auto entries = parseEntriesYaml(*text, "entries");
    if (!entries) {
        return fail(ErrorCode::InvalidConfiguration, describe(entries.error()));
    }
    const std::string summary = exchange.query("summary");
    return m_dependencies.configuration.merge(*entries, author, summary.empty() ? "merge" : summary);
}

Result<ChangeOutcome> OperatorHandler::removeEntry(HttpExchange &exchange, const std::string &author)
{
    const auto kind = entryKindFromName(exchange.query("kind"));
    if (!kind) {
        return fail(ErrorCode::InvalidArgument, "kinds are data_centre, backend_server, pipeline, client_account and preset");
    }
    return m_dependencies.configuration.remove(EntryKey{*kind, exchange.query("name")}, author);
}

Result<ChangeOutcome> OperatorHandler::executeChange(HttpExchange &exchange)
{
    const std::string author = exchange.header("X-Operator");
    if (author.empty() || author.size() > MaxAuthorLength) {
        return fail(ErrorCode::InvalidArgument, "the header X-Operator must name the operator, 1 to 64 characters");
    }
    const std::string &path = exchange.path();
    if (path == "/v1/apply") {
        return applyDocument(exchange, author);
    }
    if (path == "/v1/merge") {
        return mergeDocument(exchange, author);
    }
    if (path == "/v1/delete") {
        return removeEntry(exchange, author);
    }
    if (path == "/v1/preset") {
        return m_dependencies.configuration.usePreset(exchange.query("name"), author);
    }
    if (path == "/v1/drain" || path == "/v1/undrain") {
        return m_dependencies.configuration.setDraining(exchange.query("server"), path == "/v1/drain", author);
    }
    return fail(ErrorCode::UnknownPath, "no such resource");
}

void OperatorHandler::handleChange(HttpExchange &exchange)
{
    const auto outcome = executeChange(exchange);
    if (!outcome) {
        exchange.closeAfterReply(); // the request may have a body, which stays unread
        return replyError(exchange, outcome.error());
    }
    // Sends the change to the other nodes at once. Otherwise they would get it only after one of the few nodes that poll the platform has
    // read the new revision.
    if (outcome->changed) {
        if (const auto changes = m_dependencies.configurations.changesSince(outcome->revision - 1); changes && !changes->empty()) {
            PeerUpdate update;
            update.changes = *changes;
            m_dependencies.controlPlane.broadcast(update);
        }
    }
    exchange.reply(200, JsonType, encodeChangeOutcome(*outcome));
}

} // namespace vanillanotch
