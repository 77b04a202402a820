/** Rules written by operators: parsing, checks across lines, lookups for requests, and comparison of two texts. */
package dev.wigeonward.core.rules;
