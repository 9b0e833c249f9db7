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
import quincespar.decision.Scheduler.Request;
import quincespar.decision.Scheduler.Settings;
import quincespar.decision.Scheduler.Tenant;
import quincespar.decision.Scheduler.PeerMessage;

/**
 * What the decision module remembers: requests, attempts, engines, and plain statistics over them. Nothing here
 * decides; spans and weights are handed in by the module.
 */
final class SchedulerState {
    private SchedulerState() { }

    /** A mean that forgets exponentially. */
    static final class DecayingMean {
        final double spanMs;
        double sum, weight, updatedAt;

        DecayingMean(double span) {
            this.spanMs = span;
        }

        void add(double now, double sample) {
            double retained = Math.exp((updatedAt - now) / spanMs);
            updatedAt = now;
            sum = sum * retained + sample;
            weight = weight * retained + 1;
        }

        /** What it weighs now: a figure that nothing has added to for long tells of a time gone by. */
        double weightAt(double now) {
            return weight * Math.exp((updatedAt - now) / spanMs);
        }

        double value(double fallback) {
            return weight > 1e-9 ? sum / weight : fallback;
        }
    }

    /** What work an estimate foretells: a line through logarithms, as estimates scatter and are biased. */
    static final class LogLinearFit {
        final DecayingMean meanX, meanY, meanXX, meanXY;
        final double priorWeight;

        LogLinearFit(double span, double prior) {
            this.priorWeight = prior;
            meanX = new DecayingMean(span);
            meanY = new DecayingMean(span);
            meanXX = new DecayingMean(span);
            meanXY = new DecayingMean(span);
        }

        void add(double now, double estimate, double actual) {
            double x = Math.log(Math.max(1, estimate)), y = Math.log(Math.max(1, actual));
            meanX.add(now, x);
            meanY.add(now, y);
            meanXX.add(now, x * x);
            meanXY.add(now, x * y);
        }

        boolean hasEnoughSamples() {
            return meanX.weight >= priorWeight;
        }

        /** The work foretold; without an estimate the usual one, before anything is known the estimate. */
        double predict(double estimate, double fallback) {
            if (!hasEnoughSamples()) {
                return estimate > 0 ? Math.max(1, estimate) : fallback;
            }
            double x = meanX.value(0), y = meanY.value(0), shrinkage = priorWeight / meanX.weight;
            double slope = (meanXY.value(0) - x * y + shrinkage) / (meanXX.value(0) - x * x + shrinkage);
            double offset = estimate > 0 ? Math.log(Math.max(1, estimate)) - x : 0;
            return Math.exp(y + Math.max(0, Math.min(1, slope)) * offset);
        }
    }

    /**
     * Chance from a seed: the generator of {@code java.util.Random}, as its documentation gives it, with its state where a
     * snapshot can read it.
     */
    static final class SeededRandom {
        private static final long MULTIPLIER = 0x5DEECE66DL, MASK = (1L << 48) - 1;
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

    /** Queries by age, the one taken first before. */
    enum ByAge implements Comparator<Query> {
        OLDEST_FIRST;

        @Override
        public int compare(Query a, Query b) {
            int born = Double.compare(a.agedFrom, b.agedFrom);
            return born != 0 ? born : Long.compare(a.sequence, b.sequence);
        }
    }

    /** Counts a tenant's requests against its quota: true where one lies beyond it. */
    static final class QuotaBucket {
        double tokensPerSecond, tokens, refilledAt = Double.NaN;

        QuotaBucket(double perS) {
            this.tokensPerSecond = perS;
            tokens = perS;
        }

        /** Buckets for these tenants; one that was there keeps its level, as a tenant keeps its number. */
        static QuotaBucket[] forTenants(QuotaBucket[] previous, List<Tenant> tenants) {
            QuotaBucket[] buckets = Arrays.copyOf(previous, tenants.size());
            for (int tenant = 0; tenant < buckets.length; tenant++) {
                buckets[tenant] = buckets[tenant] != null ? buckets[tenant] : new QuotaBucket(tenants.get(tenant).quotaPerSecond());
                buckets[tenant].tokensPerSecond = tenants.get(tenant).quotaPerSecond();
            }
            return buckets;
        }

        boolean countAndCheckOverQuota(double now) {
            tokens = Double.isNaN(refilledAt) ? tokensPerSecond : Math.min(tokensPerSecond, tokens + (now - refilledAt) * tokensPerSecond / 1000);
            refilledAt = now;
            if (tokensPerSecond <= 0 || tokens < 1) {
                return tokensPerSecond > 0;
            }
            tokens--;
            return false;
        }
    }

