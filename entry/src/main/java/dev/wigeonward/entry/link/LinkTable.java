package dev.wigeonward.entry.link;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.google.common.net.HostAndPort;
import dev.wigeonward.core.placement.UpstreamDescription;
import dev.wigeonward.wire.Link;
import dev.wigeonward.wire.LinkTransport;

/** The current link to each agent and what the agent announced on it. Used by the decision thread only. */
public final class LinkTable {
    private final LinkTransport transport;
    private final Map<String, String> upstreamByAddress = new HashMap<>();
    private final Map<String, Current> links = new HashMap<>();
    private final Map<String, Long> incarnations = new HashMap<>();

    /** Returns a table without links. */
    public LinkTable(LinkTransport transport) {
        this.transport = transport;
    }

    /** Starts to open a link to the agent at an address. */
    public void connect(String upstreamId, String address) {
        upstreamByAddress.values().remove(upstreamId);
        upstreamByAddress.put(address, upstreamId);
        HostAndPort hostAndPort = HostAndPort.fromString(address);
        transport.connect(new InetSocketAddress(hostAndPort.getHost(), hostAndPort.getPort()));
    }

    /** Returns the upstream whose agent was to be reached at an address. */
    public Optional<String> upstreamAt(String address) {
        return Optional.ofNullable(upstreamByAddress.get(address));
    }

    /** Returns whether the agent had another incarnation on its last link. */
    public boolean restarted(UpstreamDescription upstream) {
        Long before = incarnations.get(upstream.upstreamId());
        return before != null && before != upstream.incarnation();
    }

    /** Registers a link and returns the older link to the same upstream, if there is one. */
    public Optional<Link> up(Link link, UpstreamDescription upstream) {
        incarnations.put(upstream.upstreamId(), upstream.incarnation());
        Current previous = links.put(upstream.upstreamId(), new Current(link, upstream));
        return Optional.ofNullable(previous).map(Current::link);
    }

    /** Removes a link and returns its upstream, if it was the current link to it. */
    public Optional<String> down(Link link) {
        Optional<String> upstreamId = upstreamOf(link).map(UpstreamDescription::upstreamId);
        upstreamId.ifPresent(links::remove);
        return upstreamId;
    }

    /** Returns the upstream of a link, if the link is the current one to it. */
    public Optional<UpstreamDescription> upstreamOf(Link link) {
        String upstreamId = link.peer().getUpstream().getUpstreamId();
        return Optional.ofNullable(links.get(upstreamId))
                .filter(current -> current.link() == link)
                .map(Current::upstream);
    }

    /** Returns the current link to an upstream. */
    public Optional<Link> find(String upstreamId) {
        return Optional.ofNullable(links.get(upstreamId)).map(Current::link);
    }

    /** Returns what the agent of an upstream announced on the current link. */
    public Optional<UpstreamDescription> describe(String upstreamId) {
        return Optional.ofNullable(links.get(upstreamId)).map(Current::upstream);
    }

    /** Returns the current links by upstream. */
    public Map<String, Link> current() {
        Map<String, Link> current = new HashMap<>();
        links.forEach((upstreamId, entry) -> current.put(upstreamId, entry.link()));
        return current;
    }

    /** Returns the upstreams with a link. */
    public Iterable<UpstreamDescription> upstreams() {
        return links.values().stream().map(Current::upstream).toList();
    }

    private record Current(Link link, UpstreamDescription upstream) {}
}
