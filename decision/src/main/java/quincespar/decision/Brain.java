package quincespar.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import quincespar.decision.State.*;

/**
 * Every decision of one router, by D-Gcμ. The interface (settings, events, actions) is in Gateway.java.
 * Read in this order: intake and queues; index and rates; thread bound; engine choice; terms; attempts and
 * health; rule guards; answers. Time comes with the events; same events, same actions. One thread calls it.
 */
public final class Brain implements Gateway {
    /** Rates forget over about ten seconds, as the design page has it. */
    private static final double MEMORY = 10_000;
    /** Samples that the class's own figure weighs against an engine's: a rate from fewer is mostly noise. */
    private static final double PRIOR = 4;
    /** A query foretold at this many times its class's usual work is huge: a type of its own. */
    private static final double HEAVY = 4;
    /** The bound widens while latency is under this multiple of the best seen and is cut above the other. */
    private static final double NEAR = 1.25, GROWN = 1.6, POOL_GAIN = 0.5, POOL_CUT = 0.06;
    /** Share of the cold allowance that is used: engines differ by some tenths and works are estimates. */
    private static final double COLD_MARGIN = 0.7;
    /** Routers that may send to a cold engine in one turn: few, so that each may send a query or more. */
    private static final int TURN = 8;
    /** Expected finishes missed in a row by an engine before its silence is believed: chance e^-6. */
    private static final double SILENT = 6;
    /** An attempt at this many times its expected time has a bad plan; scatter decides between. */
    private static final double STRAGGLE_LEAST = 3, STRAGGLE_MOST = 8;
    /** Share of a class's sends that may be cut for a bad plan: more can't be bad luck, it is load. */
    private static final double CREDIT = 0.15;
    /** Engines of the own zone, and as many of others, in an own set: few, so that each is heard often. */
    private static final int OWN = 4;
    /** How far engines outside the own set must be better: unheard ones pass for average. */
    private static final double STRANGE = 0.6;
    /** Index kept where a load holds the query's tables: it would stand still there. */
    private static final double HELD = 0.1;
    /** A load that a note told of is taken to go on for this part of a load's time: it began before. */
    private static final double HOLDS = 0.1;
    /** What a note of waiting says where the wait is for a load. */
    private static final double WAITS_FOR_LOAD = 2;
    /** What is lost of the index from a group's best to its worst engine: less than a core's load tells. */
    private static final double LEAN = 0.5;
    /** Times the mean idle part that a router may use more: the fleet stays near its bound if a third ask. */
    private static final double BORROW = 3;
    /** What a thread of lesser γμ counts against a class; else against that of the largest γμ alone. */
    private static final double LOWER = 0.25, LOWER_OWN = 0.5;
    /** Load as reports tell it: room below, none above. Out of memory it works little: held counts twice. */
    private static final double ROOMY = 2.8, FULL = 3.6, HOLDING = 2;
    /** Few queries do not fill a pooled bound of so many threads; threads a core that it has at first. */
    private static final double BROAD = 12, KNEE = 1.5;
    /** Engines that a router watches. */
    private static final double WATCHED = 10;
    /** Share of service that words may cost at most; bytes charged for both words of an attempt. */
    private static final double TELL_MOST = 0.02, WORDS = 40;
    /** A word of a peer is dropped after this many times the time that it foretold: its end may be lost. */
    private static final double STALE = 3;
    /** An engine's report fades within two seconds: short queries have gone by then. */
    private static final double FADE = 2000;

    final Chance random;
    Settings set;
    Kind[] kinds = {};
    Type[] types = {};
    final Map<Long, Query> queries = new LinkedHashMap<>();
    final Map<Long, Node> nodes = new LinkedHashMap<>();
    private final Map<Long, KeyLine> lines = new LinkedHashMap<>();
    private final ArrayDeque<Double> furtherAt = new ArrayDeque<>(), takenAt = new ArrayDeque<>();
    private final Map<Integer, Node> tagged = new LinkedHashMap<>();
    private final State.Words words = new State.Words();
    private Bucket[] quotas = {};
    private final Mean usualLoad = new Mean(MEMORY / 4);
    private final Mean offered = new Mean(3 * MEMORY), told = new Mean(3 * MEMORY);
    private final Mean untold = new Mean(MEMORY / 2);
    Bound pool;
    List<Action> out;
    double reach, now, watchAt, watchWait, tidyAt, timerAt, wordsAt, fleet, warm, startedAt = -1;
    double beat, leader, loadTime, lightest, heaviest;
    private long sequence;
    private int open, said;
    boolean watching, allPooled, stalled, grouped, spoken;

    /** Starts one router's module; the seed feeds its only source of chance. */
    public Brain(Settings settings, long seed) {
        random = new Chance(seed);
        adopt(new Configured(settings, List.of()));
        watchWait = Math.min(1000, set.rules().askEvery() / 8);
    }

    /** Settings bind now. A class keeps its number and what was learned, open queries their terms. */
    private void adopt(Configured c) {
        set = c.settings();
        int known = kinds.length, n = set.classes().size() * 2;
        kinds = Arrays.copyOf(kinds, n);
        types = Arrays.copyOf(types, n * 3);
        double least = Double.MAX_VALUE;
        for (int i = 0; i < n; i++) {
            ClassSpec spec = set.classes().get(i / 2);
            kinds[i] = i < known ? kinds[i] : new Kind(i / 2, i % 2, MEMORY, 3 * MEMORY, PRIOR);
            kinds[i].spec = spec;
            kinds[i].dropped = c.dropped().contains(i / 2);
            least = kinds[i].dropped ? least : Math.min(least, spec.aim());
            for (int hope = 0; hope < 3 && i >= known; hope++) {
                types[i * 3 + hope] = new Type(kinds[i], hope);
            }
        }
        nodes.values().forEach(node -> node.widen(n));
        quotas = Bucket.follow(quotas, set.tenants());
        beat = Math.max(set.tick(), least / 40); // forty looks within the shortest aim
    }

