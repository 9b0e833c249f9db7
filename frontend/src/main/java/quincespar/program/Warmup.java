package quincespar.program;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import quincespar.decision.GcMuScheduler;
import quincespar.decision.Gateway.ClassSpec;
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
 * Has the paths of a request compiled before the first one comes. Guards against a start in which the
 * interpreter fills the one core for seconds and answers are late: requests of each class are run in a time of
 * their own through a reducer and a module that are thrown away. No socket is touched.
 */
final class Warmup {
    private static final double BUDGET_MS = 1500;
    private static final int LEAST = 500, MOST = 6000;
    private static final int SERVICE_MS = 40;
    private static final byte[] STATEMENT = ("SELECT o.item, sum(o.paid) -- 'by' day\nFROM sales_1.orders o JOIN"
            + " staging.days d ON d.id = o.day WHERE o.shop = 'T2_5.x' GROUP BY o.item\n")
            .getBytes(StandardCharsets.US_ASCII);

    private record Due(double at, Input input) { }

    private final Configuration configuration;
    private final Bounds bounds;
    private final ThriftServer front;
    private final Deque<Due> answers = new ArrayDeque<>();
    private final List<Due> timers = new ArrayList<>();
    private final List<Input> inputs = new ArrayList<>();
    private double now;

    Warmup(Configuration configuration, Bounds bounds, ThriftServer front) {
        this.configuration = configuration;
        this.bounds = bounds;
        this.front = front;
    }

    void run() {
        Reducer scratch = new Reducer(configuration.site(), bounds,
                new GcMuScheduler(configuration.site().decision(), configuration.seed()));
        long until = System.nanoTime() + (long) (BUDGET_MS * 1e6);
        now = System.currentTimeMillis();
        follow(scratch.start(now, configuration.changeLog(), configuration.known().events()));
        List<ClassSpec> classes = configuration.site().decision().classes();
        for (int i = 0; i < MOST && (i < LEAST || System.nanoTime() < until); i++) {
            now++;
            inputs.add(new Input.RequestReceived(new Caller(1, i), query(i, classes.get(i % classes.size())), now));
            while (!answers.isEmpty() && answers.peek().at() <= now) {
                inputs.add(answers.poll().input());
            }
            timers.stream().filter(t -> t.at() <= now).forEach(t -> inputs.add(t.input()));
            timers.removeIf(t -> t.at() <= now);
            List<Input> batch = List.copyOf(inputs);
            inputs.clear();
            follow(scratch.step(now, batch));
        }
    }

    private Query query(int i, ClassSpec spec) {
        String tenant = configuration.site().decision().tenants().stream().findFirst().map(t -> t.name()).orElse("");
        byte[] frame = FrontCodec.call(i, Map.of("verb", spec.name(), "txn", String.format("%016x", i), "limit",
                Long.toString((long) spec.deadline()), "team", tenant, "cpu", Double.toString(spec.aim() / 4),
                "heap_mb", "64"), STATEMENT);
        return front.parseQuery(Arrays.copyOfRange(frame, 4, frame.length));
    }

    private void follow(List<Effect> effects) {
        for (Effect effect : effects) {
            if (effect instanceof Effect.OpenLink e) {
                inputs.add(new Input.LinkUp(e.link()));
            } else if (effect instanceof Effect.Send e) {
                byte[] command = EngineCodec.serve(e.txn(), e.queue(), e.idempotencyKey(), e.budgetMs(), e.statement());
                new RespDecoder().feed(command, command.length, EngineCodec::readReply);
                answers.add(new Due(now + SERVICE_MS, new Input.EngineMessageReceived(e.link(), new EngineMessage.Done(e.txn(), 2,
                        STATEMENT, List.of()))));
            } else if (effect instanceof Effect.ReadPage e) {
                inputs.add(new Input.EngineMessageReceived(e.link(), new EngineMessage.Page(e.txn(), e.page(), STATEMENT)));
            } else if (effect instanceof Effect.Cancel e) {
                inputs.add(new Input.CancelWritten(e.key()));
            } else if (effect instanceof Effect.StartTimer e
                    && (e.key() instanceof TimerKey.Gateway
                    || e.key() instanceof TimerKey.DecisionTick)) {
                timers.add(new Due(now + e.delayMs(), new Input.TimerFired(e.key())));
            }
        }
    }
}
