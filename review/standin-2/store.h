#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

#include <stdbool.h>
#include <stdint.h>

/* Stand-in for the platform's metadata store: kv-key, kv-range and kv-watch
 * over HTTP/1.1. */

void Store_Open(void);

uint16_t Store_Port(void);

/* Writes an item and returns its revision: the acknowledgement. */
uint64_t Store_Put(const char *key, const char *value);

uint64_t Store_Delete(const char *key);

/* Discards the history: watches from an older revision get 410. */
void Store_Compact(void);

#endif
