// Stand-ins for the review's cases: store, workers and clients as threads of one program, and the project's own daemon as separate
// processes. Everything listens on 127.0.0.1 at free ports.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <algorithm>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using Json = nlohmann::json;
using Steady = std::chrono::steady_clock;

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

[[noreturn]] inline void giveUp(const std::string &why)
{
    std::cerr << "the case could not run: " << why << "\n";
    std::_Exit(CouldNotRun);
}

//-----------------------------------------------------------------------------
// Record
//-----------------------------------------------------------------------------

inline Steady::time_point startOfCase()
{
    static const Steady::time_point start = Steady::now();
    return start;
}

inline double nowS() // seconds since the case began
{
    return std::chrono::duration<double>(Steady::now() - startOfCase()).count();
}

// record.txt: what was sent, answered and run; each line begins with the seconds since the case began.
class Record
{
public:
    void open(const std::string &path)
    {
        m_file = std::fopen(path.c_str(), "w");
        if (m_file == nullptr) {
            giveUp("record.txt can't be written");
        }
    }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%8.3f ", nowS());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    FILE *m_file = nullptr;
};

inline Record record;

inline void sleepS(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

//-----------------------------------------------------------------------------
// Sockets and HTTP
//-----------------------------------------------------------------------------

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int listenOn(int port) // -1: the port is taken
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const sockaddr_in address = loopback(port);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

// A port that nothing uses, below the range of outgoing connections.
inline int freePort()
{
    static std::set<int> given;
    static std::mt19937 generator{std::random_device{}()};
    for (int i = 0; i < 1000; ++i) {
        const int port = std::uniform_int_distribution<int>(18000, 31000)(generator);
        const int fd = given.count(port) > 0 ? -1 : listenOn(port);
        if (fd >= 0) {
            ::close(fd);
            given.insert(port);
            return port;
        }
    }
    giveUp("no free port");
}

struct Head {
    std::string first; // request line or status line
    std::vector<std::pair<std::string, std::string>> fields;
    std::string get(const std::string &name) const
    {
        for (const auto &[field, value] : fields) {
            if (::strcasecmp(field.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    std::string target() const // of a request line
    {
        const std::size_t begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
    std::string method() const
    {
        return first.substr(0, first.find(' '));
    }
    int status() const // of a status line
    {
        return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    }
};

enum class Got { Data, Closed, Reset, Timeout };

inline const char *nameOf(Got got)
{
    return got == Got::Data ? "data" : got == Got::Closed ? "closed" : got == Got::Reset ? "reset" : "timeout";
}

// A connection with what has been received on it and not been taken yet.
class Wire
{
public:
    explicit Wire(int fd)
        : m_fd(fd)
    {
        const int yes = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    }
    Wire(const Wire &) = delete;
    Wire &operator=(const Wire &) = delete;
    ~Wire()
    {
        ::close(m_fd);
    }
    int fd() const
    {
        return m_fd;
    }
    std::string &received()
    {
        return m_received;
    }
    Got fill(double timeoutS)
    {
        pollfd entry{m_fd, POLLIN, 0};
        if (::poll(&entry, 1, std::max(0, static_cast<int>(timeoutS * 1000))) <= 0) {
            return Got::Timeout;
        }
        char buffer[16384];
        const ssize_t count = ::recv(m_fd, buffer, sizeof buffer, 0);
        if (count > 0) {
            m_received.append(buffer, static_cast<std::size_t>(count));
            return Got::Data;
        }
        return count == 0 ? Got::Closed : Got::Reset;
    }
    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    // True when the other end has closed the connection and nothing is left to read.
    bool gone()
    {
        pollfd entry{m_fd, POLLIN, 0};
        char byte = 0;
        return ::poll(&entry, 1, 0) > 0 && ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
    }
    Got readHead(Head &head, double untilS)
    {
        for (;;) {
            const std::size_t end = m_received.find("\r\n\r\n");
            if (end != std::string::npos) {
                std::istringstream lines(m_received.substr(0, end));
                m_received.erase(0, end + 4);
                head = Head{};
                std::string line;
                while (std::getline(lines, line)) {
                    if (!line.empty() && line.back() == '\r') {
                        line.pop_back();
                    }
                    const std::size_t colon = line.find(':');
                    if (head.first.empty()) {
                        head.first = line;
                    } else if (colon != std::string::npos) {
                        const std::size_t value = line.find_first_not_of(' ', colon + 1);
                        head.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
                    }
                }
                return Got::Data;
            }
            if (const Got got = fill(untilS - nowS()); got != Got::Data) {
                return got;
            }
        }
    }
    // Reads the body that `head` declares. Data: it is complete.
    Got readBody(const Head &head, std::string &body, double untilS, const std::function<void(const std::string &)> &onChunk = {})
    {
        if (::strcasecmp(head.get("Transfer-Encoding").c_str(), "chunked") == 0) {
            for (;;) {
                std::size_t end = std::string::npos;
                while ((end = m_received.find("\r\n")) == std::string::npos) {
                    if (const Got got = fill(untilS - nowS()); got != Got::Data) {
                        return got;
                    }
                }
                const std::size_t size = std::strtoul(m_received.c_str(), nullptr, 16);
                while (m_received.size() < end + 2 + size + 2) {
                    if (const Got got = fill(untilS - nowS()); got != Got::Data) {
                        return got;
                    }
                }
                const std::string chunk = m_received.substr(end + 2, size);
                m_received.erase(0, end + 2 + size + 2);
                if (size == 0) {
                    return Got::Data;
                }
                body += chunk;
                if (onChunk) {
                    onChunk(chunk);
                }
            }
        }
        const std::size_t length = std::strtoul(head.get("Content-Length").c_str(), nullptr, 10);
        while (m_received.size() < length) {
            if (const Got got = fill(untilS - nowS()); got != Got::Data) {
                return got;
            }
        }
        body = m_received.substr(0, length);
        m_received.erase(0, length);
        return Got::Data;
    }

private:
    const int m_fd;
    std::string m_received;
};

inline std::unique_ptr<Wire> connectTo(int port) // nullptr: refused
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<Wire>(fd);
}

inline std::string encodeReply(int status, const std::vector<std::pair<std::string, std::string>> &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunkOf(const std::string &data)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    return size + data + "\r\n";
}

// Serves each connection on a thread of its own.
class HttpServer
{
public:
    // Returns false to have the connection closed.
    using Handler = std::function<bool(Wire &, const Head &, const std::string &body)>;

    explicit HttpServer(Handler handler)
        : m_handler(std::move(handler))
    {
    }
    ~HttpServer()
    {
        stop();
    }
    bool start(int port)
    {
        m_listener = listenOn(port);
        if (m_listener < 0) {
            return false;
        }
        m_state = std::make_shared<State>();
        m_thread = std::thread([this, state = m_state, listener = m_listener] {
            for (;;) {
                const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                const std::lock_guard lock(state->mutex);
                if (state->stopped || fd < 0) {
                    if (fd >= 0) {
                        ::close(fd);
                    }
                    return;
                }
                state->open.insert(fd);
                ++state->threads;
                std::thread([handler = m_handler, state, fd] {
                    {
                        Wire wire(fd);
                        Head head;
                        for (bool keep = true; keep && wire.readHead(head, nowS() + 120) == Got::Data;) {
                            std::string body;
                            keep = wire.readBody(head, body, nowS() + 30) == Got::Data && handler(wire, head, body);
                        }
                        const std::lock_guard ending(state->mutex);
                        state->open.erase(fd);
                    }
                    const std::lock_guard ending(state->mutex);
                    --state->threads;
                    state->idle.notify_all();
                }).detach();
            }
        });
        return true;
    }
    // As when the process ends: the listener and all connections are closed.
    void stop()
    {
        if (!m_thread.joinable()) {
            return;
        }
        {
            const std::lock_guard lock(m_state->mutex);
            m_state->stopped = true;
            ::shutdown(m_listener, SHUT_RDWR);
            for (const int fd : m_state->open) {
                ::shutdown(fd, SHUT_RDWR);
            }
        }
        m_thread.join();
        ::close(m_listener);
    }
    // After stop(): waits until no handler runs any more. Not from a handler.
    void awaitHandlers()
    {
        if (m_state) {
            std::unique_lock lock(m_state->mutex);
            m_state->idle.wait_for(lock, std::chrono::seconds(10), [this] {
                return m_state->threads == 0;
            });
        }
    }

private:
    struct State {
        std::mutex mutex;
        std::condition_variable idle;
        std::set<int> open;
        int threads = 0;
        bool stopped = false;
    };
    const Handler m_handler;
    int m_listener = -1;
    std::shared_ptr<State> m_state;
    std::thread m_thread;
};

//-----------------------------------------------------------------------------
// Store
//-----------------------------------------------------------------------------

inline std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            value = value << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += j <= bytes.size() - i ? digits[value >> (18 - 6 * j) & 63] : '=';
        }
    }
    return out;
}

// The platform's metadata store: rows-get, rows-feed, rows-tx.
class Store
{
public:
    Store()
        : m_port(freePort())
        , m_server([this](Wire &wire, const Head &head, const std::string &body) {
            return handle(wire, head, body);
        })
    {
        if (!m_server.start(m_port)) {
            giveUp("the store's port is taken");
        }
    }
    int port() const
    {
        return m_port;
    }
    // What the operator and the workers write. The return is the acknowledgement.
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        write(table, key, base64(value), false);
    }
    void remove(const std::string &table, const std::string &key)
    {
        write(table, key, {}, true);
    }
    // While silent, the store takes calls and answers none: neither those that come meanwhile, however long their callers wait, nor those whose
    // answer falls due meanwhile. Calls that it holds for a change, and that fall due later, are answered then.
    void setSilent(bool silent)
    {
        const std::lock_guard lock(m_mutex);
        m_silent = silent;
    }
    void shutDown()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_down = true;
        }
        m_changed.notify_all();
        m_server.stop();
        m_server.awaitHandlers();
    }

