/* Buffered, non-blocking output of log lines. When the reader is too slow,
 * lines are dropped and counted instead of blocking the event loop. */
#ifndef CAROBWIND_SHARE_LOG_OUTPUT_H
#define CAROBWIND_SHARE_LOG_OUTPUT_H

#include <ev.h>

/* Bytes buffered for a slow reader; lines beyond that are dropped. */
#define CbwLogOutput_BUFFER_SIZE 65536

/* Sends the process's log to descriptor `fd`, which is made non-blocking, and
 * flushes it each time before `loop` waits for events. */
void CbwLogOutput_Start(struct ev_loop *loop, int fd);
/* Writes as much of the buffer as is possible without blocking. */
void CbwLogOutput_Flush(void);
/* The number of lines dropped since the start of the process. */
unsigned long CbwLogOutput_DroppedLines(void);

#endif
