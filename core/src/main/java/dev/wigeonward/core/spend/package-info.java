/** Committed spend of workspaces within a period. */
package dev.wigeonward.core.spend;