private:
    struct Row {
        std::string value; // base64
        std::uint64_t version = 0;
        bool removed = false;
    };
    using Key = std::pair<std::string, std::string>; // table, key

    void write(const std::string &table, const std::string &key, const std::string &value, bool removed)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_rows[{table, key}] = Row{value, ++m_version, removed};
        }
        m_changed.notify_all();
    }
    static std::string decoded(const std::string &text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                out += static_cast<char>(std::strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                out += text[i];
            }
        }
        return out;
    }
    static std::map<std::string, std::string> query(const std::string &target)
    {
        std::map<std::string, std::string> out;
        std::istringstream parts(target.find('?') == std::string::npos ? std::string() : target.substr(target.find('?') + 1));
        for (std::string part; std::getline(parts, part, '&');) {
            const std::size_t equals = part.find('=');
            out[part.substr(0, equals)] = equals == std::string::npos ? std::string() : decoded(part.substr(equals + 1));
        }
        return out;
    }
    static Json encode(const Key &key, const Row &row)
    {
        Json json{{"Table", key.first}, {"part", ""}, {"Key", key.second}, {"Ver", row.version}};
        if (row.removed) {
            json["Removed"] = true;
        } else {
            json["Value"] = row.value;
        }
        return json;
    }
    Json envelope() const
    {
        return Json{{"Ver", m_version}, {"NowMs", static_cast<std::int64_t>(nowS() * 1000) + 50000}};
    }
    static void awaitClose(Wire &wire)
    {
        while (wire.fill(30) == Got::Data) {
        }
    }
    bool handle(Wire &wire, const Head &head, const std::string &body)
    {
        const std::string path = head.target().substr(0, head.target().find('?'));
        auto parameters = query(head.target());
        int status = 200;
        Json reply;
        sleepS(0.004); // the time of an answer
        std::unique_lock lock(m_mutex);
        bool lost = m_silent;
        if (lost) {
            lock.unlock();
            awaitClose(wire);
            return false;
        }
        if (path == "/api/rows-get") {
            Json rows = Json::array();
            const std::string from = parameters["From"];
            for (const auto &[key, row] : m_rows) {
                if (key.first == parameters["Table"] && key.second >= from && !row.removed) {
                    rows.push_back(encode(key, row));
                }
            }
            reply = envelope();
            reply["Rows"] = rows;
            reply["HasMore"] = false;
        } else if (path == "/api/rows-feed") {
            const std::uint64_t after = std::strtoull(parameters["After"].c_str(), nullptr, 10);
            const auto wait = std::chrono::milliseconds(std::min(30000, std::atoi(parameters["WaitMs"].c_str())));
            std::vector<std::pair<std::uint64_t, Json>> rows;
            m_changed.wait_for(lock, wait, [&] {
                rows.clear();
                for (const auto &[key, row] : m_rows) {
                    if (key.first == parameters["Table"] && row.version > after) {
                        rows.emplace_back(row.version, encode(key, row));
                    }
                }
                return !rows.empty() || m_down;
            });
            std::sort(rows.begin(), rows.end(), [](const auto &a, const auto &b) {
                return a.first < b.first;
            });
            reply = envelope();
            reply["Rows"] = Json::array();
            for (const auto &[version, row] : rows) {
                reply["Rows"].push_back(row);
            }
        } else if (path == "/api/rows-tx") {
            const Json transaction = Json::parse(body, nullptr, false);
            bool holds = !transaction.is_discarded();
            Json current = Json::array();
            for (const Json &condition : holds ? transaction.value("Precondition", Json::array()) : Json::array()) {
                const Key key{condition.at("Table"), condition.at("Key")};
                const auto found = m_rows.find(key);
                const std::uint64_t version = found == m_rows.end() || found->second.removed ? 0 : found->second.version;
                if (version != condition.at("Ver").get<std::uint64_t>()) {
                    holds = false;
                }
                if (version != 0) {
                    current.push_back(encode(key, found->second));
                }
            }
            if (holds) {
                ++m_version;
                for (const Json &row : transaction.value("Writes", Json::array())) {
                    m_rows[{row.at("Table"), row.at("Key")}] = Row{row.at("Value"), m_version, false};
                }
                for (const Json &row : transaction.value("Remove", Json::array())) {
                    m_rows[{row.at("Table"), row.at("Key")}] = Row{{}, m_version, true};
                }
                m_changed.notify_all();
            }
            status = holds ? 200 : 412;
            reply = envelope();
            if (!holds) {
                reply["Rows"] = current;
            }
        } else {
            status = 404;
        }
        lost = m_silent;
        lock.unlock();
        if (lost) {
            awaitClose(wire);
            return false;
        }
        const bool close = ::strcasecmp(head.get("Connection").c_str(), "close") == 0;
        return wire.send(encodeReply(status, {{"Content-Type", "application/json"}}, reply.dump())) && !close;
    }

    const int m_port;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::uint64_t m_version = 100;
    bool m_down = false;
    bool m_silent = false;
    HttpServer m_server;
};

