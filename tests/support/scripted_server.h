// A backend server that is a script on a loopback socket, for tests of what a server in trouble sends, byte by byte.
#pragma once

#include "transport/transport.h"

#include <Poco/Net/ServerSocket.h>

#include <linux/filter.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <thread>

namespace vanillanotch::test
{

// A connection of the node, as the script of a server sees it.
class ServerConnection
{
public:
    explicit ServerConnection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    std::string request; // the request's head
    // Receives the head of the next request; false: the node has closed the connection.
    bool receiveHead()
    {
        std::array<char, 4096> buffer{};
        request.clear();
        while (request.find("\r\n\r\n") == std::string::npos) {
            const ssize_t count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
            if (count <= 0) {
                return false;
            }
            request.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return true;
    }
    bool send(std::string_view bytes) // false: the node has closed the connection
    {
        while (!bytes.empty()) {
            const ssize_t count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }
    // Sends the bytes again and again until the node closes the connection or `limit` has passed; true: it was closed.
    bool sendUntilClosed(const std::string &bytes, Duration pause, Duration limit)
    {
        const TimePoint until = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < until) {
            if (!send(bytes)) {
                return true;
            }
            wait(pause);
        }
        return false;
    }
    void wait(Duration time) // ends early when the node closes the connection
    {
        pollfd entry{m_descriptor, POLLRDHUP, 0};
        (void)::poll(&entry, 1, pollTimeout(std::chrono::steady_clock::now() + time).count());
    }
    void pause(Duration time) // whatever the node does
    {
        (void)::poll(nullptr, 0, PollTime(std::chrono::duration_cast<std::chrono::milliseconds>(time)).count());
    }
    // Receives the rest of a request whose body has so many bytes; false: the node has closed the connection before.
    bool receiveRest(std::size_t bodyBytes)
    {
        std::array<char, 16384> buffer{};
        std::size_t received = request.size() - (request.find("\r\n\r\n") + 4);
        while (received < bodyBytes) {
            const ssize_t count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
            if (count <= 0) {
                return false;
            }
            received += static_cast<std::size_t>(count);
        }
        return true;
    }
    // Receives up to `bytes` more; fewer: the node has closed the connection.
    std::string receiveMore(std::size_t bytes)
    {
        std::string more(bytes, '\0');
        std::size_t received = 0;
        while (received < bytes) {
            const ssize_t count = ::recv(m_descriptor, &more[received], bytes - received, 0);
            if (count <= 0) {
                break;
            }
            received += static_cast<std::size_t>(count);
        }
        more.resize(received);
        return more;
    }
    void endSending() // in order; the connection can still receive
    {
        (void)::shutdown(m_descriptor, SHUT_WR);
    }
    // Sends a whole reply while the node's upload goes on. One with a length or chunks is followed by a reset; for another the server takes the rest of the
    // upload, and closes the connection in order.
    void replyDuringUpload(const std::string &fields, const std::string &body, std::size_t uploadBytes)
    {
        (void)send(head(fields) + body);
        if (fields.empty()) {
            endSending();
            (void)receiveRest(uploadBytes);
        } else {
            pause(std::chrono::milliseconds(20));
            reset();
        }
    }
    void reset()
    {
        const linger resetOnClose{1, 0};
        (void)::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
    }
    // From now on the connection is silent, as if its packets were lost: everything that the node sends is dropped without a reply, keep-alive
    // probes too. New connections work.
    bool silence()
    {
        std::array<sock_filter, 1> dropAll{{{BPF_RET | BPF_K, 0, 0, 0}}};
        const sock_fprog program{dropAll.size(), dropAll.data()};
        return ::setsockopt(m_descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) == 0;
    }
    std::string header(const std::string &name) const
    {
        const std::size_t at = request.find("\r\n" + name + ": ");
        if (at == std::string::npos) {
            return {};
        }
        const std::size_t begin = at + name.size() + 4;
        return request.substr(begin, request.find("\r\n", begin) - begin);
    }
    std::string head(const std::string &fields) const // of a successful reply to this request
    {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + header("X-Attempt-Id") + "\r\nX-Server-Seal: s\r\n" + fields + "\r\n";
    }

private:
    const int m_descriptor;
};

// A backend server that runs `script` for each connection, after it has received the head of a request.
class ScriptedServer
{
public:
    std::function<void(ServerConnection &)> script;
    std::atomic<int> requests{0};

    ScriptedServer()
    {
        m_listener.bind(Poco::Net::SocketAddress("127.0.0.1:0"), false, false);
        m_listener.listen(64);
        m_acceptor = std::thread([this] {
            for (;;) {
                const int descriptor = ::accept(m_listener.impl()->sockfd(), nullptr, nullptr);
                if (descriptor < 0 || m_stopping) {
                    return;
                }
                m_workers.emplace_back([this, descriptor] {
                    serve(descriptor);
                });
            }
        });
    }
    ~ScriptedServer()
    {
        stopListening();
        m_acceptor.join();
        for (std::thread &worker : m_workers) {
            worker.join();
        }
    }
    // From now on connections take only so many bytes before the script receives them, so that a node's long upload waits.
    void limitReceiveBuffer(int bytes)
    {
        (void)::setsockopt(m_listener.impl()->sockfd(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    }
    // From now on connections are refused, as after a crash. Those that are open stay open.
    void stopListening()
    {
        m_stopping = true;
        (void)::shutdown(m_listener.impl()->sockfd(), SHUT_RDWR);
    }
    std::string address() const
    {
        return m_listener.address().toString();
    }

private:
    void serve(int descriptor)
    {
        ServerConnection connection(descriptor);
        if (connection.receiveHead()) {
            ++requests;
            script(connection);
        }
        ::close(descriptor);
    }

    Poco::Net::ServerSocket m_listener;
    std::atomic<bool> m_stopping{false};
    std::vector<std::thread> m_workers;
    std::thread m_acceptor;
};

// The beginning of a reply's head that HTTP doesn't allow: a status line and a header line, one of them valid.
struct BrokenHead {
    std::string name; // for messages
    std::string statusLine;
    std::string field;
};

inline std::vector<BrokenHead> brokenHeads()
{
    std::vector<BrokenHead> heads;
    for (const char *status : {"000", "001", "099", "600", "999", "20", "2000", "-20", "+20", " 20", "2x0", "0x1"}) {
        heads.push_back({"status " + std::string(status), "HTTP/1.1 " + std::string(status) + " Text\r\n", ""});
    }
    const std::vector<std::pair<std::string, std::string>> names = {
        {"a blank", "X Field"},
        {"a blank at the end", "X-Field "},
        {"a blank in a framing field", "Transfer Encoding"},
        {"a tab", "X\tField"},
        {"a control byte", "X\x01"},
        {"a NUL", std::string("X\0Field", 7)},
        {"DEL",
         "X\x7f"
         "Field"},
        {"no character", ""},
        {"a carriage return", "X\rField"},
        {"a byte beyond ASCII", "X\xe9"},
        {"a blank at the beginning", " X-Field"},
    };
    for (const auto &[name, field] : names) {
        heads.push_back({"a name with " + name, "HTTP/1.1 200 OK\r\n", field + ": chunked\r\n"});
    }
    heads.push_back({"a line without a colon", "HTTP/1.1 200 OK\r\n", "X-Field\r\n"});
    return heads;
}

inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: text " + std::to_string(id) + "\n\n";
}

inline std::string chunk(const std::string &data)
{
    std::string text;
    appendChunk(text, data);
    return text;
}

inline long peakMemoryKb()
{
    rusage usage{};
    (void)::getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

} // namespace vanillanotch::test
