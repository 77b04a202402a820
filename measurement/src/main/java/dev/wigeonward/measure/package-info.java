/** Command-line measurements whose reports the documentation contains; all random choices depend only on the seed. */
package dev.wigeonward.measure;
