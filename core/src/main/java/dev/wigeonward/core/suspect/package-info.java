/** Detection of requests that crash upstreams, and limits on running them again. */
package dev.wigeonward.core.suspect;
