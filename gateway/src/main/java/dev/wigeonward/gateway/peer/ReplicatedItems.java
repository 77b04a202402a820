package dev.wigeonward.gateway.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import dev.wigeonward.core.revision.Fingerprint;
import dev.wigeonward.core.revision.StoreRevision;
import dev.wigeonward.gateway.port.SharedStoreView.Item;

/**
 * Latest known revision of each item that all entries are to hold, such as rollout orders and rollout states. A removed
 * item is kept without its value, so that an entry which missed the removal cannot bring the item back. Revisions are
 * store revisions as one number, so that an item of a later era replaces one of an earlier era.
 *
 * <p>Merging is commutative, associative and idempotent, so entries that exchange their items in any order end up with
 * the same ones. There is one item for each key, whatever the number of its revisions. Not thread-safe.
 */
public final class ReplicatedItems {
    private final TreeMap<String, Item> items = new TreeMap<>();
    private Optional<Long> fingerprint = Optional.empty();

    /** Adopts the item unless the same or a later revision of it is known, and returns whether it was adopted. */
    public boolean merge(Item item) {
        Item known = items.get(item.key());
        if (known != null && known.revision() >= item.revision()) {
            return false;
        }
        items.put(item.key(), item);
        fingerprint = Optional.empty();
        return true;
    }

    /**
     * Removes the known items whose keys start with the prefix and are not present in a complete list that was read at
     * the given revision. Items of later revisions stay.
     *
     * @param keepsEarlierEras whether items of earlier eras than the list stay as well, because the copy from which the
     *     store has returned may lack them
     * @return the removed items, without their values
     */
    public List<Item> mergeAbsent(String prefix, Set<String> presentKeys, long listRevision, boolean keepsEarlierEras) {
        List<Item> removed = new ArrayList<>();
        for (Item item : List.copyOf(items.values())) {
            boolean kept = keepsEarlierEras && !StoreRevision.sameEra(item.revision(), listRevision);
            boolean absent = !kept && item.key().startsWith(prefix) && !presentKeys.contains(item.key());
            Item removal = new Item(item.key(), Optional.empty(), listRevision);
            if (absent && item.value().isPresent() && merge(removal)) {
                removed.add(removal);
            }
        }
        return removed;
    }

    /** Returns the items, among them removed ones. */
    public List<Item> items() {
        return List.copyOf(items.values());
    }

    /**
     * Returns a fingerprint of the keys and revisions of all items. Its size does not depend on their number.
     */
    public long fingerprint() {
        if (fingerprint.isEmpty()) {
            fingerprint = Optional.of(Fingerprint.start()
                    .addAll(items(), (fields, item) -> fields.add(item.key())
                            .add(item.revision())
                            .add(item.value().isPresent()))
                    .value());
        }
        return fingerprint.get();
    }
}
