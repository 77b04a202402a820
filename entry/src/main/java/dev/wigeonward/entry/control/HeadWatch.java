package dev.wigeonward.entry.control;

/** A watch on the newest revision in the store, which can be switched off. */
public interface HeadWatch {
    /** Starts or stops to watch. */
    void setActive(boolean active);

    /** Returns a watch without a store. */
    static HeadWatch none() {
        return active -> {};
    }
}
