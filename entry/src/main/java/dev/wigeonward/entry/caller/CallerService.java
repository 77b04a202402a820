package dev.wigeonward.entry.caller;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import dev.wigeonward.common.http.BodyCollector;
import dev.wigeonward.common.http.Json;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.RequestId;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpProtocolConfig;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.netty.HttpProtocolConfigs;

/** HTTP service for callers, which passes their requests to the decision thread and returns the answers. */
public final class CallerService implements StreamingHttpService {
    /** Headers that are not forwarded because they concern one connection or are consumed by the entry. */
    private static final Set<String> NOT_FORWARDED =
            Set.of("connection", "keep-alive", "transfer-encoding", "content-length", "host", "authorization", "te");

    /** Maximum time to receive a body, so that slow or stalled senders do not hold connections and memory. */
    static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);

    private static final Duration CLOSE_DELAY = Duration.ofSeconds(1);

    /** Maximum length of a request line. It is set when the server starts and does not follow the rules. */
    private static final int MAX_START_LINE_BYTES = 8_192;

    private final RequestClassifier classifier;
    private final RequestHandler handler;
    private final ModelList models;
    private final Supplier<CallerLimits> limits;
    private final Supplier<RequestId> ids;
    private final Clock clock;

    public CallerService(
            RequestClassifier classifier,
            RequestHandler handler,
            ModelList models,
            Supplier<CallerLimits> limits,
            Supplier<RequestId> ids,
            Clock clock) {
        this.classifier = classifier;
        this.handler = handler;
        this.models = models;
        this.limits = limits;
        this.ids = ids;
        this.clock = clock;
    }

    @Override
    public Single<StreamingHttpResponse> handle(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory responses) {
        Optional<Failure> framing = FramingHeaders.problem(request.headers());
        if (framing.isPresent()) {
            // Where this request ends is ambiguous. Bytes that follow may belong to it, so none of them is read.
            return Single.succeeded(closeAfter(context, error(context, responses, framing.get())));
        }
        if (headersBytes(request.headers()) > limits.get().headersBytes()) {
            Failure failure = Failure.of(
                    ErrorKind.HEADERS_TOO_LARGE,
                    "the headers exceed %d bytes".formatted(limits.get().headersBytes()));
            return drainAndFail(context, request, responses, failure);
        }
        // A timeout operator on the Single would cancel the body, which closes the connection before the error answer
        // is sent.
        CompletableFuture<BodyCollector> collected = BodyCollector.collect(
                        request, limits.get().bodyBytes())
                .toCompletionStage()
                .toCompletableFuture()
                .orTimeout(BODY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        return Single.fromStage(collected)
                .flatMap(body -> body.isLimitExceeded()
                        ? Single.succeeded(error(
                                context,
                                responses,
                                Failure.of(
                                        ErrorKind.BODY_TOO_LARGE,
                                        "the body exceeds %d bytes"
                                                .formatted(limits.get().bodyBytes()))))
                        : answer(context, request, body.toByteArray(), responses))
                .onErrorResume(TimeoutException.class, late -> Single.succeeded(bodyTimeout(context, responses)));
    }

    /** Returns the error answer to a stalled sender, after which the connection is closed. */
    private StreamingHttpResponse bodyTimeout(HttpServiceContext context, StreamingHttpResponseFactory responses) {
        Failure failure = Failure.of(
                ErrorKind.BODY_TIMEOUT, "the body was not received within %d s".formatted(BODY_TIMEOUT.toSeconds()));
        return closeAfter(context, error(context, responses, failure));
    }

    /** Returns the answer changed so that the connection is closed after it. */
    private static StreamingHttpResponse closeAfter(HttpServiceContext context, StreamingHttpResponse answer) {
        return answer.setHeader("connection", "close")
                .transformPayloadBody(body -> body.afterFinally(() -> closeLater(context)));
    }

    /**
     * Returns the protocol configuration to serve this service with. Its headers record framing errors that the decoder
     * would resolve silently.
     */
    public static HttpProtocolConfig protocol() {
        return HttpProtocolConfigs.h1()
                .maxStartLineLength(MAX_START_LINE_BYTES)
                .maxHeaderFieldLength(FramingHeaders.MAX_FIELD_BYTES)
                .headersFactory(FramingHeaders.factory())
                .build();
    }

    /** Closes the connection after a delay. An immediate close would reset it before the answer is sent. */
    private static void closeLater(HttpServiceContext context) {
        context.executionContext()
                .executor()
                .timer(CLOSE_DELAY)
                .concat(context.closeAsync())
                .subscribe();
    }

    private Single<StreamingHttpResponse> answer(
            HttpServiceContext context,
            StreamingHttpRequest request,
            byte[] body,
            StreamingHttpResponseFactory responses) {
        CallerRequest http =
                new CallerRequest(request.method().name(), request.requestTarget(), headers(request.headers()), body);
        if (http.method().equals("GET") && http.pathWithoutQuery().equals("/v1/models")) {
            return Single.succeeded(json(context, responses, HttpResponseStatus.OK, models.list()));
        }
        RequestId id = ids.get();
        RequestClassifier.Result result = classifier.classify(http, id, clock.millis());
        if (result instanceof RequestClassifier.Result.Refused refused) {
            return Single.succeeded(error(context, responses, refused.failure()));
        }
        CallerResponse callerResponse = new CallerResponse(
                http,
                ((RequestClassifier.Result.Classified) result).request(),
                context.executionContext().bufferAllocator());
        if (!handler.submit(callerResponse)) {
            Failure failure = Failure.of(ErrorKind.OVERLOADED, "the event queue of the entry is full");
            return Single.succeeded(error(context, responses, failure));
        }
        CallerCloseHandler.onRequest(context);
        return callerResponse
                .response()
                .map(start -> {
                    StreamingHttpResponse response = responses.newResponse(HttpResponseStatus.of(start.status(), ""));
                    start.headers().forEach(header -> response.addHeader(header.getKey(), header.getValue()));
                    return response.payloadBody(start.body()
                            .beforeFinally(() -> CallerCloseHandler.onAnswerEnd(context))
                            .beforeCancel(() -> handler.onCallerDisconnected(callerResponse)));
                })
                .beforeCancel(() -> handler.onCallerDisconnected(callerResponse));
    }

    private Single<StreamingHttpResponse> drainAndFail(
            HttpServiceContext context,
            StreamingHttpRequest request,
            StreamingHttpResponseFactory responses,
            Failure failure) {
        return request.payloadBody().ignoreElements().concat(Single.succeeded(error(context, responses, failure)));
    }

    private StreamingHttpResponse error(
            HttpServiceContext context, StreamingHttpResponseFactory responses, Failure failure) {
        handler.onRefused(failure);
        HttpResponseStatus status = HttpResponseStatus.of(failure.kind().httpStatus(), "");
        return json(context, responses, status, ErrorBody.of(failure));
    }

    private static StreamingHttpResponse json(
            HttpServiceContext context,
            StreamingHttpResponseFactory responses,
            HttpResponseStatus status,
            Object value) {
        return responses
                .newResponse(status)
                .addHeader("content-type", Json.MEDIA_TYPE)
                .payloadBody(Publisher.from(
                        context.executionContext().bufferAllocator().wrap(Json.write(value))));
    }

    private static List<Map.Entry<String, String>> headers(HttpHeaders headers) {
        List<Map.Entry<String, String>> forwarded = new ArrayList<>();
        headers.forEach(header -> forwarded.add(
                Map.entry(header.getKey().toString(), header.getValue().toString())));
        return forwarded;
    }

    /** Returns whether a header is forwarded, both from caller to upstream and from upstream to caller. */
    public static boolean isForwarded(String headerName) {
        return !NOT_FORWARDED.contains(headerName.toLowerCase(Locale.ROOT));
    }

    private static long headersBytes(HttpHeaders headers) {
        long bytes = 0;
        for (Map.Entry<CharSequence, CharSequence> header : headers) {
            bytes += header.getKey().length() + header.getValue().length();
        }
        return bytes;
    }
}
