#ifndef GB_DEMO_DEMO_H
#define GB_DEMO_DEMO_H

#define GB_DEMO_HINTS "hints"
#define GB_DEMO_PACKS "packs"
#define GB_DEMO_PACK_BYTES 4500000
/* The same number as text, for a flag of the targets. */
#define GB_DEMO_PACK_BYTES_TEXT "4500000"

#endif
