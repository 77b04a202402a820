/** Zones whose upstreams take no new requests because the operator evacuates them. */
package dev.wigeonward.core.evacuation;
