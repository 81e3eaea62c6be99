// Stand-ins and helpers for the scripts of the third review: the platform's store, servers that answer plain requests or event streams, clients, and the
// daemon's processes. A script is one program: the stand-ins run on its threads, the daemons are processes of their own, started with the command of
// deploy/system.toml. Everything listens on loopback addresses with free ports.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(milliseconds(std::max<std::int64_t>(0, ms)));
}

//-----------------------------------------------------------------------------
// Record
//-----------------------------------------------------------------------------

// record.txt: one line for each thing that was sent, answered or run, with the time since the start.
class Record
{
public:
    void open(const std::string &path)
    {
        std::ofstream(path).close(); // empties it
        m_file.open(path, std::ios::app);
    }
    // For another process of the script: goes on with the same file and the same times.
    void join(const std::string &path, std::int64_t start)
    {
        m_start = Clock::time_point(Clock::duration(start));
        m_file.open(path, std::ios::app);
    }
    std::int64_t start() const
    {
        return m_start.time_since_epoch().count();
    }
    std::int64_t now() const
    {
        return std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count();
    }
    void add(const std::string &line)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_file << std::to_string(now()) + " ms  " + line + "\n" << std::flush; // one write for each line
    }

private:
    Clock::time_point m_start = Clock::now();
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline Record &record()
{
    static Record instance;
    return instance;
}

//-----------------------------------------------------------------------------
// Sockets
//-----------------------------------------------------------------------------

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline std::string addressOf(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

inline int portOf(const std::string &address)
{
    return std::stoi(address.substr(address.rfind(':') + 1));
}

// A listener on a free port, or on `port`. -1: it could not be bound.
inline int listenOn(int port, int &bound)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(descriptor, 512) != 0) {
        ::close(descriptor);
        return -1;
    }
    socklen_t size = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    bound = ntohs(address.sin_port);
    return descriptor;
}

// A free port below those that the system gives to outgoing connections, so that none of them takes it while a process restarts.
inline int freePort()
{
    static std::set<int> given;
    static unsigned seed = static_cast<unsigned>(::getpid()) * 7919U + static_cast<unsigned>(::time(nullptr));
    for (;;) {
        const int port = 15000 + static_cast<int>(::rand_r(&seed) % 16000);
        int bound = 0;
        if (!given.insert(port).second) {
            continue;
        }
        if (const int descriptor = listenOn(port, bound); descriptor >= 0) {
            ::close(descriptor);
            return port;
        }
    }
}

inline void resetOnClose(int descriptor)
{
    const linger reset{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

inline bool sendAll(int descriptor, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline bool sameName(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && ::strcasecmp(a.c_str(), b.c_str()) == 0;
}

struct Fields {
    std::vector<std::pair<std::string, std::string>> list;
    std::string get(const std::string &name) const
    {
        for (const auto &[known, value] : list) {
            if (sameName(known, name)) {
                return value;
            }
        }
        return std::string();
    }
};

// Reads from a socket, with a time limit.
class Reader
{
public:
    explicit Reader(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    // False: the connection ended (or was reset), or the limit passed.
    bool more(Clock::time_point until)
    {
        pollfd entry{m_descriptor, POLLIN, 0};
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        if (left < 0 || ::poll(&entry, 1, static_cast<int>(left) + 1) <= 0) {
            return false;
        }
        char buffer[65536];
        const ssize_t count = ::recv(m_descriptor, buffer, sizeof buffer, 0);
        if (count <= 0) {
            m_ended = true;
            m_reset = count < 0;
            return false;
        }
        m_bytes.append(buffer, static_cast<std::size_t>(count));
        return true;
    }
    std::string &bytes()
    {
        return m_bytes;
    }
    bool ended() const
    {
        return m_ended;
    }
    bool wasReset() const
    {
        return m_reset;
    }
    // Reads a head: the first line and the fields.
    bool head(std::string &line, Fields &fields, Clock::time_point until)
    {
        std::size_t end = 0;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!more(until)) {
                return false;
            }
        }
        std::istringstream in(m_bytes.substr(0, end + 2));
        m_bytes.erase(0, end + 4);
        std::getline(in, line);
        line.erase(line.find_last_not_of("\r") + 1);
        std::string field;
        while (std::getline(in, field)) {
            field.erase(field.find_last_not_of("\r") + 1);
            const std::size_t colon = field.find(':');
            if (colon != std::string::npos) {
                const std::size_t begin = field.find_first_not_of(' ', colon + 1);
                fields.list.emplace_back(field.substr(0, colon), begin == std::string::npos ? std::string() : field.substr(begin));
            }
        }
        return true;
    }

private:
    const int m_descriptor;
    std::string m_bytes;
    bool m_ended = false;
    bool m_reset = false;
};

//-----------------------------------------------------------------------------
// Server
//-----------------------------------------------------------------------------

struct Request {
    std::string method;
    std::string target;
    Fields fields;
    std::string body;
    int descriptor = -1; // for handlers that write their answer themselves
    std::string path() const
    {
        return target.substr(0, target.find('?'));
    }
    std::string query(const std::string &name) const
    {
        const std::size_t begin = target.find('?');
        std::istringstream in(begin == std::string::npos ? std::string() : target.substr(begin + 1));
        std::string part;
        while (std::getline(in, part, '&')) {
            if (part.compare(0, name.size() + 1, name + "=") == 0) {
                return decode(part.substr(name.size() + 1));
            }
        }
        return std::string();
    }

private:
    static std::string decode(const std::string &text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                out += text[i];
            }
        }
        return out;
    }
};

