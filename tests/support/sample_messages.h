#ifndef GB_TESTS_SUPPORT_SAMPLE_MESSAGES_H
#define GB_TESTS_SUPPORT_SAMPLE_MESSAGES_H

#include "protocol/keys.h"
#include "state/message.h"

#define SAMPLE_SERVICE_ID 7
#define SAMPLE_INSTANCE_ID UINT64_C(0x1122334455667788)
#define SAMPLE_INCARNATION UINT64_C(0x99aabbccddeeff00)
#define SAMPLE_FLOW_ID UINT64_C(0x0123456789abcdef)

/* Sets both keys, but has_previous to false. */
void init_sample_keys(struct GbKeys *keys);

/* Initialises a token for the sample flow at 127.0.0.1:9000. */
void init_sample_token(struct GbToken *token);

/* Sets every field to a different value, so that swapped fields are detected.
 * sealed_token stays zero. */
void init_sample_message(struct GbMessage *message, enum GbMessageKind kind,
                         bool has_token);

/* Returns true if all fields but the token are equal. */
bool is_message_equal(const struct GbMessage *a, const struct GbMessage *b);

bool is_token_equal(const struct GbToken *a, const struct GbToken *b);

#endif
