/* libFuzzer target for the endpoints of both roles. Built by make fuzz. */

#include <string.h>

#include "support/datagram_injection.h"

/* Entry point with the name that libFuzzer requires. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes);

int
/* NOLINTNEXTLINE(readability-identifier-naming) */
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
    static struct EndpointFixture fixture;
    static bool is_ready;
    uint8_t buffer[BUFFER_BYTES];

    if (!is_ready) {
        endpoint_fixture_init(&fixture);
        is_ready = true;
    }
    for (int role = 0; role < ROLE_END; role++) {
        inject_datagram(&fixture, (enum Role)role, data, size_bytes);
        if (size_bytes <= GB_DATAGRAM_BYTES_MAX) {
            /* Also as the payload of an envelope with a valid return path,
             * whose authentication tag a fuzzer cannot guess. */
            uint32_t wrapped_bytes = wrap_for_role(
                &fixture, (enum Role)role, data, (uint32_t)size_bytes, buffer);

            inject_datagram(&fixture, (enum Role)role, buffer, wrapped_bytes);
        }
    }
    return 0;
}
