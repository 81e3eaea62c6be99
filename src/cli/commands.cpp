// The commands; each prints its result to the standard output and errors to the standard error output.
#include "cli/cli.h"

#include "wire/wire.h"

#include <Poco/URI.h>

#include <algorithm>
#include <fstream>
#include <iostream>

namespace vanillanotch
{

namespace
{
constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
constexpr const char *YamlType = "application/yaml";
constexpr const char *JsonType = "application/json";
constexpr std::size_t StatusWorkers = 16; // threads of the command `status`, which asks as many nodes at the same time
constexpr Duration TopInterval = std::chrono::seconds(1); // time between two refreshes of `top`

std::string percentEncode(const std::string &value)
{
    std::string out;
    Poco::URI::encode(value, "/?#&=+%", out);
    return out;
}

// Prints an error and returns its exit code.
int printError(const Error &error)
{
    std::cerr << "error " << static_cast<int>(error.code) << " " << errorName(error.code) << ": " << error.detail << '\n';
    const bool unreachable = error.code == ErrorCode::ConnectFailed || error.code == ErrorCode::ConnectionLost || error.code == ErrorCode::ServerTimeout;
    if (unreachable) {
        return ExitUnreachable;
    }
    return error.code == ErrorCode::FileUnreadable ? ExitUsage : ExitRefused;
}

// Prints the error that a node replied and returns its exit code.
int printError(const HttpReply &reply)
{
    const Json json = Json::parse(reply.body, nullptr, false);
    if (json.is_object() && json.contains("error")) {
        const Json &error = json.at("error");
        std::cerr << "error " << error.value("code", 0) << " " << error.value("name", "") << ": " << error.value("message", "");
        if (error.contains("outcome")) {
            std::cerr << " (" << error.value("outcome", "") << ")";
        }
        std::cerr << '\n';
    } else {
        std::cerr << "error: status " << reply.status << '\n';
    }
    return reply.status == StatusConflict ? ExitConflict : ExitRefused;
}

// Returns the reply with status 200 to a GET request. Otherwise prints the error and returns the exit code.
tl::expected<HttpReply, int> fetch(const CliOptions &options, const std::string &path)
{
    NodeClient client(options.node, options);
    auto reply = client.get(path);
    if (!reply) {
        return tl::unexpected(printError(reply.error()));
    }
    if (reply->status != StatusOk) {
        return tl::unexpected(printError(*reply));
    }
    return std::move(*reply);
}

// Fetches a JSON document from the node and prints it: unchanged with --output json, otherwise as the text that `render` returns. Returns the
// exit code.
template<typename Renderer>
int showJson(const CliOptions &options, const std::string &path, const Renderer &render)
{
    const auto reply = fetch(options, path);
    if (!reply) {
        return reply.error();
    }
    const Json json = Json::parse(reply->body, nullptr, false);
    if (options.json) {
        std::cout << reply->body << '\n';
    } else {
        std::cout << render(json);
    }
    return ExitSuccess;
}

// Posts a change and prints the revision that results from it, or the error. Returns the exit code.
int postChange(const CliOptions &options, const std::string &path, const std::string &body)
{
    NodeClient client(options.node, options);
    const auto reply = client.post(path, body, YamlType);
    if (!reply) {
        return printError(reply.error());
    }
    if (reply->status != StatusOk) {
        return printError(*reply);
    }
    if (options.json) {
        std::cout << reply->body << '\n';
        return ExitSuccess;
    }
    const Json json = Json::parse(reply->body, nullptr, false);
    const bool changed = json.value("changed", false);
    std::cout << (changed ? "accepted as revision " : "nothing to change at revision ") << json.value("revision", std::uint64_t{0}) << '\n';
    return ExitSuccess;
}

// Returns the text of a valid configuration file; nullopt when it is unreadable or invalid, after the problems were printed.
std::optional<std::string> readValidFile(const std::string &file)
{
    const auto text = readFile(file);
    if (!text) {
        printError(text.error());
        return std::nullopt;
    }
    const auto entries = parseConfigurationYaml(*text, file);
    if (!entries) {
        std::cerr << describe(entries.error());
        return std::nullopt;
    }
    return *text;
}

int check(const CliOptions & /*options*/, const Arguments &arguments)
{
    if (!readValidFile(arguments[0])) {
        return ExitUsage;
    }
    std::cout << arguments[0] << ": valid\n";
    return ExitSuccess;
}

int diff(const CliOptions &options, const Arguments &arguments)
{
    const auto text = readValidFile(arguments[0]);
    if (!text) {
        return ExitUsage;
    }
    const auto reply = fetch(options, "/v1/configuration");
    if (!reply) {
        return reply.error();
    }
    const auto current = parseConfigurationYaml(reply->body, "in force");
    // If the configuration in force can't be parsed, it counts as empty, so the difference printed is the whole file.
    const ConfigurationRef base = current ? Configuration::build(1, *current).value() : Configuration::empty();
    const Change change = difference(*base, *parseConfigurationYaml(*text, arguments[0]));
    for (const EntryKey &key : change.deletes) {
        std::cout << "- " << entryKindName(key.kind) << "/" << key.name << '\n';
    }
    const std::vector<Entry> before = base->entries();
    for (const Entry &entry : change.upserts) {
        const bool known = std::any_of(before.begin(), before.end(), [&entry](const Entry &old) {
            return old.key() == entry.key();
        });
        std::cout << (known ? "~ " : "+ ") << entryKindName(entry.key().kind) << "/" << entry.key().name << '\n';
    }
    const bool differs = !change.upserts.empty() || !change.deletes.empty();
    return differs ? ExitDiffers : ExitSuccess;
}

int apply(const CliOptions &options, const Arguments &arguments)
{
    const auto text = readValidFile(arguments[0]);
    if (!text) {
        return ExitUsage;
    }
    const std::string summary = "apply " + arguments[0].substr(arguments[0].rfind('/') + 1);
    return postChange(options, "/v1/apply?base=" + std::to_string(options.base) + "&summary=" + percentEncode(summary), *text);
}

int merge(const CliOptions &options, const Arguments &arguments)
{
    const auto text = readFile(arguments[0]);
    if (!text) {
        return printError(text.error());
    }
    const auto entries = parseEntriesYaml(*text, arguments[0]);
    if (!entries) {
        std::cerr << describe(entries.error());
        return ExitUsage;
    }
    return postChange(options, "/v1/merge?summary=" + percentEncode("merge " + arguments[0].substr(arguments[0].rfind('/') + 1)), *text);
}

int remove(const CliOptions &options, const Arguments &arguments)
{
    const std::string kind = arguments[0].substr(0, arguments[0].find('/'));
    const std::string name = arguments[0].substr(std::min(arguments[0].size(), kind.size() + 1));
    return postChange(options, "/v1/delete?kind=" + percentEncode(kind) + "&name=" + percentEncode(name), "");
}

int show(const CliOptions &options, const Arguments & /*arguments*/)
{
    const auto reply = fetch(options, "/v1/configuration");
    if (!reply) {
        return reply.error();
    }
    std::cout << reply->body;
    return ExitSuccess;
}

int preset(const CliOptions &options, const Arguments &arguments)
{
    return postChange(options, "/v1/preset?name=" + percentEncode(arguments[0]), "");
}

int drain(const CliOptions &options, const Arguments &arguments)
{
    return postChange(options, "/v1/drain?server=" + percentEncode(arguments[0]), "");
}

int undrain(const CliOptions &options, const Arguments &arguments)
{
    return postChange(options, "/v1/undrain?server=" + percentEncode(arguments[0]), "");
}

// Asks a node for its status document. Returns the document, or one with "unreachable": true when the node has no address or doesn't reply
// with status 200. `member`: the node's record in the list of members.
Json statusOf(const CliOptions &options, const Json &member)
{
    Json unreachable{{"name", member.value("name", "")}, {"data_centre", member.value("data_centre", "")}, {"unreachable", true}};
    const std::string address = member.value("operator_address", "");
    if (address.empty()) {
        return unreachable;
    }
    NodeClient client(address, options);
    const auto reply = client.get("/v1/status");
    if (!reply || reply->status != StatusOk) {
        return unreachable;
    }
    return Json::parse(reply->body, nullptr, false);
}

int status(const CliOptions &options, const Arguments & /*arguments*/)
{
    const auto reply = fetch(options, "/v1/status");
    if (!reply) {
        return reply.error();
    }
    const Json askedNode = Json::parse(reply->body, nullptr, false);
    std::vector<Json> nodes(askedNode.at("members").size());
    {
        WorkerPool pool(StatusWorkers); // its destructor waits for all replies
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            pool.post([&options, &nodes, &askedNode, i] {
                nodes[i] = statusOf(options, askedNode.at("members")[i]);
            });
        }
    }
    std::sort(nodes.begin(), nodes.end(), [](const Json &a, const Json &b) {
        return std::pair(a.value("data_centre", ""), a.value("name", "")) < std::pair(b.value("data_centre", ""), b.value("name", ""));
    });
    if (options.json) {
        std::cout << Json(nodes).dump() << '\n';
    } else {
        std::cout << renderStatus(nodes);
    }
    const bool allReachable = std::none_of(nodes.begin(), nodes.end(), [](const Json &node) {
        return node.contains("unreachable");
    });
    return allReachable ? ExitSuccess : ExitUnreachable;
}

int audit(const CliOptions &options, const Arguments &arguments)
{
    const std::string after = arguments.empty() ? "0" : arguments[0];
    return showJson(options, "/v1/audit?after=" + percentEncode(after), renderAudit);
}

int report(const CliOptions &options, const Arguments & /*arguments*/)
{
    return showJson(options, "/v1/report", [&options](const Json &json) {
        if (!options.html.empty()) {
            std::ofstream(options.html) << renderReportHtml(json);
        }
        return renderReport(json);
    });
}

int explain(const CliOptions &options, const Arguments &arguments)
{
    return showJson(options, "/v1/requests/" + percentEncode(arguments[0]), renderRequest);
}

int table(const CliOptions &options, const Arguments &arguments)
{
    return showJson(options, "/v1/tables/" + percentEncode(arguments[0]), [](const Json &json) {
        return json.dump(2) + "\n";
    });
}

int top(const CliOptions &options, const Arguments & /*arguments*/)
{
    RankedMutex mutex(LockRank::Leaf);
    std::condition_variable_any neverNotified;
    for (unsigned round = 1;; ++round) {
        const auto servers = fetch(options, "/v1/tables/servers");
        const auto costs = servers ? fetch(options, "/v1/report") : servers;
        if (!costs) {
            return costs.error();
        }
        if (options.json) {
            std::cout << servers->body << std::endl;
        } else {
            std::cout << "\033[H\033[2J" << renderTop(Json::parse(servers->body), Json::parse(costs->body)) << std::flush;
        }
        if (round == options.rounds) {
            return ExitSuccess;
        }
        Lock lock(mutex);
        neverNotified.wait_for(lock, TopInterval, [] {
            return false;
        });
    }
}

int call(const CliOptions &options, const Arguments &arguments)
{
    NodeClient client(options.caller, options);
    const Json body{{"input", arguments[1]}, {"deadline_ms", options.deadline.count()}};
    const auto reply = client.post("/v1/pipelines/" + percentEncode(arguments[0]), body.dump(), JsonType);
    if (!reply) {
        return printError(reply.error());
    }
    if (reply->status != StatusOk) {
        return printError(*reply);
    }
    std::cout << (options.json ? reply->body + "\n" : renderAnswer(Json::parse(reply->body)));
    return ExitSuccess;
}

int completion(const CliOptions & /*options*/, const Arguments & /*arguments*/)
{
    std::string names;
    for (const Command &command : commands()) {
        names += std::string(names.empty() ? "" : " ") + command.name;
    }
    std::cout << "complete -W '" << names
              << " --node --caller --key --operator_name --output --html --deadline_ms --idempotency_key --base --rounds' vanillanotch\n";
    return ExitSuccess;
}
} // namespace

