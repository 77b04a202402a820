package dev.wigeonward.core.membership;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EntryMembershipTest {
    private static final long REGISTRATION_MILLIS = 6_000;
    private static final long MAX_AGE_MILLIS = 1_500;

    private final EntryMembership membership = EntryMembership.of("own", REGISTRATION_MILLIS);

    private void readEachTwoSeconds(long fromMillis, long toMillis, Set<String> registered) {
        for (long now = fromMillis; now <= toMillis; now += 2_000) {
            membership.onRegistryRead(registered, now);
        }
    }

    /** Guards against an entry that is cut off and forgotten, after which both sides use the whole budget. */
    @Test
    void registeredEntryCountsHoweverLongItIsNotHeard() {
        membership.onHeard("peer", 0);
        readEachTwoSeconds(0, 600_000, Set.of("own", "peer"));

        assertThat(membership.known()).isEqualTo(2);
        assertThat(membership.heardWithin(MAX_AGE_MILLIS, 600_000)).isEqualTo(1);
    }

    /** Guards against a part of the budget that is kept for an entry that has gone. */
    @Test
    void entryThatIsMissingInTheRegistryIsForgotten() {
        membership.onHeard("peer", 0);
        readEachTwoSeconds(6_000, 8_000, Set.of("own"));
        assertThat(membership.known()).isEqualTo(2);

        membership.onRegistryRead(Set.of("own"), 10_000);

        assertThat(membership.known()).isEqualTo(1);
        assertThat(membership.startReadingIfDue(12_000)).isFalse();
    }

    /** Guards against entries that are forgotten because the registry lost their registrations while it was down. */
    @Test
    void unavailableRegistryStartsTheCountAnew() {
        membership.onHeard("peer", 0);
        readEachTwoSeconds(6_000, 8_000, Set.of("own"));
        membership.onRegistryFailed();
        readEachTwoSeconds(12_000, 14_000, Set.of("own"));
        assertThat(membership.known()).isEqualTo(2);

        membership.onRegistryRead(Set.of("own", "peer"), 16_000);
        readEachTwoSeconds(18_000, 20_000, Set.of("own"));

        assertThat(membership.known()).isEqualTo(2);
    }

    /** Guards against an entry that starts while it is cut off, knows no other and takes the whole budget. */
    @Test
    void startedEntryLearnsOthersFromTheRegistry() {
        assertThat(membership.startReadingIfDue(0)).isTrue();
        membership.onRegistryRead(Set.of("own", "a", "b"), 10);

        assertThat(membership.known()).isEqualTo(3);
        assertThat(membership.heardWithin(MAX_AGE_MILLIS, 20)).isEqualTo(1);
    }

    /** Guards against entries that peers still name long after they have gone, and that would count again and again. */
    @Test
    void toldEntriesCountOnlyUntilTheRegistryIsRead() {
        membership.onTold(List.of("own", "a"), 0);
        assertThat(membership.known()).isEqualTo(2);
        membership.onRegistryRead(Set.of("own"), 1_000);
        readEachTwoSeconds(6_000, 10_000, Set.of("own"));

        membership.onTold(List.of("a"), 12_000);

        assertThat(membership.known()).isEqualTo(1);
    }

    /** Guards against calls to the store while all entries hear each other. */
    @Test
    void registryIsNotReadWhileAllAreHeard() {
        membership.onRegistryRead(Set.of("own", "peer"), 0);
        for (long now = 0; now < 60_000; now += 1_000) {
            membership.onHeard("peer", now);
            assertThat(membership.startReadingIfDue(now)).isFalse();
        }
        assertThat(membership.startReadingIfDue(59_000 + REGISTRATION_MILLIS)).isTrue();
    }

    /**
     * Guards against readings in quick succession while registering fails: entries that a returned store has lost would
     * be missing in all of them, before they can register again.
     */
    @Test
    void readingsAreSpacedLikeRegistrations() {
        assertThat(membership.startReadingIfDue(0)).isTrue();
        assertThat(membership.startReadingIfDue(500)).isFalse();
        assertThat(membership.startReadingIfDue(1_999)).isFalse();
        assertThat(membership.startReadingIfDue(2_000)).isTrue();
    }

    /** Guards against an entry that came back and is forgotten because of its earlier absence. */
    @Test
    void entryThatIsHeardAgainIsKept() {
        membership.onHeard("peer", 0);
        readEachTwoSeconds(6_000, 8_000, Set.of("own"));
        membership.onHeard("peer", 9_000);
        membership.onRegistryRead(Set.of("own"), 10_000);

        assertThat(membership.known()).isEqualTo(2);
        assertThat(membership.heardWithin(MAX_AGE_MILLIS, 10_000)).isEqualTo(2);
    }
}
