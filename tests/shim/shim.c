/* A library that the tests preload into the program's own processes: system calls fail as Linux documents.
 *
 * What fails, and how often, stands in a file that the test maps as well (tests/shim/__init__.py has the same
 * layout). Every fault that was given is counted there, so that a test can show that it reached the program.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

struct fault {
    int64_t error;   /* errno; 0: off */
    int64_t percent; /* of the calls */
    int64_t given;   /* so many times by now */
};

struct control {
    int64_t seed;
    struct fault accept, socket, connect, read, write;
    struct fault short_read, short_write; /* `error`: bytes at most */
    struct fault hold_up;                 /* `error`: milliseconds, before a write to a socket */
    struct fault wall_clock;              /* `error`: seconds that the wall clock is ahead */
    struct fault folder;                  /* opens for writing, writes and renames of regular files */
};

static struct control *control;
static uint64_t state;

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("OPALGAUGE_SHIM");
    int (*open_)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
    if (path == NULL) return;
    int fd = open_(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    void *at = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (at == MAP_FAILED) return;
    control = at;
    state = (uint64_t)control->seed * 2654435761u + 88172645463325252u;
}

static int drawn(struct fault *fault) {
    if (control == NULL || fault->error == 0) return 0;
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    if ((int64_t)(state % 100) >= fault->percent) return 0;
    __atomic_add_fetch(&fault->given, 1, __ATOMIC_RELAXED);
    return 1;
}

static int kind_of(int fd) {
    struct stat found;
    int kept = errno;
    int kind = fstat(fd, &found) == 0 ? (int)(found.st_mode & S_IFMT) : 0;
    errno = kept;
    return kind;
}

#define REAL(name) \
    static __typeof__(&name) real; \
    if (real == NULL) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

#define FAIL(field) \
    if (control != NULL && drawn(&control->field)) { \
        errno = (int)control->field.error; \
        return -1; \
    }

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    FAIL(accept)
    return real(fd, address, length, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(accept);
    FAIL(accept)
    return real(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (domain == AF_INET && (type & 0xf) == SOCK_STREAM) {
        FAIL(socket)
    }
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    if (address->sa_family == AF_INET) {
        FAIL(connect)
    }
    return real(fd, address, length);
}

static size_t at_most(struct fault *fault, size_t count) {
    return count > (size_t)fault->error && drawn(fault) ? (size_t)fault->error : count;
}

ssize_t read(int fd, void *buffer, size_t count) {
    REAL(read);
    if (control != NULL && (control->read.error || control->short_read.error) && kind_of(fd) == S_IFSOCK) {
        FAIL(read)
        if (control->short_read.error) count = at_most(&control->short_read, count);
    }
    return real(fd, buffer, count);
}

static void hold(void) {
    if (control != NULL && control->hold_up.error && drawn(&control->hold_up)) {
        struct timespec span = {control->hold_up.error / 1000, control->hold_up.error % 1000 * 1000000};
        int kept = errno;
        nanosleep(&span, NULL);
        errno = kept;
    }
}

static int faulty_writes(void) {
    return control != NULL
        && (control->write.error || control->short_write.error || control->hold_up.error || control->folder.error);
}

ssize_t write(int fd, const void *buffer, size_t count) {
    REAL(write);
    if (faulty_writes()) {
        int kind = kind_of(fd);
        if (kind == S_IFREG) {
            FAIL(folder)
        }
        if (kind == S_IFSOCK) {
            hold();
            FAIL(write)
            if (control->short_write.error) count = at_most(&control->short_write, count);
        }
    }
    return real(fd, buffer, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (faulty_writes() && kind_of(fd) == S_IFSOCK) {
        hold();
        FAIL(write)
        if (control->short_write.error && count > 0 && parts[0].iov_len > 1 && drawn(&control->short_write)) {
            struct iovec first = parts[0];
            if (first.iov_len > (size_t)control->short_write.error) first.iov_len = (size_t)control->short_write.error;
            return real(fd, &first, 1);
        }
    }
    return real(fd, parts, count);
}

static int opens_for_writing(int flags) { return (flags & (O_WRONLY | O_RDWR | O_CREAT)) != 0; }

#define OPEN(name) \
    int name(const char *path, int flags, ...) { \
        REAL(name); \
        va_list more; \
        va_start(more, flags); \
        mode_t mode = va_arg(more, mode_t); \
        va_end(more); \
        if (opens_for_writing(flags) && strncmp(path, "/dev/", 5) != 0) { \
            FAIL(folder) \
        } \
        return real(path, flags, mode); \
    }

OPEN(open)
OPEN(open64)

int rename(const char *from, const char *to) {
    REAL(rename);
    FAIL(folder)
    return real(from, to);
}

int fsync(int fd) {
    REAL(fsync);
    FAIL(folder)
    return real(fd);
}

int clock_gettime(clockid_t clock, struct timespec *at) {
    REAL(clock_gettime);
    int done = real(clock, at);
    if (done == 0 && control != NULL && clock == CLOCK_REALTIME && control->wall_clock.error) {
        at->tv_sec += control->wall_clock.error;
        __atomic_add_fetch(&control->wall_clock.given, 1, __ATOMIC_RELAXED);
    }
    return done;
}

int gettimeofday(struct timeval *at, void *zone) {
    struct timespec now;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &now);
    at->tv_sec = now.tv_sec;
    at->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *at) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (at != NULL) *at = now.tv_sec;
    return now.tv_sec;
}
