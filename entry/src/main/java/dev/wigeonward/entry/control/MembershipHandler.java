package dev.wigeonward.entry.control;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import dev.wigeonward.common.vms.Vm;
import dev.wigeonward.common.vms.VmSnapshot;
import dev.wigeonward.core.dispatch.EntryEvent;
import dev.wigeonward.core.membership.ListedVm;
import dev.wigeonward.core.membership.MembershipEffect;
import dev.wigeonward.core.membership.MembershipEvent;
import dev.wigeonward.core.membership.UpstreamMembership;
import dev.wigeonward.core.placement.UpstreamDescription;

/** Keeps links to the agents of the entry's subset and stops new requests to agents that leave or are suspect. */
final class MembershipHandler {
    private static final Logger LOG = System.getLogger(MembershipHandler.class.getName());
    private static final String ENTRY_ROLE = "entry";

    private final UpstreamMembership membership;
    private final ControlPlaneLinks links;
    private final Map<String, Long> incarnations = new TreeMap<>();

    MembershipHandler(UpstreamMembership membership, ControlPlaneLinks links) {
        this.membership = membership;
        this.links = links;
    }

    void onVmsListed(VmSnapshot snapshot, long nowMillis) {
        List<ListedVm> vms = snapshot.vms().values().stream()
                .map(MembershipHandler::toListedVm)
                .toList();
        handle(new MembershipEvent.VmsListed(snapshot.version(), vms), nowMillis);
    }

    /**
     * Converts a VM of the list. The role of a VM is {@code entry}, or the name of the model or service that runs on
     * it.
     */
    private static ListedVm toListedVm(Vm vm) {
        boolean entry = vm.role().equals(ENTRY_ROLE);
        return new ListedVm(
                vm.id(),
                entry ? ListedVm.Role.ENTRY : ListedVm.Role.AGENT,
                entry ? "" : vm.role(),
                addressOf(vm),
                vm.state() == Vm.State.LEAVING);
    }

    /** Returns the address in the form that the links use, in which an IPv6 address has brackets. */
    private static String addressOf(Vm vm) {
        String host = InetAddresses.toAddrString(vm.address().getAddress());
        return HostAndPort.fromParts(host, vm.address().getPort()).toString();
    }

    void onLinkUp(UpstreamDescription upstream, long nowMillis) {
        incarnations.put(upstream.upstreamId(), upstream.incarnation());
        handle(new MembershipEvent.LinkUp(upstream.upstreamId(), upstream.incarnation()), nowMillis);
    }

    void onLinkDown(String upstreamId, long nowMillis) {
        handle(new MembershipEvent.LinkDown(upstreamId), nowMillis);
    }

    void onFrame(String upstreamId, boolean leaving, long nowMillis) {
        Long incarnation = incarnations.get(upstreamId);
        if (incarnation == null) {
            return;
        }
        handle(new MembershipEvent.FrameArrived(upstreamId, incarnation), nowMillis);
        if (leaving) {
            handle(new MembershipEvent.LeavingAnnounced(upstreamId, incarnation), nowMillis);
        }
    }

    void onTick(long nowMillis) {
        handle(new MembershipEvent.Tick(), nowMillis);
    }

    private void handle(MembershipEvent event, long nowMillis) {
        membership.handle(event, nowMillis).forEach(this::apply);
    }

    private void apply(MembershipEffect effect) {
        if (effect instanceof MembershipEffect.OpenLink open) {
            links.connect(open.upstreamId(), open.address());
        } else if (effect instanceof MembershipEffect.CloseLink close) {
            links.dispatch(new EntryEvent.UpstreamLeaving(close.upstreamId()));
            links.disconnectWhenIdle(close.upstreamId());
        } else if (effect instanceof MembershipEffect.StopDispatch stop) {
            LOG.log(
                    Level.WARNING,
                    "no new requests go to upstream {0}: its state is {1}",
                    stop.upstreamId(),
                    stop.state());
            stopDispatch(stop);
        } else {
            LOG.log(Level.DEBUG, "membership effect without action: {0}", effect);
        }
    }

    private void stopDispatch(MembershipEffect.StopDispatch stop) {
        switch (stop.state()) {
            case SUSPECT -> links.disconnect(stop.upstreamId());
            // The dispatcher received the new incarnation when the link came up.
            case REPLACED -> LOG.log(Level.INFO, "upstream {0} was replaced by a new incarnation", stop.upstreamId());
            default -> links.dispatch(new EntryEvent.UpstreamLeaving(stop.upstreamId()));
        }
    }
}
