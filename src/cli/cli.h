// vanillanotch command-line tool: lets operators inspect and change the system through the nodes' HTTP interface.
//
// Index of sections:
//   [CLIENT]    NodeClient: calls to one node's HTTP interface
//   [COMMANDS]  one function for each command; the result is the exit code
//   [RENDER]    converts the nodes' JSON to text and HTML
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
    ExitUsage = 2, // invalid command line, or a file that is unreadable or invalid
    ExitUnreachable = 3, // a node didn't reply
    ExitConflict = 4, // the node replied 409: another change was accepted first; command `call`: another request has used the idempotency key
    ExitDiffers = 5, // diff: the file and the configuration in force differ
};

// Options of the command line. A comment such as "call: ..." is about the command of that name only.
struct CliOptions {
    std::string node; // a node's address for operators, IP:port
    std::string caller; // call: address for callers, of a node or of the load balancer, IP:port
    std::string key; // operators' key; call: the caller's API key
    std::string author; // operator's name, for the audit trail
    bool json = false; // print the node's JSON instead of text
    std::string html; // report: file to write the HTML page to; empty: none
    std::chrono::milliseconds deadline{8000}; // call: time from the submission within which the answer must come
    std::string idempotencyKey; // call: idempotency key of the request; empty: none
    std::uint64_t base = 0; // apply: the change is refused unless this configuration revision is in force; 0: whichever revision is in force
    unsigned rounds = 0; // top: number of refreshes after which the command ends; 0: runs until interrupted
};

//-----------------------------------------------------------------------------
// [CLIENT]
//-----------------------------------------------------------------------------

// Sends HTTP requests of one command to one node.
class NodeClient
{
public:
    NodeClient(std::string address, const CliOptions &options); // address: IP:port; `options` must outlive the client
    // get() and post() succeed with any HTTP status, and fail only when there is no reply.
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
    const char *usage; // names of its arguments, for the usage text; empty: none
    const char *help; // what it does, one line
    std::size_t requiredArguments; // the least number of arguments; further ones are optional or ignored
    int (*run)(const CliOptions &options, const Arguments &arguments); // returns the exit code
};

const std::vector<Command> &commands();
std::string usageText();

//-----------------------------------------------------------------------------
// [RENDER]
//-----------------------------------------------------------------------------

using Json = nlohmann::json;

std::string renderTable(const std::vector<std::vector<std::string>> &rows); // aligned columns as text; the first row holds the headings
// `nodes`: the status document of each node, or {"name", "data_centre", "unreachable": true} for one that didn't reply.
std::string renderStatus(const std::vector<Json> &nodes);
std::string renderAudit(const Json &audit);
// `report`: the cost of each stage, and the attainment of each pipeline: the share of its requests that finished within their deadline.
std::string renderReport(const Json &report);
std::string renderReportHtml(const Json &report);
std::string renderRequest(const Json &request);
std::string renderTop(const Json &servers, const Json &report);
std::string renderAnswer(const Json &answer);

} // namespace vanillanotch