const std::vector<Command> &commands()
{
    static const std::vector<Command> list{
        {"check", "FILE", "check a configuration file and print all of its problems", 1, check},
        {"diff", "FILE", "list the entries that applying the file would change", 1, diff},
        {"apply", "FILE", "make the file the configuration in force", 1, apply},
        {"merge", "FILE", "add or replace the entries of a file, keep all others", 1, merge},
        {"delete", "KIND/NAME", "remove one entry", 1, remove},
        {"show", "", "print the configuration in force", 0, show},
        {"preset", "NAME", "put a preset in force", 1, preset},
        {"drain", "SERVER", "send no new work to a backend server", 1, drain},
        {"undrain", "SERVER", "send work to a drained backend server again", 1, undrain},
        {"status", "", "print revision, preset and state of every node", 0, status},
        {"top", "", "show servers, attainment and cost, refreshed every second", 0, top},
        {"audit", "[AFTER-REVISION]", "list the accepted changes: who changed what, when", 0, audit},
        {"report", "", "print attainment and cost by stage; --html FILE for a page", 0, report},
        {"explain", "REQUEST", "list the attempts of a request, and why it was refused", 1, explain},
        {"table", "NAME", "print a table of a node: servers, members, accounts, requests, suspects", 1, table},
        {"call", "PIPELINE INPUT", "send a request as a caller", 2, call},
        {"completion", "", "print the completion script for bash", 0, completion},
    };
    return list;
}

std::string usageText()
{
    std::vector<std::vector<std::string>> rows;
    for (const Command &command : commands()) {
        rows.push_back({std::string("  ") + command.name, command.usage, command.help});
    }
    return "vanillanotch [flags] COMMAND [ARGUMENTS]\n" + renderTable(rows);
}

} // namespace vanillanotch
