/** Membership of upstreams: to which ones an entry keeps links, and which of them may receive new requests. */
package dev.wigeonward.core.membership;
