#ifndef GB_STATE_XXHASH_INLINE_H
#define GB_STATE_XXHASH_INLINE_H

/* Inlined xxhash, for keys of a few bytes whose hash costs less than a call
 * into the library. The library's default access on some architectures reads
 * through a packed union, which violates strict aliasing once it is inlined
 * beside the code that wrote the bytes; memcpy does not. */
#define XXH_INLINE_ALL
#define XXH_FORCE_MEMORY_ACCESS 0
#include <xxhash.h>

#endif
