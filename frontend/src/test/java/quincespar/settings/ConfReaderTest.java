package quincespar.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfReaderTest {
    private static List<String> problems(String text) {
        return catchThrowableOfType(() -> ConfReader.read("f", text), ConfException.class).problems();
    }

    @Test
    void theTemplateSetsEverythingToItsDefault() throws ConfException {
        Settings read = ConfReader.read("f", Settings.template());
        for (Keyword k : Keyword.values()) {
            assertThat(read.text(k)).isEqualTo(Settings.defaults().text(k)).isEqualTo(k.defaultText);
        }
        for (Keyword k : Keyword.values()) {
            assertThat(Settings.template()).contains("    " + k.key + " " + k.written() + "\n", k.description);
        }
    }

    @Test
    void everyDefaultIsInItsRange() {
        for (Keyword k : Keyword.values()) {
            if (k.type == Keyword.Type.CHOICE) {
                assertThat(k.choices).contains(k.defaultText);
            } else if (k.isQuantity()) {
                assertThat(Quantity.read(k.type, k.defaultText)).as(k.key).isBetween(k.min, k.max);
            }
        }
    }

    @Test
    void sizesAndTextsAreParsed() throws ConfException {
        Settings s = ConfReader.read("f", "capture {\n folder \"/a b\"\n segment 96k\n total 2g\n}\n");
        assertThat(s.text(Keyword.CAPTURE_FOLDER)).isEqualTo("/a b");
        assertThat(s.number(Keyword.CAPTURE_SEGMENT_SIZE)).isEqualTo(96 * 1024);
        assertThat(s.number(Keyword.CAPTURE_TOTAL_SIZE)).isEqualTo(2.0 * (1 << 30));
        assertThat(problems("capture {\n segment 1t\n total 1k\n}\n")).containsExactly(
                "f:2:10: 'segment' takes a size such as 64k, 16m or 1g, not '1t'",
                "f:3:8: 'total' is 1k; it must be in the range 128k to 1024g");
    }

    @Test
    void commentsBlankLinesQuotesAndBothLineEndingsAreAccepted() throws ConfException {
        Settings s = ConfReader.read("f", "# all\r\n\r\nlog { # block\r\n\tformat \"json\" # words\r\n}\r\nlinks {\n}\n");
        assertThat(s.text(Keyword.LOG_FORMAT)).isEqualTo("json");
        assertThat(s.number(Keyword.CLIENTS_IDLE_TIMEOUT)).isEqualTo(2500);
    }

    @Test
    void theLastLineNeedsNoLineEnding() throws ConfException {
        assertThat(ConfReader.read("f", "log {\n  level debug\n}").text(Keyword.LOG_LEVEL)).isEqualTo("debug");
        assertThat(ConfReader.read("f", "").text(Keyword.LOG_LEVEL)).isEqualTo("info");
    }

    @ParameterizedTest
    @CsvSource({"250ms, 250", "2s, 2000", "1.5s, 1500", "5m, 300000", "1h, 3600000"})
    void timesAreParsedWithTheirUnits(String text, double ms) throws ConfException {
        assertThat(ConfReader.read("f", "clients {\n idle " + text + "\n}").number(Keyword.CLIENTS_IDLE_TIMEOUT)).isEqualTo(ms);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "idle 99ms|f:2:7: 'idle' is 99ms; it must be in the range 100ms to 24h",
        "idle 2|f:2:7: 'idle' takes a time such as 250ms, 2s, 5m or 1h, not '2'",
        "share 50%|f:2:8: 'share' is 50%; it must be in the range 1% to 45%",
        "share 0.5|f:2:8: 'share' takes a percentage such as 38%, not '0.5'",
        "shared 8|f:2:2: unknown keyword 'shared' in block 'clients'; did you mean 'share'?",
        "idle 2 s|f:2:9: 'idle' takes one value, a time such as 250ms, 2s, 5m or 1h; got 2 values",
        "idle|f:2:2: 'idle' takes one value, a time such as 250ms, 2s, 5m or 1h; got 0 values",
        "zebracrossing 1|f:2:2: unknown keyword 'zebracrossing' in block 'clients'; expected one of first-word, idle, share,"
            + " messages, shared-messages"})
    void problemsAreReportedWithTheirPosition(String line, String expected) {
        assertThat(problems("clients {\n " + line + "\n}\n")).containsExactly(expected);
    }

    @Test
    void allProblemsAreReportedInTheOrderOfTheFile() {
        assertThat(problems("""
            log {
              formt json
              level loud
              queue 5
            }
            lgo {
            }
            clients {
              idle 3s
              idle 3s
            }
            clients {
            }
            idle 3s
            """)).containsExactly(
                "f:2:3: unknown keyword 'formt' in block 'log'; did you mean 'format'?",
                "f:3:9: 'level' takes one of error, warn, info, debug, not 'loud'; expected one of error, warn, info, debug",
                "f:4:9: 'queue' is 5; it must be in the range 16 to 65536",
                "f:6:1: unknown block 'lgo'; did you mean 'log'?",
                "f:10:3: 'idle' is already set in line 9",
                "f:12:1: block 'clients' is already defined in line 8",
                "f:14:1: 'idle' must be inside its block, 'clients'");
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"log {~ level info~|f:3:1: unexpected end of file in a block; '}' is missing",
        "}~|f:1:1: '}' without an open block",
        "log~|f:1:1: 'log' is a block; write 'log {', its settings and '}' on separate lines",
        "log {~ log {~ }~}~|f:2:2: nested block in block 'log'"})
    void blocksMustBeClosedAndNotNested(String text, String expected) {
        assertThat(problems(text.replace('~', '\n'))).contains(expected);
    }

    /** Any text is either accepted or rejected with positions; no other exception is thrown. */
    @Property(tries = 2000, seed = "20261201")
    void anyTextIsAcceptedOrRejected(@ForAll @StringLength(max = 60) @Chars({'l', 'o', 'g', ' ', '\n', '{', '}', '"', '#', '\\',
        '5', 's', '%', '\t', '\r'}) @CharRange(from = ' ', to = '~') String text) {
        for (String body : List.of(text, "log {\n" + text + "\n}\n", "log {\n level " + text)) {
            try {
                assertThat(ConfReader.read("f", body)).isNotNull();
            } catch (ConfException e) {
                assertThat(e.problems()).isNotEmpty().allMatch(p -> p.matches("(?s)f:[0-9]+:[0-9]+: .+"));
            }
        }
    }
}
