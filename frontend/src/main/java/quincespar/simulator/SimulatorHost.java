package quincespar.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import quincespar.decision.GcMuScheduler;
import quincespar.decision.Gateway;
import quincespar.decision.SettingsParser;

/**
 * Hosts many instances of the decision module on the simulator's wire: turns batches into events, hands each
 * instance its own, and writes back the actions. It only translates; instances share nothing but this loop.
 */
public final class SimulatorHost {
    private static final int HEADER = 16;
    private static final int RECORD_HEAD = 5;
    private static final Gateway.Outcome[] OUTCOMES = new Gateway.Outcome[15];

    static {
        OUTCOMES[0] = Gateway.Outcome.OK;
        OUTCOMES[13] = Gateway.Outcome.ERROR;
        OUTCOMES[8] = Gateway.Outcome.FULL;
        OUTCOMES[4] = Gateway.Outcome.TIMEOUT;
        OUTCOMES[14] = Gateway.Outcome.CONNECT_FAILED;
        OUTCOMES[10] = Gateway.Outcome.RESET;
        OUTCOMES[1] = Gateway.Outcome.CANCELLED;
        OUTCOMES[9] = Gateway.Outcome.MOOT;
    }

    /** Makes the module of one instance. */
    public interface GatewayFactory {
        Gateway create(Gateway.Settings settings, long seed);
    }

    private final GatewayFactory gatewayFactory;
    private final Map<Integer, Gateway> instances = new TreeMap<>();
    private final Map<Integer, List<Gateway.Engine>> rosters = new TreeMap<>();
    private Map<Integer, List<Gateway.Event>> pending = new LinkedHashMap<>();

    /** A host of the project's own module. */
    public SimulatorHost() {
        this(GcMuScheduler::new);
    }

    /** A host of modules that are made by someone else. */
    public SimulatorHost(GatewayFactory gatewayFactory) {
        this.gatewayFactory = gatewayFactory;
    }

    /** Answers batches until the input ends. */
    public void serve(InputStream in, OutputStream out) throws IOException {
        byte[] header = new byte[HEADER];
        while (true) {
            int n = in.readNBytes(header, 0, HEADER);
            if (n == 0) {
                return;
            }
            if (n < HEADER) {
                throw new SimulatorProtocolException("batch header: ends at offset " + n + " of " + HEADER);
            }
            RecordReader head = new RecordReader(header, 0, 0, HEADER, "batch header");
            long length = head.u32();
            long count = head.u32();
            double now = head.f64();
            if (length > Integer.MAX_VALUE - HEADER) {
                throw new SimulatorProtocolException("batch header: length " + length + " at offset 0 is too large");
            }
            byte[] body = in.readNBytes((int) length);
            if (body.length < length) {
                throw new SimulatorProtocolException("batch: input ends at offset " + body.length + " of " + length);
            }
            out.write(batch(body, count, now));
            out.flush();
        }
    }

    /** Decodes one batch and answers it. */
    byte[] batch(byte[] body, long count, double now) {
        pending = new LinkedHashMap<>();
        int at = 0;
        for (long i = 0; i < count; i++) {
            String what = "record " + i;
            RecordReader head = new RecordReader(body, at, at, body.length, what);
            int code = head.u8();
            long size = head.u32();
            if (size > body.length - at - RECORD_HEAD) {
                throw new SimulatorProtocolException(what + " (code " + code + "): length " + size + " at offset 1 runs past "
                        + "the end of the batch");
            }
            int end = at + RECORD_HEAD + (int) size;
            record(code, new RecordReader(body, at, at + RECORD_HEAD, end, what + " (code " + code + ")"));
            at = end;
        }
        if (at != body.length) {
            throw new SimulatorProtocolException("batch: " + (body.length - at) + " bytes at offset " + at
                    + " after its last record");
        }
        ReplyWriter reply = new ReplyWriter();
        for (Map.Entry<Integer, List<Gateway.Event>> e : pending.entrySet()) {
            answer(e.getKey(), e.getValue(), now, reply);
        }
        return reply.take();
    }

    private void answer(int instance, List<Gateway.Event> events, double now, ReplyWriter reply) {
        Gateway gateway = instances.get(instance);
        if (gateway == null) {
            return;
        }
        List<Gateway.Action> actions;
        try {
            actions = gateway.decide(now, events);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.fault(instance, e + (trace.length > 0 ? " at " + trace[0] : ""));
            return;
        }
        for (Gateway.Action a : actions) {
            reply.action(instance, a);
        }
    }

    private void record(int code, RecordReader r) {
        if (code == 50) {
            int id = r.u16();
            rosters.put(id, entries(r));
            return;
        }
        boolean known = code % 10 == 0 && code >= 10 && code <= 120;
        if (!known) {
            return;
        }
        int instance = r.u16();
        switch (code) {
            case 40 -> provision(instance, r);
            case 80 -> {
                instances.remove(instance);
                pending.remove(instance);
            }
            default -> pending.computeIfAbsent(instance, k -> new ArrayList<>()).add(event(code, r));
        }
    }

