/** The process clock and a clock that tests advance by hand. */
package dev.wigeonward.common.clock;
