package dev.wigeonward.gateway.peer;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.google.common.collect.Maps;
import dev.wigeonward.core.schedule.ObservedUnitTime;
import dev.wigeonward.core.schedule.ServiceScheduler.EntryLoad;
import dev.wigeonward.exchange.EvidenceCodec;
import dev.wigeonward.exchange.FactSync;
import dev.wigeonward.gateway.event.EventLog;
import dev.wigeonward.gateway.exchange.GatewayDispatcher;
import dev.wigeonward.gateway.exchange.WorkspaceCaps;
import dev.wigeonward.gateway.port.EntryRegistry;
import dev.wigeonward.gateway.port.SharedStoreView;
import dev.wigeonward.wire.Link;
import dev.wigeonward.wire.LinkListener;
import dev.wigeonward.wire.LinkSettings;
import dev.wigeonward.wire.LinkTransport;
import dev.wigeonward.wire.generated.Frame;
import dev.wigeonward.wire.generated.Heartbeat;
import dev.wigeonward.wire.generated.Hello;
import dev.wigeonward.wire.generated.PeerPrompts;
import dev.wigeonward.wire.generated.PeerState;
import io.netty.channel.EventLoop;
import io.netty.util.NetUtil;

/**
 * Synchronizes load, workspace usage, observed unit times and the view of the store with the other entries, over links.
 * Runs on the event loop.
 */
public final class PeerSync implements LinkListener {
    /**
     * Bounds of the links. The largest frame is a view of the store, in which a single value has up to a megabyte.
     */
    private static final LinkSettings LINK_SETTINGS = new LinkSettings(8 << 20, 500, 1_500, 500, 16 << 20);
    /**
     * Interval between reports of changed loads while few peers are linked; short compared with the duration of a
     * request.
     */
    private static final long PARTIAL_PERIOD_MILLIS = 20;
    /** Interval between full states, which include workspace usage and the age of the view. */
    private static final long FULL_PERIOD_MILLIS = 100;
    /**
     * Number of links up to which the intervals have their shortest length. With more links they grow in proportion, so
     * that the rate of messages of one entry stays bounded.
     */
    private static final int LINKS_AT_SHORTEST_PERIOD = 8;

    /** Longest interval between reports of the entry that reads the store, with any number of links. */
    private static final long READ_REPORT_PERIOD_MILLIS = 200;

    private static final long CONNECT_PERIOD_MILLIS = 500;
    /** Time after which a peer without a link is forgotten. */
    private static final long FORGET_MILLIS = 10_000;
    /** Age above which a peer's state is no longer used as its load. */
    private static final long MAX_STATE_AGE_MILLIS = SharedBudgets.MAX_STATE_AGE_MILLIS;
    /** Time after an entry was last seen for which connections to its address are still attempted. */
    private static final long RECONNECT_LIMIT_MILLIS = 120_000;
    /** Shortest interval between two requests for a peer's view. */
    private static final long VIEW_REQUEST_PERIOD_MILLIS = 200;
    /** Age of this entry's view above which a peer's newer one is requested. */
    private static final long MAX_VIEW_AGE_MILLIS = 900;

    private final EventLog log;
    private final String ownAddress;
    private final long incarnation;
    private final GatewayDispatcher dispatcher;
    private final SharedStoreView store;
    private final EventLoop loop;
    private final LongSupplier nowMillis;
    private final LinkTransport transport;
    private final Set<String> seeds;
    private final Map<Long, Link> links = new HashMap<>();
    private final FactSync facts;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Map<String, Long> lastSeenMillis = new HashMap<>();
    private final Set<String> connecting = new HashSet<>();
    private long viewRequestedAtMillis = Long.MIN_VALUE / 2;
    private long sentAtMillis;
    private long readReportedAtMillis;
    private long sentFullAtMillis;
    private final ViewCoverage coverage = new ViewCoverage();
    private long sentControlFingerprint;
    /** Whether a peer has told which entries it knows. */
    private boolean entriesHeard;

