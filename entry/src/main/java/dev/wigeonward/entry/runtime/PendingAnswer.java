package dev.wigeonward.entry.runtime;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import dev.wigeonward.entry.caller.CallerSession;
import dev.wigeonward.entry.link.AgentFrames;
import dev.wigeonward.wire.generated.Finished;
import dev.wigeonward.wire.generated.Output;
import dev.wigeonward.wire.generated.ResponseHead;

/** A caller's answer on its way; keeps a copy of the outcome of a non-idempotent request for the store. */
final class PendingAnswer {
    /** Longest body stored with a claim; a longer one leaves the outcome to the agent's memory. */
    private static final int MAX_STORED_BYTES = 16 * 1024;

    private static final String CONTENT_TYPE = "content-type";

    private final CallerSession session;
    private final ByteArrayOutputStream copy = new ByteArrayOutputStream();
    private ClaimPort.StoredOutcome stored;

    PendingAnswer(CallerSession session) {
        this.session = session;
    }

    CallerSession session() {
        return session;
    }

    /** Returns false if the caller reads too slowly. */
    boolean output(Output output, int skipBytes) {
        if (output.hasHead()) {
            session.start(output.getHead().getStatus(), AgentFrames.headers(output.getHead()));
        }
        byte[] part = output.getData().substring(skipBytes).toByteArray();
        keep(part);
        return session.write(part);
    }

    private void keep(byte[] part) {
        boolean claimed = !session.request().idempotent();
        if (claimed && copy.size() <= MAX_STORED_BYTES) {
            copy.writeBytes(part);
        }
    }

    void finish(Finished finished) {
        session.start(finished.getHead().getStatus(), AgentFrames.headers(finished.getHead()));
        session.end();
    }

    void storedOutcome(ClaimPort.StoredOutcome outcome) {
        stored = outcome;
    }

    void deliverStored() {
        session.start(stored.status(), List.of(Map.entry(CONTENT_TYPE, stored.contentType())));
        session.write(stored.body());
        session.end();
    }

    /** Returns what to store with the claim, or empty if the answer is too long. */
    Optional<ClaimPort.StoredOutcome> outcome(ResponseHead finalHead) {
        if (copy.size() > MAX_STORED_BYTES) {
            return Optional.empty();
        }
        String contentType = finalHead.getHeadersList().stream()
                .filter(header -> header.getName().equalsIgnoreCase(CONTENT_TYPE))
                .map(header -> header.getValue())
                .findFirst()
                .orElse("application/octet-stream");
        return Optional.of(new ClaimPort.StoredOutcome(finalHead.getStatus(), contentType, copy.toByteArray()));
    }
}