    @Override
    public List<Action> decide(double time, List<Event> events) {
        out = new ArrayList<>();
        stalled = timerAt > now && time > timerAt + 3 * beat; // the timer asked for was not served in time
        now = Math.max(now, time);
        startedAt = startedAt < 0 ? now : startedAt;
        for (Event e : events) {
            take(e);
        }
        if (set.askDiscovery() && !watching && now >= watchAt) { // ask anew, ever less often, when that fails
            watching = true;
            out.add(new Watch(true));
        }
        if (now >= tidyAt) {
            tidyAt = now + look();
            supervise();
            expire();
        }
        dispatch();
        boolean held = Arrays.stream(types).anyMatch(t -> !t.queue.isEmpty());
        double wait = held || !allPooled ? look() : 5 * beat; // what is held needs finer looks than what runs
        if ((open > 0 || set.askDiscovery() && !watching) && (timerAt < now + 0.01 || now + wait < timerAt)) {
            timerAt = now + wait;
            out.add(new SetTimer(1, wait));
        }
        return out;
    }

    @Override
    public int avoided() {
        return (int) nodes.values().stream()
                .filter(n -> n.shunned() && n.engine.state() == EngineState.READY).count();
    }

    /** Time between looks at what is held: with many routers each holds little, and looks cost the most. */
    private double look() {
        return allPooled ? 2 * beat : beat;
    }

    void take(Event e) {
        if (e instanceof Request r) {
            intake(r);
        } else if (e instanceof Ended x) {
            ended(x);
        } else if (e instanceof Note x) {
            noted(x);
        } else if (e instanceof Listed l) {
            listed(l);
        } else if (e instanceof Left l) {
            close(queries.get(l.id()));
        } else if (e instanceof Told t) {
            words.hear(t, tagged, set, now, STALE);
        } else if (e instanceof Configured c) {
            adopt(c);
        } else if (e instanceof Started s && queries.containsKey(s.id())) {
            queries.get(s.id()).streaming = true;
        }
    }

    // ---- intake and queues -------------------------------------------------------------------------------

    /** Takes a request: its estimate, the age it already has, its type; beyond the cap it is turned away. */
    private void intake(Request r) {
        if (r.cls() < 0 || r.cls() >= set.classes().size() || queries.containsKey(r.id())) {
            return;
        }
        if (!Double.isNaN(set.rules().budgetSpan())) {
            takenAt.addLast(now);
        }
        Query q = new Query(r, set.classes().get(r.cls()), set.limits().maxAttempts(), now, sequence++);
        grouped |= r.tables() != 0; // all 0: nothing is told of tables
        q.tag = State.tag(Float.floatToIntBits((float) r.tables()));
        Kind plain = kinds[r.cls() * 2];
        boolean hinted = hinted(r);
        q.estimate = plain.fit.guess(hinted ? r.work() : Double.NaN, q.spec.aim() / 2);
        q.band = q.estimate > HEAVY * plain.fit.guess(Double.NaN, q.estimate) ? 1 : 0;
        if (hinted) {
            plain.usual.add(now, r.work());
        }
        offered.add(now, usualWork(plain));
        told.add(now, wide(q) ? 1 : 0);
        // a marked repeat with its patience cut began before: it keeps that age, or it would starve again
        q.born = now - (r.retry() ? Math.max(0, q.spec.deadline() - r.patience()) : 0);
        q.overShare = r.tenant() >= 0 && r.tenant() < quotas.length && quotas[r.tenant()].spend(now);
        queries.put(r.id(), q);
        open++;
        if (q.spec.ordered() && r.key() != 0) {
            q.line = lines.computeIfAbsent(r.key(), KeyLine::new);
            q.line.waiting.add(q);
        }
        if (open >= set.limits().openCap() - 1) {
            giveUp(q);
        } else {
            enqueue(q);
        }
    }

    /** Whether there is an estimate; an infinite one, once learned, would make all that is foretold NaN. */
    private static boolean hinted(Request r) {
        return r.work() > 0 && r.work() < Double.POSITIVE_INFINITY;
    }

    /** Into the queue of its type; what can earn nothing any more is answered at once. */
    private void enqueue(Query q) {
        if (hopeless(q)) {
            giveUp(q);
            return;
        }
        Type t = types[(q.cls * 2 + q.band) * 3 + hope(q)];
        q.type = t;
        t.queue.add(q);
    }

    /** What the query can still earn: 0 all, 1 little as its tenant is past its share, 2 late worth only. */
    private int hope(Query q) {
        return now > latestStart(q, 1) ? 2 : q.overShare ? 1 : 0;
    }

    /**
     * When the query must start to be in time. With no margin a long queue serves every query just too
     * late, so the expected time counts twice; a fresh query keeps a part of its aim whatever its estimate
     * says, as estimates scatter.
     */
    private double latestStart(Query q, double pace) {
        double aim = aimAt(q);
        return Math.max(aim - 2 * expected(q) * pace, q.born + 0.25 * (aim - q.born));
    }

    private double aimAt(Query q) {
        return q.born + q.spec.aim() + q.spec.stretch() * q.estimate / q.spec.threads();
    }

    // ---- index and rates ---------------------------------------------------------------------------------

    /** Expected time of this query on an engine of usual pace: learned time for each unit of its estimate. */
    double expected(Query q) {
        Kind k = kinds[q.cls * 2 + q.band];
        double ratio = k.ratio.weight > 1 ? k.ratio.value(1) : kinds[q.cls * 2].ratio.value(1.3);
        return Math.max(1, ratio * q.estimate / q.spec.threads());
    }

