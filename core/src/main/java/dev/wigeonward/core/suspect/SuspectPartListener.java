package dev.wigeonward.core.suspect;

/** Listener for changes of the restrictions on parts of prompts. */
public interface SuspectPartListener {
    /** Listener that ignores all changes. */
    SuspectPartListener NONE = new SuspectPartListener() {
        @Override
        public void onRefused(SuspectPartFact fact) {}

        @Override
        public void onCleared(SuspectPartKey key) {}
    };

    /** Called when requests with a part begin to be refused. */
    void onRefused(SuspectPartFact fact);

    /** Called when a part of which requests were refused has been cleared by an answer. */
    void onCleared(SuspectPartKey key);
}
