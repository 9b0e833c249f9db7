package quincespar.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class FleetConfigTest {
    @Test
    void parsesAddressesAndReportsErrors() {
        List<String> problems = new ArrayList<>();
        assertThat(FleetConfig.parseAddresses("a=10.0.0.1:7000, b=h:2", "voters", problems)).isEqualTo(
                Map.of("a", "10.0.0.1:7000", "b", "h:2"));
        assertThat(problems).isEmpty();
        FleetConfig.parseAddresses("x,=h:1,a=h:0,a=h,b=h:1,b=h:2", "voters", problems);
        assertThat(problems).containsExactly("voters: 'x' is not NAME=HOST:PORT", "voters: '=h:1' is not NAME=HOST:PORT",
                "voters: 'h:0' of a is not HOST:PORT", "voters: 'h' of a is not HOST:PORT", "voters: b is listed twice");
    }

    @Test
    void reportsIncompatibleValues() {
        Map<String, String> three = Map.of("a", "h:1", "b", "h:2", "c", "h:3");
        assertThat(new FleetConfig("g", three, Map.of("a", "h:9"), 500, 2000, 6000, 400, 1).problems()).isEmpty();
        assertThat(new FleetConfig("g", Map.of("a", "h:1", "b", "h:1"), Map.of("z", "h:9"), 500, 1000, 1200, 400, 1).problems())
                .hasSize(6);
        assertThat(new FleetConfig("g", three, Map.of("a", "h:9"), 500, 2000, 6000, 400, 1).addressOf("a")).isEqualTo("h:9");
    }
}