    /** The learned rate μ of a kind on an engine: one over its mean time there, leaning on its class. */
    double rate(Kind k, Node n) {
        Mean m = n.times[k.index];
        double absent = k.band == 0 ? k.spec.aim() : HEAVY * kinds[k.index - 1].times.value(k.spec.aim());
        double own = k.times.value(absent);
        double prior = own * pace(n);
        return m == null ? 1 / prior : (m.weight + PRIOR) / (m.sum + PRIOR * prior);
    }

    /** How slow an engine is beside the usual: 1 where nothing is known. */
    private double pace(Node n) {
        return (n.pace.sum + PRIOR) / (n.pace.weight + PRIOR);
    }

    private double worth(Type t, Query q, Node n) {
        double w = q.spec.worth() * (q.overShare ? set.overShareWorth() : 1);
        return t.hope == 2 || now > latestStart(q, pace(n)) ? w * q.spec.lateWorth() : w;
    }

    /**
     * γ·D·μ for each thread. A late query's cost has stopped growing, so its age counts up to the aim only:
     * else a backlog of late ones goes before all that could still be in time, and makes them late too.
     */
    double index(Type t, Query q, Node n) {
        double age = t.hope == 2 ? Math.min(now - q.born, q.spec.aim() / 2) : now - q.born;
        return worth(t, q, n) / q.spec.aim() * (age + beat) * rate(t.kind, n) / q.spec.threads();
    }

    // ---- thread bound ------------------------------------------------------------------------------------

    double cores(Engine e) {
        List<Double> told = set.fleet().cores();
        double c = e.kind() < told.size() ? told.get(e.kind()) : 0;
        return c > 0 ? c : 4;
    }

    /**
     * The bound of a new engine: its own where this router's part of it is a thread or more. A smaller part
     * says nothing of one engine (room for one query each would be room for all), so parts are pooled.
     */
    private Bound bound(Engine e) {
        double part = cores(e) / set.routers(), widest = 1;
        for (Kind k : kinds) { // a bound that one wide query fills holds all behind it
            widest = Math.max(widest, k.spec.threads());
        }
        if (part >= widest) {
            return new Bound(set.classes().size(), MEMORY / 4, part);
        }
        pool = pool != null ? pool : new Bound(set.classes().size(), MEMORY / 2, widest);
        pool.widen(set.classes().size());
        return pool;
    }

    /**
     * Room is half the threads of a query: asked for all of them, narrow queries would starve wide ones. A
     * shunned engine gets one query at a time; what hangs there since before may never end and must not keep
     * it shunned. What may not run twice is tried later: it would be lost.
     */
    boolean room(Node n, Kind k) {
        if (!n.shunned()) {
            boolean full = told(n) > FULL && !n.outstanding.isEmpty();
            return n.bound == pool && roomy(n) || !full && room(n.bound, k);
        }
        return now >= n.retryAt + (k.spec.effect() == Effect.SAFE ? 0 : n.backoff)
                && n.outstanding.stream().noneMatch(a -> a.at > n.shunnedFrom);
    }

    /**
     * Under a broad pool what is stuck at full engines must not keep idle ones idle, nor go on filling them:
     * a fresh report tells whether there is room, and at a cold engine the cold guard is the bound.
     */
    boolean roomy(Node n) {
        return pool.threads < 2 * pool.width && (cold(n) && broad(n) || told(n) < ROOMY);
    }

    private boolean broad(Node n) {
        return n.bound == pool && pool.width >= BROAD && !n.shunned();
    }

    /** What a fresh report tells of an engine under a broad pool; else no number, neither little nor much. */
    private double told(Node n) {
        return broad(n) && !Double.isNaN(n.told) && n.toldAt > now - FADE ? loaded(n) : Double.NaN;
    }

    /**
     * Parts that others leave idle may be used: a pooled bound is wider while the fleet holds less. It is a
     * few threads, so one or two long queries fill it for seconds: against a class of larger γμ they count
     * less, else what is shortest and dearest would wait for what can't be stopped. Under an engine's own
     * bound that holds for the class of the largest γμ alone: it is the smaller part of the work.
     */
    boolean room(Bound b, Kind k) {
        double taken = b.threads, spare = b == pool && spoken ? BORROW * (b.width - fleet) : 0;
        boolean leads = leads(kinds[k.cls * 2]);
        double lower = b == pool && b.width < BROAD ? LOWER : leads ? LOWER_OWN : 1;
        for (int c = 0; lower < 1 && c < kinds.length; c += 2) {
            taken -= value(kinds[c]) < value(kinds[k.cls * 2]) ? (1 - lower) * b.out[c / 2] : 0;
        }
        return b.threads == 0 || taken + (k.spec.threads() + 1) / 2.0 <= b.width
                + (leads ? Math.max(0, spare) : spare);
    }

    /** Threads out over the fleet for each router: told ones by watched engines, the others by its own. */
    private double fleet() {
        double threads = 0, watched = 0, all = 0;
        int quiet = 0;
        for (Node n : nodes.values()) {
            boolean ready = n.engine.state() == EngineState.READY;
            all += ready ? cores(n.engine) : 0;
            watched += ready && n.own ? cores(n.engine) : 0;
            threads += ready && n.own ? n.foreign : 0;
            for (Attempt a : n.outstanding) {
                quiet += a.word < 0 ? a.query.spec.threads() : 0;
            }
        }
        untold.add(now, quiet);
        return untold.value(0) + threads / Math.max(1, watched) * all / Math.max(1, set.routers() - 1);
    }

    /** One step of the bound for one served attempt, by its stretch against the least its class has known. */
    private void step(Node n, Kind k, double stretch) {
        Bound b = n.bound;
        Mean s = b.stretch[k.cls];
        s.add(now, Math.log(stretch));
        double level = s.value(0);
        if (s.weight > 3) {
            k.best = k.best > 9 ? level : Math.min(k.best, k.best + 0.1 * (level - k.best));
        }
        k.best += 0.0005;
        double grown = Math.exp(level - k.best);
        boolean wanted = b.threads + 2 * k.spec.threads() > b.width;
        if (grown > GROWN) {
            b.width -= b == pool ? POOL_CUT * b.width : 0.5;
        } else if (wanted && allNear(b)) {
            double gain = b == pool && set.fleet().tellsCost() ? POOL_GAIN : 1;
            b.width += gain * k.spec.threads() / Math.max(1, b.width);
        }
        double all = b == pool ? reach : cores(n.engine); // its part of a thread a core overfills nothing
        b.width = Math.max(Math.max(1, all / set.routers()), Math.min(b.width, 4 * all));
    }