struct Answer {
    int status = 200;
    Fields fields;
    std::string body;
    bool written = false; // the handler has written the answer itself, and the connection ends
};

// Serves HTTP/1.1, one thread a connection. `admit` says what happens to a new connection and to a request: see Gate.
class Server
{
public:
    using Handler = std::function<Answer(const Request &)>;
    enum class Gate { Open, Reset };

    explicit Server(Handler handler, int port = 0)
        : m_handler(std::move(handler))
        , m_listener(listenOn(port, m_port))
    {
        m_thread = std::thread([this] {
            accept();
        });
    }
    ~Server()
    {
        stop();
    }
    int port() const
    {
        return m_port;
    }
    std::string address() const
    {
        return addressOf(m_port);
    }
    // Reset: the connections that are open now and new ones are reset.
    void setGate(Gate gate)
    {
        m_gate = gate;
        if (gate == Gate::Reset) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            for (const int descriptor : m_open) {
                resetOnClose(descriptor);
                ::shutdown(descriptor, SHUT_RDWR);
            }
        }
    }
    void stop()
    {
        if (!m_stopping.exchange(true)) {
            ::shutdown(m_listener, SHUT_RDWR);
            m_thread.join();
            ::close(m_listener);
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                for (const int descriptor : m_open) {
                    ::shutdown(descriptor, SHUT_RDWR);
                }
            }
            for (int i = 0; i < 500 && m_running > 0; ++i) {
                sleepMs(10);
            }
        }
    }

private:
    void accept()
    {
        while (!m_stopping) {
            const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                sleepMs(1);
                continue;
            }
            if (m_gate == Gate::Reset) {
                resetOnClose(descriptor);
                ::close(descriptor);
                continue;
            }
            const int on = 1;
            ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_open.insert(descriptor);
            }
            ++m_running;
            std::thread([this, descriptor] {
                serve(descriptor);
                {
                    const std::lock_guard<std::mutex> lock(m_mutex);
                    m_open.erase(descriptor);
                }
                ::close(descriptor);
                --m_running;
            }).detach();
        }
    }
    void serve(int descriptor)
    {
        Reader reader(descriptor);
        for (;;) {
            const auto until = Clock::now() + std::chrono::seconds(60);
            std::string line;
            Request request;
            if (!reader.head(line, request.fields, until)) {
                return;
            }
            std::istringstream in(line);
            in >> request.method >> request.target;
            const std::string length = request.fields.get("Content-Length");
            const std::size_t size = length.empty() ? 0 : std::stoul(length);
            while (reader.bytes().size() < size) {
                if (!reader.more(until)) {
                    return;
                }
            }
            request.body = reader.bytes().substr(0, size);
            reader.bytes().erase(0, size);
            request.descriptor = descriptor;
            const Answer answer = m_handler(request);
            if (answer.written) {
                return;
            }
            std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " Status\r\n";
            for (const auto &[name, value] : answer.fields.list) {
                text += name + ": " + value + "\r\n";
            }
            const bool close = sameName(request.fields.get("Connection"), "close");
            text += "Content-Length: " + std::to_string(answer.body.size()) + (close ? "\r\nConnection: close" : "") + "\r\n\r\n" + answer.body;
            if (!sendAll(descriptor, text) || close) {
                return;
            }
        }
    }

    const Handler m_handler;
    int m_port = 0;
    const int m_listener;
    std::atomic<Gate> m_gate{Gate::Open};
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_running{0};
    std::mutex m_mutex;
    std::set<int> m_open;
    std::thread m_thread;
};

