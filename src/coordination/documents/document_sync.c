#include "coordination/documents/document_sync.h"

#include <glib.h>
#include <string.h>

#include "coordination/documents/watch_plan.h"
#include "state/timer_queue.h"

#define US_PER_MS INT64_C(1000)
#define US_PER_SECOND INT64_C(1000000)
/* A watch that is answered later than this after its wait has failed. */
#define CALL_TIMEOUT_US (2 * US_PER_SECOND)
#define WATCH_US (GB_WATCH_WAIT_MS * US_PER_MS + CALL_TIMEOUT_US)
#define PULL_TIMEOUT_US (2 * US_PER_SECOND)
#define SETTLING_LIMIT_US (5 * US_PER_SECOND)
/* Most processes get a new document from a peer within this time and need not
 * read it from the platform. */
#define READ_SPREAD_US (500 * US_PER_MS)
#define ANNOUNCE_PERIOD_US US_PER_SECOND
/* Wait after a peer had nothing of what it announced. */
#define FALSE_ANNOUNCEMENT_US US_PER_SECOND
#define ANNOUNCE_FANOUT 4
/* Seconds for which a new document is announced to several peers. With one
 * peer a second the last 2% of 9,230 processes get it after 5.5 s, with four
 * for 3 s after 1.4 s. */
#define SPREADING_ROUNDS 3

static int64_t
now_us(const struct GbDocumentSync *self)
{
    return GbClock_MonotonicUs(self->clock);
}

static uint32_t
start_call(struct GbDocumentSync *self, struct GbSyncCall *call,
           int64_t timeout_us)
{
    return GbSyncCall_Start(call, ++self->last_call_id, now_us(self),
                            timeout_us);
}

static void
fail_platform_call(struct GbDocumentSync *self, struct GbSyncCall *call)
{
    GbCounters_Add(self->counters, GB_COUNTER_PLATFORM_FAILURES, 1);
    GbSyncCall_BackOff(call, now_us(self), self->random);
}

/* Whether this process keeps a watch on the head. A process without any
 * document cannot wait for its peers. */
static bool
is_reader(const struct GbDocumentSync *self)
{
    return self->list == NULL || self->peers.is_reader ||
           GbAcceptance_Highest(self->acceptance) == NULL;
}

static void
announce(struct GbDocumentSync *self, uint32_t count)
{
    struct GbRevision revision =
        GbDocument_Revision(GbAcceptance_Highest(self->acceptance));
    struct GbAddress sample[ANNOUNCE_FANOUT];

    if (revision.number == 0) {
        return;
    }
    count = GbPeerChoice_Sample(&self->peers, self->random, sample, count);
    for (uint32_t i = 0; i < count; i++) {
        GbCounters_Add(self->counters, GB_COUNTER_REVISIONS_ANNOUNCED, 1);
        self->port->klass->announce(self->port, &sample[i], &revision);
    }
}

static void
publish(struct GbDocumentSync *self)
{
    struct GbDocument *document = self->acceptance->in_force.document;

    if (!GbDocumentSync_IsReady(self) ||
        (document == self->published_document &&
         self->list == self->published_list)) {
        return;
    }
    self->published_document = document;
    self->published_list = self->list;
    self->port->klass->publish(self->port, document, self->list);
}

static void
offer(struct GbDocumentSync *self, struct GbDocument *document,
      enum GbDocumentSource source)
{
    if (GbAcceptance_Offer(self->acceptance, document, source) ==
        GB_COORDINATION_OK) {
        GbAcceptance_Tick(self->acceptance);
        announce(self, ANNOUNCE_FANOUT);
        self->spreading_rounds = SPREADING_ROUNDS;
        publish(self);
    }
}

static bool
is_document_wanted(const struct GbDocumentSync *self)
{
    struct GbRevision revision = GbDocumentHead_Revision(&self->wanted);

    return self->wanted.revision > 0 &&
           GbAcceptance_WantsRevision(self->acceptance, &revision);
}

static bool
take_wanted_announcement(struct GbDocumentSync *self,
                         struct GbAnnouncement *announcement)
{
    while (GbPeerChoice_TakeHighest(&self->peers, announcement)) {
        if (GbAcceptance_WantsRevision(self->acceptance,
                                       &announcement->revision)) {
            return true;
        }
    }
    return false;
}

