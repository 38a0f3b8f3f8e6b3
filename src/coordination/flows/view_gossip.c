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
/* A process whose version is older than this tells peers at once when it is
 * confirmed again, because most processes wait for that. */
#define STALE_AGE_US INT64_C(1400000)
/* A process that is no reader stops reading from the platform when a peer's
 * version was confirmed this recently. */
#define CURRENT_MAX_AGE_US INT64_C(800000)
/* A process with a reduced view asks one peer of its version for the rest in
 * each of these periods: not every peer has it during a rolling update. */
#define COMPLETION_PERIOD_US INT64_C(200000)
/* A process that has started lately asks a peer for the history of the routes,
 * again and again with twice the delay: the first ones may have started lately
 * as well, and after an outage of all nobody has it. */
#define HISTORY_PERIOD_MIN_US INT64_C(200000)
#define HISTORY_PERIOD_MAX_US INT64_C(60000000)
/* Peers without announcements for longer are removed. */
#define PEER_IDLE_US INT64_C(10000000)
/* Peers of a process that has heard from none are the seeds. */
#define SEEDS_MAX 3
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

static uint32_t
known_count(const struct GbViewGossip *self)
{
    return self->peer_count + self->store->entries->len;
}

/* The first of several receivers is one that is missing from the instance
 * list. Not every process knows it, so that it would hear less than others. */
static void
announce_to_random(struct GbViewGossip *self, uint32_t fanout)
{
    uint32_t known = known_count(self);

    for (uint32_t i = 0; known > 0 && i < fanout; i++) {
        bool is_peer = i == 0 && self->peer_count > SEEDS_MAX;
        uint32_t ipv4 = address_at(
            self,
            GbRandom_Below(self->random, is_peer ? self->peer_count : known));

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
           GbViewFallback_DelayUs(&self->fallback, known_count(self),
                                  PERIOD_FANOUT);
}

static void
update_reading(struct GbViewGossip *self, int64_t now_us)
{
    bool is_wanted = should_read(self, now_us);

    if (is_wanted != self->is_reading) {
        self->is_reading = is_wanted;
        GbViewFallback_Redraw(&self->fallback, self->random);
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

/* Records that the stored version was current at this monotonic time. */
static void
confirm(struct GbViewGossip *self, int64_t confirmed_us)
{
    bool was_stale = GbViewGossip_AgeUs(self) > STALE_AGE_US;

    self->confirmed_us = MAX(self->confirmed_us, confirmed_us);
    if (was_stale && self->startup.is_done &&
        GbViewGossip_AgeUs(self) < STALE_AGE_US / 2) {
        announce_to_random(self, CHANGE_FANOUT);
    }
}

static void
start_pull(struct GbViewGossip *self, uint32_t ipv4,
           const struct GbViewVersion *version, int64_t confirmed_us)
{
    self->pull_peer_ipv4 = ipv4;
    self->pull_version = *version;
    self->pull_confirmed_us = confirmed_us;
    self->port->klass->pull(self->port, ipv4);
}

/* Returns true if a peer of the same version should be asked for what the own
 * view lacks. */
static bool
should_complete(const struct GbViewGossip *self, int64_t now_us)
{
    bool is_due = self->store->is_reduced
                      ? now_us >= self->next_completion_us
                      : now_us >= self->next_history_pull_us &&
                            GbViewStore_IsComplete(self->store) &&
                            GbViewStore_NeedsHistory(self->store);

    return is_due && self->pull_peer_ipv4 == 0;
}

static void
start_completion(struct GbViewGossip *self, uint32_t from_ipv4,
                 const struct GbViewVersion *version, int64_t confirmed_us,
                 int64_t now_us)
{
    if (self->store->is_reduced) {
        self->next_completion_us = now_us + COMPLETION_PERIOD_US;
    }
    else {
        self->next_history_pull_us = now_us + self->history_period_us;
        self->history_period_us =
            MIN(2 * self->history_period_us, HISTORY_PERIOD_MAX_US);
    }
    start_pull(self, from_ipv4, version, confirmed_us);
}

/* While changes come one after the other, peers are ahead most of the time,
 * and only a pull brings the version that they confirm. */
static void
confirm_pulled_version(struct GbViewGossip *self)
{
    struct GbViewVersion own = GbViewStore_Version(self->store);

    if (GbViewVersion_IsAhead(&self->pull_version, &own)) {
        GbViewFallback_RecordFailedPull(&self->fallback);
        return;
    }
    self->peer_confirmed_us =
        MAX(self->peer_confirmed_us, self->pull_confirmed_us);
    confirm(self, self->pull_confirmed_us);
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
    self->history_period_us = HISTORY_PERIOD_MIN_US;
    GbViewFallback_Init(&self->fallback, random);
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
    confirm(self, GbClock_MonotonicUs(self->clock));
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
    GbViewFallback_RecordAnnouncement(&self->fallback);
    if (GbViewVersion_IsAhead(version, &own)) {
        if (self->pull_peer_ipv4 == 0) {
            start_pull(self, from_ipv4, version, confirmed_us);
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
    confirm(self, confirmed_us);
    if (!GbViewVersion_IsAhead(&own, version) &&
        should_complete(self, now_us)) {
        start_completion(self, from_ipv4, version, confirmed_us, now_us);
    }
}

void
GbViewGossip_FinishPull(struct GbViewGossip *self)
{
    self->pull_peer_ipv4 = 0;
    confirm_pulled_version(self);
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
    GbViewFallback_EndPeriod(&self->fallback);
    announce_to_random(self, PERIOD_FANOUT);
    update_reading(self, now_us);
}
