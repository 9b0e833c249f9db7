package quincespar.transport;

import java.util.concurrent.atomic.AtomicReference;

/**
 * A write that can be withdrawn. The writer begins it with the frame's first byte; until then any thread may withdraw
 * it. Whoever has withdrawn it holds the proof that nothing of the frame was written.
 */
public final class WithdrawableWrite {
    private enum State { QUEUED, BEGUN, WITHDRAWN }

    private final AtomicReference<State> state = new AtomicReference<>(State.QUEUED);

    /** The first byte goes out now; false where the write was withdrawn. */
    public boolean begin() {
        return state.compareAndSet(State.QUEUED, State.BEGUN);
    }

    /** Withdraws it; true where no byte of the frame has gone out, and then none ever will. */
    public boolean withdraw() {
        return state.compareAndSet(State.QUEUED, State.WITHDRAWN) || state.get() == State.WITHDRAWN;
    }
}
