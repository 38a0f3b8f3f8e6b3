#include "coordination/documents/document_sync.h"

#include <glib.h>
#include <string.h>

#include "coordination/documents/watch_schedule.h"
#include "state/timer_queue.h"

#define US_PER_MS INT64_C(1000)
#define US_PER_SECOND INT64_C(1000000)
/* Timeout of a call to the platform. A watch has its wait on top. */
#define CALL_TIMEOUT_US (2 * US_PER_SECOND)
#define WATCH_TIMEOUT_US (GB_WATCH_WAIT_MS * US_PER_MS + CALL_TIMEOUT_US)
#define PULL_TIMEOUT_US (2 * US_PER_SECOND)
#define BOOTSTRAP_TIMEOUT_US (5 * US_PER_SECOND)
/* Interval over which processes spread their reads of a new document. Most get
 * it from a peer within this time and skip the read. */
#define READ_SPREAD_US (500 * US_PER_MS)
#define ANNOUNCE_PERIOD_US US_PER_SECOND
/* Delay of the next pull after a peer did not have the revision that it had
 * announced. */
#define FALSE_ANNOUNCEMENT_DELAY_US US_PER_SECOND
#define ANNOUNCE_FANOUT 4
/* Announcement rounds, one a second, in which a new document is announced to
 * ANNOUNCE_FANOUT peers. With one peer a second the last 2% of 9,230 processes
 * get it after 5.5 s, with four peers for 3 s after 1.4 s. */
#define FANOUT_ROUNDS 3

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

/* Returns true if this process keeps a watch on the head. Without an instance
 * list or a document it must, as it cannot rely on its peers. */
static bool
is_reader(const struct GbDocumentSync *self)
{
    return self->list == NULL || self->peers.is_reader ||
           GbDocumentAcceptance_Highest(self->acceptance) == NULL;
}

