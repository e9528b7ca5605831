/* Log lines on standard output, gathered and written without blocking: what a
 * reader does not take is dropped and counted. */
#ifndef CAROBWIND_SHARE_LOG_OUTPUT_H
#define CAROBWIND_SHARE_LOG_OUTPUT_H

#include <ev.h>

/* Bytes that wait for a slow reader before lines are dropped. */
#define CbwLogOutput_BUFFER_SIZE 65536

/* Makes the loop's process log to descriptor `fd`. */
void CbwLogOutput_Start(struct ev_loop *loop, int fd);
/* Writes what waits, as far as that is possible at once. */
void CbwLogOutput_Flush(void);
/* Lines that were dropped since the start. */
unsigned long CbwLogOutput_DroppedLines(void);

#endif
