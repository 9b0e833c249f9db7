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
 * Ratis's Netty transport with three changes: it connects to each voter at the address that this instance's configuration gives,
 * it opens a new connection after each failure, and it does not pass on replies that the library handles wrongly. The library's
 * own list of voters, which the leader replicates, has one address for each; from another network the address may differ.
 */
public final class FleetRpcType implements RpcType {
    private static final String CONFIG_PARAMETER = "quincespar.plan";
    private static final String CLOSER_PARAMETER = "quincespar.closing";

    /** Called by the library, which finds this class by its name. */
    public FleetRpcType() { }

    /**
     * The parameters that the library hands to {@link #newFactory}.
     *
     * @param closer closes connections after failures: the library waits up to 5 s for that if a reply arrives at the same time,
     *     which is longer than a session lasts
     */
    static Parameters parameters(FleetConfig config, Executor closer) {
        Parameters out = new Parameters();
        out.put(CONFIG_PARAMETER, config, FleetConfig.class);
        out.put(CLOSER_PARAMETER, closer, Executor.class);
        return out;
    }

    @Override
    public String name() {
        return FleetRpcType.class.getName();
    }

    @Override
    public RpcFactory newFactory(Parameters parameters) {
        return new Factory(parameters.get(CONFIG_PARAMETER, FleetConfig.class),
                parameters.get(CLOSER_PARAMETER, Executor.class), parameters);
    }

    private static RaftPeer withConfiguredAddress(FleetConfig config, RaftPeer peer) {
        String address = config.addressOf(peer.getId().toString());
        return address == null ? peer : RaftPeer.newBuilder(peer).setAddress(address).build();
    }

    /**
     * Checks a follower's reply to a leader, and returns what the leader may be given.
     *
     * <p>A reply that says that this voter is not the leader any more becomes a failed call. The library's thread that receives
     * it waits for the voter's lock, and a voter that steps down at that moment holds the lock while it waits for that thread
     * to end: a deadlock, after which the voter neither receives nor sends anything. The failed call loses nothing, as the
     * others' vote requests and the missing quorum make the leader step down within an election timeout.
     *
     * <p>A successful reply to a request without entries names the end of the follower's log, and the library takes everything
     * before that as matched. But a follower that led until just now has entries after the one that was asked for that were
     * never committed. The leader would count it for entries that it does not have, and never send it those that it lacks. So
     * the index is limited to what the request covers. Seen with Ratis 3.2.0 and 3.2.1.
     */
    static Object checkReply(Object request, Object reply) throws IOException {
        if (reply instanceof AppendEntriesReplyProto a && a.getResult() == AppendResult.NOT_LEADER
                || reply instanceof InstallSnapshotReplyProto i && i.getResult() == InstallSnapshotResult.NOT_LEADER) {
            throw new IOException("the follower knows of another leader or of a later term");
        }
        if (reply instanceof AppendEntriesReplyProto a && request instanceof AppendEntriesRequestProto q
                && q.getEntriesCount() == 0 && a.getResult() == AppendResult.SUCCESS) {
            long matchedEnd = q.hasPreviousLog() ? q.getPreviousLog().getIndex() + 1 : 0;
            return a.getNextIndex() <= matchedEnd ? a : a.toBuilder().setNextIndex(matchedEnd).build();
        }
        return reply;
    }

    /** Makes the Netty transport and wraps it in a proxy. */
    private static final class Factory implements ServerFactory, ClientFactory {
        private final Logger log = LoggerFactory.getLogger(FleetRpcType.class);
        private final FleetConfig config;
        private final Executor closer;
        private final NettyFactory netty;

        Factory(FleetConfig config, Executor closer, Parameters parameters) {
            this.config = config;
            this.closer = closer;
            netty = new NettyFactory(parameters);
        }

        @Override
        public RpcType getRpcType() {
            return SupportedRpcType.NETTY;
        }

        @Override
        public RaftServerRpc newRaftServerRpc(RaftServer server) {
            return wrap(RaftServerRpc.class, netty.newRaftServerRpc(server));
        }

        @Override
        public RaftClientRpc newRaftClientRpc(ClientId id, RaftProperties properties) {
            return wrap(RaftClientRpc.class, netty.newRaftClientRpc(id, properties));
        }

        private <T> T wrap(Class<T> type, T rpc) {
            return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, (proxy, method, givenArgs) -> {
                Object[] args = givenArgs;
                if (method.getName().equals("addRaftPeers")) {
                    Collection<?> peers = givenArgs[0] instanceof Object[] a ? List.of(a) : (Collection<?>) givenArgs[0];
                    List<RaftPeer> configured = peers.stream().map(p -> withConfiguredAddress(config, (RaftPeer) p)).toList();
                    args = new Object[] {givenArgs[0] instanceof Object[] ? configured.toArray(new RaftPeer[0]) : configured};
                }
                if (method.getName().equals("handleException")) {
                    // a peer that waits for the rest of a corrupted message never replies on that connection again, and the
                    // library would keep the connection in use after a mere timeout
                    closer.execute(() -> closeConnection(method, rpc, givenArgs[0], givenArgs[1]));
                    return method.getReturnType() == boolean.class ? true : null;
                }
                try {
                    return checkReply(args == null ? null : args[0], method.invoke(rpc, args));
                } catch (InvocationTargetException e) {
                    throw e.getCause();
                }
            }));
        }

        private void closeConnection(Method handleException, Object rpc, Object peer, Object cause) {
            try {
                handleException.invoke(rpc, peer, cause, true);
            } catch (ReflectiveOperationException e) { // the next failure on it closes it
                log.warn("could not close the connection to {}: {}", peer, String.valueOf(e.getCause()));
            }
        }
    }
}
