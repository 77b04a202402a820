/** Control of traffic shifts between versions at an entry. */
package dev.wigeonward.gateway.rollout;