static void
start_pull(struct GbDocumentSync *self)
{
    struct GbDocumentHead known =
        GbDocument_Head(GbAcceptance_Highest(self->acceptance));

    GbCounters_Add(self->counters, GB_COUNTER_PEER_PULLS, 1);
    start_call(self, &self->pull_call, PULL_TIMEOUT_US);
    self->port->klass->pull(self->port, self->pull_call.call_id,
                            &self->pulled.from, &known);
}

/* Another peer is asked for the same revision. */
static void
fail_pull(struct GbDocumentSync *self)
{
    struct GbAnnouncement again = self->pulled;

    GbCounters_Add(self->counters, GB_COUNTER_PEER_PULL_FAILURES, 1);
    if (self->is_settling_pull) {
        return;
    }
    if (self->peers.announcement_count == 0 &&
        self->pull_call.backoff.failures < GB_SETTLING_PEERS &&
        GbPeerChoice_Sample(&self->peers, self->random, &again.from, 1) == 1) {
        self->pull_call.backoff.failures++;
        GbPeerChoice_Announced(&self->peers, &again);
    }
}

static void
settle(struct GbDocumentSync *self)
{
    struct GbAddress peer;

    if (self->is_settled || self->list == NULL || self->pull_call.is_active) {
        return;
    }
    if (self->settling_answers < GB_SETTLING_PEERS &&
        now_us(self) < self->settling_limit_us &&
        GbPeerChoice_Try(&self->peers, self->random, &peer)) {
        self->is_settling_pull = true;
        self->pulled.from = peer;
        start_pull(self);
        return;
    }
    self->is_settled = true;
    publish(self);
}

static void
follow_announcement(struct GbDocumentSync *self)
{
    if (self->is_settled && !self->pull_call.is_active &&
        now_us(self) >= self->pull_call.next_us &&
        take_wanted_announcement(self, &self->pulled)) {
        self->is_settling_pull = false;
        start_pull(self);
    }
}

static bool
may_call(struct GbDocumentSync *self, const struct GbSyncCall *call)
{
    int64_t now = now_us(self);

    if (call->is_active || now < call->next_us ||
        !GbPlatformBudget_Spend(&self->budget, now)) {
        return false;
    }
    GbCounters_Add(self->counters, GB_COUNTER_PLATFORM_CALLS, 1);
    return true;
}

static void
watch_head(struct GbDocumentSync *self)
{
    if (may_call(self, &self->head_call)) {
        uint32_t call_id = start_call(self, &self->head_call, WATCH_US);

        self->port->klass->watch_head(self->port, call_id,
                                      &self->platform_head,
                                      is_reader(self) ? GB_WATCH_WAIT_MS : 0);
    }
}

static void
watch_instances(struct GbDocumentSync *self)
{
    if (may_call(self, &self->instances_call)) {
        uint32_t call_id = start_call(self, &self->instances_call, WATCH_US);

        self->port->klass->watch_instances(
            self->port, call_id, self->platform_version, GB_WATCH_WAIT_MS);
    }
}

/* A document that is known to exist goes first. Of the watches the one that
 * was started longer ago goes first, so that changes of one kind do not hold
 * up the other when tokens are short. */
static void
call_platform(struct GbDocumentSync *self)
{
    if (is_document_wanted(self) && may_call(self, &self->document_call)) {
        uint32_t call_id =
            start_call(self, &self->document_call, CALL_TIMEOUT_US);

        self->port->klass->read_document(self->port, call_id, &self->wanted);
    }
    if (self->head_call.call_id < self->instances_call.call_id) {
        watch_head(self);
        watch_instances(self);
    }
    else {
        watch_instances(self);
        watch_head(self);
    }
}

static bool
stop_if_late(struct GbDocumentSync *self, struct GbSyncCall *call)
{
    if (!call->is_active || now_us(self) < call->deadline_us) {
        return false;
    }
    call->is_active = false;
    self->port->klass->stop(self->port, call->call_id);
    return true;
}