//-----------------------------------------------------------------------------
// Workers
//-----------------------------------------------------------------------------

// A worker of a service. It registers itself in the store; the case says how it answers.
class Worker
{
public:
    using Answer = std::function<bool(Worker &, Wire &, const Head &, const std::string &body)>;

    Worker(Store &store, std::string service, std::string zone, int slots, Answer answer)
        : m_store(store)
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_slots(slots)
        , m_port(freePort())
        , m_answer(std::move(answer))
    {
        start();
    }
    ~Worker()
    {
        m_server->stop();
        m_server->awaitHandlers();
    }
    std::string id() const
    {
        const std::lock_guard lock(m_mutex);
        return m_id;
    }
    int port() const
    {
        return m_port;
    }
    bool up() const
    {
        return m_up;
    }
    // As when its process ends: nothing is sent any more, and all connections are closed.
    void crash()
    {
        m_up = false;
        m_server->stop();
    }
    // Leaves without having reported `draining`: its entry is removed, and it goes on serving. The return is the store's acknowledgement.
    void removeEntry()
    {
        m_store.remove("servers", id());
    }
    // The next incarnation, with a new id, at the same address. Call it some seconds after crash().
    void start()
    {
        if (m_server) {
            m_server->awaitHandlers();
            m_store.remove("servers", id());
        }
        static std::atomic<int> number{0};
        {
            const std::lock_guard lock(m_mutex);
            m_id = "i-" + m_service + "-" + std::to_string(++number);
        }
        m_server = std::make_unique<HttpServer>([this](Wire &wire, const Head &head, const std::string &body) {
            return handle(wire, head, body);
        });
        if (!m_server->start(m_port)) {
            giveUp("a worker's port is taken");
        }
        m_up = true;
        using namespace std::chrono;
        const auto born = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
        m_store.put("servers", id(),
                    Json{{"Service", m_service}, {"Address", "127.0.0.1:" + std::to_string(m_port)}, {"Zone", m_zone}, {"Version", "v1"}, {"Slots", m_slots},
                         {"State", "ready"}, {"ColdRemainingMs", 0}, {"Sequence", 1}, {"born", born}}
                        .dump());
    }

private:
    bool handle(Wire &wire, const Head &head, const std::string &body)
    {
        const std::string own = id();
        const std::string expected = head.get("X-Expect-Instance");
        if (!expected.empty() && expected != own) {
            return wire.send(encodeReply(421, {{"X-Instance-Id", own}}, {})) && false;
        }
        return m_answer(*this, wire, head, body) && ::strcasecmp(head.get("Connection").c_str(), "close") != 0;
    }