//-----------------------------------------------------------------------------
// Store
//-----------------------------------------------------------------------------

inline std::string encodeBase64(const std::string &bytes)
{
    static const char *const Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            value = value * 256 + (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out += i + k <= bytes.size() ? Digits[(value >> (18 - 6 * k)) & 63U] : '=';
        }
    }
    return out;
}

// The platform's store: tables, transactions, the feed. Each node calls it at an address of its own, so that the store can turn single nodes away.
class Store
{
public:
    // What the store does with the calls that come to one of its addresses.
    enum class Mode {
        Serves,
        Busy, // 503: nothing was done
        Many, // 429
        LateWrite // the next write is performed 5 s later, if its condition still holds then, and never answered; the rest is served
    };

    // An address for one caller.
    std::size_t addAddress()
    {
        const std::size_t index = m_doors.size();
        auto door = std::make_unique<Door>();
        Door *const own = door.get();
        door->server = std::make_unique<Server>([this, own](const Request &request) {
            return handle(*own, request);
        });
        m_doors.push_back(std::move(door));
        return index;
    }
    std::string address(std::size_t index) const
    {
        return m_doors.at(index)->server->address();
    }
    void setMode(std::size_t index, Mode mode)
    {
        m_doors.at(index)->mode = mode;
        notify(); // calls that wait are answered
    }
    // The store is away: all connections are reset, also new ones.
    void setAway(bool away)
    {
        for (const auto &door : m_doors) {
            door->server->setGate(away ? Server::Gate::Reset : Server::Gate::Open);
        }
        notify();
    }
    void keepCopy()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_copyRows = m_rows;
        m_copyVersion = m_version;
    }
    // Comes back from the copy: what was written since is gone, versions go back and are given out again.
    void returnFromCopy()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_rows = m_copyRows;
        m_version = m_copyVersion;
        ++m_era;
    }
    std::uint64_t version()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_version;
    }
    // A write by the operator or by a server. Returns the version of the row.
    std::uint64_t write(const std::string &table, const std::string &key, const std::string &value)
    {
        std::uint64_t version = 0;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            version = ++m_version;
            m_rows[{table, "", key}] = Row{encodeBase64(value), version, false};
        }
        notify();
        return version;
    }
    void remove(const std::string &table, const std::string &key)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_rows[{table, "", key}] = Row{"", ++m_version, true};
        }
        notify();
    }
    // Value (base64) of the row; empty: there is none.
    std::string valueOf(const std::string &table, const std::string &part, const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_rows.find({table, part, key});
        return found == m_rows.end() || found->second.removed ? std::string() : found->second.value;
    }
    std::size_t countOf(const std::string &table)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::size_t count = 0;
        for (const auto &[key, row] : m_rows) {
            count += std::get<0>(key) == table && !row.removed ? 1 : 0;
        }
        return count;
    }
    void stop()
    {
        m_stopping = true;
        notify();
        for (const auto &door : m_doors) {
            door->server->stop();
        }
    }

