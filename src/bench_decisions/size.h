/* Time and memory requirements of the kernel (libcarobwind) at the target size
 * of the fleet. */
#ifndef BENCH_DECISIONS_SIZE_H
#define BENCH_DECISIONS_SIZE_H

/* Prints the time and memory requirements of a host in a fleet of 1,500 hosts
 * and 3,800 databases. */
void Size_Report(void);

#endif
