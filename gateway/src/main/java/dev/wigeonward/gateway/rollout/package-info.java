/** Control of rollouts at an entry. */
package dev.wigeonward.gateway.rollout;
