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

/** Runs the revision relay of a process over its links. Used by the decision thread only. */
public final class RevisionExchange {
    private static final Logger LOG = System.getLogger(RevisionExchange.class.getName());

    private final RevisionLog log;
    private final RevisionRelay relay;
    private final FrameSender sender;
    private final Consumer<Revision> adopted;
    private final Map<String, Long> numberByPeer = new TreeMap<>();

    /**
     * Returns an exchange without a revision.
     *
     * @param adopted hears of each revision that comes into force
     */
    public RevisionExchange(RevisionLog log, RevisionRelay relay, FrameSender sender, Consumer<Revision> adopted) {
        this.log = log;
        this.relay = relay;
        this.sender = sender;
        this.adopted = adopted;
    }

    /** Offers the own revision to a new peer. */
    public void onLinkUp(String peer, long nowMillis) {
        handle(new RelayEvent.LinkUp(peer), nowMillis);
    }

    /** Forgets what a peer has. */
    public void onLinkDown(String peer, long nowMillis) {
        numberByPeer.remove(peer);
        handle(new RelayEvent.LinkDown(peer), nowMillis);
    }

    /** Handles a frame of a peer; frames that do not concern revisions are ignored. */
    public void onFrame(String peer, Frame frame, long nowMillis) {
        if (frame.hasHeartbeat()) {
            numberByPeer.put(peer, frame.getHeartbeat().getRevision());
            boolean carriesNone = frame.getHeartbeat().getRevision() == 0;
            if (carriesNone) {
                return;
            }
        }
        Optional<RelayEvent> event;
        try {
            event = RevisionFrames.event(peer, frame);
        } catch (IllegalArgumentException | ArithmeticException e) {
            LOG.log(Level.WARNING, "malformed revision from {0}: {1}", peer, e.getMessage());
            return;
        }
        event.ifPresent(message -> handle(message, nowMillis));
    }

    /** Takes over what a reader of the store read. */
    public void onStoreRead(RevisionStore.HeadResult result, long nowMillis) {
        handle(new RelayEvent.StoreRead(result), nowMillis);
    }

    /** Asks again where an answer is overdue. */
    public void onTick(long nowMillis) {
        handle(new RelayEvent.Tick(), nowMillis);
    }

    /** Returns the number of the revision in force, 0 if there is none. */
    public long number() {
        return log.number();
    }

    /** Returns the revision that each linked peer reported last. */
    public Map<String, Long> numberByPeer() {
        return Map.copyOf(numberByPeer);
    }

    /**
     * Adds the revision in force to a heartbeat. The hash comes with offers only: as 64 hex digits in each heartbeat it
     * would take an entry with 78 links to 13 KB/s.
     */
    public void describe(Heartbeat.Builder heartbeat) {
        heartbeat.setRevision(log.number());
    }

    private void handle(RelayEvent event, long nowMillis) {
        List<RelayEffect> effects = relay.handle(event, nowMillis);
        effects.forEach(this::carryOut);
    }

    private void carryOut(RelayEffect effect) {
        if (effect instanceof RelayEffect.SendOffer send) {
            sender.send(send.peer(), RevisionFrames.offer(send.number(), send.hash()));
        } else if (effect instanceof RelayEffect.SendRequest send) {
            sender.send(send.peer(), RevisionFrames.request(send.haveNumber(), send.haveHash()));
        } else if (effect instanceof RelayEffect.SendDelta send) {
            sender.send(send.peer(), RevisionFrames.delta(send.delta()));
        } else if (effect instanceof RelayEffect.SendSnapshotPart send) {
            sender.send(send.peer(), RevisionFrames.snapshotPart(send.part()));
        } else if (effect instanceof RelayEffect.Adopt adopt) {
            LOG.log(Level.INFO, "revision {0} is in force", adopt.revision().number());
            adopted.accept(adopt.revision());
        } else {
            LOG.log(Level.WARNING, "revisions: {0}", effect);
        }
    }
}
