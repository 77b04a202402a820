package dev.wigeonward.entry.caller;

import java.util.Map;

/** Lists the models that callers may name. */
@FunctionalInterface
public interface ModelsPage {
    /** Returns the answer to {@code GET /v1/models}. */
    Map<String, Object> list();
}
