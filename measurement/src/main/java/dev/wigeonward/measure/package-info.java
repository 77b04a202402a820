/** Measurements behind the tables of the documentation; same seed, same output. */
package dev.wigeonward.measure;
