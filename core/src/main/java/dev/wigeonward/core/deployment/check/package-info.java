/** Checks of a configuration before the operator writes it to the store. */
package dev.wigeonward.core.deployment.check;
