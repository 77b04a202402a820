package dev.wigeonward.wire;

import dev.wigeonward.wire.generated.Frame;
import dev.wigeonward.wire.generated.Heartbeat;
import dev.wigeonward.wire.generated.Load;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Sizes of heartbeats with values of the target scale; docs/CAPACITY.md multiplies them by the number of links. */
class HeartbeatSizeTest {
    private static final int LENGTH_FIELD_BYTES = 4;

    private static Heartbeat.Builder heartbeat() {
        return Heartbeat.newBuilder().setRevision(2_000_000).setFencingNumber(200_000_000);
    }

    private static int bytes(Heartbeat.Builder heartbeat) {
        return LENGTH_FIELD_BYTES
                + Frame.newBuilder().setHeartbeat(heartbeat).build().getSerializedSize();
    }

    /** Guards against a field that makes heartbeats larger while docs/CAPACITY.md keeps the old size. */
    @Test
    void sizesOnTheCapacityPage() {
        Load load = Load.newBuilder()
                .setBacklogMillis(20_000)
                .setRunning(64)
                .setQueued(200)
                .setUpstreamAlive(true)
                .addLoadedVersions("v1")
                .setVersionPlaces(2)
                .build();
        int entryBytes = bytes(heartbeat());
        int agentBytes = bytes(heartbeat().setLoad(load));
        int agentWithCacheEventsBytes =
                bytes(heartbeat().setLoad(load.toBuilder().addCachedPrefixes(1).addEvictedPrefixes(2)));
        assertThat(new int[] {entryBytes, agentBytes, agentWithCacheEventsBytes})
                .containsExactly(15, 34, 54);
    }
}
