package dev.wigeonward.entry.caller;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

import dev.wigeonward.common.http.Json;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.RequestSpec;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.concurrent.api.SourceAdapters;

/**
 * One caller that waits for an answer. The decision thread writes to it; ServiceTalk reads from it. The first part of
 * the answer fixes the status; an error after that ends a stream with an error event and cuts any other answer, so that
 * the caller never takes a part for the whole.
 */
public final class CallerSession {
    /** Parts that wait for a slow reader before the answer is given up. */
    private static final int MAX_WAITING_PARTS = 4_096;

    private static final String EVENT_STREAM = "text/event-stream";

    private final CallerRequest http;
    private final RequestSpec request;
    private final BufferAllocator allocator;
    private final SingleSource.Processor<ResponseStart, ResponseStart> start = Processors.newSingleProcessor();
    private final PublisherSource.Processor<Buffer, Buffer> body = Processors.newPublisherProcessor(MAX_WAITING_PARTS);
    private final AtomicBoolean ended = new AtomicBoolean();
    private ResponseStart started;

    CallerSession(CallerRequest http, RequestSpec request, BufferAllocator allocator) {
        this.http = http;
        this.request = request;
        this.allocator = allocator;
    }

    /** Returns the request as the caller sent it. */
    public CallerRequest http() {
        return http;
    }

    /** Returns the request as the cores know it. */
    public RequestSpec request() {
        return request;
    }

    /** Returns whether a part of the answer was passed on. */
    public boolean started() {
        return started != null;
    }

    /** Fixes status and headers. */
    public void start(int status, List<Map.Entry<String, String>> headers) {
        if (started != null) {
            return;
        }
        started = new ResponseStart(status, headers, SourceAdapters.fromSource(body));
        start.onSuccess(started);
    }

    /** Passes a part of the body on, and returns false if the caller reads too slowly to take it. */
    public boolean write(byte[] part) {
        if (part.length == 0 || ended.get()) {
            return true;
        }
        try {
            body.onNext(allocator.wrap(part));
            return true;
        } catch (RuntimeException e) {
            // The processor refuses what exceeds its bound.
            return false;
        }
    }

    /** Completes the answer. */
    public void end() {
        if (ended.compareAndSet(false, true)) {
            body.onComplete();
        }
    }

    /** Answers with an error, or ends the answer so that the caller sees that it is incomplete. */
    public void fail(Failure failure) {
        byte[] error = Json.write(ErrorBody.of(failure));
        if (started == null) {
            start(failure.kind().httpStatus(), List.of(Map.entry("content-type", Json.MEDIA_TYPE)));
            write(error);
            end();
            return;
        }
        if (isEventStream() && write(errorEvent(error))) {
            end();
            return;
        }
        if (ended.compareAndSet(false, true)) {
            body.onError(new IncompleteAnswerException(failure));
        }
    }

    private boolean isEventStream() {
        return started.headers().stream()
                .anyMatch(header -> header.getKey().equalsIgnoreCase("content-type")
                        && header.getValue().startsWith(EVENT_STREAM));
    }

    private static byte[] errorEvent(byte[] error) {
        return ("event: error\ndata: " + new String(error, StandardCharsets.UTF_8) + "\n\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    Single<ResponseStart> response() {
        return SourceAdapters.fromSource(start);
    }

    /** Status, headers and body of an answer. */
    record ResponseStart(int status, List<Map.Entry<String, String>> headers, Publisher<Buffer> body) {}

    /** Cuts an answer that cannot be completed. */
    private static final class IncompleteAnswerException extends RuntimeException {
        IncompleteAnswerException(Failure failure) {
            super(failure.kind().wireName() + ": " + failure.message(), null, false, false);
        }
    }
}
