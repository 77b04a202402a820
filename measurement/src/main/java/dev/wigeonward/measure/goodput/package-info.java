/** Goodput of scheduling policies before small fake engines, on a paused clock. */
package dev.wigeonward.measure.goodput;
