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
import quincespar.decision.Scheduler.ClassSpec;
import quincespar.decision.Scheduler.Engine;
import quincespar.decision.Scheduler.EngineState;
import quincespar.decision.Scheduler.Outcome;
import quincespar.decision.Scheduler.PeerMessage;
import quincespar.decision.Scheduler.Request;
import quincespar.decision.Scheduler.Settings;
import quincespar.decision.Scheduler.Tenant;

/**
 * The data of the scheduler: requests, attempts, engines, and plain statistics about them. No decision is
 * made here; time constants and weights are passed in by the scheduler. All times are in milliseconds.
 */
final class SchedulerState {
    private SchedulerState() { }

    /** An exponentially decaying mean. */
    static final class DecayingMean {
        /** Time in which the weight of a sample falls to 1/e. */
        final double spanMs;
        double sum;
        double weight;
        double updatedAt;

        DecayingMean(double spanMs) {
            this.spanMs = spanMs;
        }

        void add(double now, double sample) {
            double retained = Math.exp((updatedAt - now) / spanMs);
            updatedAt = now;
            sum = sum * retained + sample;
            weight = weight * retained + 1;
        }

        /** The weight of all samples now; a small one means that the mean describes the past. */
        double weightAt(double now) {
            return weight * Math.exp((updatedAt - now) / spanMs);
        }

        double value(double fallback) {
            return weight > 1e-9 ? sum / weight : fallback;
        }
    }

    /**
     * Predicts a quantity from its estimate by a line through logarithms, as estimates scatter and are
     * biased.
     */
    static final class LogLinearFit {
        final DecayingMean meanX;
        final DecayingMean meanY;
        final DecayingMean meanXX;
        final DecayingMean meanXY;
        final double priorWeight;

        LogLinearFit(double spanMs, double priorWeight) {
            this.priorWeight = priorWeight;
            meanX = new DecayingMean(spanMs);
            meanY = new DecayingMean(spanMs);
            meanXX = new DecayingMean(spanMs);
            meanXY = new DecayingMean(spanMs);
        }

        void add(double now, double estimate, double actual) {
            double x = Math.log(Math.max(1, estimate));
            double y = Math.log(Math.max(1, actual));
            meanX.add(now, x);
            meanY.add(now, y);
            meanXX.add(now, x * x);
            meanXY.add(now, x * y);
        }

        boolean hasEnoughSamples() {
            return meanX.weight >= priorWeight;
        }

        /**
         * The prediction; the usual value where there is no estimate, the estimate until there are samples.
         */
        double predict(double estimate, double fallback) {
            if (!hasEnoughSamples()) {
                return estimate > 0 ? Math.max(1, estimate) : fallback;
            }
            double x = meanX.value(0);
            double y = meanY.value(0);
            double shrinkage = priorWeight / meanX.weight;
            double slope = (meanXY.value(0) - x * y + shrinkage) / (meanXX.value(0) - x * x + shrinkage);
            double offset = estimate > 0 ? Math.log(Math.max(1, estimate)) - x : 0;
            return Math.exp(y + Math.max(0, Math.min(1, slope)) * offset);
        }
    }

    /**
     * The generator that {@code java.util.Random} documents, with its state accessible, so that a snapshot
     * can contain it.
     */
    static final class SeededRandom {
        private static final long MULTIPLIER = 0x5DEECE66DL;
        private static final long MASK = (1L << 48) - 1;
        long state;

