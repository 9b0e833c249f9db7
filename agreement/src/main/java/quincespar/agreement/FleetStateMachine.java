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

/** The fleet's state as the library calls it: one command after the other, answers, snapshots. */
final class FleetStateMachine extends BaseStateMachine {
    private static final String NEXT = ".next";

    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    private final Consumer<Snapshot> applied;
    private FleetCodec codec = new FleetCodec();
    private FleetState state = FleetState.restore(Snapshot.EMPTY);
    private long told;
    private boolean spoilt;
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
        tell();
    }

    @Override
    public synchronized long takeSnapshot() throws IOException {
        TermIndex last = getLastAppliedTermIndex();
        File file = storage.getSnapshotFile(last.getTerm(), last.getIndex());
        File next = new File(file.getPath() + NEXT); // what a disk took in part must not be found under a snapshot's name
        try (FileOutputStream out = new FileOutputStream(next)) {
            out.write(codec.write(state.snapshot()));
            out.getFD().sync(); // the log before it may go once this has returned
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

    /** The library takes part in votes on, though it can keep nothing of what it says there. */
    @Override
    public void notifyLogFailed(Throwable cause, LogEntryProto failed) {
        logFailed = true;
    }

    /** Whether its log has ended, as on a disk that refuses. */
    boolean hasLogFailed() {
        return logFailed;
    }

    /** A command that was spoilt on its way here is turned down before it is in any log. */
    @Override
    public TransactionContext startTransaction(RaftClientRequest request) throws IOException {
        TransactionContext trx = super.startTransaction(request);
        if (!FleetCodec.isIntact(CorrelationToken.payload(request.getMessage().getContent()))) {
            trx.setException(new IOException("a command that is not what was sent"));
        }
        return trx;
    }

    /**
     * A command that was good at the leader and is spoilt here was spoilt on the way between them: this voter's state would
     * part from the others', so it applies nothing more.
     */
    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext trx) {
        LogEntryProto entry = trx.getLogEntry();
        ByteString question = entry.getStateMachineLogEntry().getLogData();
        byte[] command = CorrelationToken.payload(question);
        byte[] answer;
        synchronized (this) {
            spoilt |= !FleetCodec.isIntact(command);
            if (spoilt) {
                return CompletableFuture.failedFuture(new IOException("an entry of the log is not what was agreed"));
            }
            answer = apply(command);
            updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
            tell();
        }
        return CompletableFuture.completedFuture(CorrelationToken.tagReply(question, answer));
    }

    private byte[] apply(byte[] command) {
        try {
            return codec.write((Record) state.apply(codec.readCommand(command)));
        } catch (MalformedRecordException e) { // the same bytes are refused everywhere, so that states stay the same
            return codec.write(new Result.Refused(Result.Reason.LIMIT_REACHED, "no command: " + e.getMessage()));
        }
    }

    private void tell() {
        if (state.version() != told) {
            told = state.version();
            applied.accept(state.snapshot());
        }
    }

    @Override
    public CompletableFuture<Message> query(Message request) {
        return CompletableFuture.completedFuture(CorrelationToken.tagReply(request.getContent(), bytes()));
    }

    private synchronized byte[] bytes() {
        return codec.write(state.snapshot());
    }

    /** Whether its log holds what was not agreed, so that it must take no part in votes. */
    synchronized boolean isCorrupt() {
        return spoilt;
    }

    /** Agreed time as far as this voter has applied it. */
    synchronized long agreedTime() {
        return state.time();
    }
}
