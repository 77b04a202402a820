package dev.wigeonward.exchange;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

import dev.wigeonward.core.revision.RelayEffect;
import dev.wigeonward.core.revision.RelayEvent;
import dev.wigeonward.core.revision.Revision;
import dev.wigeonward.core.revision.RevisionLog;
import dev.wigeonward.core.revision.RevisionRelay;
import dev.wigeonward.core.revision.RevisionStore;
import dev.wigeonward.wire.generated.Frame;
import dev.wigeonward.wire.generated.Heartbeat;

/**
 * Connects the revision relay of a process to its links: converts frames to relay events and executes the effects that
 * the relay returns. Not thread-safe; used on the decision thread only.
 */
public final class RevisionSync {
    private static final Logger LOG = System.getLogger(RevisionSync.class.getName());

    private final RevisionLog log;
    private final RevisionRelay relay;
    private final FrameSender sender;
    private final Consumer<Revision> adoptionListener;
    private final Map<String, Long> reportedNumbers = new TreeMap<>();

    /**
     * Creates a synchronizer that has no revision yet.
     *
     * @param adoptionListener called with each revision that comes into force
     */
    public RevisionSync(RevisionLog log, RevisionRelay relay, FrameSender sender, Consumer<Revision> adoptionListener) {
        this.log = log;
        this.relay = relay;
        this.sender = sender;
        this.adoptionListener = adoptionListener;
    }

    /** Offers the revision in force to a newly linked peer. */
    public void onLinkUp(String peer, long nowMillis) {
        handle(new RelayEvent.LinkUp(peer), nowMillis);
    }

    /** Removes the state that is kept for a peer. */
    public void onLinkDown(String peer, long nowMillis) {
        reportedNumbers.remove(peer);
        handle(new RelayEvent.LinkDown(peer), nowMillis);
    }

    /**
     * Handles a frame of a peer: records the revision that a heartbeat reports and hands revision messages to the
     * relay. Ignores other frames and heartbeats that report no revision; logs and drops malformed messages.
     */
    public void onFrame(String peer, Frame frame, long nowMillis) {
        if (frame.hasHeartbeat()) {
            reportedNumbers.put(peer, frame.getHeartbeat().getRevision());
            boolean hasNoRevision = frame.getHeartbeat().getRevision() == 0;
            if (hasNoRevision) {
                return;
            }
        }
        Optional<RelayEvent> event;
        try {
            event = RevisionCodec.event(peer, frame);
        } catch (IllegalArgumentException | ArithmeticException e) {
            LOG.log(Level.WARNING, "dropped a malformed revision message from peer {0}: {1}", peer, e.getMessage());
            return;
        }
        event.ifPresent(message -> handle(message, nowMillis));
    }

    /** Handles the result of reading the newest revision from the store. */
    public void onHeadRead(RevisionStore.HeadResult result, long nowMillis) {
        handle(new RelayEvent.StoreReadCompleted(result), nowMillis);
    }

    /** Handles a timer tick: repeats the requests whose answers are overdue. */
    public void onTick(long nowMillis) {
        handle(new RelayEvent.Tick(), nowMillis);
    }

    /** Returns the number of the revision in force, or 0 if there is none. */
    public long currentNumber() {
        return log.number();
    }

    /** Returns the number of the revision that each linked peer reported last, by peer. */
    public Map<String, Long> reportedNumbers() {
        return Map.copyOf(reportedNumbers);
    }

    /**
     * Sets the number of the revision in force in a heartbeat. The hash is sent in offers only: its 64 hexadecimal
     * digits in every heartbeat would raise the heartbeat traffic of an entry with 78 links to 13 KB/s.
     */
    public void addTo(Heartbeat.Builder heartbeat) {
        heartbeat.setRevision(log.number());
    }

    private void handle(RelayEvent event, long nowMillis) {
        List<RelayEffect> effects = relay.handle(event, nowMillis);
        effects.forEach(this::execute);
    }

    private void execute(RelayEffect effect) {
        if (effect instanceof RelayEffect.SendOffer send) {
            sender.send(send.peer(), RevisionCodec.offer(send.number(), send.hash()));
        } else if (effect instanceof RelayEffect.SendRequest send) {
            sender.send(send.peer(), RevisionCodec.request(send.baseNumber(), send.baseHash()));
        } else if (effect instanceof RelayEffect.SendDelta send) {
            sender.send(send.peer(), RevisionCodec.delta(send.delta()));
        } else if (effect instanceof RelayEffect.SendSnapshotPart send) {
            sender.send(send.peer(), RevisionCodec.snapshotPart(send.part()));
        } else if (effect instanceof RelayEffect.Adopt adopt) {
            LOG.log(Level.INFO, "revision {0} is in force", adopt.revision().number());
            adoptionListener.accept(adopt.revision());
        } else {
            LOG.log(Level.WARNING, "revision relay reported: {0}", effect);
        }
    }
}
