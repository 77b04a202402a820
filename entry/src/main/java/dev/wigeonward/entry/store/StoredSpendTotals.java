package dev.wigeonward.entry.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import dev.wigeonward.common.http.Json;
import dev.wigeonward.common.store.KeyValueStore;
import dev.wigeonward.common.store.Transaction;
import dev.wigeonward.common.store.Write;
import dev.wigeonward.core.spend.SpendSnapshot;
import dev.wigeonward.entry.control.SpendStore;

/** A spend store that keeps totals as JSON under a key per period and entry. Each entry writes only its own key. */
public final class StoredSpendTotals implements SpendStore {
    private static final String ROOT = "/wigeonward/spend/";
    private static final int PAGE_ENTRIES = 500;

    private final KeyValueStore store;

    /** Creates a spend store over a key-value store. */
    public StoredSpendTotals(KeyValueStore store) {
        this.store = store;
    }

    @Override
    public void write(SpendSnapshot snapshot) {
        String key = ROOT + snapshot.period() + "/" + snapshot.entryId();
        String value = new String(Json.write(snapshot), StandardCharsets.UTF_8);
        store.commit(new Transaction(List.of(), List.of(new Write.Put(key, value, 0))));
    }

    @Override
    public void readAll(String period, Consumer<List<SpendSnapshot>> answer) {
        readFrom(ROOT + period + "/", "", new ArrayList<>(), answer);
    }

    private void readFrom(
            String prefix, String afterKey, List<SpendSnapshot> found, Consumer<List<SpendSnapshot>> answer) {
        store.range(prefix, afterKey, PAGE_ENTRIES)
                .thenAccept(result -> result.toOptional().ifPresent(page -> {
                    page.entries().forEach(entry -> JsonEntries.parse(entry, SpendSnapshot.class)
                            .ifPresent(found::add));
                    if (page.hasMore()) {
                        String lastKey =
                                page.entries().get(page.entries().size() - 1).key();
                        readFrom(prefix, lastKey, found, answer);
                    } else {
                        answer.accept(found);
                    }
                }));
    }
}
