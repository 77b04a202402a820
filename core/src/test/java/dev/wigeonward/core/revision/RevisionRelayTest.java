package dev.wigeonward.core.revision;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RevisionRelayTest {
    private static final int MUTANT_SEEDS = 100;
    private static final Revision FIRST = Revision.of(1, "one\n", "ana", "test");
    private static final Revision SECOND = Revision.of(2, "one\ntwo\n", "ana", "test");
    private static final String OTHER_HASH = Revision.hashOf("other");

    /**
     * Guards against adoption of a lower number, adoption of a text that was never accepted, and relays that do not
     * reach the last revision after message loss, reordering, corruption, restarts and old reads of the store.
     */
    @Property(tries = 300)
    void keepsInvariantsUnderFaults(@ForAll long seed) {
        assertThat(RelaySimulation.run(AdoptionRules.STANDARD, true, seed)).isEmpty();
    }

    /** Guards against a simulation that does not detect the adoption of lower numbers: the mutant allows it. */
    @Test
    void simulationDetectsAdoptionOfLowerNumbers() {
        AdoptionRules mutant = new AdoptionRules() {
            @Override
            public boolean isHigher(long currentNumber, long candidate) {
                return candidate != currentNumber;
            }
        };
        assertThat(violations(mutant, true)).anyMatch(violation -> violation.startsWith("number went down"));
    }

    /** Guards against a simulation that does not detect corrupted texts: the mutant skips the hash check. */
    @Test
    void simulationDetectsAdoptionWithoutHashCheck() {
        AdoptionRules mutant = new AdoptionRules() {
            @Override
            public boolean hasMatchingHash(Revision revision) {
                return true;
            }
        };
        assertThat(violations(mutant, true)).anyMatch(violation -> violation.startsWith("text in force"));
    }

    /** Guards against a simulation that does not detect missing convergence: without timers nothing is retried. */
    @Test
    void simulationDetectsMissingRetries() {
        assertThat(violations(AdoptionRules.STANDARD, false)).anyMatch(violation -> violation.endsWith("converge"));
    }

    private static List<String> violations(AdoptionRules rules, boolean timersEnabled) {
        return LongStream.range(0, MUTANT_SEEDS)
                .mapToObj(seed -> RelaySimulation.run(rules, timersEnabled, seed))
                .flatMap(Optional::stream)
                .toList();
    }

    /**
     * Guards against the adoption of one of two texts with the same number, which may be the wrong one. The mutant
     * without the dispute check adopts the text that arrives first.
     */
    @Test
    void neitherOfTwoHashesIsAdoptedUntilTheStoreReturnsOne() {
        RevisionRelay relay = linkedRelay(AdoptionRules.STANDARD);
        assertThat(dispute(relay)).contains(new RelayEffect.ReportConflict(2, Set.of(SECOND.hash(), OTHER_HASH)));
        assertThat(relay.current()).contains(FIRST);
        assertThat(relay.disputedHashes()).containsOnlyKeys(2L);
        assertThat(relay.handle(storeReturns(SECOND), 20)).contains(new RelayEffect.Adopt(SECOND));

        RevisionRelay mutant = linkedRelay(new AdoptionRules() {
            @Override
            public boolean isDisputed(int hashesOfOneNumber) {
                return false;
            }
        });
        dispute(mutant);
        assertThat(mutant.current().map(Revision::number)).contains(2L);
    }

    /** Guards against a dispute about one number that also blocks the adoption of higher numbers. */
    @Test
    void higherRevisionSettlesDispute() {
        RevisionRelay relay = linkedRelay(AdoptionRules.STANDARD);
        dispute(relay);
        Revision third = Revision.of(3, "three\n", "ana", "test");
        assertThat(relay.handle(new RelayEvent.OfferArrived("a", 3, third.hash()), 30))
                .containsExactly(new RelayEffect.SendRequest("a", 1, FIRST.hash()));
        relay.handle(new RelayEvent.DeltaArrived("a", RevisionDelta.between(FIRST, third)), 40);
        assertThat(relay.current().map(Revision::number)).contains(3L);
    }

    private static RevisionRelay linkedRelay(AdoptionRules rules) {
        RevisionRelay relay = RevisionRelay.withRules(
                rules,
                RevisionLog.withRules(rules, 4, 1_000),
                RandomGeneratorFactory.of("L64X128MixRandom").create(1));
        relay.handle(new RelayEvent.LinkUp("a"), 0);
        relay.handle(new RelayEvent.LinkUp("b"), 0);
        relay.handle(storeReturns(FIRST), 0);
        return relay;
    }

    /** Offers the second revision from one peer and a different hash from the other before the text arrives. */
    private static List<RelayEffect> dispute(RevisionRelay relay) {
        relay.handle(new RelayEvent.OfferArrived("a", 2, SECOND.hash()), 1);
        List<RelayEffect> effects = relay.handle(new RelayEvent.OfferArrived("b", 2, OTHER_HASH), 2);
        relay.handle(new RelayEvent.DeltaArrived("a", RevisionDelta.between(FIRST, SECOND)), 3);
        return effects;
    }

    private static RelayEvent storeReturns(Revision revision) {
        return new RelayEvent.StoreReadCompleted(
                new RevisionStore.HeadResult.Found(new StoredRevision(revision, "id", 0)));
    }

    /**
     * Guards against processes that return to an old revision after the store lost writes, and against a regression
     * that is reported never or on every read instead of once.
     */
    @Test
    void reportsLowerNumberInStoreAndKeepsItsOwn() {
        RevisionRelay relay = linkedRelay(AdoptionRules.STANDARD);
        relay.handle(storeReturns(SECOND), 1);
        assertThat(relay.handle(storeReturns(FIRST), 2)).containsExactly(new RelayEffect.ReportStoreRegression(1, 2));
        assertThat(relay.handle(storeReturns(FIRST), 3)).isEmpty();
        assertThat(relay.current()).contains(SECOND);
    }

    /** Guards against texts over 256 KiB that are assembled wrongly when parts arrive reordered and repeated. */
    @Test
    void sendsLargestTextInParts() {
        String text = "é".repeat(450_000) + "\nend";
        Revision large = Revision.of(2, text, "ana", "test");
        RevisionRelay sender = linkedRelay(AdoptionRules.STANDARD);
        sender.handle(storeReturns(large), 1);
        List<RelayEffect> parts = sender.handle(new RelayEvent.RequestArrived("a", 0, ""), 2);
        assertThat(parts).hasSize(4);
        RevisionRelay receiver = linkedRelay(AdoptionRules.STANDARD);
        receiver.handle(new RelayEvent.OfferArrived("b", 2, large.hash()), 3);
        IntStream.of(3, 1, 1, 0, 2)
                .forEach(index -> receiver.handle(
                        new RelayEvent.SnapshotPartArrived(
                                "b", ((RelayEffect.SendSnapshotPart) parts.get(index)).part()),
                        4));
        assertThat(receiver.current().map(Revision::text)).contains(text);
    }

    /** Guards against a peer that never answers and thereby delays a revision that other peers could send. */
    @Test
    void requestsFromAnotherPeerAfterTimeout() {
        RevisionRelay relay = linkedRelay(AdoptionRules.STANDARD);
        List<RelayEffect> first = relay.handle(new RelayEvent.OfferArrived("a", 2, SECOND.hash()), 1);
        assertThat(relay.handle(new RelayEvent.HeartbeatArrived("b", 2, ""), 2)).isEmpty();
        assertThat(relay.handle(new RelayEvent.Tick(), 1 + RevisionRelay.ANSWER_TIMEOUT_MILLIS))
                .containsExactly(new RelayEffect.SendRequest("b", 1, FIRST.hash()));
        assertThat(first).containsExactly(new RelayEffect.SendRequest("a", 1, FIRST.hash()));
    }
}
