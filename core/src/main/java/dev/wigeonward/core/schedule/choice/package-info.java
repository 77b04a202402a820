/** Choice of the upstream for a request, by the expected cost of the placement. */
package dev.wigeonward.core.schedule.choice;
