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
 * The answer to one request of a caller. The decision thread writes to it and ServiceTalk reads from it. The first part
 * of the answer determines the status. A later failure ends an event stream with an error event and breaks off any
 * other answer, so that the caller cannot mistake a partial answer for a complete one.
 */
public final class CallerResponse {
    /** Maximum number of parts that are buffered for a slow reader before the answer fails. */
    private static final int MAX_WAITING_PARTS = 4_096;

    private static final String EVENT_STREAM = "text/event-stream";

    private final CallerRequest http;
    private final RequestSpec request;
    private final BufferAllocator allocator;
    private final SingleSource.Processor<ResponseStart, ResponseStart> start = Processors.newSingleProcessor();
    private final PublisherSource.Processor<Buffer, Buffer> body = Processors.newPublisherProcessor(MAX_WAITING_PARTS);
    private final AtomicBoolean ended = new AtomicBoolean();
    private ResponseStart responseStart;

    CallerResponse(CallerRequest http, RequestSpec request, BufferAllocator allocator) {
        this.http = http;
        this.request = request;
        this.allocator = allocator;
    }

    /** Returns the request as the caller sent it. */
    public CallerRequest http() {
        return http;
    }

    /** Returns the description of the request for the decision cores. */
    public RequestSpec request() {
        return request;
    }

    /** Returns whether status and headers of the answer were set. */
    public boolean started() {
        return responseStart != null;
    }

    /** Sets status and headers; has no effect after the first call. */
    public void start(int status, List<Map.Entry<String, String>> headers) {
        if (responseStart != null) {
            return;
        }
        responseStart = new ResponseStart(status, headers, SourceAdapters.fromSource(body));
        start.onSuccess(responseStart);
    }

    /** Writes a part of the body and returns false if the buffer for a slow reader is full. */
    public boolean write(byte[] part) {
        if (part.length == 0 || ended.get()) {
            return true;
        }
        try {
            body.onNext(allocator.wrap(part));
            return true;
        } catch (RuntimeException e) {
            // The processor throws if its buffer is full.
            return false;
        }
    }

    /** Completes the answer. */
    public void end() {
        if (ended.compareAndSet(false, true)) {
            body.onComplete();
        }
    }

    /** Answers with an error, or ends a started answer so that the caller can tell that it is incomplete. */
    public void fail(Failure failure) {
        byte[] error = Json.write(ErrorBody.of(failure));
        if (responseStart == null) {
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
        return responseStart.headers().stream()
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

    /** Breaks off the body of an answer that cannot be completed. */
    private static final class IncompleteAnswerException extends RuntimeException {
        IncompleteAnswerException(Failure failure) {
            super(failure.kind().wireName() + ": " + failure.message(), null, false, false);
        }
    }
}
