package quincespar.program.engines;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import quincespar.membership.PollFailure;
import quincespar.program.runtime.Addresses;
import quincespar.protocol.ChangeLogCodec;
import quincespar.protocol.MalformedException;
import quincespar.protocol.http.ResponseDecoder;
import quincespar.routing.Effect;
import quincespar.routing.Input;
import quincespar.transport.Connection;
import quincespar.transport.EventLoop;
import quincespar.transport.OutboxLimit;

/** Asks the change log over HTTP/1.1, on one connection for as long as that lasts. Used by one thread. */
public final class ChangeLogClient {
    private static final int OUTBOX = 64 * 1024;
    private static final int OK = 200;

    private final OutboxLimit bound = new OutboxLimit(OUTBOX, OUTBOX);
    private final EventLoop loop;
    private final Consumer<Input> post;
    private Exchange current;

    public ChangeLogClient(EventLoop loop, Consumer<Input> post) {
        this.loop = loop;
        this.post = post;
    }

    public void poll(Effect.PollChangeLog e) {
        if (current == null || !current.ask(e)) {
            current = new Exchange(Addresses.parse(e.address()), e.pollId(), e.connectTimeoutMs());
            current.ask(e);
        }
    }

    public void disconnect() {
        if (current != null) {
            current.connection.close("given up");
            current = null;
        }
    }

    private final class Exchange implements Connection.Handler {
        private final ResponseDecoder decoder = new ResponseDecoder();
        private final InetSocketAddress address;
        private final Connection connection;
        /** The questions that are open here, oldest first: answers come in the order of the questions. */
        private final Queue<Long> asked = new ConcurrentLinkedQueue<>();
        /** The last question, which a failure of the connection fails. */
        private volatile long last;
        private volatile boolean up;

        /** The number is set before the dial: a port that is closed may say so before anything is asked. */
        Exchange(InetSocketAddress address, long first, double connectMs) {
            this.address = address;
            last = first;
            connection = Connection.outbound(loop, "changes", bound);
            connection.connect(address, this, Math.round(connectMs));
        }

        boolean ask(Effect.PollChangeLog e) {
            last = e.pollId();
            asked.add(last);
            String request = "GET /changes?since=" + e.afterEvent() + "&timeout=" + e.waitMs() + " HTTP/1.1\r\nHost: "
                    + address.getHostString() + ":" + address.getPort() + "\r\nAccept: application/json\r\n\r\n";
            return connection.send(request.getBytes(StandardCharsets.US_ASCII));
        }

        @Override
        public void opened() {
            up = true;
        }

        @Override
        public void received(byte[] bytes, int count) {
            try {
                decoder.feed(bytes, count, this::answered);
            } catch (MalformedException e) { // asked again after a pause; the list that we have is kept
                post.accept(new Input.PollFailed(last, PollFailure.NO_ANSWER, e.getMessage()));
                connection.close("malformed");
            }
        }

        private void answered(ResponseDecoder.Response r) {
            if (r.status() != OK) {
                throw new MalformedException("status " + r.status());
            }
            ChangeLogCodec.Changes c = ChangeLogCodec.read(r.body());
            Long question = asked.poll();
            if (question == null) {
                throw new MalformedException("an answer to no question");
            }
            post.accept(new Input.ChangesReceived(question, c.seq(), c.events()));
        }

        @Override
        public void closed(String cause) {
            post.accept(new Input.PollFailed(last, how(cause), cause));
        }

        private PollFailure how(String cause) {
            if (up) {
                return PollFailure.NO_ANSWER;
            }
            if (connection.failedLocally()) {
                return PollFailure.LOCAL_ERROR;
            }
            return cause.equals(Connection.CONNECT_TIMEOUT) ? PollFailure.CONNECT_TIMEOUT : PollFailure.UNREACHABLE;
        }
    }
}
