package dev.wigeonward.common.vms;

import java.io.IOException;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
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

    private static void assertOthersAreListedBeside(String unreadable) throws IOException {
        VmSnapshot whole = apply(VmSnapshot.empty(), true, SOUND.formatted("a"), unreadable, SOUND.formatted("b"));
        VmSnapshot changed = apply(whole, false, unreadable, SOUND.formatted("c"));

        assertThat(whole.vms()).containsOnlyKeys("a", "b");
        assertThat(changed.vms()).containsOnlyKeys("a", "b", "c");
    }

    /** Guards against a VM of another writer that cannot be read and keeps the whole list from being followed. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"id\":\"odd\",|",
                "\"id\":\"odd\"|\"id\":\"\"",
                "\"id\":\"odd\"|\"id\":null",
                "\"id\":\"odd\"|\"id\":7",
                "\"role\":\"agent\"|\"role\":\"\"",
                "\"role\":\"agent\"|\"role\":[]",
                "127.0.0.1:7000|127.0.0.1",
                "127.0.0.1:7000|127.0.0.1:0",
                "127.0.0.1:7000|127.0.0.1:x&y+#%",
                "127.0.0.1:7000|host.example:7000",
                "\"failure_domain\":\"fd1\"|\"failure_domain\":5",
                "\"state\":\"live\"|\"state\":\"idle\"",
                "\"state\":\"live\"|\"other\":\"live\"",
            })
    void vmsBesideOneWithInvalidFieldAreListed(String valid, String invalid) throws IOException {
        assertOthersAreListedBeside(SOUND.formatted("odd").replace(valid, invalid == null ? "" : invalid));
    }

    /** Guards against an element of another kind in the list that keeps the VMs from being followed. */
    @ParameterizedTest
    @ValueSource(strings = {"{}", "null", "[]", "7"})
    void vmsBesideElementOfAnotherKindAreListed(String element) throws IOException {
        assertOthersAreListedBeside(element);
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
