#ifndef GB_COORDINATION_CALLS_REPLY_H
#define GB_COORDINATION_CALLS_REPLY_H

#include "coordination/calls/agent.h"

/* Replies of an agent to callers. */

/* Replies that the submission of message did not and will not run. A reply
 * with GB_NOT_RUN_BIND carries a token of this agent. */
void GbReply_SendNotRun(struct GbAgent *agent, const struct GbReturnPath *path,
                        const struct GbMessage *message,
                        enum GbNotRunReason reason);

/* As GbReply_SendNotRun, for a request that has been admitted. */
void GbReply_SendRequestNotRun(struct GbAgent *agent,
                               const struct GbRequest *request,
                               enum GbNotRunReason reason);

/* Replies that the outcome of the submission of message is unknown. */
void GbReply_SendUnknown(struct GbAgent *agent,
                         const struct GbReturnPath *path,
                         const struct GbMessage *message,
                         enum GbUnknownReason reason);

/* Replies that the request is queued or running, or has failed. */
void GbReply_SendProgress(struct GbAgent *agent,
                          const struct GbRequest *request);

/* Sends a range of the response. Returns false and sends nothing if the range
 * is not buffered. The empty range at the end of a complete response is
 * sent. */
bool GbReply_SendData(struct GbAgent *agent, const struct GbRequest *request,
                      const struct GbReturnPath *path, uint64_t offset,
                      uint32_t length_bytes);

#endif
