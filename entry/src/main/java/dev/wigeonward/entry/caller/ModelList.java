package dev.wigeonward.entry.caller;

import java.util.Map;

/** Source of the list of models that callers may request. */
@FunctionalInterface
public interface ModelList {
    /** Returns the body of the answer to {@code GET /v1/models}, as nested maps for the JSON writer. */
    Map<String, Object> list();
}
