/** Policies that refuse waiting requests. */
package dev.wigeonward.core.schedule.refusal;
