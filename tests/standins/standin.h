// Shared by the stand-ins (processes that take the place of real services in tests): an HTTP server whose handler is a function,
// and the wait for the signal that ends the process.
#pragma once

#include "http/http.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

namespace vanillanotch::standin
{

class FunctionHandler final : public HttpHandler
{
public:
    explicit FunctionHandler(std::function<void(HttpExchange &)> handler)
        : m_function(std::move(handler))
    {
    }
    void handle(HttpExchange &exchange) override
    {
        m_function(exchange);
    }
    std::string describeError(ErrorCode code) override
    {
        return std::string(errorName(code));
    }

private:
    std::function<void(HttpExchange &)> m_function;
};

// HTTP server on a free loopback port, which passes each request to `handler`. Serves as long as the object exists. `connections`:
// how many it serves at the same time.
class StandinServer
{
public:
    StandinServer(const std::string &name, int connections, std::function<void(HttpExchange &)> handler)
        : m_handler(std::move(handler))
    {
        HttpServerSettings settings;
        settings.name = name;
        settings.connections = connections;
        settings.maxBodyBytes = 64 * 1024 * 1024;
        settings.idleTimeout = std::chrono::minutes(5);
        m_server = std::make_unique<HttpServer>(settings, m_handler);
    }
    std::string address() const
    {
        return m_server->address();
    }

private:
    FunctionHandler m_handler;
    std::unique_ptr<HttpServer> m_server;
};

// Blocks SIGTERM and SIGINT in the calling thread and all threads that it starts later, and ignores SIGPIPE. Returns the set of
// blocked signals for awaitTerminationSignal(). Call it before any thread is started.
inline sigset_t blockTerminationSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

// Waits until one of `signals` (SIGTERM, SIGINT) arrives.
inline void awaitTerminationSignal(const sigset_t &signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
}

// Blocks the calling thread for that time, without using CPU time.
inline void sleepFor(Duration duration)
{
    std::this_thread::sleep_for(duration);
}

} // namespace vanillanotch::standin
