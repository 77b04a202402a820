package dev.wigeonward.core.membership;

import java.util.List;

import com.google.common.base.Preconditions;

/** An input of {@link UpstreamMembership}. */
public sealed interface MembershipEvent {
    /**
     * The VM list was read. The list lags, so a read is ignored unless its sequence is above the last one.
     *
     * @param sequence number that increases with each state of the list
     * @param vms all VMs of the entry's region
     */
    record VmsListed(long sequence, List<ListedVm> vms) implements MembershipEvent {
        public VmsListed {
            vms = List.copyOf(vms);
        }
    }

    /** An agent announced its departure. */
    record LeavingAnnounced(String upstreamId, long incarnation) implements MembershipEvent {
        public LeavingAnnounced {
            Preconditions.checkArgument(!upstreamId.isEmpty(), "upstreamId is empty");
        }
    }

    /** A link is up: the agent's Hello arrived on a new connection. */
    record LinkUp(String upstreamId, long incarnation) implements MembershipEvent {
        public LinkUp {
            Preconditions.checkArgument(!upstreamId.isEmpty(), "upstreamId is empty");
        }
    }

    /** The newest connection to the agent was lost or could not be opened. */
    record LinkDown(String upstreamId) implements MembershipEvent {
        public LinkDown {
            Preconditions.checkArgument(!upstreamId.isEmpty(), "upstreamId is empty");
        }
    }

    /** A frame arrived from the agent. */
    record FrameArrived(String upstreamId, long incarnation) implements MembershipEvent {
        public FrameArrived {
            Preconditions.checkArgument(!upstreamId.isEmpty(), "upstreamId is empty");
        }
    }

    /** A periodic timer fired. */
    record Tick() implements MembershipEvent {}
}
