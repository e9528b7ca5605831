/* Time and memory that the kernel (libcarobwind) takes at the target size of
 * the fleet. */
#ifndef BENCH_DECISIONS_SIZE_H
#define BENCH_DECISIONS_SIZE_H

/* Prints the time and the memory that one host takes in a fleet of 1,500 hosts
 * and 3,800 databases. */
void Size_Report(void);

#endif
