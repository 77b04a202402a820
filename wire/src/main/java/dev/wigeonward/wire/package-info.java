/** Links between processes: protobuf frames over TCP with heartbeats in both directions. */
package dev.wigeonward.wire;
