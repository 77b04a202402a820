/** Emulator of a model engine with continuous batching, a prefix cache, resumable streams and delayed load reports. */
package dev.wigeonward.standins.engine;
