package dev.wigeonward.gateway.peer;

import java.util.Map;

import dev.wigeonward.core.rollout.BadVerdict;
import dev.wigeonward.core.rollout.ControllerStages;
import dev.wigeonward.exchange.FactListener;
import dev.wigeonward.exchange.FrameSender;
import dev.wigeonward.gateway.event.EventLog;
import dev.wigeonward.wire.Link;
import dev.wigeonward.wire.generated.Frame;

/** Sender of facts over the links of this entry, identified by their numbers, and logger of new facts. */
record FactLinks(Map<Long, Link> links, EventLog log) implements FrameSender, FactListener {
    /** Returns the name under which {@code FactSync} identifies a link. */
    static String name(Link link) {
        return String.valueOf(link.id());
    }

    @Override
    public void send(String peer, Frame frame) {
        Link link = links.get(Long.parseLong(peer));
        if (link != null) {
            link.send(frame);
        }
    }

    @Override
    public void sendToOthers(String exceptPeer, Frame frame) {
        links.values().stream().filter(link -> !name(link).equals(exceptPeer)).forEach(link -> link.send(frame));
    }

    @Override
    public void onBadVerdict(BadVerdict verdict) {
        log.info("version_bad", "version=" + verdict.version() + " reason=" + verdict.reason());
    }

    @Override
    public void onStages(ControllerStages stages) {
        log.info("stages", "fencing_number=" + stages.fencingNumber() + " sequence=" + stages.sequence());
    }
}
