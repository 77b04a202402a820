package dev.wigeonward.common.vms;

import java.io.IOException;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class VmListAnswerTest {
    private static final String SOUND =
            """
            {"id":"%s","role":"agent","address":"127.0.0.1:7000","failure_domain":"fd1","state":"live"}""";

    private static VmSnapshot apply(VmSnapshot current, boolean full, String... vms) throws IOException {
        return VmListAnswer.apply(
                current,
                "{\"version\":%d,\"full\":%s,\"vms\":[%s]}"
                        .formatted(current.version() + 1, full, String.join(",", vms)));
    }

    /** Guards against a VM of another writer that cannot be read and keeps the whole list from being followed. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "null",
                "[]",
                "7",
                "{\"role\":\"agent\",\"address\":\"127.0.0.1:1\",\"failure_domain\":\"fd1\",\"state\":\"live\"}",
                "{\"id\":\"\",\"role\":\"agent\",\"address\":\"127.0.0.1:1\",\"failure_domain\":\"f\",\"state\":\"live\"}",
                "{\"id\":null,\"role\":\"agent\",\"address\":\"127.0.0.1:1\",\"failure_domain\":\"f\",\"state\":\"live\"}",
                "{\"id\":7,\"role\":\"agent\",\"address\":\"127.0.0.1:1\",\"failure_domain\":\"f\",\"state\":\"live\"}",
                "{\"id\":\"x\",\"role\":\"\",\"address\":\"127.0.0.1:1\",\"failure_domain\":\"f\",\"state\":\"live\"}",
                "{\"id\":\"x\",\"role\":[],\"address\":\"127.0.0.1:1\",\"failure_domain\":\"f\",\"state\":\"live\"}",
                "{\"id\":\"x\",\"role\":\"agent\",\"address\":\"127.0.0.1\",\"failure_domain\":\"f\",\"state\":\"live\"}",
                "{\"id\":\"x\",\"role\":\"agent\",\"address\":\"a.example:1\",\"failure_domain\":\"f\",\"state\":\"live\"}",
                "{\"id\":\"x\",\"role\":\"agent\",\"address\":\"127.0.0.1:0\",\"failure_domain\":\"f\",\"state\":\"live\"}",
                "{\"id\":\"x\",\"role\":\"agent\",\"address\":\"127.0.0.1:1\",\"failure_domain\":5,\"state\":\"live\"}",
                "{\"id\":\"x\",\"role\":\"agent\",\"address\":\"127.0.0.1:1\",\"failure_domain\":\"f\",\"state\":\"idle\"}",
                "{\"id\":\"x\",\"role\":\"agent\",\"address\":\"127.0.0.1:1\",\"failure_domain\":\"f\"}",
            })
    void vmsBesideUnreadableOneAreListed(String unreadable) throws IOException {
        VmSnapshot whole = apply(VmSnapshot.empty(), true, SOUND.formatted("a"), unreadable, SOUND.formatted("b"));
        VmSnapshot changed = apply(whole, false, unreadable, SOUND.formatted("c"));

        assertThat(whole.vms()).containsOnlyKeys("a", "b");
        assertThat(changed.vms()).containsOnlyKeys("a", "b", "c");
    }

    /** Guards against a VM that stays in the list as it was, after its entry has become unreadable. */
    @Test
    void vmWhoseEntryBecomesUnreadableIsLeftOut() throws IOException {
        VmSnapshot before = apply(VmSnapshot.empty(), true, SOUND.formatted("a"), SOUND.formatted("b"));
        VmSnapshot after = apply(before, false, SOUND.formatted("a").replace("live", "idle"));

        assertThat(after.vms()).containsOnlyKeys("b");
    }

    /** Guards against VMs that are left out because the check of their entries is too strict. */
    @Test
    void statesAndAddressesOfBothFamiliesAreRead() throws IOException {
        String sixth = SOUND.formatted("six").replace("127.0.0.1:7000", "[::1]:7000");
        VmSnapshot list =
                apply(VmSnapshot.empty(), true, sixth, SOUND.formatted("a b&c").replace("live", "leaving"));

        assertThat(list.vms().get("six").address().getPort()).isEqualTo(7000);
        assertThat(list.vms().get("a b&c").state()).isEqualTo(Vm.State.LEAVING);
        assertThat(apply(list, false, "{\"id\":\"six\",\"state\":\"gone\"}").vms())
                .isEqualTo(Map.of("a b&c", list.vms().get("a b&c")));
    }
}