static void
stop_late_calls(struct GbDocumentSync *self)
{
    struct GbSyncCall *platform[] = {&self->head_call, &self->document_call,
                                     &self->instances_call};

    for (size_t i = 0; i < sizeof(platform) / sizeof(platform[0]); i++) {
        if (stop_if_late(self, platform[i])) {
            fail_platform_call(self, platform[i]);
        }
    }
    if (stop_if_late(self, &self->pull_call)) {
        fail_pull(self);
    }
}

static int64_t
pull_timer_us(const struct GbDocumentSync *self)
{
    if (self->pull_call.is_active) {
        return self->pull_call.deadline_us;
    }
    if (!self->is_settled) {
        return self->list != NULL ? now_us(self) : GB_TIMER_NEVER;
    }
    return self->peers.announcement_count > 0 ? self->pull_call.next_us
                                              : GB_TIMER_NEVER;
}

void
GbDocumentSync_Init(struct GbDocumentSync *self, uint64_t instance_id,
                    struct GbAcceptance *acceptance,
                    struct GbDocumentSyncPort *port, struct GbClock *clock,
                    struct GbRandom *random, struct GbCounters *counters)
{
    memset(self, 0, sizeof(*self));
    self->port = port;
    self->acceptance = acceptance;
    self->clock = clock;
    self->random = random;
    self->counters = counters;
    GbPlatformBudget_Init(&self->budget, now_us(self));
    GbPeerChoice_Init(&self->peers, instance_id);
}

void
GbDocumentSync_Finish(struct GbDocumentSync *self)
{
    GbPeerChoice_Finish(&self->peers);
    GbInstanceList_Unref(self->list);
    self->list = NULL;
}

void
GbDocumentSync_HeadRead(struct GbDocumentSync *self, uint32_t call_id,
                        const struct GbDocumentHead *head)
{
    bool is_changed;

    if (!GbSyncCall_End(&self->head_call, call_id)) {
        return;
    }
    if (head == NULL) {
        fail_platform_call(self, &self->head_call);
        return;
    }
    is_changed = GbDocumentHead_Compare(head, &self->platform_head) != 0;
    if (is_reader(self)) {
        GbWatchPlan_Watch(&self->head_call, now_us(self), self->random,
                          self->platform_head.revision == 0, is_changed);
    }
    else {
        GbWatchPlan_Check(&self->head_call, now_us(self), self->random);
    }
    self->platform_head = *head;
    if (!is_changed) {
        return;
    }
    self->wanted = *head;
    GbBackoff_Reset(&self->document_call.backoff);
    self->document_call.next_us = now_us(self);
    if (GbAcceptance_Wants(self->acceptance, head, GB_SOURCE_PLATFORM) &&
        GbDocumentSync_IsReady(self)) {
        self->document_call.next_us +=
            GbRandom_Below(self->random, READ_SPREAD_US);
    }
}

void
GbDocumentSync_DocumentRead(struct GbDocumentSync *self, uint32_t call_id,
                            enum GbReadOutcome outcome,
                            struct GbDocument *document)
{
    if (!GbSyncCall_End(&self->document_call, call_id)) {
        return;
    }
    switch (outcome) {
    case GB_READ_DONE:
        GbBackoff_Reset(&self->document_call.backoff);
        offer(self, document, GB_SOURCE_PLATFORM);
        break;
    case GB_READ_INVALID:
        GbAcceptance_RefuseInvalid(self->acceptance, &self->wanted,
                                   GB_SOURCE_PLATFORM);
        break;
    default:
        fail_platform_call(self, &self->document_call);
        break;
    }
}

void
GbDocumentSync_InstancesRead(struct GbDocumentSync *self, uint32_t call_id,
                             struct GbInstanceList *list)
{
    bool is_changed;
    bool was_reader;

