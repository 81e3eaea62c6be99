#include "base/base.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <csignal>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    vanillanotch::initLog(vanillanotch::LogLevel::Error, "test");
    // The leak detector isn't safe for threads; AddressSanitizer looks for leaks instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