    private PeerLoadReport sentLoads = PeerLoadReport.empty();
    private Map<String, Integer> sentGranted = Map.of();
    private final PeerPlacements placements;
    private final Map<String, Long> sentUsages = new HashMap<>();
    private final SharedBudgets budgets;

    private PeerSync(
            LocalEntry self,
            Set<String> seeds,
            GatewayDispatcher dispatcher,
            SharedStoreView store,
            EntryRegistry registry,
            EventLoop loop,
            LongSupplier nowMillis,
            EventLog log) {
        this.log = log;
        this.incarnation = self.incarnation();
        this.ownAddress = NetUtil.toSocketAddressString(self.address());
        this.dispatcher = dispatcher;
        this.store = store;
        this.loop = loop;
        this.nowMillis = nowMillis;
        this.seeds = new HashSet<>(seeds);
        this.seeds.remove(ownAddress);
        this.budgets = SharedBudgets.start(ownAddress, this.seeds, dispatcher, registry, loop, nowMillis, log);
        FactLinks factLinks = new FactLinks(links, log);
        this.facts = new FactSync(
                dispatcher.suspects(),
                dispatcher.suspectParts(),
                dispatcher.rollouts().view(),
                factLinks,
                factLinks);
        placements = new PeerPlacements(dispatcher, ownAddress, links);
        dispatcher.setSuspectPublisher(new SuspectFactPublisher(facts));
        transport = LinkTransport.withEventLoop(
                LINK_SETTINGS,
                this,
                () -> Hello.newBuilder()
                        .setNodeId(self.id())
                        .setIncarnation(self.incarnation())
                        .build(),
                () -> Frame.newBuilder()
                        .setHeartbeat(Heartbeat.getDefaultInstance())
                        .build(),
                loop);
        transport.listen(self.address());
    }

