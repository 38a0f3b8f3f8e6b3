#include "support/desk_cluster.h"

#include <glib.h>

static const char services_json[] =
    "[{\"name\":\"desk\",\"id\":7,\"address\":\"127.0.0.1\",\"port\":0,"
    "\"slots\":3,\"ramp_ms\":0,\"long_after_ms\":1000,"
    "\"drain\":{\"flow_ms\":300},"
    "\"limits\":{\"flows\":30000,\"queue\":192,\"rate_per_s\":30000,"
    "\"retry_budget_percent\":100},\"operations\":["
    "{\"name\":\"check\",\"id\":1,\"class\":\"short\",\"idempotent\":false,"
    "\"deadline_ms\":1500,\"max_answer_bytes\":4096},"
    "{\"name\":\"look-up\",\"id\":2,\"class\":\"short\",\"idempotent\":true,"
    "\"deadline_ms\":1500,\"max_answer_bytes\":4096},"
    "{\"name\":\"pack\",\"id\":3,\"class\":\"long\",\"idempotent\":true,"
    "\"deadline_ms\":15000,\"max_answer_bytes\":4000000}]}]";

static const struct GbClusterPoolConfig pools[] = {
    {DESK_SERVICE,
     DESK_HOSTS,
     {"--slots", "3", "--work-ms", "15", "--pack-bytes", "600000",
      "--chunk-bytes", "12000", "--chunk-ms", "40", NULL}},
};

const struct GbTestClusterConfig desk_cluster = {
    .build_dir = GB_BUILD_DIR,
    .services_json = services_json,
    .balancer_arguments = {"--quiet-ms", "300", "--stop-limit-ms", "10000",
                           NULL},
    .agent_arguments = {"--stop-limit-ms", "14000", NULL},
    .balancers = DESK_BALANCERS,
    .pools = pools,
    .pool_count = G_N_ELEMENTS(pools),
};
