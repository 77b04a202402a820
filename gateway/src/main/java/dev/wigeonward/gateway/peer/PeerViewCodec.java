package dev.wigeonward.gateway.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import dev.wigeonward.gateway.port.SharedStoreView.Held;
import dev.wigeonward.gateway.port.SharedStoreView.Item;
import dev.wigeonward.gateway.port.SharedStoreView.View;
import dev.wigeonward.wire.generated.Frame;
import dev.wigeonward.wire.generated.PeerView;
import dev.wigeonward.wire.generated.PeerViewEntry;
import dev.wigeonward.wire.generated.PeerViewRequest;

/** Translates views of the store, and requests for them, to frames and back. */
final class PeerViewCodec {
    private PeerViewCodec() {}

    static Frame toRequest(Held held) {
        return Frame.newBuilder()
                .setPeerViewRequest(PeerViewRequest.newBuilder()
                        .setConfigurationVersion(held.configurationVersion())
                        .setViewHash(held.upstreamsFingerprint()))
                .build();
    }

    static Held toHeld(PeerViewRequest request) {
        return new Held(request.getConfigurationVersion(), request.getViewHash());
    }

    static Frame toFrame(View view) {
        PeerView.Builder message = PeerView.newBuilder()
                .setAgeMillis((int) Math.min(Integer.MAX_VALUE, view.ageMillis()))
                .setControlFingerprint(view.controlFingerprint())
                .setUpstreamsOmitted(!view.includesUpstreams());
        view.items().forEach(item -> message.addEntries(toMessage(item)));
        return Frame.newBuilder().setPeerView(message).build();
    }

    private static PeerViewEntry toMessage(Item item) {
        PeerViewEntry.Builder entry =
                PeerViewEntry.newBuilder().setKey(item.key()).setRevision(item.revision());
        item.value().ifPresentOrElse(value -> entry.setValue(ByteString.copyFrom(value)), () -> entry.setRemoved(true));
        return entry.build();
    }

    static View toView(PeerView message) {
        List<Item> items = new ArrayList<>();
        for (PeerViewEntry entry : message.getEntriesList()) {
            Optional<byte[]> value = entry.getRemoved()
                    ? Optional.empty()
                    : Optional.of(entry.getValue().toByteArray());
            items.add(new Item(entry.getKey(), value, entry.getRevision()));
        }
        // An age above the largest signed number arrives as a negative one.
        long ageMillis = Integer.toUnsignedLong(message.getAgeMillis());
        return new View(items, !message.getUpstreamsOmitted(), ageMillis, message.getControlFingerprint());
    }
}
