package dev.wigeonward.common.settings;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class IniTextTest {
    /** Guards against values that are cut at a second equals sign, and against comments that are parsed as keys. */
    @Test
    void readsSectionsKeysAndValues() {
        IniText text =
                IniText.parse("stray=0\n[a]\n; comment\n# comment\n key = x = y ; z \r\nempty=\n[b]\nkey=1\nkey=2");

        assertThat(text.values("", "stray")).containsExactly("0");
        assertThat(text.values("a", "key")).containsExactly("x = y ; z");
        assertThat(text.values("a", "empty")).containsExactly("");
        assertThat(text.values("b", "key")).containsExactly("1", "2");
        assertThat(text.values("b", "other")).isEmpty();
        assertThat(text.unreadableLines()).isEmpty();
    }

    /** Guards against a first section that is not recognized because an editor wrote a byte order mark before it. */
    @Test
    void skipsByteOrderMark() {
        assertThat(IniText.parse("\uFEFF[a]\nkey=1").values("a", "key")).containsExactly("1");
    }

    /** Guards against a malformed line that is ignored without a report. */
    @Test
    void reportsMalformedLines() {
        assertThat(IniText.parse("[a]\nkey\n= value\n").unreadableLines())
                .isEqualTo(List.of(
                        "line 2 is neither a section nor a key with a value",
                        "line 3 is neither a section nor a key with a value"));
    }
}
