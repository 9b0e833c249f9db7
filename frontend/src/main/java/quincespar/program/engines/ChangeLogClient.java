package quincespar.program.engines;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
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
 * Polls the change log over HTTP/1.1, and posts the answers and failures as inputs. Each open poll has a connection to itself,
 * as an answer that is late would hold up those behind it; a connection whose poll was answered is used again. Its methods must
 * be called from one thread.
 */
public final class ChangeLogClient {
    private static final int OUTBOX_BYTES = 64 * 1024;
    private static final int HTTP_OK = 200;
    /** No poll has this number. */
    private static final long NO_POLL = 0;

    private final OutboxLimit outboxLimit = new OutboxLimit(OUTBOX_BYTES, OUTBOX_BYTES);
    private final EventLoop loop;
    private final Consumer<Input> post;
    private final List<Session> sessions = new CopyOnWriteArrayList<>();

    /** Creates a client without a connection; {@code post} receives the inputs. */
    public ChangeLogClient(EventLoop loop, Consumer<Input> post) {
        this.loop = loop;
        this.post = post;
    }

    /** Sends a poll, on a new connection if there is none without an open poll; of those without one, others are closed. */
    public void poll(Effect.PollChangeLog e) {
        InetSocketAddress address = Addresses.parse(e.address());
        boolean sent = false;
        for (Session session : sessions) {
            if (session.openPoll != NO_POLL) {
                continue;
            }
            if (!sent && session.address.equals(address) && session.poll(e)) {
                sent = true;
            } else {
                session.connection.close("not needed");
            }
        }
        if (!sent) {
            Session session = new Session(address);
            sessions.add(session);
            session.connect(e);
        }
    }

    /** Closes the connection of an open poll. */
    public void cancel(long pollId) {
        for (Session session : sessions) {
            if (session.openPoll == pollId) {
                session.connection.close("given up");
            }
        }
    }

    /** One connection to the change log. */
    private final class Session implements Connection.Handler {
        private final ResponseDecoder decoder = new ResponseDecoder();
        private final InetSocketAddress address;
        private final Connection connection = Connection.outbound(loop, "changes", outboxLimit);
        /** Id of the poll that waits for its answer; it is reported as failed when the connection is closed. */
        private volatile long openPoll = NO_POLL;
        private volatile boolean established;

        Session(InetSocketAddress address) {
            this.address = address;
        }

        /** Queues the poll before connecting: the connection may fail at once, which is the poll's failure. */
        void connect(Effect.PollChangeLog e) {
            poll(e);
            connection.connect(address, this, Math.round(e.connectTimeoutMs()));
        }

        /** False if the connection is closed. */
        synchronized boolean poll(Effect.PollChangeLog e) {
            openPoll = e.pollId();
            String request = "GET /changes?since=" + e.afterEvent() + "&timeout=" + e.waitMs() + " HTTP/1.1\r\nHost: "
                    + address.getHostString() + ":" + address.getPort() + "\r\nAccept: application/json\r\n\r\n";
            boolean sent = connection.send(request.getBytes(StandardCharsets.US_ASCII));
            openPoll = sent ? openPoll : NO_POLL; // its end must not be reported here if it is sent elsewhere
            return sent;
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
                reportFailure(PollFailure.NO_ANSWER, e.getMessage());
                connection.close("malformed");
            }
        }

        private void handleResponse(ResponseDecoder.Response response) {
            if (response.status() != HTTP_OK) {
                throw new MalformedException("status " + response.status());
            }
            ChangeLogCodec.Changes changes = ChangeLogCodec.read(response.body());
            long pollId = takeOpenPoll();
            if (pollId == NO_POLL) {
                throw new MalformedException("response without a request");
            }
            post.accept(new Input.ChangesReceived(pollId, changes.seq(), changes.events()));
        }

        @Override
        public void closed(String cause) {
            sessions.remove(this);
            reportFailure(failureOf(cause), cause);
        }

        /** Not under the lock: an input may wait for room, which the thread that polls makes. */
        private void reportFailure(PollFailure failure, String cause) {
            long pollId = takeOpenPoll();
            if (pollId != NO_POLL) {
                post.accept(new Input.PollFailed(pollId, failure, cause));
            }
        }

        private synchronized long takeOpenPoll() {
            long pollId = openPoll;
            openPoll = NO_POLL;
            return pollId;
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
