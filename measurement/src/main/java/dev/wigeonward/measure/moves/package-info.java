/** Measurement of rollouts: the real decision cores with simulated time, entries, agents and store. */
package dev.wigeonward.measure.moves;
