/* Times of the kernel's work at the target size. */
#ifndef BENCH_DECISIONS_SIZE_H
#define BENCH_DECISIONS_SIZE_H

/* Prints what one host does and keeps at 1,500 hosts and 3,800 databases. */
void Size_Report(void);

#endif