        SeededRandom(long seed) {
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

    /** Orders queries by age, and those of one age by the order in which they were taken. */
    enum ByAge implements Comparator<Query> {
        OLDEST_FIRST;

        @Override
        public int compare(Query a, Query b) {
            int age = Double.compare(a.agedFrom, b.agedFrom);
            return age != 0 ? age : Long.compare(a.sequence, b.sequence);
        }
    }

    /** A token bucket that holds one second of a tenant's quota. */
    static final class QuotaBucket {
        double tokensPerSecond;
        double tokens;
        double refilledAt = Double.NaN;

        QuotaBucket(double tokensPerSecond) {
            this.tokensPerSecond = tokensPerSecond;
            tokens = tokensPerSecond;
        }

        /** The buckets of these tenants; an existing one keeps its tokens, as a tenant keeps its number. */
        static QuotaBucket[] forTenants(QuotaBucket[] previous, List<Tenant> tenants) {
            QuotaBucket[] buckets = Arrays.copyOf(previous, tenants.size());
            for (int tenant = 0; tenant < buckets.length; tenant++) {
                buckets[tenant] = buckets[tenant] != null ? buckets[tenant]
                        : new QuotaBucket(tenants.get(tenant).quotaPerSecond());
                buckets[tenant].tokensPerSecond = tenants.get(tenant).quotaPerSecond();
            }
            return buckets;
        }

        /** Counts a request; returns whether it is over the quota. A quota of 0 is none. */
        boolean countAndCheckOverQuota(double now) {
            tokens = Double.isNaN(refilledAt) ? tokensPerSecond
                    : Math.min(tokensPerSecond, tokens + (now - refilledAt) * tokensPerSecond / 1000);
            refilledAt = now;
            if (tokensPerSecond <= 0 || tokens < 1) {
                return tokensPerSecond > 0;
            }
            tokens--;
            return false;
        }
    }

    /** What is learned over all engines of a class's usual queries, or of its rare heavy ones. */
    static final class ClassStats {
        final int classIndex;
        /** 0 for the usual queries of the class, 1 for the heavy ones. */
        final int band;
        /** The place among all: {@code 2 * classIndex + band}. */
        final int index;
        final DecayingMean serviceTime;
        /** Service time multiplied by threads, per unit of estimated work. */
        final DecayingMean timePerEstimate;
        /** Absolute logarithm of actual over expected time. */
        final DecayingMean logDeviation;
        final DecayingMean estimatedWork;
        final DecayingMean reportedWork;
        final LogLinearFit workFit;
        final LogLinearFit memoryFit;
        ClassSpec spec;
        /** Whether the class has been removed from the settings; its open requests are still served. */
        boolean dropped;
        /** Least logarithm of the stretch, slowly rising; 50 before the first sample. */
        double bestLogStretch = 50;
        /** Cancellations of stragglers that the class may still cause. */
        double cancelCredit = 1;

        ClassStats(int classIndex, int band, double rateSpanMs, double classSpanMs, double priorWeight) {
            serviceTime = new DecayingMean(rateSpanMs);
            timePerEstimate = new DecayingMean(rateSpanMs);
            logDeviation = new DecayingMean(classSpanMs);
            estimatedWork = new DecayingMean(classSpanMs);
            reportedWork = new DecayingMean(classSpanMs);
            workFit = new LogLinearFit(classSpanMs, priorWeight);
            memoryFit = new LogLinearFit(classSpanMs, priorWeight);
            this.classIndex = classIndex;
            this.band = band;
            this.index = classIndex * 2 + band;
        }

    }

    /** The queued queries of one class and band that have the same prospect, oldest first. */
    static final class QueryQueue {
        /** Prospect of a query that can still be in time and is within its tenant's share. */
        static final int IN_TIME = 0;
        /** Prospect of a query that can still be in time, but is past its tenant's share. */
        static final int OVER_SHARE = 1;
        /** Prospect of a query that can only be late. */
        static final int LATE = 2;

        final ClassStats stats;
        final int prospect;
        final TreeSet<Query> queries = new TreeSet<>(ByAge.OLDEST_FIRST);

        QueryQueue(ClassStats stats, int prospect) {
            this.stats = stats;
            this.prospect = prospect;
        }
    }

    /** An open request. */
    static final class Query {
        final Request request;
        /** The class as it was when the request was taken. */
        final ClassSpec spec;
        final long id;
        final long sequence;
        final int classIndex;
        /** Attempts that it may have, by the settings at the time when it was taken. */
        final int maxAttempts;
        final double deadline;
        final List<Attempt> attempts = new ArrayList<>(2);
        /** When it began: when it was taken, or earlier for a retry by the client. */
        double agedFrom;
        double estimatedWork;
        /** Memory grant last named for it; 0 leaves it to the engine. */
        double memoryGrant;
        int band;
        int sendCount;
        /** Sixteen bits that stand for the tables that it reads or writes. */
        int tableTag;
        int priority = 1;
        boolean over;
        /** Whether its answer has begun to reach the client. */
        boolean streaming;
        boolean overShare;
        /** The queue that holds it; null while it runs. */
        QueryQueue queue;
        /** The queue of its key; null where the class is not ordered by key. */
        KeyQueue keyQueue;
        /** The engine of its last failed attempt; may be null. */
        EngineNode avoidedNode;

        Query(Request r, ClassSpec spec, int maxAttempts, double now, long sequence) {
            request = r;
            this.maxAttempts = maxAttempts;
            this.spec = spec;
            this.sequence = sequence;
            id = r.id();
            classIndex = r.requestClass();
            deadline = now + (r.clientTimeout() >= 0 ? r.clientTimeout() : spec.deadline());
        }

        int runningAttempts() {
            int running = 0;
            for (Attempt attempt : attempts) {
                running += attempt.outcome == null ? 1 : 0;
            }
            return running;
        }
    }

    /** One sending of a query to an engine. */
    static final class Attempt {
        final Query query;
        final EngineNode node;
        /** The engine as it was listed when the attempt was sent. */
        final Engine engine;
        final int number;
        final double sentAt;
        final double expectedTime;
        /** The number under which it was announced to other routers; -1 if it was not. */
        int announcement = -1;
        boolean cancelled;
        /** Whether a note said that it waits behind a load: its time then tells nothing about the engine. */
        boolean waitedForLoad;
        /** Null while it runs. */
        Outcome outcome;

        Attempt(Query query, EngineNode node, int number, double sentAt, double expectedTime) {
            this.query = query;
            this.node = node;
            this.engine = node.engine;
            this.number = number;
            this.sentAt = sentAt;
            this.expectedTime = expectedTime;
        }

        boolean mayHaveRun() {
            return outcome == null || !outcome.neverRan;
        }
    }

    /** An attempt of another router, as that router announced it. */
    static final class PeerAttempt {
        final EngineNode node;
        final int threads;
        /** The tag of the tables that it holds; -1 if it is no load. */
        final int tableTag;
        final double expiresAt;

        PeerAttempt(EngineNode node, int threads, int tableTag, double expiresAt) {
            this.node = node;
            this.threads = threads;
            this.tableTag = tableTag;
            this.expiresAt = expiresAt;
        }

        /**
         * Encodes the start of an attempt: one byte of number, one of class and time (64 ms x 2^n), two of
         * engine; for a load two more of tables.
         */
        static byte[] encodeStart(Attempt attempt, int engineTag) {
            int timeExponent = (int) Math.max(0,
                    Math.min(15, Math.ceil(Math.log(attempt.expectedTime / 64) / Math.log(2))));
            byte[] all = {(byte) attempt.announcement, (byte) (attempt.query.classIndex << 4 | timeExponent),
                (byte) (engineTag >> 8), (byte) engineTag,
                (byte) (attempt.query.tableTag >> 8), (byte) attempt.query.tableTag};
            return attempt.query.spec.loadsTables() ? all : Arrays.copyOf(all, 4);
        }

        /** Decodes an announced start; null if the bytes name no engine or class that is known here. */
        static PeerAttempt decode(byte[] bytes, Map<Integer, EngineNode> nodesByTag, List<ClassSpec> classes,
                double now, double staleMultiple) {
            int classIndex = bytes.length < 4 ? 16 : (bytes[1] & 255) >> 4;
            EngineNode node = bytes.length < 4 ? null
                    : nodesByTag.get((bytes[2] & 255) << 8 | bytes[3] & 255);
            if (node == null || classIndex >= classes.size()) {
                return null;
            }
            ClassSpec spec = classes.get(classIndex);
            int tableTag = spec.loadsTables() && bytes.length > 5
                    ? (bytes[4] & 255) << 8 | bytes[5] & 255 : -1;
            return new PeerAttempt(node, spec.threads(), tableTag,
                    now + staleMultiple * 64 * (1 << (bytes[1] & 15)));
        }

        void addToNode() {
            node.peerAttempts.add(this);
            node.peerThreads += threads;
        }

        /** Takes it off its engine; a second call has no effect. */
        void removeFromNode() {
            node.peerThreads -= node.peerAttempts.remove(this) ? threads : 0;
        }
    }

    /** Attempts that other routers have announced, by sender and number. */
    static final class PeerAttempts {
        private final Map<Long, PeerAttempt> bySenderAndNumber = new LinkedHashMap<>();

        /** Takes a message: its first byte numbers the attempt and ends any earlier one of that number. */
        void receive(PeerMessage message, Map<Integer, EngineNode> nodesByTag, Settings settings, double now,
                double staleMultiple) {
            byte[] bytes = message.payload();
            if (bytes.length == 0 || message.from() < 0 || message.from() >= settings.routers()) {
                return;
            }
            long key = message.from() << 8 | bytes[0] & 255;
            PeerAttempt previous = bySenderAndNumber.remove(key);
            if (previous != null) {
                previous.removeFromNode();
            }
            PeerAttempt started = PeerAttempt.decode(bytes, nodesByTag, settings.classes(), now,
                    staleMultiple);
            if (started != null) {
                bySenderAndNumber.put(key, started);
                started.addToNode();
            }
        }

        void expire(double now) {
            bySenderAndNumber.values().stream().filter(attempt -> now > attempt.expiresAt)
                    .forEach(PeerAttempt::removeFromNode);
            bySenderAndNumber.values().removeIf(attempt -> now > attempt.expiresAt);
        }
    }

    /** Sixteen well mixed bits of an id. */
    static int hash16(long id) {
        return (int) (id * 0x9E3779B97F4A7C15L >>> 48);
    }

    /** A hash of an id from 0 to below 1, the same at every router. */
    static double hashToUnitInterval(long id) {
        long x = (id ^ id >>> 29) * 0xBF58476D1CE4E5B9L;
        return hash16(x ^ x >>> 32) / 65536.0;
    }

    /** The requests of one key, in the order taken; one leaves when it is over and no attempt of it runs. */
    static final class KeyQueue {
        final long key;
        final List<Query> waiting = new ArrayList<>();
        /** Until then only {@link #doubtful} may be sent. */
        double blockedUntil;
        /** The last query of which an attempt may have run without success; may be null. */
        Query doubtful;

        KeyQueue(long key) {
            this.key = key;
        }

        void blockUntil(Query query, double until) {
            blockedUntil = Math.max(blockedUntil, until);
            doubtful = query;
        }
    }

    /**
     * An adaptive limit on the threads of running queries, for one engine or shared by several, with what it
     * adapts to: the stretch of attempts, by class.
     */
    static final class ConcurrencyLimit {
        /** Mean logarithm of the stretch (time relative to work), by class. */
        DecayingMean[] logStretch = {};
        int[] threadsByClass = {};
        final double spanMs;
        double maxThreads;
        /** Threads of running queries. */
        int threads;

        ConcurrencyLimit(int classes, double spanMs, double maxThreads) {
            this.spanMs = spanMs;
            this.maxThreads = maxThreads;
            ensureClasses(classes);
        }

        /** Makes room for this many classes; existing ones keep their values. */
        void ensureClasses(int classes) {
            int known = threadsByClass.length;
            if (classes > known) {
                threadsByClass = Arrays.copyOf(threadsByClass, classes);
                logStretch = Arrays.copyOf(logStretch, classes);
                Arrays.setAll(logStretch, i -> i < known ? logStretch[i] : new DecayingMean(spanMs));
            }
        }

        void addThreads(int classIndex, int more) {
            threads += more;
            threadsByClass[classIndex] += more;
        }
    }

    /** What is known about one engine. */
    static final class EngineNode {
        /** The engine as last listed. */
        Engine engine;
        /** The engine's own limit, or the shared one. */
        final ConcurrencyLimit limit;
        /** By the index of the class statistics; null where nothing is known. */
        DecayingMean[] serviceTimes;
        /** Actual over expected time of its attempts. */
        final DecayingMean slowness;
        /** Share of attempts that failed. */
        final DecayingMean failures;
        /** Running attempts of this router. */
        final LinkedHashSet<Attempt> outstanding = new LinkedHashSet<>();
        /** Running attempts of other routers, as announced. */
        final LinkedHashSet<PeerAttempt> peerAttempts = new LinkedHashSet<>();
        /** Time and work of recent sends. */
        final ArrayDeque<double[]> recentSends = new ArrayDeque<>();
        /** When a note last said that a load holds tables here, by the tag of the tables. */
        final Map<Integer, Double> tablesHeldAt = new LinkedHashMap<>();
        double lastHeardAt;
        /** While ejected: when the next query may be tried. */
        double retryAt;
        /** Length of the last ejection. */
        double backoff;
        /** When it was ejected; negative if it is not. */
        double ejectedAt = -1;
        /** Load per core by its last report; NaN before the first. */
        double reportedLoad = Double.NaN;
        double reportedAt;
        /** Threads of this router's running attempts. */
        int threads;
        /** Threads of the announced attempts of other routers. */
        int peerThreads;
        /** Whether it belongs to the engines that this router watches or prefers. */
        boolean inSubset;

        EngineNode(Engine engine, int statsCount, double spanMs, ConcurrencyLimit limit) {
            this.limit = limit;
            slowness = new DecayingMean(spanMs);
            failures = new DecayingMean(spanMs / 2);
            this.engine = engine;
            serviceTimes = new DecayingMean[statsCount];
        }

        void recordServiceTime(int statsIndex, double now, double ms) {
            serviceTimes[statsIndex] = serviceTimes[statsIndex] != null ? serviceTimes[statsIndex]
                    : new DecayingMean(slowness.spanMs);
            serviceTimes[statsIndex].add(now, ms);
        }

        /** Makes room for this many class statistics, two to a class. */
        void ensureClassStats(int statsCount) {
            serviceTimes = Arrays.copyOf(serviceTimes, statsCount);
            limit.ensureClasses(statsCount / 2);
        }

        boolean isGone() {
            return engine.state() == EngineState.GONE;
        }

        /** Whether a note after {@code since} said that a load holds these tables. */
        boolean hasTablesHeldSince(int tableTag, double since) {
            tablesHeldAt.values().removeIf(at -> at < since);
            return tablesHeldAt.containsKey(tableTag);
        }

        boolean isEjected() {
            return ejectedAt >= 0;
        }

        void resetAfterRestart(double now) {
            reportedLoad = 0; // it holds nothing yet
            reportedAt = now;
            ejectedAt = -1;
            backoff = 0;
            peerAttempts.clear();
            tablesHeldAt.clear();
            peerThreads = 0;
            failures.weight = failures.sum = slowness.weight = slowness.sum = 0;
            Arrays.fill(serviceTimes, null);
        }

        void recordSend(double now, double work, double spanMs) {
            recentSends.addLast(new double[] {now, work});
            recentWork(now, spanMs);
        }

        /** The work sent within the span and a tenth more. */
        double recentWork(double now, double spanMs) {
            while (!recentSends.isEmpty() && recentSends.peekFirst()[0] < now - 1.1 * spanMs) {
                recentSends.removeFirst();
            }
            double sum = 0;
            for (double[] send : recentSends) {
                sum += send[1];
            }
            return sum;
        }
    }
}
