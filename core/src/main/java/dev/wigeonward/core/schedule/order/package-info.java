/** Orders in which waiting requests are placed. */
package dev.wigeonward.core.schedule.order;
