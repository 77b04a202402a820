/** Measures how revisions propagate over the links of the whole fleet. */
package dev.wigeonward.measure.revision;
