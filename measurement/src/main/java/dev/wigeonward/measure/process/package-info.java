/** Measures entry and agent as separate processes on loopback. */
package dev.wigeonward.measure.process;
