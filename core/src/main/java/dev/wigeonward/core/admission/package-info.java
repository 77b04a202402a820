/** Admission of requests by tier, workspace share and deadline. */
package dev.wigeonward.core.admission;
