/** Measures the goodput of scheduling policies with simulated engines in simulated time. */
package dev.wigeonward.measure.goodput;
