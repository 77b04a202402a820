/** A small deployment of real processes on loopback, for tests and measurements. */
package dev.wigeonward.standins.local;
