#ifndef GB_TESTS_SUPPORT_FAKE_STORE_H
#define GB_TESTS_SUPPORT_FAKE_STORE_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "state/address.h"

#define GB_FAKE_STORE_WATCHES_MAX 16

/* Answer to one watch. */
struct GbFakeWatch {
    int status;
    /* Revision that the answer names. */
    uint64_t revision;
    /* Key and JSON value of one event; NULL for none. A value of NULL is a
     * removal. */
    const char *key;
    const char *value;
};

/* Stand-in for the platform's store on loopback: one host entry, one
 * configuration, and scripted answers to watches. */
struct GbFakeStore {
    struct evhttp *http;
    struct GbAddress address;
    const char *host_key;
    const char *host_value;
    const char *config_value;
    /* Revision of the last change, and of the configuration. */
    uint64_t revision;
    uint64_t config_revision;
    /* Status of reads; 200 unless set. */
    int read_status;
    const struct GbFakeWatch *watches;
    uint32_t watch_count;
    /* What was asked for. */
    uint32_t list_reads;
    uint32_t config_reads;
    uint32_t watches_answered;
    uint64_t watched_after[GB_FAKE_STORE_WATCHES_MAX];
    /* Is called before each answer to a watch, with its number. */
    void (*before_watch)(struct GbFakeStore *self, uint32_t number);
};

void GbFakeStore_Open(struct GbFakeStore *self, struct event_base *base);

void GbFakeStore_Close(struct GbFakeStore *self);

#endif
