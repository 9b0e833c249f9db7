package quincespar.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import quincespar.decision.Gateway.ClassSpec;
import quincespar.decision.Gateway.Engine;
import quincespar.decision.Gateway.EngineState;
import quincespar.decision.Gateway.Outcome;
import quincespar.decision.Gateway.Request;
import quincespar.decision.Gateway.Settings;
import quincespar.decision.Gateway.Tenant;
import quincespar.decision.Gateway.Told;

/**
 * What the decision module remembers: requests, attempts, engines, and plain statistics over them. Nothing here
 * decides; spans and weights are handed in by the module.
 */
final class State {
    private State() { }

    /** A mean that forgets exponentially. */
    static final class Mean {
        final double span;
        double sum, weight, last;

        Mean(double span) {
            this.span = span;
        }

        void add(double now, double x) {
            double keep = Math.exp((last - now) / span);
            last = now;
            sum = sum * keep + x;
            weight = weight * keep + 1;
        }

        /** What it weighs now: a figure that nothing has added to for long tells of a time gone by. */
        double weightAt(double now) {
            return weight * Math.exp((last - now) / span);
        }

        double value(double absent) {
            return weight > 1e-9 ? sum / weight : absent;
        }
    }

    /** What work an estimate foretells: a line through logarithms, as estimates scatter and are biased. */
    static final class Fit {
        final Mean x, y, xx, xy;
        final double prior;

        Fit(double span, double prior) {
            this.prior = prior;
            x = new Mean(span);
            y = new Mean(span);
            xx = new Mean(span);
            xy = new Mean(span);
        }

        void add(double now, double estimate, double work) {
            double a = Math.log(Math.max(1, estimate)), b = Math.log(Math.max(1, work));
            x.add(now, a);
            y.add(now, b);
            xx.add(now, a * a);
            xy.add(now, a * b);
        }

        boolean known() {
            return x.weight >= prior;
        }

        /** The work foretold; without an estimate the usual one, before anything is known the estimate. */
        double guess(double estimate, double absent) {
            if (!known()) {
                return estimate > 0 ? Math.max(1, estimate) : absent;
            }
            double mx = x.value(0), my = y.value(0), lean = prior / x.weight;
            double slope = (xy.value(0) - mx * my + lean) / (xx.value(0) - mx * mx + lean);
            double off = estimate > 0 ? Math.log(Math.max(1, estimate)) - mx : 0;
            return Math.exp(my + Math.max(0, Math.min(1, slope)) * off);
        }
    }

    /**
     * Chance from a seed: the generator of {@code java.util.Random}, as its documentation gives it, with its state where a
     * snapshot can read it.
     */
    static final class Chance {
        private static final long MULTIPLIER = 0x5DEECE66DL, MASK = (1L << 48) - 1;
        long state;

        Chance(long seed) {
            state = (seed ^ MULTIPLIER) & MASK;
        }

        /** From 0 to below 1. */
        double nextDouble() {
            return (((long) next(26) << 27) + next(27)) * 0x1.0p-53;
        }

        private int next(int bits) {
            state = state * MULTIPLIER + 0xBL & MASK;
            return (int) (state >>> 48 - bits);
        }
    }

    /** Queries by age, the one taken first before. */
    enum ByAge implements Comparator<Query> {
        OLDEST_FIRST;

        @Override
        public int compare(Query a, Query b) {
            int born = Double.compare(a.born, b.born);
            return born != 0 ? born : Long.compare(a.seq, b.seq);
        }
    }

    /** Counts a tenant's requests against its quota: true where one lies beyond it. */
    static final class Bucket {
        double perS, level, last = Double.NaN;

        Bucket(double perS) {
            this.perS = perS;
            level = perS;
        }

        /** Buckets for these tenants; one that was there keeps its level, as a tenant keeps its number. */
        static Bucket[] follow(Bucket[] before, List<Tenant> tenants) {
            Bucket[] out = Arrays.copyOf(before, tenants.size());
            for (int t = 0; t < out.length; t++) {
                out[t] = out[t] != null ? out[t] : new Bucket(tenants.get(t).quotaPerS());
                out[t].perS = tenants.get(t).quotaPerS();
            }
            return out;
        }

        boolean spend(double now) {
            level = Double.isNaN(last) ? perS : Math.min(perS, level + (now - last) * perS / 1000);
            last = now;
            if (perS <= 0 || level < 1) {
                return perS > 0;
            }
            level--;
            return false;
        }
    }

