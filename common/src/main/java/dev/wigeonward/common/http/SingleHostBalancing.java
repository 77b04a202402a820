package dev.wigeonward.common.http;

import java.net.InetSocketAddress;
import java.util.Collection;

import io.servicetalk.client.api.ConnectionFactory;
import io.servicetalk.client.api.LoadBalancer;
import io.servicetalk.client.api.LoadBalancerFactory;
import io.servicetalk.client.api.ServiceDiscovererEvent;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.FilterableStreamingHttpLoadBalancedConnection;
import io.servicetalk.http.api.HttpLoadBalancerFactory;
import io.servicetalk.loadbalancer.LoadBalancers;
import io.servicetalk.loadbalancer.OutlierDetectorConfigs;

/**
 * Load balancer factory for a single address, without outlier detection. The default stops using the address after five
 * failed connections and checks it every five seconds, which delays the first call after an outage.
 */
final class SingleHostBalancing implements HttpLoadBalancerFactory<InetSocketAddress> {
    private final LoadBalancerFactory<InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection> delegate;

    SingleHostBalancing(String name) {
        this.delegate = LoadBalancers.<InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection>builder(name)
                .outlierDetectorConfig(OutlierDetectorConfigs.disabled())
                .build();
    }

    @Override
    @SuppressWarnings("deprecation") // abstract in the interface, although the method below replaces it
    public <T extends FilterableStreamingHttpLoadBalancedConnection> LoadBalancer<T> newLoadBalancer(
            String targetResource,
            Publisher<? extends Collection<? extends ServiceDiscovererEvent<InetSocketAddress>>> events,
            ConnectionFactory<InetSocketAddress, T> connections) {
        return delegate.newLoadBalancer(targetResource, events, connections);
    }

    @Override
    public LoadBalancer<FilterableStreamingHttpLoadBalancedConnection> newLoadBalancer(
            Publisher<? extends Collection<? extends ServiceDiscovererEvent<InetSocketAddress>>> events,
            ConnectionFactory<InetSocketAddress, FilterableStreamingHttpLoadBalancedConnection> connections,
            String targetResource) {
        return delegate.newLoadBalancer(events, connections, targetResource);
    }
}
