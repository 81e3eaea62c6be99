// Preloaded into a node's process: takes its way to the backend servers, as a partition of the network does. The file that PARTITION_FILE names says how, anew
// for each connection: "pass", or "PORT" and the ports that can't be reached. Connections to these go to PORT instead, where a test listens, or are refused if
// it is 0.
#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <dlfcn.h>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>

extern "C" int connect(int descriptor, const sockaddr *address, socklen_t size)
{
    using Connect = int (*)(int, const sockaddr *, socklen_t);
    static const auto next = reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
    const char *path = std::getenv("PARTITION_FILE");
    if (path == nullptr || address->sa_family != AF_INET) {
        return next(descriptor, address, size);
    }
    sockaddr_in target = *reinterpret_cast<const sockaddr_in *>(address);
    std::ifstream file(path);
    int substitute = -1;
    if (!(file >> substitute)) { // "pass"
        return next(descriptor, address, size);
    }
    for (int port = 0; file >> port;) {
        if (port != ntohs(target.sin_port)) {
            continue;
        }
        if (substitute == 0) {
            errno = ECONNREFUSED;
            return -1;
        }
        target.sin_port = htons(static_cast<std::uint16_t>(substitute));
        return next(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target);
    }
    return next(descriptor, address, size);
}