    Store &m_store;
    const std::string m_service;
    const std::string m_zone;
    const int m_slots;
    const int m_port;
    const Answer m_answer;
    mutable std::mutex m_mutex;
    std::string m_id;
    std::atomic<bool> m_up{false};
    std::unique_ptr<HttpServer> m_server;
};

inline std::vector<std::pair<std::string, std::string>> replyHeaders(const Worker &worker, const Head &request)
{
    return {{"X-Attempt-Id", request.get("X-Attempt-Id")}, {"X-Server-Seal", "seal." + worker.id()}, {"X-Instance-Id", worker.id()}};
}

inline std::string streamHead(const Worker &worker, const Head &request)
{
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    for (const auto &[name, value] : replyHeaders(worker, request)) {
        text += name + ": " + value + "\r\n";
    }
    return text + "\r\n";
}

inline std::string eventOf(int number)
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
}

// Number of output tokens that a request asks for: X-Token-Count is IN,OUT.
inline int outputTokens(const Head &request)
{
    const std::string counts = request.get("X-Token-Count");
    const std::size_t comma = counts.find(',');
    return comma == std::string::npos ? 0 : std::atoi(counts.c_str() + comma + 1);
}

//-----------------------------------------------------------------------------
// Nodes
//-----------------------------------------------------------------------------

