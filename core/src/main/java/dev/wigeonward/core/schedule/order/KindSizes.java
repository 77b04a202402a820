package dev.wigeonward.core.schedule.order;

import dev.wigeonward.core.schedule.ScheduledRequest;
import dev.wigeonward.core.share.ServedRatios;
import dev.wigeonward.core.share.SizeBands;

/** Sizes of the requests of one kind, with the parts of them that are served. */
final class KindSizes {
    private final SizeBands bounds = SizeBands.create();
    private final ServedRatios<SizeBands.Band> ratios = ServedRatios.create();

    SizeBands.Band add(ScheduledRequest request) {
        return bounds.add(request.promptTokens() + request.expectedOutputTokens());
    }

    boolean isBelow(SizeBands.Band band, double fraction) {
        return ratios.isBelow(band, fraction);
    }

    void onOutcome(SizeBands.Band band, boolean served) {
        ratios.onOutcome(band, served);
    }
}
