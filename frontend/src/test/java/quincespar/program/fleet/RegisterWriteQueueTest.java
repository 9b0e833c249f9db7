package quincespar.program.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import quincespar.fleet.Command;
import quincespar.fleet.Result;

class RegisterWriteQueueTest {
    private final RegisterWriteQueue queue = new RegisterWriteQueue("a");

    private CompletableFuture<Result> add(String value) {
        return queue.add("r", -1, value).toCompletableFuture();
    }

    @Test
    void retriesAWriteWithTheSameSequenceNumberUntilItsOutcomeIsKnown() {
        CompletableFuture<Result> one = add("one");
        CompletableFuture<Result> two = add("two");
        assertThat(queue.next()).isNull(); // no incarnation yet
        queue.setIncarnation(5);
        Command.Write first = queue.next();
        assertThat(first).isEqualTo(new Command.Write("a", 5, 1, "r", -1, "one"));
        assertThat(queue.next()).isEqualTo(first); // the answer was lost
        queue.complete(first, new Result.Written(1));
        assertThat(one).isCompletedWithValue(new Result.Written(1));
        assertThat(queue.next().sequence()).isEqualTo(2);
        queue.complete(first, new Result.Written(1)); // a late duplicate of the answer
        assertThat(two).isNotDone();
    }

    @Test
    void failsTheWriteInFlightWhenTheIncarnationEndsAsItMayHaveBeenApplied() {
        queue.setIncarnation(5);
        CompletableFuture<Result> inFlight = add("one");
        CompletableFuture<Result> waiting = add("two");
        queue.next();
        queue.setIncarnation(6);
        assertThatThrownBy(inFlight::join).isInstanceOf(CompletionException.class);
        assertThat(waiting).isNotDone();
        Command.Write next = queue.next();
        assertThat(next).isEqualTo(new Command.Write("a", 6, 1, "r", -1, "two"));
        queue.complete(next, new Result.Refused(Result.Reason.SUPERSEDED, "by 7"));
        assertThatThrownBy(waiting::join).hasMessageContaining("by 7");
    }
}