    if (!GbSyncCall_End(&self->instances_call, call_id)) {
        return;
    }
    if (list == NULL) {
        fail_platform_call(self, &self->instances_call);
        return;
    }
    is_changed = list->version != self->platform_version;
    GbWatchPlan_Watch(&self->instances_call, now_us(self), self->random,
                      self->list == NULL, is_changed);
    self->platform_version = list->version;
    if (!is_changed) {
        return;
    }
    /* An empty list after a filled one would take every agent out of service
     * at once. */
    if (self->list != NULL && (list->version <= self->list->version ||
                               (list->count == 0 && self->list->count > 0))) {
        GbCounters_Add(self->counters, GB_COUNTER_INSTANCE_LISTS_REFUSED, 1);
        return;
    }
    GbCounters_Add(self->counters, GB_COUNTER_INSTANCE_LISTS_ACCEPTED, 1);
    if (self->list == NULL) {
        self->settling_limit_us = now_us(self) + SETTLING_LIMIT_US;
    }
    GbInstanceList_Unref(self->list);
    self->list = GbInstanceList_Ref(list);
    was_reader = self->peers.is_reader;
    GbPeerChoice_SetList(&self->peers, list);
    if (!was_reader && self->peers.is_reader && !self->head_call.is_active) {
        GbSyncCall_Plan(&self->head_call, now_us(self));
    }
    publish(self);
}

void
GbDocumentSync_PullEnded(struct GbDocumentSync *self, uint32_t call_id,
                         enum GbReadOutcome outcome,
                         const struct GbDocumentHead *head,
                         struct GbDocument *document)
{
    if (!GbSyncCall_End(&self->pull_call, call_id)) {
        return;
    }
    if (outcome == GB_READ_FAILED) {
        fail_pull(self);
        return;
    }
    GbBackoff_Reset(&self->pull_call.backoff);
    self->settling_answers++;
    if (outcome == GB_READ_DONE) {
        offer(self, document, GB_SOURCE_PEER);
    }
    else if (outcome == GB_READ_INVALID) {
        GbAcceptance_RefuseInvalid(self->acceptance, head, GB_SOURCE_PEER);
    }
    else if (!self->is_settling_pull) {
        self->pull_call.next_us = now_us(self) + FALSE_ANNOUNCEMENT_US;
    }
}

void
GbDocumentSync_Heard(struct GbDocumentSync *self, const struct GbAddress *from,
                     const struct GbRevision *revision)
{
    struct GbAnnouncement announcement = {*from, *revision};

    if (!GbAcceptance_WantsRevision(self->acceptance, revision)) {
        return;
    }
    if (!GbPeerChoice_Contains(&self->peers, from)) {
        GbCounters_Add(self->counters, GB_COUNTER_REVISIONS_IGNORED, 1);
        return;
    }
    if (self->pull_call.is_active && !self->is_settling_pull &&
        GbAddress_Equal(&self->pulled.from, from)) {
        return;
    }
    GbPeerChoice_Announced(&self->peers, &announcement);
}

bool
GbDocumentSync_IsReady(const struct GbDocumentSync *self)
{
    return self->is_settled && self->list != NULL &&
           self->acceptance->in_force.document != NULL;
}

int64_t
GbDocumentSync_NextTimerUs(const struct GbDocumentSync *self)
{
    int64_t ready_us = GbPlatformBudget_ReadyUs(&self->budget);
    int64_t next_us = GbTimer_Earlier(
        self->announce_us, GbAcceptance_NextTimerUs(self->acceptance));

    next_us = MIN(next_us, pull_timer_us(self));
    next_us = GbTimer_Earlier(next_us,
                              GbSyncCall_TimerUs(&self->head_call, ready_us));
    next_us = GbTimer_Earlier(
        next_us, GbSyncCall_TimerUs(&self->instances_call, ready_us));
    if (is_document_wanted(self) || self->document_call.is_active) {
        next_us = GbTimer_Earlier(
            next_us, GbSyncCall_TimerUs(&self->document_call, ready_us));
    }
    return next_us;
}

void
GbDocumentSync_Tick(struct GbDocumentSync *self)
{
    stop_late_calls(self);
    if (GbAcceptance_Tick(self->acceptance)) {
        publish(self);
    }
    settle(self);
    follow_announcement(self);
    call_platform(self);
    if (now_us(self) >= self->announce_us) {
        self->announce_us = now_us(self) + ANNOUNCE_PERIOD_US;
        announce(self, self->spreading_rounds > 0 ? ANNOUNCE_FANOUT : 1);
        if (self->spreading_rounds > 0) {
            self->spreading_rounds--;
        }
    }
}