    /** A class, or the rare heavy part of one: what is learned of it over all engines. */
    static final class Kind {
        final int cls, band, index;
        final Mean times, ratio, scatter, usual, work;
        final Fit fit, memory;
        ClassSpec spec;
        /** Not in the settings any more: what is open goes on, new ones do not come. */
        boolean dropped;
        double best = 50, credit = 1;

        Kind(int cls, int band, double rateSpan, double classSpan, double prior) {
            times = new Mean(rateSpan);
            ratio = new Mean(rateSpan);
            scatter = new Mean(classSpan);
            usual = new Mean(classSpan);
            work = new Mean(classSpan);
            fit = new Fit(classSpan, prior);
            memory = new Fit(classSpan, prior);
            this.cls = cls;
            this.band = band;
            this.index = cls * 2 + band;
        }

    }

    /** A queue: a kind's queries of like prospects, oldest first. */
    static final class Type {
        final Kind kind;
        final int hope;
        final TreeSet<Query> queue = new TreeSet<>(ByAge.OLDEST_FIRST);

        Type(Kind kind, int hope) {
            this.kind = kind;
            this.hope = hope;
        }
    }

    static final class Query {
        final Request request;
        final ClassSpec spec;
        final long id, seq;
        final int cls, most;
        final double deadline;
        final List<Attempt> attempts = new ArrayList<>(2);
        double born, estimate, memory;
        int band, sends, tag, priority = 1;
        boolean over, streaming, overShare;
        Type type;
        KeyLine line;
        Node avoid;

        /** {@code most}: attempts that it may have, as the settings stood when it was taken. */
        Query(Request r, ClassSpec spec, int most, double now, long seq) {
            request = r;
            this.most = most;
            this.spec = spec;
            this.seq = seq;
            id = r.id();
            cls = r.cls();
            deadline = now + (r.patience() >= 0 ? r.patience() : spec.deadline());
        }

        int running() {
            int n = 0;
            for (Attempt a : attempts) {
                n += a.outcome == null ? 1 : 0;
            }
            return n;
        }
    }

    static final class Attempt {
        final Query query;
        final Node node;
        final Engine engine;
        final int number;
        final double at, expected;
        int word = -1;
        boolean cancelled;
        /** A note said that it stands still behind a load: how long it takes tells nothing of its engine. */
        boolean stoodStill;
        Outcome outcome;

        Attempt(Query query, Node node, int number, double at, double expected) {
            this.query = query;
            this.node = node;
            this.engine = node.engine;
            this.number = number;
            this.at = at;
            this.expected = expected;
        }

        boolean mayHaveRun() {
            return outcome == null || !outcome.neverRan;
        }
    }

    /** An attempt of another router as that one told it; {@code tag} marks the tables that it holds, if any. */
    static final class Word {
        final Node node;
        final int threads, tag;
        final double until;

        Word(Node node, int threads, int tag, double until) {
            this.node = node;
            this.threads = threads;
            this.tag = tag;
            this.until = until;
        }

        /** Six bytes: number, class and time (64 ms x 2^n), engine; of a load also its tables, else four. */
        static byte[] start(Attempt a, int engine) {
            int time = (int) Math.max(0, Math.min(15, Math.ceil(Math.log(a.expected / 64) / Math.log(2))));
            byte[] all = {(byte) a.word, (byte) (a.query.cls << 4 | time), (byte) (engine >> 8), (byte) engine,
                (byte) (a.query.tag >> 8), (byte) a.query.tag};
            return a.query.spec.loads() ? all : Arrays.copyOf(all, 4);
        }

        /** The attempt told, or null where the text tells none that is known here. */
        static Word read(byte[] b, Map<Integer, Node> engines, List<ClassSpec> classes, double now, double stale) {
            int cls = b.length < 4 ? 16 : (b[1] & 255) >> 4;
            Node n = b.length < 4 ? null : engines.get((b[2] & 255) << 8 | b[3] & 255);
            if (n == null || cls >= classes.size()) {
                return null;
            }
            ClassSpec c = classes.get(cls);
            int tag = c.loads() && b.length > 5 ? (b[4] & 255) << 8 | b[5] & 255 : -1;
            return new Word(n, c.threads(), tag, now + stale * 64 * (1 << (b[1] & 15)));
        }

        void hold() {
            node.words.add(this);
            node.foreign += threads;
        }

        /** Takes the word off its engine, once. */
        void drop() {
            node.foreign -= node.words.remove(this) ? threads : 0;
        }
    }

    /** What is known from peers' words, by sender and number. */
    static final class Words {
        private final Map<Long, Word> all = new LinkedHashMap<>();