    private void provision(int instance, RecordReader r) {
        long seed = r.u64();
        String text = r.text(r.i32());
        try {
            instances.put(instance, gatewayFactory.create(SettingsParser.parse(text), seed));
        } catch (IllegalArgumentException e) {
            throw new SimulatorProtocolException("settings of instance " + instance + ": " + e.getMessage());
        }
        pending.put(instance, new ArrayList<>());
    }

    private static List<Gateway.Engine> entries(RecordReader r) {
        long n = r.u32();
        List<Gateway.Engine> out = new ArrayList<>();
        for (long i = 0; i < n; i++) {
            long id = r.engine();
            int zone = r.u8();
            int kind = r.u8();
            int cell = r.u16();
            int mode = r.u8();
            double weight = r.f32();
            double born = r.f64();
            Gateway.EngineState state = switch (mode) {
                case 2 -> Gateway.EngineState.READY;
                case 1 -> Gateway.EngineState.GONE;
                default -> Gateway.EngineState.DRAINING;
            };
            out.add(new Gateway.Engine(id, zone, kind, cell, state, weight, born));
        }
        return out;
    }

    private Gateway.Event event(int code, RecordReader r) {
        return switch (code) {
            case 10 -> new Gateway.Told(r.u32(), r.raw(r.u16()));
            case 20 -> new Gateway.Left(r.u64());
            case 30 -> request(r);
            case 60 -> started(r);
            case 70 -> note(r);
            case 90 -> new Gateway.Timer(r.i32());
            case 100 -> ended(r);
            case 110 -> {
                long engine = r.engine();
                boolean ok = r.u16() == 0;
                double latency = r.f64();
                yield new Gateway.Probed(engine, ok, latency, load(r));
            }
            default -> listed(r);
        };
    }

    private static Gateway.Event request(RecordReader r) {
        long id = r.u64();
        int tenant = r.i32();
        double tables = r.f32();
        double memory = r.f32();
        long key = r.u64();
        int bits = r.u16();
        double guess = r.f64();
        int cls = r.u8();
        double patience = r.f64();
        double work = (bits & 1) != 0 ? guess : Double.NaN;
        return new Gateway.Request(id, cls, tenant, patience, work, memory, tables, key, (bits & 2) != 0,
                (bits & 4) != 0);
    }

    private static Gateway.Event started(RecordReader r) {
        long id = r.u64();
        double latency = r.f64();
        long engine = r.engine();
        return new Gateway.Started(id, r.u16(), engine, latency);
    }

    private static Gateway.Event note(RecordReader r) {
        long id = r.u64();
        int attempt = r.u16();
        long engine = r.engine();
        Gateway.NoteKind kind = switch (r.u8()) {
            case 1 -> Gateway.NoteKind.PROGRESS;
            case 2 -> Gateway.NoteKind.SPILL;
            default -> Gateway.NoteKind.WAIT;
        };
        return new Gateway.Note(id, attempt, engine, kind, r.f32());
    }

    private static Gateway.Event ended(RecordReader r) {
        long id = r.u64();
        int attempt = r.u16();
        long engine = r.engine();
        int code = r.u16();
        double latency = r.f64();
        boolean over = r.u8() != 0;
        long stats = r.u32();
        Gateway.Outcome known = code < OUTCOMES.length ? OUTCOMES[code] : null;
        boolean told = known == Gateway.Outcome.OK && stats != 0;
        return new Gateway.Ended(id, attempt, engine, known == null ? Gateway.Outcome.ERROR : known, latency, over,
                told ? (double) (stats >>> 12) : Double.NaN, told ? 4.0 * (stats & 4095) : Double.NaN, load(r));
    }

    private static List<Double> load(RecordReader r) {
        int n = r.u8();
        List<Double> out = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            out.add(r.f32());
        }
        return out;
    }

    private Gateway.Event listed(RecordReader r) {
        int how = r.u8();
        long version = r.u64();
        int roster = r.u16();
        Gateway.ListKind kind = switch (how) {
            case 0 -> Gateway.ListKind.DELTA;
            case 1 -> Gateway.ListKind.FULL;
            case 2 -> Gateway.ListKind.CACHED;
            default -> Gateway.ListKind.FAILED;
        };
        List<Gateway.Engine> engines = kind == Gateway.ListKind.FAILED ? List.of() : rosters.get(roster);
        if (engines == null) {
            throw new SimulatorProtocolException("TOPOLOGY names list " + roster + ", which has not come");
        }
        return new Gateway.Listed(kind, version, engines);
    }
}
