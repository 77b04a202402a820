package dev.wigeonward.core.coordination;

import java.util.LinkedHashMap;
import java.util.Map;

import dev.wigeonward.core.schedule.ScheduledRequest;

/** What a member knows of one entry that it asks: its open asks and whether that entry answers. Not thread-safe. */
final class CoordinatorLink {
    /** Silence of an entry that holds asks of this one after which they are taken back. */
    private static final long MAX_BEAT_SILENCE_MILLIS = 200;
    /** Time for which a lost coordinator has to be heard before it is asked again. */
    private static final long TRUST_MILLIS = 500;

    /** Open asks by number, the one that was sent first at the head. */
    private final Map<Long, OpenAsk> open = new LinkedHashMap<>();

    private long answeredAtMillis = Long.MIN_VALUE / 2;
    private long heardAtMillis = Long.MIN_VALUE / 2;
    private long heardSinceMillis = Long.MIN_VALUE / 2;
    private boolean lost;

    Map<Long, OpenAsk> open() {
        return open;
    }

    /** Records an answer or a beat. */
    void onAnswer(long nowMillis) {
        answeredAtMillis = nowMillis;
    }

    /** Records any message of the entry; a lost one is trusted again when it has been heard long enough. */
    void onHeard(long nowMillis) {
        if (nowMillis - heardAtMillis >= CoordinatorChoice.MAX_SILENCE_MILLIS) {
            heardSinceMillis = nowMillis;
        }
        heardAtMillis = nowMillis;
        lost &= heardAtMillis - heardSinceMillis < TRUST_MILLIS;
    }

    /** Returns whether the entry holds asks and has sent neither an answer nor a beat for too long. */
    boolean silent(long checkableSinceMillis, long nowMillis) {
        if (open.isEmpty()) {
            return false;
        }
        long askedAtMillis = open.values().iterator().next().sentAtMillis;
        long since = Math.max(checkableSinceMillis, Math.max(answeredAtMillis, askedAtMillis));
        return nowMillis - since >= MAX_BEAT_SILENCE_MILLIS;
    }

    void markLost() {
        lost = true;
        heardAtMillis = Long.MIN_VALUE / 2;
    }

    boolean lost() {
        return lost;
    }

    /** An ask without an answer. */
    record OpenAsk(long number, String service, ScheduledRequest request, long sentAtMillis) {}
}