        /** A first byte names the attempt, and ends what was told under that number before. */
        void hear(Told t, Map<Integer, Node> engines, Settings set, double now, double stale) {
            byte[] b = t.text();
            if (b.length == 0 || t.from() < 0 || t.from() >= set.routers()) {
                return;
            }
            long key = t.from() << 8 | b[0] & 255;
            Word old = all.remove(key);
            if (old != null) {
                old.drop();
            }
            Word w = Word.read(b, engines, set.classes(), now, stale);
            if (w != null) {
                all.put(key, w);
                w.hold();
            }
        }

        void expire(double now) {
            all.values().stream().filter(w -> now > w.until).forEach(Word::drop);
            all.values().removeIf(w -> now > w.until);
        }
    }

    /** Sixteen bits of an id, well mixed. */
    static int tag(long id) {
        return (int) (id * 0x9E3779B97F4A7C15L >>> 48);
    }

    /** A number from 0 to 1 that is the same everywhere for one id. */
    static double draw(long id) {
        long x = (id ^ id >>> 29) * 0xBF58476D1CE4E5B9L;
        return tag(x ^ x >>> 32) / 65536.0;
    }

    /** The requests of one key in the order taken; one leaves when it is over and nothing of it is out. */
    static final class KeyLine {
        final long key;
        final List<Query> waiting = new ArrayList<>();
        double restUntil;
        Query doubt;

        KeyLine(long key) {
            this.key = key;
        }

        void rest(Query q, double until) {
            restUntil = Math.max(restUntil, until);
            doubt = q;
        }
    }

    /** A bound on threads out, also by class, for one engine or pooled over all, and how attempts under it have stretched. */
    static final class Bound {
        Mean[] stretch = {};
        int[] out = {};
        final double span;
        double width;
        int threads;

        Bound(int classes, double span, double width) {
            this.span = span;
            this.width = width;
            widen(classes);
        }

        /** Has room for so many classes; those that are there keep what they have. */
        void widen(int classes) {
            int known = out.length;
            if (classes > known) {
                out = Arrays.copyOf(out, classes);
                stretch = Arrays.copyOf(stretch, classes);
                Arrays.setAll(stretch, i -> i < known ? stretch[i] : new Mean(span));
            }
        }

        void add(int cls, int more) {
            threads += more;
            out[cls] += more;
        }
    }

    static final class Node {
        Engine engine;
        final Bound bound;
        Mean[] times;
        final Mean pace, failures;
        final LinkedHashSet<Attempt> outstanding = new LinkedHashSet<>();
        final LinkedHashSet<Word> words = new LinkedHashSet<>();
        final ArrayDeque<double[]> load = new ArrayDeque<>();
        /** Tables that a load holds here as notes told, and when they did. */
        final Map<Integer, Double> holds = new LinkedHashMap<>();
        double heardAt, retryAt, backoff, shunnedFrom = -1;
        double told = Double.NaN, toldAt;
        int threads, foreign;
        boolean own;

        Node(Engine engine, int kinds, double span, Bound bound) {
            this.bound = bound;
            pace = new Mean(span);
            failures = new Mean(span / 2);
            this.engine = engine;
            times = new Mean[kinds];
        }

        /** A query of this kind took so long here. */
        void took(int kind, double now, double ms) {
            times[kind] = times[kind] != null ? times[kind] : new Mean(pace.span);
            times[kind].add(now, ms);
        }

        /** Has room for so many kinds, two to a class. */
        void widen(int kinds) {
            times = Arrays.copyOf(times, kinds);
            bound.widen(kinds / 2);
        }

        boolean gone() {
            return engine.state() == EngineState.GONE;
        }

        /** Whether a note told after {@code since} that a load holds these tables. */
        boolean held(int tag, double since) {
            holds.values().removeIf(at -> at < since);
            return holds.containsKey(tag);
        }

        boolean shunned() {
            return shunnedFrom >= 0;
        }

        void restarted(double now) {
            told = 0; // it holds nothing yet
            toldAt = now;
            shunnedFrom = -1;
            backoff = 0;
            words.clear();
            holds.clear();
            foreign = 0;
            failures.weight = failures.sum = pace.weight = pace.sum = 0;
            Arrays.fill(times, null);
        }

        void sent(double now, double work, double span) {
            load.addLast(new double[] {now, work});
            recent(now, span);
        }

        double recent(double now, double span) {
            while (!load.isEmpty() && load.peekFirst()[0] < now - 1.1 * span) {
                load.removeFirst();
            }
            double sum = 0;
            for (double[] l : load) {
                sum += l[1];
            }
            return sum;
        }
    }
}
