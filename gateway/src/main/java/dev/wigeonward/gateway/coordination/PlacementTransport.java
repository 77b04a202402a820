package dev.wigeonward.gateway.coordination;

import dev.wigeonward.wire.generated.PlacementBatch;

/** Sender of batches to other entries. */
@FunctionalInterface
public interface PlacementTransport {
    /** Sends a batch to the entry with the address, or drops it if there is no link. */
    void send(String entry, PlacementBatch batch);
}
