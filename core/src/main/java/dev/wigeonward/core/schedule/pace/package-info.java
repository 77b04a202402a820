/** Pace of upstreams that have started, recovered or are cold: how many requests all entries and one entry may send. */
package dev.wigeonward.core.schedule.pace;
