package quincespar.agreement;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.Executor;
import org.apache.ratis.client.ClientFactory;
import org.apache.ratis.client.RaftClientRpc;
import org.apache.ratis.conf.Parameters;
import org.apache.ratis.conf.RaftProperties;
import org.apache.ratis.netty.NettyFactory;
import org.apache.ratis.proto.RaftProtos.AppendEntriesReplyProto.AppendResult;
import org.apache.ratis.proto.RaftProtos.AppendEntriesReplyProto;
import org.apache.ratis.proto.RaftProtos.AppendEntriesRequestProto;
import org.apache.ratis.proto.RaftProtos.InstallSnapshotReplyProto;
import org.apache.ratis.proto.RaftProtos.InstallSnapshotResult;
import org.apache.ratis.protocol.ClientId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.rpc.RpcFactory;
import org.apache.ratis.rpc.RpcType;
import org.apache.ratis.rpc.SupportedRpcType;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerRpc;
import org.apache.ratis.server.ServerFactory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quincespar.fleet.FleetConfig;

/**
 * The library's transport, which reaches each voter where the plan says that it is reached from here, and on a new
 * connection after each failure. The agreed list of voters
 * holds one address for each, the leader's word for it; from another network that may be another.
 */
public final class FleetRpcType implements RpcType {
    private static final String PLAN = "quincespar.plan", CLOSING = "quincespar.closing";

    /** Called by the library, which knows it by its class's name. */
    public FleetRpcType() { }

    /**
     * What the library hands to {@link #newFactory}.
     *
     * @param closing ends connections after failures: the library waits up to 5 s for that where an answer comes in just then, which is
     *                longer than a session lasts
     */
    static Parameters parameters(FleetConfig plan, Executor closing) {
        Parameters out = new Parameters();
        out.put(PLAN, plan, FleetConfig.class);
        out.put(CLOSING, closing, Executor.class);
        return out;
    }

    @Override
    public String name() {
        return FleetRpcType.class.getName();
    }

    @Override
    public RpcFactory newFactory(Parameters parameters) {
        return new Factory(parameters.get(PLAN, FleetConfig.class), parameters.get(CLOSING, Executor.class), parameters);
    }

    private static RaftPeer reached(FleetConfig plan, RaftPeer p) {
        String at = plan.addressOf(p.getId().toString());
        return at == null ? p : RaftPeer.newBuilder(p).setAddress(at).build();
    }

    /**
     * What a follower has answered to a leader, as far as the leader may take it.
     *
     * <p>One that says that this leader leads no more is not handed on: the library's thread that hears it waits for the voter's lock, and a
     * voter that steps down at that moment holds the lock while it waits for that thread to end; it then hears and says nothing any more, for
     * good. As a failed call it ends nothing: the others' questions for votes and the missing majority tell the leader the same within an
     * election's time.
     *
     * <p>One that says yes to a message without entries names the end of its own log, and the library takes all before that for matched; but
     * behind the entry that was asked for, a follower that led until just now has entries of its own that nobody agreed on. Such a leader would
     * count that follower for what it does not have, and never give it what it lacks. Seen on the rig with library 3.2.0 and 3.2.1.
     */
    static Object checkReply(Object question, Object answer) throws IOException {
        if (answer instanceof AppendEntriesReplyProto a && a.getResult() == AppendResult.NOT_LEADER
                || answer instanceof InstallSnapshotReplyProto i && i.getResult() == InstallSnapshotResult.NOT_LEADER) {
            throw new IOException("the follower knows of another leader, or of a later term");
        }
        if (answer instanceof AppendEntriesReplyProto a && question instanceof AppendEntriesRequestProto q && q.getEntriesCount() == 0
                && a.getResult() == AppendResult.SUCCESS) {
            long matched = q.hasPreviousLog() ? q.getPreviousLog().getIndex() + 1 : 0;
            return a.getNextIndex() <= matched ? a : a.toBuilder().setNextIndex(matched).build();
        }
        return answer;
    }

    private static final class Factory implements ServerFactory, ClientFactory {
        private final Logger log = LoggerFactory.getLogger(FleetRpcType.class);
        private final FleetConfig plan;
        private final Executor closing;
        private final NettyFactory netty;

        Factory(FleetConfig plan, Executor closing, Parameters parameters) {
            this.plan = plan;
            this.closing = closing;
            netty = new NettyFactory(parameters);
        }

        @Override
        public RpcType getRpcType() {
            return SupportedRpcType.NETTY;
        }

        @Override
        public RaftServerRpc newRaftServerRpc(RaftServer server) {
            return through(RaftServerRpc.class, netty.newRaftServerRpc(server));
        }

        @Override
        public RaftClientRpc newRaftClientRpc(ClientId id, RaftProperties properties) {
            return through(RaftClientRpc.class, netty.newRaftClientRpc(id, properties));
        }

        private <T> T through(Class<T> type, T to) {
            return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, (proxy, method, given) -> {
                Object[] args = given;
                if (method.getName().equals("addRaftPeers")) {
                    Collection<?> peers = given[0] instanceof Object[] a ? List.of(a) : (Collection<?>) given[0];
                    List<RaftPeer> reached = peers.stream().map(p -> reached(plan, (RaftPeer) p)).toList();
                    args = new Object[] {given[0] instanceof Object[] ? reached.toArray(new RaftPeer[0]) : reached};
                }
                if (method.getName().equals("handleException")) {
                    // a peer that waits for the rest of a message that was spoilt answers nothing on that connection any more,
                    // and a time-out alone would leave the connection in use for good
                    closing.execute(() -> end(method, to, given[0], given[1]));
                    return method.getReturnType() == boolean.class ? true : null;
                }
                try {
                    return checkReply(args == null ? null : args[0], method.invoke(to, args));
                } catch (InvocationTargetException e) {
                    throw e.getCause();
                }
            }));
        }

        private void end(Method handle, Object of, Object peer, Object why) {
            try {
                handle.invoke(of, peer, why, true);
            } catch (ReflectiveOperationException e) { // the next failure there ends it
                log.warn("a connection to {} could not be ended: {}", peer, String.valueOf(e.getCause()));
            }
        }
    }
}
