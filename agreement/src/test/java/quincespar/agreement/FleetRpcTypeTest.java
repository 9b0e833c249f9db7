package quincespar.agreement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import org.apache.ratis.proto.RaftProtos.AppendEntriesReplyProto.AppendResult;
import org.apache.ratis.proto.RaftProtos.AppendEntriesReplyProto;
import org.apache.ratis.proto.RaftProtos.AppendEntriesRequestProto;
import org.apache.ratis.proto.RaftProtos.InstallSnapshotReplyProto;
import org.apache.ratis.proto.RaftProtos.InstallSnapshotResult;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.proto.RaftProtos.TermIndexProto;
import org.junit.jupiter.api.Test;

class FleetRpcTypeTest {
    @Test
    void turnsNotLeaderRepliesIntoFailedCalls() throws IOException {
        assertThatThrownBy(() -> FleetRpcType.checkReply(null, AppendEntriesReplyProto.newBuilder().setTerm(9)
                .setResult(AppendResult.NOT_LEADER).build()))
                .isInstanceOf(IOException.class);
        assertThatThrownBy(() -> FleetRpcType.checkReply(null, InstallSnapshotReplyProto.newBuilder()
                .setResult(InstallSnapshotResult.NOT_LEADER).build()))
                .isInstanceOf(IOException.class);
        Object success = AppendEntriesReplyProto.newBuilder().setResult(AppendResult.SUCCESS).build();
        assertThat(FleetRpcType.checkReply(null, success)).isSameAs(success);
        assertThat(FleetRpcType.checkReply(null, null)).isNull();
    }

    private static Object yes(AppendEntriesRequestProto.Builder question, long end) throws IOException {
        return FleetRpcType.checkReply(question.build(), AppendEntriesReplyProto.newBuilder().setResult(AppendResult.SUCCESS)
                .setNextIndex(end).build());
    }

    /** A follower that led before may have entries after the requested one that were never committed. */
    @Test
    void limitsTheMatchedIndexOfReplyToRequestWithoutEntries() throws IOException {
        AppendEntriesRequestProto.Builder empty = AppendEntriesRequestProto.newBuilder()
                .setPreviousLog(TermIndexProto.newBuilder()
                .setTerm(1).setIndex(275));
        assertThat(((AppendEntriesReplyProto) yes(empty, 280)).getNextIndex()).isEqualTo(276);
        assertThat(((AppendEntriesReplyProto) yes(empty, 276)).getNextIndex()).isEqualTo(276);
        assertThat(((AppendEntriesReplyProto) yes(AppendEntriesRequestProto.newBuilder(), 4)).getNextIndex()).isZero();
        AppendEntriesRequestProto.Builder full = empty.addEntries(LogEntryProto.newBuilder().setIndex(276));
        assertThat(((AppendEntriesReplyProto) yes(full, 277)).getNextIndex()).isEqualTo(277);
    }
}
