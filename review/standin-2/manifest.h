#ifndef REVIEW_MANIFEST_H
#define REVIEW_MANIFEST_H

#include <stdint.h>

/* Manifests of a small deployment. */

struct ManifestRoute {
    uint16_t port;
    const char *service;
    const char *kind;
    int timeout_ms;
    int latency_goal_ms;
};

/* Writes a version with these routes to the store. */
void Manifest_Put(int version, const struct ManifestRoute *routes, int count);

#endif
