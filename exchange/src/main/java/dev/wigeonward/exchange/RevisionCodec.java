package dev.wigeonward.exchange;

import java.util.Optional;

import com.google.protobuf.UnsafeByteOperations;
import dev.wigeonward.core.revision.RelayEvent;
import dev.wigeonward.core.revision.RevisionDelta;
import dev.wigeonward.core.revision.SnapshotPart;
import dev.wigeonward.wire.generated.Frame;
import dev.wigeonward.wire.generated.RevisionOffer;
import dev.wigeonward.wire.generated.RevisionRequest;
import dev.wigeonward.wire.generated.RevisionSnapshot;

/** Converts the messages of the revision relay to frames and back. */
final class RevisionCodec {
    /** Heartbeats carry the number only; the relay takes the hash from offers and verifies the text against it. */
    private static final String HASH_NOT_SENT = "";

    private RevisionCodec() {}

    static Frame offer(long number, String hash) {
        return Frame.newBuilder()
                .setRevisionOffer(RevisionOffer.newBuilder().setNumber(number).setHash(hash))
                .build();
    }

    static Frame request(long baseNumber, String baseHash) {
        return Frame.newBuilder()
                .setRevisionRequest(
                        RevisionRequest.newBuilder().setHave(baseNumber).setHaveHash(baseHash))
                .build();
    }

    static Frame delta(RevisionDelta delta) {
        dev.wigeonward.wire.generated.RevisionDelta.Builder message =
                dev.wigeonward.wire.generated.RevisionDelta.newBuilder()
                        .setFrom(delta.fromNumber())
                        .setFromHash(delta.fromHash())
                        .setTo(delta.toNumber())
                        .setToHash(delta.toHash());
        delta.edits().forEach(edit -> message.addEditsBuilder()
                .setStartLine(edit.startLine())
                .setRemovedLines(edit.removedLines())
                .addAllAddedLines(edit.addedLines()));
        return Frame.newBuilder().setRevisionDelta(message).build();
    }

    static Frame snapshotPart(SnapshotPart part) {
        return Frame.newBuilder()
                .setRevisionSnapshot(RevisionSnapshot.newBuilder()
                        .setNumber(part.number())
                        .setHash(part.hash())
                        .setOffset(part.offsetBytes())
                        .setTotalLength(part.totalBytes())
                        .setData(UnsafeByteOperations.unsafeWrap(part.data())))
                .build();
    }

    /**
     * Returns the relay event for a peer's frame, or empty if the frame is no heartbeat or revision message.
     *
     * @throws IllegalArgumentException if the message is malformed
     * @throws ArithmeticException if an offset or a length exceeds an int
     */
    static Optional<RelayEvent> event(String peer, Frame frame) {
        return switch (frame.getBodyCase()) {
            case HEARTBEAT ->
                Optional.of(new RelayEvent.HeartbeatArrived(
                        peer, frame.getHeartbeat().getRevision(), HASH_NOT_SENT));
            case REVISION_OFFER ->
                Optional.of(new RelayEvent.OfferArrived(
                        peer,
                        frame.getRevisionOffer().getNumber(),
                        frame.getRevisionOffer().getHash()));
            case REVISION_REQUEST ->
                Optional.of(new RelayEvent.RequestArrived(
                        peer,
                        frame.getRevisionRequest().getHave(),
                        frame.getRevisionRequest().getHaveHash()));
            case REVISION_DELTA -> Optional.of(new RelayEvent.DeltaArrived(peer, toDelta(frame.getRevisionDelta())));
            case REVISION_SNAPSHOT ->
                Optional.of(new RelayEvent.SnapshotPartArrived(peer, toPart(frame.getRevisionSnapshot())));
            default -> Optional.empty();
        };
    }

    private static RevisionDelta toDelta(dev.wigeonward.wire.generated.RevisionDelta message) {
        return new RevisionDelta(
                message.getFrom(),
                message.getFromHash(),
                message.getTo(),
                message.getToHash(),
                message.getEditsList().stream()
                        .map(edit -> new RevisionDelta.Edit(
                                edit.getStartLine(), edit.getRemovedLines(), edit.getAddedLinesList()))
                        .toList());
    }

    private static SnapshotPart toPart(RevisionSnapshot message) {
        return new SnapshotPart(
                message.getNumber(),
                message.getHash(),
                Math.toIntExact(message.getOffset()),
                Math.toIntExact(message.getTotalLength()),
                message.getData().toByteArray());
    }
}
