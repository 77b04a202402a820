/** Measures version moves on a paused clock: the real decision cores with simulated entries, agents and store. */
package dev.wigeonward.measure.moves;
