/** Rollouts: share limits at each entry, statistical tests of the new version, and the controller's decisions. */
package dev.wigeonward.core.rollout;
