package quincespar.transport;

import java.io.IOException;

/**
 * A write that can be withdrawn until the first byte of its frame has been written. An attempt that writes nothing, for
 * example into a full socket buffer, leaves it queued. A successful {@link #withdraw} proves that no byte of the frame
 * was written.
 */
public final class WithdrawableWrite {
    private enum State { QUEUED, STARTED, WITHDRAWN }

    /** Writes as much of the frame as the channel takes, without blocking. */
    interface Output {
        /** True if any byte of the frame has been written. */
        boolean write() throws IOException;
    }

    private State state = State.QUEUED;

    /** Marks the write as started; false if it was withdrawn or has started before. */
    public synchronized boolean begin() {
        if (state != State.QUEUED) {
            return false;
        }
        state = State.STARTED;
        return true;
    }

    /** Writes to the output; false if the write was withdrawn, in which case nothing is written. */
    synchronized boolean write(Output output) throws IOException {
        if (state == State.WITHDRAWN) {
            return false;
        }
        if (output.write()) {
            state = State.STARTED;
        }
        return true;
    }

    /** Withdraws the write; true if no byte of the frame has been written, in which case none will be. */
    public synchronized boolean withdraw() {
        if (state == State.QUEUED) {
            state = State.WITHDRAWN;
        }
        return state == State.WITHDRAWN;
    }
}
