package dev.wigeonward.core.membership;

import java.util.List;

import com.google.common.base.Preconditions;

/** What an entry's membership reacts to. */
public sealed interface MembershipEvent {
    /**
     * The VM list was read. It lags, so a reading is ignored when its sequence is not above the last one.
     *
     * @param sequence grows with each state of the list
     * @param vms all VMs of the entry's region
     */
    record VmsListed(long sequence, List<ListedVm> vms) implements MembershipEvent {
        public VmsListed {
            vms = List.copyOf(vms);
        }
    }

    /** An agent announced that it leaves. */
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

    /** Time passed. */
    record Tick() implements MembershipEvent {}
}
