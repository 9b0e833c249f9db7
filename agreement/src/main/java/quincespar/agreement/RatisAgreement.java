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

/** The replicated log by Apache Ratis: always a Ratis client, and a Ratis server while this instance votes. */
final class RatisAgreement implements Agreement {
    /** Holds one command or one snapshot per message; the state itself limits registers and instances. */
    private static final String APPENDER_BUFFER_SIZE = "2MB";
    private static final String LOG_WRITE_BUFFER_SIZE = "3MB";
    private static final String LOG_SEGMENT_SIZE = "4MB";
    private static final String LOG_PREALLOCATED_SIZE = "64KB";
    /** Number of commands after which a snapshot is taken, so that the log stays short. */
    private static final long SNAPSHOT_INTERVAL_COMMANDS = 4000;
    private static final int RETAINED_SNAPSHOTS = 2;
    private static final int READ_THREADS = 4;
    private static final int COMMAND_THREADS = 2;
    private static final int SERVER_THREADS = 4;
    private static final int CLIENT_ATTEMPTS = 6;
    private static final long CLIENT_RETRY_DELAY_MS = 100;
    private static final int CLOSER_THREADS = 3;
    private static final int CLOSER_QUEUE_LENGTH = 16;
    private static final int CLOSER_IDLE_S = 10;
    /** Retries of a voter that is down, per election timeout, after the first fast ones; Ratis's own delay grows to 5 s. */
    private static final int RETRIES_PER_ELECTION_TIMEOUT = 4;
    private static final int FAST_RETRIES = 10;
    private static final long TICK_INTERVAL_MS = 200;
    private static final long COMPACTION_TIMEOUT_MS = 3000;

    private final Logger log = LoggerFactory.getLogger(RatisAgreement.class);
    private final FleetConfig config;
    private final String self;
    private final Consumer<Snapshot> applied;
    private final RaftGroup group;
    private final RaftClient client;
    private final ExecutorService readThreads = Executors.newFixedThreadPool(READ_THREADS, daemonThreads("fleet-call"));
    /** Separate threads, so that no session expires behind reads that wait for a leader. */
    private final ExecutorService commandThreads = Executors.newFixedThreadPool(COMMAND_THREADS, daemonThreads("fleet-command"));
    /** Closes failed connections; if its queue is full, the thread that has found the failure closes the connection itself. */
    private final ExecutorService connectionCloser = new ThreadPoolExecutor(CLOSER_THREADS, CLOSER_THREADS, CLOSER_IDLE_S,
            TimeUnit.SECONDS, new ArrayBlockingQueue<>(CLOSER_QUEUE_LENGTH), daemonThreads("fleet-close"),
            new ThreadPoolExecutor.CallerRunsPolicy());
    private final ScheduledExecutorService tickThread = Executors.newSingleThreadScheduledExecutor(daemonThreads("fleet-tick"));
    private final LeaderClock clock = new LeaderClock(2.0 * TICK_INTERVAL_MS);
    private final FleetCodec codec = new FleetCodec();
    /** Null while this instance does not vote; volatile, because starting it may hold the lock for as long as the disk takes. */
    private volatile RaftServer server;
    private volatile FleetStateMachine machine;

