/** Measurement of the spread of revisions over the links of the whole fleet. */
package dev.wigeonward.measure.revision;
