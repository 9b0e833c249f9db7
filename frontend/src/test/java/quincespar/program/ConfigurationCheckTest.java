package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quincespar.protocol.Json;

/** Accepted and rejected configurations, at a start and on SIGHUP. */
class ConfigurationCheckTest {
    private static final String VALID = """
        {"name":"n1","listen":"127.0.0.1:1","admin_addr":"127.0.0.1:2","seed":"8c1f","limits":{"cores":0.5,"sockets":64},
         "changelog":"127.0.0.1:3","known":{"seq":1,"results":[{"seq":1,"fleet":{"revision":1,"complete":true,
         "members":[{"id":"s-1","host_port":"127.0.0.1:9","phase":"up"}]}}]},
         "settings":{"tick":5,"limits":{"maxAttempts":3},"localities":["a"],"projects":[{"name":"acme","quotaPerS":5}],
         "requestClasses":[{"name":"lookup","slo":800.0,"hardLimit":4000.0,"effect":"safe"},
         {"name":"load","slo":800.0,"hardLimit":9000.0,"effect":"unsafe"}]}}""";

    private static final Map<String, Object> CURRENT = Json.object(Json.read(VALID.getBytes(StandardCharsets.UTF_8)), "it");

    private static ConfigurationCheck.Result check(String text) {
        return ConfigurationCheck.check(text.getBytes(StandardCharsets.UTF_8), Map.of(), CURRENT);
    }

    private static List<String> problems(String text) {
        return check(text) instanceof ConfigurationCheck.Invalid invalid ? invalid.problems() : List.of();
    }

    @Test
    void aValidFileIsAcceptedAlsoWithFurtherKeysAndClasses() {
        assertThat(check(VALID)).isInstanceOf(ConfigurationCheck.Valid.class);
        String more = VALID.replace("\"tick\":5", "\"tick\":5,\"further\":[1]").replace("[{\"name\":\"lookup\"",
                "[{\"name\":\"new\",\"slo\":1,\"hardLimit\":2,\"effect\":\"keyed\"},{\"name\":\"lookup\"");
        assertThat(((ConfigurationCheck.Valid) check(more)).configuration().site().classNumbers())
                .containsOnlyKeys("new", "lookup", "load");
    }

    /** A file that is read while it is being written, or that was truncated, must not be used in part. */
    @Test
    void aFileTruncatedAtAnyByteIsRejected() {
        byte[] complete = VALID.getBytes(StandardCharsets.UTF_8);
        for (int n = 0; n < complete.length; n++) {
            ConfigurationCheck.Result r = ConfigurationCheck.check(Arrays.copyOf(complete, n), Map.of(), CURRENT);
            assertThat(r).as("truncated after " + n).isInstanceOf(ConfigurationCheck.Invalid.class);
            assertThat(((ConfigurationCheck.Invalid) r).line()).hasLineCount(1).isNotBlank();
        }
    }

    @Test
    void aFileWithoutAKeyOfTheCurrentOneIsRejectedWithTheNameOfTheKey() {
        for (String path : List.of("name", "listen", "admin_addr", "seed", "limits", "changelog", "known", "settings",
                "limits.cores", "settings.tick", "settings.limits", "settings.limits.maxAttempts", "settings.localities",
                "settings.projects", "settings.requestClasses")) {
            Map<String, Object> all = Json.object(Json.read(VALID.getBytes(StandardCharsets.UTF_8)), "it");
            String[] steps = path.split("\\.");
            Map<String, Object> at = all;
            for (String step : Arrays.copyOf(steps, steps.length - 1)) {
                at = Json.object(at.get(step), step);
            }
            at.remove(steps[steps.length - 1]);
            assertThat(problems(write(all))).as(path).anyMatch(f -> f.startsWith(path + " "));
        }
        for (String key : List.of("name", "slo", "hardLimit", "effect")) {
            Map<String, Object> all = Json.object(Json.read(VALID.getBytes(StandardCharsets.UTF_8)), "it");
            Object classes = Json.object(all.get("settings"), "settings").get("requestClasses");
            Json.object(Json.list(classes, "classes").get(1), "class").remove(key);
            assertThat(problems(write(all))).as(key)
                    .anyMatch(f -> f.startsWith("settings.requestClasses.1." + key + " "));
        }
        assertThat(problems(VALID.replace("\"quotaPerS\":5", "\"share\":5")))
                .contains("settings.projects.0.quotaPerS is missing");
    }

    @Test
    void aDeadlineOrNumberOfAttemptsThatIsNotAPositiveNumberIsRejected() {
        for (String wrong : List.of("0", "-1", "\"soon\"", "\"4000\"", "null", "true", "[1]", "{}", "1e400", "-0.0", "1e30",
                "\"NaN\"", "NaN")) {
            assertThat(check(VALID.replace("\"hardLimit\":9000.0", "\"hardLimit\":" + wrong))).as(wrong)
                    .isInstanceOf(ConfigurationCheck.Invalid.class);
            assertThat(check(VALID.replace("\"maxAttempts\":3", "\"maxAttempts\":" + wrong))).as(wrong)
                    .isInstanceOf(ConfigurationCheck.Invalid.class);
        }
        assertThat(problems(VALID.replace("\"maxAttempts\":3", "\"maxAttempts\":1.5"))).hasSize(1);
        assertThat(check(VALID.replace("9000.0", "1"))).isInstanceOf(ConfigurationCheck.Valid.class);
    }

    @Test
    void allProblemsAreReportedAtOnce() {
        assertThat(problems(VALID.replace("9000.0", "0").replace("\"maxAttempts\":3", "\"maxAttempts\":-1")
                .replace("\"name\":\"load\"", "\"name\":\"lookup\"").replace("\"unsafe\"", "\"odd\""))).containsExactlyInAnyOrder(
                "settings.requestClasses.1.name is also the name of another class",
                "settings.requestClasses.1.hardLimit is not a number above 0 and at most 1000000000",
                "settings.requestClasses.1.effect is not one of safe, keyed, unsafe",
                "settings.limits.maxAttempts is not a number above 0 and at most 1000");
        assertThat(problems(VALID.replace("127.0.0.1:3", "somewhere"))).hasSize(1);
        assertThat(problems("[]")).hasSize(1);
        assertThat(problems(VALID + VALID)).hasSize(1);
    }

    private static String write(Object value) {
        if (value instanceof Map<?, ?> m) {
            return "{" + String.join(",", m.entrySet().stream().map(e -> "\"" + e.getKey() + "\":" + write(e.getValue()))
                    .toList()) + "}";
        } else if (value instanceof List<?> l) {
            return "[" + String.join(",", l.stream().map(ConfigurationCheckTest::write).toList()) + "]";
        }
        return value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
    }
}
