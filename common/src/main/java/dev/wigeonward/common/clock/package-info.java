/** Monotonic clock for processes, and a manually advanced clock for tests. */
package dev.wigeonward.common.clock;
