package dev.wigeonward.gateway.upstream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class RequestIdHistoryTest {
    /** Guards against an identifier that is forgotten among those of as many requests as a connection may carry. */
    @Test
    void containsEveryIdentifierOfAConnection() {
        RequestIdHistory history = new RequestIdHistory();
        for (int index = 0; index < UpstreamConnection.MAX_REQUESTS; index++) {
            assertThat(history.add("request-" + index)).isFalse();
        }
        for (int index = 0; index < UpstreamConnection.MAX_REQUESTS; index++) {
            assertThat(history.mayContain("request-" + index)).isTrue();
        }
        assertThat(history.mayContain("another")).isFalse();
    }

    /** Guards against identifiers with one hash code of which the second is taken for a new one. */
    @Test
    void identifiersWithOneHashCodeCountAsOne() {
        RequestIdHistory history = new RequestIdHistory();
        history.add("Aa");

        assertThat("Aa".hashCode()).isEqualTo("BB".hashCode());
        assertThat(history.mayContain("BB")).isTrue();
    }

    @Test
    void useOfAConnectionIsChecked() {
        assertThat(new ConnectionUse(3, 0, false).isFirst()).isTrue();
        assertThat(new ConnectionUse(3, 1, true).describe())
                .isEqualTo("connection=3 earlier_requests=1 same_id_before=true");
        assertThatThrownBy(() -> new ConnectionUse(3, 0, true)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new ConnectionUse(3, -1, false)).isInstanceOf(IllegalArgumentException.class);
    }
}