    /** A class, or the rare heavy part of one: what is learned of it over all engines. */
    static final class ClassStats {
        final int classIndex, band, index;
        final DecayingMean serviceTime, timePerEstimate, logDeviation, estimatedWork, reportedWork;
        final LogLinearFit workFit, memoryFit;
        ClassSpec spec;
        /** Not in the settings any more: what is open goes on, new ones do not come. */
        boolean dropped;
        double bestLogStretch = 50, cancelCredit = 1;

        ClassStats(int classIndex, int band, double rateSpan, double classSpan, double priorWeight) {
            serviceTime = new DecayingMean(rateSpan);
            timePerEstimate = new DecayingMean(rateSpan);
            logDeviation = new DecayingMean(classSpan);
            estimatedWork = new DecayingMean(classSpan);
            reportedWork = new DecayingMean(classSpan);
            workFit = new LogLinearFit(classSpan, priorWeight);
            memoryFit = new LogLinearFit(classSpan, priorWeight);
            this.classIndex = classIndex;
            this.band = band;
            this.index = classIndex * 2 + band;
        }

    }

    /** A queue: a kind's queries of like prospects, oldest first. */
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

    static final class Query {
        final Request request;
        final ClassSpec spec;
        final long id, sequence;
        final int classIndex, maxAttempts;
        final double deadline;
        final List<Attempt> attempts = new ArrayList<>(2);
        double agedFrom, estimatedWork, memoryGrant;
        int band, sendCount, tableTag, priority = 1;
        boolean over, streaming, overShare;
        QueryQueue queue;
        KeyQueue keyQueue;
        EngineNode avoidedNode;

        /** {@code most}: attempts that it may have, as the settings stood when it was taken. */
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

    static final class Attempt {
        final Query query;
        final EngineNode node;
        final Engine engine;
        final int number;
        final double sentAt, expectedTime;
        int announcement = -1;
        boolean cancelled;
        /** A note said that it stands still behind a load: how long it takes tells nothing of its engine. */
        boolean waitedForLoad;
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

    /** An attempt of another router as that one told it; {@code tag} marks the tables that it holds, if any. */
    static final class PeerAttempt {
        final EngineNode node;
        final int threads, tableTag;
        final double expiresAt;

        PeerAttempt(EngineNode node, int threads, int tableTag, double expiresAt) {
            this.node = node;
            this.threads = threads;
            this.tableTag = tableTag;
            this.expiresAt = expiresAt;
        }

        /** Six bytes: number, class and time (64 ms x 2^n), engine; of a load also its tables, else four. */
        static byte[] encodeStart(Attempt attempt, int engineTag) {
            int timeExponent = (int) Math.max(0, Math.min(15, Math.ceil(Math.log(attempt.expectedTime / 64) / Math.log(2))));
            byte[] all = {(byte) attempt.announcement, (byte) (attempt.query.classIndex << 4 | timeExponent), (byte) (engineTag >> 8), (byte) engineTag,
                (byte) (attempt.query.tableTag >> 8), (byte) attempt.query.tableTag};
            return attempt.query.spec.loadsTables() ? all : Arrays.copyOf(all, 4);
        }

        /** The attempt told, or null where the text tells none that is known here. */
        static PeerAttempt decode(byte[] bytes, Map<Integer, EngineNode> nodesByTag, List<ClassSpec> classes, double now, double staleMultiple) {
            int classIndex = bytes.length < 4 ? 16 : (bytes[1] & 255) >> 4;
            EngineNode node = bytes.length < 4 ? null : nodesByTag.get((bytes[2] & 255) << 8 | bytes[3] & 255);
            if (node == null || classIndex >= classes.size()) {
                return null;
            }
            ClassSpec spec = classes.get(classIndex);
            int tableTag = spec.loadsTables() && bytes.length > 5 ? (bytes[4] & 255) << 8 | bytes[5] & 255 : -1;
            return new PeerAttempt(node, spec.threads(), tableTag, now + staleMultiple * 64 * (1 << (bytes[1] & 15)));
        }

        void addToNode() {
            node.peerAttempts.add(this);
            node.peerThreads += threads;
        }

        /** Takes the word off its engine, once. */
        void removeFromNode() {
            node.peerThreads -= node.peerAttempts.remove(this) ? threads : 0;
        }
    }