    RatisAgreement(FleetConfig config, String self, Consumer<Snapshot> applied) {
        this.config = config;
        this.self = self;
        this.applied = applied;
        List<RaftPeer> voters = config.voters().entrySet().stream().map(v -> RaftPeer.newBuilder().setId(v.getKey())
                .setAddress(v.getValue()).build()).toList();
        group = RaftGroup.valueOf(RaftGroupId.valueOf(UUID.nameUUIDFromBytes(config.group().getBytes(
                StandardCharsets.UTF_8))), voters);
        RaftProperties p = properties();
        RaftClientConfigKeys.Rpc.setRequestTimeout(p, ms(3 * config.electionTimeoutMs()));
        client = RaftClient.newBuilder().setProperties(p).setRaftGroup(group)
                .setParameters(FleetRpcType.parameters(config, connectionCloser))
                .setRetryPolicy(RetryPolicies.retryUpToMaximumCountWithFixedSleep(CLIENT_ATTEMPTS,
                        TimeDuration.valueOf(CLIENT_RETRY_DELAY_MS,
                        TimeUnit.MILLISECONDS))).build();
        tickThread.scheduleWithFixedDelay(this::tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private static ThreadFactory daemonThreads(String name) {
        return r -> {
            Thread t = new Thread(r, name);
            t.setDaemon(true);
            return t;
        };
    }

    private static RaftProperties properties() {
        RaftProperties p = new RaftProperties();
        RaftConfigKeys.Rpc.setType(p, new FleetRpcType());
        NettyConfigKeys.Server.setUseEpoll(p, false); // the jar has no native libraries
        NettyConfigKeys.Client.setUseEpoll(p, false);
        return p;
    }

    private static TimeDuration ms(double n) {
        return TimeDuration.valueOf(Math.round(n), TimeUnit.MILLISECONDS);
    }

    @Override
    public CompletionStage<byte[]> submit(byte[] command) {
        return send(commandThreads, command, client.io()::send);
    }

    @Override
    public CompletionStage<byte[]> readLinearizable() {
        return send(readThreads, new byte[0], client.io()::sendReadOnly);
    }

    @Override
    public CompletionStage<byte[]> readStale(String voter) {
        return send(readThreads, new byte[0], m -> client.io().sendStaleRead(m, 0, RaftPeerId.valueOf(voter)));
    }

    private interface ClientCall {
        RaftClientReply run() throws IOException;
    }

    private interface ClientMethod {
        RaftClientReply send(Message message) throws IOException;
    }

    private CompletionStage<byte[]> send(ExecutorService threads, byte[] bytes, ClientMethod method) {
        ByteString request = CorrelationToken.tagRequest(bytes);
        return call(threads, () -> checkToken(request, method.send(Message.valueOf(request))))
                .thenApply(reply -> CorrelationToken.payload(ByteString.copyFrom(reply)));
    }

    /** Closes the connection if the reply is to another request: all further replies on it would be matched wrongly, too. */
    private RaftClientReply checkToken(ByteString request, RaftClientReply reply) throws IOException {
        if (reply.isSuccess() && !CorrelationToken.matches(request, reply.getMessage().getContent())) {
            IOException e = new IOException("reply to another request from " + reply.getServerId());
            client.getClientRpc().handleException(reply.getServerId(), e, true);
            throw e;
        }
        return reply;
    }

    private static CompletionStage<byte[]> call(ExecutorService threads, ClientCall call) {
        CompletableFuture<byte[]> out = new CompletableFuture<>();
        threads.execute(() -> {
            try {
                RaftClientReply r = call.run();
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
        String address = config.voters().get(self);
        int colon = address.lastIndexOf(':');
        RaftProperties p = properties();
        NettyConfigKeys.Server.setHost(p, address.substring(0, colon));
        NettyConfigKeys.Server.setPort(p, Integer.parseInt(address.substring(colon + 1)));
        RaftServerConfigKeys.setStorageDir(p, List.of(folder.toFile()));
        RaftServerConfigKeys.Rpc.setTimeoutMin(p, ms(config.electionTimeoutMs()));
        RaftServerConfigKeys.Rpc.setTimeoutMax(p, ms(2 * config.electionTimeoutMs()));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMin(p, ms(config.electionTimeoutMs()));
        RaftServerConfigKeys.Rpc.setFirstElectionTimeoutMax(p, ms(2 * config.electionTimeoutMs()));
        RaftServerConfigKeys.Rpc.setRequestTimeout(p, ms(2 * config.electionTimeoutMs()));
        RaftServerConfigKeys.Rpc.setSleepTime(p, ms(config.electionTimeoutMs() / 10));
        RaftServerConfigKeys.Log.Appender.setBufferByteLimit(p, SizeInBytes.valueOf(APPENDER_BUFFER_SIZE));
        RaftServerConfigKeys.Log.Appender.setRetryPolicy(p, "1ms," + FAST_RETRIES + ", " + Math.round(config.electionTimeoutMs()
                / RETRIES_PER_ELECTION_TIMEOUT) + "ms," + Integer.MAX_VALUE);
        RaftServerConfigKeys.Log.setWriteBufferSize(p, SizeInBytes.valueOf(LOG_WRITE_BUFFER_SIZE));
        RaftServerConfigKeys.Log.setSegmentSizeMax(p, SizeInBytes.valueOf(LOG_SEGMENT_SIZE));
        RaftServerConfigKeys.Log.setPreallocatedSize(p, SizeInBytes.valueOf(LOG_PREALLOCATED_SIZE));
        RaftServerConfigKeys.Log.setPurgeUptoSnapshotIndex(p, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerEnabled(p, true);
        RaftServerConfigKeys.Snapshot.setAutoTriggerThreshold(p, SNAPSHOT_INTERVAL_COMMANDS);
        RaftServerConfigKeys.Snapshot.setRetentionFileNum(p, RETAINED_SNAPSHOTS);
        RaftServerConfigKeys.Read.setOption(p, RaftServerConfigKeys.Read.Option.LINEARIZABLE);
        RaftServerConfigKeys.Read.setTimeout(p, ms(3 * config.electionTimeoutMs()));
        RaftServerConfigKeys.ThreadPool.setServerSize(p, SERVER_THREADS);
        RaftServerConfigKeys.ThreadPool.setClientSize(p, SERVER_THREADS);
        RaftServerConfigKeys.ThreadPool.setProxySize(p, SERVER_THREADS);
        FleetStateMachine m = new FleetStateMachine(applied);
        Path groupFolder = folder.resolve(group.getGroupId().getUuid().toString());
        boolean hasLog = Files.exists(groupFolder);
        Path lastVote = groupFolder.resolve("current").resolve("raft-meta");
        if (Files.exists(lastVote) && Files.size(lastVote) == 0) { // Ratis truncates the file before a write that fails
            throw new IOException("its last vote was lost on a disk that refused it: it follows until it is made a voter anew");
        }
        RaftServer s = RaftServer.newBuilder().setServerId(RaftPeerId.valueOf(self)).setGroup(group).setProperties(p)
                .setParameters(FleetRpcType.parameters(config, connectionCloser)).setStateMachine(m)
                .setOption(hasLog ? RaftStorage.StartupOption.RECOVER : RaftStorage.StartupOption.FORMAT).build();
        try {
            s.start();
        } catch (IOException | RuntimeException e) { // as if the address is in use: no part of the server may keep running
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
            log.warn("could not stop the Ratis server cleanly: {}", e.toString());
        }
    }

    @Override
    public void transferLeadership() {
        Status s = status();
        if (s.voting() && s.leader().equals(self)) {
            call(commandThreads, () -> client.admin().transferLeadership(null, RaftPeerId.valueOf(self), Math.round(2
                    * config.electionTimeoutMs()))).whenComplete((done, e) -> {
                        if (e != null) { // then the others elect a leader after the election timeout, as after a crash
                            log.info("could not transfer the leadership: {}", e.toString());
                        }
                    });
        }
    }

    @Override
    public void compactLog() throws IOException {
        if (server != null) {
            RaftClientReply r = client.getSnapshotManagementApi(RaftPeerId.valueOf(self)).create(COMPACTION_TIMEOUT_MS);
            if (!r.isSuccess()) {
                throw new IOException("could not take a snapshot: " + r.getException());
            }
        }
    }

    /** Null if this instance does not vote, or can't any more: its log is closed at the first write that fails. */
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
        } catch (IOException e) { // the server has no group yet, or has none any more
            log.debug("could not read the status: {}", e.toString());
        }
        return new Status(false, client.getLeaderId() == null ? "" : client.getLeaderId().toString(), 0, 0);
    }

    /** Advances the agreed time if this instance is the leader; otherwise resets the clock. */
    private void tick() {
        try {
            DivisionInfo i = info();
            if (i == null || !i.isLeader() || !i.isLeaderReady()) {
                clock.reset();
                return;
            }
            long time = clock.advance(System.nanoTime() / 1e6, machine.agreedTime());
            Command.Tick command = new Command.Tick(time, Math.round(config.suspectAfterMs()), Math.round(config.goneAfterMs()));
            RaftClientReply r = client.io().send(Message.valueOf(CorrelationToken.tagRequest(codec.write(command))));
            if (!r.isSuccess()) {
                clock.reset();
            }
        } catch (IOException | RuntimeException e) { // retried at the next tick
            clock.reset();
            log.debug("could not submit a tick: {}", e.toString());
        }
    }

    @Override
    public void close() {
        tickThread.shutdownNow();
        readThreads.shutdownNow();
        commandThreads.shutdownNow();
        stopVoting();
        try {
            client.close();
        } catch (IOException e) {
            log.debug("could not close the client: {}", e.toString());
        }
        connectionCloser.shutdownNow();
    }
}
