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
import quincespar.decision.Scheduler;
import quincespar.decision.SettingsParser;

/**
 * Hosts instances of the decision module under a simulator. Decodes batches of records into events, passes each instance
 * its own events, and encodes the resulting actions. Instances share nothing but this loop.
 */
public final class SimulatorHost {
    private static final int HEADER_BYTES = 16;
    private static final int RECORD_HEADER_BYTES = 5;

    private static final int PEER_MESSAGE = 10;
    private static final int REQUEST_LEFT = 20;
    private static final int REQUEST = 30;
    private static final int START_INSTANCE = 40;
    private static final int ENGINE_LIST = 50;
    private static final int ATTEMPT_STARTED = 60;
    private static final int ATTEMPT_NOTE = 70;
    private static final int STOP_INSTANCE = 80;
    private static final int TIMER = 90;
    private static final int ATTEMPT_ENDED = 100;
    private static final int ENGINE_PROBED = 110;
    private static final int ENGINES_LISTED = 120;

    /** Outcomes of attempts by status code. */
    private static final Scheduler.Outcome[] OUTCOMES_BY_CODE = new Scheduler.Outcome[15];

    static {
        OUTCOMES_BY_CODE[0] = Scheduler.Outcome.OK;
        OUTCOMES_BY_CODE[13] = Scheduler.Outcome.ERROR;
        OUTCOMES_BY_CODE[8] = Scheduler.Outcome.FULL;
        OUTCOMES_BY_CODE[4] = Scheduler.Outcome.TIMEOUT;
        OUTCOMES_BY_CODE[14] = Scheduler.Outcome.CONNECT_FAILED;
        OUTCOMES_BY_CODE[10] = Scheduler.Outcome.RESET;
        OUTCOMES_BY_CODE[1] = Scheduler.Outcome.CANCELLED;
        OUTCOMES_BY_CODE[9] = Scheduler.Outcome.MOOT;
    }

    /** Creates the decision module of an instance. */
    public interface GatewayFactory {
        Scheduler create(Scheduler.Settings settings, long seed);
    }

    private final GatewayFactory gatewayFactory;
    private final Map<Integer, Scheduler> instances = new TreeMap<>();
    private final Map<Integer, List<Scheduler.Engine>> engineLists = new TreeMap<>();
    private Map<Integer, List<Scheduler.Event>> pendingEvents = new LinkedHashMap<>();

    /** Creates a host of instances of {@link GcMuScheduler}. */
    public SimulatorHost() {
        this(GcMuScheduler::new);
    }

    /** Creates a host of instances that the factory creates. */
    public SimulatorHost(GatewayFactory gatewayFactory) {
        this.gatewayFactory = gatewayFactory;
    }

    /** Answers batches until the end of the input. */
    public void serve(InputStream in, OutputStream out) throws IOException {
        byte[] header = new byte[HEADER_BYTES];
        while (true) {
            int n = in.readNBytes(header, 0, HEADER_BYTES);
            if (n == 0) {
                return;
            }
            if (n < HEADER_BYTES) {
                throw new SimulatorProtocolException("batch header: ends at offset " + n + " of " + HEADER_BYTES);
            }
            RecordReader headReader = new RecordReader(header, 0, 0, HEADER_BYTES, "batch header");
            long length = headReader.u32();
            long count = headReader.u32();
            double now = headReader.f64();
            if (length > Integer.MAX_VALUE - HEADER_BYTES) {
                throw new SimulatorProtocolException("batch header: length " + length + " at offset 0 is too large");
            }
            byte[] body = in.readNBytes((int) length);
            if (body.length < length) {
                throw new SimulatorProtocolException("batch: input ends at offset " + body.length + " of " + length);
            }
            out.write(processBatch(body, count, now));
            out.flush();
        }
    }

    /** Decodes one batch and returns the encoded reply. */
    byte[] processBatch(byte[] body, long count, double now) {
        pendingEvents = new LinkedHashMap<>();
        int offset = 0;
        for (long i = 0; i < count; i++) {
            String recordName = "record " + i;
            RecordReader headReader = new RecordReader(body, offset, offset, body.length, recordName);
            int code = headReader.u8();
            long size = headReader.u32();
            if (size > body.length - offset - RECORD_HEADER_BYTES) {
                throw new SimulatorProtocolException(recordName + " (code " + code + "): length " + size
                        + " at offset 1 runs past the end of the batch");
            }
            int end = offset + RECORD_HEADER_BYTES + (int) size;
            record(code, new RecordReader(body, offset, offset + RECORD_HEADER_BYTES, end, recordName + " (code " + code + ")"));
            offset = end;
        }
        if (offset != body.length) {
            throw new SimulatorProtocolException("batch: " + (body.length - offset) + " bytes at offset " + offset
                    + " after its last record");
        }
        ReplyWriter reply = new ReplyWriter();
        for (Map.Entry<Integer, List<Scheduler.Event>> e : pendingEvents.entrySet()) {
            answer(e.getKey(), e.getValue(), now, reply);
        }
        return reply.take();
    }

    private void answer(int instance, List<Scheduler.Event> events, double now, ReplyWriter reply) {
        Scheduler gateway = instances.get(instance);
        if (gateway == null) {
            return;
        }
        List<Scheduler.Action> actions;
        try {
            actions = gateway.decide(now, events);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.fault(instance, e + (trace.length > 0 ? " at " + trace[0] : ""));
            return;
        }
        for (Scheduler.Action a : actions) {
            reply.action(instance, a);
        }
    }

