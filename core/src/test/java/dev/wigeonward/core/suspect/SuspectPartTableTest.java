package dev.wigeonward.core.suspect;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SuspectPartTableTest {
    private static final String VERSION = "v1";
    private static final long COMMON = 1;
    private static final long DEADLY = 2;
    private static final long OTHER = 3;
    private static final long FIRST_REFUSAL_MILLIS = 60_000;
    private static final long APART_MILLIS = 1_000;

    private final SuspectPartTable table = SuspectPartTable.withCapacity(100);
    private long nowMillis = 10_000;
    private int crashes;

    /** Lets one more upstream crash, some time after the last one. */
    private void crash(SuspectPartTable at, String version, Long... parts) {
        nowMillis += APART_MILLIS;
        crashNow(at, version, parts);
    }

    private List<SuspectPartFact> crashNow(SuspectPartTable at, String version, Long... parts) {
        crashes++;
        return at.onUpstreamCrashed(
                List.of(parts), version, new UpstreamCrash("u" + crashes + "/1", 100 + crashes, 0), nowMillis);
    }

    private void answer(SuspectPartTable at, String version, Long... parts) {
        nowMillis += 10;
        at.onAnswering(List.of(parts), version, nowMillis, nowMillis);
    }

    /** Lets upstreams crash under the parts while they answer other requests. */
    private void refuse(SuspectPartTable at, String version, Long... parts) {
        for (int crash = 0; crash < 3; crash++) {
            crash(at, version, parts);
            answer(at, version, 99L);
        }
    }

    private boolean refused(Long... parts) {
        return refused(table, VERSION, parts);
    }

    private boolean refused(SuspectPartTable at, String version, Long... parts) {
        return at.refusedVersions(List.of(parts), nowMillis).contains(version);
    }

    /** Guards against requests with a deadly part that are never recognized because the rest of them differs. */
    @Test
    void partOfThreeCrashesIsRefused() {
        for (int crash = 0; crash < 2; crash++) {
            crash(table, VERSION, COMMON, DEADLY);
            answer(table, VERSION, COMMON);
            assertThat(refused(COMMON, DEADLY)).isFalse();
        }
        crash(table, VERSION, COMMON, DEADLY);
        answer(table, VERSION, COMMON);

        assertThat(refused(OTHER, DEADLY)).isTrue();
        assertThat(refused(COMMON)).isFalse();
    }

    /**
     * Guards against refusals of a sound part that was in all crashed requests: one with only that part is run, and its
     * answer shows which of the two is to blame.
     */
    @Test
    void partsWithEqualEvidenceAreToldApartByARequestWithOneOfThem() {
        refuse(table, VERSION, COMMON, DEADLY);
        assertThat(refused(COMMON, DEADLY)).isTrue();
        assertThat(refused(COMMON)).isFalse();

        answer(table, VERSION, COMMON);

        assertThat(refused(COMMON)).isFalse();
        assertThat(refused(DEADLY)).isTrue();
    }

    /** Guards against a deadly part that hides behind another one that was in the same requests. */
    @Test
    void furtherCrashesUnderOnePartTellItFromTheOther() {
        refuse(table, VERSION, COMMON, DEADLY);
        crash(table, VERSION, DEADLY);
        crash(table, VERSION, DEADLY);
        assertThat(refused(DEADLY)).isTrue();
        assertThat(refused(COMMON)).isFalse();
    }

    /** Guards against bad luck with a part of nearly all requests, which would refuse a whole route. */
    @Test
    void partThatIsAnsweredIsNeverRefused() {
        for (int crash = 0; crash < 50; crash++) {
            crash(table, VERSION, COMMON);
            answer(table, VERSION, COMMON);
            answer(table, VERSION, OTHER);
        }
        assertThat(refused(COMMON)).isFalse();
    }

    /** Guards against the loss of a zone, in which a part was in requests at several upstreams at the same time. */
    @Test
    void upstreamsThatEndTogetherCountAsOne() {
        for (int upstream = 0; upstream < 10; upstream++) {
            nowMillis += 20;
            crashNow(table, VERSION, COMMON);
        }
        answer(table, VERSION, OTHER);
        assertThat(refused(COMMON)).isFalse();
    }

    /** Guards against the loss of all upstreams, after which nothing would be served any more. */
    @Test
    void partIsNotRefusedWhileNothingIsAnswered() {
        for (int crash = 0; crash < 5; crash++) {
            crash(table, VERSION, COMMON);
        }
        assertThat(refused(COMMON)).isFalse();
        answer(table, VERSION, COMMON);
        answer(table, VERSION, OTHER);
        assertThat(refused(COMMON)).isFalse();
    }

    /** Guards against one deadly request, sent again and again, that brings the parts it shares into suspicion. */
    @Test
    void oneRequestAloneDoesNotCondemnItsParts() {
        for (int crash = 0; crash < 5; crash++) {
            nowMillis += APART_MILLIS;
            table.onUpstreamCrashed(List.of(COMMON), VERSION, new UpstreamCrash("u" + crash + "/1", 7, 0), nowMillis);
            answer(table, VERSION, OTHER);
        }
        assertThat(refused(COMMON)).isFalse();
    }

    /** Guards against a sound part of requests that were hit by the crashes of a deadly one. */
    @Test
    void crashesThatARefusedPartExplainsDoNotCount() {
        for (int crash = 0; crash < 6; crash++) {
            crash(table, VERSION, DEADLY);
            answer(table, VERSION, 99L);
            if (crash >= 3) {
                table.onUpstreamCrashed(
                        List.of(OTHER), VERSION, new UpstreamCrash("u" + crashes + "/1", 500 + crash, 0), nowMillis);
            }
        }
        assertThat(refused(DEADLY)).isTrue();
        assertThat(refused(OTHER)).isFalse();
    }

    /** Guards against a part that stays refused for good, and against many crashes after each refusal. */
    @Test
    void refusalEndsAndOneMoreCrashDoublesIt() {
        refuse(table, VERSION, DEADLY);
        nowMillis += FIRST_REFUSAL_MILLIS;
        assertThat(refused(DEADLY)).isFalse();

        crash(table, VERSION, DEADLY);
        answer(table, VERSION, OTHER);
        assertThat(refused(DEADLY)).isTrue();
        nowMillis += FIRST_REFUSAL_MILLIS;
        assertThat(refused(DEADLY)).isTrue();
        nowMillis += FIRST_REFUSAL_MILLIS;
        assertThat(refused(DEADLY)).isFalse();
    }

    /** Guards against a refusal that outlasts the version that a part crashes, and against further versions it ends. */
    @Test
    void anotherVersionMayRunThePartUntilItCrashes() {
        refuse(table, "v1", DEADLY);
        assertThat(refused(table, "v2", DEADLY)).isFalse();
        crash(table, "v2", DEADLY);
        answer(table, "v2", OTHER);
        assertThat(refused(table, "v2", DEADLY)).isTrue();
        answer(table, "v3", DEADLY);
        assertThat(refused(table, "v3", DEADLY)).isFalse();
    }

    /** Guards against an answer that began before the crashes and does not refute them. */
    @Test
    void earlierAnswersDoNotClearAPart() {
        long beganAtMillis = nowMillis;
        refuse(table, VERSION, DEADLY);
        table.onAnswering(List.of(DEADLY), VERSION, beganAtMillis, nowMillis);
        assertThat(refused(DEADLY)).isTrue();
    }

    /** Guards against a peer that restores evidence which an answer at another entry has refuted. */
    @Test
    void refutedCrashesStayRefuted() {
        SuspectPartTable peer = SuspectPartTable.withCapacity(100);
        refuse(table, VERSION, DEADLY);
        peer.mergeAll(table.facts(nowMillis), nowMillis);
        assertThat(refused(peer, VERSION, DEADLY)).isTrue();

        nowMillis += 10;
        List<SuspectPartFact> stale = table.facts(nowMillis);
        List<SuspectPartFact> refuting = table.onAnswering(List.of(DEADLY), VERSION, nowMillis, nowMillis);
        peer.mergeAll(refuting, nowMillis);
        peer.mergeAll(stale, nowMillis);

        assertThat(refused(peer, VERSION, DEADLY)).isFalse();
        assertThat(refused(DEADLY)).isFalse();
    }

    /** Guards against crashes observed by different entries that are not added up, in any order of the reports. */
    @Test
    void evidenceOfSeveralEntriesAddsUp() {
        List<SuspectPartTable> entries =
                List.of(table, SuspectPartTable.withCapacity(100), SuspectPartTable.withCapacity(100));
        entries.forEach(entry -> crash(entry, VERSION, DEADLY, COMMON));
        List<SuspectPartFact> facts = new ArrayList<>();
        entries.forEach(entry -> facts.addAll(entry.facts(nowMillis)));
        for (SuspectPartTable entry : entries) {
            Collections.shuffle(facts, new Random(entries.indexOf(entry)));
            facts.forEach(fact -> entry.mergeAll(List.of(fact), nowMillis));
            answer(entry, VERSION, COMMON);
            assertThat(refused(entry, VERSION, DEADLY)).isTrue();
            assertThat(refused(entry, VERSION, COMMON)).isFalse();
        }
    }

    /** Guards against two entries that report the same restriction to each other forever. */
    @Test
    void knownFactsAreNotForwardedAgain() {
        SuspectPartTable peer = SuspectPartTable.withCapacity(100);
        refuse(table, VERSION, DEADLY);
        assertThat(peer.mergeAll(table.facts(nowMillis), nowMillis)).isNotEmpty();
        nowMillis += 5;
        assertThat(table.mergeAll(peer.facts(nowMillis), nowMillis)).isEmpty();
        assertThat(peer.mergeAll(table.facts(nowMillis), nowMillis)).isEmpty();
    }

    /** Guards against a caller that invents parts: memory stays bounded, and a deadly part is still found. */
    @Test
    void inventedPartsDisplaceNoPartWithMoreCrashes() {
        crash(table, VERSION, DEADLY);
        crash(table, VERSION, DEADLY);
        for (int request = 0; request < 50; request++) {
            nowMillis += APART_MILLIS;
            Long[] invented = LongStream.range(0, 2_000)
                    .mapToObj(part -> 1_000 + nowMillis * 10_000 + part)
                    .toArray(Long[]::new);
            crashNow(table, VERSION, invented);
            assertThat(table.size()).isLessThanOrEqualTo(100);
        }
        crash(table, VERSION, DEADLY);
        answer(table, VERSION, OTHER);
        assertThat(refused(DEADLY)).isTrue();
        assertThat(table.refusedVersions(Set.of(OTHER), nowMillis)).isEmpty();
    }
}
