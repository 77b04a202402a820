/** The duty of the entry that controls shifts of traffic between versions. */
package dev.wigeonward.gateway.rollout;