    boolean cold(Node n) {
        return n.engine.startedAt() > 0 && now - n.engine.startedAt() <= set.rules().cold();
    }

    /**
     * The pooled bound goes with the cores that can work now: engines that drain, are silent or still warm up
     * take their part of it with them, else what they held would be sent to the rest on top of theirs.
     */
    private void rescale() {
        double sum = 0;
        for (Node n : nodes.values()) {
            double since = (now - n.engine.startedAt()) / set.rules().cold(), least = set.rules().coldShare();
            sum += n.bound != pool || n.engine.state() != EngineState.READY || n.shunned() ? 0
                    : cores(n.engine) * (cold(n) ? least + (1 - least) * Math.max(0, since) : 1);
        }
        if (pool != null && sum > 0) {
            double part = sum / set.routers();
            pool.width = reach > 0 ? pool.width * sum / reach : pool.width + (part < BROAD ? 1 : KNEE) * part;
            reach = sum;
        }
    }

    /** Widening asks that each class is near its best: short ones with priority feel a full engine last. */
    private boolean allNear(Bound b) {
        for (Kind k : kinds) {
            Mean s = b.stretch[k.cls];
            if (k.band == 0 && s.weightAt(now) > 0.1 && s.value(0) - k.best > Math.log(NEAR)) {
                return false;
            }
        }
        return true;
    }

    // ---- engine choice -----------------------------------------------------------------------------------

    /** What a look takes from all classes: asked for each engine and type it would be worked out anew. */
    void survey() {
        leader = loadTime = 0;
        lightest = Double.MAX_VALUE;
        heaviest = 1;
        for (Kind k : kinds) {
            if (k.band == 0 && !k.dropped) {
                leader = Math.max(leader, value(k));
                loadTime = Math.max(loadTime, k.spec.loads() ? k.times.value(k.spec.aim()) : 0);
                lightest = Math.min(lightest, usualWork(k));
                heaviest = Math.max(heaviest, usualWork(k));
            }
        }
    }

    /** Sends while some engine has room for some query: the largest index first. */
    private void dispatch() {
        survey();
        while (true) {
            Node bestNode = null;
            Query bestQuery = null;
            double best = 0;
            for (Type t : types) {
                Query q = null;
                if (t.queue.isEmpty()) {
                    continue;
                }
                boolean full = allPooled && !room(pool, t.kind);
                for (Node n : nodes.values()) {
                    if (full && !roomy(n) || !room(n, t.kind) || n.engine.state() != EngineState.READY
                            || !coldRoom(kinds[t.kind.cls * 2], n)) {
                        continue; // what no query of the class may do is not asked of each one
                    }
                    if (q == null || !legal(q, n) || wouldStandStill(q, n)) {
                        q = first(t, n);
                    }
                    double score = q == null ? 0 : index(t, q, n) * fit(q, n);
                    if (score > best) {
                        best = score;
                        bestNode = n;
                        bestQuery = q;
                    }
                }
            }
            if (bestNode == null) {
                return;
            }
            send(bestQuery, bestNode);
        }
    }

    /** Load for each core from a report: what is held there, how busy cores and disks are, what waits. */
    private void report(Node n, List<Double> told) {
        List<String> fields = set.fleet().reportFields();
        double load = 0;
        for (int i = 0; i < Math.min(fields.size(), told.size()); i++) {
            double v = told.get(i);
            if (!(v >= 0 && v < 1e6)) {
                return;
            }
            load += switch (fields.get(i)) {
                case "outstanding", "backlog" -> HOLDING * v / cores(n.engine);
                case "utilization", "x0", "x1" -> Math.min(v, 1.2);
                default -> 0;
            };
        }
        if (!told.isEmpty()) {
            n.told = load;
            n.toldAt = now;
            usualLoad.add(now, load);
        }
    }

    /** What a report says of an engine now: it fades into the usual load, and our own sends come on top. */
    private double loaded(Node n) {
        if (set.limits().tell()) { // words are newer than reports, which may be seconds late
            double known = n.own ? (n.foreign + n.threads) / cores(n.engine) : usualLoad.value(0);
            usualLoad.add(now, known);
            return known;
        }
        if (Double.isNaN(n.told)) {
            return usualLoad.value(0);
        }
        double keep = Math.exp((n.toldAt - now) / FADE), usual = usualLoad.value(0);
        long since = n.outstanding.stream().filter(a -> a.at > n.toldAt).count();
        return usual + (n.told - usual) * keep + HOLDING * since / cores(n.engine);
    }

    /** The oldest query of a type that may go here; only rules and held tables make it look past the head. */
    Query first(Type t, Node n) {
        for (Query q : t.queue) {
            if (legal(q, n) && !wouldStandStill(q, n)) {
                return q;
            }
        }
        return null;
    }

    /**
     * Where a load is known to hold its tables a query waits here, not there: sent at once it would use up
     * its attempts within milliseconds, on engines just heard to be held. Late for its aim it may go.
     */
    boolean wouldStandStill(Query q, Node n) {
        return q.spec.waitsForLoads() && !q.spec.loads() && now < latestStart(q, 1) && held(q, n);
    }

