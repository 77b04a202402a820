package dev.wigeonward.common.http;

import java.net.InetSocketAddress;

import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.HostAndPort;

/** Factory of HTTP clients for services with one numeric address. */
public final class SingleHostClients {
    private SingleHostClients() {}

    /**
     * Returns a client that never retries a request and sends each on a connection of its own. Its callbacks run on I/O
     * threads and must not block. An answer whose status is not three digits from 100 to 599 is a failure.
     */
    public static HttpClient create(String name, InetSocketAddress address) {
        HostAndPort peer = HostAndPort.of(address.getAddress().getHostAddress(), address.getPort());
        return HttpClients.forResolvedAddress(peer)
                .executionStrategy(HttpExecutionStrategies.offloadNone())
                .loadBalancerFactory(new SingleHostBalancing(name))
                .appendClientFilter(new RetryingHttpRequesterFilter.Builder()
                        .retryRetryableExceptions(
                                (request, cause) -> RetryingHttpRequesterFilter.BackOffPolicy.ofNoRetries())
                        .build())
                .appendClientFilter(new ValidStatusFilter())
                .appendConnectionFilter(new SendCondition.Filter())
                .appendClientFilter(new OneRequestPerConnection())
                .build();
    }
}
