package dev.wigeonward.entry.runtime;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import dev.wigeonward.common.store.StoredOutcome;
import dev.wigeonward.entry.caller.CallerResponse;
import dev.wigeonward.entry.link.AgentFrameCodec;
import dev.wigeonward.wire.generated.Finished;
import dev.wigeonward.wire.generated.Header;
import dev.wigeonward.wire.generated.Output;
import dev.wigeonward.wire.generated.ResponseHead;

/**
 * An answer that is being sent to a caller. For a non-idempotent request it also collects a copy of the body, which is
 * stored as the outcome of the claim.
 */
final class PendingAnswer {
    /** Header of a repeated answer whose body was too long to be stored. */
    private static final String BODY_NOT_KEPT = "x-body-not-kept";

    private static final String CONTENT_TYPE = "content-type";

    private final CallerResponse response;
    private final ByteArrayOutputStream bodyCopy = new ByteArrayOutputStream();
    private StoredOutcome stored;

    PendingAnswer(CallerResponse response) {
        this.response = response;
    }

    CallerResponse response() {
        return response;
    }

    /** Writes a part of the answer to the caller and returns false if the caller reads too slowly to take it. */
    boolean output(Output output, int skipBytes) {
        if (output.hasHead()) {
            response.start(output.getHead().getStatus(), AgentFrameCodec.headers(output.getHead()));
        }
        byte[] part = output.getData().substring(skipBytes).toByteArray();
        copyForStore(part);
        return response.write(part);
    }

    private void copyForStore(byte[] part) {
        boolean claimed = !response.request().idempotent();
        if (claimed && bodyCopy.size() <= StoredOutcome.MAX_BODY_BYTES) {
            bodyCopy.writeBytes(part);
        }
    }

    void finish(Finished finished) {
        response.start(finished.getHead().getStatus(), AgentFrameCodec.headers(finished.getHead()));
        response.end();
    }

    void setStoredOutcome(StoredOutcome outcome) {
        stored = outcome;
    }

    void deliverStored() {
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        headers.add(Map.entry(CONTENT_TYPE, stored.contentType()));
        if (stored.body().isEmpty()) {
            headers.add(Map.entry(BODY_NOT_KEPT, "true"));
        }
        response.start(stored.status(), headers);
        stored.body().ifPresent(response::write);
        response.end();
    }

    /** Returns the outcome to store with the claim. */
    StoredOutcome outcome(ResponseHead finalHead) {
        String contentType = finalHead.getHeadersList().stream()
                .filter(header -> header.getName().equalsIgnoreCase(CONTENT_TYPE))
                .map(Header::getValue)
                .findFirst()
                .orElse("application/octet-stream");
        return StoredOutcome.of(finalHead.getStatus(), contentType, bodyCopy.toByteArray());
    }
}
