package dev.wigeonward.core.schedule;

/** Policy that decides whether this entry may take a free slot of an upstream now. */
public interface SlotAccess {
    /** Policy that lets an entry take each slot that looks free; fits an entry without peers. */
    SlotAccess OPEN = (upstreamId, freeSlots, nowMillis) -> true;

    /** Returns whether this entry may take a slot of the upstream, of which the given number look free. */
    boolean mayTake(String upstreamId, int freeSlots, long nowMillis);
}
