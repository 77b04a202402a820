/** The requests of {@code ./quickstart}, with the answers that are expected. */
package dev.wigeonward.standins.demo;