    private void record(int code, RecordReader reader) {
        if (code == ENGINE_LIST) {
            int id = reader.u16();
            engineLists.put(id, engineList(reader));
            return;
        }
        boolean known = code % 10 == 0 && code >= PEER_MESSAGE && code <= ENGINES_LISTED;
        if (!known) {
            return;
        }
        int instance = reader.u16();
        switch (code) {
            case START_INSTANCE -> startInstance(instance, reader);
            case STOP_INSTANCE -> {
                instances.remove(instance);
                pendingEvents.remove(instance);
            }
            default -> pendingEvents.computeIfAbsent(instance, k -> new ArrayList<>()).add(event(code, reader));
        }
    }

    private void startInstance(int instance, RecordReader reader) {
        long seed = reader.u64();
        String text = reader.text(reader.i32());
        try {
            instances.put(instance, gatewayFactory.create(SettingsParser.parse(text), seed));
        } catch (IllegalArgumentException e) {
            throw new SimulatorProtocolException("settings of instance " + instance + ": " + e.getMessage());
        }
        pendingEvents.put(instance, new ArrayList<>());
    }

    private static List<Scheduler.Engine> engineList(RecordReader reader) {
        long n = reader.u32();
        List<Scheduler.Engine> out = new ArrayList<>();
        for (long i = 0; i < n; i++) {
            long id = reader.engine();
            int zone = reader.u8();
            int kind = reader.u8();
            int cell = reader.u16();
            int stateCode = reader.u8();
            double weight = reader.f32();
            double startedAt = reader.f64();
            Scheduler.EngineState state = switch (stateCode) {
                case 2 -> Scheduler.EngineState.READY;
                case 1 -> Scheduler.EngineState.GONE;
                default -> Scheduler.EngineState.DRAINING;
            };
            out.add(new Scheduler.Engine(id, zone, kind, cell, state, weight, startedAt));
        }
        return out;
    }

    private Scheduler.Event event(int code, RecordReader reader) {
        return switch (code) {
            case PEER_MESSAGE -> new Scheduler.PeerMessage(reader.u32(), reader.raw(reader.u16()));
            case REQUEST_LEFT -> new Scheduler.ClientLeft(reader.u64());
            case REQUEST -> request(reader);
            case ATTEMPT_STARTED -> started(reader);
            case ATTEMPT_NOTE -> note(reader);
            case TIMER -> new Scheduler.TimerFired(reader.i32());
            case ATTEMPT_ENDED -> ended(reader);
            case ENGINE_PROBED -> {
                long engine = reader.engine();
                boolean ok = reader.u16() == 0;
                double latency = reader.f64();
                yield new Scheduler.ProbeResult(engine, ok, latency, load(reader));
            }
            default -> listed(reader);
        };
    }

    private static Scheduler.Event request(RecordReader reader) {
        long id = reader.u64();
        int tenant = reader.i32();
        double tables = reader.f32();
        double memory = reader.f32();
        long key = reader.u64();
        int flags = reader.u16();
        double workEstimate = reader.f64();
        int requestClass = reader.u8();
        double patience = reader.f64();
        double work = (flags & 1) != 0 ? workEstimate : Double.NaN;
        return new Scheduler.Request(id, requestClass, tenant, patience, work, memory, tables, key, (flags & 2) != 0,
                (flags & 4) != 0);
    }

    private static Scheduler.Event started(RecordReader reader) {
        long id = reader.u64();
        double latency = reader.f64();
        long engine = reader.engine();
        return new Scheduler.AnswerStarted(id, reader.u16(), engine, latency);
    }

    private static Scheduler.Event note(RecordReader reader) {
        long id = reader.u64();
        int attempt = reader.u16();
        long engine = reader.engine();
        Scheduler.NoteKind kind = switch (reader.u8()) {
            case 1 -> Scheduler.NoteKind.PROGRESS;
            case 2 -> Scheduler.NoteKind.SPILL;
            default -> Scheduler.NoteKind.WAIT;
        };
        return new Scheduler.AttemptNote(id, attempt, engine, kind, reader.f32());
    }

    private static Scheduler.Event ended(RecordReader reader) {
        long id = reader.u64();
        int attempt = reader.u16();
        long engine = reader.engine();
        int code = reader.u16();
        double latency = reader.f64();
        boolean over = reader.u8() != 0;
        long stats = reader.u32();
        Scheduler.Outcome known = code < OUTCOMES_BY_CODE.length ? OUTCOMES_BY_CODE[code] : null;
        boolean hasStats = known == Scheduler.Outcome.OK && stats != 0;
        return new Scheduler.AttemptEnded(id, attempt, engine, known == null ? Scheduler.Outcome.ERROR : known, latency, over,
                hasStats ? (double) (stats >>> 12) : Double.NaN, hasStats ? 4.0 * (stats & 4095) : Double.NaN, load(reader));
    }

    private static List<Double> load(RecordReader reader) {
        int n = reader.u8();
        List<Double> out = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            out.add(reader.f32());
        }
        return out;
    }

    private Scheduler.Event listed(RecordReader reader) {
        int kindCode = reader.u8();
        long version = reader.u64();
        int listNumber = reader.u16();
        Scheduler.ListKind kind = switch (kindCode) {
            case 0 -> Scheduler.ListKind.DELTA;
            case 1 -> Scheduler.ListKind.FULL;
            case 2 -> Scheduler.ListKind.CACHED;
            default -> Scheduler.ListKind.FAILED;
        };
        List<Scheduler.Engine> engines = kind == Scheduler.ListKind.FAILED ? List.of() : engineLists.get(listNumber);
        if (engines == null) {
            throw new SimulatorProtocolException("TOPOLOGY refers to list " + listNumber + ", which has not been sent");
        }
        return new Scheduler.EngineList(kind, version, engines);
    }
}
