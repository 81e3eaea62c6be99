// vanillanotch: the operators' command-line tool. Parses the command line and runs one command.
#include "cli/cli.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

DEFINE_string(node, "127.0.0.1:7070", "a node's address for operators, IP:port");
DEFINE_string(caller, "127.0.0.1:8080", "a node's or the balancer's address for callers, IP:port");
DEFINE_string(key, "", "operators' key or, for call, the API key; better given in the environment variable VANILLANOTCH_KEY");
DEFINE_string(operator_name, "", "your name for the audit trail; default: the environment variable USER");
DEFINE_string(output, "text", "format of the output: text or json");
DEFINE_string(html, "", "report: also write an HTML page to this file");
DEFINE_int64(deadline_ms, 8000, "call: deadline in milliseconds");
DEFINE_string(idempotency_key, "", "call: idempotency key");
DEFINE_uint64(base, 0, "apply: refuse unless this revision is in force; 0: any");
DEFINE_uint64(rounds, 0, "top: stop after this many refreshes; 0: never");

namespace
{
using namespace vanillanotch;

std::string environmentOr(const char *name, const std::string &fallback)
{
    const char *value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

CliOptions optionsFromFlags()
{
    CliOptions options;
    options.node = FLAGS_node;
    options.caller = FLAGS_caller;
    options.key = FLAGS_key.empty() ? environmentOr("VANILLANOTCH_KEY", "") : FLAGS_key;
    options.author = FLAGS_operator_name.empty() ? environmentOr("USER", "unnamed") : FLAGS_operator_name;
    options.json = FLAGS_output == "json";
    options.html = FLAGS_html;
    options.deadline = std::chrono::milliseconds(FLAGS_deadline_ms);
    options.idempotencyKey = FLAGS_idempotency_key;
    options.base = FLAGS_base;
    options.rounds = static_cast<unsigned>(FLAGS_rounds);
    return options;
}

int usage()
{
    std::cerr << usageText();
    return ExitUsage;
}
} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    gflags::SetUsageMessage(usageText());
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc < 2 || (FLAGS_output != "text" && FLAGS_output != "json")) {
        return usage();
    }
    const Arguments arguments(argv + 2, argv + argc);
    for (const Command &command : commands()) {
        if (command.name == std::string(argv[1])) {
            return arguments.size() < command.requiredArguments ? usage() : command.run(optionsFromFlags(), arguments);
        }
    }
    return usage();
}
