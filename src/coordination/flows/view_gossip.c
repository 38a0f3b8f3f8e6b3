#include "coordination/flows/view_gossip.h"

#include <string.h>

#define US_PER_MS INT64_C(1000)
#define PERIOD_US INT64_C(200000)
/* Number of random peers that get an announcement in each period, and after a
 * change. */
#define PERIOD_FANOUT 3
#define CHANGE_FANOUT 4
/* Maximum number of replies to peers with an older version in each period. */
#define REPLIES_MAX 64
/* A peer whose confirmation is older than the own one by more than this gets
 * an announcement in reply: some processes of a large fleet are missed by the
 * announcements of several periods. */
#define REPLY_AGE_DIFFERENCE_US INT64_C(600000)
/* Readers confirm the version at least once a second, and it takes a few
 * periods to spread. */
#define FALLBACK_DELAY_US INT64_C(1400000)
#define FALLBACK_JITTER_US 500000
/* A process that is no reader stops reading from the platform when a peer's
 * version was confirmed this recently. */
#define CURRENT_MAX_AGE_US INT64_C(800000)
/* Peers without announcements for longer are removed. */
#define PEER_IDLE_US INT64_C(10000000)
#define NEVER_US (INT64_MIN / 2)

static uint32_t
age_ms(const struct GbViewGossip *self)
{
    int64_t age = GbViewGossip_AgeUs(self) / US_PER_MS;

    return (uint32_t)CLAMP(age, 0, UINT32_MAX);
}

static void
announce_to(struct GbViewGossip *self, uint32_t ipv4)
{
    struct GbViewVersion version = GbViewStore_Version(self->store);

    self->port->klass->announce(self->port, ipv4, &version, age_ms(self));
}

/* Returns the address at an index in the peers followed by the listed
 * instances, or 0 if it is the own address. */
static uint32_t
address_at(const struct GbViewGossip *self, uint32_t at)
{
    const struct GbViewEntry *entry;
    uint32_t ipv4;

    if (at < self->peer_count) {
        ipv4 = self->peers[at].ipv4;
    }
    else {
        entry = self->store->entries->pdata[at - self->peer_count];
        ipv4 = entry->instance.address.ipv4;
    }
    return ipv4 != self->config.own_ipv4 ? ipv4 : 0;
}

static void
announce_to_random(struct GbViewGossip *self, uint32_t fanout)
{
    uint32_t known = self->peer_count + self->store->entries->len;

    for (uint32_t i = 0; known > 0 && i < fanout; i++) {
        uint32_t ipv4 = address_at(self, GbRandom_Below(self->random, known));

        if (ipv4 != 0) {
            announce_to(self, ipv4);
        }
    }
    self->announced_version = GbViewStore_Version(self->store);
}

static void
remove_idle_peers(struct GbViewGossip *self, int64_t now_us)
{
    for (uint32_t i = 0; i < self->peer_count;) {
        /* Seeds have no time of a last announcement and stay. */
        if (self->peers[i].last_seen_us != 0 &&
            now_us - self->peers[i].last_seen_us > PEER_IDLE_US) {
            self->peers[i] = self->peers[--self->peer_count];
        }
        else {
            i++;
        }
    }
}

/* Processes in the instance list are known from it. The table is for those
 * that are missing from it, as balancers are. */
static void
record_peer(struct GbViewGossip *self, uint32_t ipv4, int64_t now_us)
{
    if (GbViewStore_HasIpv4(self->store, ipv4)) {
        return;
    }
    for (uint32_t i = 0; i < self->peer_count; i++) {
        if (self->peers[i].ipv4 == ipv4) {
            if (self->peers[i].last_seen_us != 0) {
                self->peers[i].last_seen_us = now_us;
            }
            return;
        }
    }
    if (self->peer_count < GB_VIEW_PEERS_MAX) {
        self->peers[self->peer_count].ipv4 = ipv4;
        self->peers[self->peer_count++].last_seen_us = now_us;
    }
}

static bool
should_read(const struct GbViewGossip *self, int64_t now_us)
{
    if (self->config.is_reader) {
        return true;
    }
    if (!self->startup.is_done) {
        return GbViewStartup_ShouldRead(&self->startup,
                                        self->pull_peer_ipv4 != 0, now_us);
    }
    if (self->is_reading) {
        return now_us - self->peer_confirmed_us > CURRENT_MAX_AGE_US;
    }
    return now_us - MAX(self->confirmed_us, self->started_us) >
           self->fallback_delay_us;
}

static void
update_reading(struct GbViewGossip *self, int64_t now_us)
{
    bool is_wanted = should_read(self, now_us);

    if (is_wanted != self->is_reading) {
        self->is_reading = is_wanted;
        self->port->klass->read_platform(self->port, is_wanted);
    }
}

