package quincespar.program.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import quincespar.fleet.Command;
import quincespar.fleet.Result;

class RegisterWriteQueueTest {
    private final RegisterWriteQueue writes = new RegisterWriteQueue("a");

    private CompletableFuture<Result> add(String value) {
        return writes.add("r", -1, value).toCompletableFuture();
    }

    @Test
    void aWriteIsTheSameWriteUntilItsOutcomeIsKnown() {
        CompletableFuture<Result> one = add("one");
        CompletableFuture<Result> two = add("two");
        assertThat(writes.next()).isNull(); // no life yet
        writes.setIncarnation(5);
        Command.Write first = writes.next();
        assertThat(first).isEqualTo(new Command.Write("a", 5, 1, "r", -1, "one"));
        assertThat(writes.next()).isEqualTo(first); // its answer was lost
        writes.complete(first, new Result.Written(1));
        assertThat(one).isCompletedWithValue(new Result.Written(1));
        assertThat(writes.next().sequence()).isEqualTo(2);
        writes.complete(first, new Result.Written(1)); // comes late
        assertThat(two).isNotDone();
    }

    @Test
    void whatWasOutWhenALifeEndedMayHaveBeenDone() {
        writes.setIncarnation(5);
        CompletableFuture<Result> out = add("one");
        CompletableFuture<Result> waiting = add("two");
        writes.next();
        writes.setIncarnation(6);
        assertThatThrownBy(out::join).isInstanceOf(CompletionException.class);
        assertThat(waiting).isNotDone();
        Command.Write next = writes.next();
        assertThat(next).isEqualTo(new Command.Write("a", 6, 1, "r", -1, "two"));
        writes.complete(next, new Result.Refused(Result.Reason.SUPERSEDED, "by 7"));
        assertThatThrownBy(waiting::join).hasMessageContaining("by 7");
    }
}
