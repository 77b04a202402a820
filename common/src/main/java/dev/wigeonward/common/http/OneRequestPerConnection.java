package dev.wigeonward.common.http;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.FilterableStreamingHttpClient;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpExecutionStrategy;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaderValues;
import io.servicetalk.http.api.StreamingHttpClientFilter;
import io.servicetalk.http.api.StreamingHttpClientFilterFactory;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpRequester;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Client filter that sends each request on a connection of its own. On a kept connection an answer to an earlier
 * request that the server writes once more would count as the answer to the next.
 */
final class OneRequestPerConnection implements StreamingHttpClientFilterFactory {
    @Override
    @SuppressWarnings("try") // the close method of the library may throw any exception
    public StreamingHttpClientFilter create(FilterableStreamingHttpClient client) {
        return new StreamingHttpClientFilter(client) {
            @Override
            protected Single<StreamingHttpResponse> request(
                    StreamingHttpRequester delegate, StreamingHttpRequest request) {
                // The client takes a connection that has written this header for no further request.
                return delegate.request(request.setHeader(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE));
            }
        };
    }

    @Override
    public HttpExecutionStrategy requiredOffloads() {
        return HttpExecutionStrategies.offloadNone();
    }
}