    /**
     * Starts the synchronization, which accepts links and connects to the seeds.
     *
     * @param seeds link addresses of some entries; some of them may be out of date
     */
    public static PeerSync start(
            LocalEntry self,
            Set<String> seeds,
            GatewayDispatcher dispatcher,
            SharedStoreView store,
            EntryRegistry registry,
            EventLoop loop,
            LongSupplier nowMillis,
            EventLog log) {
        PeerSync peerSync = new PeerSync(self, seeds, dispatcher, store, registry, loop, nowMillis, log);
        loop.scheduleAtFixedRate(
                dispatcher.telemetry().guard("peer_connect", peerSync::connect),
                0,
                CONNECT_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(
                dispatcher.telemetry().guard("peer_report", peerSync::sendIfDue),
                PARTIAL_PERIOD_MILLIS,
                PARTIAL_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
        return peerSync;
    }

    /** Adds link addresses to which connections are attempted. */
    public void addSeeds(Set<String> newer) {
        seeds.addAll(newer);
        seeds.remove(ownAddress);
    }

    /** Returns the synchronization of facts, which are only ever added. */
    public FactSync facts() {
        return facts;
    }

    private void connect() {
        long now = nowMillis.getAsLong();
        lastSeenMillis.values().removeIf(seenMillis -> now - seenMillis > RECONNECT_LIMIT_MILLIS);
        Set<String> addresses = new HashSet<>(seeds);
        addresses.addAll(lastSeenMillis.keySet());
        addresses.remove(ownAddress);
        for (String address : addresses) {
            boolean linked = peers.containsKey(address) && peers.get(address).link() != null;
            if (!linked && connecting.add(address)) {
                int colon = address.lastIndexOf(':');
                transport.connect(new InetSocketAddress(
                        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
            }
        }
        for (Map.Entry<String, Peer> entry : List.copyOf(peers.entrySet())) {
            Peer peer = entry.getValue();
            if (peer.link() == null && now - peer.receivedAtMillis() > FORGET_MILLIS) {
                peers.remove(entry.getKey());
            }
            if (now - peer.receivedAtMillis() > MAX_STATE_AGE_MILLIS) {
                dispatcher.removePeerLoads(entry.getKey());
                dispatcher.paces().removePeer(entry.getKey());
            }
        }
        updateKnownEntries();
    }

    /** Updates the parts of shared budgets, and drops the usage of peers that are no longer heard. */
    private void updateBudgets(long now) {
        peers.forEach((address, peer) -> {
            if (now - peer.receivedAtMillis() > MAX_STATE_AGE_MILLIS) {
                dispatcher.removePeerUsage(address);
            }
        });
        budgets.update();
    }

    private void updateKnownEntries() {
        Set<String> known = new HashSet<>(seeds);
        known.addAll(lastSeenMillis.keySet());
        known.remove(ownAddress);
        dispatcher.paces().setEntries(ownAddress, known, entriesHeard);
    }

    private void sendIfDue() {
        long now = nowMillis.getAsLong();
        if (now - sentFullAtMillis >= period(FULL_PERIOD_MILLIS)
                || store.controlFingerprint() != sentControlFingerprint) {
            sentFullAtMillis = now;
            updateBudgets(now);
            sentControlFingerprint = store.controlFingerprint();
            sentLoads = ownLoads();
            sentGranted = placements.grantedCounts();
            PeerState.Builder state = fullState(dispatcher.takeChangedUnitTimes());
            addPlacedPrompts(state);
            send(state.build());
            sendEvidence(now);
        } else if (now - sentAtMillis >= period(PARTIAL_PERIOD_MILLIS)) {
            sendLoadChanges();
        }
    }

    private void sendEvidence(long now) {
        if (dispatcher.rollouts().unfinishedRollouts().isEmpty()) {
            return;
        }
        dispatcher.rollouts().counters(now).forEach((key, counters) -> sendToAll(EvidenceCodec.toFrame(key, counters)));
    }

    /** Returns the interval for the current number of links, see {@link #LINKS_AT_SHORTEST_PERIOD}. */
    private long period(long shortestMillis) {
        return shortestMillis * Math.max(1, (links.size() + LINKS_AT_SHORTEST_PERIOD - 1) / LINKS_AT_SHORTEST_PERIOD);
    }

    private void sendLoadChanges() {
        PeerLoadReport loads = ownLoads();
        Map<String, Integer> granted = placements.grantedCounts();
        PeerState.Builder state = PeerState.newBuilder()
                .setAddress(ownAddress)
                .setIncarnation(incarnation)
                .setPartial(true)
                .setViewHash(store.upstreamsFingerprint())
                .setReadAgeMillis(readAgeMillis());
        state.addAllLoads(loads.changesSince(
                        sentLoads,
                        Maps.difference(granted, sentGranted).entriesDiffering().keySet())
                .values());
        addPlacedPrompts(state);
        addChangedUsages(state);
        // The entry that reads the store reports often, or others would start to read it as well.
        boolean readReportDue = state.getReadAgeMillis() < READ_REPORT_PERIOD_MILLIS
                && nowMillis.getAsLong() - readReportedAtMillis >= READ_REPORT_PERIOD_MILLIS;
        int changes = state.getLoadsCount() + state.getPromptsCount() + state.getDemandsCount();
        if (readReportDue || changes > 0) {
            readReportedAtMillis = nowMillis.getAsLong();
            sentLoads = loads;
            sentGranted = granted;
            send(state.build());
        }
    }

    private void addPlacedPrompts(PeerState.Builder state) {
        dispatcher
                .keptPrompts()
                .takePlaced()
                .forEach((lifetimeId, hashes) -> state.addPrompts(
                        PeerPrompts.newBuilder().setLifetime(lifetimeId).addAllPrefixes(hashes)));
    }

    /** Adds the usage of the workspaces whose usage has changed since the last report to all peers. */
    private void addChangedUsages(PeerState.Builder state) {
        dispatcher.ownUsages().forEach((workspace, usage) -> {
            Long sent = sentUsages.put(workspace, (long) usage.total());
            if (sent == null || sent != (long) usage.total()) {
                state.addDemands(PeerLoadCodec.toMessage(workspace, usage));
            }
        });
    }

    private PeerLoadReport ownLoads() {
        List<EntryLoad> loads = dispatcher.ownLoads();
        return PeerLoadReport.of(loads, dispatcher.paces().ownCounts(loads));
    }

    private int readAgeMillis() {
        return (int) Math.min(Integer.MAX_VALUE, store.ownReadAgeMillis());
    }

    private void send(PeerState state) {
        sentAtMillis = nowMillis.getAsLong();
        if (links.isEmpty()) {
            return;
        }
        placements.sendToAll(state);
    }

    private void sendToAll(Frame frame) {
        Set<String> reached = new HashSet<>();
        for (Link link : links.values()) {
            if (reached.add(link.peerHello().getNodeId()) && link.isWritable()) {
                link.send(frame);
            }
        }
    }

    private long configurationVersion() {
        return dispatcher.configuration().map(current -> current.version()).orElse(0L);
    }

    private PeerState.Builder fullState(List<ObservedUnitTime> unitTimes) {
        PeerState.Builder state = PeerState.newBuilder()
                .setAddress(ownAddress)
                .setConfigurationVersion(configurationVersion())
                .setViewAgeMillis((int) Math.min(SharedStoreView.NO_VIEW_AGE_MILLIS - 1, store.viewAgeMillis()))
                .setViewHash(store.upstreamsFingerprint())
                .setControlFingerprint(store.controlFingerprint())
                .setReadAgeMillis(readAgeMillis())
                .setIncarnation(incarnation)
                .setCoordinationWeight(placements.ownWeight())
                .addAllEntries(lastSeenMillis.keySet());
        state.addAllLoads(ownLoads().loads().values());
        dispatcher
                .ownUsages()
                .forEach((workspace, usage) -> state.addDemands(PeerLoadCodec.toMessage(workspace, usage)));
        unitTimes.forEach(unitTime -> state.addUnits(UnitTimeCodec.toMessage(unitTime)));
        return state;
    }

    @Override
    public void onUp(Link link) {
        links.put(link.id(), link);
        connecting.remove(link.remoteAddress());
        link.send(Frame.newBuilder()
                .setPeerState(fullState(dispatcher.unitTimes()))
                .build());
        facts.onLinkUp(FactLinks.name(link), nowMillis.getAsLong());
    }

    @Override
    public void onFrame(Link link, Frame frame) {
        try {
            handleFrame(link, frame);
        } catch (RuntimeException e) {
            dispatcher.telemetry().onUnexpected("peer_frame." + frame.getBodyCase(), e);
        }
    }

    private void handleFrame(Link link, Frame frame) {
        if (frame.hasPeerState()) {
            onState(link, frame.getPeerState());
        } else if (frame.hasPlacementBatch()) {
            placements.onBatch(link, frame.getPlacementBatch());
        } else if (frame.hasPeerViewRequest()) {
            link.send(PeerViewCodec.toFrame(store.viewFor(PeerViewCodec.toHeld(frame.getPeerViewRequest()))));
        } else if (frame.hasPeerView()) {
            onView(PeerViewCodec.toView(frame.getPeerView()));
        } else if (frame.hasEvidence()) {
            EvidenceCodec.toEvent(link.peerHello().getNodeId(), link.peerHello().getIncarnation(), frame.getEvidence())
                    .ifPresent(report -> dispatcher.rollouts().onEvidence(report, nowMillis.getAsLong()));
        } else {
            facts.onFrame(FactLinks.name(link), frame, nowMillis.getAsLong());
        }
    }

    private void onState(Link link, PeerState state) {
        long now = nowMillis.getAsLong();
        Peer known = peers.get(state.getAddress());
        if (known == null || known.link() == null) {
            log.info("peer_heard", "peer=" + state.getAddress());
        }
        boolean stale = known == null || now - known.receivedAtMillis() > MAX_STATE_AGE_MILLIS;
        peers.put(state.getAddress(), new Peer(link, now));
        placements.onState(link, state);
        lastSeenMillis.put(state.getAddress(), now);
        budgets.onHeard(state.getAddress());
        if (stale) {
            dispatcher.removePeerUsage(state.getAddress());
            budgets.update();
            updateKnownEntries();
        }
        state.getPromptsList()
                .forEach(prompts ->
                        dispatcher.keptPrompts().onPeerPlaced(prompts.getLifetime(), prompts.getPrefixesList()));
        dispatcher
                .paces()
                .onPeerCounts(state.getAddress(), PeerLoadReport.counts(state.getLoadsList()), state.getPartial());
        dispatcher.onPeerLoads(state.getAddress(), PeerLoadCodec.loads(state), state.getPartial());
        Map<String, WorkspaceCaps.Usage> usages = new HashMap<>();
        state.getDemandsList()
                .forEach(demand -> usages.put(
                        demand.getTenant(), new WorkspaceCaps.Usage(demand.getUsedTotal(), demand.getLevel())));
        dispatcher.mergePeerUsage(state.getAddress(), state.getIncarnation(), usages);
        // Of two entries, the one whose address sorts first reads the store; the other one may leave reading to it.
        if (state.getViewHash() != 0 && state.getAddress().compareTo(ownAddress) < 0) {
            store.onPeerRead(state.getReadAgeMillis());
        }
        store.onPeerHeard(state.getAddress(), state.getControlFingerprint());
        if (!state.getPartial()) {
            onFullState(link, state, now);
        }
    }

    private void onFullState(Link link, PeerState state, long now) {
        budgets.onTold(state.getEntriesList());
        for (String entry : state.getEntriesList()) {
            if (!entry.equals(ownAddress)) {
                lastSeenMillis.putIfAbsent(entry, now);
            }
        }
        if (!entriesHeard) {
            entriesHeard = true;
            updateKnownEntries();
        }
        dispatcher.adoptNewerUnitTimes(UnitTimeCodec.fromMessages(state.getUnitsList()));
        boolean peerHasPrecedence = state.getAddress().compareTo(ownAddress) < 0;
        store.onPeerUpstreams(state.getViewHash(), state.getViewAgeMillis());
        coverage.addCovered(store.controlFingerprint());
        // Entries of an earlier release announce no fingerprint.
        boolean ahead = coverage.onAnnounced(state.getAddress(), state.getControlFingerprint())
                || state.getConfigurationVersion() > configurationVersion();
        store.onPeersAhead(ahead || coverage.anyAhead());
        boolean newerView =
                store.viewAgeMillis() > MAX_VIEW_AGE_MILLIS && state.getViewAgeMillis() < store.viewAgeMillis() / 2;
        boolean changedView = peerHasPrecedence
                && state.getViewHash() != store.upstreamsFingerprint()
                && state.getViewAgeMillis() < store.viewAgeMillis();
        if ((ahead || newerView || changedView) && now - viewRequestedAtMillis > VIEW_REQUEST_PERIOD_MILLIS) {
            viewRequestedAtMillis = now;
            link.send(PeerViewCodec.toRequest(store.held()));
        }
    }

    private void onView(SharedStoreView.View view) {
        store.mergeView(view);
        coverage.addCovered(view.controlFingerprint());
        coverage.addCovered(store.controlFingerprint());
        store.onPeersAhead(coverage.anyAhead());
    }

    @Override
    public void onDown(Link link, String reason) {
        links.remove(link.id());
        placements.onDown(link);
        connecting.remove(link.remoteAddress());
        peers.replaceAll((address, peer) -> {
            if (peer.link() != link) {
                return peer;
            }
            log.warning("peer_lost", "peer=" + address + " reason=" + reason);
            coverage.removePeer(address);
            return new Peer(null, peer.receivedAtMillis());
        });
    }

    @Override
    public void onConnectFailed(String address, String reason) {
        connecting.remove(address);
    }

    /**
     * Identity of this entry towards its peers.
     *
     * @param address address on which it accepts links
     * @param incarnation number that differs from that of every earlier start of this entry
     */
    public record LocalEntry(String id, InetSocketAddress address, long incarnation) {}

    /** Last known state of a peer; the link is null if it went down. */
    private record Peer(Link link, long receivedAtMillis) {}
}
