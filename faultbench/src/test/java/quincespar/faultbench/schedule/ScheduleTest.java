package quincespar.faultbench.schedule;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class ScheduleTest {
    @Test
    void schedulesAreDeterministicBySeedAndRoundTripThroughText() {
        for (long seed = 1; seed <= 200; seed++) {
            Schedule s = Schedule.draw(seed, 5);
            assertThat(Schedule.draw(seed, 5)).isEqualTo(s);
            assertThat(Schedule.read(s.text())).isEqualTo(s);
            assertThat(s.steps()).isNotEmpty();
        }
        assertThat(Schedule.draw(1, 5)).isNotEqualTo(Schedule.draw(2, 5));
        FixedSchedules.names().forEach(n -> assertThat(Schedule.read(FixedSchedules.texts().get(n)).steps()).isNotEmpty());
        assertThatThrownBy(() -> Schedule.read("5 explode n1")).hasMessage("not a schedule step: '5 explode n1'");
    }
}