    /** Among engines of like index: own zone, more free room, its tables' engines, not where it failed. */
    double fit(Query q, Node n) {
        double full = n.bound == pool ? cores(n.engine) / 2 : Math.max(n.bound.width, 1);
        double f = (1 - 0.5 * Math.min(1, n.threads / full)) * (1 + 0.01 * random.nextDouble());
        f *= n.engine.zone() == set.zone() ? 1 : 1 - Math.min(0.5, 2 * set.crossZonePrice());
        f *= n.own ? 1 : STRANGE;
        f *= (held(q, n) ? HELD : 1) * side(q, n);
        f /= n.bound == pool ? 1 + loaded(n) * loaded(n) : 1; // an own bound already tells how full it is
        return q.avoid == n ? f * 0.1 : f;
    }

    // ---- terms -------------------------------------------------------------------------------------------

    private void terms(Query q) {
        Fleet f = set.fleet();
        int priority = f.priorities() ? priority(q) : 1;
        double memory = 0;
        if (f.takesGrants() && q.request.memory() > 0) {
            Fit m = kinds[q.cls * 2].memory;
            memory = m.known() ? m.guess(q.request.memory(), 0) * 1.3 : q.request.memory() * 2.5;
        }
        if (priority != q.priority || memory != q.memory) {
            q.priority = priority;
            q.memory = memory;
            out.add(new Terms(q.id, priority, memory));
        }
    }

    /** Priority by the index's own worth and rate: the class that earns most for its time goes before. */
    private int priority(Query q) {
        if (q.type.hope > 0 || q.band > 0) {
            return 0;
        }
        return leads(kinds[q.cls * 2]) ? 3 : 1;
    }

    private boolean leads(Kind mine) {
        return value(mine) >= leader;
    }

    private double value(Kind k) {
        return k.spec.worth() / k.spec.aim() / k.times.value(k.spec.aim());
    }

    // ---- attempts and health -----------------------------------------------------------------------------

    void send(Query q, Node n) {
        terms(q);
        q.type.queue.remove(q);
        q.type = null;
        Attempt a = new Attempt(q, n, q.sends, now, expected(q));
        if (q.sends > 0 && !Double.isNaN(set.rules().budgetSpan())) {
            furtherAt.addLast(now);
        }
        q.sends++;
        Kind k = kinds[q.cls * 2];
        k.credit = Math.min(CREDIT * 30, k.credit + CREDIT);
        q.attempts.add(a);
        n.outstanding.add(a);
        n.threads += q.spec.threads();
        n.bound.add(q.cls, q.spec.threads());
        n.sent(now, usualWork(kinds[q.cls * 2]), set.rules().fall());
        if (n.shunned()) {
            n.retryAt = now + n.backoff;
        }
        out.add(new Send(q.id, n.engine.id(), 0));
        say(a);
    }

    // ---- words between routers ---------------------------------------------------------------------------

    /**
     * Tells those whom it concerns where an attempt starts and, in one byte, that it has ended: no router
     * sees what others' loads hold, and queries of those tables stand still behind them; nor how full engines
     * are, where each has few queries. So loads are told, and where bounds are pooled the classes that bring
     * most work in few queries. Words guide choice and room, never a rule; a lost or forged one misleads.
     */
    private void say(Attempt a) {
        Query q = a.query;
        if (set.limits().tell() && (q.spec.loads() || allPooled && wide(q))) {
            a.word = said++ & 255;
            tell(a.node, Word.start(a, State.tag(a.engine.id())));
        }
    }

    /** More work than the usual query: few and long, so that four bytes a query tell where the work is. */
    private boolean wide(Query q) {
        return usualWork(kinds[q.cls * 2]) > offered.value(Double.MAX_VALUE)
                && told.value(0) * set.peerPrice() * WORDS / 256 * set.routers()
                * Math.min(1, WATCHED / nodes.size()) < TELL_MOST;
    }

    /**
     * Whether a router keeps an engine in its own set: by hashing, so that all know whom a word concerns.
     * Some ten each: the best of ten known ones is nearly the best of all, at a fraction of the words.
     */
    private boolean watches(int router, Node n) {
        return State.draw(n.engine.id() * 31 + router) * nodes.size() < WATCHED;
    }

    private void tell(Node n, byte[] text) {
        for (int r = 0; r < set.routers(); r++) {
            if (r != set.me() && watches(r, n)) {
                out.add(new Tell(r, text));
            }
        }
    }

    /** Whether a load holds the tables of this query on that engine, as far as is known. */
    private boolean held(Query q, Node n) {
        return (q.spec.loads() || q.spec.waitsForLoads()) && (n.held(q.tag, now - HOLDS * loadTime)
                || n.words.stream().anyMatch(w -> w.tag == q.tag)
                || n.outstanding.stream().anyMatch(a -> a.query.spec.loads() && a.query.tag == q.tag));
    }

    /**
     * Rendezvous hashing: all routers see the engines in one order for each group of tables. Its queries lean
     * to one end, so that engines keep its tables warm for all routers. Where there are loads, only these do,
     * and those that wait for them lean to the other end, so that few meet before any word has come.
     * For warmth it gives way while engines are cold or shunned: the rest must share.
     */
    private double side(Query q, Node n) {
        double at = State.draw((long) q.tag << 48 ^ n.engine.id());
        boolean apart = set.classes().stream().anyMatch(ClassSpec::loads) && !q.spec.loads();
        double lean = LEAN * (apart || q.spec.loads() ? 1 : warm * warm);
        return !grouped || apart && !q.spec.waitsForLoads() ? 1 : 1 - lean * (apart ? 1 - at : at);
    }

    private void ended(Ended e) {
        Query q = queries.get(e.id());
        if (q == null || e.attempt() < 0 || e.attempt() >= q.attempts.size()
                || q.attempts.get(e.attempt()).outcome != null) {
            return;
        }
        Attempt a = q.attempts.get(e.attempt());
        a.outcome = e.outcome();
        a.node.outstanding.remove(a);
        a.node.threads -= q.spec.threads();
        a.node.bound.add(q.cls, -q.spec.threads());
        if (a.word >= 0) {
            tell(a.node, new byte[] {(byte) a.word});
        }
        if (a.node.gone() && a.node.outstanding.isEmpty()) {
            nodes.remove(a.node.engine.id(), a.node);
        }
        learn(a, e);
        report(a.node, e.load());
        if (q.line != null && a.mayHaveRun() && e.outcome() != Outcome.OK) {
            q.line.rest(q, now + set.rules().settle());
        }
        if (e.over()) {
            close(q);
        } else if (!q.over && q.type == null && q.running() == 0) {
            again(q, a);
        }
        forget(q);
    }

