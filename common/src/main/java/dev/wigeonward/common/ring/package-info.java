/** Bounded rings between threads, each with one thread for one duty at its end. */
package dev.wigeonward.common.ring;
