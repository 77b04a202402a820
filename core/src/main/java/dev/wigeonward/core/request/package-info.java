/** Identity, tier and size of a request. */
package dev.wigeonward.core.request;
