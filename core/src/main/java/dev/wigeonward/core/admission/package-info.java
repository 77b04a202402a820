/** Admission queues that order and refuse requests by tier, workspace share and deadline. */
package dev.wigeonward.core.admission;
