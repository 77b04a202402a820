/** Emulator of a model engine: continuous batching, prefix cache, resumable streams, lagging reports. */
package dev.wigeonward.standins.engine;
