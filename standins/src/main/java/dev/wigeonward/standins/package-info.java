/** Stand-ins for what surrounds wigeonward, each a process of its own, and the load tool. */
package dev.wigeonward.standins;
