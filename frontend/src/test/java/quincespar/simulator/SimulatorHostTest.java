package quincespar.simulator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import quincespar.decision.Scheduler;
import org.junit.jupiter.api.Test;

/** The simulator protocol: decoded and encoded sample frames, and truncated or invalid input. */
class SimulatorHostTest {
    private static final String SETTINGS = "requestClasses.count=1\nrequestClasses.0.slo=800\n"
            + "requestClasses.0.hardLimit=4000\nrequestClasses.0.effect=safe\nunknownSetting=1\n";
    private final List<Scheduler.Event> receivedEvents = new ArrayList<>();
    private List<Scheduler.Action> actions = List.of();
    private final SimulatorHost host = new SimulatorHost((settings, seed) -> (now, events) -> {
        receivedEvents.addAll(events);
        return actions;
    });

    private static byte[] hex(String s) {
        return HexFormat.of().parseHex(s.replace(" ", ""));
    }

    private static byte[] record(int code, byte[] body) {
        return ByteBuffer.allocate(5 + body.length).order(ByteOrder.LITTLE_ENDIAN).put((byte) code)
                .putInt(body.length).put(body).array();
    }

    private static byte[] startInstance(String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        return record(40, ByteBuffer.allocate(14 + text.length).order(ByteOrder.LITTLE_ENDIAN).putShort((short) 3)
                .putLong(9).putInt(text.length).put(text).array());
    }

    private static byte[] join(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] p : parts) {
            out.writeBytes(p);
        }
        return out.toByteArray();
    }

    private static final byte[] REQUEST = hex("1e 31000000 0300 c4913a5dfdb40800 00000000 00003041 0000c043"
            + "640ad2557c3bf091 0100 0000000000002840 00 0000000000006e40");
    private static final byte[] LIST = hex("32 1d000000 0000 01000000 0a9011f2 841b 01 00 0000 02 0000c03f"
            + "0000000000d4b740 78 0d000000 0300 02 2900000000000000 0000");

    @Test
    void aRequestAndAnEngineListAreDecoded() {
        host.processBatch(join(startInstance(SETTINGS), LIST, REQUEST), 4, 1);
        Scheduler.EngineList l = (Scheduler.EngineList) receivedEvents.get(0);
        assertEquals(Scheduler.ListKind.CACHED, l.kind());
        assertEquals(41, l.version());
        assertEquals(1.5, l.engines().get(0).weight());
        assertEquals(6100, l.engines().get(0).startedAt());
        assertEquals(1, l.engines().get(0).zone());
        Scheduler.Request r = (Scheduler.Request) receivedEvents.get(1);
        assertEquals(0x0008b4fd5d3a91c4L, r.id());
        assertEquals(12, r.estimatedWork());
        assertEquals(240, r.clientTimeout());
        assertEquals(384, r.estimatedMemory());
        assertEquals(11, r.tableGroup());
        assertEquals(0x91f03b7c55d20a64L, r.key());
    }

    @Test
    void anOutcomeCarriesWorkAndMemory() {
        host.processBatch(join(startInstance(SETTINGS), LIST, hex("64 2a000000 0300 c4913a5dfdb40800 0000 0a9011f2841b 0000"
                + "0000000000803240 01 60100100 02 0000e040 52b81e3f")), 4, 1);
        Scheduler.AttemptEnded e = (Scheduler.AttemptEnded) receivedEvents.get(1);
        assertEquals(Scheduler.Outcome.OK, e.outcome());
        assertEquals(18.5, e.latency());
        assertTrue(e.requestOver());
        assertEquals(17, e.reportedWork());
        assertEquals(0x60 * 4, e.reportedMemory());
        assertEquals(7.0, e.engineReport().get(0));
    }

    @Test
    void actionsAreEncoded() {
        long engine = new RecordReader(hex("0a124a071b5b"), 0, 0, 6, "x").engine();
        actions = List.of(new Scheduler.SendAttempt(0x0008b4fd5d3a91c4L, engine, 80), new Scheduler.SetTimer(77, 500),
                new Scheduler.SetTerms(0x0008b4fd5d3a91c4L, 2, 640));
        byte[] out = host.processBatch(join(startInstance(SETTINGS), LIST), 3, 1);
        assertArrayEquals(hex("44000000 0a 18000000 0300 c4913a5dfdb40800 0a124a07 1b5b 0000000000005440"
                + "32 0e000000 0300 4d000000 0000000000407f40 82 0f000000 0300 c4913a5dfdb40800 02 00002044"), out);
    }

    @Test
    void emptyBatchesAreAnsweredUntilTheEndOfInput() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        host.serve(new ByteArrayInputStream(new byte[32]), out);
        assertArrayEquals(new byte[8], out.toByteArray());
    }

    @Test
    void unknownEventsAndExtraFieldsAreSkipped() {
        byte[] withExtraField = record(20, hex("0300 0100000000000000 ffff"));
        host.processBatch(join(startInstance(SETTINGS), record(77, new byte[9]), withExtraField), 3, 1);
        assertEquals(List.of(new Scheduler.ClientLeft(1)), receivedEvents);
    }

    @Test
    void aTruncatedRecordIsReportedWithItsOffset() {
        byte[] truncated = record(20, hex("0300 01000000"));
        String m = assertThrows(SimulatorProtocolException.class,
                () -> host.processBatch(join(startInstance(SETTINGS), truncated), 2, 1)).getMessage();
        assertTrue(m.contains("record 1") && m.contains("offset 7"), m);
    }

    @Test
    void aTruncatedBatchWritesNothing() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] head = hex("10000000 01000000 0000000000000000 14 0a");
        assertThrows(SimulatorProtocolException.class, () -> host.serve(new ByteArrayInputStream(head), out));
        assertEquals(0, out.size());
    }

    @Test
    void aMissingOrInvalidSettingIsNamed() {
        String m = assertThrows(SimulatorProtocolException.class, () -> host.processBatch(startInstance("balancers=2\n"), 1, 1))
                .getMessage();
        assertTrue(m.contains("requestClasses.count"), m);
        m = assertThrows(SimulatorProtocolException.class, () -> host.processBatch(startInstance(SETTINGS + "tick=soon\n"), 1, 1))
                .getMessage();
        assertTrue(m.contains("tick"), m);
    }

    @Test
    void aFailureOfOneInstanceIsReportedAsItsOwn() {
        SimulatorHost failing = new SimulatorHost((settings, seed) -> (now, events) -> {
            throw new IllegalStateException("broken");
        });
        byte[] out = failing.processBatch(join(startInstance(SETTINGS), LIST), 3, 1);
        assertEquals(100, out[4]);
        assertTrue(new String(out, StandardCharsets.UTF_8).contains("broken"));
    }

    @Test
    void aStoppedInstanceIsRemovedAndAListNumberIsReused() {
        byte[] stop = record(80, hex("0300"));
        host.processBatch(join(startInstance(SETTINGS), LIST, REQUEST, stop), 5, 1);
        assertTrue(receivedEvents.isEmpty());
        host.processBatch(join(startInstance(SETTINGS), LIST, hex("32 06000000 0000 00000000"), hex("78 0d000000 0300 01"
                + "2a00000000000000 0000")), 5, 2);
        assertEquals(1, ((Scheduler.EngineList) receivedEvents.get(0)).engines().size());
        assertEquals(0, ((Scheduler.EngineList) receivedEvents.get(1)).engines().size());
    }

    @Test
    void wrongArgumentsGetExitCodeTwo() {
        assertEquals(2, quincespar.program.Main.run("adapt"));
        assertEquals(2, quincespar.program.Main.run());
    }
}
