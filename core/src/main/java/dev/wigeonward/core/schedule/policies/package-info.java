/** Combination of the scheduling policies that are in use without further components. */
package dev.wigeonward.core.schedule.policies;
