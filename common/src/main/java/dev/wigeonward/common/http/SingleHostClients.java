package dev.wigeonward.common.http;

import java.net.InetSocketAddress;

import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.HostAndPort;

/** Makes HTTP clients of services with one numeric address. */
public final class SingleHostClients {
    private SingleHostClients() {}

    /** Returns a client that sends each request at most once; callbacks run on its I/O threads and must not block. */
    public static HttpClient create(String name, InetSocketAddress address) {
        HostAndPort peer = HostAndPort.of(address.getAddress().getHostAddress(), address.getPort());
        return HttpClients.forResolvedAddress(peer)
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .loadBalancerFactory(new SingleHostBalancing(name))
                .appendClientFilter(new RetryingHttpRequesterFilter.Builder()
                        .retryRetryableExceptions(
                                (request, cause) -> RetryingHttpRequesterFilter.BackOffPolicy.ofNoRetries())
                        .build())
                .build();
    }
}
