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

/**
 * Polls the change log over HTTP/1.1. It reuses its connection until that is closed, and posts the answers and failures as
 * inputs. Its methods must be called from one thread.
 */
public final class ChangeLogClient {
    private static final int OUTBOX_BYTES = 64 * 1024;
    private static final int HTTP_OK = 200;

    private final OutboxLimit outboxLimit = new OutboxLimit(OUTBOX_BYTES, OUTBOX_BYTES);
    private final EventLoop loop;
    private final Consumer<Input> post;
    private Session current;

    /** Creates a client without a connection; {@code post} receives the inputs. */
    public ChangeLogClient(EventLoop loop, Consumer<Input> post) {
        this.loop = loop;
        this.post = post;
    }

    /** Sends a poll, on a new connection if there is none that takes it. */
    public void poll(Effect.PollChangeLog e) {
        if (current == null || !current.poll(e)) {
            current = new Session(Addresses.parse(e.address()), e.pollId(), e.connectTimeoutMs());
            current.poll(e);
        }
    }

    /** Closes the connection, which fails an open poll. */
    public void disconnect() {
        if (current != null) {
            current.connection.close("given up");
            current = null;
        }
    }

    /** One connection to the change log. */
    private final class Session implements Connection.Handler {
        private final ResponseDecoder decoder = new ResponseDecoder();
        private final InetSocketAddress address;
        private final Connection connection;
        /** Ids of the open polls, oldest first: HTTP answers come in the order of the requests. */
        private final Queue<Long> openPolls = new ConcurrentLinkedQueue<>();
        /** Id of the last poll; it is reported as failed when the connection is closed. */
        private volatile long lastPollId;
        private volatile boolean established;

        /** Sets the poll id before connecting: the connection may be refused before the poll is sent. */
        Session(InetSocketAddress address, long firstPollId, double connectTimeoutMs) {
            this.address = address;
            lastPollId = firstPollId;
            connection = Connection.outbound(loop, "changes", outboxLimit);
            connection.connect(address, this, Math.round(connectTimeoutMs));
        }

        boolean poll(Effect.PollChangeLog e) {
            lastPollId = e.pollId();
            openPolls.add(lastPollId);
            String request = "GET /changes?since=" + e.afterEvent() + "&timeout=" + e.waitMs() + " HTTP/1.1\r\nHost: "
                    + address.getHostString() + ":" + address.getPort() + "\r\nAccept: application/json\r\n\r\n";
            return connection.send(request.getBytes(StandardCharsets.US_ASCII));
        }

        @Override
        public void opened() {
            established = true;
        }

        @Override
        public void received(byte[] bytes, int count) {
            try {
                decoder.feed(bytes, count, this::handleResponse);
            } catch (MalformedException e) { // the reducer polls again after a delay and keeps the current list
                post.accept(new Input.PollFailed(lastPollId, PollFailure.NO_ANSWER, e.getMessage()));
                connection.close("malformed");
            }
        }

        private void handleResponse(ResponseDecoder.Response response) {
            if (response.status() != HTTP_OK) {
                throw new MalformedException("status " + response.status());
            }
            ChangeLogCodec.Changes changes = ChangeLogCodec.read(response.body());
            Long pollId = openPolls.poll();
            if (pollId == null) {
                throw new MalformedException("response without a request");
            }
            post.accept(new Input.ChangesReceived(pollId, changes.seq(), changes.events()));
        }

        @Override
        public void closed(String cause) {
            post.accept(new Input.PollFailed(lastPollId, failureOf(cause), cause));
        }

        private PollFailure failureOf(String cause) {
            if (established) {
                return PollFailure.NO_ANSWER;
            }
            if (connection.failedLocally()) {
                return PollFailure.LOCAL_ERROR;
            }
            return cause.equals(Connection.CONNECT_TIMEOUT) ? PollFailure.CONNECT_TIMEOUT : PollFailure.UNREACHABLE;
        }
    }
}