private:
    using Key = std::tuple<std::string, std::string, std::string>; // table, part, key
    struct Row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    struct Door {
        std::unique_ptr<Server> server;
        std::atomic<Mode> mode{Mode::Serves};
    };

    void notify()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_changed.notify_all();
    }
    Answer answerOf(int status, Json body)
    {
        Answer answer;
        answer.status = status;
        body["NowMs"] = std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
        answer.fields.list = {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(m_era)}};
        answer.body = body.dump();
        return answer;
    }
    static Json jsonOf(const Key &key, const Row &row)
    {
        Json json{{"Table", std::get<0>(key)}, {"part", std::get<1>(key)}, {"Key", std::get<2>(key)}, {"Ver", row.version}};
        if (row.removed) {
            json["Removed"] = true;
        } else {
            json["Value"] = row.value;
        }
        return json;
    }
    static Key keyOf(const Json &row)
    {
        return {row.at("Table").get<std::string>(), row.value("part", std::string()), row.at("Key").get<std::string>()};
    }

    Answer handle(Door &door, const Request &request)
    {
        sleepMs(4); // an answer takes 4 ms
        if (door.mode == Mode::Busy || door.mode == Mode::Many) {
            return answerOf(door.mode == Mode::Busy ? 503 : 429, Json::object());
        }
        if (request.path() == "/api/rows-tx") {
            Mode late = Mode::LateWrite;
            if (door.mode.compare_exchange_strong(late, Mode::Serves)) {
                record().add("store: a write is lost on its way, and performed 5 s later: " + request.body.substr(0, 200));
                sleepMs(5000);
                Answer answer = transact(Json::parse(request.body));
                record().add("store: the late write ended with " + std::to_string(answer.status));
                answer.written = true;
                return answer;
            }
            return transact(Json::parse(request.body));
        }
        if (request.path() == "/api/rows-get") {
            return get(request);
        }
        return request.path() == "/api/rows-feed" ? feed(door, request) : answerOf(404, Json::object());
    }
    Answer transact(const Json &call)
    {
        int status = 200;
        std::uint64_t version = 0;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            for (const Json &row : call.value("Precondition", Json::array())) {
                const auto found = m_rows.find(keyOf(row));
                const std::uint64_t known = found == m_rows.end() || found->second.removed ? 0 : found->second.version;
                status = known == row.at("Ver").get<std::uint64_t>() ? status : 412;
            }
            if (status == 200) {
                ++m_version;
                for (const Json &row : call.value("Writes", Json::array())) {
                    m_rows[keyOf(row)] = Row{row.at("Value").get<std::string>(), m_version, false};
                }
                for (const Json &row : call.value("Remove", Json::array())) {
                    m_rows[keyOf(row)] = Row{"", m_version, true};
                }
            }
            version = m_version;
            m_changed.notify_all();
        }
        sleepMs(4); // a transaction takes 8 ms
        return answerOf(status, Json{{"Ver", version}});
    }
    Answer get(const Request &request)
    {
        Json body{{"Rows", Json::array()}, {"HasMore", false}};
        const std::string limit = request.query("Limit");
        const std::size_t most = limit.empty() ? 500 : std::min<std::size_t>(500, std::stoul(limit));
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const auto &[key, row] : m_rows) {
            if (std::get<0>(key) != request.query("Table") || std::get<1>(key) != request.query("part") || std::get<2>(key) < request.query("From")
                || row.removed) {
                continue;
            }
            if (body["Rows"].size() >= most) {
                body["HasMore"] = true;
                break;
            }
            body["Rows"].push_back(jsonOf(key, row));
        }
        body["Ver"] = m_version;
        return answerOf(200, body);
    }
    Answer feed(Door &door, const Request &request)
    {
        const std::uint64_t after = std::stoull(request.query("After"));
        const auto until = Clock::now() + milliseconds(std::min<std::int64_t>(30000, std::stoll(request.query("WaitMs"))));
        std::unique_lock<std::mutex> lock(m_mutex);
        const std::uint64_t era = m_era;
        Json body{{"Rows", Json::array()}};
        for (;;) {
            if (m_stopping || door.mode == Mode::Busy || door.mode == Mode::Many || era != m_era) {
                return answerOf(503, Json::object());
            }
            if (after > m_version) {
                return answerOf(410, Json::object()); // a read from a version that it doesn't have
            }
            std::map<std::uint64_t, Json> changes;
            for (const auto &[key, row] : m_rows) {
                if (std::get<0>(key) == request.query("Table") && row.version > after) {
                    changes[row.version].push_back(jsonOf(key, row));
                }
            }
            for (const auto &[version, rows] : changes) {
                for (const Json &row : rows) {
                    body["Rows"].push_back(row);
                }
            }
            if (!changes.empty() || Clock::now() >= until) {
                body["Ver"] = m_version;
                return answerOf(200, body);
            }
            m_changed.wait_until(lock, until);
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::uint64_t m_version = 1;
    std::atomic<std::uint64_t> m_era{1};
    std::map<Key, Row> m_copyRows;
    std::uint64_t m_copyVersion = 1;
    std::atomic<bool> m_stopping{false};
    std::vector<std::unique_ptr<Door>> m_doors;
};

//-----------------------------------------------------------------------------
// Processes of the daemon
//-----------------------------------------------------------------------------

struct NodeSetup {
    std::string name;
    std::string zone;
    std::string store; // address
    std::string regions; // JSON: region of each zone
    // Limits and bounds of the site; those of chakra-kolkata.
    std::string bounds = "cores: 0.25\nmemory_mb: 260\nmax_descriptors: 4100\nrevocation_bound_ms: 5000\nrecovery_bound_ms: 3000\ndrain_bound_ms: 2000\n"
                         "stop_limit_s: 8.0\nretry_window_s: 10\nretry_ratio: 0.2\nretry_extra: 54\n";
};

// A process of vanillanotch-entryd with the settings of a machine of the site.
class Node
{
public:
    Node(const std::string &root, const std::string &folder, const NodeSetup &setup)
        : m_root(root)
        , m_settings(folder + "/" + setup.name + ".yaml")
        , m_log(folder + "/" + setup.name + ".log")
        , m_name(setup.name)
        , m_callers(freePort())
        , m_ready(freePort())
    {
        std::ofstream(m_settings) << "node: \"" << setup.name << "\"\ndata_centre: \"" << setup.zone << "\"\nregions: " << setup.regions
                                  << "\ncaller_address: \"" << addressOf(m_callers) << "\"\nreadiness_address: \"" << addressOf(m_ready)
                                  << "\"\npeer_address: \"" << addressOf(freePort()) << "\"\nstore_address: \"" << setup.store << "\"\n"
                                  << setup.bounds;
        start();
    }
    ~Node()
    {
        kill(SIGKILL);
    }
    void start()
    {
        const std::string program = m_root + "/target/src/vanillanotch-entryd"; // the command of deploy/system.toml
        const std::string variable = "VANILLANOTCH_CONFIG=" + m_settings;
        m_process = ::fork();
        if (m_process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with the script, however that ends
            const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            (void)!::chdir(m_root.c_str());
            char *const arguments[] = {const_cast<char *>(program.c_str()), nullptr};
            char *const variables[] = {const_cast<char *>(variable.c_str()), nullptr};
            ::execve(program.c_str(), arguments, variables);
            ::_exit(127);
        }
    }
    void kill(int signal)
    {
        if (m_process > 0) {
            ::kill(m_process, signal);
            if (signal == SIGKILL) {
                ::waitpid(m_process, nullptr, 0);
                m_process = -1;
            }
        }
    }
    bool running() // false: the process has ended by itself
    {
        return m_process > 0 && ::waitpid(m_process, nullptr, WNOHANG) == 0;
    }
    int callers() const
    {
        return m_callers;
    }
    int readiness() const
    {
        return m_ready;
    }
    const std::string &name() const
    {
        return m_name;
    }

private:
    const std::string m_root;
    const std::string m_settings;
    const std::string m_log;
    const std::string m_name;
    const int m_callers;
    const int m_ready;
    pid_t m_process = -1;
};

//-----------------------------------------------------------------------------
// Clients
//-----------------------------------------------------------------------------

struct Reply {
    int status = 0; // 0: none came
    Fields fields;
    std::string body;
    bool complete = false;
};

inline int connectTo(int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return descriptor;
}

// Reads a reply to its end. `onBytes` sees the body as it grows.
inline Reply readReply(int descriptor, Clock::time_point until, const std::function<void(const std::string &)> &onBytes = {})
{
    Reply reply;
    Reader reader(descriptor);
    std::string line;
    if (!reader.head(line, reply.fields, until) || line.size() < 12) {
        return reply;
    }
    reply.status = std::stoi(line.substr(9, 3));
    const bool chunked = sameName(reply.fields.get("Transfer-Encoding"), "chunked");
    const std::string length = reply.fields.get("Content-Length");
    for (;;) {
        std::string &bytes = reader.bytes();
        if (chunked) {
            for (;;) {
                const std::size_t end = bytes.find("\r\n");
                if (end == std::string::npos) {
                    break;
                }
                const std::size_t size = std::stoul(bytes.substr(0, end), nullptr, 16);
                if (bytes.size() < end + 2 + size + 2) {
                    break;
                }
                reply.body += bytes.substr(end + 2, size);
                bytes.erase(0, end + 2 + size + 2);
                if (size == 0) {
                    reply.complete = true;
                    return reply;
                }
                if (onBytes) {
                    onBytes(reply.body);
                }
            }
        } else {
            reply.body += bytes;
            bytes.clear();
            if (!length.empty() && reply.body.size() >= std::stoul(length)) {
                reply.complete = true;
                return reply;
            }
            if (onBytes) {
                onBytes(reply.body);
            }
        }
        if (!reader.more(until)) {
            reply.complete = !chunked && length.empty() && reader.ended() && !reader.wasReset();
            return reply;
        }
    }
}

inline Reply call(int port, const std::string &request, milliseconds limit, const std::function<void(const std::string &)> &onBytes = {})
{
    const int descriptor = connectTo(port);
    if (descriptor < 0) {
        return Reply{};
    }
    Reply reply;
    if (sendAll(descriptor, request)) {
        reply = readReply(descriptor, Clock::now() + limit, onBytes);
    }
    ::close(descriptor);
    return reply;
}

inline bool isReady(const Node &node)
{
    return call(node.readiness(), "GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", milliseconds(500)).status == 200;
}

inline bool eventually(const std::function<bool()> &done, milliseconds limit)
{
    const auto until = Clock::now() + limit;
    while (!done()) {
        if (Clock::now() >= until) {
            return false;
        }
        sleepMs(50);
    }
    return true;
}

//-----------------------------------------------------------------------------
// Script
//-----------------------------------------------------------------------------

constexpr int Held = 0; // the rule held
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

struct Script {
    std::string root; // of the repository
    std::string folder; // temporary; removed by run.sh
    std::string record; // record.txt of the case
    bool trouble = true;
    bool killOnly = false; // a control: of the disruptions only the kill of a process
};

// Arguments: the repository, the case's record.txt, a temporary folder. TROUBLE=0 in the environment: without any disruption; TROUBLE=kill: in the cases that
// know it, a control with the kill of a process only.
inline int runScript(int argc, char **argv, const std::function<int(const Script &)> &body)
{
    if (argc != 4) {
        std::cerr << "usage: PROGRAM REPOSITORY RECORD-FILE TEMPORARY-FOLDER\n";
        return CouldNotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    ::alarm(118); // a script runs for 120 s at most
    record().open(argv[2]);
    const char *const trouble = std::getenv("TROUBLE");
    const std::string word = trouble == nullptr ? std::string("1") : std::string(trouble);
    const Script script{argv[1], argv[3], argv[2], word != "0" && word != "kill", word == "kill"};
    record().add(script.trouble ? "begins, with the disruption" : script.killOnly ? "begins, with the kill only" : "begins, without the disruption");
    int result = CouldNotRun;
    try {
        result = body(script);
    } catch (const std::exception &exception) {
        record().add(std::string("the script failed: ") + exception.what());
    }
    record().add(result == Held ? "RESULT: the rule held" : result == Broken ? "RESULT: the rule was broken" : "RESULT: the case could not run");
    std::cout << (result == Held ? "held" : result == Broken ? "broken" : "could not run") << std::endl;
    std::_Exit(result);
}

} // namespace review
