#include "base/base.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <csignal>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    vanillanotch::initLog(vanillanotch::LogLevel::Error, "test");
    // CppUTest's leak detector is not thread-safe; AddressSanitizer detects leaks instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
