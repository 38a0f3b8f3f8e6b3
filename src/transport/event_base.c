#include "transport/event_base.h"

struct event_base *
GbEventBase_New(void)
{
    struct event_config *config = event_config_new();
    struct event_base *base = NULL;

    if (config != NULL) {
        event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
        base = event_base_new_with_config(config);
        event_config_free(config);
    }
    return base;
}