inline std::string readFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        giveUp(path + " can't be read");
    }
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

// The word `run` of the deploy file's role.
inline std::string programOfDeployFile()
{
    const std::string text = readFile("deploy/system.toml");
    const std::string mark = "\nrun = \"";
    const std::size_t begin = text.find(mark);
    if (begin == std::string::npos) {
        giveUp("deploy/system.toml names no program");
    }
    return text.substr(begin + mark.size(), text.find('"', begin + mark.size()) - begin - mark.size());
}

// One process of the daemon, with settings like those of a machine of chakra-kolkata.
class Node
{
public:
    Node(const std::string &folder, const std::string &name, const std::string &zone, int storePort)
        : m_name(name)
        , m_front(freePort())
        , m_ready(freePort())
        , m_peer(freePort())
        , m_settings(folder + "/" + name + ".yaml")
        , m_log(folder + "/" + name + ".log")
    {
        const auto quoted = [](const std::string &text) {
            return Json(text).dump();
        };
        const auto at = [](int port) {
            return "127.0.0.1:" + std::to_string(port);
        };
        const std::vector<std::pair<std::string, std::string>> values = {
            {"{{NodeName|json}}", quoted(name)},
            {"{{Zone|json}}", quoted(zone)},
            {"{{Listen.Front|json}}", quoted(at(m_front))},
            {"{{Listen.Ready|json}}", quoted(at(m_ready))},
            {"{{Ip}}", "127.0.0.1"},
            {"{{InternalPorts.0}}", std::to_string(m_peer)},
            {"{{Platform.Address|json}}", quoted(at(storePort))},
            {"{{Limits.CpuShare}}", "0.25"},
            {"{{Bounds.RevokeMs}}", "5000"},
            {"{{Bounds.ContactMs}}", "3000"},
            {"{{Bounds.DrainMs}}", "2000"},
            {"{{Bounds.GraceS}}", "8"},
            {"{{Bounds.BudgetWindowS}}", "10"},
            {"{{Bounds.RetryBudgetRatio}}", "0.2"},
            {"{{Bounds.RetryBudgetExtra}}", "54"},
        };
        std::string text = readFile("deploy/entry.yaml");
        for (const auto &[placeholder, value] : values) {
            for (std::size_t at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder, at + value.size())) {
                text.replace(at, placeholder.size(), value);
            }
        }
        if (text.find("{{") != std::string::npos) {
            giveUp("deploy/entry.yaml has a placeholder that this stand-in doesn't know");
        }
        std::ofstream(m_settings) << text;
        start();
    }
    ~Node()
    {
        kill();
    }
    int front() const
    {
        return m_front;
    }
    const std::string &name() const
    {
        return m_name;
    }
    pid_t pid() const
    {
        return m_pid;
    }
    void start()
    {
        static const std::string program = programOfDeployFile();
        if (::access(program.c_str(), X_OK) != 0) {
            giveUp(program + " doesn't exist: build the deploy file first");
        }
        const std::string setting = "VANILLANOTCH_CONFIG=" + m_settings;
        const std::string path = std::string("PATH=") + (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "/usr/bin:/bin");
        const pid_t parent = ::getpid();
        m_status.reset();
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) {
                ::_exit(127);
            }
            const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            char *const arguments[] = {const_cast<char *>(program.c_str()), nullptr};
            char *const environment[] = {const_cast<char *>(setting.c_str()), const_cast<char *>(path.c_str()), nullptr};
            ::execve(program.c_str(), arguments, environment);
            ::_exit(127);
        }
        record.line("process %s started", m_name.c_str());
    }
    void signal(int number)
    {
        if (m_pid > 0 && !ended()) {
            ::kill(m_pid, number);
        }
    }
    // True when the process has ended, by itself or not; status() then tells how.
    bool ended()
    {
        int status = 0;
        if (!m_status && m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_status = status;
            record.line("process %s ended: %s", m_name.c_str(), describeEnd().c_str());
        }
        return m_status.has_value();
    }
    std::string describeEnd() const
    {
        if (!m_status) {
            return "runs";
        }
        return WIFSIGNALED(*m_status) ? "signal " + std::to_string(WTERMSIG(*m_status)) + " (" + ::strsignal(WTERMSIG(*m_status)) + ")"
                                      : "exit status " + std::to_string(WEXITSTATUS(*m_status));
    }
    void kill()
    {
        if (m_pid > 0 && !ended()) {
            ::kill(m_pid, SIGKILL);
            int status = 0;
            ::waitpid(m_pid, &status, 0);
            m_status = status;
        }
    }
    bool ready() const
    {
        const auto wire = connectTo(m_ready);
        Head head;
        return wire && wire->send("GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") && wire->readHead(head, nowS() + 1) == Got::Data
            && head.status() == 200;
    }
    void awaitReady()
    {
        for (const double until = nowS() + 15; !ready(); sleepS(0.1)) {
            if (nowS() > until || ended()) {
                giveUp(m_name + " doesn't become ready");
            }
        }
        record.line("process %s is ready", m_name.c_str());
    }

