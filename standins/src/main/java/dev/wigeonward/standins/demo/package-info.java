/** Requests of {@code ./quickstart} and the expected answers. */
package dev.wigeonward.standins.demo;
