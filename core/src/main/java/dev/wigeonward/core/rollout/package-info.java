/** Version moves: bounded exposure at each entry, judgement by evidence, and the controller's decisions. */
package dev.wigeonward.core.rollout;
