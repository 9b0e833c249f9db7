/*
 * Injects failures of system calls into a process under test. The library is preloaded (LD_PRELOAD) and maps a file of rules
 * (SYSTEM_CALL_FAULTS) that the test maps too, so that faults begin and end without a restart. Each rule counts the calls
 * that it made fail.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum call { CALL_NONE, CALL_SOCKET, CALL_CONNECT, CALL_ACCEPT, CALL_READ, CALL_WRITE, CALL_POLL, CALL_EPOLL_WAIT, CALL_OPEN,
    CALL_CLOCK };

#define RULES 16
#define NAME_BYTES 64

/* One rule; SystemCallFaults.java uses the same layout. */
struct rule {
    int32_t call;          /* enum call; 0 while the rule is off */
    int32_t error;         /* errno; 0 for a short read or write; seconds by which the wall clock is off */
    int32_t permille;      /* of the calls that match */
    int32_t port;          /* local or remote port of the socket; 0 for any */
    int32_t max_bytes;     /* of a short read or write */
    uint32_t random;       /* state of the random generator, initially the seed */
    int64_t struck;        /* calls that failed so far */
    char name[NAME_BYTES]; /* part of a file's name, for open */
};

static struct rule *rules;

__attribute__((constructor)) static void map_rules(void) {
    const char *file = getenv("SYSTEM_CALL_FAULTS");
    int (*real_open)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
    int fd = file ? real_open(file, O_RDWR) : -1;
    if (fd >= 0) {
        void *at = mmap(NULL, RULES * sizeof(struct rule), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
        rules = at == MAP_FAILED ? NULL : at;
        close(fd);
    }
}

static int port_of(const struct sockaddr *address) {
    return address->sa_family == AF_INET ? ntohs(((const struct sockaddr_in *)address)->sin_port)
        : address->sa_family == AF_INET6 ? ntohs(((const struct sockaddr_in6 *)address)->sin6_port) : -1;
}

static int socket_has_port(int fd, int port) {
    struct sockaddr_storage address;
    socklen_t length = sizeof address;
    if (getsockname(fd, (struct sockaddr *)&address, &length) != 0) {
        return 0;
    }
    if (port == 0 || port_of((struct sockaddr *)&address) == port) {
        return port_of((struct sockaddr *)&address) > 0;
    }
    length = sizeof address;
    return getpeername(fd, (struct sockaddr *)&address, &length) == 0 && port_of((struct sockaddr *)&address) == port;
}

static int is_selected(struct rule *rule) {
    uint32_t next = __atomic_load_n(&rule->random, __ATOMIC_RELAXED) * 1664525u + 1013904223u;
    __atomic_store_n(&rule->random, next, __ATOMIC_RELAXED);
    return (int32_t)((next >> 8) % 1000) < rule->permille;
}

/* Finds the rule that applies to this call, and counts it; fd, address and name are -1 or NULL if the call has none. */
static struct rule *matching_rule(enum call call, int fd, const struct sockaddr *address, const char *name) {
    int saved = errno;
    struct rule *found = NULL;
    for (int i = 0; rules && i < RULES && !found; i++) {
        struct rule *rule = &rules[i];
        if (__atomic_load_n(&rule->call, __ATOMIC_ACQUIRE) != (int32_t)call) {
            continue;
        }
        int matches = name ? strstr(name, rule->name) != NULL
            : address ? rule->port == 0 || port_of(address) == rule->port
            : fd >= 0 ? socket_has_port(fd, rule->port) : 1;
        if (matches && is_selected(rule)) {
            __atomic_add_fetch(&rule->struck, 1, __ATOMIC_RELAXED);
            found = rule;
        }
    }
    errno = saved;
    return found;
}

static int fails(struct rule *rule) {
    if (rule && rule->error) {
        errno = rule->error;
        return 1;
    }
    return 0;
}

static size_t limited_count(struct rule *rule, size_t count) {
    return rule && (size_t)rule->max_bytes < count ? (size_t)rule->max_bytes : count;
}

#define REAL(name) __typeof__(&name) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

int socket(int domain, int type, int protocol) {
    REAL(socket);
    return fails(matching_rule(CALL_SOCKET, -1, NULL, NULL)) ? -1 : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    return fails(matching_rule(CALL_CONNECT, fd, address, NULL)) ? -1 : real(fd, address, length);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(accept);
    return fails(matching_rule(CALL_ACCEPT, fd, NULL, NULL)) ? -1 : real(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    return fails(matching_rule(CALL_ACCEPT, fd, NULL, NULL)) ? -1 : real(fd, address, length, flags);
}

ssize_t read(int fd, void *buffer, size_t count) {
    REAL(read);
    struct rule *rule = matching_rule(CALL_READ, fd, NULL, NULL);
    return fails(rule) ? -1 : real(fd, buffer, limited_count(rule, count));
}

ssize_t recv(int fd, void *buffer, size_t count, int flags) {
    REAL(recv);
    struct rule *rule = matching_rule(CALL_READ, fd, NULL, NULL);
    return fails(rule) ? -1 : real(fd, buffer, limited_count(rule, count), flags);
}

ssize_t write(int fd, const void *buffer, size_t count) {
    REAL(write);
    struct rule *rule = matching_rule(CALL_WRITE, fd, NULL, NULL);
    return fails(rule) ? -1 : real(fd, buffer, limited_count(rule, count));
}

ssize_t send(int fd, const void *buffer, size_t count, int flags) {
    REAL(send);
    struct rule *rule = matching_rule(CALL_WRITE, fd, NULL, NULL);
    return fails(rule) ? -1 : real(fd, buffer, limited_count(rule, count), flags);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(clock_gettime);
    int result = real(clock, time);
    struct rule *rule = clock == CLOCK_REALTIME ? matching_rule(CALL_CLOCK, -1, NULL, NULL) : NULL;
    time->tv_sec += rule ? rule->error : 0;
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    struct timespec now;
    int result = clock_gettime(CLOCK_REALTIME, &now);
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / 1000;
    (void)zone;
    return result;
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
    REAL(poll);
    return fails(matching_rule(CALL_POLL, -1, NULL, NULL)) ? -1 : real(fds, count, timeout);
}

int epoll_wait(int epoll, struct epoll_event *events, int max_events, int timeout) {
    REAL(epoll_wait);
    return fails(matching_rule(CALL_EPOLL_WAIT, -1, NULL, NULL)) ? -1 : real(epoll, events, max_events, timeout);
}

static int open_with(const char *real_name, const char *name, int flags, va_list more) {
    int (*real)(const char *, int, ...) = (int (*)(const char *, int, ...))dlsym(RTLD_NEXT, real_name);
    int mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(more, int) : 0;
    return fails(matching_rule(CALL_OPEN, -1, NULL, name)) ? -1 : real(name, flags, mode);
}

int open(const char *name, int flags, ...) {
    va_list more;
    va_start(more, flags);
    int fd = open_with("open", name, flags, more);
    va_end(more);
    return fd;
}

int open64(const char *name, int flags, ...) {
    va_list more;
    va_start(more, flags);
    int fd = open_with("open64", name, flags, more);
    va_end(more);
    return fd;
}
