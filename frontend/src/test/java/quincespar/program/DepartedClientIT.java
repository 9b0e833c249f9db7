package quincespar.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quincespar.protocol.thrift.FrontCodec;

/** The jar, and clients that leave while much of what they have sent is unread. */
@Timeout(60)
class DepartedClientIT {
    private static final int LOADS = 30, STATEMENT_BYTES = 10_000;

    @TempDir
    private Path folder;
    private ScriptedPeers.Engine engine;
    private Process process;
    private int port;

    @BeforeEach
    void start() throws Exception {
        engine = new ScriptedPeers.Engine();
        port = ScriptedPeers.freePort();
        int admin = ScriptedPeers.freePort();
        Path file = Files.writeString(folder.resolve("config.json"), ScriptedPeers.configuration(port,
                new ScriptedPeers.ChangeLog(), engine, ScriptedPeers.LOOKUP, ScriptedPeers.LOAD));
        process = ScriptedPeers.startProcess("", file, admin, Files.createDirectory(folder.resolve("tmp")),
                folder.resolve("log"));
        ScriptedPeers.awaitReady(admin);
    }

    @AfterEach
    void stop() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    private void lookUp(ScriptedPeers.Client client, int call) throws IOException, InterruptedException {
        client.call(call, ScriptedPeers.fields("lookup", String.format("%016x", call)));
        ScriptedPeers.Engine.Command command = engine.commands.take();
        assertThat(command.id()).isEqualTo(String.format("%016x", call));
        command.answer(command.id(), "DONE", "count=1", "row\ta\tb\n");
        assertThat(client.answer()).isEqualTo(ScriptedPeers.Kind.SERVED);
    }

    private static byte[] loads() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int call = 1; call <= LOADS; call++) {
            Map<String, String> fields = new HashMap<>(ScriptedPeers.fields("load", String.format("aa%014x", call)));
            out.writeBytes(FrontCodec.call(call, fields,
                    "x".repeat(STATEMENT_BYTES).getBytes(StandardCharsets.UTF_8)));
        }
        return out.toByteArray();
    }

    /** Guards against requests that are sent although their client's end is among what is unread. */
    @Test
    void requestsAreNotSentWhoseClientLeftBeforeItsInputWasRead() throws Exception {
        ScriptedPeers.Client watch = new ScriptedPeers.Client(port);
        ScriptedPeers.Client departing = new ScriptedPeers.Client(port);
        lookUp(watch, 1);
        while (!watch.counters().get("clients.connected").equals("2")) {
            ScriptedPeers.spin();
        }
        ScriptedPeers.signal(process, "STOP");
        departing.raw(loads());
        departing.close();
        ScriptedPeers.signal(process, "CONT");
        while (!watch.counters().get("clients.connected").equals("1")) {
            ScriptedPeers.spin();
        }
        lookUp(watch, 2);
        watch.close();
    }
}
