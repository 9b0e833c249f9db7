package quincespar.agreement;

import java.io.File;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.ratis.io.MD5Hash;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.storage.FileInfo;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.StateMachineStorage;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.statemachine.impl.SingleFileSnapshotInfo;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.LifeCycle;
import org.apache.ratis.util.MD5FileUtil;
import quincespar.fleet.FleetCodec;
import quincespar.fleet.FleetState;
import quincespar.fleet.Result;
import quincespar.fleet.Snapshot;
import quincespar.records.MalformedRecordException;

/** The replicated state machine in the form that the library calls: applies log entries, answers queries and takes snapshots. */
final class FleetStateMachine extends BaseStateMachine {
    private static final String TEMPORARY_SUFFIX = ".next";

    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private final Consumer<Snapshot> applied;
    private FleetCodec codec = new FleetCodec();
    private FleetState state = FleetState.restore(Snapshot.EMPTY);
    /** The version of the last state that was published. */
    private long publishedVersion;
    private boolean corrupt;
    private volatile boolean logFailed;

    FleetStateMachine(Consumer<Snapshot> applied) {
        this.applied = applied;
    }

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage raftStorage) throws IOException {
        super.initialize(server, group, raftStorage);
        storage.init(raftStorage);
        load();
    }

    @Override
    public void pause() {
        getLifeCycle().transition(LifeCycle.State.PAUSING);
        getLifeCycle().transition(LifeCycle.State.PAUSED);
    }

    @Override
    public void reinitialize() throws IOException {
        load();
        if (getLifeCycleState() == LifeCycle.State.PAUSED) {
            getLifeCycle().transition(LifeCycle.State.STARTING);
            getLifeCycle().transition(LifeCycle.State.RUNNING);
        }
    }

    private synchronized void load() throws IOException {
        SingleFileSnapshotInfo latest = storage.loadLatestSnapshot();
        if (latest == null) {
            return;
        }
        File file = latest.getFile().getPath().toFile();
        MD5Hash digest = latest.getFile().getFileDigest();
        if (digest != null) {
            MD5FileUtil.verifySavedMD5(file, digest);
        }
        state = FleetState.restore(codec.readSnapshot(Files.readAllBytes(file.toPath())));
        updateLastAppliedTermIndex(SimpleStateMachineStorage.getTermIndexFromSnapshotFile(file));
        publishIfChanged();
    }

    @Override
    public synchronized long takeSnapshot() throws IOException {
        TermIndex last = getLastAppliedTermIndex();
        File file = storage.getSnapshotFile(last.getTerm(), last.getIndex());
        File next = new File(file.getPath() + TEMPORARY_SUFFIX); // a partial write must not be found under a snapshot's name
        try (FileOutputStream out = new FileOutputStream(next)) {
            out.write(codec.write(state.snapshot()));
            out.getFD().sync(); // the library may truncate the log before it once this has returned
        }
        Files.move(next.toPath(), file.toPath(), StandardCopyOption.ATOMIC_MOVE);
        MD5Hash digest = MD5FileUtil.computeAndSaveMd5ForFile(file);
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(new FileInfo(file.toPath(), digest), last));
        return last.getIndex();
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return storage;
    }

    /** The library goes on voting although it can't persist its votes any more. */
    @Override
    public void notifyLogFailed(Throwable cause, LogEntryProto failed) {
        logFailed = true;
    }

    /** Whether the log has failed, for example at a failed write. */
    boolean hasLogFailed() {
        return logFailed;
    }

    /** Refuses a command that was corrupted in transit, before it is appended to any log. */
    @Override
    public TransactionContext startTransaction(RaftClientRequest request) throws IOException {
        TransactionContext trx = super.startTransaction(request);
        if (!FleetCodec.isIntact(CorrelationToken.payload(request.getMessage().getContent()))) {
            trx.setException(new IOException("the command does not match its checksum"));
        }
        return trx;
    }

    /**
     * Applies a command. A command that is corrupt here, but was intact at the leader, was corrupted between them: this replica
     * would diverge from the others, so it applies nothing more.
     */
    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext trx) {
        LogEntryProto entry = trx.getLogEntry();
        ByteString request = entry.getStateMachineLogEntry().getLogData();
        byte[] command = CorrelationToken.payload(request);
        byte[] reply;
        synchronized (this) {
            corrupt |= !FleetCodec.isIntact(command);
            if (corrupt) {
                return CompletableFuture.failedFuture(new IOException("a log entry does not match its checksum"));
            }
            reply = apply(command);
            updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
            publishIfChanged();
        }
        return CompletableFuture.completedFuture(CorrelationToken.tagReply(request, reply));
    }

    private byte[] apply(byte[] command) {
        try {
            return codec.write((Record) state.apply(codec.readCommand(command)));
        } catch (MalformedRecordException e) { // every replica refuses the same bytes, so that their states stay equal
            return codec.write(new Result.Refused(Result.Reason.LIMIT_REACHED, "no command: " + e.getMessage()));
        }
    }

    /** Hands the state to the listener if its version has changed. */
    private void publishIfChanged() {
        if (state.version() != publishedVersion) {
            publishedVersion = state.version();
            applied.accept(state.snapshot());
        }
    }

    @Override
    public CompletableFuture<Message> query(Message request) {
        return CompletableFuture.completedFuture(CorrelationToken.tagReply(request.getContent(), encodedSnapshot()));
    }

    private synchronized byte[] encodedSnapshot() {
        return codec.write(state.snapshot());
    }

    /** Whether the log has a corrupt entry, so that this replica must not vote. */
    synchronized boolean isCorrupt() {
        return corrupt;
    }

    /** The agreed time, as far as this replica has applied it. */
    synchronized long agreedTime() {
        return state.time();
    }
}
