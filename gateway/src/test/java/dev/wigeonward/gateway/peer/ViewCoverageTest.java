package dev.wigeonward.gateway.peer;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ViewCoverageTest {
    private final ViewCoverage coverage = new ViewCoverage();

    /** Guards against an entry that asks once, gets no answer, and does not ask again. */
    @Test
    void peerStaysAheadUntilItsViewIsMerged() {
        assertThat(coverage.onAnnounced("a", 7)).isTrue();
        assertThat(coverage.onAnnounced("a", 7)).isTrue();
        assertThat(coverage.anyAhead()).isTrue();

        coverage.addCovered(7);

        assertThat(coverage.anyAhead()).isFalse();
        assertThat(coverage.onAnnounced("a", 7)).isFalse();
    }

    /** Guards against requests without end to a peer that holds less, such as one that is frozen. */
    @Test
    void peerWithAnEarlierStateOfThisEntryIsNotAhead() {
        coverage.addCovered(1);
        coverage.addCovered(2);

        assertThat(coverage.onAnnounced("a", 1)).isFalse();
    }

    /** Guards against a peer that takes the lead again unnoticed. */
    @Test
    void newFingerprintOfMergedPeerIsAhead() {
        coverage.addCovered(1);
        coverage.onAnnounced("a", 1);

        assertThat(coverage.onAnnounced("a", 2)).isTrue();
    }

    @Test
    void peerWhoseLinkWentDownIsNotAhead() {
        coverage.onAnnounced("a", 7);
        coverage.removePeer("a");

        assertThat(coverage.anyAhead()).isFalse();
    }

    @Test
    void peerWithoutFingerprintIsNotAhead() {
        assertThat(coverage.onAnnounced("a", 0)).isFalse();
    }

    /** Guards against memory that grows with the number of changes. */
    @Test
    void forgottenFingerprintCostsOneMoreRequest() {
        for (long fingerprint = 1; fingerprint <= 1_000; fingerprint++) {
            coverage.addCovered(fingerprint);
        }

        assertThat(coverage.onAnnounced("a", 1)).isTrue();
        assertThat(coverage.onAnnounced("a", 1_000)).isFalse();
    }
}
