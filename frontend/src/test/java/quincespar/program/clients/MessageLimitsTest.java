package quincespar.program.clients;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class MessageLimitsTest {
    private static final int OWN = 50, SHARED = 1000;

    private final MessageLimits limits = new MessageLimits(OWN, SHARED);

    private static int takeAll(MessageLimits.Allowance allowance, double nowMs) {
        int taken = 0;
        while (allowance.take(nowMs)) {
            taken++;
        }
        return taken;
    }

    /** Guards against clients at full speed that use up what other connections may send. */
    @Test
    void aConnectionHasItsOwnRateBesideOthersThatSendAllTheyCan() {
        MessageLimits.Allowance usual = limits.forConnection();
        MessageLimits.Allowance flooding = limits.forConnection();
        int flooded = 0;
        for (int ms = 0; ms <= 10_000; ms++) {
            flooded += takeAll(flooding, ms);
            if (ms % 20 == 0) {
                assertThat(usual.take(ms)).as("at %d ms", ms).isTrue();
            }
        }
        assertThat(flooded).isBetween(10 * (OWN + SHARED), 10 * (OWN + SHARED) + MessageLimits.OWN_BURST + SHARED / 4 + 1);
    }

    /** Guards against a client that is slowed down although its requests are served. */
    @Test
    void servedRequestsDoNotCount() {
        MessageLimits.Allowance allowance = new MessageLimits(OWN, 1).forConnection();
        assertThat(takeAll(allowance, 0)).isEqualTo(MessageLimits.OWN_BURST + 1);
        allowance.giveBack();
        assertThat(takeAll(allowance, 0)).isOne();
    }
}
