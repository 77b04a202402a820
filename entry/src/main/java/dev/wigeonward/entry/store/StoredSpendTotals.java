package dev.wigeonward.entry.store;

import java.nio.charset.StandardCharsets;
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

    private final KeyValueStore store;

    /** Creates a spend store over a key-value store. */
    public StoredSpendTotals(KeyValueStore store) {
        this.store = store;
    }

    @Override
    public void write(SpendSnapshot snapshot) {
        String value = new String(Json.write(snapshot), StandardCharsets.UTF_8);
        store.commit(new Transaction(List.of(), List.of(new Write.Put(key(snapshot), value, 0))));
    }

    private static String key(SpendSnapshot snapshot) {
        return ROOT + snapshot.period() + "/" + snapshot.entryId();
    }

    @Override
    public void readAll(String period, Consumer<List<SpendSnapshot>> answer) {
        JsonEntries.readAll(
                store,
                ROOT + period + "/",
                entries -> entries.ifPresent(all -> answer.accept(all.stream()
                        .flatMap(
                                entry -> JsonEntries.parse(entry, SpendSnapshot.class, StoredSpendTotals::key).stream())
                        .toList())));
    }
}
