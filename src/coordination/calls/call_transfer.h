#ifndef GB_COORDINATION_CALLS_CALL_TRANSFER_H
#define GB_COORDINATION_CALLS_CALL_TRANSFER_H

#include "coordination/calls/call.h"

/* Transfer of the response to an accepted submission. */

/* Handles a range of the response: fetches more, or ends the call if the
 * response is complete. */
void GbCallTransfer_HandleData(struct GbCall *call,
                               const struct GbMessage *data);

/* Sends the FETCHes whose resend time has come, and new ones while the window
 * has space. */
void GbCallTransfer_SendFetches(struct GbCall *call);

/* Asks the agent for the state of a request whose response has not started to
 * arrive. */
void GbCallTransfer_PollResponse(struct GbCall *call);

#endif
