/** Requests that were running when upstreams died. */
package dev.wigeonward.core.suspect;
