#include "support/sim_platform.h"

#include <string.h>

static const struct GbOperation operations[] = {
    {"check", 1, GB_CLASS_SHORT, false, 2000, 4096},
    {"look", 2, GB_CLASS_SHORT, true, 2000, 4096},
    {"pack", 3, GB_CLASS_LONG, true, 5000, 1024 * 1024},
    {"order", 4, GB_CLASS_LONG, false, 5000, 4096},
};

static const char *const service_names[] = {"desk", "drawings"};

static struct GbInstanceList *
copy_list_without(const struct GbInstanceList *list, const char *excluded_name)
{
    struct GbInstanceList *copy = GbInstanceList_New();

    copy->version = list->version + 1;
    copy->instances = g_new0(struct GbInstance, list->count + 1);
    for (uint32_t i = 0; i < list->count; i++) {
        if (strcmp(list->instances[i].name, excluded_name) != 0) {
            copy->instances[copy->count++] = list->instances[i];
        }
    }
    return copy;
}

static void
replace_list(struct GbSimPlatform *self, struct GbInstanceList *list)
{
    GbInstanceList_Unref(self->list);
    self->list = list;
}

void
GbSimPlatform_Init(struct GbSimPlatform *self)
{
    static const struct GbSimPublication first = {.revision = 1};

    self->document = GbSimPlatform_BuildDocument(&first);
    self->list = GbInstanceList_New();
}

void
GbSimPlatform_Finish(struct GbSimPlatform *self)
{
    GbDocument_Unref(self->document);
    GbInstanceList_Unref(self->list);
}

struct GbDocument *
GbSimPlatform_BuildDocument(const struct GbSimPublication *publication)
{
    struct GbDocument *document = GbDocument_New();

    document->revision = publication->revision;
    document->in_force_from_us = publication->in_force_from_us;
    document->digest[3] = (uint8_t)publication->variant;
    document->digest[4] = (uint8_t)publication->revision;
    document->service_count = G_N_ELEMENTS(service_names);
    document->services = g_new0(struct GbService, document->service_count);
    for (uint32_t i = 0; i < document->service_count; i++) {
        struct GbService *service = &document->services[i];

        g_strlcpy(service->name, service_names[i], sizeof(service->name));
        service->id = i + 1;
        service->slots = publication->slots > 0 ? publication->slots : 2;
        service->operations = g_memdup2(operations, sizeof(operations));
        service->operation_count = G_N_ELEMENTS(operations);
        service->limits.flows = 1000;
        service->limits.queue =
            publication->queue > 0 ? publication->queue : 64;
        service->limits.rate_per_s = 10000;
        service->limits.retry_budget_percent = 10;
        service->drain_flow_ms = 2000;
        service->long_after_ms = 500;
    }
    return document;
}

void
GbSimPlatform_Publish(struct GbSimPlatform *self,
                      const struct GbSimPublication *publication)
{
    GbDocument_Unref(self->document);
    self->document = GbSimPlatform_BuildDocument(publication);
}

void
GbSimPlatform_SetInstance(struct GbSimPlatform *self,
                          const struct GbInstance *instance)
{
    struct GbInstanceList *list =
        copy_list_without(self->list, instance->name);

    list->instances[list->count++] = *instance;
    replace_list(self, list);
}

void
GbSimPlatform_RemoveInstance(struct GbSimPlatform *self, const char *name)
{
    replace_list(self, copy_list_without(self->list, name));
}

static void
ignore_audit(struct GbDocumentAcceptancePort *port,
             const struct GbAuditRecord *record)
{
    (void)port;
    (void)record;
}

static const struct GbDocumentAcceptancePortClass acceptance_port_class = {
    .audit = ignore_audit,
};

void
GbSimPlatformClient_Open(struct GbSimPlatformClient *self,
                         struct GbClock *clock, struct GbCounters *counters)
{
    self->is_open = true;
    self->port.klass = &acceptance_port_class;
    GbDocumentAcceptance_Init(&self->acceptance, &self->port, clock, counters);
}

void
GbSimPlatformClient_Close(struct GbSimPlatformClient *self)
{
    if (self->is_open) {
        self->is_open = false;
        GbDocumentAcceptance_Finish(&self->acceptance);
        GbInstanceList_Unref(self->list);
        self->list = NULL;
    }
}

void
GbSimPlatformClient_Finish(struct GbSimPlatformClient *self)
{
    GbSimPlatformClient_Close(self);
    GbDocument_Unref(self->stale_document);
    GbInstanceList_Unref(self->lagging_list);
    memset(self, 0, sizeof(*self));
}

struct GbDocument *
GbSimPlatformClient_AcceptedDocument(const struct GbSimPlatformClient *self)
{
    return self->is_open ? GbDocumentAcceptance_Highest(&self->acceptance)
                         : NULL;
}

struct GbDocument *
GbSimPlatformClient_DocumentInForce(const struct GbSimPlatformClient *self)
{
    return self->is_open ? self->acceptance.in_force.document : NULL;
}

void
GbSimPlatformClient_SetDocumentStale(struct GbSimPlatformClient *self,
                                     const struct GbSimPlatform *platform,
                                     bool is_stale)
{
    if (is_stale && !self->is_stale) {
        self->stale_document = GbDocument_Ref(platform->document);
    }
    else if (!is_stale) {
        GbDocument_Unref(self->stale_document);
        self->stale_document = NULL;
    }
    self->is_stale = is_stale;
}

void
GbSimPlatformClient_SetListLagging(struct GbSimPlatformClient *self,
                                   const struct GbSimPlatform *platform,
                                   bool is_lagging)
{
    if (is_lagging && !self->is_lagging) {
        self->lagging_list = GbInstanceList_Ref(platform->list);
    }
    else if (!is_lagging) {
        GbInstanceList_Unref(self->lagging_list);
        self->lagging_list = NULL;
    }
    self->is_lagging = is_lagging;
}

void
GbSimPlatformClient_OfferDocument(struct GbSimPlatformClient *self,
                                  struct GbDocument *document,
                                  enum GbDocumentSource source)
{
    if (self->is_open && document != NULL) {
        GbDocumentAcceptance_Offer(&self->acceptance, document, source);
    }
}

struct GbView *
GbSimPlatformClient_Poll(struct GbSimPlatformClient *self,
                         const struct GbSimPlatform *platform)
{
    struct GbInstanceList *list =
        self->is_lagging ? self->lagging_list : platform->list;
    bool is_changed = false;

    if (!self->is_down) {
        GbSimPlatformClient_OfferDocument(
            self, self->is_stale ? self->stale_document : platform->document,
            GB_SOURCE_PLATFORM);
        if (self->list == NULL || list->version > self->list->version) {
            GbInstanceList_Unref(self->list);
            self->list = GbInstanceList_Ref(list);
            is_changed = true;
        }
    }
    is_changed |= GbDocumentAcceptance_Tick(&self->acceptance);
    if (!is_changed || GbSimPlatformClient_DocumentInForce(self) == NULL ||
        self->list == NULL) {
        return NULL;
    }
    return GbView_New(GbSimPlatformClient_DocumentInForce(self), self->list);
}
