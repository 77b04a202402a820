/** Orders of the controller to engines, fenced at the agent so that orders of a former controller have no effect. */
package dev.wigeonward.core.order;
