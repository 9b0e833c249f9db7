package quincespar.agreement;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.ratis.RaftConfigKeys;
import org.apache.ratis.client.RaftClient;
import org.apache.ratis.client.RaftClientConfigKeys;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.netty.NettyConfigKeys;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.retry.RetryPolicies;
import org.apache.ratis.server.DivisionInfo;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerConfigKeys;
import org.apache.ratis.server.raftlog.RaftLogBase;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.SizeInBytes;
import org.apache.ratis.util.TimeDuration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quincespar.fleet.Agreement;
import quincespar.fleet.Command;
import quincespar.fleet.FleetCodec;
import quincespar.fleet.FleetConfig;
import quincespar.fleet.Snapshot;

/** One instance's part in the agreement: a client always, a server where it votes. */
final class RatisAgreement implements Agreement {
    /** A command or a state in one message; registers and instances are bounded by the state itself. */
    private static final String BUFFER = "2MB", LOG_BUFFER = "3MB", SEGMENT = "4MB", PREALLOCATED = "64KB";
    /** Commands after which a snapshot is taken, so that the log stays short. */
    private static final long SNAPSHOT_EVERY = 4000;
    private static final int SNAPSHOTS_KEPT = 2, CALLERS = 4, COMMANDS = 2, SERVERS = 4;
    private static final int TRIES = 6, CLOSERS = 3, CLOSINGS = 16;
    /** A voter that was down is tried again so often in an election's time; the library's own pause grows to 5 s. */
    private static final int RETRIES_AN_ELECTION = 4, RETRIES_AT_ONCE = 10;
    private static final long TRY_MS = 100, TICK_MS = 200, COMPACT_MS = 3000;

    private final Logger log = LoggerFactory.getLogger(RatisAgreement.class);
    private final FleetConfig plan;
    private final String self;
    private final Consumer<Snapshot> applied;
    private final RaftGroup group;
    private final RaftClient client;
    private final ExecutorService calls = Executors.newFixedThreadPool(CALLERS, daemons("fleet-call"));
    /** Of their own, so that a session is not lost behind reads that wait for a leader. */
    private final ExecutorService commands = Executors.newFixedThreadPool(COMMANDS, daemons("fleet-command"));
    /** Ends connections; where more fail than it can end, whoever found that waits for it. */
    private final ExecutorService closing = new ThreadPoolExecutor(CLOSERS, CLOSERS, 10, TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(CLOSINGS), daemons("fleet-close"), new ThreadPoolExecutor.CallerRunsPolicy());
    private final ScheduledExecutorService ticks = Executors.newSingleThreadScheduledExecutor(daemons("fleet-tick"));
    private final LeaderClock clock = new LeaderClock(2.0 * TICK_MS);
    private final FleetCodec codec = new FleetCodec();
    /** Null where this instance does not vote; read without a lock, as a start may wait for its disk. */
    private volatile RaftServer server;
    private volatile FleetStateMachine machine;

