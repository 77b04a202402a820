package dev.wigeonward.gateway.coordination;

import java.util.LinkedHashMap;
import java.util.Map;

import dev.wigeonward.core.coordination.CoordinatorMessage;
import dev.wigeonward.core.coordination.MemberMessage;
import dev.wigeonward.gateway.event.Telemetry;
import dev.wigeonward.wire.generated.PlacementBatch;
import io.netty.channel.EventLoop;

/** Collects what this entry has for each other one within one turn of the event loop, and sends it as one frame. */
final class PlacementOutbox {
    private final EventLoop loop;
    private final Telemetry telemetry;
    private final PlacementTransport transport;
    private final Runnable flush;
    private Map<String, PlacementBatch.Builder> batches = new LinkedHashMap<>();

    PlacementOutbox(EventLoop loop, Telemetry telemetry, PlacementTransport transport) {
        this.loop = loop;
        this.telemetry = telemetry;
        this.transport = transport;
        this.flush = telemetry.guard("placement_batches", this::flush);
    }

    void add(String entry, MemberMessage message) {
        PlacementCodec.add(batch(entry), message);
    }

    void add(String entry, CoordinatorMessage message) {
        PlacementCodec.add(batch(entry), message);
    }

    private PlacementBatch.Builder batch(String entry) {
        if (batches.isEmpty()) {
            loop.execute(flush);
        }
        return batches.computeIfAbsent(entry, name -> PlacementBatch.newBuilder());
    }

    private void flush() {
        Map<String, PlacementBatch.Builder> full = batches;
        batches = new LinkedHashMap<>();
        full.forEach((entry, builder) -> {
            PlacementBatch batch = builder.build();
            telemetry.metrics().counter("coordination.sent_bytes").inc(batch.getSerializedSize());
            transport.send(entry, batch);
        });
    }
}
