// vanillanotch frontend library: HTTP for callers and for operators. Encodes and decodes; the services decide.
//
// Callers (docs/API.md):      POST /v1/pipelines/NAME
// Operators (docs/OPERATORS.md): GET /v1/status, /v1/configuration, /v1/audit, /v1/report, /v1/tables/NAME, /v1/requests/ID
//                                POST /v1/apply, /v1/merge, /v1/delete, /v1/preset, /v1/drain, /v1/undrain
//                                without a key: GET /livez, /readyz, /metrics
#pragma once

#include "base/base.h"
#include "dissemination/dissemination.h"
#include "http/http.h"
#include "request/request.h"
#include "wire/wire.h"

namespace vanillanotch
{

class CallerHandler final : public HttpHandler
{
public:
    explicit CallerHandler(RequestService &service);
    void handle(HttpExchange &exchange) override;
    std::string describeError(ErrorCode code) override;

private:
    RequestService &m_service;
};

// What operators look at and act on.
struct OperatorDependencies {
    const Clock &clock;
    ConfigurationService &configuration;
    ConfigurationTable &configurations;
    ControlPlane &duties;
    RequestService &service;
    RequestTable &requests;
    BackendServerTable &servers;
    AccountTable &accounts;
    MemberTable &members;
    SuspectTable &suspects;
    CostTable &costs;
    MetricsRegistry &metrics;
};

class OperatorHandler final : public HttpHandler
{
public:
    OperatorHandler(OperatorDependencies parts, std::string keyDigest);
    void handle(HttpExchange &exchange) override;
    std::string describeError(ErrorCode code) override;

private:
    bool handleOpen(HttpExchange &exchange);
    void handleRead(HttpExchange &exchange);
    void handleChange(HttpExchange &exchange);
    void handleTable(HttpExchange &exchange, const std::string &table);
    Result<ChangeOutcome> applyDocument(HttpExchange &exchange, const std::string &author);
    Result<ChangeOutcome> mergeDocument(HttpExchange &exchange, const std::string &author);
    Result<ChangeOutcome> removeEntry(HttpExchange &exchange, const std::string &author);
    Result<ChangeOutcome> change(HttpExchange &exchange);

    OperatorDependencies m_parts;
    std::string m_keyDigest;
};

} // namespace vanillanotch
