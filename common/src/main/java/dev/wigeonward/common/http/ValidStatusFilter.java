package dev.wigeonward.common.http;

import java.io.IOException;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.FilterableStreamingHttpClient;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpExecutionStrategy;
import io.servicetalk.http.api.StreamingHttpClientFilter;
import io.servicetalk.http.api.StreamingHttpClientFilterFactory;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpRequester;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Client filter that fails a request whose answer has a status above 599. The library itself refuses all other statuses
 * that are not three digits from 100 on.
 */
final class ValidStatusFilter implements StreamingHttpClientFilterFactory {
    private static final int MAX_STATUS = 599;

    @Override
    @SuppressWarnings("try") // the close method of the library may throw any exception
    public StreamingHttpClientFilter create(FilterableStreamingHttpClient client) {
        return new StreamingHttpClientFilter(client) {
            @Override
            protected Single<StreamingHttpResponse> request(
                    StreamingHttpRequester delegate, StreamingHttpRequest request) {
                return delegate.request(request).flatMap(ValidStatusFilter::check);
            }
        };
    }

    private static Single<StreamingHttpResponse> check(StreamingHttpResponse response) {
        if (response.status().code() <= MAX_STATUS) {
            return Single.succeeded(response);
        }
        // An unread body would keep the connection open.
        response.messageBody().ignoreElements().subscribe().cancel();
        return Single.failed(
                new IOException("answer has status " + response.status().code() + ", expected 100 to " + MAX_STATUS));
    }

    @Override
    public HttpExecutionStrategy requiredOffloads() {
        return HttpExecutionStrategies.offloadNone();
    }
}
