#ifndef GB_TESTS_SOAK_STORE_H
#define GB_TESTS_SOAK_STORE_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

/* Stand-in for the platform's store: items with revisions, reads and watches.
 * It keeps its whole history until it is told to drop it. */
struct SoakStore {
    struct event_base *base;
    struct evhttp *http;
    uint16_t port;
    uint64_t revision;
    /* Changes up to this revision are no longer known. */
    uint64_t dropped_revision;
    /* Struct SoakItem by key; removed items stay with a value of NULL. */
    GHashTable *items;
    /* Struct SoakWatch that wait. */
    GPtrArray *watches;
    /* Status of every answer while it is not 0. */
    int refused_status;
};

void SoakStore_Open(struct SoakStore *self, struct event_base *base);

void SoakStore_Close(struct SoakStore *self);

/* Writes an item, or removes it if value is NULL, and answers watches. */
void SoakStore_Put(struct SoakStore *self, const char *key, const char *value);

/* Drops the history: watches that need it are told so. */
void SoakStore_Compact(struct SoakStore *self);

/* Answers watches whose time is over. */
void SoakStore_Tick(struct SoakStore *self);

#endif