    /** After an attempt that did not serve: back into its queue, or the final answer where no try is left. */
    private void again(Query q, Attempt a) {
        q.avoid = a.node;
        if (a.outcome == Outcome.TIMEOUT && now >= q.deadline - beat || q.sends >= q.most || q.streaming
                || !repeatable(q, null)) {
            giveUp(q);
        } else {
            enqueue(q);
        }
    }

    /**
     * After a stall of this router all that ended meanwhile is found at once, and the time told holds the
     * stall: taken as the engines' time it would cut bounds and rates. It tells only that the engine answers.
     */
    private void learn(Attempt a, Ended e) {
        Node n = a.node;
        Kind k = kinds[a.query.cls * 2 + a.query.band];
        if (stalled && e.outcome() == Outcome.OK || a.stoodStill) {
            n.heardAt = e.outcome() == Outcome.OK ? now : n.heardAt;
            return;
        }
        if (e.outcome() == Outcome.OK || e.outcome() == Outcome.TIMEOUT) {
            double took = Math.max(e.latency(), 0.1);
            k.times.add(now, took);
            n.took(k.index, now, took);
        }
        if (e.outcome() == Outcome.OK) {
            served(a, e, k);
        } else if (e.outcome() == Outcome.FULL) {
            n.bound.width = Math.max(1, n.bound.width * 0.8);
            n.failures.add(now, 0.5);
        } else if (e.outcome() == Outcome.TIMEOUT || e.outcome() == Outcome.CANCELLED) {
            if (n.heardAt <= a.at) { // it answered nothing all the while: silence, not a bad plan
                n.failures.add(now, 1);
                judgeFailures(n);
            }
        } else if (e.outcome() != Outcome.MOOT) {
            n.heardAt = now;
            n.failures.add(now, 1);
            judgeFailures(n);
        }
    }

    private void served(Attempt a, Ended e, Kind k) {
        Node n = a.node;
        Query q = a.query;
        n.heardAt = now;
        n.failures.add(now, 0);
        n.shunnedFrom = -1;
        n.backoff = 0;
        double took = Math.max(e.latency(), 0.1);
        boolean told = e.work() > 0;
        if (told) {
            kinds[q.cls * 2].work.add(now, e.work());
            if (q.request.memory() > 0 && e.memory() > 0) {
                kinds[q.cls * 2].memory.add(now, q.request.memory(), e.memory());
            }
        }
        kinds[q.cls * 2].fit.add(now, hinted(q.request) ? q.request.work() : 1,
                told ? e.work() : took * q.spec.threads());
        double ratio = took * q.spec.threads() / Math.max(1, q.estimate);
        double usual = a.expected * q.spec.threads() / Math.max(1, q.estimate);
        k.ratio.add(now, Math.min(ratio, usual * STRAGGLE_LEAST));
        k.scatter.add(now, Math.abs(Math.log(took / a.expected)));
        n.pace.add(now, Math.min(took / a.expected, 10));
        step(n, kinds[q.cls * 2], took * q.spec.threads() / Math.max(1, told ? e.work() : q.estimate));
    }

    /** Engines that fail far more than their peers are shunned for a while, whatever the reason. */
    private void judgeFailures(Node n) {
        double[] all = nodes.values().stream().mapToDouble(x -> x.failures.value(0)).sorted().toArray();
        double usual = all[all.length / 2];
        if (n.failures.weight > 1.5 && n.failures.value(0) > 0.25 + usual) {
            shun(n);
        }
    }

    private void shun(Node n) {
        long shunned = nodes.values().stream().filter(x -> x != n && x.shunned()).count();
        if (2 * (shunned + 1) > nodes.size()) {
            return;
        }
        n.backoff = Math.min(8000, Math.max(1000, n.backoff * 2));
        n.retryAt = now + n.backoff;
        n.shunnedFrom = now;
    }

    /** Looks at what is out: silent engines, and attempts far beyond what their query should take. */
    void supervise() {
        if (now >= wordsAt) {
            wordsAt = now + 1000;
            words.expire(now);
        }
        rescale();
        spoken = set.limits().tell() && now > startedAt + MEMORY / 4; // at first nothing has been heard
        fleet = allPooled && spoken ? fleet() : 0;
        warm = nodes.values().stream().mapToDouble(n -> cold(n) || n.shunned() ? 0 : 1).average().orElse(1);
        List<Node> busy = nodes.values().stream().filter(n -> !n.outstanding.isEmpty()).toList();
        double[] quiet = busy.stream().mapToDouble(n -> silence(n)).sorted().toArray();
        int middle = quiet.length - 1 - nodes.size() / 2; // idle engines are silent for nothing
        double usual = middle < 0 ? 0 : quiet[middle];
        for (Node n : busy) {
            double first = n.outstanding.stream().mapToDouble(a -> a.at).min().orElse(now);
            boolean silent = silence(n) > SILENT + 2 * usual
                    && now - Math.max(first, n.heardAt) > set.fleet().notePeriod();
            if (silent && !n.shunned()) {
                shun(n);
            }
            for (Attempt a : new ArrayList<>(n.outstanding)) {
                boolean mute = n.shunned() && silent && now - a.at > a.expected;
                if (mute || straggles(a)) {
                    cut(a, kinds[a.query.cls * 2].credit, mute ? Gateway.Why.MUTE : Gateway.Why.STRAGGLES);
                }
            }
        }
    }