static void
announce(struct GbDocumentSync *self, uint32_t count)
{
    struct GbRevision revision =
        GbDocument_Revision(GbDocumentAcceptance_Highest(self->acceptance));
    struct GbAddress sample[ANNOUNCE_FANOUT];

    if (revision.number == 0) {
        return;
    }
    count = GbPeerSelector_Sample(&self->peers, self->random, sample, count);
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
accept_document(struct GbDocumentSync *self, struct GbDocument *document,
                enum GbDocumentSource source)
{
    if (GbDocumentAcceptance_Offer(self->acceptance, document, source) ==
        GB_COORDINATION_OK) {
        GbDocumentAcceptance_Tick(self->acceptance);
        announce(self, ANNOUNCE_FANOUT);
        self->fanout_rounds_left = FANOUT_ROUNDS;
        publish(self);
    }
}

static bool
is_document_read_due(const struct GbDocumentSync *self)
{
    struct GbRevision revision = GbDocumentHead_Revision(&self->head_to_read);

    return self->head_to_read.revision > 0 &&
           GbDocumentAcceptance_IsRevisionNeeded(self->acceptance, &revision);
}

static bool
take_needed_announcement(struct GbDocumentSync *self,
                         struct GbAnnouncement *announcement)
{
    while (
        GbPeerSelector_TakeHighestAnnouncement(&self->peers, announcement)) {
        if (GbDocumentAcceptance_IsRevisionNeeded(self->acceptance,
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
        GbDocument_Head(GbDocumentAcceptance_Highest(self->acceptance));

    GbCounters_Add(self->counters, GB_COUNTER_PEER_PULLS, 1);
    start_call(self, &self->pull_call, PULL_TIMEOUT_US);
    self->port->klass->pull(self->port, self->pull_call.call_id,
                            &self->pull_source.from, &known);
}

/* Handles a failed pull: queues a pull of the same revision from another
 * peer. */
static void
fail_pull(struct GbDocumentSync *self)
{
    struct GbAnnouncement retry = self->pull_source;

    GbCounters_Add(self->counters, GB_COUNTER_PEER_PULL_FAILURES, 1);
    if (self->is_bootstrap_pull) {
        return;
    }
    if (self->peers.announcement_count == 0 &&
        self->pull_call.backoff.failures < GB_BOOTSTRAP_PEERS &&
        GbPeerSelector_Sample(&self->peers, self->random, &retry.from, 1) ==
            1) {
        self->pull_call.backoff.failures++;
        GbPeerSelector_AddAnnouncement(&self->peers, &retry);
    }
}

/* Starts the next pull of the bootstrap, or completes it. */
static void
advance_bootstrap(struct GbDocumentSync *self)
{
    struct GbAddress peer;

    if (self->is_bootstrapped || self->list == NULL ||
        self->pull_call.is_active) {
        return;
    }
    if (self->bootstrap_replies < GB_BOOTSTRAP_PEERS &&
        now_us(self) < self->bootstrap_deadline_us &&
        GbPeerSelector_PickUntried(&self->peers, self->random, &peer)) {
        self->is_bootstrap_pull = true;
        self->pull_source.from = peer;
        start_pull(self);
        return;
    }
    self->is_bootstrapped = true;
    publish(self);
}

/* Starts a pull from the peer that announced the highest revision. */
static void
pull_announced(struct GbDocumentSync *self)
{
    if (self->is_bootstrapped && !self->pull_call.is_active &&
        now_us(self) >= self->pull_call.next_us &&
        take_needed_announcement(self, &self->pull_source)) {
        self->is_bootstrap_pull = false;
        start_pull(self);
    }
}

/* Takes a token for a call that is due. Returns false if the call is in
 * progress or not due, or if there is no token. */
static bool
take_token(struct GbDocumentSync *self, const struct GbSyncCall *call)
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
    if (take_token(self, &self->head_call)) {
        uint32_t call_id =
            start_call(self, &self->head_call, WATCH_TIMEOUT_US);

        self->port->klass->watch_head(self->port, call_id,
                                      &self->platform_head,
                                      is_reader(self) ? GB_WATCH_WAIT_MS : 0);
    }
}

static void
watch_instances(struct GbDocumentSync *self)
{
    if (take_token(self, &self->instances_call)) {
        uint32_t call_id =
            start_call(self, &self->instances_call, WATCH_TIMEOUT_US);

        self->port->klass->watch_instances(
            self->port, call_id, self->platform_version, GB_WATCH_WAIT_MS);
    }
}

/* Starts the calls that are due. A document read has priority. Of the two
 * watches the one that was started longer ago has priority, so that frequent
 * changes of one kind do not starve the other when tokens are short. */
static void
call_platform(struct GbDocumentSync *self)
{
    if (is_document_read_due(self) && take_token(self, &self->document_call)) {
        uint32_t call_id =
            start_call(self, &self->document_call, CALL_TIMEOUT_US);

        self->port->klass->read_document(self->port, call_id,
                                         &self->head_to_read);
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
cancel_if_overdue(struct GbDocumentSync *self, struct GbSyncCall *call)
{
    if (!call->is_active || now_us(self) < call->deadline_us) {
        return false;
    }
    call->is_active = false;
    self->port->klass->cancel(self->port, call->call_id);
    return true;
}

static void
cancel_overdue_calls(struct GbDocumentSync *self)
{
    struct GbSyncCall *platform[] = {&self->head_call, &self->document_call,
                                     &self->instances_call};

    for (size_t i = 0; i < sizeof(platform) / sizeof(platform[0]); i++) {
        if (cancel_if_overdue(self, platform[i])) {
            fail_platform_call(self, platform[i]);
        }
    }
    if (cancel_if_overdue(self, &self->pull_call)) {
        fail_pull(self);
    }
}

static int64_t
next_pull_timer_us(const struct GbDocumentSync *self)
{
    if (self->pull_call.is_active) {
        return self->pull_call.deadline_us;
    }
    if (!self->is_bootstrapped) {
        return self->list != NULL ? now_us(self) : GB_TIMER_NEVER;
    }
    return self->peers.announcement_count > 0 ? self->pull_call.next_us
                                              : GB_TIMER_NEVER;
}

void
GbDocumentSync_Init(struct GbDocumentSync *self, uint64_t instance_id,
                    struct GbDocumentAcceptance *acceptance,
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
    GbPeerSelector_Init(&self->peers, instance_id);
}

void
GbDocumentSync_Finish(struct GbDocumentSync *self)
{
    GbPeerSelector_Finish(&self->peers);
    GbInstanceList_Unref(self->list);
    self->list = NULL;
}

void
GbDocumentSync_CompleteHeadWatch(struct GbDocumentSync *self, uint32_t call_id,
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
        GbWatchSchedule_PlanWatch(&self->head_call, now_us(self), self->random,
                                  self->platform_head.revision == 0,
                                  is_changed);
    }
    else {
        GbWatchSchedule_PlanPoll(&self->head_call, now_us(self), self->random);
    }
    self->platform_head = *head;
    if (!is_changed) {
        return;
    }
    self->head_to_read = *head;
    GbBackoff_Reset(&self->document_call.backoff);
    self->document_call.next_us = now_us(self);
    if (GbDocumentAcceptance_CheckHead(self->acceptance, head,
                                       GB_SOURCE_PLATFORM) &&
        GbDocumentSync_IsReady(self)) {
        self->document_call.next_us +=
            GbRandom_Below(self->random, READ_SPREAD_US);
    }
}

void
GbDocumentSync_CompleteDocumentRead(struct GbDocumentSync *self,
                                    uint32_t call_id,
                                    enum GbReadOutcome outcome,
                                    struct GbDocument *document)
{
    if (!GbSyncCall_End(&self->document_call, call_id)) {
        return;
    }
    switch (outcome) {
    case GB_READ_DONE:
        GbBackoff_Reset(&self->document_call.backoff);
        accept_document(self, document, GB_SOURCE_PLATFORM);
        break;
    case GB_READ_INVALID:
        GbDocumentAcceptance_RefuseInvalid(
            self->acceptance, &self->head_to_read, GB_SOURCE_PLATFORM);
        break;
    default:
        fail_platform_call(self, &self->document_call);
        break;
    }
}

void
GbDocumentSync_CompleteInstancesWatch(struct GbDocumentSync *self,
                                      uint32_t call_id,
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
    GbWatchSchedule_PlanWatch(&self->instances_call, now_us(self),
                              self->random, self->list == NULL, is_changed);
    self->platform_version = list->version;
    if (!is_changed) {
        return;
    }
    /* An empty list after a non-empty one is refused: it would take every
     * agent out of service at once. */
    if (self->list != NULL && (list->version <= self->list->version ||
                               (list->count == 0 && self->list->count > 0))) {
        GbCounters_Add(self->counters, GB_COUNTER_INSTANCE_LISTS_REFUSED, 1);
        return;
    }
    GbCounters_Add(self->counters, GB_COUNTER_INSTANCE_LISTS_ACCEPTED, 1);
    if (self->list == NULL) {
        self->bootstrap_deadline_us = now_us(self) + BOOTSTRAP_TIMEOUT_US;
    }
    GbInstanceList_Unref(self->list);
    self->list = GbInstanceList_Ref(list);
    was_reader = self->peers.is_reader;
    GbPeerSelector_SetList(&self->peers, list);
    if (!was_reader && self->peers.is_reader && !self->head_call.is_active) {
        GbSyncCall_ScheduleNext(&self->head_call, now_us(self));
    }
    publish(self);
}

void
GbDocumentSync_CompletePull(struct GbDocumentSync *self, uint32_t call_id,
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
    self->bootstrap_replies++;
    if (outcome == GB_READ_DONE) {
        accept_document(self, document, GB_SOURCE_PEER);
    }
    else if (outcome == GB_READ_INVALID) {
        GbDocumentAcceptance_RefuseInvalid(self->acceptance, head,
                                           GB_SOURCE_PEER);
    }
    else if (!self->is_bootstrap_pull) {
        self->pull_call.next_us = now_us(self) + FALSE_ANNOUNCEMENT_DELAY_US;
    }
}

void
GbDocumentSync_ReceiveAnnouncement(struct GbDocumentSync *self,
                                   const struct GbAddress *from,
                                   const struct GbRevision *revision)
{
    struct GbAnnouncement announcement = {*from, *revision};

    if (!GbDocumentAcceptance_IsRevisionNeeded(self->acceptance, revision)) {
        return;
    }
    if (!GbPeerSelector_Contains(&self->peers, from)) {
        GbCounters_Add(self->counters, GB_COUNTER_REVISIONS_IGNORED, 1);
        return;
    }
    if (self->pull_call.is_active && !self->is_bootstrap_pull &&
        GbAddress_Equal(&self->pull_source.from, from)) {
        return;
    }
    GbPeerSelector_AddAnnouncement(&self->peers, &announcement);
}

bool
GbDocumentSync_IsReady(const struct GbDocumentSync *self)
{
    return self->is_bootstrapped && self->list != NULL &&
           self->acceptance->in_force.document != NULL;
}

int64_t
GbDocumentSync_NextTimerUs(const struct GbDocumentSync *self)
{
    int64_t token_us = GbPlatformBudget_ReadyUs(&self->budget);
    int64_t next_us =
        GbTimer_Earlier(self->next_announce_us,
                        GbDocumentAcceptance_NextTimerUs(self->acceptance));

    next_us = MIN(next_us, next_pull_timer_us(self));
    next_us = GbTimer_Earlier(
        next_us, GbSyncCall_NextTimerUs(&self->head_call, token_us));
    next_us = GbTimer_Earlier(
        next_us, GbSyncCall_NextTimerUs(&self->instances_call, token_us));
    if (is_document_read_due(self) || self->document_call.is_active) {
        next_us = GbTimer_Earlier(
            next_us, GbSyncCall_NextTimerUs(&self->document_call, token_us));
    }
    return next_us;
}

void
GbDocumentSync_Tick(struct GbDocumentSync *self)
{
    cancel_overdue_calls(self);
    if (GbDocumentAcceptance_Tick(self->acceptance)) {
        publish(self);
    }
    advance_bootstrap(self);
    pull_announced(self);
    call_platform(self);
    if (now_us(self) >= self->next_announce_us) {
        self->next_announce_us = now_us(self) + ANNOUNCE_PERIOD_US;
        announce(self, self->fanout_rounds_left > 0 ? ANNOUNCE_FANOUT : 1);
        if (self->fanout_rounds_left > 0) {
            self->fanout_rounds_left--;
        }
    }
}