    RatisAgreement(FleetConfig plan, String self, Consumer<Snapshot> applied) {
        this.plan = plan;
        this.self = self;
        this.applied = applied;
        List<RaftPeer> voters = plan.voters().entrySet().stream().map(v -> RaftPeer.newBuilder().setId(v.getKey())
                .setAddress(v.getValue()).build()).toList();
        group = RaftGroup.valueOf(RaftGroupId.valueOf(UUID.nameUUIDFromBytes(plan.group().getBytes(
                StandardCharsets.UTF_8))), voters);
        RaftProperties p = properties();
        RaftClientConfigKeys.Rpc.setRequestTimeout(p, ms(3 * plan.electionTimeoutMs()));
        client = RaftClient.newBuilder().setProperties(p).setRaftGroup(group)
                .setParameters(FleetRpcType.parameters(plan, closing))
                .setRetryPolicy(RetryPolicies.retryUpToMaximumCountWithFixedSleep(TRIES, TimeDuration.valueOf(TRY_MS,
                        TimeUnit.MILLISECONDS))).build();
        ticks.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private static ThreadFactory daemons(String name) {
        return r -> {
            Thread t = new Thread(r, name);
            t.setDaemon(true);
            return t;
        };
    }

    private static RaftProperties properties() {
        RaftProperties p = new RaftProperties();
        RaftConfigKeys.Rpc.setType(p, new FleetRpcType());
        NettyConfigKeys.Server.setUseEpoll(p, false); // no native parts are packed
        NettyConfigKeys.Client.setUseEpoll(p, false);
        return p;
    }

    private static TimeDuration ms(double n) {
        return TimeDuration.valueOf(Math.round(n), TimeUnit.MILLISECONDS);
    }

    @Override
    public CompletionStage<byte[]> submit(byte[] command) {
        return ask(commands, command, client.io()::send);
    }

    @Override
    public CompletionStage<byte[]> readLinearizable() {
        return ask(calls, new byte[0], client.io()::sendReadOnly);
    }

    @Override
    public CompletionStage<byte[]> readStale(String voter) {
        return ask(calls, new byte[0], m -> client.io().sendStaleRead(m, 0, RaftPeerId.valueOf(voter)));
    }

    private interface Call {
        RaftClientReply make() throws IOException;
    }

    private interface Question {
        RaftClientReply ask(Message m) throws IOException;
    }

    private CompletionStage<byte[]> ask(ExecutorService on, byte[] bytes, Question q) {
        ByteString question = CorrelationToken.tagRequest(bytes);
        return call(on, () -> checked(question, q.ask(Message.valueOf(question)))).thenApply(answer -> CorrelationToken.payload(
                ByteString.copyFrom(answer)));
    }

    /** An answer to another question: nothing on that connection can be told apart any more, so it is given up. */
    private RaftClientReply checked(ByteString question, RaftClientReply r) throws IOException {
        if (r.isSuccess() && !CorrelationToken.matches(question, r.getMessage().getContent())) {
            IOException e = new IOException("an answer to another question from " + r.getServerId());
            client.getClientRpc().handleException(r.getServerId(), e, true);
            throw e;
        }
        return r;
    }

    private static CompletionStage<byte[]> call(ExecutorService on, Call c) {
        CompletableFuture<byte[]> out = new CompletableFuture<>();
        on.execute(() -> {
            try {
                RaftClientReply r = c.make();
                if (r.isSuccess()) {
                    out.complete(r.getMessage().getContent().toByteArray());
                } else {
                    out.completeExceptionally(new IOException(String.valueOf(r.getException())));
                }
            } catch (IOException | RuntimeException e) {
                out.completeExceptionally(e);
            }
        });
        return out;
    }

    @Override
    public synchronized void startVoting(Path folder) throws IOException {
        String address = plan.voters().get(self);
        int colon = address.lastIndexOf(':');
        RaftProperties p = properties();
        NettyConfigKeys.Server.setHost(p, address.substring(0, colon));
        NettyConfigKeys.Server.setPort(p, Integer.parseInt(address.substring(colon + 1)));
        RaftServerConfigKeys.setStorageDir(p, List.of(folder.toFile()));
        RaftServerConfigKeys.Rpc.setTimeoutMin(p, ms(plan.electionTimeoutMs()));
        RaftServerConfigKeys.Rpc.setTimeoutMax(p, ms(2 * plan.electionTimeoutMs()));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMin(p, ms(plan.electionTimeoutMs()));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMax(p, ms(2 * plan.electionTimeoutMs()));
        RaftServerConfigKeys.Rpc.setRequestTimeout(p, ms(2 * plan.electionTimeoutMs()));
        RaftServerConfigKeys.Rpc.setSleepTime(p, ms(plan.electionTimeoutMs() / 10));
        RaftServerConfigKeys.Log.Appender.setBufferByteLimit(p, SizeInBytes.valueOf(BUFFER));
        RaftServerConfigKeys.Log.Appender.setRetryPolicy(p, "1ms," + RETRIES_AT_ONCE + ", " + Math.round(plan.electionTimeoutMs()
                / RETRIES_AN_ELECTION) + "ms," + Integer.MAX_VALUE);
        RaftServerConfigKeys.Log.setWriteBufferSize(p, SizeInBytes.valueOf(LOG_BUFFER));
        RaftServerConfigKeys.Log.setSegmentSizeMax(p, SizeInBytes.valueOf(SEGMENT));
        RaftServerConfigKeys.Log.setPreallocatedSize(p, SizeInBytes.valueOf(PREALLOCATED));
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(p, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(p, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(p, SNAPSHOT_EVERY);
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(p, SNAPSHOTS_KEPT);
        RaftServerConfigKeys.Read.setOption(p, RaftServerConfigKeys.Read.Option.LINEARIZABLE);
        RaftServerConfigKeys.Read.setTimeout(p, ms(3 * plan.electionTimeoutMs()));
        RaftServerConfigKeys.ThreadPool.setServerSize(p, SERVERS);
        RaftServerConfigKeys.ThreadPool.setClientSize(p, SERVERS);
        RaftServerConfigKeys.ThreadPool.setProxySize(p, SERVERS);
        FleetStateMachine m = new FleetStateMachine(applied);
        Path own = folder.resolve(group.getGroupId().getUuid().toString());
        boolean begun = Files.exists(own);
        Path lastVote = own.resolve("current").resolve("raft-meta");
        if (Files.exists(lastVote) && Files.size(lastVote) == 0) { // the library empties it before it finds that the disk refuses
            throw new IOException("its last vote was lost on a disk that refused it: it follows until it is made a voter anew");
        }
        RaftServer s = RaftServer.newBuilder().setServerId(RaftPeerId.valueOf(self)).setGroup(group).setProperties(p)
                .setParameters(FleetRpcType.parameters(plan, closing)).setStateMachine(m)
                .setOption(begun ? RaftStorage.StartupOption.RECOVER : RaftStorage.StartupOption.FORMAT).build();
        try {
            s.start();
        } catch (IOException | RuntimeException e) { // as where another process has the address: nothing of it may go on
            s.close();
            throw e;
        }
        machine = m;
        server = s;
    }

    @Override
    public void stopVoting() {
        RaftServer old;
        synchronized (this) {
            old = server;
            server = null;
        }
        try {
            if (old != null) {
                old.close();
            }
        } catch (IOException e) {
            log.warn("the end of votes here: {}", e.toString());
        }
    }

    @Override
    public void transferLeadership() {
        Status s = status();
        if (s.voting() && s.leader().equals(self)) {
            call(commands, () -> client.admin().transferLeadership(null, RaftPeerId.valueOf(self), Math.round(2
                    * plan.electionTimeoutMs()))).whenComplete((done, e) -> {
                        if (e != null) { // then the others find out by the silence, as with a kill
                            log.info("the lead was not handed over: {}", e.toString());
                        }
                    });
        }
    }

    @Override
    public void compactLog() throws IOException {
        if (server != null) {
            RaftClientReply r = client.getSnapshotManagementApi(RaftPeerId.valueOf(self)).create(COMPACT_MS);
            if (!r.isSuccess()) {
                throw new IOException("no snapshot: " + r.getException());
            }
        }
    }

    /** Null where it takes no part in votes, or can't any more: its log ends at the first write that the disk refuses. */
    private DivisionInfo info() throws IOException {
        RaftServer s = server;
        FleetStateMachine m = machine;
        if (s == null || m.isCorrupt()) {
            return null;
        }
        RaftServer.Division d = s.getDivision(group.getGroupId());
        boolean open = !(d.getRaftLog() instanceof RaftLogBase log) || log.isOpened();
        return d.getInfo().isAlive() && open && !m.hasLogFailed() ? d.getInfo() : null;
    }

    @Override
    public Status status() {
        try {
            DivisionInfo i = info();
            if (i != null) {
                return new Status(true, i.getLeaderId() == null ? "" : i.getLeaderId().toString(), i.getCurrentTerm(),
                        i.getLastAppliedIndex());
            }
        } catch (IOException e) { // its group is not there yet, or no more
            log.debug("no status: {}", e.toString());
        }
        return new Status(false, client.getLeaderId() == null ? "" : client.getLeaderId().toString(), 0, 0);
    }

    /** The leader alone tells the time; whoever is none rests. */
    private void tick() {
        try {
            DivisionInfo i = info();
            if (i == null || !i.isLeader() || !i.isLeaderReady()) {
                clock.reset();
                return;
            }
            long time = clock.advance(System.nanoTime() / 1e6, machine.agreedTime());
            RaftClientReply r = client.io().send(Message.valueOf(CorrelationToken.tagRequest(codec.write(new Command.Tick(time, Math.round(plan.suspectAfterMs()),
                    Math.round(plan.goneAfterMs()))))));
            if (!r.isSuccess()) {
                clock.reset();
            }
        } catch (IOException | RuntimeException e) { // the next one tells
            clock.reset();
            log.debug("no tick: {}", e.toString());
        }
    }

    @Override
    public void close() {
        ticks.shutdownNow();
        calls.shutdownNow();
        commands.shutdownNow();
        stopVoting();
        try {
            client.close();
        } catch (IOException e) {
            log.debug("closing: {}", e.toString());
        }
        closing.shutdownNow();
    }
}
