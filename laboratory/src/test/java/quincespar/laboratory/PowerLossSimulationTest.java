package quincespar.laboratory;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import quincespar.laboratory.PowerLossSimulation.Outcome;
import quincespar.laboratory.PowerLossSimulation.Scenario;

/** Runs the program's own decision logic through a power loss in virtual time, and checks the engine model. */
class PowerLossSimulationTest {
    private static Outcome simulate(boolean recovery, long seed) {
        return new PowerLossSimulation(new Scenario(40, 4, 800, 1000, 3000, recovery, seed, 10)).run();
    }

    @Test
    void noEngineIsOverloadedWithRecovery() {
        Outcome outcome = simulate(true, 1);
        assertThat(outcome.violations()).isEmpty();
        assertThat(outcome.engineFailureTimes()).isEmpty();
        assertThat(outcome.counts().get("served")).isPositive();
        assertThat(outcome.servedShare(10)).isGreaterThan(0.2); // with 4 engines each of 40 front ends has a small share
    }

    @Test
    void anEngineIsOverloadedWithoutRecovery() {
        assertThat(simulate(false, 1).engineFailureTimes()).isNotEmpty();
    }

    @Test
    void runsAreDeterministicForASeed() {
        Outcome first = simulate(true, 7);
        Outcome second = simulate(true, 7);
        assertThat(first.counts()).isEqualTo(second.counts());
        assertThat(first.servedWorth()).containsExactly(second.servedWorth());
        assertThat(simulate(true, 8).counts()).isNotEqualTo(first.counts());
    }

    @Test
    void aColdEngineToleratesItsLimitAndFailsAboveIt() {
        VirtualTime time = new VirtualTime();
        VirtualEngine engine = new VirtualEngine(time, new VirtualEngine.Profile(4, 6000, 0.3, 1000, 1.5, 30));
        engine.powerOn();
        for (int i = 0; i < 86; i++) { // 60 + 3 sqrt(60) + 3
            assertThat(engine.submit("r" + i, 30, () -> { })).isTrue();
        }
        assertThat(engine.submit("one too many", 30, () -> { })).isFalse();
        assertThat(engine.isAvailable()).isFalse();
    }
}