    /** Finishes that were due at an engine since it was last heard; one attempt alone counts only so much. */
    private double silence(Node n) {
        double sum = 0;
        for (Attempt a : n.outstanding) {
            sum += Math.min(SILENT / 2, (now - Math.max(a.at, n.heardAt)) / a.expected);
        }
        return sum;
    }

    private boolean straggles(Attempt a) {
        Kind k = kinds[a.query.cls * 2 + a.query.band];
        double deviations = set.fleet().notePeriod() > 0 ? 2.5 : 1.4; // notes tell more surely than time
        double scatter = Math.exp(deviations * 1.25 * k.scatter.value(0.5)); // mean to standard
        double limit = Math.max(STRAGGLE_LEAST, Math.min(STRAGGLE_MOST, scatter));
        // pooled, a router knows too little of one engine to excuse an attempt by the engine's pace
        double slow = a.node.bound == pool ? 1 : Math.max(1, pace(a.node));
        return now - a.at > limit * a.expected * slow + 2 * beat;
    }

    /** Cancels an attempt for a resend, where the rules let it be sent again and the time left allows it. */
    private void cut(Attempt a, double credit, Gateway.Why why) {
        Query q = a.query;
        boolean useful = now + expected(q) < q.deadline;
        if (a.cancelled || q.over || q.streaming || !set.limits().cancel() || !useful || credit < 1
                || q.sends >= q.most || q.spec.effect() != Effect.SAFE || !budget(promised())) {
            return;
        }
        kinds[q.cls * 2].credit = Math.max(0, credit - 1);
        a.cancelled = true;
        out.add(new Cancel(q.id, a.number, why));
    }

    /** Further attempts due already: work cut for one that the budget then forbids is thrown away. */
    private long promised() {
        return Double.isNaN(set.rules().budgetSpan()) ? 0 : queries.values().stream().filter(x -> !x.over
                && x.sends > 0 && (x.type != null || x.attempts.get(x.sends - 1).cancelled)).count();
    }

    /**
     * A note that a query stands still behind a load tells what no router sees of the others' loads: those
     * tables are held there. It has done nothing yet, so it goes elsewhere while it can be in time.
     */
    private void noted(Note e) {
        Query q = queries.get(e.id());
        if (q == null || e.attempt() < 0 || e.attempt() >= q.attempts.size()) {
            return;
        }
        Attempt a = q.attempts.get(e.attempt());
        if (e.kind() == NoteKind.WAIT && e.value() == WAITS_FOR_LOAD && a.outcome == null) {
            a.node.heardAt = Math.max(a.node.heardAt, now - beat);
            a.node.holds.put(q.tag, now);
            a.stoodStill = true;
            cut(a, 1, Gateway.Why.HELD);
        } else if (e.value() > 0 && e.kind() == NoteKind.PROGRESS) {
            a.node.heardAt = Math.max(a.node.heardAt, now - beat);
            double whole = (now - a.at) / Math.min(1, e.value());
            if (whole > 4 * a.expected * Math.max(1, pace(a.node)) && whole - (now - a.at) > 2 * a.expected) {
                cut(a, 1, Gateway.Why.SLOW);
            }
        }
    }

    // ---- the list of engines -----------------------------------------------------------------------------

    private void listed(Listed l) {
        if (l.kind() == ListKind.FAILED) {
            watching = false;
            watchWait = Math.min(watchWait * 2, set.rules().askEvery() / 2);
            watchAt = now + watchWait * (0.5 + random.nextDouble());
            return;
        }
        if (l.kind() != ListKind.DELTA) {
            List<Long> named = new ArrayList<>();
            l.engines().forEach(e -> named.add(e.id()));
            for (Node n : new ArrayList<>(nodes.values())) {
                if (!named.contains(n.engine.id())) {
                    known(n.engine.gone());
                }
            }
        }
        for (Engine e : l.engines()) {
            known(e);
        }
        chooseOwn();
        rescale();
    }

    /**
     * Deterministic subsetting, where bounds are pooled: a router with few queries can't know all engines,
     * and many that choose by chance jam some. By its number each takes its own few, spread evenly: half of
     * its zone, half of the others, since traffic need not come where the engines are.
     */
    private void chooseOwn() {
        tagged.clear();
        nodes.values().forEach(n -> tagged.put(State.tag(n.engine.id()), n));
        allPooled = pool != null && nodes.values().stream().allMatch(n -> n.bound == pool);
        if (set.limits().tell()) {
            nodes.values().forEach(n -> n.own = n.bound != pool || watches(set.me(), n));
            return;
        }
        for (boolean near : new boolean[] {true, false}) {
            List<Node> side = new ArrayList<>();
            for (Node n : nodes.values()) {
                if (near == (n.engine.zone() == set.zone()) && n.engine.state() == EngineState.READY) {
                    side.add(n);
                }
                n.own = near ? n.bound != pool : n.own;
            }
            side.sort(java.util.Comparator.comparingLong(n -> n.engine.id()));
            for (int i = 0; i < Math.min(OWN, side.size()); i++) {
                side.get((int) (((long) set.me() * OWN + i) % side.size())).own = true;
            }
        }
    }

    private void known(Engine e) {
        Node n = nodes.get(e.id());
        if (n == null) {
            if (e.state() == EngineState.GONE) {
                return;
            }
            n = new Node(e, kinds.length, MEMORY, bound(e));
            nodes.put(e.id(), n);
        }
        boolean restarted = e.startedAt() > n.engine.startedAt();
        n.engine = e;
        if (restarted) {
            n.restarted(now);
            if (n.bound != pool) {
                n.bound.width = Math.max(1, cores(e) / set.routers() * set.rules().coldShare());
            }
        }
        if (e.state() == EngineState.GONE && n.outstanding.isEmpty()) {
            nodes.remove(e.id());
        }
    }

    // ---- rule guards -------------------------------------------------------------------------------------

