#include "transport/packet_mails.h"

static void
free_plain(struct GbMail *mail)
{
    g_free(mail);
}

static void
free_view(struct GbMail *mail)
{
    GbRoutingView_Unref(((struct GbPacketViewMail *)mail)->view);
    g_free(mail);
}

const struct GbMailClass GbPacketViewMail_Class = {.free = free_view};
const struct GbMailClass GbConfirmMail_Class = {.free = free_plain};
const struct GbMailClass GbPeerVersionMail_NoticeClass = {.free = free_plain};
const struct GbMailClass GbPeerVersionMail_HeardClass = {.free = free_plain};
const struct GbMailClass GbPacketReportMail_Class = {.free = free_plain};

struct GbMail *
GbPacketViewMail_New(struct GbRoutingView *view)
{
    struct GbPacketViewMail *mail = g_new0(struct GbPacketViewMail, 1);

    mail->super.klass = &GbPacketViewMail_Class;
    mail->view = GbRoutingView_Ref(view);
    return &mail->super;
}

struct GbMail *
GbConfirmMail_New(void)
{
    struct GbConfirmMail *mail = g_new0(struct GbConfirmMail, 1);

    mail->super.klass = &GbConfirmMail_Class;
    return &mail->super;
}

struct GbMail *
GbPeerVersionMail_New(const struct GbMailClass *klass, uint32_t peer_ipv4,
                      const struct GbViewVersion *version, uint32_t age_ms)
{
    struct GbPeerVersionMail *mail = g_new0(struct GbPeerVersionMail, 1);

    mail->super.klass = klass;
    mail->peer_ipv4 = peer_ipv4;
    mail->version = *version;
    mail->age_ms = age_ms;
    return &mail->super;
}

struct GbMail *
GbPacketReportMail_New(const struct GbCounters *counters,
                       const struct GbFlowTimes *times, int64_t quiet_us)
{
    struct GbPacketReportMail *mail = g_new0(struct GbPacketReportMail, 1);

    mail->super.klass = &GbPacketReportMail_Class;
    mail->counters = *counters;
    if (times != NULL) {
        mail->times = *times;
    }
    mail->quiet_us = quiet_us;
    return &mail->super;
}
