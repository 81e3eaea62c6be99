// vanillanotch command-line tool: what operators do from their desks.
//
// Index of sections:
//   [CLIENT]    NodeClient: one node's HTTP interface
//   [COMMANDS]  one function for each command; the result is the exit code
//   [RENDER]    text and HTML from the nodes' JSON
#pragma once

#include "base/base.h"
#include "http/http.h"

#include <nlohmann/json.hpp>

namespace vanillanotch
{

// Exit codes, documented in docs/OPERATORS.md.
enum ExitCode : int {
    ExitSuccess = 0,
    ExitRefused = 1, // the node refused or failed; its numbered error is printed
    ExitUsage = 2, // wrong words, unreadable or invalid file
    ExitUnreachable = 3, // no answer from the node
    ExitConflict = 4, // another operator's change came first
    ExitDiffers = 5, // diff: the file and the configuration in force differ
};

struct CliOptions {
    std::string node; // operators' address, IP:port
    std::string caller; // callers' address for `call`, IP:port
    std::string key; // operators' key, or the API key for `call`
    std::string author; // operator's name, for the audit trail
    bool json = false; // print the node's JSON instead of text
    std::string html; // report: file for the HTML page; empty: none
    std::chrono::milliseconds deadline{8000}; // call
    std::string idempotencyKey; // call; empty: none
    std::uint64_t base = 0; // apply: the revision the operator saw; 0: any
    unsigned rounds = 0; // top: how many pictures; 0: until interrupted
};

//-----------------------------------------------------------------------------
// [CLIENT]
//-----------------------------------------------------------------------------

class NodeClient
{
public:
    NodeClient(std::string address, const CliOptions &options);
    Result<HttpReply> get(const std::string &path);
    Result<HttpReply> post(const std::string &path, const std::string &body, const std::string &contentType);

private:
    Result<HttpReply> send(HttpClientRequest request);

    std::string m_address;
    const CliOptions &m_options;
    HttpClient m_client;
};

//-----------------------------------------------------------------------------
// [COMMANDS]
//-----------------------------------------------------------------------------

using Arguments = std::vector<std::string>;

struct Command {
    const char *name;
    const char *usage; // its arguments
    const char *help; // one line
    std::size_t requiredArguments; // how many it needs
    int (*run)(const CliOptions &options, const Arguments &arguments);
};

const std::vector<Command> &commands();
std::string usageText();

//-----------------------------------------------------------------------------
// [RENDER]
//-----------------------------------------------------------------------------

using Json = nlohmann::json;

std::string renderTable(const std::vector<std::vector<std::string>> &rows); // first row: headings
std::string renderStatus(const std::vector<Json> &nodes); // one status document each; {"name", "unreachable": true} otherwise
std::string renderAudit(const Json &audit);
std::string renderReport(const Json &report);
std::string renderReportHtml(const Json &report);
std::string renderRequest(const Json &request);
std::string renderTop(const Json &servers, const Json &report);
std::string renderAnswer(const Json &answer);

} // namespace vanillanotch
