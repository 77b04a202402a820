/** The link between an entry and an agent: protobuf frames over TCP with heartbeats both ways. */
package dev.wigeonward.wire;
