/* Preloaded by the tests into ingress processes: makes system calls fail in ways that Linux documents.
 *
 * Which calls fail, and how often, is set in a control file that the test maps as well; tests/shim/__init__.py
 * has the same layout. Each injected fault is counted there, so that a test can show that it reached the process.
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
    int64_t value;    /* errno, unless said otherwise; 0: off */
    int64_t percent;  /* percentage of the calls that get it */
    int64_t injected; /* number of times it was injected */
};

struct control {
    int64_t seed;
    struct fault accept, socket, connect, read, write;
    struct fault short_read, short_write; /* `value`: maximum number of bytes */
    struct fault delay_write;             /* `value`: milliseconds to sleep before a write to a socket */
    struct fault wall_clock;              /* `value`: seconds that the wall clock is ahead */
    struct fault file_system;             /* opening for writing, and write, fsync and rename of regular files */
};

static struct control *control;
static uint64_t random_state;

__attribute__((constructor)) static void map_control_file(void) {
    const char *path = getenv("OPALGAUGE_SHIM");
    int (*real_open)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
    if (path == NULL) return;
    int fd = real_open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    void *mapping = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapping == MAP_FAILED) return;
    control = mapping;
    random_state = (uint64_t)control->seed * 2654435761u + 88172645463325252u;
}

static int should_inject(struct fault *fault) {
    if (control == NULL || fault->value == 0) return 0;
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    if ((int64_t)(random_state % 100) >= fault->percent) return 0;
    __atomic_add_fetch(&fault->injected, 1, __ATOMIC_RELAXED);
    return 1;
}

static int file_type(int fd) {
    struct stat status;
    int saved_errno = errno;
    int type = fstat(fd, &status) == 0 ? (int)(status.st_mode & S_IFMT) : 0;
    errno = saved_errno;
    return type;
}

#define REAL(name) \
    static __typeof__(&name) real; \
    if (real == NULL) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

#define FAIL(field) \
    if (control != NULL && should_inject(&control->field)) { \
        errno = (int)control->field.value; \
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

static size_t limited_count(struct fault *fault, size_t count) {
    return count > (size_t)fault->value && should_inject(fault) ? (size_t)fault->value : count;
}

ssize_t read(int fd, void *buffer, size_t count) {
    REAL(read);
    if (control != NULL && (control->read.value || control->short_read.value) && file_type(fd) == S_IFSOCK) {
        FAIL(read)
        if (control->short_read.value) count = limited_count(&control->short_read, count);
    }
    return real(fd, buffer, count);
}

static void delay_if_injected(void) {
    if (control != NULL && control->delay_write.value && should_inject(&control->delay_write)) {
        struct timespec delay = {control->delay_write.value / 1000, control->delay_write.value % 1000 * 1000000};
        int saved_errno = errno;
        nanosleep(&delay, NULL);
        errno = saved_errno;
    }
}

static int write_faults_active(void) {
    return control != NULL
        && (control->write.value || control->short_write.value || control->delay_write.value
            || control->file_system.value);
}

ssize_t write(int fd, const void *buffer, size_t count) {
    REAL(write);
    if (write_faults_active()) {
        int type = file_type(fd);
        if (type == S_IFREG) {
            FAIL(file_system)
        }
        if (type == S_IFSOCK) {
            delay_if_injected();
            FAIL(write)
            if (control->short_write.value) count = limited_count(&control->short_write, count);
        }
    }
    return real(fd, buffer, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (write_faults_active() && file_type(fd) == S_IFSOCK) {
        delay_if_injected();
        FAIL(write)
        if (control->short_write.value && count > 0 && parts[0].iov_len > 1 && should_inject(&control->short_write)) {
            struct iovec first = parts[0];
            if (first.iov_len > (size_t)control->short_write.value) first.iov_len = (size_t)control->short_write.value;
            return real(fd, &first, 1);
        }
    }
    return real(fd, parts, count);
}

static int opens_for_writing(int flags) { return (flags & (O_WRONLY | O_RDWR | O_CREAT)) != 0; }

#define OPEN(name) \
    int name(const char *path, int flags, ...) { \
        REAL(name); \
        va_list arguments; \
        va_start(arguments, flags); \
        mode_t mode = va_arg(arguments, mode_t); \
        va_end(arguments); \
        if (opens_for_writing(flags) && strncmp(path, "/dev/", 5) != 0) { \
            FAIL(file_system) \
        } \
        return real(path, flags, mode); \
    }

OPEN(open)
OPEN(open64)

int rename(const char *from, const char *to) {
    REAL(rename);
    FAIL(file_system)
    return real(from, to);
}

int fsync(int fd) {
    REAL(fsync);
    FAIL(file_system)
    return real(fd);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime);
    int result = real(clock, now);
    if (result == 0 && control != NULL && clock == CLOCK_REALTIME && control->wall_clock.value) {
        now->tv_sec += control->wall_clock.value;
        __atomic_add_fetch(&control->wall_clock.injected, 1, __ATOMIC_RELAXED);
    }
    return result;
}

int gettimeofday(struct timeval *result, void *zone) {
    struct timespec now;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &now);
    result->tv_sec = now.tv_sec;
    result->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *result) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result != NULL) *result = now.tv_sec;
    return now.tv_sec;
}
