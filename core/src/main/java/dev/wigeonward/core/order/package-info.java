/** Orders to engines: fencing at the agent, so that a former controller changes nothing. */
package dev.wigeonward.core.order;
