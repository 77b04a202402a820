package dev.wigeonward.entry.store;

import java.util.function.Consumer;
import java.util.function.Function;

import dev.wigeonward.core.revision.RevisionStore;
import dev.wigeonward.entry.control.RevisionWatch;

/** A revision watch that opens the store's watch when it becomes active and closes it when it becomes inactive. */
final class StoreHeadWatch implements RevisionWatch {
    private final Function<Consumer<RevisionStore.HeadResult>, dev.wigeonward.common.store.RevisionHeadWatch> open;
    private final Consumer<RevisionStore.HeadResult> listener;
    private dev.wigeonward.common.store.RevisionHeadWatch watch;

    StoreHeadWatch(
            Function<Consumer<RevisionStore.HeadResult>, dev.wigeonward.common.store.RevisionHeadWatch> open,
            Consumer<RevisionStore.HeadResult> listener) {
        this.open = open;
        this.listener = listener;
    }

    @Override
    public void setActive(boolean active) {
        if (active == (watch != null)) {
            return;
        }
        if (active) {
            watch = open.apply(listener);
            return;
        }
        watch.close();
        watch = null;
    }
}
