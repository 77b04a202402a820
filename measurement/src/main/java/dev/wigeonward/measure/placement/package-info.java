/** Measurements of placement decisions, their quality, their state and the links between entries and agents. */
package dev.wigeonward.measure.placement;
