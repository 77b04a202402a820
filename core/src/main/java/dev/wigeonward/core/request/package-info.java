/** Properties of requests: identifiers, tiers and expected sizes. */
package dev.wigeonward.core.request;
