// vanillanotch frontend library: HTTP handlers for callers and for operators. They only convert between HTTP messages and calls of
// RequestService, ConfigurationService and the tables in OperatorDependencies, which make the decisions.
//
// Callers (docs/API.md):         POST /v1/pipelines/NAME
// Operators (docs/OPERATORS.md): GET /v1/status, /v1/configuration, /v1/audit, /v1/report, /v1/tables/NAME, /v1/requests/ID
//                                POST /v1/apply, /v1/merge, /v1/delete, /v1/preset, /v1/drain, /v1/undrain
//                                GET /livez, /readyz, /metrics, which need no key
#pragma once

#include "base/base.h"
#include "dissemination/dissemination.h"
#include "http/http.h"
#include "request/request.h"
#include "wire/wire.h"

namespace vanillanotch
{

// Serves callers' requests.
class CallerHandler final : public HttpHandler
{
public:
    explicit CallerHandler(RequestService &service);
    void handle(HttpExchange &exchange) override;
    std::string describeError(ErrorCode code) override;

private:
    RequestService &m_service;
};

// The tables and services that operators' requests read and change. All must outlive the handler.
struct OperatorDependencies {
    const Clock &clock;
    ConfigurationService &configuration;
    ConfigurationTable &configurations;
    ControlPlane &controlPlane;
    RequestService &service;
    RequestTable &requests;
    BackendServerTable &servers;
    AccountTable &accounts;
    MemberTable &members;
    SuspectTable &suspects;
    CostTable &costs;
    MetricsRegistry &metrics;
};

// Serves operators' requests.
class OperatorHandler final : public HttpHandler
{
public:
    // `keyDigest`: SHA-256 of the operators' key, hexadecimal.
    OperatorHandler(OperatorDependencies dependencies, std::string keyDigest);
    void handle(HttpExchange &exchange) override;
    std::string describeError(ErrorCode code) override;

private:
    bool handleWithoutKey(HttpExchange &exchange); // serves the paths that need no key; false: the path needs a key, nothing was replied
    void handleRead(HttpExchange &exchange);
    void handleChange(HttpExchange &exchange);
    void handleTable(HttpExchange &exchange, const std::string &table);
    Result<ChangeOutcome> applyDocument(HttpExchange &exchange, const std::string &author);
    Result<ChangeOutcome> mergeDocument(HttpExchange &exchange, const std::string &author);
    Result<ChangeOutcome> removeEntry(HttpExchange &exchange, const std::string &author);
    Result<ChangeOutcome> executeChange(HttpExchange &exchange); // makes the change that the request's path names, such as /v1/drain

    OperatorDependencies m_dependencies;
    std::string m_keyDigest;
};

} // namespace vanillanotch
