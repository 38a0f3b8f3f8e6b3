#ifndef GB_TESTS_SUPPORT_SAMPLE_MESSAGES_H
#define GB_TESTS_SUPPORT_SAMPLE_MESSAGES_H

#include "protocol/keys.h"
#include "state/message.h"

#define SAMPLE_SERVICE_ID 7
#define SAMPLE_INSTANCE_ID UINT64_C(0x1122334455667788)
#define SAMPLE_INCARNATION UINT64_C(0x99aabbccddeeff00)
#define SAMPLE_FLOW_ID UINT64_C(0x0123456789abcdef)

/* Keys without a previous one. */
void sample_keys(struct GbKeys *keys);

/* Token of the sample flow at 127.0.0.1:9000. */
void sample_token(struct GbToken *token);

/* Message of a kind with every field set to a value of its own, so that
 * fields that change places are seen. sealed_token is not filled. */
void sample_message(struct GbMessage *message, enum GbMessageKind kind,
                    bool has_token);

/* Whether all fields but the token are equal. */
bool is_message_equal(const struct GbMessage *a, const struct GbMessage *b);

bool is_token_equal(const struct GbToken *a, const struct GbToken *b);

#endif
