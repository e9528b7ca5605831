#include "share/log_output.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "carobwind/log.h"

static int output_fd = -1;
static char buffer[CbwLogOutput_BUFFER_SIZE];
static size_t buffered;
static unsigned long dropped_lines;
static ev_prepare prepare_watcher;

static cbw_time_t
time_of_day(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (cbw_time_t)now.tv_sec * Cbw_SEC + now.tv_nsec / 1000;
}

void
CbwLogOutput_Flush(void)
{
    ssize_t written;

    if (buffered == 0) {
        return;
    }
    written = write(output_fd, buffer, buffered);
    if (written < 0) {
        if (errno != EAGAIN && errno != EINTR) {
            /* The error cannot be logged either. */
            buffered = 0;
        }
        return;
    }
    buffered -= (size_t)written;
    memmove(buffer, buffer + written, buffered);
}

static void
write_line(const char *line, size_t size)
{
    if (buffered + size > sizeof(buffer)) {
        CbwLogOutput_Flush();
    }
    if (buffered + size > sizeof(buffer)) {
        dropped_lines++;
        return;
    }
    memcpy(buffer + buffered, line, size);
    buffered += size;
}

static void
on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
    (void)loop;
    (void)watcher;
    (void)events;
    CbwLogOutput_Flush();
}

unsigned long
CbwLogOutput_DroppedLines(void)
{
    return dropped_lines;
}

static const cbw_log_output_t log_output = {.time_of_day = time_of_day,
                                            .write = write_line};

void
CbwLogOutput_Start(struct ev_loop *loop, int fd)
{
    int flags = fcntl(fd, F_GETFL);

    output_fd = fd;
    if (flags >= 0) {
        fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    }
    CbwLog_SetOutput(&log_output);
    ev_prepare_init(&prepare_watcher, on_prepare);
    ev_prepare_start(loop, &prepare_watcher);
}
