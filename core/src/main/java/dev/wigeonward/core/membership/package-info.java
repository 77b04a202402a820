/** Which upstreams an entry links to and which of them may get new work. */
package dev.wigeonward.core.membership;
