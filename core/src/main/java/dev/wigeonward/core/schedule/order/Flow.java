package dev.wigeonward.core.schedule.order;

import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.share.SizeBands;

/** Waiting requests of one workspace and kind in order of arrival, of which the large ones can be found. */
final class Flow {
    /** Within a workspace, a band of large requests goes first below this fraction of the served ratio of its kind. */
    private static final double MIN_BAND_FRACTION = 0.85;

    private final String workspace;
    private final SortedSet<ScheduledRequest> requests = new TreeSet<>(ArrivalOrder.BY_ARRIVAL);
    private final Map<SizeBands.Band, SortedSet<ScheduledRequest>> largest = new EnumMap<>(SizeBands.Band.class);

    Flow(String workspace) {
        this.workspace = workspace;
        SizeBands.GUARDED.forEach(band -> largest.put(band, new TreeSet<>(ArrivalOrder.BY_ARRIVAL)));
    }

    String workspace() {
        return workspace;
    }

    SortedSet<ScheduledRequest> requests() {
        return requests;
    }

    void add(ScheduledRequest request, SizeBands.Band band) {
        requests.add(request);
        if (largest.containsKey(band)) {
            largest.get(band).add(request);
        }
    }

    boolean remove(ScheduledRequest request) {
        largest.values().forEach(band -> band.remove(request));
        return requests.remove(request);
    }

    /** Returns the first request of a band whose served ratio is below the fraction, or empty. */
    Optional<ScheduledRequest> firstOfBandBelow(double fraction, KindSizes sizes) {
        for (SizeBands.Band band : SizeBands.GUARDED) {
            if (!largest.get(band).isEmpty() && sizes.isBelow(band, fraction)) {
                return Optional.of(largest.get(band).first());
            }
        }
        return Optional.empty();
    }

    /** Returns the first requests, up to the given number. */
    List<ScheduledRequest> first(int count, KindSizes sizes) {
        Set<ScheduledRequest> first = new LinkedHashSet<>();
        firstOfBandBelow(MIN_BAND_FRACTION, sizes).ifPresent(first::add);
        for (ScheduledRequest request : requests) {
            if (first.size() >= count) {
                break;
            }
            first.add(request);
        }
        return List.copyOf(first);
    }
}