static void
finish_startup(struct GbViewGossip *self)
{
    if (self->startup.is_done) {
        return;
    }
    GbViewStartup_Finish(&self->startup);
    self->started_us = GbClock_MonotonicUs(self->clock);
    if (self->is_reading && !self->config.is_reader) {
        self->is_reading = false;
        self->port->klass->read_platform(self->port, false);
    }
}

static void
start_pull(struct GbViewGossip *self, uint32_t ipv4)
{
    self->pull_peer_ipv4 = ipv4;
    self->port->klass->pull(self->port, ipv4);
}

void
GbViewGossip_Init(struct GbViewGossip *self,
                  const struct GbViewGossipConfig *config,
                  struct GbViewGossipPort *port, struct GbViewStore *store,
                  struct GbClock *clock, struct GbRandom *random)
{
    memset(self, 0, sizeof(*self));
    self->config = *config;
    self->port = port;
    self->store = store;
    self->clock = clock;
    self->random = random;
    self->confirmed_us = NEVER_US;
    self->peer_confirmed_us = NEVER_US;
    self->next_round_us = GbClock_MonotonicUs(clock);
    GbViewStartup_Init(&self->startup, config->is_view_urgent,
                       self->next_round_us, random);
    self->replies_left = REPLIES_MAX;
    self->fallback_delay_us =
        FALLBACK_DELAY_US + GbRandom_Below(random, FALLBACK_JITTER_US);
}

void
GbViewGossip_AddPeer(struct GbViewGossip *self, uint32_t ipv4)
{
    record_peer(self, ipv4, 0);
}

void
GbViewGossip_SetReader(struct GbViewGossip *self, bool is_reader)
{
    self->config.is_reader = is_reader;
}

void
GbViewGossip_RecordConfirmation(struct GbViewGossip *self)
{
    self->confirmed_us = GbClock_MonotonicUs(self->clock);
    finish_startup(self);
}

void
GbViewGossip_AnnounceChange(struct GbViewGossip *self)
{
    struct GbViewVersion version = GbViewStore_Version(self->store);

    if (GbViewVersion_IsAhead(&version, &self->announced_version)) {
        announce_to_random(self, CHANGE_FANOUT);
    }
}

void
GbViewGossip_ReceiveAnnouncement(struct GbViewGossip *self, uint32_t from_ipv4,
                                 const struct GbViewVersion *version,
                                 uint32_t peer_age_ms)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);
    int64_t confirmed_us = now_us - (int64_t)peer_age_ms * US_PER_MS;
    struct GbViewVersion own = GbViewStore_Version(self->store);

    record_peer(self, from_ipv4, now_us);
    if (GbViewVersion_IsAhead(version, &own)) {
        if (self->pull_peer_ipv4 == 0) {
            start_pull(self, from_ipv4);
        }
        return;
    }
    if (self->replies_left > 0 &&
        (GbViewVersion_IsAhead(&own, version) ||
         self->confirmed_us - confirmed_us > REPLY_AGE_DIFFERENCE_US)) {
        self->replies_left--;
        announce_to(self, from_ipv4);
    }
    self->peer_confirmed_us = MAX(self->peer_confirmed_us, confirmed_us);
    self->confirmed_us = MAX(self->confirmed_us, confirmed_us);
}

void
GbViewGossip_FinishPull(struct GbViewGossip *self)
{
    self->pull_peer_ipv4 = 0;
    if (GbViewStore_IsComplete(self->store)) {
        finish_startup(self);
    }
}

int64_t
GbViewGossip_AgeUs(const struct GbViewGossip *self)
{
    return GbClock_MonotonicUs(self->clock) - self->confirmed_us;
}

int64_t
GbViewGossip_NextTimerUs(const struct GbViewGossip *self)
{
    if (self->config.is_reader || self->is_reading) {
        return self->next_round_us;
    }
    return MIN(
        self->next_round_us,
        GbViewStartup_NextTimerUs(&self->startup, self->pull_peer_ipv4 != 0));
}

void
GbViewGossip_Tick(struct GbViewGossip *self)
{
    int64_t now_us = GbClock_MonotonicUs(self->clock);

    if (!self->startup.is_done) {
        update_reading(self, now_us);
    }
    if (now_us < self->next_round_us) {
        return;
    }
    self->next_round_us = now_us + PERIOD_US;
    self->replies_left = REPLIES_MAX;
    remove_idle_peers(self, now_us);
    announce_to_random(self, PERIOD_FANOUT);
    update_reading(self, now_us);
}