    /** The one place that says whether this query may be sent to this engine now. Every send passes here. */
    boolean legal(Query q, Node n) {
        return !q.over && !q.streaming && n.engine.state() == EngineState.READY && now < q.deadline
                && q.sends < q.most && placed(q, n) && repeatable(q, n)
                && (q.running() == 0 || set.limits().secondCopies()) && inTurn(q)
                && (q.sends == 0 || budget(0)) && coldRoom(kinds[q.cls * 2], n);
    }

    boolean placed(Query q, Node n) {
        return (q.spec.zones() == null || q.spec.zones().contains(n.engine.zone()))
                && (q.spec.kinds() == null || q.spec.kinds().contains(n.engine.kind()));
    }

    /** Unsafe: only after proof that nothing ran. Keyed: within group and time of what may have run. */
    boolean repeatable(Query q, Node n) {
        return q.spec.effect() == Effect.SAFE || q.attempts.stream().noneMatch(a -> a.mayHaveRun()
                && (q.spec.effect() == Effect.UNSAFE || now - a.at > q.spec.repeatWindow() - beat
                || n != null && !sameGroup(q.spec, a.engine, n.engine)));
    }

    private static boolean sameGroup(ClassSpec c, Engine a, Engine b) {
        return c.scope() == Scope.ALL
                || (c.scope() == Scope.ZONE ? a.zone() == b.zone() : a.cell() == b.cell());
    }

    /** Order: first of its key's line, or the line's rest after a doubtful end is over. */
    boolean inTurn(Query q) {
        return q.line == null || q.line.waiting.get(0) == q && (now >= q.line.restUntil || q.line.doubt == q);
    }

    /** Budget on further attempts in the window that ends now, beside those promised already. */
    boolean budget(long promised) {
        Rules r = set.rules();
        if (Double.isNaN(r.budgetSpan())) {
            return true;
        }
        furtherAt.removeIf(t -> t < now - r.budgetSpan() - set.tick());
        takenAt.removeIf(t -> t < now - r.budgetSpan() + set.tick());
        return furtherAt.size() + promised + 1 <= r.budgetFree() + r.budgetShare() * takenAt.size();
    }

    /**
     * Cold engines: what makes one fall, over the stated span, is the fleet's. An even part of it is soon
     * below the heaviest query, which then finds no cold engine until it is warm. So each cold engine has
     * hosts, by number and its id: as many routers as can send it a heaviest query each. Where an even part
     * is below the lightest, hosts would see too few queries: routers take turns, by number and by the
     * engine's start, a few each span. A span touches two turns, so each has half of it.
     */
    boolean coldRoom(Kind k, Node n) {
        Rules r = set.rules();
        double since = now - n.engine.startedAt();
        if (!cold(n) || r.fall() <= 0) {
            return true;
        }
        double all = COLD_MARGIN * r.fallMultiple() * r.coldShare() * 0.85 * cores(n.engine) * r.fall();
        double hosts = Math.max(1, Math.min(set.routers(), Math.floor(all / heaviest)));
        long place = set.me() + (long) (State.draw(n.engine.id()) * set.routers());
        if (set.routers() > 2 * TURN && all / set.routers() < lightest) {
            place = set.me() - (long) Math.floor(since / r.fall()) * TURN;
            hosts = TURN;
            all /= 2;
        }
        return Math.floorMod(place, (long) set.routers()) < hosts
                && n.recent(now, r.fall()) + usualWork(k) <= all / hosts;
    }

    /** The usual work of a class as the cold guard counts it: told, else estimated, else the time it held. */
    double usualWork(Kind k) {
        return Math.max(k.work.value(0), k.usual.value(k.times.value(k.spec.aim()) * k.spec.threads()));
    }

    // ---- answers -----------------------------------------------------------------------------------------

    /** Gives up held queries that can earn nothing any more, and moves late ones among the late. */
    void expire() {
        lines.values().removeIf(l -> l.waiting.isEmpty() && now >= l.restUntil);
        for (Type t : types) {
            for (Query q : new ArrayList<>(t.queue)) {
                if (hopeless(q)) {
                    giveUp(q);
                } else if (t.hope != 2 && hope(q) == 2) {
                    t.queue.remove(q);
                    enqueue(q);
                }
            }
        }
    }

    /** It can't finish before its deadline, or only too late where that earns nothing, or may not be sent. */
    private boolean hopeless(Query q) {
        return now + Math.max(look() + beat, 0.7 * expected(q)) > q.deadline
                || q.spec.lateWorth() <= 0 && hope(q) == 2 || q.sends > 0 && !repeatable(q, null);
    }

    /** The final answer of a query that is given up, at once: refused where that is true, else failed. */
    private void giveUp(Query q) {
        boolean harmless = q.spec.effect() == Effect.SAFE
                || q.spec.effect() == Effect.KEYED && q.spec.scope() == Scope.ALL
                || q.attempts.stream().noneMatch(Attempt::mayHaveRun);
        out.add(harmless ? new Refuse(q.id, set.limits().retryAfter() ? set.limits().maxRetryAfter() : 0)
                : new Fail(q.id));
        close(q);
    }

    private void close(Query q) {
        if (q == null || q.over) {
            return;
        }
        q.over = true;
        open--;
        if (q.type != null) {
            q.type.queue.remove(q);
            q.type = null;
        }
        for (Attempt a : q.attempts) {
            if (a.outcome == null && !a.cancelled && set.limits().cancel() && !q.streaming) {
                a.cancelled = true;
                out.add(new Cancel(q.id, a.number, Gateway.Why.OVER));
            }
        }
        forget(q);
    }

    /** Drops a query once it is over and nothing of it is out; only then does its key's turn pass. */
    private void forget(Query q) {
        if (!q.over || q.running() > 0) {
            return;
        }
        queries.remove(q.id);
        if (q.line != null) {
            q.line.waiting.remove(q);
        }
    }
}
