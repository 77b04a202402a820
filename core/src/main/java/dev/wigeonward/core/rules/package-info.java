/** The operators' rules: parsing, checks across lines, lookups of the request path, differences between texts. */
package dev.wigeonward.core.rules;