    /** What is known from peers' words, by sender and number. */
    static final class PeerAttempts {
        private final Map<Long, PeerAttempt> bySenderAndNumber = new LinkedHashMap<>();

        /** A first byte names the attempt, and ends what was told under that number before. */
        void receive(PeerMessage message, Map<Integer, EngineNode> nodesByTag, Settings settings, double now, double staleMultiple) {
            byte[] bytes = message.payload();
            if (bytes.length == 0 || message.from() < 0 || message.from() >= settings.routers()) {
                return;
            }
            long key = message.from() << 8 | bytes[0] & 255;
            PeerAttempt previous = bySenderAndNumber.remove(key);
            if (previous != null) {
                previous.removeFromNode();
            }
            PeerAttempt started = PeerAttempt.decode(bytes, nodesByTag, settings.classes(), now, staleMultiple);
            if (started != null) {
                bySenderAndNumber.put(key, started);
                started.addToNode();
            }
        }

        void expire(double now) {
            bySenderAndNumber.values().stream().filter(attempt -> now > attempt.expiresAt).forEach(PeerAttempt::removeFromNode);
            bySenderAndNumber.values().removeIf(attempt -> now > attempt.expiresAt);
        }
    }

    /** Sixteen bits of an id, well mixed. */
    static int hash16(long id) {
        return (int) (id * 0x9E3779B97F4A7C15L >>> 48);
    }

    /** A number from 0 to 1 that is the same everywhere for one id. */
    static double hashToUnitInterval(long id) {
        long x = (id ^ id >>> 29) * 0xBF58476D1CE4E5B9L;
        return hash16(x ^ x >>> 32) / 65536.0;
    }

    /** The requests of one key in the order taken; one leaves when it is over and nothing of it is out. */
    static final class KeyQueue {
        final long key;
        final List<Query> waiting = new ArrayList<>();
        double blockedUntil;
        Query doubtful;

        KeyQueue(long key) {
            this.key = key;
        }

        void blockUntil(Query query, double until) {
            blockedUntil = Math.max(blockedUntil, until);
            doubtful = query;
        }
    }

    /** A bound on threads out, also by class, for one engine or pooled over all, and how attempts under it have stretched. */
    static final class ConcurrencyLimit {
        DecayingMean[] logStretch = {};
        int[] threadsByClass = {};
        final double spanMs;
        double maxThreads;
        int threads;

        ConcurrencyLimit(int classes, double spanMs, double maxThreads) {
            this.spanMs = spanMs;
            this.maxThreads = maxThreads;
            ensureClasses(classes);
        }

        /** Has room for so many classes; those that are there keep what they have. */
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

    static final class EngineNode {
        Engine engine;
        final ConcurrencyLimit limit;
        DecayingMean[] serviceTimes;
        final DecayingMean slowness, failures;
        final LinkedHashSet<Attempt> outstanding = new LinkedHashSet<>();
        final LinkedHashSet<PeerAttempt> peerAttempts = new LinkedHashSet<>();
        final ArrayDeque<double[]> recentSends = new ArrayDeque<>();
        /** Tables that a load holds here as notes told, and when they did. */
        final Map<Integer, Double> tablesHeldAt = new LinkedHashMap<>();
        double lastHeardAt, retryAt, backoff, ejectedAt = -1;
        double reportedLoad = Double.NaN, reportedAt;
        int threads, peerThreads;
        boolean inSubset;

        EngineNode(Engine engine, int statsCount, double spanMs, ConcurrencyLimit limit) {
            this.limit = limit;
            slowness = new DecayingMean(spanMs);
            failures = new DecayingMean(spanMs / 2);
            this.engine = engine;
            serviceTimes = new DecayingMean[statsCount];
        }

        /** A query of this kind took so long here. */
        void recordServiceTime(int statsIndex, double now, double ms) {
            serviceTimes[statsIndex] = serviceTimes[statsIndex] != null ? serviceTimes[statsIndex] : new DecayingMean(slowness.spanMs);
            serviceTimes[statsIndex].add(now, ms);
        }

        /** Has room for so many kinds, two to a class. */
        void ensureClassStats(int statsCount) {
            serviceTimes = Arrays.copyOf(serviceTimes, statsCount);
            limit.ensureClasses(statsCount / 2);
        }

        boolean isGone() {
            return engine.state() == EngineState.GONE;
        }

        /** Whether a note told after {@code since} that a load holds these tables. */
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
