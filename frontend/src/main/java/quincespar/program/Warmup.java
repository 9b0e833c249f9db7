package quincespar.program;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import quincespar.decision.GcMuScheduler;
import quincespar.decision.Scheduler.ClassSpec;
import quincespar.program.clients.ThriftServer;
import quincespar.protocol.resp.EngineCodec;
import quincespar.protocol.resp.RespDecoder;
import quincespar.protocol.thrift.FrontCodec;
import quincespar.routing.Bounds;
import quincespar.routing.Caller;
import quincespar.routing.Effect;
import quincespar.routing.EngineMessage;
import quincespar.routing.Input;
import quincespar.routing.Query;
import quincespar.routing.Reducer;
import quincespar.routing.TimerKey;

/**
 * Gets the code that handles requests compiled by the JVM before the first request arrives. Without it the interpreter occupies a
 * single core for seconds after a start, and answers are late. Requests of each class are run on a simulated clock through a
 * reducer and a decision module that are then discarded. Uses no sockets.
 */
final class Warmup {
    private static final double TIME_LIMIT_MS = 1500;
    private static final int MIN_REQUESTS = 500, MAX_REQUESTS = 6000;
    /** Simulated time that an engine takes for a request. */
    private static final int SERVICE_MS = 40;
    private static final byte[] STATEMENT = ("SELECT o.item, sum(o.paid) -- 'by' day\nFROM sales_1.orders o JOIN"
            + " staging.days d ON d.id = o.day WHERE o.shop = 'T2_5.x' GROUP BY o.item\n")
            .getBytes(StandardCharsets.US_ASCII);

    private record ScheduledInput(double at, Input input) { }

    private final Configuration configuration;
    private final Bounds bounds;
    private final ThriftServer server;
    private final Deque<ScheduledInput> answers = new ArrayDeque<>();
    private final List<ScheduledInput> timers = new ArrayList<>();
    private final List<Input> inputs = new ArrayList<>();
    private double now;

    Warmup(Configuration configuration, Bounds bounds, ThriftServer server) {
        this.configuration = configuration;
        this.bounds = bounds;
        this.server = server;
    }

    void run() {
        Reducer scratch = new Reducer(configuration.site(), bounds,
                new GcMuScheduler(configuration.site().decision(), configuration.seed()));
        long until = System.nanoTime() + (long) (TIME_LIMIT_MS * 1e6);
        now = System.currentTimeMillis();
        perform(scratch.start(now, configuration.changeLog(), configuration.known().events()));
        List<ClassSpec> classes = configuration.site().decision().classes();
        for (int i = 0; i < MAX_REQUESTS && (i < MIN_REQUESTS || System.nanoTime() < until); i++) {
            now++;
            inputs.add(new Input.RequestReceived(new Caller(1, i), query(i, classes.get(i % classes.size())), now));
            while (!answers.isEmpty() && answers.peek().at() <= now) {
                inputs.add(answers.poll().input());
            }
            timers.stream().filter(t -> t.at() <= now).forEach(t -> inputs.add(t.input()));
            timers.removeIf(t -> t.at() <= now);
            List<Input> batch = List.copyOf(inputs);
            inputs.clear();
            perform(scratch.step(now, batch));
        }
    }

    private Query query(int i, ClassSpec spec) {
        String tenant = configuration.site().decision().tenants().stream().findFirst().map(t -> t.name()).orElse("");
        byte[] frame = FrontCodec.call(i, Map.of("verb", spec.name(), "txn", String.format("%016x", i), "limit",
                Long.toString((long) spec.deadline()), "team", tenant, "cpu", Double.toString(spec.latencyTarget() / 4),
                "heap_mb", "64", "item", Integer.toString(i)), STATEMENT);
        return server.parseQuery(Arrays.copyOfRange(frame, 4, frame.length));
    }

    private void perform(List<Effect> effects) {
        for (Effect effect : effects) {
            if (effect instanceof Effect.OpenLink e) {
                inputs.add(new Input.LinkUp(e.link()));
            } else if (effect instanceof Effect.Send e) {
                byte[] command = EngineCodec.serve(e.txn(), e.queue(), e.idempotencyKey(), e.priority(), e.budgetMs(),
                        e.statement());
                new RespDecoder().feed(command, command.length, EngineCodec::readReply);
                EngineMessage done = new EngineMessage.Done(e.txn(), 2, STATEMENT, List.of());
                answers.add(new ScheduledInput(now + SERVICE_MS, new Input.EngineMessageReceived(e.link(), done)));
            } else if (effect instanceof Effect.ReadPage e) {
                inputs.add(new Input.EngineMessageReceived(e.link(), new EngineMessage.Page(e.txn(), e.page(), STATEMENT)));
            } else if (effect instanceof Effect.Cancel e) {
                inputs.add(new Input.CancelWritten(e.key()));
            } else if (effect instanceof Effect.StartTimer e
                    && (e.key() instanceof TimerKey.Scheduler
                    || e.key() instanceof TimerKey.DecisionTick)) {
                timers.add(new ScheduledInput(now + e.delayMs(), new Input.TimerFired(e.key())));
            }
        }
    }
}
