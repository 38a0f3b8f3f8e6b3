#ifndef REVIEW_MANIFEST_H
#define REVIEW_MANIFEST_H

#include <stdint.h>

/* Manifests of a small deployment. */

struct ManifestRoute {
    uint16_t port;
    const char *service;
    /* Second backend and its weight of 100; NULL for a single service. */
    const char *second;
    int second_weight;
    const char *kind;
    int timeout_ms;
    int latency_goal_ms;
};

/* Writes a version with these routes to the store. */
void Manifest_Put(int version, const struct ManifestRoute *routes, int count);

#endif
