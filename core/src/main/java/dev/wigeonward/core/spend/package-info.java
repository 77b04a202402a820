/** Spend of workspaces within a period and its comparison with their commitments. */
package dev.wigeonward.core.spend;
