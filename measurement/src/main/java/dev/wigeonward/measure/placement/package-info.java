/**
 * Measures the time and quality of placement decisions, the size of an entry's state, and links of entries to agents.
 */
package dev.wigeonward.measure.placement;
