package dev.wigeonward.core.schedule;

import java.util.List;
import java.util.Optional;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamFingerprintTest {
    private static Upstream upstream(String id, String address, String version, boolean draining) {
        return new Upstream(id, "app", address, "z1", version, 4, draining, Optional.of(1L));
    }

    /**
     * Guards against two sets passing for the same because a field moves from one upstream to another: an upstream that
     * drains in place of another one would get new requests from all entries that have seen the other one drain.
     */
    @Test
    void setsThatDifferInTheDrainingUpstreamHaveDifferentFingerprints() {
        long firstDrains = Upstream.fingerprint(
                List.of(upstream("i-1", "10.0.0.1:1", "1", true), upstream("i-2", "10.0.0.2:1", "1", false)));
        long secondDrains = Upstream.fingerprint(
                List.of(upstream("i-1", "10.0.0.1:1", "1", false), upstream("i-2", "10.0.0.2:1", "1", true)));

        assertThat(firstDrains).isNotEqualTo(secondDrains);
    }

    @Test
    void setsThatDifferInTheHolderOfAVersionHaveDifferentFingerprints() {
        long firstIsNewer = Upstream.fingerprint(
                List.of(upstream("i-1", "10.0.0.1:1", "2", false), upstream("i-2", "10.0.0.2:1", "1", false)));
        long secondIsNewer = Upstream.fingerprint(
                List.of(upstream("i-1", "10.0.0.1:1", "1", false), upstream("i-2", "10.0.0.2:1", "2", false)));

        assertThat(firstIsNewer).isNotEqualTo(secondIsNewer);
    }

    @Test
    void orderDoesNotCount() {
        Upstream one = upstream("i-1", "10.0.0.1:1", "1", false);
        Upstream other = upstream("i-2", "10.0.0.2:1", "1", true);

        assertThat(Upstream.fingerprint(List.of(one, other))).isEqualTo(Upstream.fingerprint(List.of(other, one)));
    }

    @Test
    void emptySetHasFingerprint() {
        assertThat(Upstream.fingerprint(List.of())).isNotZero();
    }

    /** Guards against fields that run into each other, such as an identifier that ends where the service begins. */
    @Property
    void equalFingerprintsMeanEqualUpstreams(@ForAll("upstreams") Upstream one, @ForAll("upstreams") Upstream other) {
        assertThat(Upstream.fingerprint(List.of(one)) == Upstream.fingerprint(List.of(other)))
                .isEqualTo(one.equals(other));
    }

    @Provide
    Arbitrary<Upstream> upstreams() {
        Arbitrary<String> text = Arbitraries.strings().withChars("ab").ofMaxLength(2);
        return Combinators.combine(
                        text, text, text, text, text, Arbitraries.integers().between(1, 2), Arbitraries.of(true, false))
                .as((id, service, address, zone, version, slots, draining) ->
                        new Upstream(id, service, address, zone, version, slots, draining, Optional.empty()));
    }
}
