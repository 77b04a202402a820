package dev.wigeonward.agent.link;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;
import dev.wigeonward.wire.generated.BodyPart;
import dev.wigeonward.wire.generated.Dispatch;

/** Puts dispatches together whose body came in several frames. */
public final class DispatchAssembler {
    private final int maxBodyBytes;
    private final Map<String, Partial> partials = new HashMap<>();

    /** Returns an assembler that gives up on bodies above a limit. */
    public DispatchAssembler(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Returns the dispatch if it is complete; keeps it otherwise until its parts have come. */
    public Optional<Dispatch> first(long link, Dispatch dispatch) {
        if (dispatch.getBody().size() == dispatch.getBodyLength()) {
            return Optional.of(dispatch);
        }
        boolean valid =
                dispatch.getBodyLength() <= maxBodyBytes && dispatch.getBody().size() < dispatch.getBodyLength();
        if (valid) {
            partials.put(dispatch.getRequestId(), new Partial(link, dispatch));
        }
        return Optional.empty();
    }

    /** Returns the dispatch that the part completes; a part out of order drops the whole dispatch. */
    public Optional<Dispatch> part(long link, BodyPart part) {
        Partial partial = partials.get(part.getRequestId());
        if (partial == null || partial.link != link) {
            return Optional.empty();
        }
        long endBytes = part.getOffset() + part.getData().size();
        if (part.getOffset() != partial.body.size() || endBytes > partial.dispatch.getBodyLength()) {
            partials.remove(part.getRequestId());
            return Optional.empty();
        }
        partial.body = partial.body.concat(part.getData());
        if (endBytes < partial.dispatch.getBodyLength()) {
            return Optional.empty();
        }
        partials.remove(part.getRequestId());
        return Optional.of(partial.dispatch.toBuilder().setBody(partial.body).build());
    }

    /** Forgets the dispatch that a request began, since it was declared as never received. */
    public void drop(String requestId) {
        partials.remove(requestId);
    }

    /** Forgets what a lost link left incomplete. */
    public void linkLost(long link) {
        partials.values().removeIf(partial -> partial.link == link);
    }

    private static final class Partial {
        private final long link;
        private final Dispatch dispatch;
        private ByteString body;

        private Partial(long link, Dispatch dispatch) {
            this.link = link;
            this.dispatch = dispatch;
            this.body = dispatch.getBody();
        }
    }
}
