package dev.wigeonward.entry.link;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.google.common.net.HostAndPort;
import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.wire.Link;
import dev.wigeonward.wire.LinkTransport;

/**
 * The current link to each agent with the description of its upstream. Not thread-safe; confined to the decision
 * thread.
 */
public final class LinkTable {
    private final LinkTransport transport;
    private final Map<String, String> upstreamByAddress = new HashMap<>();
    private final Map<String, Connected> links = new HashMap<>();
    private final Map<String, Long> incarnations = new HashMap<>();

    /** Creates a table without links. */
    public LinkTable(LinkTransport transport) {
        this.transport = transport;
    }

    /** Starts connecting to the agent of an upstream at an address, which replaces its earlier address. */
    public void connect(String upstreamId, String address) {
        upstreamByAddress.values().remove(upstreamId);
        upstreamByAddress.put(address, upstreamId);
        HostAndPort hostAndPort = HostAndPort.fromString(address);
        transport.connect(new InetSocketAddress(hostAndPort.getHost(), hostAndPort.getPort()));
    }

    /** Returns the upstream whose agent was last connected to at an address. */
    public Optional<String> upstreamByAddress(String address) {
        return Optional.ofNullable(upstreamByAddress.get(address));
    }

    /** Returns whether the agent of an upstream had a different incarnation on its previous link. */
    public boolean restarted(UpstreamDescription upstream) {
        Long before = incarnations.get(upstream.upstreamId());
        return before != null && before != upstream.incarnation();
    }

    /** Registers a link and returns the link to the same upstream that it replaces, if there is one. */
    public Optional<Link> register(Link link, UpstreamDescription upstream) {
        incarnations.put(upstream.upstreamId(), upstream.incarnation());
        Connected previous = links.put(upstream.upstreamId(), new Connected(link, upstream));
        return Optional.ofNullable(previous).map(Connected::link);
    }

    /** Removes a link and returns its upstream; does nothing and returns empty if the link is not the current one. */
    public Optional<String> remove(Link link) {
        Optional<String> upstreamId = upstreamOf(link).map(UpstreamDescription::upstreamId);
        upstreamId.ifPresent(links::remove);
        return upstreamId;
    }

    /** Returns the upstream of a link, or empty if the link is not the current one to its upstream. */
    public Optional<UpstreamDescription> upstreamOf(Link link) {
        String upstreamId = link.peerHello().getUpstream().getUpstreamId();
        return Optional.ofNullable(links.get(upstreamId))
                .filter(current -> current.link() == link)
                .map(Connected::upstream);
    }

    /** Returns the current link to an upstream. */
    public Optional<Link> find(String upstreamId) {
        return Optional.ofNullable(links.get(upstreamId)).map(Connected::link);
    }

    /** Returns the description of an upstream from its current link. */
    public Optional<UpstreamDescription> describe(String upstreamId) {
        return Optional.ofNullable(links.get(upstreamId)).map(Connected::upstream);
    }

    /** Returns the current links by upstream id. */
    public Map<String, Link> currentLinks() {
        Map<String, Link> current = new HashMap<>();
        links.forEach((upstreamId, entry) -> current.put(upstreamId, entry.link()));
        return current;
    }

    /** Returns the upstreams that have a link. */
    public Iterable<UpstreamDescription> upstreams() {
        return links.values().stream().map(Connected::upstream).toList();
    }

    /** The current link to an agent and the description of its upstream. */
    private record Connected(Link link, UpstreamDescription upstream) {}
}
