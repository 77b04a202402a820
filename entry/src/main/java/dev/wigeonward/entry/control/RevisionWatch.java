package dev.wigeonward.entry.control;

/** A watch on the newest revision in the store that can be started and stopped. */
public interface RevisionWatch {
    /** Starts or stops the watch; has no effect if it already is in the given state. */
    void setActive(boolean active);

    /** Returns a watch that never reports a revision, for use without a store. */
    static RevisionWatch noOp() {
        return active -> {};
    }
}
