package quincespar.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LeaderClockTest {
    @Test
    void advancesFromTheAgreedTimeAndSkipsPausesOfTheLeader() {
        LeaderClock c = new LeaderClock(400);
        assertThat(c.advance(1000, 70)).isEqualTo(70);
        assertThat(c.advance(1200, 70)).isEqualTo(270);
        assertThat(c.advance(9000, 270)).isEqualTo(670); // paused for 7.8 s: advances by at most two steps
        assertThat(c.advance(9100, 5000)).isEqualTo(5000); // another instance has led in the meantime
        c.reset();
        assertThat(c.advance(99_000, 5100)).isEqualTo(5100);
    }
}