private:
    const std::string m_name;
    const int m_front;
    const int m_ready;
    const int m_peer;
    const std::string m_settings;
    const std::string m_log;
    pid_t m_pid = -1;
    std::optional<int> m_status;
};

//-----------------------------------------------------------------------------
// Clients
//-----------------------------------------------------------------------------

inline std::string newAttemptId()
{
    static std::mutex mutex;
    static std::mt19937_64 generator{std::random_device{}()};
    const std::lock_guard lock(mutex);
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(generator()));
    return text;
}

struct ClientRequest {
    std::string id = newAttemptId();
    std::string method = "POST";
    std::string host = "circle.example";
    std::string path;
    std::string key;
    std::string body;
    int deadlineMs = 8000;
    std::vector<std::pair<std::string, std::string>> headers;

    std::string encode() const
    {
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: "
            + std::to_string(deadlineMs) + "\r\n";
        if (!key.empty()) {
            text += "Authorization: Bearer " + key + "\r\n";
        }
        for (const auto &[name, value] : headers) {
            text += name + ": " + value + "\r\n";
        }
        if (method == "POST") {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        return text + "\r\n" + body;
    }
};

struct ClientReply {
    int status = 0; // 0: none came
    bool complete = false; // the whole answer came
    Got end = Got::Data; // how the connection ended if the answer isn't complete
    bool closes = false; // the answer announces the connection's end
    double sentAt = 0;
    double endedAt = 0;
    std::string body;
};

// Sends the request and reads its answer until the client's deadline.
inline ClientReply exchange(Wire &wire, const ClientRequest &request, const char *who)
{
    ClientReply reply;
    reply.sentAt = nowS();
    record.line("client %s sends %s %s %s", who, request.id.c_str(), request.method.c_str(), request.path.c_str());
    const double until = reply.sentAt + request.deadlineMs / 1000.0 + 1;
    Head head;
    reply.end = wire.send(request.encode()) ? wire.readHead(head, until) : Got::Reset;
    if (reply.end == Got::Data) {
        reply.status = head.status();
        reply.closes = ::strcasecmp(head.get("Connection").c_str(), "close") == 0;
        reply.end = wire.readBody(head, reply.body, until);
        reply.complete = reply.end == Got::Data;
    }
    reply.endedAt = nowS();
    record.line("client %s gets for %s: status %d, %s after %.3f s%s%s", who, request.id.c_str(), reply.status,
                reply.complete ? "complete" : (std::string("INCOMPLETE, connection ") + nameOf(reply.end)).c_str(), reply.endedAt - reply.sentAt,
                reply.status >= 400 ? ", body " : "", reply.status >= 400 ? reply.body.c_str() : "");
    return reply;
}

//-----------------------------------------------------------------------------
// Cases
//-----------------------------------------------------------------------------

struct CaseFolder {
    std::string temporary;
    bool trouble = true;
};

// Arguments: folder of the case (for record.txt) and a temporary folder.
inline CaseFolder beginCase(int argc, char **argv)
{
    if (argc != 3) {
        giveUp("usage: CASE-FOLDER TEMPORARY-FOLDER");
    }
    (void)startOfCase();
    std::signal(SIGPIPE, SIG_IGN);
    record.open(std::string(argv[1]) + "/record.txt");
    const char *trouble = std::getenv("TROUBLE");
    CaseFolder folder{argv[2], trouble == nullptr || std::string(trouble) != "0"};
    record.line("the case begins, %s its disruption", folder.trouble ? "with" : "without");
    return folder;
}

// Ends the program: the threads of the stand-ins end with it, and the kernel ends the nodes.
[[noreturn]] inline void endCase(bool broken, const std::string &verdict)
{
    record.line("%s: %s", broken ? "BROKEN" : "HELD", verdict.c_str());
    std::cout << (broken ? "BROKEN: " : "HELD: ") << verdict << "\n" << std::flush;
    std::_Exit(broken ? RuleBroken : RuleHeld);
}

} // namespace review
