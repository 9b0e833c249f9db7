package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PauseDetectorTest {
    @Test
    void aSignalHandledRightAfterAPauseMayHaveBeenSentDuringIt() {
        PauseDetector s = new PauseDetector();
        assertThat(s.maxDelayMs(0)).isZero(); // no step yet
        for (double t = 0; t <= 1000; t += 50) {
            s.stepped(t);
        }
        assertThat(s.maxDelayMs(1020)).isZero();
        assertThat(s.maxDelayMs(3100)).isEqualTo(2100); // handled before the main thread resumed
        s.stepped(3110);
        s.stepped(3120);
        assertThat(s.maxDelayMs(3130)).isEqualTo(2110);
        for (double t = 3130; t <= 3500; t += 10) {
            s.stepped(t);
        }
        assertThat(s.maxDelayMs(3500)).isZero(); // sent after the pause
    }
}
