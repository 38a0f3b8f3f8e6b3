#ifndef GB_TESTS_SOAK_STORE_H
#define GB_TESTS_SOAK_STORE_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

/* Stand-in for the platform's key-value store: items with revisions, range
 * reads and watches. It keeps its history until SoakStore_Compact. */
struct SoakStore {
    struct event_base *base;
    struct evhttp *http;
    uint16_t port;
    uint64_t revision;
    /* Watches from a revision below this one are answered with 410. */
    uint64_t compacted_revision;
    /* struct SoakItem by key; a deleted item stays, with a NULL value. */
    GHashTable *items;
    /* Pending struct SoakWatch. */
    GPtrArray *watches;
    /* HTTP status of every response; 0 to serve requests. */
    int error_status;
};

void SoakStore_Open(struct SoakStore *self, struct event_base *base);

void SoakStore_Close(struct SoakStore *self);

/* Writes an item, or deletes it if value is NULL, and answers watches. */
void SoakStore_Put(struct SoakStore *self, const char *key, const char *value);

/* Discards the history: pending watches are answered with 410. */
void SoakStore_Compact(struct SoakStore *self);

/* Answers watches whose wait time has passed. */
void SoakStore_Tick(struct SoakStore *self);

#endif
