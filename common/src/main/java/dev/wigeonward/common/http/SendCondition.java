package dev.wigeonward.common.http;

import java.util.function.BooleanSupplier;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.context.api.ContextMap;
import io.servicetalk.http.api.FilterableStreamingHttpConnection;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpExecutionStrategy;
import io.servicetalk.http.api.StreamingHttpConnectionFilter;
import io.servicetalk.http.api.StreamingHttpConnectionFilterFactory;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Condition under which a request may still be sent, checked when its connection is available. Establishing the
 * connection may take long after the decision to send the request.
 */
public final class SendCondition {
    private static final ContextMap.Key<BooleanSupplier> KEY =
            ContextMap.Key.newKey("send-condition", BooleanSupplier.class);

    private SendCondition() {}

    /**
     * Sets the condition of a request, which is checked on an I/O thread. If it does not hold, the request is not sent
     * and fails with {@link NotSentException}.
     */
    public static void set(StreamingHttpRequest request, BooleanSupplier condition) {
        request.context().put(KEY, condition);
    }

    /** Thrown if the condition of a request did not hold, so that no byte of it was sent. */
    public static final class NotSentException extends RuntimeException {
        NotSentException() {
            super("the request was not sent because its condition no longer holds", null, false, false);
        }
    }

    /** Connection filter that checks the condition of each request. */
    static final class Filter implements StreamingHttpConnectionFilterFactory {
        @Override
        @SuppressWarnings("try") // the close method of the library may throw any exception
        public StreamingHttpConnectionFilter create(FilterableStreamingHttpConnection connection) {
            return new StreamingHttpConnectionFilter(connection) {
                @Override
                public Single<StreamingHttpResponse> request(StreamingHttpRequest request) {
                    return Single.defer(() -> mayBeSent(request)
                            ? delegate().request(request).shareContextOnSubscribe()
                            : Single.failed(new NotSentException()));
                }
            };
        }

        private static boolean mayBeSent(StreamingHttpRequest request) {
            BooleanSupplier condition = request.context().get(KEY);
            return condition == null || condition.getAsBoolean();
        }

        @Override
        public HttpExecutionStrategy requiredOffloads() {
            return HttpExecutionStrategies.offloadNone();
        }
    }
}
