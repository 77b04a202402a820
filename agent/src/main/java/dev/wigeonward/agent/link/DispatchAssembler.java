package dev.wigeonward.agent.link;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;
import dev.wigeonward.wire.generated.BodyPart;
import dev.wigeonward.wire.generated.Dispatch;

/** Assembles dispatches whose body is split over several frames. */
public final class DispatchAssembler {
    private final int maxBodyBytes;
    private final Map<String, IncompleteDispatch> incomplete = new HashMap<>();

    /** Creates an assembler that drops dispatches with a body above a limit. */
    public DispatchAssembler(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Returns the dispatch if its body is complete. Otherwise stores it until the other parts arrive, or drops it if
     * its lengths are invalid, and returns empty.
     */
    public Optional<Dispatch> addDispatch(long link, Dispatch dispatch) {
        if (dispatch.getBody().size() == dispatch.getBodyLength()) {
            return Optional.of(dispatch);
        }
        boolean valid =
                dispatch.getBodyLength() <= maxBodyBytes && dispatch.getBody().size() < dispatch.getBodyLength();
        if (valid) {
            incomplete.put(dispatch.getRequestId(), new IncompleteDispatch(link, dispatch));
        }
        return Optional.empty();
    }

    /** Returns the dispatch if the part completes it. A part out of order drops the whole dispatch. */
    public Optional<Dispatch> addPart(long link, BodyPart part) {
        IncompleteDispatch partial = incomplete.get(part.getRequestId());
        if (partial == null || partial.link != link) {
            return Optional.empty();
        }
        long endBytes = part.getOffset() + part.getData().size();
        if (part.getOffset() != partial.body.size() || endBytes > partial.dispatch.getBodyLength()) {
            incomplete.remove(part.getRequestId());
            return Optional.empty();
        }
        partial.body = partial.body.concat(part.getData());
        if (endBytes < partial.dispatch.getBodyLength()) {
            return Optional.empty();
        }
        incomplete.remove(part.getRequestId());
        return Optional.of(partial.dispatch.toBuilder().setBody(partial.body).build());
    }

    /** Drops the incomplete dispatch of a request, which is declared as never received. */
    public void drop(String requestId) {
        incomplete.remove(requestId);
    }

    /** Drops the incomplete dispatches of a lost link. */
    public void onLinkLost(long link) {
        incomplete.values().removeIf(partial -> partial.link == link);
    }

    /** A dispatch with the body parts received so far. */
    private static final class IncompleteDispatch {
        private final long link;
        private final Dispatch dispatch;
        private ByteString body;

        private IncompleteDispatch(long link, Dispatch dispatch) {
            this.link = link;
            this.dispatch = dispatch;
            this.body = dispatch.getBody();
        }
    }
}
