package dev.wigeonward.entry.link;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import dev.wigeonward.wire.Link;
import dev.wigeonward.wire.LinkTransport;

/** The links of an entry, and when lost ones are opened again. Used by the decision thread only. */
public final class AgentLinks {
    private static final Logger LOG = System.getLogger(AgentLinks.class.getName());
    private static final long FIRST_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 5_000;

    private final LinkTransport transport;
    private final RandomGenerator random;
    private final Map<String, Target> targets = new HashMap<>();
    private final Map<String, Link> linksByUpstream = new HashMap<>();
    private final Map<Long, String> upstreamsByLink = new HashMap<>();

    public AgentLinks(LinkTransport transport, RandomGenerator random) {
        this.transport = transport;
        this.random = random;
    }

    /** Starts to keep a link to the agent at an address. */
    public void add(InetSocketAddress address, long nowMillis) {
        targets.computeIfAbsent(name(address), key -> new Target(address)).nextAttemptMillis = nowMillis;
    }

    /** Stops opening links to an address. */
    public void remove(InetSocketAddress address) {
        targets.remove(name(address));
    }

    /** Opens the links that are due. */
    public void connectDue(long nowMillis) {
        for (Target target : targets.values()) {
            if (target.linked || target.connecting || target.nextAttemptMillis > nowMillis) {
                continue;
            }
            target.connecting = true;
            transport.connect(target.address);
        }
    }

    /** Registers a link and returns the older link to the same upstream, if there is one. */
    public Optional<Link> up(Link link, String upstreamId) {
        Target target = targets.get(link.remoteName());
        if (target != null) {
            target.connecting = false;
            target.linked = true;
            target.failures = 0;
        }
        upstreamsByLink.put(link.number(), upstreamId);
        return Optional.ofNullable(linksByUpstream.put(upstreamId, link));
    }

    /** Removes a link and returns its upstream, if it was the current link to it. */
    public Optional<String> down(Link link, long nowMillis) {
        failed(link.remoteName(), nowMillis);
        String upstreamId = upstreamsByLink.remove(link.number());
        if (upstreamId == null || linksByUpstream.get(upstreamId) != link) {
            return Optional.empty();
        }
        linksByUpstream.remove(upstreamId);
        return Optional.of(upstreamId);
    }

    /** Plans the next attempt after a lost link or a failed attempt. */
    public void failed(String addressName, long nowMillis) {
        Target target = targets.get(addressName);
        if (target == null) {
            return;
        }
        target.connecting = false;
        target.linked = false;
        long limitMillis = Math.min(MAX_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS << Math.min(target.failures, 10));
        target.failures++;
        // Full jitter spreads the reconnects after a failure domain is lost.
        target.nextAttemptMillis = nowMillis + random.nextLong(limitMillis + 1);
        LOG.log(Level.DEBUG, "next attempt to reach {0} at {1}", addressName, target.nextAttemptMillis);
    }

    /** Returns the current link to an upstream. */
    public Optional<Link> find(String upstreamId) {
        return Optional.ofNullable(linksByUpstream.get(upstreamId));
    }

    /** Returns the upstream of a link, if the link is the current one. */
    public Optional<String> upstreamOf(Link link) {
        return Optional.ofNullable(upstreamsByLink.get(link.number()))
                .filter(upstreamId -> linksByUpstream.get(upstreamId) == link);
    }

    /** Returns the current links by upstream. */
    public Map<String, Link> current() {
        return Map.copyOf(linksByUpstream);
    }

    /** Returns the name under which the transport reports an address. */
    public static String name(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static final class Target {
        private final InetSocketAddress address;
        private boolean connecting;
        private boolean linked;
        private int failures;
        private long nextAttemptMillis;

        private Target(InetSocketAddress address) {
            this.address = address;
        }
    }
}
