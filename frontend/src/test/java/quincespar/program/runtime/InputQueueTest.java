package quincespar.program.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import quincespar.routing.Caller;
import quincespar.routing.EngineMessage;
import quincespar.routing.Input;
import quincespar.routing.Query;

/** What waits for the reducer is bounded, however many peers send and however long their messages are. */
@Timeout(30)
class InputQueueTest {
    private static final int PAYLOAD_BYTES = 60_000;
    private static final int MAX_QUEUED_BYTES = 5 << 20;
    private static final int INPUTS = 1000;
    private static final int MORE_THAN_FIT = 3000;

    private final InputQueue queue = new InputQueue();

    private static Input request() {
        return new Input.RequestReceived(new Caller(1, 1), new Query("", 0, 0, 1, false, 1, 0, 0, new byte[PAYLOAD_BYTES]), 0);
    }

    private static Input page() {
        return new Input.EngineMessageReceived(1, new EngineMessage.Page("", 1, new byte[PAYLOAD_BYTES]));
    }

    /** Adds inputs on another thread until it blocks or has added all; returns how many it had added. */
    private int addUntilFull(Input input) throws InterruptedException {
        AtomicInteger added = new AtomicInteger();
        Thread peer = addOnAnotherThread(() -> queue.addFromClient(List.of(input)), INPUTS, added);
        int addedBeforeTaking = added.get();
        int taken = 0;
        while (taken < INPUTS) {
            taken += queue.take().size();
        }
        peer.join();
        return addedBeforeTaking;
    }

    /** Adds inputs on another thread; returns once it blocks or has added all. */
    private static Thread addOnAnotherThread(Runnable add, int count, AtomicInteger added) {
        Thread peer = new Thread(() -> {
            for (int i = 0; i < count; i++) {
                add.run();
                added.incrementAndGet();
            }
        });
        peer.setDaemon(true);
        peer.start();
        while (peer.getState() != Thread.State.WAITING && peer.getState() != Thread.State.TERMINATED) {
            Thread.onSpinWait();
        }
        return peer;
    }

    /** Guards against a reducer's thread that waits for ever behind peers that wait for it. */
    @Test
    void theReducersThreadDoesNotBlockThoughPeersWait() throws InterruptedException {
        Input small = new Input.CallerConnected(1);
        AtomicInteger added = new AtomicInteger();
        CountDownLatch taken = new CountDownLatch(1);
        CountDownLatch peersWait = new CountDownLatch(1);
        CountDownLatch notBlocked = new CountDownLatch(1);
        queue.add(small);
        Thread reducer = new Thread(() -> {
            try {
                queue.take();
                taken.countDown();
                peersWait.await();
                queue.addFromClient(List.of(small));
                notBlocked.countDown();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        reducer.setDaemon(true);
        reducer.start();
        taken.await();
        addOnAnotherThread(() -> queue.addFromClient(List.of(small)), MORE_THAN_FIT, added);
        addOnAnotherThread(() -> queue.addFromClient(List.of(small)), MORE_THAN_FIT, added);
        assertThat(added).hasValueLessThan(2 * MORE_THAN_FIT);
        peersWait.countDown();
        notBlocked.await();
    }

    /** Guards against a heap filled by long statements that wait for the reducer, whose number alone was limited. */
    @Test
    void longStatementsFillTheQueueByTheirBytes() throws InterruptedException {
        assertThat(addUntilFull(request())).isBetween(1, MAX_QUEUED_BYTES / PAYLOAD_BYTES);
    }

    /** The same for results. */
    @Test
    void longPagesFillTheQueueByTheirBytes() throws InterruptedException {
        assertThat(addUntilFull(page())).isBetween(1, MAX_QUEUED_BYTES / PAYLOAD_BYTES);
    }

    /** Guards against engines and a change log that are not read because clients send more than the reducer takes. */
    @Test
    void serversHaveRoomThoughClientsFillTheQueue() throws InterruptedException {
        AtomicInteger added = new AtomicInteger();
        addOnAnotherThread(() -> queue.addFromClient(List.of(request())), MORE_THAN_FIT, added);
        assertThat(added).hasValueLessThan(MORE_THAN_FIT);
        Thread server = addOnAnotherThread(() -> queue.addFromServer(page()), 1, new AtomicInteger());
        assertThat(server.getState()).isEqualTo(Thread.State.TERMINATED);
    }

    @Test
    void shortInputsDoNotBlockBeforeTheirNumberIsReached() throws InterruptedException {
        assertThat(addUntilFull(new Input.CallerConnected(1))).isEqualTo(INPUTS);
    }
}
