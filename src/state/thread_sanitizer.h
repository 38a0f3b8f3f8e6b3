#ifndef GB_STATE_THREAD_SANITIZER_H
#define GB_STATE_THREAD_SANITIZER_H

/* Tell ThreadSanitizer that an object passes from one thread to another
 * through a GLib queue. GLib is not instrumented, so that ThreadSanitizer does
 * not see the lock of the queue. Without ThreadSanitizer they do nothing. */
#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#define GB_THREAD_RELEASE(object) __tsan_release(object)
#define GB_THREAD_ACQUIRE(object) __tsan_acquire(object)
#else
#define GB_THREAD_RELEASE(object) ((void)(object))
#define GB_THREAD_ACQUIRE(object) ((void)(object))
#endif

#endif
