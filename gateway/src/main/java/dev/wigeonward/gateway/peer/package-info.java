/** What entries on the direct path tell each other: load, demand, and the view of the store. */
package dev.wigeonward.gateway.peer;
