#include "support/memory_usage.h"

#include <malloc.h>
#include <stdio.h>
#include <unistd.h>

int64_t
memory_heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return (int64_t)(info.uordblks + info.hblkhd);
}

int64_t
memory_resident_bytes(void)
{
    FILE *file = fopen("/proc/self/statm", "r");
    long pages = 0;

    if (file != NULL) {
        if (fscanf(file, "%*s %ld", &pages) != 1) {
            pages = 0;
        }
        fclose(file);
    }
    return (int64_t)pages * sysconf(_SC_PAGESIZE);
}
